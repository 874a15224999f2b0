//! Requests in flight: from their admission until they are answered and their last attempt has ended.

use crate::slot_table::{DownstreamKey, UpstreamKey};
use crankmux::types::RequestId;
use slab::Slab;
use std::collections::hash_map::RandomState;
use std::collections::HashSet;
use std::hash::BuildHasher;

struct Request {
    request_id_hash: u64,
    /// The client that waits; none once the request is answered or the client has left.
    client: Option<DownstreamKey>,
    deadline: f64,
    /// It was admitted beyond the capacity, and gets no attempt.
    over_capacity: bool,
    /// The connection of each attempt; none before it is sent and once it has ended.
    attempts: Vec<Option<UpstreamKey>>,
    attempts_in_flight: usize,
}

/// An attempt that is about to be sent.
pub struct AttemptEntry {
    /// Counted from 0 within the request.
    pub number: usize,
    /// The client whose request it carries; none where there is nothing to be sent.
    pub client: Option<DownstreamKey>,
    /// When the request must be answered.
    pub deadline: f64,
}

/// The table of requests in flight.
pub struct Requests {
    table: Slab<Request>,
    capacity: usize,
    /// Hashes of the request ids that a client waits for.
    open_ids: HashSet<u64>,
    /// Keyed anew at each start, so that nobody outside can choose request ids that collide.
    id_hasher: RandomState,
}

impl Requests {
    /// An empty table; requests beyond its capacity are admitted, but get no attempt.
    pub fn new(capacity: usize) -> Self {
        Requests {
            table: Slab::new(),
            capacity,
            open_ids: HashSet::new(),
            id_hasher: RandomState::new(),
        }
    }

    /// Changes the capacity for requests that are admitted from now on.
    pub fn resize(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// The hash by which a client's request id is known here.
    pub fn hash_request_id(&self, id: &str) -> u64 {
        self.id_hasher.hash_one(id)
    }

    /// Whether a client waits under this request id already.
    pub fn is_open(&self, request_id_hash: u64) -> bool {
        self.open_ids.contains(&request_id_hash)
    }

    /// Admits a client's request.
    pub fn admit(
        &mut self,
        client: DownstreamKey,
        deadline: f64,
        request_id_hash: u64,
    ) -> RequestId {
        let over_capacity = self.table.len() >= self.capacity;
        self.open_ids.insert(request_id_hash);
        let index = self.table.insert(Request {
            request_id_hash,
            client: Some(client),
            deadline,
            over_capacity,
            attempts: Vec::new(),
            attempts_in_flight: 0,
        });
        RequestId::new(index)
    }

    /// Whether a client still waits for the response.
    pub fn waits(&self, request: RequestId) -> bool {
        self.table
            .get(request.index())
            .is_some_and(|request| request.client.is_some())
    }

    /// Whether no client waits for any response.
    pub fn none_waits(&self) -> bool {
        self.table
            .iter()
            .all(|(_, request)| request.client.is_none())
    }

    /// Counts a new attempt in.
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

    /// Notes the connection that an attempt is sent on.
    pub fn attempt_sent(&mut self, request: RequestId, attempt: usize, connection: UpstreamKey) {
        self.table[request.index()].attempts[attempt] = Some(connection);
    }

    /// Moves all deadlines to a time, where they are later.
    pub fn limit_deadlines(&mut self, latest: f64) {
        for (_, request) in &mut self.table {
            request.deadline = request.deadline.min(latest);
        }
    }

    /// The connection that an attempt is in flight on.
    pub fn connection_of(&self, request: RequestId, attempt: usize) -> Option<UpstreamKey> {
        self.table
            .get(request.index())?
            .attempts
            .get(attempt)
            .copied()
            .flatten()
    }

    /// The attempt that is in flight on a connection.
    pub fn attempt_on(&self, request: RequestId, connection: UpstreamKey) -> Option<usize> {
        self.table
            .get(request.index())?
            .attempts
            .iter()
            .position(|sent_on| *sent_on == Some(connection))
    }

    /// Counts an attempt out.
    pub fn attempt_ended(&mut self, request: RequestId, attempt: usize) {
        let request = &mut self.table[request.index()];
        request.attempts[attempt] = None;
        request.attempts_in_flight -= 1;
    }

    /// Takes the client that waits, as its response is made or it has left; from then on none waits.
    pub fn answered(&mut self, request: RequestId) -> Option<DownstreamKey> {
        let request = self.table.get_mut(request.index())?;
        let client = request.client.take()?;
        self.open_ids.remove(&request.request_id_hash);
        Some(client)
    }

    /// Removes a request that is answered and has no attempt in flight. This is the only place that removes one:
    /// an index used again while an attempt is in flight would take that attempt's end for its own.
    pub fn drop_if_done(&mut self, request: RequestId) {
        let is_done = self
            .table
            .get(request.index())
            .is_some_and(|request| request.client.is_none() && request.attempts_in_flight == 0);
        if is_done {
            self.table.remove(request.index());
        }
    }
}
