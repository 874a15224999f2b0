//! Fault injection for clusters: several proxy processes on the loopback interface of one machine. Simulated endpoints,
//! discovery, clients and a relay in front of each proxy's cluster port run in the caller's thread. Faults are injected
//! by method calls or by a script. Invariants are checked across all proxies, from what endpoints and clients observe.

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
