//! Files of suspended servers, watched and heeded.

use super::*;
use crate::proxy::Proxy;

impl Proxy {
    /// An operator takes a server out.
    pub fn disable_endpoint(&mut self, mark: u64, id: &str) -> (u16, String) {
        if !self.disabled_endpoints.known(mark) {
            return (404, "no such server was ever listed\n".into());
        }
        self.free_descriptor();
        // Danger: a yes that a crash or the next process forgets. The file stands before the yes.
        if let Err(e) = self.state_directory.ban(mark, id) {
            log::error!("cannot note that {id} is suspended: {e}");
            return (503, "the suspension can't be kept\n".into());
        }
        log::info!("{id} is suspended");
        self.reload_disabled_endpoints();
        (200, "suspended\n".into())
    }

    /// An operator gives a server back.
    pub fn enable_endpoint(&mut self, mark: u64, id: &str) -> (u16, String) {
        if !self.disabled_endpoints.known(mark) {
            return (404, "no such server was ever listed\n".into());
        }
        if let Err(e) = self.state_directory.lift(mark) {
            log::error!("cannot lift the suspension of {id}: {e}");
            return (503, "the suspension can't be lifted\n".into());
        }
        log::info!("{id} is resumed");
        self.reload_disabled_endpoints();
        (200, "resumed\n".into())
    }

    /// Takes over what the files say, where it is news.
    pub fn reload_disabled_endpoints(&mut self) {
        // Danger: a folder that can't be opened for want of a descriptor says nothing of what is suspended.
        self.free_descriptor();
        let Some(bans) = self
            .state_directory
            .bans()
            .filter(|bans| *bans != self.disabled_endpoints.now)
        else {
            return;
        };
        let old = std::mem::replace(&mut self.disabled_endpoints.now, bans.clone());
        let now = self.now();
        for mark in bans.iter().filter(|mark| !old.contains(mark)) {
            let server = self.name_index.endpoint(*mark);
            self.dispatcher.disable_endpoint(now, server);
            self.leave(server);
        }
        for mark in old.iter().filter(|mark| !bans.contains(mark)) {
            if let Some(server) = self.name_index.find_endpoint(*mark) {
                // Danger: what is still open leads to the process before its restart.
                self.leave(server);
                self.dispatcher.enable_endpoint(now, server);
            }
        }
    }

    /// Closes what stands idle to a server, and takes back what has not begun.
    fn leave(&mut self, server: usize) {
        if let Some(record) = self.upstream.records.get_mut(server) {
            for key in std::mem::take(&mut record.idle) {
                self.drop_upstream(key);
            }
        }
        for key in self
            .upstream
            .links
            .keys_where(|link| link.server == server && link.unsent())
        {
            self.fail(key, AttemptOutcome::NotSent, LoadReport::default());
        }
    }

    /// Looks at the files now and again for as long as another process of this node runs.
    pub fn watch_disabled_endpoints(&mut self) {
        self.reload_disabled_endpoints();
        if self.upgrade.both() {
            let at = self.now() + LOOK_EVERY;
            self.timers.set(at, Proxy::watch_disabled_endpoints);
        }
    }
}
