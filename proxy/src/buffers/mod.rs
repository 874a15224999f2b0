//! I/O buffers from a bounded pool.
//!
//! - `buffer`: bytes read from or to be written to a connection;
//! - `pool`: the limit on all buffers together, and their sizes.

mod buffer;
mod pool;

pub use buffer::{Buffer, ReadOutcome};
pub use pool::{BufferPool, BufferUse, BUFFER_BYTES, BUFFER_RETRY_MS};

/// Maximum length of a message head; a common limit of HTTP servers.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Maximum length of a body that is buffered completely.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of a body that is streamed.
pub const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;
