//! Long bodies on their way: what is known of one.

mod request;
mod response;

use crate::buffers::Buffer;
use crate::http::Message;
use mio::net::TcpStream;

/// An answer whose head tells that it is long goes on once so much has come, and so may one of unknown length.
/// Danger: one that is cut or hangs soon, and whose op could still go elsewhere; spoilt answers bring little.
pub const FIRST: usize = 8 * 1024;
/// What has come of an answer of unknown length, at least `FIRST` of it, is held back for no longer: half of
/// the 2 s that operators call held back. A shorter one counts with its last byte, and loses nothing meanwhile.
pub const HELD_MOST: f64 = 1000.0;
/// How long after its op's time an answer that may still turn out to be short waits for more: the half second
/// after which it would be lost, less a share for the way.
pub const LATE_MOST: f64 = 400.0;
/// A server that has begun its answer, and a client that takes one, may pause for seconds, but not for so
/// long.
pub const STALL: f64 = 10_000.0;

/// An answer on its way through: to which client, and how.
pub struct Passing {
    pub client: usize,
    pub chunked: bool,
}

/// A client's body that is still coming.
pub struct Upload<'a> {
    pub stream: &'a mut TcpStream,
    pub inbox: &'a mut Buffer,
    pub message: &'a mut Message,
    /// What came first has been let go: the op can't go elsewhere any more.
    pub let_go: &'a mut bool,
    /// Bytes of the body so far, and when the last of them came.
    pub got: &'a mut usize,
    pub moved: &'a mut f64,
}
