//! Graceful shutdown: what still comes is served, then connections are closed, and what was accepted is finished.

use crate::proxy::Proxy;

/// How long after the signal clients may still come: the front notices within 400 ms, and some to spare.
const STILL_ACCEPTING_MS: f64 = 600.0;
/// How long the listener stays open after idle connections were closed. A request may cross that close, and its
/// one repeat on a new connection must find the listener. A client sees the close within its network delay and
/// comes again at once: a few times the 100 ms within which whoever connects is taken to send.
const ACCEPTING_REPEATS_MS: f64 = 300.0;
/// The process ends this long after the longest deadline.
const END_AFTER_DEADLINE_MS: f64 = 700.0;
/// A deadline counts as this at most.
const MAX_DEADLINE_MS: f64 = 3000.0;
/// What is kept of `END_AFTER_DEADLINE_MS` for the network delay of the last answers.
const LAST_ANSWERS_MS: f64 = 200.0;

/// The progress of a graceful shutdown.
#[derive(Default)]
pub struct Shutdown {
    listener_closed: bool,
    /// Until then idle connections stay open.
    idle_until_ms: f64,
    /// Until then the listener stays open.
    listener_until_ms: f64,
}

impl Shutdown {
    /// Begins the shutdown, unless it has begun.
    pub fn begin(&mut self, proxy: &mut Proxy) {
        if proxy.stopping() {
            return;
        }
        log::info!("stopping");
        // Told to stop before discovery has answered, it would leave whoever connected in the system's queue.
        proxy.listen_after_first_list();
        let now = proxy.now();
        proxy.shutdown_at = Some(now);
        let longest = proxy.longest_ttl_ms.min(MAX_DEADLINE_MS);
        proxy.answer_by = now + longest + END_AFTER_DEADLINE_MS - LAST_ANSWERS_MS;
        // A request accepted before the signal may have a longer deadline than this process.
        proxy.end_requests(proxy.answer_by);
        self.idle_until_ms = now + STILL_ACCEPTING_MS;
        if proxy.upgrade.has_newer_process() {
            // A request that crosses the close of its idle connection goes unread. Clients that send one are told
            // to close; for the others it waits, and leaves half the longest deadline to a late one.
            self.idle_until_ms = self.idle_until_ms.max(proxy.answer_by - 0.5 * longest);
            self.listener_closed = true;
            proxy.close_listener();
        }
        self.listener_until_ms = (self.idle_until_ms + ACCEPTING_REPEATS_MS).min(proxy.answer_by);
        // Timers that do nothing wake the event loop.
        for at in [self.idle_until_ms, self.listener_until_ms, proxy.answer_by] {
            proxy.timers.set(at, |_| {});
        }
    }

    /// Goes on with the shutdown; whether all is answered and the process may exit.
    pub fn done(&mut self, proxy: &mut Proxy) -> bool {
        if !proxy.stopping() {
            return false;
        }
        if proxy.now() < self.idle_until_ms {
            // With no client left there is nothing to wait for.
            return self.listener_closed && proxy.finished() && proxy.downstream.is_empty();
        }
        if proxy.now() >= self.listener_until_ms && !self.listener_closed {
            self.listener_closed = true;
            proxy.close_listener();
        }
        let is_over = proxy.now() >= proxy.answer_by;
        proxy.close_idle(is_over);
        self.listener_closed && proxy.finished()
    }
}
