//! The requests of an instance: maps the bench's ids to the balancer's indices.

use crankmux::types::RequestId;
use std::collections::{BTreeMap, HashMap};

/// A request that later events may refer to.
struct KnownRequest {
    id: u64,
    attempts_in_flight: usize,
    /// Whether the client has received the final response.
    closed: bool,
}

/// The known requests, by id and by index. Indices are never reused.
#[derive(Default)]
pub(crate) struct RequestTable {
    by_id: HashMap<u64, RequestId>,
    by_index: BTreeMap<RequestId, KnownRequest>,
    next_index: usize,
}

impl RequestTable {
    /// Adds a request, and returns its index.
    pub(crate) fn insert(&mut self, id: u64) -> RequestId {
        let request_id = RequestId::new(self.next_index);
        self.next_index += 1;
        self.by_id.insert(id, request_id);
        let request = KnownRequest {
            id,
            attempts_in_flight: 0,
            closed: false,
        };
        self.by_index.insert(request_id, request);
        request_id
    }

    pub(crate) fn find(&self, id: u64) -> Option<RequestId> {
        self.by_id.get(&id).copied()
    }

    /// The bench's id of a request; 0 if the request is unknown.
    pub(crate) fn id(&self, request_id: RequestId) -> u64 {
        self.by_index
            .get(&request_id)
            .map_or(0, |request| request.id)
    }

    pub(crate) fn attempt_started(&mut self, request_id: RequestId) {
        if let Some(request) = self.by_index.get_mut(&request_id) {
            request.attempts_in_flight += 1;
        }
    }

    pub(crate) fn attempt_ended(&mut self, request_id: RequestId, request_closed: bool) {
        if let Some(request) = self.by_index.get_mut(&request_id) {
            request.attempts_in_flight = request.attempts_in_flight.saturating_sub(1);
            request.closed |= request_closed;
        }
    }

    pub(crate) fn close(&mut self, request_id: RequestId) {
        if let Some(request) = self.by_index.get_mut(&request_id) {
            request.closed = true;
        }
        self.remove_if_done(request_id);
    }

    /// Removes a request if its client has the final response and no attempt is in flight.
    pub(crate) fn remove_if_done(&mut self, request_id: RequestId) {
        let Some(request) = self.by_index.get(&request_id) else {
            return;
        };
        if request.closed && request.attempts_in_flight == 0 {
            self.by_id.remove(&request.id);
            self.by_index.remove(&request_id);
        }
    }
}
