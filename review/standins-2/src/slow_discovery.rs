//! Discovery answers each call late while a server begins to drain.

use crate::discovery::{Agent, Entry};
use crate::http::{ask, client_request};
use crate::node::{Node, Told};
use crate::server::{answer_soundly, Arrivals, Server};
use crate::settings::Settings;
use crate::{Run, Verdict};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const LATE_MS: u64 = 1500;
/// A change counts as told at the latest so long after discovery had it (STANDING.md).
const TOLD_WITHIN_MS: f64 = 6000.0;
/// Each time limit is 50 ms longer on sockets (PROTOCOL.md).
const SOCKET_SLACK_MS: f64 = 50.0;

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let settings = Settings::default();
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut entries = Vec::new();
    for name in ["s1", "s2", "s3"] {
        let answer = move |request: &_, stream: &mut _| answer_soundly(name, request, stream);
        entries.push((
            name.to_string(),
            Server::start(record, name, &arrivals, Arc::new(answer)).entry(),
        ));
    }
    let agent = Agent::start(record, 1, &entries);
    let told = Told {
        name: "n0".into(),
        discovery: agent.address,
        known: agent.whole(),
        memory_mb: 192,
        settings: settings.json(),
    };
    let node = Node::start(record, &run.scratch, &told, None);
    node.wait_ready();
    let mut number = 0;
    let mut send_for = |ms: u64| {
        for _ in 0..ms / 20 {
            number += 1;
            let id = format!("r{number}");
            let ending = ask(
                node.listen,
                &client_request("GET", "stall-view", &id, 2.0, b""),
                Duration::from_secs(4),
            );
            record.line(&format!("client {id}: {}", ending.status()));
            std::thread::sleep(Duration::from_millis(20));
        }
    };
    send_for(2000);
    if run.trouble {
        record.line(&format!(
            "from now on discovery answers each call {LATE_MS} ms late"
        ));
        agent.late_ms.store(LATE_MS, Ordering::SeqCst);
    }
    send_for(8000);
    let draining = Entry {
        health: "Terminating",
        ..agent.entry("s1")
    };
    agent.set("s1", draining);
    let had_at = record.now();
    send_for(14000);
    let limit = had_at + TOLD_WITHIN_MS + settings.grace_ms + SOCKET_SLACK_MS;
    let arrivals = arrivals.lock().unwrap();
    let late: Vec<_> = arrivals
        .iter()
        .filter(|one| one.server == "s1" && one.began_at > limit)
        .collect();
    let before = arrivals
        .iter()
        .filter(|one| one.server == "s1" && one.began_at < had_at)
        .count();
    record.say(&format!(
        "s1 drains from {had_at:.0} ms, counts as told by {:.0} ms; before: {before} requests at s1, after {limit:.0} ms: {}",
        had_at + TOLD_WITHIN_MS,
        late.len()
    ));
    if let (Some(first), Some(last)) = (late.first(), late.last()) {
        let (first, last) = (first.began_at - limit, last.began_at - limit);
        record.say(&format!(
            "the first of them began {first:.0} ms after the limit, the last {last:.0} ms"
        ));
    }
    Verdict::broken_if(!late.is_empty())
}
