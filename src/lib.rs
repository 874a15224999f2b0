//! Load-balancing library of the crankmux reverse proxy. It does no I/O and reads no clock.
//!
//! [`balancer`] makes all load-balancing decisions; [`types`] defines its input and output types;
//! [`settings`] parses and validates the settings; [`dispatcher`] wraps the balancer for network code.

pub mod balancer;
pub mod dispatcher;
mod ids;
mod moving_average;
mod ranking;
pub mod settings;
mod state;
mod token_bucket;
pub mod types;
mod weighted_choice;
