//! Discrete-event simulator of clients, proxies, discovery and endpoints, with fault injection and invariant checks.
//!
//! A [`script::Script`] describes one environment. [`environment::run`] simulates it in virtual time with one load
//! balancing policy, the decision module or a baseline, and returns [`results::RunResults`]. Runs are deterministic:
//! the same script, seed and policy give byte-identical results. Times are `f64` milliseconds unless a name says
//! otherwise. The library does no I/O and does not read the system clock.

/// The model of one endpoint: cores, a bounded queue, slow start, pauses and a key cache.
pub mod endpoint;
/// The discrete-event simulation of one run.
pub mod environment;
/// Selection of fault targets, and the combined effect of the active faults.
pub mod faults;
/// The invariant checker, which tracks the history of every request.
pub mod invariants;
/// Load balancing policies: the decision module, baselines, and policies that deliberately violate an invariant.
pub mod policies;
/// Independent, named random streams.
pub mod random;
/// The results of a run, as written to `figures.json`.
pub mod results;
/// Scripts: TOML descriptions of an environment and its faults.
pub mod script;
