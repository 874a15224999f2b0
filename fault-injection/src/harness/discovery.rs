//! Simulated discovery service: responds to long polls with the endpoint list, or with the changes since a version.

use super::event_loop::Role;
use super::Harness;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// The health of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Health {
    Ready,
    Draining,
}

impl Health {
    fn name(self) -> &'static str {
        match self {
            Health::Ready => "Ready",
            Health::Draining => "Draining",
        }
    }
}

/// The entry of an endpoint in the endpoint list.
struct Listing {
    health: Health,
    /// The list version of the last change.
    version: u64,
}

/// A long poll without a response yet.
struct HeldPoll {
    connection: usize,
    proxy: usize,
    /// The version that the proxy holds; 0 requests the full list.
    from_version: u64,
    until_ms: f64,
}

/// The discovery service of all proxies.
pub(super) struct Discovery {
    /// Listen addresses, by proxy.
    pub(super) addresses: Vec<SocketAddr>,
    listings: Vec<Listing>,
    version: u64,
    held_polls: Vec<HeldPoll>,
    /// When each proxy was sent an endpoint's draining state: by proxy, then by endpoint.
    draining_since_ms: Vec<Vec<Option<f64>>>,
    /// For each proxy, whether new connections are closed immediately.
    pub(super) closed: Vec<bool>,
    /// Times and versions of the lists sent to each proxy, in chronological order.
    sent_versions: Vec<Vec<(f64, u64)>>,
    /// The start of the run in Unix time.
    run_start_unix_ms: f64,
}

impl Discovery {
    pub(super) fn new(proxies: usize) -> Self {
        // A clock before the Unix epoch is clamped to it.
        let run_start_unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, |since| since.as_secs_f64() * 1000.0);
        Discovery {
            addresses: Vec::new(),
            listings: Vec::new(),
            version: 1,
            held_polls: Vec::new(),
            draining_since_ms: vec![Vec::new(); proxies],
            closed: vec![false; proxies],
            sent_versions: vec![Vec::new(); proxies],
            run_start_unix_ms,
        }
    }

    pub(super) fn add_endpoint(&mut self) {
        self.listings.push(Listing {
            health: Health::Ready,
            version: 1,
        });
        for draining_since_ms in &mut self.draining_since_ms {
            draining_since_ms.push(None);
        }
    }

    pub(super) fn forget_connection(&mut self, connection: usize) {
        self.held_polls.retain(|poll| poll.connection != connection);
    }

    /// Returns when a proxy was sent an endpoint's draining state; `None` if it was sent none, or has
    /// since been sent the ready state.
    pub(super) fn draining_since(&self, proxy: usize, endpoint: usize) -> Option<f64> {
        self.draining_since_ms[proxy][endpoint]
    }

    /// Removes and returns the polls that are due for a response.
    fn take_answerable(&mut self, now_ms: f64, silent: &[bool]) -> Vec<HeldPoll> {
        let version = self.version;
        let answerable = |poll: &HeldPoll| {
            let full_list = poll.from_version == 0;
            let changed = poll.from_version < version;
            !silent[poll.proxy] && (full_list || changed || now_ms >= poll.until_ms)
        };
        let polls = std::mem::take(&mut self.held_polls);
        let (answerable, held) = polls.into_iter().partition(answerable);
        self.held_polls = held;
        answerable
    }

    /// Records that the current list was sent to a proxy.
    fn record_sent_list(&mut self, now_ms: f64, proxy: usize) {
        self.sent_versions[proxy].push((now_ms, self.version));
        let draining = &mut self.draining_since_ms[proxy];
        for (listing, draining_since_ms) in self.listings.iter().zip(draining) {
            match listing.health {
                Health::Ready => *draining_since_ms = None,
                Health::Draining => {
                    draining_since_ms.get_or_insert(now_ms);
                }
            }
        }
    }
}

/// Returns a numeric parameter from the query of a request path.
fn query_number(path: &str, name: &str) -> Option<f64> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Harness {
    /// Lists an endpoint as draining, and responds to the polls of all proxies whose discovery is not silent.
    pub fn drain(&mut self, endpoint: usize) {
        self.set_listed_health(endpoint, Health::Draining);
    }

    /// Closes a proxy's connections to discovery, and new ones immediately.
    pub(crate) fn close_discovery(&mut self, proxy: usize) {
        self.discovery.closed[proxy] = true;
        let connections: Vec<usize> = self
            .event_loop
            .connections
            .iter()
            .filter(|(_, open)| open.role == Role::Discovery { proxy })
            .map(|(key, _)| key)
            .collect();
        for connection in connections {
            self.close(connection);
        }
    }

    /// Restores discovery for all proxies.
    pub(crate) fn recover_discovery(&mut self) {
        self.discovery.closed.fill(false);
        self.discovery_silent.fill(false);
        self.answer_polls();
    }

    /// Moves a proxy's discovery to another address, and rewrites the proxy's configuration.
    pub(crate) fn move_discovery(&mut self, proxy: usize) {
        self.discovery.addresses[proxy] = self.event_loop.listen(Role::Discovery { proxy });
        self.write_files(proxy);
    }

    /// Returns the current version of the endpoint list.
    pub(crate) fn list_version(&self) -> u64 {
        self.discovery.version
    }

    /// Returns whether a proxy was sent this version of the list, or a later one, by this time.
    pub(crate) fn was_sent_version(&self, proxy: usize, version: u64, by_ms: f64) -> bool {
        self.discovery.sent_versions[proxy]
            .iter()
            .any(|(at_ms, sent)| *sent >= version && *at_ms <= by_ms)
    }

    pub(super) fn list_as_ready(&mut self, endpoint: usize) {
        self.set_listed_health(endpoint, Health::Ready);
    }

    fn set_listed_health(&mut self, endpoint: usize, health: Health) {
        self.discovery.version += 1;
        let version = self.discovery.version;
        self.discovery.listings[endpoint] = Listing { health, version };
        self.answer_polls();
    }

    pub(super) fn on_discovery_poll(&mut self, connection: usize, proxy: usize, path: &str) {
        let from_version = query_number(path, "from").map_or(0, |version| version as u64);
        let until_ms = self.now() + query_number(path, "hold_ms").unwrap_or(0.0);
        self.discovery.held_polls.push(HeldPoll {
            connection,
            proxy,
            from_version,
            until_ms,
        });
        self.schedule(until_ms - self.now(), |harness| harness.answer_polls());
        self.answer_polls();
    }

    fn answer_polls(&mut self) {
        let now_ms = self.now();
        let answerable = self
            .discovery
            .take_answerable(now_ms, &self.discovery_silent);
        for poll in answerable {
            let body = self.endpoint_list(&poll).to_string();
            self.discovery.record_sent_list(now_ms, poll.proxy);
            let length = body.len();
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            self.event_loop.send(poll.connection, &response);
        }
    }

    /// Returns the full endpoint list, or the changes since the version of a poll.
    fn endpoint_list(&self, poll: &HeldPoll) -> Value {
        let from_version = poll.from_version;
        let hosts: Vec<Value> = (0..self.endpoint_count())
            .filter(|endpoint| {
                from_version == 0 || self.discovery.listings[*endpoint].version > from_version
            })
            .map(|endpoint| self.endpoint_entry(poll.proxy, endpoint))
            .collect();
        json!({"seq": self.discovery.version, "whole": from_version == 0, "hosts": hosts})
    }

    fn endpoint_entry(&self, proxy: usize, endpoint: usize) -> Value {
        let instance = &self.endpoints.instances[endpoint];
        // Converts from time since the start of the run to Unix time; 0 means unknown.
        let born_ms = if instance.started_at > 0.0 {
            self.discovery.run_start_unix_ms + instance.started_at
        } else {
            0.0
        };
        json!({"host": format!("s{endpoint}"), "dial": self.endpoints.addresses[endpoint][proxy].to_string(),
               "site": self.environment.zones[instance.zone], "class": instance.machine.name, "block": instance.pod,
               "health": self.discovery.listings[endpoint].health.name(), "share": 1.0, "born_ms": born_ms})
    }
}
