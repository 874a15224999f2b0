//! Requests in flight, from admission until they are answered and their last attempt has ended.

use crate::request_ids::{RequestIdHash, RequestIds};
use crate::slot_table::{DownstreamKey, UpstreamKey};
use crankmux::types::RequestId;
use slab::Slab;
use std::path::PathBuf;

struct Request {
    id_hash: RequestIdHash,
    /// The client waiting for the response; `None` once the request is answered or the client has disconnected.
    client: Option<DownstreamKey>,
    deadline: f64,
    /// Admitted beyond the capacity of the table, so no attempt is sent.
    over_capacity: bool,
    /// The connection of each attempt; `None` before it is sent and after it has ended.
    attempts: Vec<Option<UpstreamKey>>,
    attempts_in_flight: usize,
    /// Until when attempts may be sent, by number; those beyond its end have no limit.
    send_deadlines: Vec<f64>,
}

/// An attempt that is about to be sent.
pub struct AttemptEntry {
    /// Counted from 0 within the request.
    pub number: usize,
    /// The client whose request is to be sent; `None` if nothing may be sent.
    pub client: Option<DownstreamKey>,
    /// The deadline of the request.
    pub deadline: f64,
}

/// The table of requests in flight.
pub struct Requests {
    table: Slab<Request>,
    capacity: usize,
    /// The request ids that are in use or refused.
    ids: RequestIds,
}

impl Requests {
    /// Creates an empty table. Requests beyond its capacity are admitted, but no attempt is sent for them.
    pub fn new(capacity: usize) -> Self {
        Requests {
            table: Slab::new(),
            capacity,
            ids: RequestIds::default(),
        }
    }

    /// Changes the capacity for later admissions.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// The request ids that are in use or refused.
    pub fn ids(&self) -> &RequestIds {
        &self.ids
    }

    /// The same for changes.
    pub fn ids_mut(&mut self) -> &mut RequestIds {
        &mut self.ids
    }

    /// Shares request ids with another process of the proxy from now on, through a directory.
    pub fn share_ids(&mut self, directory: PathBuf) {
        let in_flight = self.table.iter().map(|(_, request)| request.id_hash);
        self.ids.share(directory, in_flight);
    }

    /// Refuses later requests with the id of this one.
    pub fn refuse_repeats(&mut self, request: RequestId, now_ms: f64) {
        if let Some(request) = self.table.get(request.index()) {
            self.ids.refuse(request.id_hash, now_ms);
        }
    }

    /// Adds a client's request, whose id has been taken into use.
    pub fn admit(
        &mut self,
        client: DownstreamKey,
        deadline: f64,
        id_hash: RequestIdHash,
    ) -> RequestId {
        let over_capacity = self.table.len() >= self.capacity;
        let index = self.table.insert(Request {
            id_hash,
            client: Some(client),
            deadline,
            over_capacity,
            attempts: Vec::new(),
            attempts_in_flight: 0,
            send_deadlines: Vec::new(),
        });
        RequestId::new(index)
    }

    /// Whether a client is waiting for the response.
    pub fn is_unanswered(&self, request: RequestId) -> bool {
        self.table
            .get(request.index())
            .is_some_and(|request| request.client.is_some())
    }

    /// The client that waits for the response.
    pub fn client(&self, request: RequestId) -> Option<DownstreamKey> {
        self.table.get(request.index())?.client
    }

    /// Whether no client is waiting for a response.
    pub fn all_answered(&self) -> bool {
        self.table
            .iter()
            .all(|(_, request)| request.client.is_none())
    }

    /// Adds an attempt to a request.
    pub fn start_attempt(&mut self, request: RequestId) -> AttemptEntry {
        let request = &mut self.table[request.index()];
        let number = request.attempts.len();
        request.attempts.push(None);
        request.attempts_in_flight += 1;
        AttemptEntry {
            number,
            client: request.client.filter(|_| !request.over_capacity),
            deadline: request.deadline,
        }
    }

    /// Records the connection that an attempt is sent on.
    pub fn attempt_sent(&mut self, request: RequestId, attempt: usize, connection: UpstreamKey) {
        self.table[request.index()].attempts[attempt] = Some(connection);
    }

    /// Sets until when an attempt may be sent, which may not have been started yet.
    pub fn set_send_deadline(&mut self, request: RequestId, attempt: usize, at: f64) {
        let Some(request) = self.table.get_mut(request.index()) else {
            return;
        };
        let count = request.send_deadlines.len().max(attempt + 1);
        request.send_deadlines.resize(count, f64::INFINITY);
        request.send_deadlines[attempt] = at;
    }

    /// Until when an attempt may be sent; infinite if there is no limit.
    pub fn send_deadline(&self, request: RequestId, attempt: usize) -> f64 {
        self.table
            .get(request.index())
            .and_then(|request| request.send_deadlines.get(attempt))
            .copied()
            .unwrap_or(f64::INFINITY)
    }

    /// Limits all deadlines to `latest`.
    pub fn limit_deadlines(&mut self, latest: f64) {
        for (_, request) in &mut self.table {
            request.deadline = request.deadline.min(latest);
        }
    }

    /// Returns the connection of an attempt in flight.
    pub fn connection_of(&self, request: RequestId, attempt: usize) -> Option<UpstreamKey> {
        self.table
            .get(request.index())?
            .attempts
            .get(attempt)
            .copied()
            .flatten()
    }

    /// Returns the connections of all attempts in flight.
    pub fn connections_of(&self, request: RequestId) -> Vec<UpstreamKey> {
        self.table
            .get(request.index())
            .map(|request| request.attempts.iter().copied().flatten().collect())
            .unwrap_or_default()
    }

    /// Returns the attempt in flight on a connection.
    pub fn attempt_on(&self, request: RequestId, connection: UpstreamKey) -> Option<usize> {
        self.table
            .get(request.index())?
            .attempts
            .iter()
            .position(|sent_on| *sent_on == Some(connection))
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, request: RequestId, attempt: usize) {
        let request = &mut self.table[request.index()];
        request.attempts[attempt] = None;
        request.attempts_in_flight -= 1;
    }

    /// Marks a request as answered, or abandoned by its client, and returns the client if one was waiting.
    pub fn take_client(&mut self, request: RequestId) -> Option<DownstreamKey> {
        let request = self.table.get_mut(request.index())?;
        let client = request.client.take()?;
        self.ids.close(request.id_hash);
        Some(client)
    }

    /// Removes a request that is answered and has no attempt in flight. If it were removed earlier, its index could be
    /// reused, and the end of its attempt would be attributed to another request.
    pub fn remove_if_finished(&mut self, request: RequestId) {
        let is_finished = self
            .table
            .get(request.index())
            .is_some_and(|request| request.client.is_none() && request.attempts_in_flight == 0);
        if is_finished {
            let request = self.table.remove(request.index());
            self.ids.release_claim(request.id_hash);
        }
    }
}
