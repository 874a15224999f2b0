//! Decoding of load report values by name.

use crate::types::LoadReport;

/// Values from here on are rejected as invalid.
const MAX_VALUE: f64 = 1e6;

/// Sets a value of a load report by one of its names. Ignores unknown names and values out of range, which
/// would make an endpoint look empty or full until its next report.
pub fn set_load_value(report: &mut LoadReport, name: &str, value: f64) {
    if !(0.0..MAX_VALUE).contains(&value) {
        return;
    }
    match name {
        "q" | "queue" => report.queued = Some(value),
        "rif" | "inflight" => report.in_flight = Some(value),
        "busy" | "util" => report.cpu_utilization = Some(value),
        _ => {}
    }
}
