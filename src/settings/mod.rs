//! Settings of the balancer: decoding, validation, their typed form, and the index of the names that they
//! define.

mod error;
mod load_report;
mod names;
mod typed;
mod validation;
mod wire;

pub use error::SettingsError;
pub use load_report::set_load_value;
pub use names::{NameIndex, NamedEntries};
pub use typed::{ClassSettings, PlacementSet, Settings, SlowStartSettings, TenantSettings};
pub use validation::validate;
