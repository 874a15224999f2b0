//! Stop: what still comes is served, then connections are closed, and what was taken is finished.

use crate::proxy::Proxy;

/// How long after the signal clients may still come: the front notices within 0.4 s, and some to spare.
const STILL_COMING: f64 = 600.0;

#[derive(Default)]
pub struct Stop {
    shut: bool,
}

impl Stop {
    pub fn begin(&mut self, proxy: &mut Proxy) {
        if proxy.stopping() {
            return;
        }
        log::info!("stopping");
        let now = proxy.now();
        proxy.stop_at = Some(now);
        // Wakes the loop when the time is over.
        proxy.timers.set(now + STILL_COMING, |_| {});
    }

    /// Whether all is answered and the node may exit.
    pub fn done(&mut self, proxy: &mut Proxy) -> bool {
        let Some(at) = proxy.stop_at else { return false };
        if proxy.now() < at + STILL_COMING {
            return false;
        }
        if self.shut {
            proxy.close_idle();
        } else {
            self.shut = true;
            proxy.shut();
        }
        proxy.finished()
    }
}
