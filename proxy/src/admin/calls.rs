//! The door's calls, heard and answered.

use super::*;
use crate::lifecycle::file_descriptors::lacks;
use crate::proxy::Proxy;

impl Proxy {
    pub fn accept_admin_callers(&mut self) {
        while let Some(listener) = &self.admin.listener {
            match listener.accept() {
                Ok((stream, _)) => self.let_in(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e)
                    if matches!(
                        e.kind(),
                        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
                    ) => {}
                // Danger: connections that stand idle have taken the last descriptor, and no operator gets
                // in.
                Err(e) => {
                    if !(lacks(&e) && self.free_descriptor()) {
                        log::warn!("the door cannot accept: {e}");
                        let at = self.now() + AGAIN;
                        self.timers
                            .set(at, |proxy: &mut Proxy| proxy.accept_admin_callers());
                        return;
                    }
                }
            }
        }
    }

    fn let_in(&mut self, mut stream: TcpStream) {
        let free = |door: &AdminServer| door.callers.iter().position(Option::is_none);
        if free(&self.admin).is_none() {
            // Danger: callers that say nothing keep a whole call out. What they have sent by now is heard
            // first.
            (0..CALLERS_MOST).for_each(|slot| self.admin_event(slot));
            let callers = self.admin.callers.iter().enumerate();
            let ranked =
                callers.filter_map(|(slot, caller)| Some((slot, caller.as_ref()?.worth())));
            let order = |a: &(bool, usize, f64), b: &(bool, usize, f64)| {
                (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
            };
            if let (None, Some((least, _))) =
                (free(&self.admin), ranked.min_by(|a, b| order(&a.1, &b.1)))
            {
                self.send_away(least);
            }
        }
        let Some(slot) = free(&self.admin) else {
            return;
        };
        let both = Interest::READABLE | Interest::WRITABLE;
        if let Err(e) = self
            .registry
            .register(&mut stream, Token(CALLERS.0 + slot), both)
        {
            return log::warn!("cannot watch a caller: {e}");
        }
        let came = self.now();
        let timer = Some(
            self.timers
                .set(came + CALL_WITHIN, move |proxy: &mut Proxy| {
                    proxy.call_due(slot)
                }),
        );
        let said = Buffer::with_capacity(2 * MAX_HEAD_BYTES);
        let caller = Caller {
            stream,
            said,
            answer: Vec::new(),
            sent: 0,
            past: None,
            came,
            timer,
        };
        self.admin.callers[slot] = Some(caller);
        self.admin_event(slot);
    }

    /// The one place where a caller's connection is given back.
    fn send_away(&mut self, slot: usize) {
        let Some(mut caller) = self.admin.callers[slot].take() else {
            return;
        };
        let _ = self.registry.deregister(&mut caller.stream);
        self.timers.cancel(caller.timer);
    }

    fn call_due(&mut self, slot: usize) {
        let Some(caller) = &mut self.admin.callers[slot] else {
            return;
        };
        caller.timer = None;
        if caller.answer.is_empty() && !caller.said.filled().is_empty() {
            self.reply(slot, 408, "");
            self.admin_event(slot);
        } else {
            self.send_away(slot);
        }
    }

    /// Does for a caller whatever can be done now.
    pub fn admin_event(&mut self, slot: usize) {
        while let Some(caller) = &mut self.admin.callers[slot] {
            if let Some(past) = &mut caller.past {
                match caller.stream.read(&mut [0; 4096]) {
                    Ok(read @ 1..) if *past + read <= LINGER_BYTES => *past += read,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                    _ => return self.send_away(slot),
                }
                continue;
            }
            if !caller.answer.is_empty() {
                match caller.stream.write(&caller.answer[caller.sent..]) {
                    Ok(0) => return self.send_away(slot),
                    Ok(n) => caller.sent += n,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                    Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                    Err(_) => return self.send_away(slot),
                }
                if caller.sent == caller.answer.len() {
                    // Danger: closing with bytes unread resets the connection, and the answer is lost.
                    let _ = caller.stream.shutdown(Shutdown::Write);
                    caller.past = Some(0);
                }
                continue;
            }
            let filled = caller.said.read_from(&mut caller.stream);
            let found = http::parse_request(caller.said.filled(), |method, target, _| {
                (
                    method.to_string(),
                    http::origin_form(target)
                        .split('?')
                        .next()
                        .unwrap_or_default()
                        .to_string(),
                )
            });
            match (found, filled) {
                (Ok(Some((_, (method, path)))), _) => {
                    let (status, text) = self.call(&method, &path);
                    self.reply(slot, status, &text);
                }
                (Err(error), _) => self.reply(slot, error.status(), ""),
                (Ok(None), ReadOutcome::Received) => {}
                (Ok(None), ReadOutcome::WouldBlock) => return,
                (Ok(None), ReadOutcome::BufferFull) => self.reply(slot, 431, ""),
                (Ok(None), ReadOutcome::Closed | ReadOutcome::Failed) => {
                    return self.send_away(slot)
                }
            }
        }
    }

    fn reply(&mut self, slot: usize, status: u16, text: &str) {
        let at = self.now() + LINGER;
        let Some(caller) = &mut self.admin.callers[slot] else {
            return;
        };
        caller.answer = http::text_response(status, text).into_bytes();
        self.timers.cancel(caller.timer.take());
        caller.timer = Some(
            self.timers
                .set(at, move |proxy: &mut Proxy| proxy.send_away(slot)),
        );
    }

    /// What a call comes to: a status, and a text.
    fn call(&mut self, method: &str, path: &str) -> (u16, String) {
        let server = path
            .strip_prefix("/v1/servers/")
            .and_then(|rest| rest.rsplit_once('/'));
        let needed = match (path, server) {
            ("/v1/readyz" | "/v1/metrics", _) => "GET",
            ("/fleet", _) if self.cluster.is_some() => "GET",
            (_, Some((_, "suspend" | "resume"))) => "POST",
            _ => return (404, "no such call\n".into()),
        };
        if method != needed {
            return (405, format!("{needed} is the method of this call\n"));
        }
        match server {
            None if path == "/v1/readyz" && self.ready() => (200, "ready\n".into()),
            None if path == "/v1/readyz" => (503, "not ready\n".into()),
            None if path == "/fleet" => {
                let now = self.now();
                let page = self.cluster.as_ref().map(|members| members.page(now));
                (
                    200,
                    page.map_or_else(String::new, |page| format!("{page:#}\n")),
                )
            }
            None => (200, self.figures()),
            Some((id, action)) => match decoded(id) {
                Some(id) if action == "suspend" => self.disable_endpoint(hashed(&id), &id),
                Some(id) => self.enable_endpoint(hashed(&id), &id),
                None => (400, "the id can't be read\n".into()),
            },
        }
    }

    /// What the node reports, a figure a line.
    fn figures(&self) -> String {
        let (discovered, ejected) = self.dispatcher.endpoint_counts();
        self.access_metrics.lines(
            &self.name_index.classes.names,
            self.downstream.incomplete_requests(),
        ) + &format!("discovered={discovered}\nejected={ejected}\n")
            + &self
                .cluster
                .as_ref()
                .map_or_else(String::new, |members| members.figures())
    }
}
