//! What the poll names each source of events by.

use mio::Token;

/// Callers at the door at once: more than operators and whatever fetches the figures need.
pub const CALLERS_MOST: usize = 12;

pub const LISTENER: Token = Token(0);
pub const SIGNALS: Token = Token(1);
pub const DISCOVERY: Token = Token(2);
pub const DOOR: Token = Token(3);
pub const HANDOVER: Token = Token(4);
pub const NEWER: Token = Token(5);
pub const OLDER: Token = Token(6);
pub const FLEET: Token = Token(7);
/// The first of the door's callers, and the first of both tables.
pub const CALLERS: Token = Token(8);
pub const TABLES: usize = CALLERS.0 + CALLERS_MOST;

/// Tokens of one table: its keys, beside those of the other.
#[derive(Clone, Copy)]
pub struct Side(usize);
pub const CLIENT: Side = Side(0);
pub const SERVER: Side = Side(1);

impl Side {
    pub fn token(self, key: usize) -> Token {
        Token(TABLES + 2 * key + self.0)
    }
}
