//! Graceful shutdown: new requests are served for a grace period, then idle connections and the listener are closed
//! and accepted requests are completed.

use crate::proxy::Proxy;

/// How long after the signal idle connections stay open. The load balancer in front of the proxy takes up to 400 ms
/// to notice the shutdown.
const IDLE_GRACE_MS: f64 = 600.0;
/// How long the listener stays open after idle connections are closed. A client whose request crosses the close
/// retries it once on a new connection: a few times the 100 ms within which a new client is expected to send.
const RETRY_GRACE_MS: f64 = 300.0;
/// The process exits at the latest this long after the longest deadline.
const EXIT_DELAY_MS: f64 = 700.0;
/// Upper bound of the longest deadline.
const MAX_DEADLINE_MS: f64 = 3000.0;
/// The part of `EXIT_DELAY_MS` reserved for delivering the last responses.
const RESPONSE_DELIVERY_MS: f64 = 200.0;

/// The progress of a graceful shutdown.
#[derive(Default)]
pub struct Shutdown {
    listener_closed: bool,
    close_idle_at_ms: f64,
    close_listener_at_ms: f64,
}

impl Shutdown {
    /// Starts the shutdown, unless it has started.
    pub fn begin(&mut self, proxy: &mut Proxy) {
        if proxy.stopping() {
            return;
        }
        log::info!("stopping");
        // Before the first endpoint list, clients may wait in the accept queue.
        proxy.listen_after_first_list();
        let now = proxy.now();
        proxy.shutdown_at = Some(now);
        let longest = proxy.longest_ttl_ms.min(MAX_DEADLINE_MS);
        proxy.response_deadline = now + longest + EXIT_DELAY_MS - RESPONSE_DELIVERY_MS;
        // The deadline of a request already accepted may be later than the exit.
        proxy.limit_deadlines(proxy.response_deadline);
        self.close_idle_at_ms = now + IDLE_GRACE_MS;
        if proxy.upgrade.has_newer_process() {
            // A request that crosses the close of an idle connection is lost. Clients that send requests are told
            // to close their connections; those of the others stay open as long as half the longest deadline
            // remains for a late request.
            self.close_idle_at_ms = self
                .close_idle_at_ms
                .max(proxy.response_deadline - 0.5 * longest);
            self.listener_closed = true;
            proxy.close_listener();
        }
        self.close_listener_at_ms =
            (self.close_idle_at_ms + RETRY_GRACE_MS).min(proxy.response_deadline);
        // These timers only wake the event loop.
        for at in [
            self.close_idle_at_ms,
            self.close_listener_at_ms,
            proxy.response_deadline,
        ] {
            proxy.timers.set(at, |_| {});
        }
    }

    /// Advances the shutdown; returns whether every request is answered and the process may exit.
    pub fn advance(&mut self, proxy: &mut Proxy) -> bool {
        if !proxy.stopping() {
            return false;
        }
        if proxy.now() < self.close_idle_at_ms {
            // Without clients there is nothing to wait for.
            return self.listener_closed
                && proxy.all_responses_sent()
                && proxy.downstream.is_empty();
        }
        if proxy.now() >= self.close_listener_at_ms && !self.listener_closed {
            self.listener_closed = true;
            proxy.close_listener();
        }
        let is_past_deadline = proxy.now() >= proxy.response_deadline;
        proxy.close_idle(is_past_deadline);
        self.listener_closed && proxy.all_responses_sent()
    }
}
