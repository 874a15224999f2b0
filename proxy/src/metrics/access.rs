//! Access metrics: counts of request outcomes. Admission issues a `RequestReceipt`, which is consumed when the
//! response is sent or the client disconnects, so that each request is counted exactly once.

use crankmux::types::ClassId;
use std::fmt::{self, Display};

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An endpoint's successful response was sent.
    Succeeded,
    /// The request was rejected with 503.
    Rejected,
    /// The request failed, or its response was truncated.
    Failed,
    /// The client disconnected before the response was sent.
    ClientDisconnected,
}

/// An admitted request without an outcome. Not `Clone`, so that no request is counted twice.
#[derive(Debug)]
#[must_use]
pub struct RequestReceipt {
    request_class: ClassId,
}

/// Outcome counts of a request class.
#[derive(Default, Clone, Copy)]
struct OutcomeCounts {
    succeeded: u64,
    rejected: u64,
    failed: u64,
}

/// Counts of requests by class and outcome, forwarded attempts, and reloads.
#[derive(Default)]
pub struct AccessMetrics {
    /// By request class.
    outcomes: Vec<OutcomeCounts>,
    outstanding: u64,
    /// Attempts sent completely.
    pub attempts_forwarded: u64,
    /// Applied reloads.
    pub reloads_applied: u64,
    /// Rejected reloads.
    pub reloads_rejected: u64,
}

impl AccessMetrics {
    /// Counts a request as outstanding.
    pub fn request_admitted(&mut self, request_class: ClassId) -> RequestReceipt {
        self.outstanding += 1;
        RequestReceipt { request_class }
    }

    /// Counts the outcome of an outstanding request.
    pub fn request_finished(&mut self, receipt: RequestReceipt, outcome: RequestOutcome) {
        self.outstanding -= 1;
        let class = receipt.request_class.index();
        if self.outcomes.len() <= class {
            self.outcomes.resize(class + 1, OutcomeCounts::default());
        }
        let counts = &mut self.outcomes[class];
        match outcome {
            RequestOutcome::Succeeded => counts.succeeded += 1,
            RequestOutcome::Rejected => counts.rejected += 1,
            RequestOutcome::Failed => counts.failed += 1,
            RequestOutcome::ClientDisconnected => {}
        }
    }

    /// Formats the metrics, one per line. Every class that was ever configured is included, even with zero counts.
    ///
    /// `uploading` is the number of requests admitted but not received completely, which are not reported as
    /// outstanding.
    pub fn to_text(&self, request_classes: &[String], uploading: usize) -> String {
        let report = Report {
            metrics: self,
            request_classes,
            uploading,
        };
        report.to_string()
    }

    fn counts(&self, request_class: ClassId) -> OutcomeCounts {
        self.outcomes
            .get(request_class.index())
            .copied()
            .unwrap_or_default()
    }
}

/// Formats the metrics.
struct Report<'a> {
    metrics: &'a AccessMetrics,
    request_classes: &'a [String],
    uploading: usize,
}

impl Display for Report<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let metrics = self.metrics;
        for (class, name) in self.request_classes.iter().enumerate() {
            let counts = metrics.counts(ClassId::new(class));
            writeln!(formatter, "succeeded.{name}={}", counts.succeeded)?;
            writeln!(formatter, "declined.{name}={}", counts.rejected)?;
            writeln!(formatter, "aborted.{name}={}", counts.failed)?;
        }
        let outstanding = metrics.outstanding.saturating_sub(self.uploading as u64);
        writeln!(formatter, "outstanding={outstanding}")?;
        writeln!(formatter, "forwards={}", metrics.attempts_forwarded)?;
        writeln!(formatter, "sighup_applied={}", metrics.reloads_applied)?;
        writeln!(formatter, "sighup_rejected={}", metrics.reloads_rejected)
    }
}
