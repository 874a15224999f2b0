//! crankmux: the decisions of a reverse proxy that spreads requests over HTTP servers.
//!
//! [`balancer`] holds every decision; [`types`] the plain types that go in and out; [`settings`] reads what
//! the operators set; [`dispatcher`] drives the decisions in blocking style, for network code.

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
