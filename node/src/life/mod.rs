//! Start and stop.

pub mod configuration;
pub mod start;
pub mod stop;
