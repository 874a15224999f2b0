//! Connections to servers: taken, kept, dropped.

use super::*;
use crate::proxy::Proxy;

impl Proxy {
    /// What the list says of a server: where to dial it, or that it gets nothing new.
    pub fn place(&mut self, server: usize, dial: Option<(SocketAddr, f64)>) {
        let records = &mut self.upstream.records;
        if records.len() <= server {
            records.resize_with(server + 1, Record::default);
        }
        if records[server].dial != dial {
            // Danger: connections to a process that is no more may stay open and silent.
            records[server].dial = dial;
            for key in std::mem::take(&mut records[server].idle) {
                self.drop_upstream(key);
            }
        }
    }

    /// Once the whole list is placed: pushes that have not begun leave servers that are not as they were.
    pub fn leave_not_sent(&mut self) {
        // Danger: a connection that comes up only now would carry a new push past the grace.
        let records = &self.upstream.records;
        let left =
            |l: &UpstreamConnection<Proxy>| l.unsent() && records[l.server].dial != Some(l.dial);
        for key in self.upstream.links.keys_where(left) {
            self.fail(key, AttemptOutcome::Unreachable, LoadReport::default());
        }
    }

    /// A connection that stands idle and is still open: the one used last, so that others may be closed,
    /// but none that has only just brought its answer.
    pub(super) fn idle_link(&mut self, server: usize) -> Option<usize> {
        let now = self.now();
        loop {
            let idle = &mut self.upstream.records.get_mut(server)?.idle;
            let links = &self.upstream.links;
            let key = idle.remove(
                idle.iter()
                    .rposition(|key| now - links[*key].idle_since >= QUIET)?,
            );
            let link = &mut self.upstream.links[key];
            self.timers.cancel(link.timer.take());
            if is_silent(&link.stream) {
                return Some(key);
            }
            // Danger: closed meanwhile, or bytes that belong to no push.
            self.drop_upstream(key);
        }
    }

    pub(super) fn dial(&mut self, server: usize) -> Result<usize, AttemptOutcome> {
        if self.upstream.links.is_full() && !self.close_longest_idle_upstream() {
            // Danger: out of descriptors for servers. Nothing was sent, and the op is free to go elsewhere.
            self.counters.full += 1;
            return Err(AttemptOutcome::NotSent);
        }
        let record = self.upstream.records.get(server);
        let dial @ (address, _) = record
            .and_then(|r| r.dial)
            .ok_or(AttemptOutcome::Unreachable)?;
        self.counters.dialled += 1;
        let both = Interest::READABLE | Interest::WRITABLE;
        let key = self.upstream.links.vacant_key();
        let stream = loop {
            let stream = TcpStream::connect(address).and_then(|mut stream| {
                self.registry
                    .register(&mut stream, SERVER.token(key), both)?;
                Ok(stream)
            });
            match stream.map_err(|e| (e.kind(), e)) {
                Ok(stream) => break stream,
                Err((
                    io::ErrorKind::ConnectionRefused
                    | io::ErrorKind::ConnectionReset
                    | io::ErrorKind::HostUnreachable
                    | io::ErrorKind::NetworkUnreachable,
                    _,
                )) => return Err(AttemptOutcome::Unreachable),
                // Danger: what this machine lacks, descriptors say, would be held against the server, and
                // clients that are idle would keep others' ops from going out.
                Err((_, e)) => {
                    // An op that is in goes ahead of clients that have only just come.
                    if !(self.close_idle_downstream() || self.reserved_descriptors.give_up()) {
                        log::warn!("cannot dial: {e}");
                        self.counters.full += 1;
                        return Err(AttemptOutcome::NotSent);
                    }
                }
            }
        };
        let _ = stream.set_nodelay(true);
        self.upstream.links.insert(UpstreamConnection {
            stream,
            server,
            op: 0,
            dial,
            up: false,
            began: 0.0,
            outbox: None,
            sent: 0,
            begun: false,
            whole: false,
            broke: false,
            feeding: None,
            chunked: false,
            fed: false,
            rest_since: None,
            fed_at: None,
            until: None,
            moved: 0.0,
            patience: 0.0,
            inbox: None,
            message: None,
            passing: None,
            held_since: None,
            then: None,
            ends: 0.0,
            timer: None,
            idle_since: 0.0,
        });
        Ok(key)
    }

    pub fn close_longest_idle_upstream(&mut self) -> bool {
        let idle =
            |link: &UpstreamConnection<Proxy>| link.then.is_none().then_some(link.idle_since);
        let Some(key) = self.upstream.links.key_with_least(idle) else {
            return false;
        };
        let server = self.upstream.links[key].server;
        self.upstream.records[server].idle.retain(|k| *k != key);
        self.drop_upstream(key);
        true
    }

    /// The one place where a server's connection and buffers are given back.
    pub fn drop_upstream(&mut self, key: usize) {
        let Some(mut link) = self.upstream.links.remove(key) else {
            return;
        };
        if let Some(passing) = link.passing.take() {
            // Danger: an answer that stops short, taken for a whole one. Its client is cut off and can tell.
            self.drop_downstream(passing.client);
        }
        let _ = self.registry.deregister(&mut link.stream);
        self.timers.cancel(link.timer);
        for buffer in [link.outbox, link.inbox].into_iter().flatten() {
            self.buffers.give_back(buffer);
        }
    }

    /// The push is over: its connection is closed.
    pub fn fail(&mut self, key: usize, ending: AttemptOutcome, load: LoadReport) {
        let now = self.now();
        let Some(link) = self.upstream.links.get_mut(key) else {
            return;
        };
        let (then, took) = (link.then.take(), link.took(now));
        self.drop_upstream(key);
        if let Some(then) = then {
            then(
                self,
                AttemptResponse {
                    ending,
                    load,
                    answer: None,
                    took,
                },
            );
        }
    }

    /// A connection that has brought a whole answer stands idle, for as long as its server is as it was.
    pub fn keep_upstream(&mut self, key: usize) {
        let now = self.now();
        let link = &mut self.upstream.links[key];
        let server = link.server;
        if self.upstream.records[server].dial != Some(link.dial) {
            return self.drop_upstream(key);
        }
        link.idle_since = now;
        self.timers.cancel(link.timer.take());
        let close = move |proxy: &mut Proxy| {
            proxy.upstream.records[server].idle.retain(|k| *k != key);
            proxy.drop_upstream(key);
        };
        link.timer = Some(self.timers.set(now + self.upstream.idle_most, close));
        self.upstream.records[server].idle.push(key);
    }
}
