//! Fault injection for clusters: several proxy processes on one machine, with what they need around them (endpoints,
//! discovery, clients, and a relay in front of each proxy's cluster port), all in one thread of the caller's and on
//! loopback. Faults are put between them by call or by script. Every rule is checked over all proxies together, by
//! what endpoints and clients saw. docs/rig.md has the designs that were considered.

mod connection;
mod due_queue;
mod harness;
mod open_descriptors;
mod ports;
mod proxy_process;
mod relays;
mod run;
mod run_script;
mod soak;

pub use harness::{Harness, Service, View};
pub use ports::free_port;
pub use proxy_process::{DescriptorLimits, ProxyProcess, Start};
pub use relays::{PathFaults, PathRelays};
pub use run::{run, Report, RunError, Times};
pub use run_script::{Direction, Fault, FaultKind, RunScript};
pub use soak::{run_soak, Finding, FindingKind, SoakError, SoakPlan, SoakReport};
