//! Discovery: the list of servers, watched.

mod poll;

use crate::buffers::{Buffer, ReadOutcome};
use crate::endpoint_list::{read_list, List};
use crate::http::{self, Message};
use crate::timers::TimerKey;
use crate::tokens::DISCOVERY;
use crankmux::types::EndpointUpdate;
use mio::net::TcpStream;
use mio::Interest;
use serde_json::{json, Value};
use std::collections::{BTreeMap, HashSet};
use std::io::Write;
use std::net::SocketAddr;

/// How long a watch waits for news, in milliseconds. Danger: what a silent discovery has to tell counts as
/// told all the same, soon after the wait is over; a short one finds the silence early.
const HOLD: f64 = 2000.0;
/// An answer later than this after it was due is none: the agent is on this machine and answers at once. The
/// call after one that was late has twice as long. Danger: one that is always slow would never be heard.
const GRACE: f64 = 500.0;
/// Watches that end at once without news are this far apart: no spin, and well within the 200 ms after which
/// a new watch begins.
const APART: f64 = 50.0;
/// Room for a list at first, some fifty servers, and at most: tens of thousands of servers, indented.
const LIST_FIRST: usize = 16 * 1024;
const LIST_MOST: usize = 16 * 1024 * 1024;

pub struct Discovery {
    address: SocketAddr,
    stream: Option<TcpStream>,
    ask: Vec<u8>,
    sent: usize,
    inbox: Buffer,
    message: Option<(Message, u16)>,
    asked_at: f64,
    /// The last call failed, and it did so by being late.
    failed: bool,
    late: bool,
    seq: Option<u64>,
    timer: Option<TimerKey>,
    /// The list as last told, line by line.
    lines: BTreeMap<String, Value>,
    /// Has answered, or failed to, since the start.
    pub heard: bool,
}

impl Discovery {
    pub fn new(address: SocketAddr) -> Self {
        Discovery {
            address,
            stream: None,
            ask: Vec::new(),
            sent: 0,
            inbox: Buffer::with_capacity(LIST_FIRST),
            message: None,
            asked_at: 0.0,
            failed: false,
            late: false,
            seq: None,
            timer: None,
            lines: BTreeMap::new(),
            heard: false,
        }
    }

    /// Goes on from the version of a list that was known before.
    pub fn go_on_from(&mut self, list: &List) {
        self.seq = Some(list.seq).filter(|_| list.whole);
    }

    /// Keeps what a list tells, for a process that comes after this one.
    pub fn keep(&mut self, list: &Value) {
        if list.get("whole") == Some(&Value::Bool(true)) {
            self.lines.clear();
        }
        for line in list
            .get("hosts")
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
        {
            let Some(host) = line.get("host").and_then(Value::as_str) else {
                continue;
            };
            if line.get("health").and_then(Value::as_str) == Some("Gone") {
                self.lines.remove(host);
            } else {
                self.lines.insert(host.to_string(), line.clone());
            }
        }
    }

    /// The list as last told, in the form in which it is told.
    pub fn whole_list(&self) -> Value {
        let hosts: Vec<&Value> = self.lines.values().collect();
        json!({"seq": self.seq.unwrap_or_default(), "whole": true, "hosts": hosts})
    }
}
