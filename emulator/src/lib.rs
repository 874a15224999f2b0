//! Servers, discovery, clients and faults in virtual time, with a judge that knows every op's whole life.
//!
//! A [`script::Script`] describes one world; [`world::play`] plays it against a chooser, the decision module
//! or a baseline, and returns [`figures::Figures`]. The same script, seed and chooser give the same bytes.
//! All times are f64 milliseconds unless a name says seconds. Nothing here does I/O or reads a clock.

pub mod chance;
pub mod chooser;
pub mod faults;
pub mod figures;
pub mod judge;
pub mod script;
pub mod server;
pub mod world;
