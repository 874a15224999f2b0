//! Descriptor shortages: counts for the metrics, and rate-limited reports for the log.

use super::DescriptorPurpose;
use std::fmt;

/// Minimum interval between two reports for a purpose.
const REPORT_INTERVAL_MS: f64 = 1000.0;
const PURPOSES: usize = DescriptorPurpose::ALL.len();

/// Number of descriptor shortages by purpose.
pub struct DescriptorShortages {
    by_purpose: [PurposeShortages; PURPOSES],
}

#[derive(Clone, Copy)]
struct PurposeShortages {
    total: u64,
    unreported: u64,
    next_report_at_ms: f64,
}

impl Default for DescriptorShortages {
    fn default() -> Self {
        let none = PurposeShortages {
            total: 0,
            unreported: 0,
            next_report_at_ms: f64::NEG_INFINITY,
        };
        DescriptorShortages {
            by_purpose: [none; PURPOSES],
        }
    }
}

impl DescriptorShortages {
    /// Counts a shortage. If a report is due, returns the number of shortages since the last one.
    pub fn record(&mut self, purpose: DescriptorPurpose, now_ms: f64) -> Option<u64> {
        let shortages = &mut self.by_purpose[purpose.index()];
        shortages.total += 1;
        shortages.unreported += 1;
        if now_ms < shortages.next_report_at_ms {
            return None;
        }
        shortages.next_report_at_ms = now_ms + REPORT_INTERVAL_MS;
        Some(std::mem::take(&mut shortages.unreported))
    }

    /// Total number of shortages for a purpose.
    pub fn total(&self, purpose: DescriptorPurpose) -> u64 {
        self.by_purpose[purpose.index()].total
    }
}

/// Writes the metrics, one per line.
impl fmt::Display for DescriptorShortages {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for purpose in DescriptorPurpose::ALL {
            let total = self.total(purpose);
            writeln!(formatter, "descriptor_shortages.{purpose}={total}")?;
        }
        Ok(())
    }
}

/// Connections that hold descriptors, for the report of a shortage.
#[derive(Clone, Copy, Debug, Default)]
pub struct DescriptorUsage {
    /// Client connections.
    pub clients: usize,
    /// Client connections with a request or response in progress, which are never evicted.
    pub busy_clients: usize,
    /// Shortest idle time of the other client connections.
    pub youngest_idle_ms: Option<f64>,
    /// Longest idle time of the other client connections.
    pub oldest_idle_ms: Option<f64>,
    /// Connections to endpoints.
    pub upstream: usize,
    /// Idle connections to endpoints.
    pub idle_upstream: usize,
}

impl fmt::Display for DescriptorUsage {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "clients={} busy={}",
            self.clients, self.busy_clients
        )?;
        if let (Some(youngest), Some(oldest)) = (self.youngest_idle_ms, self.oldest_idle_ms) {
            write!(formatter, " idle_ms={youngest:.0}..{oldest:.0}")?;
        }
        write!(
            formatter,
            " upstream={} idle_upstream={}",
            self.upstream, self.idle_upstream
        )
    }
}
