//! Load probes: endpoints are asked for their load, where the settings say that they report it only so.

use super::attempt::{AttemptResponse, BufferedResponse};
use super::request_state::{PendingWrite, RequestState};
use super::response::read_load;
use crate::proxy::Proxy;
use crankmux::types::{AttemptOutcome, EndpointId, LoadReport};

/// A probe without response for so long has none: a report is worth little to a request that has waited longer.
const PROBE_TIMEOUT_MS: f64 = 250.0;
/// Reports are one short line; a longer body is none.
const MAX_REPORT_BYTES: usize = 1024;
/// Probes in flight at once, so that they take neither the buffers nor the connections of attempts.
const MAX_PROBES_IN_FLIGHT: usize = 32;
const PROBE_REQUEST: &[u8] = b"GET /_load HTTP/1.1\r\nHost: server\r\n\r\n";

impl Proxy {
    /// Sends the probes that the dispatcher wants. One that cannot be sent counts as ended, since its request waits
    /// for it.
    pub(crate) fn send_load_probes(&mut self) {
        for endpoint in self.dispatcher.take_probes() {
            if !self.send_load_probe(endpoint) {
                self.load_probe_ended(endpoint, None);
            }
        }
    }

    /// Sends a probe, where neither a connection nor a buffer is taken from attempts; returns whether it is sent.
    fn send_load_probe(&mut self, endpoint: EndpointId) -> bool {
        if self.probes_in_flight >= MAX_PROBES_IN_FLIGHT || !self.upstream.has_room() {
            return false;
        }
        let Some(mut outbox) = self.buffers.take() else {
            return false;
        };
        let fitted = outbox.append(PROBE_REQUEST);
        debug_assert!(fitted, "an empty buffer holds one short line");
        let on_complete = Box::new(move |proxy: &mut Proxy, response: AttemptResponse| {
            proxy.probes_in_flight -= 1;
            let report = proxy.take_load_report(response);
            proxy.load_probe_ended(endpoint, report);
        });
        self.counters.load_probes_sent += 1;
        self.probes_in_flight += 1;
        let state = RequestState::Buffered(PendingWrite::new(outbox));
        let is_sent = self
            .send_request(None, endpoint, state, PROBE_TIMEOUT_MS, on_complete)
            .is_ok();
        if !is_sent {
            self.probes_in_flight -= 1;
        }
        is_sent
    }

    /// The load that the response to a probe reports: none from any status but 200, or a body that is no report.
    fn take_load_report(&mut self, response: AttemptResponse) -> Option<LoadReport> {
        let BufferedResponse { buffer, message } = response.answer?;
        let body = &buffer.filled()[message.body_start..message.body_end];
        let mut load = LoadReport::default();
        if response.outcome == AttemptOutcome::Succeeded && body.len() <= MAX_REPORT_BYTES {
            read_load(&String::from_utf8_lossy(body), &mut load);
        }
        self.buffers.give_back(buffer);
        (load != LoadReport::default()).then_some(load)
    }

    fn load_probe_ended(&mut self, endpoint: EndpointId, report: Option<LoadReport>) {
        if report.is_none() {
            self.counters.load_probes_failed += 1;
        }
        let now = self.now();
        self.dispatcher.probe_ended(now, endpoint, report);
    }
}
