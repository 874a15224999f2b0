//! Stand-in discovery: answers each proxy's polls with the endpoint list, or holds them until it changes.

use super::event_loop::Role;
use super::Harness;
use serde_json::{json, Value};
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

/// An endpoint's health as discovery lists it.
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

/// What discovery lists of an endpoint.
struct Listing {
    health: Health,
    /// The version of the list that this came with.
    version: u64,
}

/// A proxy's poll that has not been answered yet.
struct HeldPoll {
    connection: usize,
    proxy: usize,
    /// The version that the proxy has; 0 for none.
    from_version: u64,
    until_ms: f64,
}

/// The discovery of all proxies.
pub(super) struct Discovery {
    /// Where each proxy reaches it.
    pub(super) addresses: Vec<SocketAddr>,
    listings: Vec<Listing>,
    version: u64,
    held_polls: Vec<HeldPoll>,
    /// When each proxy was told that an endpoint drains: by proxy, then by endpoint.
    draining_since_ms: Vec<Vec<Option<f64>>>,
    /// Proxies whose connections to it are closed, and new ones at once.
    pub(super) closed: Vec<bool>,
    /// When each proxy was told which version: by proxy, in the order of time.
    told_versions: Vec<Vec<(f64, u64)>>,
    /// When the run began.
    unix_ms: f64,
}

impl Discovery {
    pub(super) fn new(proxies: usize) -> Self {
        // A clock before 1970 counts as 1970.
        let unix_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, |since| since.as_secs_f64() * 1000.0);
        Discovery {
            addresses: Vec::new(),
            listings: Vec::new(),
            version: 1,
            held_polls: Vec::new(),
            draining_since_ms: vec![Vec::new(); proxies],
            closed: vec![false; proxies],
            told_versions: vec![Vec::new(); proxies],
            unix_ms,
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

    /// When a proxy was told that an endpoint drains; `None` if it was not, or if the endpoint is back since.
    pub(super) fn draining_since(&self, proxy: usize, endpoint: usize) -> Option<f64> {
        self.draining_since_ms[proxy][endpoint]
    }

    /// Takes out the polls that are to be answered now.
    fn take_answerable(&mut self, now_ms: f64, silent: &[bool]) -> Vec<HeldPoll> {
        let version = self.version;
        let answerable = |poll: &HeldPoll| {
            let whole_list = poll.from_version == 0;
            let changed = poll.from_version < version;
            !silent[poll.proxy] && (whole_list || changed || now_ms >= poll.until_ms)
        };
        let polls = std::mem::take(&mut self.held_polls);
        let (answerable, held) = polls.into_iter().partition(answerable);
        self.held_polls = held;
        answerable
    }

    /// A proxy is told the health of all endpoints.
    fn note_told(&mut self, now_ms: f64, proxy: usize) {
        self.told_versions[proxy].push((now_ms, self.version));
        let told = &mut self.draining_since_ms[proxy];
        for (listing, draining_since_ms) in self.listings.iter().zip(told) {
            match listing.health {
                Health::Ready => *draining_since_ms = None,
                Health::Draining => {
                    draining_since_ms.get_or_insert(now_ms);
                }
            }
        }
    }
}

/// A number in the query of a request's path.
fn query_number(path: &str, name: &str) -> Option<f64> {
    let (_, query) = path.split_once('?')?;
    query
        .split('&')
        .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

impl Harness {
    /// An endpoint drains, and every proxy's discovery that is not silent says so at once.
    pub fn drain(&mut self, endpoint: usize) {
        self.list(endpoint, Health::Draining);
    }

    /// Closes all connections of a proxy to discovery, and new ones at once.
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

    /// Discovery answers all proxies again, whatever kept it from that.
    pub(crate) fn recover_discovery(&mut self) {
        self.discovery.closed.fill(false);
        self.discovery_silent.fill(false);
        self.answer_polls();
    }

    /// Discovery moves to another address for a proxy, which its configuration names from now on.
    pub(crate) fn move_discovery(&mut self, proxy: usize) {
        self.discovery.addresses[proxy] = self.event_loop.listen(Role::Discovery { proxy });
        self.write_files(proxy);
    }

    /// The version of the endpoint list now.
    pub(crate) fn list_version(&self) -> u64 {
        self.discovery.version
    }

    /// Whether a proxy was told this version of the list, or a later one, by a moment.
    pub(crate) fn was_told(&self, proxy: usize, version: u64, by_ms: f64) -> bool {
        self.discovery.told_versions[proxy]
            .iter()
            .any(|(at_ms, told)| *told >= version && *at_ms <= by_ms)
    }

    pub(super) fn announce_ready(&mut self, endpoint: usize) {
        self.list(endpoint, Health::Ready);
    }

    fn list(&mut self, endpoint: usize, health: Health) {
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
            self.discovery.note_told(now_ms, poll.proxy);
            let length = body.len();
            let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
            self.event_loop.send(poll.connection, &response);
        }
    }

    /// The endpoint list for a poll: all of it, or what has changed since the proxy's version.
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
        let server = &self.endpoints.servers[endpoint];
        // Starts are counted from the start of the run here, and in Unix time on the wire.
        let born_ms = if server.started_at > 0.0 {
            self.discovery.unix_ms + server.started_at
        } else {
            0.0
        };
        json!({"host": format!("s{endpoint}"), "dial": self.endpoints.addresses[endpoint][proxy].to_string(),
               "site": self.environment.zones[server.zone], "class": server.machine.name, "block": server.pod,
               "health": self.discovery.listings[endpoint].health.name(), "share": 1.0, "born_ms": born_ms})
    }
}
