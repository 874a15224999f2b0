//! One instance on the wire: ids to small indices, events to calls, results to actions.

use crankmux::balancer::Balancer;
use crankmux::settings::{self, NameIndex};
use crankmux::types::{
    Actions, AttemptOutcome, AttemptResult, EndpointState, EndpointUpdate, LoadReport, NewRequest,
};
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashMap};

#[derive(Default)]
struct Ops {
    by_id: HashMap<u64, usize>,
    /// By index: wire id and pushes still out; none once the op is done with.
    held: BTreeMap<usize, (u64, usize, bool)>,
    next: usize,
}

impl Ops {
    fn drop_if_done(&mut self, op: usize) {
        if let Some((id, 0, true)) = self.held.get(&op) {
            self.by_id.remove(id);
            self.held.remove(&op);
        }
    }
}

pub struct Node {
    balancer: Balancer,
    names: NameIndex,
    ops: Ops,
}

struct Link<'a> {
    inst: u64,
    names: &'a NameIndex,
    ops: &'a mut Ops,
    decisions: &'a mut Vec<Value>,
}

impl Link<'_> {
    fn id(&self, op: usize) -> u64 {
        self.ops.held.get(&op).map_or(0, |h| h.0)
    }

    fn end(&mut self, op: usize) {
        if let Some(held) = self.ops.held.get_mut(&op) {
            held.2 = true;
        }
        self.ops.drop_if_done(op);
    }
}

impl Actions for Link<'_> {
    fn start_attempt(&mut self, op: usize, server: usize, patience: f64) {
        let server = self.names.stable_hash(server);
        self.decisions
            .push(json!(["Route", self.inst, self.id(op), patience, server]));
        if let Some(held) = self.ops.held.get_mut(&op) {
            held.1 += 1;
        }
    }

    fn probe(&mut self, server: usize) {
        self.decisions.push(json!([
            "HealthCheck",
            self.inst,
            self.names.stable_hash(server)
        ]));
    }

    fn cancel(&mut self, op: usize, push: usize) {
        self.decisions
            .push(json!(["CallOff", self.inst, self.id(op), push]));
    }

    fn reject(&mut self, op: usize, come_back: f64) {
        self.decisions
            .push(json!(["Decline", self.inst, self.id(op), come_back]));
        self.end(op);
    }

    fn fail(&mut self, op: usize) {
        self.decisions.push(json!(["Fail", self.inst, self.id(op)]));
        self.end(op);
    }

    fn set_timer(&mut self, at: f64, alarm: u64) {
        self.decisions
            .push(json!(["Timer", self.inst, at, alarm.to_string()]));
    }

    fn watch_endpoints(&mut self) {
        self.decisions.push(json!(["Track", self.inst, true]));
    }

    fn poll_endpoints(&mut self) {
        self.decisions.push(json!(["Lookup", self.inst]));
    }
}

/// The values of one message, by place; a bad one is named in the error.
struct Fields<'a>(&'a str, &'a [Value]);

impl Fields<'_> {
    fn at(&self, place: usize) -> Option<&Value> {
        self.1.get(place).filter(|v| !v.is_null())
    }

    fn wrong(&self, name: &str) -> String {
        format!("{}: {name} is missing or of the wrong form", self.0)
    }

    fn whole(&self, place: usize, name: &str) -> Result<u64, String> {
        self.at(place)
            .and_then(Value::as_u64)
            .ok_or_else(|| self.wrong(name))
    }

    fn text(&self, place: usize, name: &str) -> Result<&str, String> {
        self.at(place)
            .and_then(Value::as_str)
            .ok_or_else(|| self.wrong(name))
    }

    /// A number that may be absent.
    fn number(&self, place: usize, name: &str) -> Result<Option<f64>, String> {
        self.at(place)
            .map(|v| v.as_f64().ok_or_else(|| self.wrong(name)))
            .transpose()
    }

    fn load(&self, place: usize) -> Result<LoadReport, String> {
        match self.at(place) {
            None => Ok(LoadReport::default()),
            Some(Value::Object(load)) => {
                let mut told = LoadReport::default();
                for (name, value) in load {
                    if let Some(value) = value.as_f64() {
                        settings::set_load_value(&mut told, name, value);
                    }
                }
                Ok(told)
            }
            Some(_) => Err(self.wrong("Load")),
        }
    }
}

fn start(fields: &Fields) -> Result<Node, String> {
    let seed = fields
        .at(2)
        .and_then(|v| v.as_u64().or_else(|| v.as_i64().map(|s| s as u64)));
    let seed = seed.ok_or_else(|| fields.wrong("Nonce64"))?;
    let settings = fields
        .at(3)
        .filter(|v| v.is_object())
        .ok_or_else(|| fields.wrong("Config"))?;
    let (names, settings) = NameIndex::from_settings(settings);
    let balancer = Balancer::new(settings.map_err(|e| e.to_string())?, seed);
    Ok(Node {
        balancer,
        names,
        ops: Ops::default(),
    })
}

fn listed(names: &mut NameIndex, line: &Value) -> Result<EndpointUpdate, String> {
    let fields = Fields(
        "Announce",
        line.as_array()
            .ok_or("Announce: an entry is not an array")?,
    );
    let standing = match fields.whole(1, "Status")? {
        1 => EndpointState::Ready,
        2 => EndpointState::Draining,
        0 => EndpointState::Removed,
        _ => return Err(fields.wrong("Status")),
    };
    let mark = fields.whole(5, "Server")?;
    let pod = fields
        .at(3)
        .map(|_| fields.whole(3, "Cohort"))
        .transpose()?;
    let name = |place| fields.at(place).and_then(Value::as_str).unwrap_or_default();
    let started = fields.number(4, "OnlineSinceMs")?.unwrap_or(0.0);
    Ok(names.endpoint_update(mark, standing, (name(0), name(2)), pod, started))
}

fn ending(fields: &Fields, place: usize) -> Result<AttemptOutcome, String> {
    Ok(match fields.text(place, "Verdict")? {
        "Ok" => AttemptOutcome::Succeeded,
        "Failed" => AttemptOutcome::Failed,
        "QueueFull" => AttemptOutcome::Rejected,
        "TimedOut" => AttemptOutcome::TimedOut,
        "ConnectError" => AttemptOutcome::Unreachable,
        "ResetByPeer" => AttemptOutcome::ConnectionLost,
        "Canceled" => AttemptOutcome::Cancelled,
        "Ignored" => AttemptOutcome::NotSent,
        _ => return Err(fields.wrong("Verdict")),
    })
}

pub fn decode(
    nodes: &mut BTreeMap<u64, Node>,
    now: f64,
    event: &Value,
    decisions: &mut Vec<Value>,
) -> Result<(), String> {
    let values = event.as_array().ok_or("an event is not an array")?;
    let name = values
        .first()
        .and_then(Value::as_str)
        .ok_or("an event lacks its name")?;
    let known = [
        "Born", "Announce", "Submit", "Accepted", "Probed", "Aborted", "Wake", "Returned", "Down",
        "NoteFrom",
    ];
    if !known.contains(&name) {
        return Ok(());
    }
    let fields = Fields(name, values);
    let inst = fields.whole(1, "I")?;
    if name == "Born" {
        nodes.insert(inst, start(&fields)?);
        return Ok(());
    }
    if name == "Down" {
        nodes.remove(&inst);
        return Ok(());
    }
    // Whatever still comes for an instance that is not running is passed over.
    let Some(Node {
        balancer,
        names,
        ops,
    }) = nodes.get_mut(&inst)
    else {
        return Ok(());
    };
    match name {
        "Announce" => {
            let kind = fields.whole(2, "Kind")?;
            let entries = match fields.at(4) {
                None => &[][..],
                Some(Value::Array(entries)) => entries,
                Some(_) => return Err(fields.wrong("Items")),
            };
            let lines = entries
                .iter()
                .map(|line| listed(names, line))
                .collect::<Result<Vec<_>, _>>()?;
            let out = &mut Link {
                inst,
                names,
                ops,
                decisions,
            };
            match kind {
                0 => balancer.update_endpoints(out, now, &lines, false, false),
                1 => balancer.update_endpoints(out, now, &lines, true, false),
                2 => balancer.update_endpoints(out, now, &lines, true, true),
                3 => balancer.discovery_failed(out, now),
                _ => return Err(fields.wrong("Kind")),
            }
            names.retain_endpoints(|server| balancer.knows_endpoint(server));
        }
        "Submit" => {
            let id = fields.whole(2, "Req")?;
            let category = fields.text(3, "Cls")?;
            let category = names.classes.index(category);
            let category = category.ok_or_else(|| fields.wrong("Cls"))?;
            let customer = fields.at(4).and_then(Value::as_str);
            let customer = customer.and_then(|name| names.tenants.index(name));
            let ttl = fields
                .number(6, "BudgetMs")?
                .ok_or_else(|| fields.wrong("BudgetMs"))?;
            let flags = fields.at(8).map_or(Ok(0), |_| fields.whole(8, "Flags"))?;
            fields.number(7, "EffortMs")?;
            let retry = flags & 2 == 2;
            let key = fields
                .at(5)
                .map(|_| fields.whole(5, "Affinity"))
                .transpose()?;
            let op = ops.next;
            ops.next += 1;
            ops.by_id.insert(id, op);
            ops.held.insert(op, (id, 0, false));
            let out = &mut Link {
                inst,
                names,
                ops,
                decisions,
            };
            balancer.request_arrived(
                out,
                now,
                &NewRequest {
                    request: op,
                    class: category,
                    tenant: customer,
                    ttl_ms: ttl,
                    client_retry: retry,
                    key,
                },
            );
        }
        "Returned" => {
            let id = fields.whole(2, "Req")?;
            let push = fields.whole(3, "Shot")? as usize;
            fields.whole(4, "Server")?;
            let ending = ending(&fields, 5)?;
            let took = fields.number(6, "TimeTakenMs")?.unwrap_or(0.0);
            let closed = fields.at(7).map_or(Ok(false), |v| {
                v.as_bool().ok_or_else(|| fields.wrong("NoMore"))
            })?;
            let load = fields.load(8)?;
            let Some(op) = ops.by_id.get(&id).copied() else {
                return Ok(());
            };
            if let Some(held) = ops.held.get_mut(&op) {
                held.1 = held.1.saturating_sub(1);
                held.2 |= closed;
            }
            let out = &mut Link {
                inst,
                names,
                ops,
                decisions,
            };
            balancer.attempt_ended(
                out,
                now,
                &AttemptResult {
                    request: op,
                    attempt: push,
                    outcome: ending,
                    duration_ms: took,
                    request_closed: closed,
                    load,
                },
            );
            ops.drop_if_done(op);
        }
        "Aborted" => {
            let Some(op) = ops.by_id.get(&fields.whole(2, "Req")?).copied() else {
                return Ok(());
            };
            let out = &mut Link {
                inst,
                names,
                ops,
                decisions,
            };
            balancer.client_left(out, now, op);
            out.end(op);
        }
        "Accepted" => {
            if let Some(op) = ops.by_id.get(&fields.whole(2, "Req")?) {
                // Its server works on for as long as it streams: what it counts for stays as it is.
                balancer.streaming(now, *op, usize::MAX, true);
            }
        }
        "Wake" => {
            let alarm = fields.text(2, "Tag")?.parse();
            if let Ok(alarm) = alarm {
                balancer.timer_expired(
                    &mut Link {
                        inst,
                        names,
                        ops,
                        decisions,
                    },
                    now,
                    alarm,
                );
            }
        }
        "Probed" => {
            let mark = fields.whole(2, "Server")?;
            let answered = fields.text(3, "Verdict")? == "Ok";
            let load = fields.load(5)?;
            // One that was never asked for, or of a server that is forgotten, is passed over.
            let Some(server) = names.find_endpoint(mark) else {
                return Ok(());
            };
            let out = &mut Link {
                inst,
                names,
                ops,
                decisions,
            };
            balancer.probe_ended(out, now, server, answered.then_some(load));
        }
        // Nodes tell each other nothing yet.
        _ => {
            fields.text(3, "Bytes")?;
        }
    }
    Ok(())
}
