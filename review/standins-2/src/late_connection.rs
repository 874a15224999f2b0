//! A third of the connections to servers come up late, and clients leave meanwhile.

use crate::discovery::Agent;
use crate::http::client_request;
use crate::node::{cannot_run, Node, Told};
use crate::record::Record;
use crate::server::{answer_soundly, serve, Arrivals, Server};
use crate::settings::Settings;
use crate::{Run, Verdict};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const CLIENTS: usize = 12;
/// A client leaves after this if it has no answer.
const PATIENCE: Duration = Duration::from_millis(300);
/// An attempt that begins later than this after its client's close is a break (STANDING.md).
const GONE_SLACK_MS: f64 = 100.0;

/// Fills the queue of a listener, so that the system drops further connects. They come up a second later, when the
/// system repeats them, if there is room by then.
fn fill_queue(address: SocketAddr) -> Vec<TcpStream> {
    let mut filling = Vec::new();
    while filling.len() < 5000 {
        match TcpStream::connect_timeout(&address, Duration::from_millis(200)) {
            Ok(stream) => filling.push(stream),
            Err(_) => return filling,
        }
    }
    cannot_run("the queue of the listener does not fill")
}

fn accept_from_now_on(listener: TcpListener, record: &Record, arrivals: &Arrivals) {
    let (record, arrivals) = (record.clone(), Arc::clone(arrivals));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, arrivals) = (record.clone(), Arc::clone(&arrivals));
            std::thread::spawn(move || {
                serve(stream, &record, "s3", &arrivals, &|request, stream| {
                    answer_soundly("s3", request, stream)
                })
            });
        }
    });
}

pub fn play(run: &Run) -> Verdict {
    let record = &run.record;
    let arrivals: Arrivals = Arc::new(Mutex::new(Vec::new()));
    let mut entries = Vec::new();
    for name in ["s1", "s2"] {
        let answer = move |request: &_, stream: &mut _| answer_soundly(name, request, stream);
        entries.push((
            name.to_string(),
            Server::start(record, name, &arrivals, Arc::new(answer)).entry(),
        ));
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    entries.push(("s3".into(), Server { address }.entry()));
    let agent = Agent::start(record, 1, &entries);
    let settings = Settings {
        connect_timeout_ms: 2000.0,
        may_cancel: false,
        second_copies: false,
        ..Settings::default()
    };
    let settings = settings.json();
    let told = Told {
        name: "n0".into(),
        discovery: agent.address,
        known: agent.whole(),
        memory_mb: 192,
        settings,
    };
    let node = Node::start(record, &run.scratch, &told, None);
    node.wait_ready();
    let mut listener = Some(listener);
    let mut filling = Vec::new();
    if run.trouble {
        filling = fill_queue(address);
        record.line(&format!(
            "connections to s3 come up late: {} wait in its queue",
            filling.len()
        ));
    } else if let Some(listener) = listener.take() {
        accept_from_now_on(listener, record, &arrivals);
    }
    let left: Arc<Mutex<BTreeMap<String, f64>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (node, record, left) = (node.listen, record.clone(), Arc::clone(&left));
            std::thread::spawn(move || {
                let id = format!("p{number}");
                let mut stream = TcpStream::connect(node).expect("the node accepts");
                stream
                    .set_read_timeout(Some(PATIENCE))
                    .expect("a read timeout");
                stream
                    .write_all(&client_request("POST", "pay", &id, 3.0, b"amount=1"))
                    .expect("it is sent");
                let answered = matches!(stream.read(&mut [0; 4096]), Ok(1..));
                drop(stream);
                let end = if answered {
                    "was answered"
                } else {
                    "has left without an answer"
                };
                record.line(&format!("client pay {id} {end}"));
                if !answered {
                    left.lock().unwrap().insert(id, record.now());
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("a client ends");
    }
    if let Some(listener) = listener.take() {
        accept_from_now_on(listener, record, &arrivals);
    }
    drop(filling);
    std::thread::sleep(Duration::from_millis(3500));
    let left = left.lock().unwrap();
    record.say(&format!("{} of {CLIENTS} clients left", left.len()));
    let mut late = 0;
    for arrival in arrivals.lock().unwrap().iter() {
        let after = left
            .get(&arrival.id)
            .map(|left_at| arrival.began_at - left_at);
        if let Some(after) = after.filter(|after| *after > GONE_SLACK_MS) {
            record.say(&format!(
                "pay {} began at {} {after:.0} ms after its client had left",
                arrival.id, arrival.server
            ));
            late += 1;
        }
    }
    Verdict::broken_if(late > 0)
}
