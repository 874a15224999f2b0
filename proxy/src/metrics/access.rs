//! Access metrics: what became of requests. A receipt is issued as a request is admitted, and handed back once, as
//! its response is sent or its client is gone; all counts of requests follow from receipts.

use crankmux::types::ClassId;
use std::fmt::{self, Display};

/// What a request came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// An endpoint's successful response was sent.
    Succeeded,
    /// It was rejected with 503.
    Rejected,
    /// It failed, or its response was cut off.
    Failed,
    /// Its client disconnected before the response was sent.
    ClientDisconnected,
}

/// One admitted request that has no outcome yet. It cannot be copied, so no request is counted twice.
#[derive(Debug)]
#[must_use]
pub struct RequestReceipt {
    request_class: ClassId,
}

/// How many requests of a class came to each outcome.
#[derive(Default, Clone, Copy)]
struct OutcomeCounts {
    succeeded: u64,
    rejected: u64,
    failed: u64,
}

/// Counts of requests by class and outcome, of forwarded attempts and of reloads.
#[derive(Default)]
pub struct AccessMetrics {
    /// By request class.
    outcomes: Vec<OutcomeCounts>,
    outstanding: u64,
    /// Attempts whose last byte was sent.
    pub attempts_forwarded: u64,
    /// Reloads whose configuration was applied.
    pub reloads_applied: u64,
    /// Reloads whose configuration was rejected.
    pub reloads_rejected: u64,
}

impl AccessMetrics {
    /// Counts a request as outstanding.
    pub fn request_admitted(&mut self, request_class: ClassId) -> RequestReceipt {
        self.outstanding += 1;
        RequestReceipt { request_class }
    }

    /// Counts an outstanding request's outcome.
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

    /// The metrics as text, one a line: for each class that was ever configured, from the first second on.
    ///
    /// `uploading` requests are admitted but not yet received completely; they don't show as outstanding.
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

/// The metrics with what their text needs beside them.
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
