//! Probes: servers are asked for their load, where the settings say that they tell it only so.

use crate::proxy::Proxy;
use crate::upstream::{read_load, AttemptResponse, NO_OP};
use crankmux::types::{AttemptOutcome, LoadReport};

/// A probe without answer for so long has none: a report is worth little to an op that has waited longer.
const PROBE_WITHIN: f64 = 250.0;
/// Reports are one short line; a longer body is none.
const REPORT_MOST: usize = 1024;
/// Probes out at once at most, so that they take neither the buffers nor the descriptors of pushes.
const PROBES_MOST: usize = 32;

impl Proxy {
    /// Sends the probes that the decisions want. Danger: one that cannot go out would hold its op.
    pub fn send_load_probes(&mut self) {
        for server in self.dispatcher.take_probes() {
            if !self.probe(server) {
                self.probed(server, None);
            }
        }
    }

    fn probe(&mut self, server: usize) -> bool {
        // Danger: a probe would take the last descriptors or buffers from pushes.
        if self.probes_in_flight >= PROBES_MOST || !self.upstream.roomy() {
            return false;
        }
        let Some(mut outbox) = self.buffers.take() else {
            return false;
        };
        let written = outbox.append(b"GET /_load HTTP/1.1\r\nHost: server\r\n\r\n");
        debug_assert!(written, "a fresh buffer holds one short line");
        let then = Box::new(move |proxy: &mut Proxy, outcome: AttemptResponse| {
            proxy.probes_in_flight -= 1;
            let report = proxy.report(outcome);
            proxy.probed(server, report);
        });
        self.counters.probes += 1;
        self.probes_in_flight += 1;
        let sent = self
            .send_written(NO_OP, server, outbox, PROBE_WITHIN, then)
            .is_ok();
        if !sent {
            self.probes_in_flight -= 1;
        }
        sent
    }

    /// The load that a probe's answer tells: none from any status but 200, or a body that is no report.
    fn report(&mut self, outcome: AttemptResponse) -> Option<LoadReport> {
        let (inbox, message) = outcome.answer?;
        let body = &inbox.filled()[message.body_start..message.body_end];
        let mut load = LoadReport::default();
        if outcome.ending == AttemptOutcome::Succeeded && body.len() <= REPORT_MOST {
            read_load(&String::from_utf8_lossy(body), &mut load);
        }
        self.buffers.give_back(inbox);
        (load != LoadReport::default()).then_some(load)
    }

    fn probed(&mut self, server: usize, report: Option<LoadReport>) {
        if report.is_none() {
            self.counters.probes_failed += 1;
        }
        let now = self.now();
        self.dispatcher.probe_ended(now, server, report);
    }
}
