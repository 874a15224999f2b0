//! Load probes: requests for the load report of an endpoint.

use super::attempt::{AttemptCompletion, BufferedResponse};
use super::request_state::{PendingWrite, RequestState};
use super::response::parse_load_report;
use crate::proxy::Proxy;
use crankmux::types::{AttemptOutcome, EndpointId, LoadReport};

/// A request waits for the probe, so a late report is of little use.
const PROBE_TIMEOUT_MS: f64 = 250.0;
/// Longer response bodies are not load reports.
const MAX_REPORT_BYTES: usize = 1024;
/// Keeps probes from using up the buffers and connections of attempts.
const MAX_PROBES_IN_FLIGHT: usize = 32;
const PROBE_REQUEST: &[u8] = b"GET /_load HTTP/1.1\r\nHost: server\r\n\r\n";

impl Proxy {
    /// Sends the probes requested by the dispatcher. One that cannot be sent is reported as failed at once, since a
    /// request waits for it.
    pub(crate) fn send_load_probes(&mut self) {
        for endpoint in self.dispatcher.take_probes() {
            if !self.send_load_probe(endpoint) {
                self.load_probe_ended(endpoint, None);
            }
        }
    }

    /// Sends a probe if a connection and a buffer are free; returns whether it was sent.
    fn send_load_probe(&mut self, endpoint: EndpointId) -> bool {
        if self.probes_in_flight >= MAX_PROBES_IN_FLIGHT || !self.upstream.has_free_slot() {
            return false;
        }
        let Some(mut write_buffer) = self.buffers.take_for(PROBE_REQUEST.len()) else {
            return false;
        };
        let fitted = write_buffer.append(PROBE_REQUEST);
        debug_assert!(fitted, "the probe request exceeds an empty buffer");
        let on_complete = Box::new(move |proxy: &mut Proxy, completion: AttemptCompletion| {
            proxy.probes_in_flight -= 1;
            let report = proxy.take_load_report(completion);
            proxy.load_probe_ended(endpoint, report);
        });
        self.counters.load_probes_sent += 1;
        self.probes_in_flight += 1;
        let state = RequestState::Buffered(PendingWrite::new(write_buffer));
        let is_sent = self
            .send_request(None, endpoint, state, PROBE_TIMEOUT_MS, on_complete)
            .is_ok();
        if !is_sent {
            self.probes_in_flight -= 1;
        }
        is_sent
    }

    /// The load report in the response to a probe; `None` if the status is not 200 or the body is not a report.
    fn take_load_report(&mut self, completion: AttemptCompletion) -> Option<LoadReport> {
        let BufferedResponse { buffer, message } = completion.response?;
        let body = &buffer.filled()[message.body_start..message.body_end];
        let mut load = LoadReport::default();
        if completion.outcome == AttemptOutcome::Succeeded && body.len() <= MAX_REPORT_BYTES {
            parse_load_report(&String::from_utf8_lossy(body), &mut load);
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
