//! Proxy instances: decodes wire events into calls of each instance's balancer.

use crate::decisions::DecisionWriter;
use crate::error::AdapterError;
use crate::fields::Fields;
use crate::requests::RequestTable;
use crankmux::balancer::Balancer;
use crankmux::settings::NameIndex;
use crankmux::types::{AttemptResult, EndpointState, EndpointUpdate, NewRequest};
use serde_json::Value;
use std::collections::BTreeMap;

/// The flag that marks a request as a retry by the client.
const CLIENT_RETRY_FLAG: u64 = 2;

/// The running instances, by their number on the wire.
#[derive(Default)]
pub(crate) struct Instances {
    running: BTreeMap<u64, Instance>,
}

/// The known kinds of events; others are ignored.
#[derive(Clone, Copy)]
enum EventKind {
    Started,
    EndpointList,
    RequestArrived,
    ResponseStarted,
    ProbeEnded,
    ClientLeft,
    TimerExpired,
    AttemptEnded,
    Stopped,
    PeerMessage,
}

impl EventKind {
    fn parse(name: &str) -> Option<Self> {
        Some(match name {
            "Born" => EventKind::Started,
            "Announce" => EventKind::EndpointList,
            "Submit" => EventKind::RequestArrived,
            "Accepted" => EventKind::ResponseStarted,
            "Probed" => EventKind::ProbeEnded,
            "Aborted" => EventKind::ClientLeft,
            "Wake" => EventKind::TimerExpired,
            "Returned" => EventKind::AttemptEnded,
            "Down" => EventKind::Stopped,
            "NoteFrom" => EventKind::PeerMessage,
            _ => return None,
        })
    }
}

impl Instances {
    /// Applies an event of a batch, and appends the resulting decisions.
    pub(crate) fn apply(
        &mut self,
        now_ms: f64,
        event: &Value,
        decisions: &mut Vec<Value>,
    ) -> Result<(), AdapterError> {
        let values = event.as_array().ok_or(AdapterError::EventNotAnArray)?;
        let name = values.first().and_then(Value::as_str);
        let name = name.ok_or(AdapterError::MissingEventName)?;
        let Some(kind) = EventKind::parse(name) else {
            return Ok(());
        };
        let fields = Fields::new(name, values);
        let number = fields.integer(1, "I")?;
        match kind {
            EventKind::Started => {
                self.running.insert(number, Instance::start(&fields)?);
            }
            EventKind::Stopped => {
                self.running.remove(&number);
            }
            // Events for an instance that is not running are ignored.
            _ => {
                if let Some(instance) = self.running.get_mut(&number) {
                    let context = EventContext {
                        instance: number,
                        now_ms,
                        decisions,
                    };
                    instance.apply(kind, &fields, context)?;
                }
            }
        }
        Ok(())
    }
}

/// The context in which an instance applies an event.
struct EventContext<'a> {
    instance: u64,
    now_ms: f64,
    decisions: &'a mut Vec<Value>,
}

impl EventContext<'_> {
    fn writer<'a>(
        &'a mut self,
        names: &'a NameIndex,
        requests: &'a mut RequestTable,
    ) -> DecisionWriter<'a> {
        DecisionWriter {
            instance: self.instance,
            names,
            requests,
            decisions: self.decisions,
        }
    }
}

/// One proxy of the bench.
struct Instance {
    balancer: Balancer,
    names: NameIndex,
    requests: RequestTable,
}

impl Instance {
    fn start(fields: &Fields) -> Result<Self, AdapterError> {
        let seed = fields.seed(2, "Nonce64")?;
        let settings = fields.value(3).filter(|value| value.is_object());
        let settings = settings.ok_or_else(|| fields.invalid("Config"))?;
        let (names, settings) = NameIndex::from_settings(settings);
        Ok(Instance {
            balancer: Balancer::new(settings?, seed),
            names,
            requests: RequestTable::default(),
        })
    }

    fn apply(
        &mut self,
        kind: EventKind,
        fields: &Fields,
        context: EventContext,
    ) -> Result<(), AdapterError> {
        match kind {
            EventKind::EndpointList => self.endpoint_list(fields, context),
            EventKind::RequestArrived => self.request_arrived(fields, context),
            EventKind::ResponseStarted => self.response_started(fields, context),
            EventKind::ProbeEnded => self.probe_ended(fields, context),
            EventKind::ClientLeft => self.client_left(fields, context),
            EventKind::TimerExpired => self.timer_expired(fields, context),
            EventKind::AttemptEnded => self.attempt_ended(fields, context),
            // Messages between proxies are checked but not used.
            EventKind::PeerMessage => fields.text(3, "Bytes").map(drop),
            EventKind::Started | EventKind::Stopped => Ok(()),
        }
    }

    /// The endpoint list was received, or a request for it failed.
    fn endpoint_list(
        &mut self,
        fields: &Fields,
        mut context: EventContext,
    ) -> Result<(), AdapterError> {
        let kind = fields.integer(2, "Kind")?;
        let entries = match fields.value(4) {
            None => &[][..],
            Some(Value::Array(entries)) => entries,
            Some(_) => return Err(fields.invalid("Items")),
        };
        let updates = entries
            .iter()
            .map(|entry| endpoint_update(&mut self.names, entry))
            .collect::<Result<Vec<_>, _>>()?;
        let now_ms = context.now_ms;
        let actions = &mut context.writer(&self.names, &mut self.requests);
        let balancer = &mut self.balancer;
        match kind {
            0 => balancer.update_endpoints(actions, now_ms, &updates, false, false),
            1 => balancer.update_endpoints(actions, now_ms, &updates, true, false),
            2 => balancer.update_endpoints(actions, now_ms, &updates, true, true),
            3 => balancer.discovery_failed(actions, now_ms),
            _ => return Err(fields.invalid("Kind")),
        }
        self.names
            .retain_endpoints(|endpoint| self.balancer.has_endpoint(endpoint));
        Ok(())
    }

    /// A request was received.
    fn request_arrived(
        &mut self,
        fields: &Fields,
        mut context: EventContext,
    ) -> Result<(), AdapterError> {
        let id = fields.integer(2, "Req")?;
        let class = self.names.class(fields.text(3, "Cls")?);
        let class = class.ok_or_else(|| fields.invalid("Cls"))?;
        let tenant = fields.optional_text(4);
        let tenant = tenant.and_then(|name| self.names.tenant(name));
        let ttl_ms = fields.optional_number(6, "BudgetMs")?;
        let ttl_ms = ttl_ms.ok_or_else(|| fields.invalid("BudgetMs"))?;
        let flags = fields.optional_integer(8, "Flags")?.unwrap_or(0);
        // Checked, but not used by the balancer.
        fields.optional_number(7, "EffortMs")?;
        let affinity_key = fields.optional_integer(5, "Affinity")?;
        let arrival = NewRequest {
            request: self.requests.insert(id),
            class,
            tenant,
            ttl_ms,
            client_retry: flags & CLIENT_RETRY_FLAG == CLIENT_RETRY_FLAG,
            affinity_key,
        };
        let now_ms = context.now_ms;
        let actions = &mut context.writer(&self.names, &mut self.requests);
        self.balancer.request_arrived(actions, now_ms, &arrival);
        Ok(())
    }

    /// An attempt ended.
    fn attempt_ended(
        &mut self,
        fields: &Fields,
        mut context: EventContext,
    ) -> Result<(), AdapterError> {
        let id = fields.integer(2, "Req")?;
        let attempt = fields.integer(3, "Shot")? as usize;
        fields.integer(4, "Server")?;
        let outcome = fields.outcome(5, "Verdict")?;
        let duration_ms = fields.optional_number(6, "TimeTakenMs")?.unwrap_or(0.0);
        let request_closed = fields.optional_bool(7, "NoMore")?.unwrap_or(false);
        let load = fields.load(8, "Load")?;
        let Some(request) = self.requests.find(id) else {
            return Ok(());
        };
        self.requests.attempt_ended(request, request_closed);
        let result = AttemptResult {
            request,
            attempt,
            outcome,
            duration_ms,
            request_closed,
            load,
        };
        let now_ms = context.now_ms;
        let actions = &mut context.writer(&self.names, &mut self.requests);
        self.balancer.attempt_ended(actions, now_ms, &result);
        self.requests.remove_if_done(request);
        Ok(())
    }

    /// The client disconnected.
    fn client_left(
        &mut self,
        fields: &Fields,
        mut context: EventContext,
    ) -> Result<(), AdapterError> {
        let Some(request) = self.requests.find(fields.integer(2, "Req")?) else {
            return Ok(());
        };
        let now_ms = context.now_ms;
        let actions = &mut context.writer(&self.names, &mut self.requests);
        self.balancer.client_left(actions, now_ms, request);
        self.requests.close(request);
        Ok(())
    }

    /// A response has begun, so no further attempt may start. The attempt still counts as in flight, as the
    /// endpoint executes the request until the response is complete.
    fn response_started(
        &mut self,
        fields: &Fields,
        context: EventContext,
    ) -> Result<(), AdapterError> {
        const NO_ATTEMPT: usize = usize::MAX;
        if let Some(request) = self.requests.find(fields.integer(2, "Req")?) {
            self.balancer
                .set_body_streaming(context.now_ms, request, NO_ATTEMPT, true);
        }
        Ok(())
    }

    /// A timer expired. Ignores a tag that is not a number, as the adapter sets no such timer.
    fn timer_expired(
        &mut self,
        fields: &Fields,
        mut context: EventContext,
    ) -> Result<(), AdapterError> {
        if let Ok(timer) = fields.text(2, "Tag")?.parse() {
            let now_ms = context.now_ms;
            let actions = &mut context.writer(&self.names, &mut self.requests);
            self.balancer.timer_expired(actions, now_ms, timer);
        }
        Ok(())
    }

    /// A load probe was answered or failed.
    fn probe_ended(
        &mut self,
        fields: &Fields,
        mut context: EventContext,
    ) -> Result<(), AdapterError> {
        let stable_hash = fields.integer(2, "Server")?;
        let answered = fields.text(3, "Verdict")? == "Ok";
        let load = fields.load(5, "Load")?;
        // Ignores unsolicited results and those of unknown endpoints.
        let Some(endpoint) = self.names.find_endpoint(stable_hash) else {
            return Ok(());
        };
        let now_ms = context.now_ms;
        let actions = &mut context.writer(&self.names, &mut self.requests);
        let answer = answered.then_some(load);
        self.balancer.probe_ended(actions, now_ms, endpoint, answer);
        Ok(())
    }
}

/// Decodes an entry of the endpoint list.
fn endpoint_update(names: &mut NameIndex, entry: &Value) -> Result<EndpointUpdate, AdapterError> {
    let values = entry.as_array().ok_or(AdapterError::EntryNotAnArray)?;
    let fields = Fields::new("Announce", values);
    let state = match fields.integer(1, "Status")? {
        0 => EndpointState::Removed,
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        _ => return Err(fields.invalid("Status")),
    };
    let stable_hash = fields.integer(5, "Server")?;
    let pod = fields.optional_integer(3, "Cohort")?;
    let zone = fields.optional_text(0).unwrap_or_default();
    let machine_class = fields.optional_text(2).unwrap_or_default();
    let started_at_ms = fields.optional_number(4, "OnlineSinceMs")?.unwrap_or(0.0);
    Ok(names.endpoint_update(
        stable_hash,
        state,
        (zone, machine_class),
        pod,
        started_at_ms,
    ))
}
