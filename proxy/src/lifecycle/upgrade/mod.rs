//! Upgrades: a second process beside the first, both one node. The first hands over its listener and what
//! it knows through a Unix socket in the state directory; that connection stays open for as long as both
//! live.

mod handover;

use crate::lifecycle::state_directory::StateDirectory;
use crate::tokens::{NEWER_PROCESS, OLDER_PROCESS, UPGRADE_LISTENER};
use crankmux::settings::NameIndex;
use crankmux::types::{EndpointStatistics, LearnedState};
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry};
use rustix::net::{self, RecvAncillaryMessage, SendAncillaryMessage};
use serde_json::{json, Map, Value};
use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsFd;
use std::time::Duration;

const SOCKET: &str = "handover";
const HANDED: &str = "handed.json";
/// The older process answers within a turn of its loop; after this the newer one goes on alone.
const ANSWER_WITHIN: Duration = Duration::from_millis(1000);

/// How soon a newer process is listened to again where no descriptor was left: well within that.
const AGAIN: f64 = 50.0;

/// What an older process has handed over.
pub struct HandoverState {
    pub listener: TcpListener,
    stream: std::os::unix::net::UnixStream,
    /// This process's share of the node's limits is one in so many.
    parts: u8,
    /// The list as last told, in discovery's form, and the numbers of servers once listed.
    pub list: Value,
    pub once: Vec<u64>,
    /// What it has learnt, by servers' numbers and categories' names.
    pub learnt: Value,
}

/// Asks an older process at the same address for what it has; none where none runs.
pub fn ask(state: &StateDirectory, listen: SocketAddr) -> Option<HandoverState> {
    let stream = std::os::unix::net::UnixStream::connect(state.path(SOCKET)?).ok()?;
    match receive(stream, state) {
        Ok(handed) if handed.listener.local_addr().is_ok_and(|at| at == listen) => Some(handed),
        // Danger: a node of the same name that listens elsewhere is another one.
        Ok(_) => None,
        Err(e) => {
            log::warn!("nothing was handed over: {e}");
            None
        }
    }
}

fn receive(
    stream: std::os::unix::net::UnixStream,
    state: &StateDirectory,
) -> io::Result<HandoverState> {
    stream.set_read_timeout(Some(ANSWER_WITHIN))?;
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut beside = net::RecvAncillaryBuffer::new(&mut space);
    let mut parts = [0];
    let told = net::recvmsg(
        &stream,
        &mut [IoSliceMut::new(&mut parts)],
        &mut beside,
        net::RecvFlags::CMSG_CLOEXEC,
    )?;
    let sent = beside.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    let (1, Some(sent)) = (told.bytes, sent) else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let path = state.path(HANDED).ok_or(io::ErrorKind::NotFound)?;
    // Danger: a torn file. The configuration's list stands in for what can't be read.
    let told: Value =
        serde_json::from_slice(&std::fs::read(&path).unwrap_or_default()).unwrap_or_default();
    let _ = std::fs::remove_file(path);
    let once = told.get("once").and_then(Value::as_array);
    let once = once
        .map(|once| once.iter().filter_map(Value::as_u64).collect())
        .unwrap_or_default();
    let part = |name: &str| told.get(name).cloned().unwrap_or_default();
    let (list, learnt) = (part("list"), part("learnt"));
    Ok(HandoverState {
        listener: sent.into(),
        stream,
        parts: parts[0].max(2),
        list,
        once,
        learnt,
    })
}

/// What was learnt, in numbers and names that another process knows too.
fn told(names: &NameIndex, experience: &LearnedState) -> Value {
    let category =
        |(name, times): (&String, &(f64, f64))| (name.clone(), json!([times.0, times.1]));
    let categories: Map<String, Value> = names
        .classes
        .names
        .iter()
        .zip(&experience.classes)
        .map(category)
        .collect();
    let server = |(id, l): &(usize, EndpointStatistics)| {
        json!({"mark": names.stable_hash(*id), "pace": l.relative_latency, "best": l.best_relative_latency, "faults": l.error_rate, "borne": l.throughput,
               "peak": l.peak_throughput, "limit": l.concurrency_limit})
    };
    let servers: Vec<Value> = experience.endpoints.iter().map(server).collect();
    json!({"time": experience.mean_latency_ms, "slack": experience.tail_multiple, "warm_rate": experience.warm_throughput,
           "categories": categories, "servers": servers})
}

/// Reads what was learnt over what this process starts from. Danger: a figure that is none, or far off,
/// would starve a server or flood it for good; each is held to what it can be, and what is missing stays as
/// it is.
fn read(names: &NameIndex, told: &Value, mut experience: LearnedState) -> LearnedState {
    let figure = |of: &Value, name: &str, least: f64, most: f64| {
        of.get(name)
            .and_then(Value::as_f64)
            .filter(|f| f.is_finite())
            .map(|f| f.clamp(least, most))
    };
    experience.mean_latency_ms =
        figure(told, "time", 0.01, 1e6).unwrap_or(experience.mean_latency_ms);
    experience.tail_multiple = figure(told, "slack", 1.5, 8.0).unwrap_or(experience.tail_multiple);
    experience.warm_throughput =
        figure(told, "warm_rate", 0.0, 1e3).unwrap_or(experience.warm_throughput);
    for (name, times) in names.classes.names.iter().zip(&mut experience.classes) {
        let told = told
            .get("categories")
            .and_then(|c| c.get(name))
            .and_then(Value::as_array);
        let numbers: Vec<f64> = told
            .into_iter()
            .flatten()
            .filter_map(Value::as_f64)
            .collect();
        if let [time, acked] = numbers[..] {
            *times = (time.clamp(0.01, 1e6), acked.clamp(0.0, 1e9));
        }
    }
    let servers = told.get("servers").and_then(Value::as_array);
    let of = |mark: u64| {
        servers?
            .iter()
            .find(|s| s.get("mark").and_then(Value::as_u64) == Some(mark))
    };
    for (id, learnt) in &mut experience.endpoints {
        let Some(told) = of(names.stable_hash(*id)) else {
            continue;
        };
        *learnt = EndpointStatistics {
            relative_latency: figure(told, "pace", 0.001, 1e3),
            best_relative_latency: figure(told, "best", 0.001, 1e3)
                .unwrap_or(learnt.best_relative_latency),
            error_rate: figure(told, "faults", 0.0, 1.0).unwrap_or(learnt.error_rate),
            throughput: figure(told, "borne", 0.0, 1e3).unwrap_or(learnt.throughput),
            peak_throughput: figure(told, "peak", 0.0, 1e3).unwrap_or(learnt.peak_throughput),
            concurrency_limit: figure(told, "limit", 1.0, 1e3).unwrap_or(learnt.concurrency_limit),
        };
    }
    experience
}

/// The other processes of this node, and this one's part.
#[derive(Default)]
pub struct Upgrade {
    listener: Option<UnixListener>,
    older: Option<UnixStream>,
    newer: Option<UnixStream>,
    /// One in so many of the node's limits is for this process and those that come after it.
    parts: u8,
    /// It has a listener, but does not yet take clients in.
    pub holds_back: bool,
}

impl Upgrade {
    pub fn new(
        handed: Option<HandoverState>,
        state: &StateDirectory,
        registry: &Registry,
    ) -> io::Result<Self> {
        let mut upgrade = Upgrade {
            parts: 1,
            holds_back: handed.is_some(),
            ..Upgrade::default()
        };
        if let Some(HandoverState { stream, parts, .. }) = handed {
            stream.set_nonblocking(true)?;
            let mut stream = UnixStream::from_std(stream);
            registry.register(&mut stream, OLDER_PROCESS, Interest::READABLE)?;
            (upgrade.older, upgrade.parts) = (Some(stream), parts);
        }
        upgrade.open(state, registry)?;
        Ok(upgrade)
    }

    /// Listens for a newer process.
    fn open(&mut self, state: &StateDirectory, registry: &Registry) -> io::Result<()> {
        let Some(path) = state.path(SOCKET) else {
            return Ok(());
        };
        if let Some(mut door) = self.listener.take() {
            let _ = registry.deregister(&mut door);
        }
        // What a crash or another process has left there leads nowhere any more, or not to this one.
        let _ = std::fs::remove_file(&path);
        match UnixListener::bind(&path) {
            Ok(mut door) => {
                registry.register(&mut door, UPGRADE_LISTENER, Interest::READABLE)?;
                self.listener = Some(door);
            }
            Err(e) => log::warn!("no upgrade can be handed over at {}: {e}", path.display()),
        }
        Ok(())
    }

    /// Whether another process of this node runs.
    pub fn both(&self) -> bool {
        self.older.is_some() || self.newer.is_some()
    }

    pub fn followed(&self) -> bool {
        self.newer.is_some()
    }

    /// This process's share of the node's limits.
    pub fn share(&self) -> f64 {
        1.0 / (f64::from(self.parts) * if self.newer.is_some() { 2.0 } else { 1.0 })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> NameIndex {
        let (mut names, _) =
            NameIndex::from_settings(&json!({"Categories": [{"Name": "view"}, {"Name": "pay"}]}));
        for mark in [11, 12] {
            names.endpoint(mark);
        }
        names
    }

    fn fresh() -> LearnedState {
        let learnt = EndpointStatistics {
            best_relative_latency: 1.0,
            concurrency_limit: 5.0,
            ..EndpointStatistics::default()
        };
        let categories = vec![(100.0, 0.0); 2];
        LearnedState {
            mean_latency_ms: 100.0,
            tail_multiple: 2.0,
            classes: categories,
            endpoints: vec![(0, learnt), (1, learnt)],
            ..LearnedState::default()
        }
    }

    #[test]
    fn what_was_learnt_is_read_as_it_was_told() {
        let learnt = EndpointStatistics {
            relative_latency: Some(1.5),
            best_relative_latency: 0.9,
            error_rate: 0.1,
            throughput: 0.02,
            peak_throughput: 0.03,
            concurrency_limit: 17.0,
        };
        let old = LearnedState {
            mean_latency_ms: 80.0,
            tail_multiple: 3.0,
            warm_throughput: 0.01,
            classes: vec![(70.0, 40.0), (90.0, 7.0)],
            endpoints: vec![
                (0, learnt),
                (
                    1,
                    EndpointStatistics {
                        relative_latency: None,
                        ..learnt
                    },
                ),
            ],
        };
        assert_eq!(read(&names(), &told(&names(), &old), fresh()), old);
    }

    #[test]
    fn torn_or_absurd_figures_change_nothing_or_are_held_to_what_can_be() {
        for told in [
            Value::Null,
            json!([]),
            json!({"servers": 3, "categories": "x", "time": "soon"}),
        ] {
            assert_eq!(read(&names(), &told, fresh()), fresh());
        }
        let absurd = json!({
            "time": -5, "slack": 1e300, "warm_rate": 1e300, "categories": {"pay": [0, -1], "view": [1]},
            "servers": [
                {"mark": 11, "limit": 1e9, "faults": -3, "pace": 0, "peak": "x"},
                {"mark": 99, "limit": 1},
            ],
        });
        let got = read(&names(), &absurd, fresh());
        assert_eq!(
            (got.mean_latency_ms, got.tail_multiple, got.warm_throughput),
            (0.01, 8.0, 1e3)
        );
        assert_eq!(got.classes, [(100.0, 0.0), (0.01, 0.0)]);
        let first = got.endpoints[0].1;
        assert_eq!(
            (
                first.concurrency_limit,
                first.error_rate,
                first.relative_latency,
                first.peak_throughput
            ),
            (1e3, 0.0, Some(0.001), 0.0)
        );
        assert_eq!(got.endpoints[1], fresh().endpoints[1]);
    }
}
