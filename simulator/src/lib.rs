//! A discrete-event simulator of clients, proxies, discovery and endpoints, with faults and a checker of the rules.
//!
//! A [`script::Script`] describes one environment. [`environment::run`] runs it in virtual time with one policy, the
//! decision module or a baseline, and returns [`results::RunResults`]. The same script, seed and policy give the same
//! bytes. All times are f64 milliseconds unless a name says otherwise. Nothing here does I/O or reads a clock.

pub mod endpoint;
pub mod environment;
pub mod faults;
pub mod invariants;
pub mod policies;
pub mod random;
pub mod results;
pub mod script;
