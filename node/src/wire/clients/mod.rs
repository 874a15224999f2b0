//! Clients: their table, connections accepted and given back. What comes from them is read in `reading`,
//! what goes to them is written in `answering`.

mod answering;
mod reading;

use self::reading::{Asked, PACE, SLOW};
use super::http::Message;
use super::silent;
use super::uploading::Upload;
use crate::memory::buffers::Buffer;
use crate::memory::tables::Table;
use crate::memory::tally::{End, Receipt};
use crate::memory::timers::Key;
use crate::proxy::{Proxy, CLIENT, LISTENER};
use crankmux::words::{Ending, Load};
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use socket2::SockRef;
use std::io;
use std::time::Duration;

/// How soon accepting is tried again after an error: a few times within any client's patience.
const ACCEPT_AGAIN: f64 = 50.0;
/// A client that has connected, or begun a request, goes on at once: within the way there, which is under
/// this. Until then it makes no room for others.
const JUST_COME: f64 = 100.0;

struct Client {
    stream: TcpStream,
    /// The request, from its first byte until it is answered.
    inbox: Option<Buffer>,
    request: Option<(Message, Asked)>,
    outbox: Option<Buffer>,
    sent: usize,
    /// The connection to a server from which more of its answer comes.
    fed_by: Option<usize>,
    /// Only the connection's end tells that answer's.
    unframed: bool,
    /// The connection to a server to which its body goes on, and whether its first piece has been let go.
    feeds: Option<usize>,
    let_go: bool,
    /// Since when its body comes, how much has come since, and when anything last came or was taken.
    body_from: f64,
    got: usize,
    moved: f64,
    op: Option<usize>,
    /// Of its op, until the answer is out, and what that answer makes of it.
    receipt: Option<Receipt>,
    end: Option<End>,
    /// Close once the answer is out; then only the other side's end is awaited.
    close: bool,
    lingers: bool,
    /// It asked for something whole, and nothing more is expected of it.
    over: bool,
    /// Bytes read while it lingers; one that was answered while its body still came may go on for longer.
    past: usize,
    patient: bool,
    /// How many it has had.
    answers: u32,
    /// Part of a request is in.
    begun: bool,
    timer: Option<Key>,
    /// When it came, had its last answer, or began a request.
    idle_since: f64,
}

impl Client {
    /// Its head is in, but its body is not whole.
    fn in_body(&self) -> bool {
        self.request.as_ref().is_some_and(|(message, _)| !message.whole())
    }

    /// By when more of its body must have come.
    fn body_due(&self) -> f64 {
        (self.moved + SLOW).min(self.body_from + SLOW + self.got as f64 / PACE)
    }

    /// Neither an op is under way nor an answer to be written.
    fn spare(&self) -> bool {
        self.op.is_none() && self.outbox.is_none()
    }

    fn idle(&self) -> bool {
        self.spare() && self.inbox.is_none() && !self.lingers
    }
}

pub struct Clients {
    listener: Option<TcpListener>,
    /// Whether the loop watches the listener.
    listening: bool,
    table: Table<Client>,
    most: usize,
    /// Connections wait to be accepted.
    waiting: bool,
    accept_again: Option<Key>,
    /// Those that were answered and may have more to say.
    again: Vec<usize>,
}

impl Clients {
    pub fn new(listener: TcpListener, most: usize) -> Self {
        Clients {
            listener: Some(listener),
            listening: false,
            table: Table::new(most),
            most,
            waiting: false,
            accept_again: None,
            again: Vec::new(),
        }
    }

    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// So many from now on.
    pub fn resize(&mut self, most: usize) {
        self.most = most;
        self.table.resize(most);
    }

    pub fn over(&self) -> bool {
        self.table.over()
    }

    pub fn none(&self) -> bool {
        self.table.is_empty()
    }

    /// The request that an op came with.
    pub fn request(&self, client: usize) -> Option<(&[u8], &Message)> {
        let client = self.table.get(client)?;
        Some((client.inbox.as_ref()?.held(), &client.request.as_ref()?.0))
    }

    /// Who makes room first: who had its last answer a while ago and only has to hang up; who has never
    /// ended a request; then whoever was longest without an answer; at last any that only has to hang up.
    /// Danger: were idle ones always first, a new client would go before it could speak, and hundreds that
    /// say nothing would push out those that do.
    fn least_needed(&self, now: f64) -> Option<usize> {
        let stands = |c: &Client| c.spare() && now - c.idle_since > JUST_COME;
        let table = &self.table;
        let over = table.least(|c| (c.lingers && stands(c)).then_some(c.idle_since));
        let strange = || table.least(|c| (c.answers == 0 && !c.lingers && stands(c)).then_some(c.idle_since));
        let idle = || table.least(|c| (!c.lingers && stands(c)).then_some(c.idle_since));
        let hung_up = || table.least(|c| c.lingers.then_some(c.idle_since));
        over.or_else(strange).or_else(idle).or_else(hung_up)
    }

    pub fn nothing_again(&self) -> bool {
        self.again.is_empty() && (self.table.full() || !self.waiting)
    }

    /// A client's buffer, empty, if it has taken all that stood in it.
    pub fn taken(&mut self, key: usize) -> Option<&mut Buffer> {
        let client = self.table.get_mut(key)?;
        let outbox = client.outbox.as_mut().filter(|outbox| client.sent == outbox.held().len())?;
        outbox.cut(0, client.sent);
        client.sent = 0;
        Some(outbox)
    }

    /// Ops taken in whose body is still coming.
    pub fn uploads(&self) -> usize {
        self.table.keys(|c| c.receipt.is_some() && c.in_body()).len()
    }

    /// What its answer, once it is out, makes of its op.
    pub fn ends_as(&mut self, key: usize, end: End) {
        if let Some(client) = self.table.get_mut(key) {
            client.end = Some(end);
        }
    }

    /// Whether it has taken all that stood to be written.
    pub fn has_taken(&self, key: usize) -> bool {
        let client = self.table.get(key);
        client.is_none_or(|c| c.outbox.as_ref().is_none_or(|outbox| c.sent == outbox.held().len()))
    }

    /// Whether its request showed that it knows chunks.
    pub fn takes_chunks(&self, key: usize) -> bool {
        self.table.get(key).and_then(|c| c.request.as_ref()).is_none_or(|(message, _)| message.chunks)
    }

    /// Its body goes on to a connection to a server.
    pub fn feeds(&mut self, key: usize, link: usize) {
        if let Some(client) = self.table.get_mut(key) {
            client.feeds = Some(link);
        }
    }

    /// Its body, while it comes.
    pub fn upload(&mut self, key: usize) -> Option<Upload<'_>> {
        let Client { stream, inbox, request, let_go, got, moved, .. } = self.table.get_mut(key)?;
        let (inbox, (message, _)) = (inbox.as_mut()?, request.as_mut()?);
        Some(Upload { stream, inbox, message, let_go, got, moved })
    }

    /// It has been given more to take: its time to take it starts now, not as its server paused.
    pub fn given(&mut self, key: usize, now: f64) {
        if let Some(client) = self.table.get_mut(key) {
            client.moved = now;
        }
    }

    /// Nothing more comes of its answer.
    pub fn fed(&mut self, key: usize) {
        if let Some(client) = self.table.get_mut(key) {
            client.fed_by = None;
        }
    }

    /// It may have more to say.
    pub fn go_on(&mut self, key: usize) {
        self.again.push(key);
    }

    /// Whether any client still has an answer to come.
    pub fn busy(&self) -> bool {
        !self.table.keys(|c| c.outbox.is_some() || c.op.is_some()).is_empty()
    }
}

impl Proxy {
    /// Has the loop watch the listener.
    pub fn listen(&mut self) {
        if let Some(listener) = self.clients.listener.as_mut().filter(|_| !self.clients.listening) {
            match self.registry.register(listener, LISTENER, Interest::READABLE) {
                Ok(()) => self.clients.listening = true,
                Err(e) => log::error!("cannot watch the listener: {e}"),
            }
        }
    }

    /// Leaves what comes to the other process that has this listener.
    pub fn unlisten(&mut self) {
        if let Some(listener) = self.clients.listener.as_mut().filter(|_| self.clients.listening) {
            let _ = self.registry.deregister(listener);
            self.clients.listening = false;
        }
    }

    pub fn accept(&mut self) {
        self.clients.waiting = false;
        if !self.clients.listening {
            return;
        }
        self.timers.unset(self.clients.accept_again.take());
        loop {
            // Danger: without a free descriptor accepting would fail and spin, and connections that only
            // stand there would keep clients out.
            if self.clients.table.full() && !self.make_room() {
                // All have an op under way or have just come; the others wait until one is answered.
                self.clients.waiting = true;
                return self.accept_later();
            }
            let Some(listener) = &self.clients.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => self.add_client(stream),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                // Danger: the system is out of descriptors before the table is full; the listener stays
                // readable, and trying at once again and again would take the whole core.
                Err(e) => {
                    if !(self.make_room() || self.drop_longest_idle()) {
                        log::warn!("cannot accept: {e}");
                        return self.accept_later();
                    }
                }
            }
        }
    }

    fn accept_later(&mut self) {
        let at = self.now() + ACCEPT_AGAIN;
        self.clients.accept_again = Some(self.timers.set(at, |proxy: &mut Proxy| proxy.accept()));
    }

    /// Drops the least needed client; whether there was one. What it may have sent by now counts as taken,
    /// and is read first.
    fn make_room(&mut self) -> bool {
        self.counters.full += 1;
        while let Some(least) = self.clients.least_needed(self.clock.now()) {
            self.serve(least);
            if self.clients.table.get(least).is_none_or(Client::spare) {
                self.drop_client(least);
                return true;
            }
        }
        false
    }

    /// Drops the client that was idle longest; whether there was one. One that has just come is about to
    /// speak.
    pub fn drop_idle_client(&mut self) -> bool {
        let now = self.clock.now();
        let quiet = |c: &Client| c.idle() && now - c.idle_since > JUST_COME && silent(&c.stream);
        let idle = self.clients.table.least(|c| quiet(c).then_some(c.idle_since));
        idle.inspect(|key| self.drop_client(*key)).is_some()
    }

    fn add_client(&mut self, mut stream: TcpStream) {
        let key = self.clients.table.next_key();
        let both = Interest::READABLE | Interest::WRITABLE;
        if let Err(e) = self.registry.register(&mut stream, CLIENT.token(key), both) {
            log::warn!("cannot watch a client: {e}");
            return;
        }
        // Without it a small answer may wait for the acknowledgement of the one before.
        let _ = stream.set_nodelay(true);
        let idle_since = self.clock.now();
        self.clients.table.insert(Client {
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
            timer: None,
            idle_since,
        });
        // Danger: connections by hundreds that never say anything would hold descriptors for good.
        self.may_stand(key, SLOW);
        self.counters.accepted += 1;
        self.clients.again.push(key);
    }

    /// The one place where a client's connection and buffers are given back.
    pub fn drop_client(&mut self, key: usize) {
        let Some(mut client) = self.clients.table.take(key) else { return };
        if client.fed_by.is_some() && client.unframed {
            // Danger: an answer cut short whose end is the connection's would look whole. A reset tells.
            let _ = SockRef::from(&client.stream).set_linger(Some(Duration::ZERO));
        }
        if let Some(link) = client.fed_by.filter(|link| self.servers.links.get(*link).is_some()) {
            self.counters.departed += 1;
            self.fail(link, Ending::Cancelled, Load::default());
        }
        let _ = self.registry.deregister(&mut client.stream);
        self.timers.unset(client.timer);
        for buffer in [client.inbox, client.outbox].into_iter().flatten() {
            self.buffers.give(buffer);
        }
        if let Some(receipt) = client.receipt {
            // One that was cut off on its way has failed; else the client did not stay for its answer.
            let cut = client.end == Some(End::Aborted);
            self.tally.end(receipt, if cut { End::Aborted } else { End::Departed });
        }
        if let Some(op) = client.op {
            self.client_gone(op);
        }
    }

    /// Goes on with clients that were answered, and lets waiting ones in where there is room again.
    pub fn serve_again(&mut self) {
        while let Some(key) = self.clients.again.pop() {
            self.serve(key);
        }
        if self.clients.waiting && !self.clients.table.full() {
            self.accept();
        }
    }

    /// Does for a client whatever can be done now.
    pub fn serve(&mut self, key: usize) {
        while self.write_answer(key) && self.read_request(key) {}
    }

    /// No client comes any more: what has come is read, what is idle closed.
    pub fn shut(&mut self) {
        if !self.upgrade.followed() {
            self.accept();
        }
        self.unlisten();
        self.clients.listener = None;
    }

    /// Closes clients between requests, once what they may have sent is read.
    pub fn close_idle(&mut self) {
        let keys = self.clients.table.keys(|_| true);
        for key in keys {
            self.serve(key);
            if self.clients.table.get(key).is_some_and(Client::idle) {
                self.drop_client(key);
            }
        }
    }
}
