//! HTTP/1.1 messages: where a body ends, which headers go on, plain answers. Bodies are brought together in
//! place, in the buffer that they came in.

use crate::buffers::{Buffer, BODY_LONG, HEAD_MOST};
use httparse::{Header, Status, EMPTY_HEADER};

/// More headers than any client of ours sends; each costs stack only.
const HEADERS_MOST: usize = 64;

/// How a body still comes.
enum Coming {
    Length(usize),
    Chunk(usize),
    ChunkEnd,
    ChunkHead,
    Trailer,
    /// Ends with the connection.
    Unframed,
    Whole,
}

/// A message in a buffer: its head ends at `head`, its body, as far as it has come, at `end`.
pub struct Message {
    pub head: usize,
    pub end: usize,
    /// The connection may carry another.
    pub keep: bool,
    /// Its sender knows chunks.
    pub chunks: bool,
    most: usize,
    /// Bytes of its body that have left the buffer.
    gone: usize,
    coming: Coming,
}

/// How a body that is passed on is told to end.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    Length(usize),
    Chunked,
    Unframed,
}

impl BodyFraming {
    /// The last lines of a head.
    fn lines(self) -> String {
        match self {
            BodyFraming::Length(length) => format!("Content-Length: {length}\r\n\r\n"),
            BodyFraming::Chunked => "Transfer-Encoding: chunked\r\n\r\n".into(),
            BodyFraming::Unframed => "\r\n".into(),
        }
    }
}

/// Adds a piece of a body, as a chunk where it goes in chunks; whether it fitted.
fn piece(bytes: &[u8], chunked: bool, to: &mut Buffer) -> bool {
    if !chunked || bytes.is_empty() {
        return to.add(bytes);
    }
    to.add(format!("{:x}\r\n", bytes.len()).as_bytes()) && to.add(bytes) && to.add(b"\r\n")
}

/// Why a message is refused, as the status that says so.
pub type RequestError = u16;

impl Message {
    /// Goes on through what has come; true once the body is whole.
    pub fn advance(&mut self, buffer: &mut Buffer) -> Result<bool, RequestError> {
        let mut next = self.end;
        loop {
            let held = buffer.held_mut();
            let here = held.len() - next;
            match &mut self.coming {
                Coming::Whole => break,
                Coming::Length(left) | Coming::Chunk(left) => {
                    let taken = here.min(*left);
                    if taken > 0 && next != self.end {
                        held.copy_within(next..next + taken, self.end);
                    }
                    (self.end, next) = (self.end + taken, next + taken);
                    *left -= taken;
                    if *left > 0 {
                        break;
                    }
                    let chunk = matches!(self.coming, Coming::Chunk(_));
                    self.coming = if chunk {
                        Coming::ChunkEnd
                    } else {
                        Coming::Whole
                    };
                }
                Coming::ChunkEnd => {
                    if here < 2 {
                        break;
                    }
                    if &held[next..next + 2] != b"\r\n" {
                        return Err(400);
                    }
                    next += 2;
                    self.coming = Coming::ChunkHead;
                }
                Coming::ChunkHead => match httparse::parse_chunk_size(&held[next..]) {
                    Ok(Status::Complete((used, size))) => {
                        next += used;
                        // Danger: a body that never ends, in chunks, would fill the buffer.
                        if size > self.most.saturating_sub(self.brought()) as u64 {
                            return Err(413);
                        }
                        self.coming = if size == 0 {
                            Coming::Trailer
                        } else {
                            Coming::Chunk(size as usize)
                        };
                    }
                    // Danger: a chunk head without end.
                    Ok(Status::Partial) if here > 256 => return Err(400),
                    Ok(Status::Partial) => break,
                    Err(_) => return Err(400),
                },
                Coming::Trailer => {
                    let line = held[next..].windows(2).position(|w| w == b"\r\n");
                    match line {
                        Some(length) => {
                            next += length + 2;
                            if length == 0 {
                                self.coming = Coming::Whole;
                            }
                        }
                        None if here > HEAD_MOST => return Err(431),
                        None => break,
                    }
                }
                Coming::Unframed => {
                    if self.gone + here + self.end - self.head > self.most {
                        return Err(413);
                    }
                    (self.end, next) = (self.end + here, next + here);
                    break;
                }
            }
        }
        buffer.cut(self.end, next);
        Ok(matches!(self.coming, Coming::Whole))
    }

    /// Length of its body, where its head tells it or it is whole.
    pub fn length(&self) -> Option<usize> {
        match self.coming {
            Coming::Length(left) => Some(self.brought() + left),
            Coming::Whole => Some(self.brought()),
            _ => None,
        }
    }

    /// How much of its body has come.
    pub fn brought(&self) -> usize {
        self.gone + self.end - self.head
    }

    pub fn whole(&self) -> bool {
        matches!(self.coming, Coming::Whole)
    }

    /// The connection has ended, and with it the message.
    pub fn end_here(&mut self) {
        self.coming = Coming::Whole;
    }

    /// Lets go of its head and of what is here of its body.
    pub fn let_go(&mut self, buffer: &mut Buffer) {
        self.gone += self.end - self.head;
        buffer.cut(0, self.end);
        (self.head, self.end) = (0, 0);
    }

    /// Moves what is here of its body to another buffer, which is empty and of the same size.
    pub fn move_on(&mut self, from: &mut Buffer, to: &mut Buffer, chunked: bool) {
        let fitted = piece(&from.held()[self.head..self.end], chunked, to)
            && (!chunked || !self.whole() || to.add(b"0\r\n\r\n"));
        debug_assert!(fitted, "no buffer is filled to its end");
        self.let_go(from);
    }

    /// The connection has ended: whether that makes the message whole.
    pub fn ends_here(&self) -> bool {
        matches!(self.coming, Coming::Unframed)
    }
}

pub fn value<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let header = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

fn lists(headers: &[Header], name: &str, word: &str) -> bool {
    let mut named = headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name));
    named.any(|h| {
        h.value
            .split(|b| *b == b',')
            .any(|w| w.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
    })
}

/// Length of a body by its headers; none where none is told.
fn length(headers: &[Header]) -> Result<Option<usize>, RequestError> {
    let mut found = None;
    for header in headers
        .iter()
        .filter(|h| h.name.eq_ignore_ascii_case("content-length"))
    {
        let digits = header.value.trim_ascii();
        // Danger: a sign, or two lengths that differ, and the next request is read from a wrong place.
        if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
            return Err(400);
        }
        let told = std::str::from_utf8(digits)
            .ok()
            .and_then(|d| d.parse().ok())
            .ok_or(413_u16)?;
        if found.is_some_and(|f| f != told) {
            return Err(400);
        }
        found = Some(told);
    }
    Ok(found)
}

fn body(
    headers: &[Header],
    head: usize,
    version: u8,
    (most, told_most): (usize, usize),
    untold: Coming,
) -> Result<Message, RequestError> {
    let keep = match version {
        0 => lists(headers, "connection", "keep-alive"),
        _ => !lists(headers, "connection", "close"),
    };
    let encoding = headers
        .iter()
        .find(|h| h.name.eq_ignore_ascii_case("transfer-encoding"));
    let chunked = encoding.is_some_and(|h| h.value.trim_ascii().eq_ignore_ascii_case(b"chunked"));
    let length = length(headers)?;
    let coming = match (chunked, length) {
        // Danger: two framings in one message are read in two ways by two readers.
        (true, Some(_)) => return Err(400),
        (true, None) => Coming::ChunkHead,
        (false, _) if encoding.is_some() => return Err(400),
        (false, Some(length)) if length > told_most => return Err(413),
        (false, Some(length)) => Coming::Length(length),
        (false, None) => untold,
    };
    let keep = keep && !matches!(coming, Coming::Unframed);
    Ok(Message {
        head,
        end: head,
        keep,
        chunks: version > 0,
        most,
        gone: 0,
        coming,
    })
}

/// What a parser made of a head: its length once it is whole.
fn head(parsed: httparse::Result<usize>, held: usize) -> Result<Option<usize>, RequestError> {
    match parsed {
        Ok(Status::Complete(head)) if head > HEAD_MOST => Err(431),
        Ok(Status::Complete(head)) => Ok(Some(head)),
        // Danger: a head without end would fill the buffer.
        Ok(Status::Partial) if held >= HEAD_MOST => Err(431),
        Ok(Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(431),
        Err(_) => Err(400),
    }
}

/// Method, path and headers of a request; none until its head is whole.
pub fn request<T>(
    held: &[u8],
    read: impl FnOnce(&str, &str, &[Header]) -> T,
) -> Result<Option<(Message, T)>, RequestError> {
    let mut headers = [EMPTY_HEADER; HEADERS_MOST];
    let mut request = httparse::Request::new(&mut headers);
    let Some(head) = head(request.parse(held), held.len())? else {
        return Ok(None);
    };
    let (method, path) = (
        request.method.unwrap_or_default(),
        request.path.unwrap_or_default(),
    );
    let message = body(
        request.headers,
        head,
        request.version.unwrap_or(1),
        (BODY_LONG, BODY_LONG),
        Coming::Length(0),
    )?;
    Ok(Some((message, read(method, path, request.headers))))
}

/// Status and headers of an answer; none until its head is whole. Its body may be so long, and so long
/// where its head tells the length.
pub fn answer<T>(
    held: &[u8],
    most: (usize, usize),
    read: impl FnOnce(u16, &[Header]) -> T,
) -> Result<Option<(Message, T)>, RequestError> {
    let mut headers = [EMPTY_HEADER; HEADERS_MOST];
    let mut answer = httparse::Response::new(&mut headers);
    let Some(head) = head(answer.parse(held), held.len())? else {
        return Ok(None);
    };
    let status = answer.code.unwrap_or_default();
    let mut message = body(
        answer.headers,
        head,
        answer.version.unwrap_or(1),
        most,
        Coming::Unframed,
    )?;
    if status < 200 || status == 204 || status == 304 {
        // These have no body, whatever their headers say.
        message.coming = Coming::Whole;
        message.keep = !lists(answer.headers, "connection", "close");
    }
    Ok(Some((message, read(status, answer.headers))))
}

/// Headers that speak of one connection only, or that the node writes itself.
fn own(name: &str) -> bool {
    const OWN: [&str; 11] = [
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    ];
    OWN.iter().any(|own| name.eq_ignore_ascii_case(own))
}

fn pass_on(headers: &[Header], but: &str, to: &mut Buffer) -> bool {
    let mut passed = headers
        .iter()
        .filter(|h| !own(h.name) && !h.name.eq_ignore_ascii_case(but));
    passed.all(|h| {
        let name = h.name.as_bytes();
        to.add(name) && to.add(b": ") && to.add(h.value) && to.add(b"\r\n")
    })
}

/// The request as it goes on to a server that the node will wait for so long; whether it fitted.
pub fn forward(held: &[u8], message: &Message, patience: f64, to: &mut Buffer) -> bool {
    let wrote = request(held, |method, path, headers| {
        let framing = match (message.length(), method) {
            (Some(0), "GET" | "HEAD") => BodyFraming::Unframed,
            (Some(length), _) => BodyFraming::Length(length),
            (None, _) => BodyFraming::Chunked,
        };
        to.add(format!("{method} {} HTTP/1.1\r\n", origin(path)).as_bytes())
            && pass_on(headers, "x-timeout", to)
            && to.add(
                format!("X-Timeout: {:.3}\r\n{}", patience / 1000.0, framing.lines()).as_bytes(),
            )
    });
    let body = &held[message.head..message.end];
    matches!(wrote, Ok(Some((_, true)))) && piece(body, message.length().is_none(), to)
}

/// A target without the scheme and host that may stand before its path.
pub fn origin(target: &str) -> &str {
    let named = target
        .strip_prefix("http://")
        .map(|rest| rest.find('/').map_or("/", |at| &rest[at..]));
    named.unwrap_or(target)
}

/// A server's answer as it goes back to the client; whether it fitted.
pub fn hand_back(held: &[u8], message: &Message, close: bool, to: &mut Buffer) -> bool {
    let length = message.end - message.head;
    pass_on_from(
        &held[..message.end],
        message.head,
        BodyFraming::Length(length),
        close,
        to,
    )
}

/// The start of an answer that goes back in pieces: its head, and what of its body is held; whether it
/// fitted.
pub fn pass_on_from(
    held: &[u8],
    head: usize,
    framing: BodyFraming,
    close: bool,
    to: &mut Buffer,
) -> bool {
    let wrote = answer(held, (BODY_LONG, BODY_LONG), |_, headers| {
        let close = if close { "Connection: close\r\n" } else { "" };
        let own = format!("{close}{}", framing.lines());
        to.add(b"HTTP/1.1 200 OK\r\n")
            && pass_on(headers, "x-server-load", to)
            && to.add(own.as_bytes())
    });
    matches!(wrote, Ok(Some((_, true))))
        && piece(&held[head..], framing == BodyFraming::Chunked, to)
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        _ => "Service Unavailable",
    }
}

/// An answer to an operator.
pub fn told(status: u16, text: &str) -> String {
    let (reason, length) = (reason(status), text.len());
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{text}"
    )
}

/// An answer of the node's own.
pub fn plain(status: u16, come_back: f64, close: bool) -> String {
    let reason = reason(status);
    let retry = if come_back > 0.0 {
        format!("Retry-After: {:.3}\r\n", come_back / 1000.0)
    } else {
        String::new()
    };
    let close = if close { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 {status} {reason}\r\n{retry}{close}Content-Length: 0\r\n\r\n")
}
