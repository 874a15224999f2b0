//! Deduplication by idempotency key: at which endpoints, and until when, another attempt of a request is dropped as a
//! duplicate.

use super::Balancer;
use crate::settings::ClassSettings;
use crate::state::{Attempt, Endpoint, Request};
use crate::types::{Actions, DeduplicationScope, Idempotency, RequestId};

const DEDUPLICATION_WINDOW_FRACTION: f64 = 0.9; // the rest allows for network delay

impl Balancer {
    /// Whether an endpoint deduplicates a retry of an earlier attempt by its idempotency key.
    pub(super) fn deduplicates(
        &self,
        settings: &ClassSettings,
        earlier: &Attempt,
        endpoint: &Endpoint,
    ) -> bool {
        let (first, next) = (earlier.sent_to, endpoint.location());
        let is_in_scope = match settings.deduplication_scope {
            DeduplicationScope::Global => true,
            DeduplicationScope::Zone => first.zone == next.zone,
            DeduplicationScope::Pod => first.pod == next.pod,
        };
        is_in_scope && self.now_ms < window_end_ms(settings, earlier)
    }
}

/// Whether a later request with the id of a request that has ended could have a second effect: this one may have been
/// executed, or may yet be by an attempt in flight. A repeat would not know of its group and window.
pub(super) fn must_refuse_repeats(request: &Request) -> bool {
    request.settings.idempotency != Idempotency::Idempotent && request.may_have_executed()
}

/// Updates until when each attempt in flight may be sent, after an attempt of the request started or ended.
pub(super) fn update_send_deadlines(actions: &mut dyn Actions, id: RequestId, request: &mut Request) {
    if request.settings.idempotency != Idempotency::IdempotentWithKey {
        return;
    }
    for number in 0..request.attempts.len() {
        let send_deadline_ms = send_deadline_ms(request, number);
        let attempt = &mut request.attempts[number];
        if attempt.in_flight && attempt.send_deadline_ms != send_deadline_ms {
            attempt.send_deadline_ms = send_deadline_ms;
            actions.set_send_deadline(id, number, send_deadline_ms);
        }
    }
}

/// Until when the endpoints that executed an attempt drop its duplicates.
fn window_end_ms(settings: &ClassSettings, attempt: &Attempt) -> f64 {
    attempt.timing.sent_at_ms + settings.deduplication_window_ms * DEDUPLICATION_WINDOW_FRACTION
}

/// Until when an attempt may be sent: an endpoint that gets its last byte after the window of another attempt could
/// execute the request a second time.
fn send_deadline_ms(request: &Request, number: usize) -> f64 {
    let attempts = request.attempts.iter().enumerate();
    let others = attempts.filter(|(other, attempt)| *other != number && attempt.may_have_executed);
    others.map(|(_, attempt)| window_end_ms(&request.settings, attempt)).fold(f64::INFINITY, f64::min)
}
