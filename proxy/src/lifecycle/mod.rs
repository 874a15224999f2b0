//! Start, reload, shutdown and upgrade of the process, and its stored state.

/// Configuration reload while requests are in flight.
pub mod reload;
/// Graceful shutdown.
pub mod shutdown;
/// Process start and the main loop.
pub mod start;
/// The directory of state that persists across crashes and upgrades.
pub mod state_directory;
/// Upgrades: handover of the listener and state to a newer process.
pub mod upgrade;
