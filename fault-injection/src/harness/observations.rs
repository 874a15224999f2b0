//! Observations: what each proxy says of the other members of its cluster, taken down at short intervals.

use super::event_loop::Role;
use super::Harness;
use mio::net::TcpStream;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How often each proxy's view is taken down.
const INTERVAL_MS: f64 = 100.0;
const ALIVE: &str = "alive";

/// What a proxy said of the other members at a moment.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Milliseconds since the start of the run.
    pub at_ms: f64,
    /// Whose view it is.
    pub proxy: usize,
    /// The states of the other members, by number.
    pub states: BTreeMap<usize, String>,
    /// How much of the cluster it reaches, in the words of the `/fleet` page.
    pub reach: String,
    /// How many proxies it assumes to share the endpoints.
    pub assumed_proxies: f64,
    /// Its share of the slow-start budget, in shares of a configured proxy.
    pub slow_start_share: f64,
}

impl View {
    /// The other members that it holds for alive, in the order of their numbers.
    fn alive(&self) -> impl Iterator<Item = usize> + '_ {
        self.states
            .iter()
            .filter(|(_, state)| *state == ALIVE)
            .map(|(number, _)| *number)
    }
}

/// What is known of the processes that are observed.
pub(super) struct Observations {
    /// From when on a proxy's views are of its current process; infinite while that is shutting down.
    pub(super) started_ms: Vec<f64>,
}

impl Observations {
    pub(super) fn new(proxies: usize) -> Self {
        Observations {
            started_ms: vec![0.0; proxies],
        }
    }
}

impl Harness {
    /// Takes down a proxy's view again and again, while it runs.
    pub(super) fn observe(&mut self, proxy: usize) {
        self.schedule(INTERVAL_MS, move |harness| {
            if !harness.proxies[proxy].runs() {
                return;
            }
            if !harness.proxies[proxy].stopped {
                harness.request_view(proxy);
            }
            harness.observe(proxy);
        });
    }

    fn request_view(&mut self, proxy: usize) {
        // A proxy that cannot be reached now is asked again after the interval.
        if let Ok(stream) = TcpStream::connect(self.proxies[proxy].admin) {
            let connection = self
                .event_loop
                .add_connection(stream, Role::Observer { proxy });
            self.event_loop
                .send(connection, "GET /fleet HTTP/1.1\r\nHost: door\r\n\r\n");
        }
    }

    /// A proxy's `/fleet` page has arrived.
    pub(super) fn on_view(&mut self, proxy: usize, body: &[u8]) {
        let now_ms = self.now();
        if self.clients.opened
            && now_ms >= self.observations.started_ms[proxy]
            && !self.proxies[proxy].stopped
        {
            self.clients.in_rotation[proxy] = true;
        }
        // An error page is no view.
        let Ok(page) = serde_json::from_slice::<Value>(body) else {
            return;
        };
        let states = page["members"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|member| self.member_state(member))
            .collect();
        self.views.push(View {
            at_ms: now_ms,
            proxy,
            states,
            reach: page["reach"]["state"]
                .as_str()
                .unwrap_or_default()
                .to_string(),
            assumed_proxies: page["nodes_assumed"].as_f64().unwrap_or(0.0),
            slow_start_share: page["cold_part"].as_f64().unwrap_or(0.0),
        });
    }

    /// The number and the state of a member on the page; `None` if it is none of the run's proxies.
    fn member_state(&self, member: &Value) -> Option<(usize, String)> {
        let address: SocketAddr = member["address"].as_str()?.parse().ok()?;
        let number = self
            .proxies
            .iter()
            .position(|proxy| proxy.advertised == address)?;
        Some((number, member["state"].as_str()?.to_string()))
    }

    /// The last view of a proxy's current process, if there is one.
    pub fn view(&self, proxy: usize) -> Option<&View> {
        let started_ms = self.observations.started_ms[proxy];
        self.views
            .iter()
            .rev()
            .find(|view| view.proxy == proxy && view.at_ms >= started_ms)
    }

    /// Whether each of these proxies, by its last view, holds exactly the others of them for alive.
    pub fn agree(&self, proxies: &[usize]) -> bool {
        proxies.iter().all(|proxy| {
            let others = proxies.iter().copied().filter(|other| other != proxy);
            self.view(*proxy)
                .is_some_and(|view| view.alive().eq(others))
        })
    }

    /// When each of these proxies first saw another in a state, since a moment; `None` for one that did not.
    pub fn saw(
        &self,
        proxies: &[usize],
        other: usize,
        state: &str,
        since_ms: f64,
    ) -> Vec<Option<f64>> {
        let first = |proxy: &usize| {
            let seen = |view: &&View| {
                view.proxy == *proxy
                    && view.at_ms >= since_ms
                    && view.states.get(&other).is_some_and(|seen| seen == state)
            };
            self.views.iter().find(seen).map(|view| view.at_ms)
        };
        proxies.iter().map(first).collect()
    }

    /// When the views of all proxies that are observed were first equal, within a span of time.
    pub(crate) fn converged(&self, from_ms: f64, until_ms: f64) -> Option<f64> {
        let mut members_by_observer: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let in_span = |view: &&View| view.at_ms >= from_ms && view.at_ms <= until_ms;
        for view in self.views.iter().filter(in_span) {
            let mut members: Vec<usize> = view.alive().chain([view.proxy]).collect();
            members.sort_unstable();
            members_by_observer.insert(view.proxy, members);
            if all_equal(&members_by_observer) {
                return Some(view.at_ms);
            }
        }
        None
    }

    /// When a proxy's process was started last.
    pub(crate) fn started_ms(&self, proxy: usize) -> f64 {
        self.observations.started_ms[proxy]
    }
}

/// Whether all observers see the same members, and are those members.
fn all_equal(members_by_observer: &BTreeMap<usize, Vec<usize>>) -> bool {
    let Some(members) = members_by_observer.values().next() else {
        return false;
    };
    members_by_observer.len() == members.len()
        && members
            .iter()
            .all(|member| members_by_observer.get(member) == Some(members))
}
