//! Start, reload and stop.

pub mod charter;
pub mod configuration;
pub mod descriptors;
pub mod reload;
pub mod start;
pub mod state;
pub mod stop;
pub mod upgrade;
