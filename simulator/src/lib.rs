//! Servers, discovery, clients and faults in virtual time, with a judge that knows every op's whole life.
//!
//! A [`script::Script`] describes one world; [`environment::run`] plays it against a chooser, the decision module
//! or a baseline, and returns [`figures::RunResults`]. The same script, seed and chooser give the same bytes.
//! All times are f64 milliseconds unless a name says seconds. Nothing here does I/O or reads a clock.

pub mod environment;
pub mod faults;
pub mod invariants;
pub mod policies;
pub mod random;
pub mod results;
pub mod script;
pub mod server;
