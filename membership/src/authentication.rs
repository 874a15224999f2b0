//! Datagram authentication: a keyed hash rejects corrupted and foreign datagrams, a sequence number window replays.

use std::collections::BTreeMap;

/// The maximum datagram length, within the IPv6 minimum MTU of 1280 bytes so that datagrams are not fragmented.
pub const MAX_DATAGRAM_LENGTH: usize = 1200;
/// Format version, kind, sender ID, incarnation, and sequence number. The tag follows the body.
const HEADER_LENGTH: usize = 2 + 3 * U64_LENGTH;
const U64_LENGTH: usize = size_of::<u64>();
const TAG_LENGTH: usize = blake3::OUT_LEN;
/// The maximum length of a datagram's body.
pub const MAX_BODY_LENGTH: usize = MAX_DATAGRAM_LENGTH - HEADER_LENGTH - TAG_LENGTH;
const FORMAT_VERSION: u8 = 1;
/// Key derivation context, part of the wire format: separates these keys from other uses of the same secret.
const KEY_CONTEXT: &str = "crankmux fleet datagrams, version 1";
/// Bounds the memory for replay windows; several times the largest supported cluster.
const MAX_SENDERS: usize = 4096;
/// How many sequence numbers below the highest one can still be accepted.
const REPLAY_WINDOW: u64 = u64::BITS as u64;

/// The minimum length of a secret in bytes.
pub const MIN_KEY_LENGTH: usize = 16;

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AuthenticationError {
    /// It is too short, too long, or has another format version.
    #[error("datagram is malformed or has an unsupported format version")]
    Malformed,
    /// Its tag matches none of the accepted keys.
    #[error("datagram tag matches none of the cluster keys")]
    UnknownKey,
    /// Its sequence number was received before or is below the replay window.
    #[error("datagram from sender {sender_id:016x}, incarnation {incarnation}, is a replay")]
    Replayed {
        /// The sender ID.
        sender_id: u64,
        /// The incarnation of the sender.
        incarnation: u64,
    },
    /// It is from a superseded incarnation of the sender.
    #[error("datagram from sender {sender_id:016x} is superseded by incarnation {latest}")]
    Superseded {
        /// The sender ID.
        sender_id: u64,
        /// The latest incarnation received from the sender.
        latest: u64,
    },
}

/// Why secrets were rejected as cluster keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum KeyError {
    /// No secret is given.
    #[error("no cluster key is configured")]
    Missing,
    /// A secret is shorter than [`MIN_KEY_LENGTH`].
    #[error("cluster key is shorter than {} bytes", MIN_KEY_LENGTH)]
    TooShort,
}

/// The contents of an authenticated datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VerifiedDatagram<'a> {
    /// The sender ID.
    pub sender_id: u64,
    /// The incarnation of the sender.
    pub incarnation: u64,
    /// The type of the body, defined by the caller.
    pub kind: u8,
    /// The payload.
    pub body: &'a [u8],
}

/// The sequence numbers received from a sender's latest incarnation.
struct ReplayWindow {
    incarnation: u64,
    highest_sequence: u64,
    /// Which sequence numbers below the highest were received; bit 0 stands for the highest minus one.
    received_bitmap: u64,
    last_received_ms: f64,
}

impl ReplayWindow {
    fn new(incarnation: u64, now_ms: f64) -> Self {
        ReplayWindow {
            incarnation,
            highest_sequence: 0,
            received_bitmap: 0,
            last_received_ms: now_ms,
        }
    }

    /// Records a sequence number. Returns false if it was received before or is below the window.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest_sequence {
            let advance = sequence - self.highest_sequence;
            // The previous highest becomes a bit of the window.
            self.received_bitmap = if advance > REPLAY_WINDOW {
                0
            } else {
                self.received_bitmap
                    .checked_shl(advance as u32)
                    .unwrap_or(0)
                    | 1 << (advance - 1)
            };
            self.highest_sequence = sequence;
            return true;
        }
        let distance = self.highest_sequence - sequence;
        if distance == 0
            || distance > REPLAY_WINDOW
            || self.received_bitmap >> (distance - 1) & 1 == 1
        {
            return false;
        }
        self.received_bitmap |= 1 << (distance - 1);
        true
    }
}

/// Signs outgoing datagrams and verifies received ones.
pub struct Authenticator {
    keys: Vec<[u8; blake3::KEY_LEN]>,
    sender_id: u64,
    incarnation: u64,
    last_sequence: u64,
    windows: BTreeMap<u64, ReplayWindow>,
}

/// A hash of a text that is the same at every proxy.
pub(crate) fn stable_hash(text: &str) -> u64 {
    read_u64_le(blake3::hash(text.as_bytes()).as_bytes(), 0)
}

/// Decodes a little-endian number; panics if the slice is too short.
fn read_u64_le(bytes: &[u8], at: usize) -> u64 {
    let number = bytes[at..at + U64_LENGTH].try_into();
    u64::from_le_bytes(number.expect("slice has eight bytes"))
}

impl Authenticator {
    /// Signs with the first secret and accepts datagrams signed with any of them, so that keys can be rotated.
    ///
    /// # Errors
    ///
    /// Fails if there is no secret or if one is too short.
    pub fn new(secrets: &[&str], sender_id: u64, incarnation: u64) -> Result<Self, KeyError> {
        Ok(Authenticator {
            keys: derive_keys(secrets)?,
            sender_id,
            incarnation,
            last_sequence: 0,
            windows: BTreeMap::new(),
        })
    }

    /// Replaces the secrets.
    ///
    /// # Errors
    ///
    /// Fails as [`Authenticator::new`] does, and keeps the previous secrets.
    pub fn set_keys(&mut self, secrets: &[&str]) -> Result<(), KeyError> {
        self.keys = derive_keys(secrets)?;
        Ok(())
    }

    /// Switches to a later incarnation of the same sender, which numbers its datagrams from one again.
    pub fn set_incarnation(&mut self, incarnation: u64) {
        self.incarnation = incarnation;
        self.last_sequence = 0;
    }

    /// Builds a signed datagram. The body has at most [`MAX_BODY_LENGTH`] bytes.
    pub fn sign(&mut self, kind: u8, body: &[u8]) -> Vec<u8> {
        debug_assert!(body.len() <= MAX_BODY_LENGTH);
        self.last_sequence += 1;
        let mut datagram = Vec::with_capacity(HEADER_LENGTH + body.len() + TAG_LENGTH);
        datagram.extend([FORMAT_VERSION, kind]);
        for number in [self.sender_id, self.incarnation, self.last_sequence] {
            datagram.extend(number.to_le_bytes());
        }
        datagram.extend(body);
        let tag = blake3::keyed_hash(&self.keys[0], &datagram);
        datagram.extend(tag.as_bytes());
        datagram
    }

    /// Verifies a datagram. The same datagram is accepted only once.
    ///
    /// # Errors
    ///
    /// Fails if it is malformed, signed with an unknown key, a replay, or from a superseded incarnation.
    pub fn verify<'a>(
        &mut self,
        now_ms: f64,
        datagram: &'a [u8],
    ) -> Result<VerifiedDatagram<'a>, AuthenticationError> {
        let lengths = HEADER_LENGTH + TAG_LENGTH..=MAX_DATAGRAM_LENGTH;
        if !lengths.contains(&datagram.len()) || datagram[0] != FORMAT_VERSION {
            return Err(AuthenticationError::Malformed);
        }
        let (signed, tag) = datagram.split_at(datagram.len() - TAG_LENGTH);
        let tag = blake3::Hash::from_bytes(tag.try_into().expect("tag has the length of a hash"));
        // `blake3::Hash` compares in constant time.
        let mut keys = self.keys.iter();
        if !keys.any(|key| blake3::keyed_hash(key, signed) == tag) {
            return Err(AuthenticationError::UnknownKey);
        }
        let field = |index: usize| read_u64_le(signed, 2 + index * U64_LENGTH);
        let verified = VerifiedDatagram {
            sender_id: field(0),
            incarnation: field(1),
            kind: signed[1],
            body: &signed[HEADER_LENGTH..],
        };
        self.check_replay(now_ms, verified.sender_id, verified.incarnation, field(2))?;
        Ok(verified)
    }

    fn check_replay(
        &mut self,
        now_ms: f64,
        sender_id: u64,
        incarnation: u64,
        sequence: u64,
    ) -> Result<(), AuthenticationError> {
        self.evict_oldest_if_full(sender_id);
        let window = self
            .windows
            .entry(sender_id)
            .or_insert_with(|| ReplayWindow::new(incarnation, now_ms));
        if incarnation < window.incarnation {
            return Err(AuthenticationError::Superseded {
                sender_id,
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
                sender_id,
                incarnation,
            });
        }
        window.last_received_ms = now_ms;
        Ok(())
    }

    /// Evicts the least recently heard sender if a new one would exceed [`MAX_SENDERS`].
    fn evict_oldest_if_full(&mut self, sender_id: u64) {
        if self.windows.len() < MAX_SENDERS || self.windows.contains_key(&sender_id) {
            return;
        }
        let last_received = |window: &ReplayWindow| window.last_received_ms;
        let oldest = self
            .windows
            .iter()
            .min_by(|a, b| last_received(a.1).total_cmp(&last_received(b.1)))
            .map(|(sender_id, _)| *sender_id);
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
