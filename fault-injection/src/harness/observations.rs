//! Periodic recording of each proxy's view of the cluster membership.

use super::event_loop::Role;
use super::Harness;
use mio::net::TcpStream;
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// How often each proxy's view is requested.
const OBSERVATION_INTERVAL_MS: f64 = 100.0;
const ALIVE: &str = "alive";

/// A proxy's view of the cluster membership at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Milliseconds since the harness was created.
    pub at_ms: f64,
    /// The proxy that reported the view.
    pub proxy: usize,
    /// The states of the other members, by proxy index.
    pub states: BTreeMap<usize, String>,
    /// Which part of the cluster it reaches: `reach.state` of the `/fleet` page.
    pub reach: String,
    /// The number of proxies that it assumes to share the endpoints.
    pub assumed_proxies: f64,
    /// Its part of the slow-start budget, as a multiple of a configured proxy's share.
    pub slow_start_share: f64,
}

impl View {
    /// Returns the other members in the alive state, in index order.
    fn alive(&self) -> impl Iterator<Item = usize> + '_ {
        self.states
            .iter()
            .filter(|(_, state)| *state == ALIVE)
            .map(|(index, _)| *index)
    }
}

/// The state of the observation of each proxy.
pub(super) struct Observations {
    /// From when a proxy's views belong to its current process; infinite while that is shutting down.
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
    /// Requests a proxy's view periodically while its process runs.
    pub(super) fn observe(&mut self, proxy: usize) {
        self.schedule(OBSERVATION_INTERVAL_MS, move |harness| {
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
        // On failure, the next interval tries again.
        if let Ok(stream) = TcpStream::connect(self.proxies[proxy].admin) {
            let connection = self
                .event_loop
                .add_connection(stream, Role::Observer { proxy });
            self.event_loop
                .send(connection, "GET /fleet HTTP/1.1\r\nHost: door\r\n\r\n");
        }
    }

    /// Records the view from a proxy's `/fleet` page.
    pub(super) fn on_view(&mut self, proxy: usize, body: &[u8]) {
        let now_ms = self.now();
        if self.clients.load_started
            && now_ms >= self.observations.started_ms[proxy]
            && !self.proxies[proxy].stopped
        {
            self.clients.in_rotation[proxy] = true;
        }
        // An error response has no JSON body.
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

    /// Returns a member's proxy index and state; `None` if no proxy of the run has its address.
    fn member_state(&self, member: &Value) -> Option<(usize, String)> {
        let address: SocketAddr = member["address"].as_str()?.parse().ok()?;
        let index = self
            .proxies
            .iter()
            .position(|proxy| proxy.advertised == address)?;
        Some((index, member["state"].as_str()?.to_string()))
    }

    /// Returns the last view that a proxy's current process reported.
    pub fn view(&self, proxy: usize) -> Option<&View> {
        let started_ms = self.observations.started_ms[proxy];
        self.views
            .iter()
            .rev()
            .find(|view| view.proxy == proxy && view.at_ms >= started_ms)
    }

    /// Returns whether the last view of each of these proxies has exactly the others of them alive.
    pub fn views_agree(&self, proxies: &[usize]) -> bool {
        proxies.iter().all(|proxy| {
            let others = proxies.iter().copied().filter(|other| other != proxy);
            self.view(*proxy)
                .is_some_and(|view| view.alive().eq(others))
        })
    }

    /// Returns when each of these proxies first reported another one in a state, at or after `since_ms`; `None` if it
    /// did not.
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

    /// Returns when the views of all observed proxies first matched within a period.
    pub(crate) fn converged_at_ms(&self, from_ms: f64, until_ms: f64) -> Option<f64> {
        let mut members_by_observer: BTreeMap<usize, Vec<usize>> = BTreeMap::new();
        let in_span = |view: &&View| view.at_ms >= from_ms && view.at_ms <= until_ms;
        for view in self.views.iter().filter(in_span) {
            let mut members: Vec<usize> = view.alive().chain([view.proxy]).collect();
            members.sort_unstable();
            members_by_observer.insert(view.proxy, members);
            if all_views_match(&members_by_observer) {
                return Some(view.at_ms);
            }
        }
        None
    }

    /// Returns when a proxy's current process was started; infinite while it is shutting down.
    pub(crate) fn started_ms(&self, proxy: usize) -> f64 {
        self.observations.started_ms[proxy]
    }
}

/// Returns whether all observers report the same members, and are exactly those members.
fn all_views_match(members_by_observer: &BTreeMap<usize, Vec<usize>>) -> bool {
    let Some(members) = members_by_observer.values().next() else {
        return false;
    };
    members_by_observer.len() == members.len()
        && members
            .iter()
            .all(|member| members_by_observer.get(member) == Some(members))
}
