//! Calls to discovery, and what its list changes here.

use super::*;
use crate::proxy::Proxy;

impl Proxy {
    /// Takes a list over: to the decisions, and where to dial.
    pub fn apply_endpoint_list(&mut self, list: &List, cached: bool) {
        let now = self.now();
        let lines: Vec<EndpointUpdate> = list.lines.iter().map(|(line, _)| *line).collect();
        self.dispatcher
            .update_endpoints(now, &lines, list.whole, cached);
        if list.whole {
            let listed: HashSet<usize> = lines.iter().map(|line| line.endpoint).collect();
            for server in (0..self.upstream.met()).filter(|server| !listed.contains(server)) {
                self.place(server, None);
            }
        }
        for (line, dial) in &list.lines {
            self.disabled_endpoints.listed(line.stable_hash);
            self.place(line.endpoint, *dial);
        }
        self.leave_not_sent();
        self.gossip_endpoint_list(list);
        self.name_index
            .retain_endpoints(|server| self.dispatcher.knows_endpoint(server));
    }

    /// Calls discovery: for the whole list first, then for what has come since.
    pub fn poll_endpoints(&mut self) {
        let now = self.now();
        let discovery = &mut self.discovery;
        if discovery.timer.is_some() {
            // A call is on its way.
            return;
        }
        let (path, wait) = match discovery.seq {
            // At the start only what has come since the known list. Danger: were all nodes of a release to
            // ask for whole lists at one moment, discovery would be short of room. After a failure without a
            // wait: danger, one failure behind another that each take a watch's time to show.
            Some(seq) if !discovery.heard || discovery.failed => {
                (format!("/catalog/members?from={seq}&hold_ms=0"), 0.0)
            }
            Some(seq) => (format!("/catalog/members?from={seq}&hold_ms={HOLD}"), HOLD),
            None => ("/catalog/members".to_string(), 0.0),
        };
        discovery.ask =
            format!("GET {path} HTTP/1.1\r\nHost: {}\r\n\r\n", discovery.address).into_bytes();
        (discovery.sent, discovery.asked_at, discovery.message) = (0, now, None);
        discovery.inbox.remove(0..discovery.inbox.filled().len());
        let late = |proxy: &mut Proxy| {
            proxy.list_call_failed("no answer");
            proxy.discovery.late = true;
        };
        let grace = if discovery.late { 2.0 * GRACE } else { GRACE };
        discovery.timer = Some(self.timers.set(now + wait + grace, late));
        if discovery.stream.is_none() {
            let mut stream = self.dial_discovery();
            if stream.is_err() && self.free_descriptor() {
                stream = self.dial_discovery();
            }
            match stream {
                Ok(stream) => self.discovery.stream = Some(stream),
                Err(e) => return self.list_call_failed(&e.to_string()),
            }
        }
        self.discovery_event();
    }

    fn dial_discovery(&self) -> std::io::Result<TcpStream> {
        let mut stream = TcpStream::connect(self.discovery.address)?;
        self.registry.register(
            &mut stream,
            DISCOVERY,
            Interest::READABLE | Interest::WRITABLE,
        )?;
        Ok(stream)
    }

    /// Follows the list at an address, as a reload names it. The servers known so far stay until it has
    /// spoken.
    pub fn watch_discovery(&mut self, address: SocketAddr) {
        if self.discovery.address == address {
            return;
        }
        // Danger: the old address says nothing more, and its versions need not be the new one's.
        self.hang_up();
        self.timers.cancel(self.discovery.timer.take());
        (
            self.discovery.address,
            self.discovery.seq,
            self.discovery.late,
        ) = (address, None, false);
        self.poll_endpoints();
    }

    fn hang_up(&mut self) {
        if let Some(mut stream) = self.discovery.stream.take() {
            let _ = self.registry.deregister(&mut stream);
        }
    }

    /// Discovery has said something, or failed to.
    fn has_spoken(&mut self) {
        if !std::mem::replace(&mut self.discovery.heard, true) {
            self.listen_after_first_list();
        }
    }

    fn list_call_failed(&mut self, why: &str) {
        log::warn!("discovery: {why}");
        self.hang_up();
        self.timers.cancel(self.discovery.timer.take());
        self.has_spoken();
        (self.discovery.failed, self.discovery.late) = (true, false);
        self.counters.lists_failed += 1;
        let now = self.now();
        self.dispatcher.discovery_failed(now);
    }

    pub fn discovery_event(&mut self) {
        let discovery = &mut self.discovery;
        let Some(stream) = &mut discovery.stream else {
            return;
        };
        if stream.peer_addr().is_err() {
            if let Ok(Some(e)) = stream.take_error() {
                self.list_call_failed(&e.to_string());
            }
            return;
        }
        if discovery.timer.is_none() {
            // Between calls it has nothing to say but its end.
            if discovery.inbox.read_from(stream) != ReadOutcome::WouldBlock {
                self.hang_up();
            }
            return;
        }
        while discovery.sent < discovery.ask.len() {
            match stream.write(&discovery.ask[discovery.sent..]) {
                Ok(n) => discovery.sent += n,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(e) => return self.list_call_failed(&e.to_string()),
            }
        }
        loop {
            let filled = discovery.inbox.read_from(stream);
            let ended = filled == ReadOutcome::Closed;
            if discovery.message.is_none() {
                match http::parse_response(discovery.inbox.filled(), LIST_MOST, |status, _| status)
                {
                    Ok(found) => discovery.message = found,
                    Err(_) => return self.list_call_failed("not an HTTP answer"),
                }
            }
            let whole = match &mut discovery.message {
                Some((message, _)) => message
                    .advance(&mut discovery.inbox)
                    .map(|whole| whole || ended && message.ends_at_close()),
                None => Ok(false),
            };
            match (whole, filled) {
                (Err(_), _) => return self.list_call_failed("a broken answer"),
                (Ok(true), _) => return self.list_answered(),
                (Ok(false), ReadOutcome::Received) => {}
                (Ok(false), ReadOutcome::WouldBlock) => return,
                (Ok(false), ReadOutcome::BufferFull) if discovery.inbox.grow(LIST_MOST) => {}
                (Ok(false), ReadOutcome::BufferFull) => {
                    return self.list_call_failed("too long a list")
                }
                (Ok(false), _) => return self.list_call_failed("the connection ended"),
            }
        }
    }

    fn list_answered(&mut self) {
        let now = self.now();
        let discovery = &mut self.discovery;
        let Some((message, status)) = discovery.message.take() else {
            return;
        };
        let body = &discovery.inbox.filled()[message.body_start..message.body_end];
        let list = match (status, serde_json::from_slice(body)) {
            (200, Ok(list)) => {
                let read = read_list(&mut self.name_index, &list);
                if read.is_ok() {
                    self.discovery.keep(&list);
                }
                read
            }
            (200, Err(e)) => Err(e.to_string()),
            _ => Err(format!("status {status}")),
        };
        if self.discovery.inbox.capacity() > LIST_FIRST {
            // Whole lists are rare: what one needed is not kept.
            self.discovery.inbox = Buffer::with_capacity(LIST_FIRST);
        }
        let list = match list {
            Ok(list) => list,
            Err(e) => return self.list_call_failed(&e),
        };
        if !message.keep_alive {
            self.hang_up();
        }
        let discovery = &mut self.discovery;
        self.timers.cancel(discovery.timer.take());
        (discovery.failed, discovery.late) = (false, false);
        self.counters.lists += 1;
        if !list.whole && discovery.seq.is_some_and(|seq| list.seq < seq) {
            // Danger: versions of another discovery, say. What this one has to tell since ours is unknown:
            // all of it.
            discovery.seq = None;
            return self.poll_endpoints();
        }
        let early = discovery.seq == Some(list.seq) && now - discovery.asked_at < APART;
        discovery.seq = Some(list.seq);
        self.apply_endpoint_list(&list, false);
        self.has_spoken();
        if early {
            self.timers
                .set(now + APART, |proxy: &mut Proxy| proxy.poll_endpoints());
        } else {
            self.poll_endpoints();
        }
    }
}
