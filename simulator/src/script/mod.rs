//! Scripts: a TOML file that describes one environment and what goes wrong in it. docs/scripts.md lists the keys.
//!
//! The keys are those that operators type; the fields have their own names. A script with an unknown key, a wrong
//! word or a value out of its range is refused in full, by an error that names line and key.

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
    /// Reads a script and validates it.
    ///
    /// # Errors
    ///
    /// The first key that is unknown, missing or out of its range, with its line.
    pub fn read(text: &str) -> Result<Self, ScriptError> {
        read_validated(text, Script::validate)
    }

    /// Mean work of a request on a core of speed one, over all classes by their weight among the arrivals.
    pub fn mean_work_ms(&self) -> f64 {
        let classes = &self.request_classes;
        let weights: f64 = classes.iter().map(|class| class.arrival_weight).sum();
        let work: f64 = classes
            .iter()
            .map(|class| class.arrival_weight * class.mean_work_ms)
            .sum();
        work / weights.max(1e-9)
    }

    /// Requests a second that all endpoints can do when warm.
    pub fn capacity(&self) -> f64 {
        let speed: f64 = self
            .machine_types
            .iter()
            .map(|machine| (machine.count * machine.cores) as f64 * machine.speed)
            .sum();
        1000.0 * speed / self.mean_work_ms()
    }

    /// Calls a second that clients start, before waves and bursts.
    pub fn rate(&self) -> f64 {
        self.load
            .rate
            .unwrap_or_else(|| self.load.capacity_fraction.unwrap_or(0.5) * self.capacity())
    }
}
