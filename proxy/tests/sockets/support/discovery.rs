//! A stand-in for discovery, and the endpoint lists that it sends.

use super::http::{ok_response, read_message};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{self, Receiver, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// One endpoint of an endpoint list, in a health state of discovery.
pub(crate) fn endpoint_entry(name: &str, address: SocketAddr, health: &str) -> Value {
    json!({"host": name, "dial": address.to_string(), "site": "a", "class": "m", "block": 1,
           "health": health, "share": 1.0, "born_ms": 0})
}

/// An endpoint list: a complete one, or only what has changed.
pub(crate) fn endpoint_list(version: u64, complete: bool, entries: &[Value]) -> Value {
    json!({"seq": version, "whole": complete, "hosts": entries})
}

/// A discovery that answers each call with the next list it is given, and waits while there is none.
pub(crate) struct TestDiscovery {
    pub(crate) address: SocketAddr,
    /// The request line of each call.
    pub(crate) calls: Arc<Mutex<Vec<String>>>,
    updates: Sender<Value>,
}

impl TestDiscovery {
    /// A discovery that answers its first call with this list.
    pub(crate) fn new(first: Value) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let calls = Arc::new(Mutex::new(Vec::new()));
        let (updates, lists): (Sender<Value>, Receiver<Value>) = mpsc::channel();
        updates.send(first).expect("held below");
        let lists = Arc::new(Mutex::new(lists));
        let recorded_calls = calls.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let lists = lists.clone();
                let calls = recorded_calls.clone();
                thread::spawn(move || {
                    while let Some((head, _)) = read_message(&mut stream) {
                        calls
                            .lock()
                            .unwrap()
                            .push(head.lines().next().unwrap_or_default().to_string());
                        let Ok(list) = lists.lock().unwrap().recv() else {
                            return;
                        };
                        if stream.write_all(&ok_response(&list.to_string())).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        TestDiscovery {
            address,
            calls,
            updates,
        }
    }

    /// Whether a call has come that waits for changes after this version of the list.
    pub(crate) fn is_watched_from(&self, version: u64) -> bool {
        let watch = format!("from={version}&hold_ms=");
        self.calls
            .lock()
            .unwrap()
            .iter()
            .any(|call| call.contains(&watch))
    }

    /// Answers the open call, or the next one, with this list.
    pub(crate) fn notify(&self, list: Value) {
        self.updates.send(list).expect("discovery runs");
    }
}
