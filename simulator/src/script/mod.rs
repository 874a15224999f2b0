//! Scripts: TOML files that describe an environment and the faults injected into it. docs/scripts.md lists the keys.
//!
//! Field names can differ from the keys of the file. Unknown keys and invalid values are errors that name the line and,
//! for values, the key.

mod defaults;
mod fault;
mod proxy_settings;
mod reader;
mod types;
mod validation;

pub use fault::{Fault, FaultKind};
pub use reader::{read_validated, InvalidKey, InvalidValue, ScriptError};
pub use types::{
    Backoff, Burst, Clients, DeduplicationScope, Degradation, Discovery, Idempotency, Limits, Load,
    LoadReports, MachineType, Network, RequestClass, Script,
};

impl Script {
    /// Parses and validates a script.
    ///
    /// # Errors
    ///
    /// The first unknown, missing or invalid key, with its line.
    pub fn read(text: &str) -> Result<Self, ScriptError> {
        read_validated(text, Script::validate)
    }

    /// Mean work per request on a core of speed 1, weighted by the arrivals of each class.
    pub fn mean_work_ms(&self) -> f64 {
        let classes = &self.request_classes;
        let weights: f64 = classes.iter().map(|class| class.arrival_weight).sum();
        let work: f64 = classes
            .iter()
            .map(|class| class.arrival_weight * class.mean_work_ms)
            .sum();
        work / weights.max(1e-9)
    }

    /// Requests per second that all endpoints can serve when warm.
    pub fn capacity(&self) -> f64 {
        let speed: f64 = self
            .machine_types
            .iter()
            .map(|machine| (machine.count * machine.cores) as f64 * machine.speed)
            .sum();
        1000.0 * speed / self.mean_work_ms()
    }

    /// Calls per second from all clients, before waves and bursts.
    pub fn rate(&self) -> f64 {
        self.load
            .rate
            .unwrap_or_else(|| self.load.capacity_fraction.unwrap_or(0.5) * self.capacity())
    }
}
