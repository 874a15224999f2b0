//! Request ids that a client may not use: those of requests in flight, and of ended ones that must not be executed again.
//! While two processes of the proxy run, as in an upgrade, both respect the ids of either.
//!
//! - `refused` remembers ended requests, in bounded memory.
//! - `claims` shares ids with the other process, as files of the state directory.

mod claims;
mod refused;

use claims::{ClaimOutcome, Claims};
use refused::RefusedIds;
use std::collections::HashSet;
use std::path::PathBuf;

/// Identifies a request id: a hash for which clients cannot find collisions, the same in all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestIdHash(u128);

impl RequestIdHash {
    /// The hash of a request id.
    pub fn of(id: &str) -> Self {
        let hash = blake3::hash(id.as_bytes());
        let mut first_half = [0; 16];
        first_half.copy_from_slice(&hash.as_bytes()[..16]);
        RequestIdHash(u128::from_le_bytes(first_half))
    }

    fn to_hex(self) -> String {
        format!("{:032x}", self.0)
    }

    fn from_hex(digits: &str) -> Option<Self> {
        u128::from_str_radix(digits, 16).ok().map(RequestIdHash)
    }
}

/// The request ids that are in use or refused.
#[derive(Default)]
pub struct RequestIds {
    /// Ids of unanswered requests of this process.
    open: HashSet<RequestIdHash>,
    refused: RefusedIds,
    /// Present while another process of the proxy runs.
    claims: Option<Claims>,
}

impl RequestIds {
    /// Takes an id into use. Returns false if the id is in use or refused, by this process or another one.
    pub fn open(&mut self, id: RequestIdHash) -> bool {
        if self.open.contains(&id) || self.refused.contains(id) {
            return false;
        }
        let claimed = self.claims.as_mut().map(|claims| claims.claim(id));
        if claimed == Some(ClaimOutcome::Taken) {
            return false;
        }
        self.open.insert(id);
        true
    }

    /// Ends the use of an id whose request is answered or abandoned. Its claim stays until it is released.
    pub fn close(&mut self, id: RequestIdHash) {
        self.open.remove(&id);
    }

    /// Refuses an id from now on: its request must not be executed again. Its claim stays for the other process.
    pub fn refuse(&mut self, id: RequestIdHash, now_ms: f64) {
        self.refused.insert(id, now_ms);
    }

    /// Releases the claim of an ended request, unless its id is refused.
    pub fn release_claim(&mut self, id: RequestIdHash) {
        if let Some(claims) = &mut self.claims {
            claims.release(id, self.refused.contains(id));
        }
    }

    /// Starts to share ids with another process through a directory. `in_flight` are those of all requests that have not
    /// been removed.
    pub fn share(&mut self, directory: PathBuf, in_flight: impl Iterator<Item = RequestIdHash>) {
        if self.claims.is_some() {
            return;
        }
        let mut claims = Claims::open(directory);
        for id in in_flight {
            claims.claim(id);
        }
        self.claims = Some(claims);
    }

    /// Stops sharing, as no other process runs any more. What that process has left claimed is refused from now on: its
    /// requests may have been executed.
    pub fn stop_sharing(&mut self, now_ms: f64) {
        if let Some(claims) = self.claims.take() {
            for id in claims.take_foreign() {
                self.refused.insert(id, now_ms);
            }
        }
    }

    /// The refused ids in hexadecimal, oldest first, to hand over to a newer process.
    pub fn refused_to_hex(&self) -> Vec<String> {
        self.refused.iter().map(RequestIdHash::to_hex).collect()
    }

    /// Refuses the ids that an older process has handed over; invalid ones are skipped.
    pub fn refuse_all(&mut self, hex_ids: &[String], now_ms: f64) {
        for id in hex_ids.iter().filter_map(|id| RequestIdHash::from_hex(id)) {
            self.refused.insert(id, now_ms);
        }
    }
}
