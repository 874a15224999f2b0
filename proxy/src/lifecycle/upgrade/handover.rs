//! What passes between the two processes of an upgrade.

use super::*;
use crate::lifecycle::file_descriptors::lacks;
use crate::proxy::Proxy;

impl Proxy {
    /// A newer process asks for what this one has.
    pub fn accept_newer_process(&mut self) {
        loop {
            let Some(door) = &self.upgrade.listener else {
                return;
            };
            let stream = match door.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // Danger: no descriptor is left, and the newer process goes on without what this one knows.
                Err(e) => {
                    if !(lacks(&e) && self.free_descriptor()) {
                        log::warn!("cannot hear a newer process: {e}");
                        let at = self.now() + AGAIN;
                        self.timers
                            .set(at, |proxy: &mut Proxy| proxy.accept_newer_process());
                        return;
                    }
                    continue;
                }
            };
            if self.stopping() || self.upgrade.followed() {
                // Nothing to give any more, or given already: that one goes on alone.
                continue;
            }
            if let Err(e) = self.hand_over_to(stream) {
                log::warn!("cannot hand over: {e}");
            }
        }
    }

    fn hand_over_to(&mut self, mut stream: UnixStream) -> io::Result<()> {
        let Some(path) = self.state_directory.path(HANDED) else {
            return Ok(());
        };
        let once: Vec<u64> = self.disabled_endpoints.once().collect();
        let learnt = told(&self.name_index, &self.dispatcher.learned_state());
        let handed = json!({"list": self.discovery.whole_list(), "once": once, "learnt": learnt});
        self.free_descriptor();
        std::fs::write(path, handed.to_string())?;
        self.registry
            .register(&mut stream, NEWER_PROCESS, Interest::READABLE)?;
        self.upgrade.newer = Some(stream);
        self.yield_cluster();
        // Danger: both together over the node's limits. This one shrinks before the other has anything.
        self.apply_process_share();
        let sent = self.send_listener();
        if sent.is_err() {
            self.newer_ended();
        }
        log::info!("handed over to a newer process");
        self.watch_disabled_endpoints();
        sent
    }

    fn send_listener(&self) -> io::Result<()> {
        let (Some(stream), Some(listener)) = (&self.upgrade.newer, self.downstream.listener())
        else {
            return Err(io::ErrorKind::NotConnected.into());
        };
        let descriptors = [listener.as_fd()];
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
        let mut beside = net::SendAncillaryBuffer::new(&mut space);
        if !beside.push(SendAncillaryMessage::ScmRights(&descriptors)) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        let parts = [self.upgrade.parts.saturating_mul(2)];
        net::sendmsg(
            stream,
            &[IoSlice::new(&parts)],
            &mut beside,
            net::SendFlags::NOSIGNAL,
        )?;
        Ok(())
    }

    /// The newer process says that it takes clients in, or has ended.
    pub fn newer_process_event(&mut self) {
        let Some(stream) = &mut self.upgrade.newer else {
            return;
        };
        match stream.read(&mut [0]) {
            Ok(1..) => {
                log::info!("the newer process takes clients in");
                self.stop_listening();
            }
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
                ) => {}
            _ => self.newer_ended(),
        }
    }

    /// Danger: an upgrade that failed leaves nobody to take clients in, and half a node.
    fn newer_ended(&mut self) {
        log::warn!("the newer process has ended");
        if let Some(mut stream) = self.upgrade.newer.take() {
            let _ = self.registry.deregister(&mut stream);
        }
        self.apply_process_share();
        if !self.stopping() {
            self.rejoin_cluster();
            self.listen();
            // Danger: the newer one had put its own socket there, and the next would find a dead one.
            if let Err(e) = self.upgrade.open(&self.state_directory, &self.registry) {
                log::warn!("no upgrade can be handed over: {e}");
            }
        }
    }

    /// The older process has ended: all limits are this one's.
    pub fn older_process_event(&mut self) {
        let Some(stream) = &mut self.upgrade.older else {
            return;
        };
        match stream.read(&mut [0]) {
            Ok(1..) => {}
            Err(e)
                if matches!(
                    e.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
                ) => {}
            _ => {
                log::info!("the older process has ended");
                if let Some(mut stream) = self.upgrade.older.take() {
                    let _ = self.registry.deregister(&mut stream);
                }
                self.upgrade.parts = 1;
                self.apply_process_share();
                self.start_accepting();
            }
        }
    }

    /// Takes over what the older process has learnt of the servers that are listed now.
    pub fn restore_learned_state(&mut self, learnt: &Value) {
        let experience = read(&self.name_index, learnt, self.dispatcher.learned_state());
        self.dispatcher.restore_learned_state(&experience);
    }

    /// Takes clients in, once it can serve them or nobody else does.
    pub fn start_accepting(&mut self) {
        if !std::mem::take(&mut self.upgrade.holds_back) {
            return;
        }
        self.listen();
        if let Some(stream) = &mut self.upgrade.older {
            // One byte fits into an empty socket buffer.
            let _ = stream.write(&[1]);
        }
    }
}
