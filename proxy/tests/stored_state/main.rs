//! Files in the state directory: those of an earlier version are read, and torn or absurd ones do no harm.

#![allow(clippy::disallowed_methods)]

mod earlier_version;
mod learned_state;
mod snapshot;

#[path = "../support/mod.rs"]
mod support;
