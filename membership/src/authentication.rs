//! Datagrams, sealed. Danger: garbage, strangers, and what a relay repeats from minutes ago.

use std::collections::BTreeMap;

/// The longest datagram: passes unfragmented wherever IPv6 does.
pub const MOST: usize = 1200;
/// Version, kind, sender, its birth, a running number, and the seal at the end.
const HEAD: usize = 2 + 3 * 8;
const MAC: usize = 32;
/// The longest body of one.
pub const BODY_MOST: usize = MOST - HEAD - MAC;
const VERSION: u8 = 1;
/// Senders remembered: several times the largest fleet that is planned for.
const SENDERS: usize = 4096;

/// The shortest secret, in bytes: a shorter one is guessed.
pub const MIN_KEY_LENGTH: usize = 16;

/// Why a datagram was not believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AuthenticationError {
    /// Too short, too long, or of another version.
    Shape,
    /// Sealed by no key that is accepted here.
    Key,
    /// Of this number once heard already, or too old to tell.
    Repeated { sender: u64, born: u64 },
    /// From an earlier life of its sender; the latest that was heard was born then.
    Earlier { sender: u64, born: u64 },
}

/// What was in a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    pub sender: u64,
    pub born: u64,
    pub kind: u8,
    pub body: &'a [u8],
}

struct Heard {
    born: u64,
    /// The highest number, and which of the 64 below it were heard.
    top: u64,
    below: u64,
    at: f64,
}

/// One node's seal: closes what it sends, opens what it hears.
pub struct Authenticator {
    keys: Vec<[u8; 32]>,
    sender: u64,
    born: u64,
    next: u64,
    heard: BTreeMap<u64, Heard>,
}

/// A number that stands for a name, the same at every node.
pub fn number(name: &str) -> u64 {
    let hash = blake3::hash(name.as_bytes());
    u64::from_le_bytes(
        hash.as_bytes()[..8]
            .try_into()
            .expect("eight of thirty-two bytes"),
    )
}

impl Authenticator {
    /// The first secret seals, all open: two while one is exchanged. Errors: no secret, or an empty one.
    pub fn new(secrets: &[&str], sender: u64, born: u64) -> Result<Self, String> {
        let mut seal = Authenticator {
            keys: Vec::new(),
            sender,
            born,
            next: 0,
            heard: BTreeMap::new(),
        };
        seal.take_keys(secrets)?;
        Ok(seal)
    }

    /// Other secrets from now on. Errors: as at the start, and the old ones stay.
    pub fn take_keys(&mut self, secrets: &[&str]) -> Result<(), String> {
        if secrets.is_empty() || secrets.iter().any(|s| s.len() < MIN_KEY_LENGTH) {
            return Err(format!(
                "a fleet's key needs {MIN_KEY_LENGTH} characters at least"
            ));
        }
        let derived = |secret: &&str| {
            blake3::derive_key("crankmux fleet datagrams, version 1", secret.as_bytes())
        };
        self.keys = secrets.iter().map(derived).collect();
        Ok(())
    }

    /// A later life under the same name.
    pub fn reborn(&mut self, born: u64) {
        (self.born, self.next) = (born, 0);
    }

    /// Closes a body of at most [`BODY_MOST`] bytes.
    pub fn close(&mut self, kind: u8, body: &[u8]) -> Vec<u8> {
        debug_assert!(body.len() <= BODY_MOST);
        self.next += 1;
        let mut datagram = Vec::with_capacity(HEAD + body.len() + MAC);
        datagram.extend([VERSION, kind]);
        for number in [self.sender, self.born, self.next] {
            datagram.extend(number.to_le_bytes());
        }
        datagram.extend(body);
        let mac = blake3::keyed_hash(&self.keys[0], &datagram);
        datagram.extend(mac.as_bytes());
        datagram
    }

    /// Opens one, once.
    pub fn open<'a>(
        &mut self,
        now: f64,
        datagram: &'a [u8],
    ) -> Result<Opened<'a>, AuthenticationError> {
        if !(HEAD + MAC..=MOST).contains(&datagram.len()) || datagram[0] != VERSION {
            return Err(AuthenticationError::Shape);
        }
        let (said, mac) = datagram.split_at(datagram.len() - MAC);
        let mac = blake3::Hash::from_bytes(mac.try_into().expect("split there"));
        // Comparing hashes takes the same time wherever they differ.
        if !self
            .keys
            .iter()
            .any(|key| blake3::keyed_hash(key, said) == mac)
        {
            return Err(AuthenticationError::Key);
        }
        let number = |at: usize| {
            u64::from_le_bytes(said[at..at + 8].try_into().expect("length was checked"))
        };
        let (sender, born, n) = (number(2), number(10), number(18));
        self.fresh(now, sender, born, n)?;
        Ok(Opened {
            sender,
            born,
            kind: said[1],
            body: &said[HEAD..],
        })
    }

    fn fresh(
        &mut self,
        now: f64,
        sender: u64,
        born: u64,
        n: u64,
    ) -> Result<(), AuthenticationError> {
        if self.heard.len() >= SENDERS && !self.heard.contains_key(&sender) {
            // Danger: names ever new fill the memory. The longest unheard makes room.
            let oldest = self
                .heard
                .iter()
                .min_by(|a, b| a.1.at.total_cmp(&b.1.at))
                .map(|(id, _)| *id);
            oldest.and_then(|id| self.heard.remove(&id));
        }
        let heard = self.heard.entry(sender).or_insert(Heard {
            born,
            top: 0,
            below: 0,
            at: now,
        });
        if born < heard.born {
            return Err(AuthenticationError::Earlier {
                sender,
                born: heard.born,
            });
        }
        if born > heard.born {
            (heard.born, heard.top, heard.below) = (born, 0, 0);
        }
        if n > heard.top {
            let by = n - heard.top;
            // The old top joins those below it.
            heard.below = if by > 64 {
                0
            } else {
                heard.below.checked_shl(by as u32).unwrap_or(0) | 1 << (by - 1)
            };
            heard.top = n;
        } else {
            let back = heard.top - n;
            if back == 0 || back > 64 || heard.below >> (back - 1) & 1 == 1 {
                return Err(AuthenticationError::Repeated { sender, born });
            }
            heard.below |= 1 << (back - 1);
        }
        heard.at = now;
        Ok(())
    }
}
