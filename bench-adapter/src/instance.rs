//! The instances of a batch: events of the wire become calls of each one's balancer.

use crate::decisions::DecisionWriter;
use crate::error::AdapterError;
use crate::fields::Fields;
use crate::requests::RequestTable;
use crankmux::balancer::Balancer;
use crankmux::settings::NameIndex;
use crankmux::types::{AttemptResult, EndpointState, EndpointUpdate, NewRequest};
use serde_json::Value;
use std::collections::BTreeMap;

/// The flag of a request that its client has sent before.
const CLIENT_RETRY_FLAG: u64 = 2;

/// All running instances, by their number on the wire.
#[derive(Default)]
pub(crate) struct Instances {
    running: BTreeMap<u64, Instance>,
}

/// The kinds of events that the adapter knows; others are passed over.
#[derive(Clone, Copy)]
enum EventKind {
    Born,
    Announce,
    Submit,
    Accepted,
    Probed,
    Aborted,
    Wake,
    Returned,
    Down,
    NoteFrom,
}

impl EventKind {
    fn parse(name: &str) -> Option<Self> {
        Some(match name {
            "Born" => EventKind::Born,
            "Announce" => EventKind::Announce,
            "Submit" => EventKind::Submit,
            "Accepted" => EventKind::Accepted,
            "Probed" => EventKind::Probed,
            "Aborted" => EventKind::Aborted,
            "Wake" => EventKind::Wake,
            "Returned" => EventKind::Returned,
            "Down" => EventKind::Down,
            "NoteFrom" => EventKind::NoteFrom,
            _ => return None,
        })
    }
}

impl Instances {
    /// Applies one event of a batch, and appends what is decided on it.
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
            EventKind::Born => {
                self.running.insert(number, Instance::start(&fields)?);
            }
            EventKind::Down => {
                self.running.remove(&number);
            }
            // Whatever still comes for an instance that is not running is passed over.
            _ => {
                if let Some(instance) = self.running.get_mut(&number) {
                    let batch = Batch {
                        instance: number,
                        now_ms,
                        decisions,
                    };
                    instance.apply(kind, &fields, batch)?;
                }
            }
        }
        Ok(())
    }
}

/// What an event of one instance is applied with.
struct Batch<'a> {
    instance: u64,
    now_ms: f64,
    decisions: &'a mut Vec<Value>,
}

impl Batch<'_> {
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
        batch: Batch,
    ) -> Result<(), AdapterError> {
        match kind {
            EventKind::Announce => self.announce(fields, batch),
            EventKind::Submit => self.submit(fields, batch),
            EventKind::Accepted => self.accepted(fields, batch),
            EventKind::Probed => self.probed(fields, batch),
            EventKind::Aborted => self.aborted(fields, batch),
            EventKind::Wake => self.wake(fields, batch),
            EventKind::Returned => self.returned(fields, batch),
            // Proxies tell each other nothing yet.
            EventKind::NoteFrom => fields.text(3, "Bytes").map(drop),
            EventKind::Born | EventKind::Down => Ok(()),
        }
    }

    /// The endpoint list has been read, or could not be.
    fn announce(&mut self, fields: &Fields, mut batch: Batch) -> Result<(), AdapterError> {
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
        let now_ms = batch.now_ms;
        let out = &mut batch.writer(&self.names, &mut self.requests);
        let balancer = &mut self.balancer;
        match kind {
            0 => balancer.update_endpoints(out, now_ms, &updates, false, false),
            1 => balancer.update_endpoints(out, now_ms, &updates, true, false),
            2 => balancer.update_endpoints(out, now_ms, &updates, true, true),
            3 => balancer.discovery_failed(out, now_ms),
            _ => return Err(fields.invalid("Kind")),
        }
        self.names
            .retain_endpoints(|endpoint| self.balancer.knows_endpoint(endpoint));
        Ok(())
    }

    /// A request has come in.
    fn submit(&mut self, fields: &Fields, mut batch: Batch) -> Result<(), AdapterError> {
        let id = fields.integer(2, "Req")?;
        let class = self.names.class(fields.text(3, "Cls")?);
        let class = class.ok_or_else(|| fields.invalid("Cls"))?;
        let tenant = fields.optional_text(4);
        let tenant = tenant.and_then(|name| self.names.tenant(name));
        let ttl_ms = fields.optional_number(6, "BudgetMs")?;
        let ttl_ms = ttl_ms.ok_or_else(|| fields.invalid("BudgetMs"))?;
        let flags = fields.optional_integer(8, "Flags")?.unwrap_or(0);
        // It is checked, and tells the decisions nothing.
        fields.optional_number(7, "EffortMs")?;
        let key = fields.optional_integer(5, "Affinity")?;
        let arrival = NewRequest {
            request: self.requests.insert(id),
            class,
            tenant,
            ttl_ms,
            client_retry: flags & CLIENT_RETRY_FLAG == CLIENT_RETRY_FLAG,
            key,
        };
        let now_ms = batch.now_ms;
        let out = &mut batch.writer(&self.names, &mut self.requests);
        self.balancer.request_arrived(out, now_ms, &arrival);
        Ok(())
    }

    /// An attempt has ended.
    fn returned(&mut self, fields: &Fields, mut batch: Batch) -> Result<(), AdapterError> {
        let id = fields.integer(2, "Req")?;
        let attempt = fields.integer(3, "Shot")? as usize;
        fields.integer(4, "Server")?;
        let outcome = fields.outcome(5, "Verdict")?;
        let duration_ms = fields.optional_number(6, "TimeTakenMs")?.unwrap_or(0.0);
        let request_closed = fields.optional_flag(7, "NoMore")?.unwrap_or(false);
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
        let now_ms = batch.now_ms;
        let out = &mut batch.writer(&self.names, &mut self.requests);
        self.balancer.attempt_ended(out, now_ms, &result);
        self.requests.forget_if_done(request);
        Ok(())
    }

    /// The client has gone.
    fn aborted(&mut self, fields: &Fields, mut batch: Batch) -> Result<(), AdapterError> {
        let Some(request) = self.requests.find(fields.integer(2, "Req")?) else {
            return Ok(());
        };
        let now_ms = batch.now_ms;
        let out = &mut batch.writer(&self.names, &mut self.requests);
        self.balancer.client_left(out, now_ms, request);
        self.requests.close(request);
        Ok(())
    }

    /// A response has begun, which binds its request. Its endpoint works on for as long as it streams: what it
    /// counts for stays as it is.
    fn accepted(&mut self, fields: &Fields, batch: Batch) -> Result<(), AdapterError> {
        const NO_ATTEMPT: usize = usize::MAX;
        if let Some(request) = self.requests.find(fields.integer(2, "Req")?) {
            self.balancer
                .streaming(batch.now_ms, request, NO_ATTEMPT, true);
        }
        Ok(())
    }

    /// A timer has expired. A tag that is no number was never set.
    fn wake(&mut self, fields: &Fields, mut batch: Batch) -> Result<(), AdapterError> {
        if let Ok(timer) = fields.text(2, "Tag")?.parse() {
            let now_ms = batch.now_ms;
            let out = &mut batch.writer(&self.names, &mut self.requests);
            self.balancer.timer_expired(out, now_ms, timer);
        }
        Ok(())
    }

    /// A probe has been answered, or has failed.
    fn probed(&mut self, fields: &Fields, mut batch: Batch) -> Result<(), AdapterError> {
        let stable_hash = fields.integer(2, "Server")?;
        let answered = fields.text(3, "Verdict")? == "Ok";
        let load = fields.load(5, "Load")?;
        // One that was never asked for, or of an endpoint that is forgotten, is passed over.
        let Some(endpoint) = self.names.find_endpoint(stable_hash) else {
            return Ok(());
        };
        let now_ms = batch.now_ms;
        let out = &mut batch.writer(&self.names, &mut self.requests);
        let answer = answered.then_some(load);
        self.balancer.probe_ended(out, now_ms, endpoint, answer);
        Ok(())
    }
}

/// One line of the endpoint list.
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
