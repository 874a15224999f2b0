//! Clients: accepts connections, reads requests, writes answers.

use super::discovery::hashed;
use super::http::{self, Message, Refused};
use super::passing::STALL;
use super::servers::start_of;
use super::silent;
use super::uploading::Upload;
use crate::memory::buffers::{Buffer, Filled, BODY_LONG, BODY_MOST};
use crate::memory::ops::Ops;
use crate::memory::tables::Table;
use crate::memory::tally::{End, Receipt};
use crate::memory::timers::Key;
use crate::proxy::{Proxy, CLIENT, LISTENER};
use crankmux::given::Names;
use crankmux::words::{Arrival, Ending, Load};
use httparse::Header;
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::Shutdown;
use std::time::Duration;

/// The head of a new connection's first request, and of a later one from its first byte on, must be in within
/// this many milliseconds, and a body may not stand for so long: under the 3 s in which even a rude client is owed
/// an error or a close.
const SLOW: f64 = 2500.0;
/// Beyond that a body keeps this pace, in bytes a millisecond: a quarter of the slowest that is promised.
const PACE: f64 = 16.0;
/// How long a connection stays on which no request follows the last answer: longer than clients pause
/// between two requests while they have work.
const IDLE_MOST: f64 = 2000.0;
/// The share of all clients' connections that may stand idle after an answer. Danger: clients that ask once and
/// stay use up what their side may open, and others, who would ask, find no connection left.
const IDLE_SHARE: f64 = 1.0 / 3.0;
/// The same of those that have asked only once: clients with more to ask have mostly come back.
const ONCE_SHARE: f64 = 1.0 / 8.0;
/// How long a connection that is being closed still reads, so that its last answer is not lost, and how many
/// bytes: more than a socket's buffer holds by the time that the answer arrives.
const LINGER: f64 = 1000.0;
const LINGER_BYTES: usize = 256 * 1024;
/// How soon accepting is tried again after an error: a few times within any client's patience.
const ACCEPT_AGAIN: f64 = 50.0;
/// A client that has connected, or begun a request, goes on at once: within the way there, which is under this.
/// Until then it makes no room for others.
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

/// What a request asks for.
#[derive(Clone, Copy)]
enum Asked {
    Health,
    /// With the mark of its id.
    Op(Arrival, u64),
    /// For a category that was served once.
    Vanished(usize),
}

/// Longer than any client waits: a deadline past it is a mistake.
const TTL_MOST: f64 = 3600.0;

fn asked(
    names: &Names,
    ops: &Ops,
    key: Option<&str>,
    method: &str,
    path: &str,
    headers: &[Header],
) -> Result<Asked, Refused> {
    if path == "/_health" {
        return Ok(Asked::Health);
    }
    if matches!(method, "HEAD" | "CONNECT") {
        // Their answers have no body, whatever is told of its length.
        return Err(405);
    }
    let header = |name: &str| http::value(headers, name).filter(|v| !v.is_empty());
    // Danger: two headers of one name are read in two ways by two readers.
    let told_twice = |name: &&str| headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).count() > 1;
    if ["X-Request-ID", "X-Priority-Class", "X-Timeout"].iter().any(told_twice) {
        return Err(400);
    }
    let mark = ops.mark(header("X-Request-ID").ok_or(400_u16)?);
    let category = header("X-Priority-Class").ok_or(400_u16)?;
    if path.trim_start_matches('/').split(['/', '?']).next() != Some(category) {
        return Err(400);
    }
    let Some(category) = names.categories.index(category) else {
        // Danger: clients that have not heard of it yet, whose failures no figure would tell.
        let once = names.categories.names.iter().position(|name| name == category);
        return once.map(Asked::Vanished).ok_or(400);
    };
    let ttl: f64 = header("X-Timeout").and_then(|v| v.parse().ok()).ok_or(400_u16)?;
    if !(ttl > 0.0 && ttl <= TTL_MOST) {
        return Err(400);
    }
    let customer = header("X-Tenant-Id");
    if customer.is_none() && !names.customers.is_empty() {
        return Err(400);
    }
    let customer = customer.and_then(|name| names.customers.index(name));
    let retry = header("X-Retried") == Some("1");
    // All nodes come to the same number, so that a key's servers are known to all alike.
    let key = key.and_then(header).map(hashed);
    Ok(Asked::Op(Arrival { op: 0, category, customer, ttl: ttl * 1000.0, retry, key }, mark))
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

    /// Writes what is left of an answer; whether the connection may be read.
    pub fn write_answer(&mut self, key: usize) -> bool {
        let Some(client) = self.clients.table.get_mut(key) else { return false };
        let Some(outbox) = &client.outbox else { return true };
        let before = client.sent;
        let drained = outbox.drain(&mut client.sent, &mut client.stream);
        if client.sent > before {
            client.moved = self.clock.now();
        }
        match drained {
            Ok(false) => false,
            Err(e) => {
                log::debug!("a client left in the middle of its answer: {e}");
                self.drop_client(key);
                false
            }
            Ok(true) if client.fed_by.is_some() => {
                // What it has taken makes room for the next piece; nothing else but its end is of interest.
                if !matches!(client.stream.peek(&mut [0]), Ok(1..)) && !silent(&client.stream) {
                    log::debug!(
                        "a client left in the middle of its answer: {:?}",
                        client.stream.peek(&mut [0])
                    );
                    self.drop_client(key);
                } else {
                    self.links_again.extend(client.fed_by);
                }
                false
            }
            Ok(true) => {
                let outbox = client.outbox.take();
                if let (Some(receipt), Some(end)) = (client.receipt.take(), client.end.take()) {
                    self.tally.end(receipt, end);
                }
                self.timers.unset(client.timer.take());
                outbox.into_iter().for_each(|b| self.buffers.give(b));
                client.idle_since = self.clock.now();
                client.answers = client.answers.saturating_add(1);
                client.begun = client.inbox.is_some();
                if client.over && client.inbox.is_none() && silent(&client.stream) {
                    self.drop_client(key);
                    return false;
                }
                if client.close {
                    // Danger: closing with bytes unread resets the connection, and the answer is lost.
                    client.lingers = true;
                    let _ = client.stream.shutdown(Shutdown::Write);
                    let at = client.idle_since + LINGER;
                    client.timer = Some(self.timers.set(at, move |proxy: &mut Proxy| proxy.lingered(key)));
                } else {
                    let most = if client.begun { SLOW } else { IDLE_MOST };
                    self.may_stand(key, most);
                    self.bound_idle();
                }
                true
            }
        }
    }

    /// Closes whoever had its answer longest ago, where too many stand there since theirs.
    fn bound_idle(&mut self) {
        let now = self.clock.now();
        for (share, most_answers) in [(ONCE_SHARE, 1), (IDLE_SHARE, u32::MAX)] {
            let stands = |c: &Client| {
                (1..=most_answers).contains(&c.answers) && c.idle() && now - c.idle_since > JUST_COME
            };
            let mut standing = self.clients.table.keys(stands);
            let over = standing.len().saturating_sub((share * self.clients.most as f64) as usize);
            if over > 0 {
                let since = |key: &usize| self.clients.table[*key].idle_since;
                standing.sort_unstable_by(|a, b| since(a).total_cmp(&since(b)));
            }
            for key in standing.into_iter().take(over) {
                // One that speaks up just now is heard.
                if silent(&self.clients.table[key].stream) {
                    self.drop_client(key);
                }
            }
        }
    }

    /// From now on nothing but a whole request may keep the connection for longer than this.
    fn may_stand(&mut self, key: usize, most: f64) {
        let at = self.clock.now() + most;
        let Some(client) = self.clients.table.get_mut(key) else { return };
        self.timers.unset(client.timer.take());
        client.timer = Some(self.timers.set(at, move |proxy: &mut Proxy| proxy.stood(key)));
    }

    /// It has stood for as long as it may; what it has sent by now is read first.
    fn stood(&mut self, key: usize) {
        if let Some(client) = self.clients.table.get_mut(key) {
            client.timer = None;
        }
        self.serve(key);
        let now = self.clock.now();
        let Some(client) = self.clients.table.get_mut(key) else { return };
        if client.outbox.is_some() || client.timer.is_some() {
            return;
        }
        if client.in_body() {
            if client.op.is_some() && !self.servers.hungry(client.feeds, key) {
                // It is the server's turn: what it takes its time for is not held against the client.
                (client.body_from, client.got, client.moved) = (now, 0, now);
            }
            let due = client.body_due();
            if due > now + 1.0 {
                client.timer = Some(self.timers.set(due, move |proxy: &mut Proxy| proxy.stood(key)));
                return;
            }
            if client.op.is_some() {
                self.counters.bad += 1;
                return self.drop_client(key);
            }
        }
        let Some(client) = self.clients.table.get(key).filter(|c| c.spare()) else { return };
        if client.inbox.is_some() {
            // Danger: a client that sends a byte now and then would hold a buffer for ever.
            self.counters.bad += 1;
            self.refuse(key, 408);
        } else {
            self.drop_client(key);
        }
    }

    /// Reads towards the next request and has it served; whether there is more to do at once.
    fn read_request(&mut self, key: usize) -> bool {
        let Some(client) = self.clients.table.get_mut(key) else { return false };
        if client.op.is_some() && client.in_body() {
            // Whoever it feeds reads on.
            self.links_again.extend(client.feeds);
            return false;
        }
        if client.op.is_some() {
            // What comes after a request waits for its answer; only an end is of interest.
            if !matches!(client.stream.peek(&mut [0]), Ok(1..)) && !silent(&client.stream) {
                self.drop_client(key);
            }
            return false;
        }
        if client.lingers {
            // Danger: a client that goes on sending at full speed would keep the loop for itself. What it sends
            // past this stays with its own machine until the connection is closed.
            if client.past >= if client.patient { BODY_LONG } else { LINGER_BYTES } {
                return false;
            }
            return match client.stream.read(&mut [0; 16 * 1024]) {
                Ok(read @ 1..) => {
                    client.past += read;
                    client.moved = self.clock.now();
                    true
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => false,
                _ => {
                    self.drop_client(key);
                    false
                }
            };
        }
        let Some(mut inbox) = client.inbox.take().or_else(|| self.buffers.take()) else {
            // Danger: the pool is empty. The client is refused unread, and its next try is harmless.
            self.counters.full += 1;
            self.refuse(key, 503);
            return true;
        };
        match self.read_whole(key, &mut inbox) {
            Ok(Some(asked)) => {
                self.put_back(key, inbox);
                self.hear(key, asked);
                true
            }
            Ok(None) => self.read_more(key, inbox),
            Err(status) => {
                log::debug!("a request is refused with {status}: {}", start_of(&inbox));
                self.put_back(key, inbox);
                self.counters.bad += 1;
                self.refuse(key, status);
                true
            }
        }
    }

    fn put_back(&mut self, key: usize, inbox: Buffer) {
        match self.clients.table.get_mut(key) {
            Some(client) => client.inbox = Some(inbox),
            None => self.buffers.give(inbox),
        }
    }

    /// What is asked, once the whole request is in.
    fn read_whole(&mut self, key: usize, inbox: &mut Buffer) -> Result<Option<Asked>, Refused> {
        let client = &mut self.clients.table[key];
        if client.request.is_none() {
            // Danger: line ends left over behind the last request, taken for a request that never ends.
            let blank = inbox.held().iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
            inbox.cut(0, blank);
            let (names, ops, key) = (&self.names, &self.ops, self.key_header.as_deref());
            let head = http::request(inbox.held(), |method, path, headers| {
                let expect = http::value(headers, "expect").unwrap_or_default();
                (asked(names, ops, key, method, path, headers), expect.eq_ignore_ascii_case("100-continue"))
            })?;
            let Some((message, (asked, expects))) = head else { return Ok(None) };
            log::trace!("{}", String::from_utf8_lossy(&inbox.held()[..message.head]));
            // What its head rules out is refused before its body has come.
            client.request = Some((message, asked?));
            let now = self.clock.now();
            (client.body_from, client.got, client.moved) = (now, 0, now);
            (client.feeds, client.let_go) = (None, false);
            if expects {
                // So short a line fits into an empty socket buffer.
                let _ = client.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n");
            }
        }
        let Some((message, asked)) = &mut client.request else { return Ok(None) };
        // One too long to be held whole is heard before its end.
        let whole = message.advance(inbox)?;
        Ok((whole || message.end - message.head > BODY_MOST).then_some(*asked))
    }

    /// Reads on; whether anything came.
    fn read_more(&mut self, key: usize, mut inbox: Buffer) -> bool {
        let client = &mut self.clients.table[key];
        let before = inbox.held().len();
        let filled = inbox.fill(&mut client.stream);
        if inbox.held().len() > before {
            client.got += inbox.held().len() - before;
            client.moved = self.clock.now();
        }
        if inbox.held().is_empty() {
            self.buffers.give(inbox);
        } else {
            client.inbox = Some(inbox);
            if !std::mem::replace(&mut client.begun, true) {
                client.idle_since = self.clock.now();
                // A new connection's time has run since it came.
                if client.answers > 0 {
                    self.may_stand(key, SLOW);
                }
            }
        }
        match filled {
            Filled::Some => return true,
            Filled::Later => {}
            Filled::Ended => self.drop_client(key),
            Filled::Full => {
                self.counters.bad += 1;
                self.refuse(key, 413);
                return true;
            }
        }
        false
    }

    fn hear(&mut self, key: usize, asked: Asked) {
        let client = &mut self.clients.table[key];
        self.timers.unset(client.timer.take());
        client.begun = false;
        client.close = !client.request.as_ref().is_some_and(|(m, _)| m.keep);
        // Danger: health checks that keep their connection, a thousand a second, leave no room for ops.
        client.close |= matches!(asked, Asked::Health);
        client.over = client.close;
        match asked {
            Asked::Health => {
                let status = if self.ready() { 200 } else { 503 };
                self.answer(key, status, 0.0);
            }
            Asked::Vanished(category) => {
                client.receipt = Some(self.tally.take_in(category));
                self.counters.bad += 1;
                self.refuse(key, 400);
            }
            Asked::Op(_, mark) if self.ops.is_open(mark) => {
                // Danger: two clients under one id, of whom one would get the other's answer.
                self.counters.bad += 1;
                self.refuse(key, 409);
            }
            Asked::Op(arrival, mark) => {
                client.receipt = Some(self.tally.take_in(arrival.category));
                let op = self.take_in(key, arrival, mark);
                // It may be answered already.
                let waits = self.ops.waits(op);
                if let Some(client) = self.clients.table.get_mut(key).filter(|_| waits) {
                    client.op = Some(op);
                    if client.in_body() {
                        self.may_stand(key, SLOW);
                    }
                }
            }
        }
    }

    /// An answered client has been read from for a while: one whose body still comes may go on, or would not
    /// read its answer.
    fn lingered(&mut self, key: usize) {
        let now = self.clock.now();
        let Some(client) = self.clients.table.get_mut(key) else { return };
        client.timer = None;
        if client.patient && now - client.moved < LINGER && client.past < BODY_LONG {
            client.timer = Some(self.timers.set(now + LINGER, move |proxy: &mut Proxy| proxy.lingered(key)));
        } else {
            self.drop_client(key);
        }
    }

    /// Whether a client takes its answer at all.
    fn answer_due(&mut self, key: usize) {
        let now = self.clock.now();
        let waits = self.clients.has_taken(key);
        let Some(client) = self.clients.table.get_mut(key).filter(|c| c.outbox.is_some()) else { return };
        client.timer = None;
        // It is the server's turn.
        client.moved = if waits { now } else { client.moved };
        if now - client.moved >= STALL {
            // Danger: a client that does not read its answer would hold a buffer for ever.
            self.counters.stalled += 1;
            log::info!("a client took nothing of its answer for {STALL} ms");
            return self.drop_client(key);
        }
        let at = client.moved + STALL;
        client.timer = Some(self.timers.set(at, move |proxy: &mut Proxy| proxy.answer_due(key)));
    }

    /// Refuses the rest of a body that was being fed on: its push is called off before its last byte.
    pub fn refuse_upload(&mut self, key: usize, status: Refused) {
        let op = self.clients.table.get_mut(key).and_then(|client| client.op.take());
        self.refuse(key, status);
        if let Some(op) = op {
            self.client_gone(op);
        }
    }

    /// Refuses what cannot be read on; the connection goes with it.
    fn refuse(&mut self, key: usize, status: Refused) {
        if let Some(client) = self.clients.table.get_mut(key) {
            (client.close, client.over) = (true, false);
            self.answer(key, status, 0.0);
        }
    }

    /// An answer of the node's own.
    pub fn answer(&mut self, key: usize, status: u16, come_back: f64) {
        self.clients.ends_as(key, if status == 503 { End::Declined } else { End::Aborted });
        self.answer_by(key, |close, to| to.add(http::plain(status, come_back, close).as_bytes()));
    }

    /// More of a client's answer will come from a connection to a server.
    pub fn feed_client(&mut self, key: usize, link: usize, unframed: bool) {
        if let Some(client) = self.clients.table.get_mut(key) {
            (client.fed_by, client.unframed) = (Some(link), unframed);
            client.close |= unframed;
        }
    }

    /// A server's answer, handed back.
    pub fn hand_back(&mut self, key: usize, held: &[u8], message: &Message) {
        self.clients.ends_as(key, End::Succeeded);
        self.answer_by(key, |close, to| http::hand_back(held, message, close, to));
    }

    /// Writes an answer as far as it goes, and gives the request's buffer back.
    pub fn answer_by(&mut self, key: usize, compose: impl FnOnce(bool, &mut Buffer) -> bool) {
        let stopping = self.stopping();
        let Some(client) = self.clients.table.get_mut(key) else { return };
        client.op = None;
        client.close |= stopping;
        self.timers.unset(client.timer.take());
        if let Some(mut inbox) = client.inbox.take() {
            if client.in_body() {
                // What still comes of its body is read away.
                (client.close, client.over, client.patient) = (true, false, client.receipt.is_some());
            }
            // What came behind the request is the next one's.
            let end = client.request.take().map_or(inbox.held().len(), |(m, _)| m.end);
            inbox.cut(0, end);
            if inbox.held().is_empty() || client.close {
                self.buffers.give(inbox);
            } else {
                client.inbox = Some(inbox);
            }
        }
        let Some(mut outbox) = self.buffers.take_last() else {
            // Danger: not even an answer's buffer is left, as many clients do not read. This one is cut off.
            log::warn!("no buffer for an answer");
            self.counters.full += 1;
            return self.drop_client(key);
        };
        if !compose(client.close, &mut outbox) {
            // Danger: a server's head that does not fit. The client must not take it for an answer.
            self.buffers.give(outbox);
            return self.drop_client(key);
        }
        let now = self.clock.now();
        (client.outbox, client.sent, client.moved) = (Some(outbox), 0, now);
        client.timer = Some(self.timers.set(now + STALL, move |proxy: &mut Proxy| proxy.answer_due(key)));
        self.write_answer(key);
        self.clients.again.push(key);
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
