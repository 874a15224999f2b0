//! A discrete-event simulator of clients, proxies, discovery and endpoints, with faults and a checker of the rules.
//!
//! A [`script::Script`] describes one environment. [`environment::run`] runs it in virtual time with one policy, the
//! decision module or a baseline, and returns [`results::RunResults`]. The same script, seed and policy give the same
//! bytes. All times are f64 milliseconds unless a name says otherwise. Nothing here does I/O or reads a clock.

/// The model of one endpoint: cores, a bounded queue, slow start, pauses and a cache.
pub mod endpoint;
/// A simulation run in virtual time, driven by one event queue.
pub mod environment;
/// Targets of faults, and the combined effect of the active ones.
pub mod faults;
/// The invariant checker, which follows the history of every request.
pub mod invariants;
/// Load balancing policies: the decision module, baselines, and deliberate rule breakers.
pub mod policies;
/// Random numbers in independent named streams.
pub mod random;
/// The results of a run, as written to figures.json.
pub mod results;
/// Scripts: TOML descriptions of an environment and its faults.
pub mod script;
