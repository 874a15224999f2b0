//! Authentication of datagrams by a keyed hash, against garbage, strangers, and replays of minutes ago.

use std::collections::BTreeMap;

/// The longest datagram: passes unfragmented wherever IPv6 does.
pub const MAX_DATAGRAM_LENGTH: usize = 1200;
/// Version, kind, and three numbers: sender, incarnation, sequence number. The tag stands at the end.
const HEADER_LENGTH: usize = 2 + 3 * NUMBER_LENGTH;
const NUMBER_LENGTH: usize = size_of::<u64>();
const TAG_LENGTH: usize = blake3::OUT_LEN;
/// The longest body of a datagram.
pub const MAX_BODY_LENGTH: usize = MAX_DATAGRAM_LENGTH - HEADER_LENGTH - TAG_LENGTH;
const VERSION: u8 = 1;
/// Sets these keys apart from those of other uses of a secret. It is part of the format.
const KEY_CONTEXT: &str = "crankmux fleet datagrams, version 1";
/// Senders remembered: several times the largest cluster that is planned for.
const MAX_SENDERS: usize = 4096;
/// How many sequence numbers below the highest are told apart.
const REPLAY_WINDOW: u64 = u64::BITS as u64;

/// The shortest secret, in bytes: a shorter one is guessed.
pub const MIN_KEY_LENGTH: usize = 16;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthenticationError {
    /// Too short, too long, or of another version.
    #[error("datagram is malformed or of another version")]
    Malformed,
    /// Its tag fits no key that is accepted here.
    #[error("datagram is authenticated by an unknown key")]
    UnknownKey,
    /// Its sequence number was received before, or is too old to tell.
    #[error("datagram of sender {sender:016x}, incarnation {incarnation}, is a replay")]
    Replayed {
        /// The sender's number.
        sender: u64,
        /// The incarnation that sent it.
        incarnation: u64,
    },
    /// It is from an earlier incarnation of its sender.
    #[error("datagram of sender {sender:016x} is of an incarnation before {latest}")]
    Superseded {
        /// The sender's number.
        sender: u64,
        /// The latest incarnation that was received.
        latest: u64,
    },
}

/// Why secrets were not accepted as keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// There is no secret.
    #[error("a fleet's key needs {} characters at least", MIN_KEY_LENGTH)]
    Missing,
    /// A secret is shorter than [`MIN_KEY_LENGTH`].
    #[error("a fleet's key needs {} characters at least", MIN_KEY_LENGTH)]
    TooShort,
}

/// What was in an authenticated datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerifiedDatagram<'a> {
    /// The sender's number.
    pub sender: u64,
    /// The incarnation that sent it.
    pub incarnation: u64,
    /// What the body is; the caller's.
    pub kind: u8,
    /// The body.
    pub body: &'a [u8],
}

/// The sequence numbers received of a sender's latest incarnation.
struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    /// Which of the numbers below the highest were received, the next lower in the lowest bit.
    received_below: u64,
    last_received_ms: f64,
}

impl ReplayWindow {
    fn new(incarnation: u64, now_ms: f64) -> Self {
        ReplayWindow {
            incarnation,
            highest: 0,
            received_below: 0,
            last_received_ms: now_ms,
        }
    }

    /// Takes in a sequence number. Returns false if it was received before, or is too old to tell.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let advance = sequence - self.highest;
            // The old highest joins those below it.
            self.received_below = if advance > REPLAY_WINDOW {
                0
            } else {
                self.received_below.checked_shl(advance as u32).unwrap_or(0) | 1 << (advance - 1)
            };
            self.highest = sequence;
            return true;
        }
        let distance = self.highest - sequence;
        if distance == 0
            || distance > REPLAY_WINDOW
            || self.received_below >> (distance - 1) & 1 == 1
        {
            return false;
        }
        self.received_below |= 1 << (distance - 1);
        true
    }
}

/// Authenticates the datagrams that one proxy sends, and verifies those that it receives.
pub struct Authenticator {
    keys: Vec<[u8; blake3::KEY_LEN]>,
    sender: u64,
    incarnation: u64,
    last_sequence: u64,
    windows: BTreeMap<u64, ReplayWindow>,
}

/// A number that stands for a text, the same at every proxy.
pub(crate) fn stable_hash(text: &str) -> u64 {
    number_at(blake3::hash(text.as_bytes()).as_bytes(), 0)
}

/// The little-endian number at a place of a slice that is long enough.
fn number_at(bytes: &[u8], at: usize) -> u64 {
    let number = bytes[at..at + NUMBER_LENGTH].try_into();
    u64::from_le_bytes(number.expect("a slice of eight bytes"))
}

impl Authenticator {
    /// The first secret authenticates what is sent, all of them what is received: two while one is exchanged.
    ///
    /// # Errors
    ///
    /// There is no secret, or one is too short.
    pub fn new(secrets: &[&str], sender: u64, incarnation: u64) -> Result<Self, KeyError> {
        Ok(Authenticator {
            keys: derive_keys(secrets)?,
            sender,
            incarnation,
            last_sequence: 0,
            windows: BTreeMap::new(),
        })
    }

    /// Replaces the secrets.
    ///
    /// # Errors
    ///
    /// As of [`Authenticator::new`]; the old secrets stay.
    pub fn set_keys(&mut self, secrets: &[&str]) -> Result<(), KeyError> {
        self.keys = derive_keys(secrets)?;
        Ok(())
    }

    /// Goes on as a later incarnation of the same sender.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.last_sequence = 0;
    }

    /// The datagram of a body of at most [`MAX_BODY_LENGTH`] bytes.
    pub fn sign(&mut self, kind: u8, body: &[u8]) -> Vec<u8> {
        debug_assert!(body.len() <= MAX_BODY_LENGTH);
        self.last_sequence += 1;
        let mut datagram = Vec::with_capacity(HEADER_LENGTH + body.len() + TAG_LENGTH);
        datagram.extend([VERSION, kind]);
        for number in [self.sender, self.incarnation, self.last_sequence] {
            datagram.extend(number.to_le_bytes());
        }
        datagram.extend(body);
        let tag = blake3::keyed_hash(&self.keys[0], &datagram);
        datagram.extend(tag.as_bytes());
        datagram
    }

    /// Verifies a datagram, and accepts it once.
    ///
    /// # Errors
    ///
    /// It is malformed, of an unknown key, a replay, or from a superseded incarnation.
    pub fn verify<'a>(
        &mut self,
        now_ms: f64,
        datagram: &'a [u8],
    ) -> Result<VerifiedDatagram<'a>, AuthenticationError> {
        let lengths = HEADER_LENGTH + TAG_LENGTH..=MAX_DATAGRAM_LENGTH;
        if !lengths.contains(&datagram.len()) || datagram[0] != VERSION {
            return Err(AuthenticationError::Malformed);
        }
        let (signed, tag) = datagram.split_at(datagram.len() - TAG_LENGTH);
        let tag = blake3::Hash::from_bytes(tag.try_into().expect("split there"));
        // Comparing hashes takes the same time wherever they differ.
        let mut keys = self.keys.iter();
        if !keys.any(|key| blake3::keyed_hash(key, signed) == tag) {
            return Err(AuthenticationError::UnknownKey);
        }
        let field = |index: usize| number_at(signed, 2 + index * NUMBER_LENGTH);
        let verified = VerifiedDatagram {
            sender: field(0),
            incarnation: field(1),
            kind: signed[1],
            body: &signed[HEADER_LENGTH..],
        };
        self.accept_once(now_ms, verified.sender, verified.incarnation, field(2))?;
        Ok(verified)
    }

    fn accept_once(
        &mut self,
        now_ms: f64,
        sender: u64,
        incarnation: u64,
        sequence: u64,
    ) -> Result<(), AuthenticationError> {
        self.make_room_for(sender);
        let window = self
            .windows
            .entry(sender)
            .or_insert_with(|| ReplayWindow::new(incarnation, now_ms));
        if incarnation < window.incarnation {
            return Err(AuthenticationError::Superseded {
                sender,
                latest: window.incarnation,
            });
        }
        if incarnation > window.incarnation {
            *window = ReplayWindow {
                last_received_ms: window.last_received_ms,
                ..ReplayWindow::new(incarnation, now_ms)
            };
        }
        if !window.accept(sequence) {
            return Err(AuthenticationError::Replayed {
                sender,
                incarnation,
            });
        }
        window.last_received_ms = now_ms;
        Ok(())
    }

    /// Memory is bounded where names are ever new: the sender that was silent longest makes room for a new one.
    fn make_room_for(&mut self, sender: u64) {
        if self.windows.len() < MAX_SENDERS || self.windows.contains_key(&sender) {
            return;
        }
        let last_received = |window: &ReplayWindow| window.last_received_ms;
        let oldest = self
            .windows
            .iter()
            .min_by(|a, b| last_received(a.1).total_cmp(&last_received(b.1)))
            .map(|(sender, _)| *sender);
        if let Some(oldest) = oldest {
            self.windows.remove(&oldest);
        }
    }
}

fn derive_keys(secrets: &[&str]) -> Result<Vec<[u8; blake3::KEY_LEN]>, KeyError> {
    if secrets.is_empty() {
        return Err(KeyError::Missing);
    }
    if secrets.iter().any(|secret| secret.len() < MIN_KEY_LENGTH) {
        return Err(KeyError::TooShort);
    }
    let derive = |secret: &&str| blake3::derive_key(KEY_CONTEXT, secret.as_bytes());
    Ok(secrets.iter().map(derive).collect())
}
