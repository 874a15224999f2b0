//! Many processes of the program on one machine, with what they need around them: servers, discovery, clients,
//! and a relay before each node's port, all in one thread of the caller's and on loopback. Faults are put
//! between them by call or by script. Every rule is judged over all nodes together, by what servers and
//! clients saw themselves. docs/rig.md has the ways weighed.

mod connection;
mod harness;
mod processes;
mod relay;
mod run;
mod script;

pub use harness::{Harness, View};
pub use processes::{free_port, Start};
pub use relay::Way;
pub use run::{play, Report, Times};
pub use script::{Fault, Kind, Play};
