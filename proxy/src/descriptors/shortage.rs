//! Shortages of descriptors: counted for the metrics, and reported in the log without flooding it.

use super::DescriptorPurpose;
use std::fmt;

/// A purpose is reported once in so long, with the number of shortages since; in milliseconds.
const REPORT_INTERVAL_MS: f64 = 1000.0;
const PURPOSES: usize = DescriptorPurpose::ALL.len();

/// How often each purpose wanted a descriptor and found none.
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
    /// Counts a shortage. Returns how many have come since the last report where a report is due.
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

    /// The count of a purpose.
    pub fn total(&self, purpose: DescriptorPurpose) -> u64 {
        self.by_purpose[purpose.index()].total
    }
}

/// The metrics, one a line.
impl fmt::Display for DescriptorShortages {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for purpose in DescriptorPurpose::ALL {
            let total = self.total(purpose);
            writeln!(formatter, "descriptor_shortages.{purpose}={total}")?;
        }
        Ok(())
    }
}

/// Who holds connections, as a shortage is reported.
#[derive(Clone, Copy, Debug, Default)]
pub struct DescriptorUsage {
    /// Connections of clients.
    pub clients: usize,
    /// Those with a request or a response under way, which are never closed for others.
    pub busy_clients: usize,
    /// How long the youngest connection without one has been idle.
    pub youngest_idle_ms: Option<f64>,
    /// How long the oldest such connection has been idle.
    pub oldest_idle_ms: Option<f64>,
    /// Connections to endpoints.
    pub upstream: usize,
    /// Those that are idle.
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
