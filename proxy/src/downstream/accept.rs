//! DownstreamConnections that come, go, and make room.

use super::*;
use crate::proxy::Proxy;
use crate::tokens::client_token;

impl Proxy {
    /// Has the loop watch the listener.
    pub fn listen(&mut self) {
        if let Some(listener) = self
            .downstream
            .listener
            .as_mut()
            .filter(|_| !self.downstream.listening)
        {
            match self
                .registry
                .register(listener, LISTENER, Interest::READABLE)
            {
                Ok(()) => self.downstream.listening = true,
                Err(e) => log::error!("cannot watch the listener: {e}"),
            }
        }
    }

    /// Leaves what comes to the other process that has this listener.
    pub fn stop_listening(&mut self) {
        if let Some(listener) = self
            .downstream
            .listener
            .as_mut()
            .filter(|_| self.downstream.listening)
        {
            let _ = self.registry.deregister(listener);
            self.downstream.listening = false;
        }
    }

    pub fn accept(&mut self) {
        self.downstream.waiting = false;
        if !self.downstream.listening {
            return;
        }
        self.timers.unset(self.downstream.accept_again.take());
        loop {
            // Danger: without a free descriptor accepting would fail and spin, and connections that only
            // stand there would keep clients out.
            if self.downstream.table.full() && !self.make_room() {
                // All have an op under way or have just come; the others wait until one is answered.
                self.downstream.waiting = true;
                return self.accept_later();
            }
            let Some(listener) = &self.downstream.listener else {
                return;
            };
            if !self.reserved_descriptors.replenish() {
                // Danger: clients take the place of the descriptor that was given up, as soon as it is free.
                if !(self.make_room() || self.close_longest_idle_upstream()) {
                    return self.accept_later();
                }
                continue;
            }
            match listener.accept() {
                Ok((stream, _)) => self.add_client(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                // Danger: the system is out of descriptors before the table is full; the listener stays
                // readable, and trying at once again and again would take the whole core.
                Err(e) => {
                    if !(self.make_room() || self.close_longest_idle_upstream()) {
                        log::warn!("cannot accept: {e}");
                        return self.accept_later();
                    }
                }
            }
        }
    }

    fn accept_later(&mut self) {
        let at = self.now() + ACCEPT_AGAIN;
        self.downstream.accept_again =
            Some(self.timers.set(at, |proxy: &mut Proxy| proxy.accept()));
    }

    /// Drops the least needed client; whether there was one. What it may have sent by now counts as taken,
    /// and is read first.
    fn make_room(&mut self) -> bool {
        self.counters.capacity_exhausted += 1;
        while let Some(least) = self.downstream.least_needed(self.clock.now()) {
            self.serve(least);
            if self
                .downstream
                .table
                .get(least)
                .is_none_or(DownstreamConnection::spare)
            {
                self.drop_downstream(least);
                return true;
            }
        }
        false
    }

    /// Drops the client that was idle longest; whether there was one. One that has just come is about to
    /// speak.
    pub fn close_idle_downstream(&mut self) -> bool {
        let now = self.clock.now();
        let quiet = |c: &DownstreamConnection| {
            c.idle() && now - c.idle_since > JUST_COME && is_silent(&c.stream)
        };
        let idle = self
            .downstream
            .table
            .least(|c| quiet(c).then_some(c.idle_since));
        idle.inspect(|key| self.drop_downstream(*key)).is_some()
    }

    fn add_client(&mut self, mut stream: TcpStream) {
        let key = self.downstream.table.next_key();
        let both = Interest::READABLE | Interest::WRITABLE;
        if let Err(e) = self.registry.register(&mut stream, client_token(key), both) {
            log::warn!("cannot watch a client: {e}");
            return;
        }
        // Without it a small answer may wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        let idle_since = self.clock.now();
        self.downstream.table.insert(DownstreamConnection {
            stream,
            inbox: None,
            request: None,
            outbox: None,
            sent: 0,
            fed_by: None,
            unframed: false,
            feeds: None,
            let_go: false,
            body_from: idle_since,
            got: 0,
            moved: idle_since,
            op: None,
            receipt: None,
            end: None,
            close: false,
            lingers: false,
            over: false,
            past: 0,
            patient: false,
            answers: 0,
            begun: false,
            ended: false,
            timer: None,
            idle_since,
        });
        // Danger: connections by hundreds that never say anything would hold descriptors for good.
        self.may_stand(key, SLOW);
        self.counters.connections_accepted += 1;
        self.downstream.again.push(key);
    }

    /// The one place where a client's connection and buffers are given back.
    pub fn drop_downstream(&mut self, key: usize) {
        let Some(mut client) = self.downstream.table.take(key) else {
            return;
        };
        if client.fed_by.is_some() && client.unframed {
            // Danger: an answer cut short whose end is the connection's would look whole. A reset tells.
            let _ = SockRef::from(&client.stream).set_linger(Some(Duration::ZERO));
        }
        if let Some(link) = client
            .fed_by
            .filter(|link| self.upstream.connections.get(*link).is_some())
        {
            self.counters.clients_disconnected += 1;
            self.fail_attempt(link, AttemptOutcome::Cancelled, LoadReport::default());
        }
        let _ = self.registry.deregister(&mut client.stream);
        self.timers.unset(client.timer);
        for buffer in [client.inbox, client.outbox].into_iter().flatten() {
            self.buffers.give(buffer);
        }
        if let Some(receipt) = client.receipt {
            // One that was cut off on its way has failed; else the client did not stay for its answer.
            let cut = client.end == Some(RequestOutcome::Failed);
            self.access_metrics.request_finished(
                receipt,
                if cut {
                    RequestOutcome::Failed
                } else {
                    RequestOutcome::ClientDisconnected
                },
            );
        }
        if let Some(op) = client.op {
            self.client_left(op);
        }
    }

    /// Goes on with clients that were answered, and lets waiting ones in where there is room again.
    pub fn serve_ready_clients(&mut self) {
        while let Some(key) = self.downstream.again.pop() {
            self.serve(key);
        }
        if self.downstream.waiting && !self.downstream.table.full() {
            self.accept();
        }
    }

    /// Does for a client whatever can be done now.
    pub fn serve(&mut self, key: usize) {
        while self.write_answer(key) && self.read_request(key) {}
    }

    /// No client comes any more: what has come is read, what is idle closed.
    pub fn shut(&mut self) {
        if !self.upgrade.has_newer_process() {
            self.accept();
        }
        self.stop_listening();
        self.downstream.listener = None;
    }

    /// Closes clients between requests, once what they may have sent is read; those that have just come only at
    /// the very end: they are about to speak, and are told to close then.
    pub fn close_idle(&mut self, all: bool) {
        let now = self.clock.now();
        let keys = self.downstream.table.keys(|_| true);
        for key in keys {
            self.serve(key);
            let stands =
                |c: &DownstreamConnection| c.idle() && (all || now - c.idle_since > JUST_COME);
            if self.downstream.table.get(key).is_some_and(stands) {
                self.drop_downstream(key);
            }
        }
    }
}
