//! DownstreamConnections: their table, connections accepted and given back. What comes from them is read in `reading`,
//! what goes to them is written in `answering`.

mod accept;
mod read_request;
mod request_error;
mod request_head;
mod write_response;

pub use request_error::RequestError;

use crate::buffers::Buffer;
use crate::http::Message;
use crate::metrics::access::{End, RequestReceipt};
use crate::slot_table::SlotTable;
use crate::socket::is_silent;
use crate::streaming::Upload;
use crate::timers::TimerKey;
use crate::tokens::{CLIENT, LISTENER};
use crankmux::types::{AttemptOutcome, LoadReport};
use mio::net::{TcpListener, TcpStream};
use mio::Interest;
use request_head::RequestKind;
use socket2::SockRef;
use std::io;
use std::time::Duration;

/// The head of a new connection's first request, and of a later one from its first byte on, must be in within
/// this many milliseconds, and a body may not stand for so long: under the 3 s in which even a rude client
/// is owed an error or a close.
const SLOW: f64 = 2500.0;
/// How long a connection that is being closed still reads, so that its last answer is not lost, and how many
/// bytes: more than a socket's buffer holds by the time that the answer arrives.
const LINGER: f64 = 1000.0;
const LINGER_BYTES: usize = 256 * 1024;
/// Beyond that a body keeps this pace, in bytes a millisecond: a quarter of the slowest that is promised.
const PACE: f64 = 16.0;

/// How soon accepting is tried again after an error: a few times within any client's patience.
const ACCEPT_AGAIN: f64 = 50.0;
/// A client that has connected, or begun a request, goes on at once: within the way there, which is under
/// this. Until then it makes no room for others.
const JUST_COME: f64 = 100.0;

struct DownstreamConnection {
    stream: TcpStream,
    /// The request, from its first byte until it is answered.
    inbox: Option<Buffer>,
    request: Option<(Message, RequestKind)>,
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
    receipt: Option<RequestReceipt>,
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
    /// Its side has ended or broken, with bytes ahead of that perhaps still unread.
    ended: bool,
    timer: Option<TimerKey>,
    /// When it came, had its last answer, or began a request.
    idle_since: f64,
}

impl DownstreamConnection {
    /// Its head is in, but its body is not whole.
    fn in_body(&self) -> bool {
        self.request
            .as_ref()
            .is_some_and(|(message, _)| !message.is_complete())
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

pub struct DownstreamConnections {
    listener: Option<TcpListener>,
    /// Whether the loop watches the listener.
    listening: bool,
    table: SlotTable<DownstreamConnection>,
    most: usize,
    /// Connections wait to be accepted.
    waiting: bool,
    accept_again: Option<TimerKey>,
    /// Those that were answered and may have more to say.
    again: Vec<usize>,
    /// Those whose end has just shown.
    ended: Vec<usize>,
}

impl DownstreamConnections {
    pub fn new(listener: TcpListener, most: usize) -> Self {
        DownstreamConnections {
            listener: Some(listener),
            listening: false,
            table: SlotTable::new(most),
            most,
            waiting: false,
            accept_again: None,
            again: Vec::new(),
            ended: Vec::new(),
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
        let stands = |c: &DownstreamConnection| c.spare() && now - c.idle_since > JUST_COME;
        let table = &self.table;
        let over = table.least(|c| (c.lingers && stands(c)).then_some(c.idle_since));
        let strange =
            || table.least(|c| (c.answers == 0 && !c.lingers && stands(c)).then_some(c.idle_since));
        let idle = || table.least(|c| (!c.lingers && stands(c)).then_some(c.idle_since));
        let hung_up = || table.least(|c| c.lingers.then_some(c.idle_since));
        over.or_else(strange).or_else(idle).or_else(hung_up)
    }

    pub fn none_ready(&self) -> bool {
        self.again.is_empty() && (self.table.full() || !self.waiting)
    }

    /// A client's buffer, empty, if it has taken all that stood in it.
    pub fn taken(&mut self, key: usize) -> Option<&mut Buffer> {
        let client = self.table.get_mut(key)?;
        let outbox = client
            .outbox
            .as_mut()
            .filter(|outbox| client.sent == outbox.held().len())?;
        outbox.cut(0, client.sent);
        client.sent = 0;
        Some(outbox)
    }

    /// Requests taken in whose body is still coming.
    pub fn uploads(&self) -> usize {
        self.table
            .keys(|c| c.receipt.is_some() && c.in_body())
            .len()
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
        client.is_none_or(|c| {
            c.outbox
                .as_ref()
                .is_none_or(|outbox| c.sent == outbox.held().len())
        })
    }

    /// Whether its request showed that it knows chunks.
    pub fn takes_chunks(&self, key: usize) -> bool {
        self.table
            .get(key)
            .and_then(|c| c.request.as_ref())
            .is_none_or(|(message, _)| message.accepts_chunked)
    }

    /// Its body goes on to a connection to a server.
    pub fn feeds(&mut self, key: usize, link: usize) {
        if let Some(client) = self.table.get_mut(key) {
            client.feeds = Some(link);
        }
    }

    /// Its body, while it comes.
    pub fn upload(&mut self, key: usize) -> Option<Upload<'_>> {
        let DownstreamConnection {
            stream,
            inbox,
            request,
            let_go,
            got,
            moved,
            ..
        } = self.table.get_mut(key)?;
        let (inbox, (message, _)) = (inbox.as_mut()?, request.as_mut()?);
        Some(Upload {
            stream,
            inbox,
            message,
            let_go,
            got,
            moved,
        })
    }

    /// Whether all of its request has come, read or not, where the request tells its length.
    pub fn rest_is_here(&self, key: usize) -> bool {
        let Some(DownstreamConnection {
            stream,
            inbox: Some(inbox),
            request: Some((message, _)),
            ..
        }) = self.table.get(key)
        else {
            return false;
        };
        let unread = rustix::io::ioctl_fionread(stream).unwrap_or(0) as usize;
        let here =
            message.body_received() + inbox.held().len().saturating_sub(message.body_end) + unread;
        message.body_length().is_some_and(|length| here >= length)
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

    /// Its side has ended or broken; what it sent before that may still be unread.
    pub fn mark_closed(&mut self, key: usize) {
        if let Some(client) = self.table.get_mut(key) {
            client.ended = true;
            self.ended.push(key);
        }
    }

    /// Those whose end has shown since it was last asked.
    pub fn ended(&mut self) -> Vec<usize> {
        std::mem::take(&mut self.ended)
    }

    /// It may have more to say.
    pub fn go_on(&mut self, key: usize) {
        self.again.push(key);
    }

    /// Whether any client still has an answer to come.
    pub fn busy(&self) -> bool {
        !self
            .table
            .keys(|c| c.outbox.is_some() || c.op.is_some())
            .is_empty()
    }
}
