//! During an upgrade a bad client sends the id of another client's open request.

use crate::discovery::Agent;
use crate::http::{ask, client_request, Request};
use crate::node::{Node, Told};
use crate::server::{answer_soundly, Arrivals, Server};
use crate::settings::Settings;
use crate::{Run, Verdict};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long a server works on a request.
const WORK: Duration = Duration::from_millis(1500);
const ID: &str = "9b1f03aa5c7e2d41";

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut entries = Vec::new();
    for name in ["s1", "s2", "s3"] {
        let answer = move |request: &Request, stream: &mut TcpStream| {
            std::thread::sleep(WORK);
            answer_soundly(name, request, stream)
        };
        entries.push((
            name.to_string(),
            Server::start(record, name, &arrivals, Arc::new(answer)).entry(),
        ));
    }
    let agent = Agent::start(record, 1, &entries);
    let settings = Settings::default().json();
    let told = Told {
        name: "n0".into(),
        discovery: agent.address,
        known: agent.whole(),
        memory_mb: 192,
        settings,
    };
    let older = Node::start(record, &run.scratch, &told, None);
    older.wait_ready();
    let (listen, log) = (older.listen, record.clone());
    let request = client_request("POST", "pay", ID, 3.0, b"amount=1");
    let usual_request = request.clone();
    let usual = std::thread::spawn(move || {
        log.line(&format!("the usual client sends pay {ID}"));
        let ending = ask(listen, &usual_request, Duration::from_secs(5));
        log.say(&format!("the usual client is answered {}", ending.status()));
    });
    std::thread::sleep(Duration::from_millis(200));
    let newer = run
        .trouble
        .then(|| Node::start(record, &run.scratch, &told, Some(&older)));
    if let Some(newer) = &newer {
        newer.wait_for_yes();
        older.signal("TERM");
    }
    std::thread::sleep(Duration::from_millis(300));
    record.line(&format!("a bad client sends pay {ID}, which is open"));
    let bad = ask(listen, &request, Duration::from_secs(5));
    record.say(&format!("the bad client is answered {}", bad.status()));
    let _ = usual.join();
    let runs = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|arrival| arrival.id == ID)
        .count();
    record.say(&format!("pay {ID} ran {runs} times"));
    Verdict::broken_if(bad.status() == 200)
}
