//! Encodes the balancer's actions as decisions in the wire format.

use crate::requests::RequestTable;
use crankmux::settings::NameIndex;
use crankmux::types::{Actions, EndpointId, RequestId};
use serde_json::{json, Value};

/// Appends the actions of an instance's balancer to the decisions of a batch.
pub(crate) struct DecisionWriter<'a> {
    pub(crate) instance: u64,
    pub(crate) names: &'a NameIndex,
    pub(crate) requests: &'a mut RequestTable,
    pub(crate) decisions: &'a mut Vec<Value>,
}

impl DecisionWriter<'_> {
    fn push(&mut self, decision: Value) {
        self.decisions.push(decision);
    }
}

impl Actions for DecisionWriter<'_> {
    fn start_attempt(&mut self, request: RequestId, endpoint: EndpointId, timeout_ms: f64) {
        let id = self.requests.id(request);
        let endpoint = self.names.stable_hash(endpoint);
        self.push(json!(["Route", self.instance, id, timeout_ms, endpoint]));
        self.requests.attempt_started(request);
    }

    fn probe(&mut self, endpoint: EndpointId) {
        let endpoint = self.names.stable_hash(endpoint);
        self.push(json!(["HealthCheck", self.instance, endpoint]));
    }

    fn cancel(&mut self, request: RequestId, attempt: usize) {
        let id = self.requests.id(request);
        self.push(json!(["CallOff", self.instance, id, attempt]));
    }

    fn reject(&mut self, request: RequestId, retry_after_ms: f64) {
        let id = self.requests.id(request);
        self.push(json!(["Decline", self.instance, id, retry_after_ms]));
        self.requests.close(request);
    }

    fn fail(&mut self, request: RequestId) {
        let id = self.requests.id(request);
        self.push(json!(["Fail", self.instance, id]));
        self.requests.close(request);
    }

    fn set_timer(&mut self, at_ms: f64, timer: u64) {
        let tag = timer.to_string();
        self.push(json!(["Timer", self.instance, at_ms, tag]));
    }

    fn watch_endpoints(&mut self) {
        self.push(json!(["Track", self.instance, true]));
    }

    fn poll_endpoints(&mut self) {
        self.push(json!(["Lookup", self.instance]));
    }
}
