//! The values of load reports, by the names that endpoints give them.

use crate::types::LoadReport;

/// Above this a value is taken for a fault.
const MAX_VALUE: f64 = 1e6;

/// Sets one value of a load report by any of its names. Unknown names are passed over, and so are values that
/// cannot be meant: one without bound would make an endpoint look empty or full for seconds.
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
