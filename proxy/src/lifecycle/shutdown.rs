//! Shutdown: what still comes is served, then connections are closed, and what was taken is finished.

use crate::proxy::Proxy;

/// How long after the signal clients may still come: the front notices within 0.4 s, and some to spare.
const STILL_COMING: f64 = 600.0;
/// How long the door stays open after connections that stand idle were closed. Danger: a request crosses that
/// close, and its one repeat on a new connection finds nobody. A client sees the close within its way there,
/// and comes again at once: a few times the 0.1 s within which whoever connects is taken to speak.
const REPEATS: f64 = 300.0;
/// The end comes this long after the longest TTL, which counts as `LONGEST` at most; and what is kept of it
/// for the way of the last answers.
const END_AFTER: f64 = 700.0;
const LONGEST: f64 = 3000.0;
const FOR_THE_WAY: f64 = 200.0;

#[derive(Default)]
pub struct Shutdown {
    shut: bool,
    idle_until: f64,
    /// When the listener is closed.
    door_until: f64,
}

impl Shutdown {
    pub fn begin(&mut self, proxy: &mut Proxy) {
        if proxy.stopping() {
            return;
        }
        log::info!("stopping");
        // Danger: a process told to stop before discovery has spoken would leave whoever came with the system.
        proxy.listen_after_first_list();
        let now = proxy.now();
        proxy.shutdown_at = Some(now);
        let longest = proxy.longest_ttl_ms.min(LONGEST);
        proxy.answer_by = now + longest + END_AFTER - FOR_THE_WAY;
        // Danger: what came in before the signal may have longer than this process has.
        proxy.end_requests(proxy.answer_by);
        self.idle_until = now + STILL_COMING;
        if proxy.upgrade.followed() {
            // Danger: an idle connection that is closed as its client writes is a request unread. DownstreamConnections
            // that ask are told to close; for the others it waits, and leaves half the longest TTL to a
            // late one.
            self.idle_until = self.idle_until.max(proxy.answer_by - 0.5 * longest);
            self.shut = true;
            proxy.shut();
        }
        self.door_until = (self.idle_until + REPEATS).min(proxy.answer_by);
        // They wake the loop.
        for at in [self.idle_until, self.door_until, proxy.answer_by] {
            proxy.timers.set(at, |_| {});
        }
    }

    /// Whether all is answered and the node may exit.
    pub fn done(&mut self, proxy: &mut Proxy) -> bool {
        if !proxy.stopping() {
            return false;
        }
        if proxy.now() < self.idle_until {
            // With nobody left there is nothing to wait for.
            return self.shut && proxy.finished() && proxy.downstream.is_empty();
        }
        if proxy.now() >= self.door_until && !std::mem::replace(&mut self.shut, true) {
            proxy.shut();
        }
        let over = proxy.now() >= proxy.answer_by;
        proxy.close_idle(over);
        self.shut && proxy.finished()
    }
}
