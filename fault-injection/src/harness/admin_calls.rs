//! Calls to the admin API: operators disable and enable endpoints, and the platform checks readiness.

use super::event_loop::Role;
use super::{Harness, EVENT_LOOP_SLACK_MS};
use crankmux_simulator::script::Script;
use mio::net::TcpStream;
use slab::Slab;
use std::fmt;

/// How long a response may take, under any load.
const RESPONSE_TIMEOUT_MS: f64 = 1000.0;

/// A call to the admin API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdminCall {
    /// Checks whether the process is ready.
    Readiness,
    /// Disables an endpoint.
    Disable { endpoint: usize },
    /// Enables an endpoint again.
    Enable { endpoint: usize },
}

impl AdminCall {
    fn request(self) -> String {
        let line = match self {
            AdminCall::Readiness => "GET /v1/readyz".to_string(),
            AdminCall::Disable { endpoint } => format!("POST /v1/servers/s{endpoint}/suspend"),
            AdminCall::Enable { endpoint } => format!("POST /v1/servers/s{endpoint}/resume"),
        };
        format!("{line} HTTP/1.1\r\nHost: admin\r\n\r\n")
    }
}

impl fmt::Display for AdminCall {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            AdminCall::Readiness => formatter.write_str("readiness"),
            AdminCall::Disable { endpoint } => write!(formatter, "disable s{endpoint}"),
            AdminCall::Enable { endpoint } => write!(formatter, "enable s{endpoint}"),
        }
    }
}

/// The outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallOutcome {
    /// A response with this status within the timeout.
    Answered(u16),
    /// The connection failed or was closed before a response.
    Closed,
    /// No response within the timeout.
    Late,
}

struct PendingCall {
    proxy: usize,
    call: AdminCall,
    /// The call has an outcome.
    completed: bool,
}

/// An operator's call without a 200 response in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedCall {
    pub(crate) at_ms: f64,
    pub(crate) proxy: usize,
    pub(crate) call: AdminCall,
    pub(crate) outcome: CallOutcome,
}

/// The state of all calls and their effects.
pub(super) struct AdminCalls {
    calls: Slab<PendingCall>,
    /// When each proxy confirmed that an endpoint is disabled: by proxy, then by endpoint.
    disabled_since_ms: Vec<Vec<Option<f64>>>,
    failed: Vec<FailedCall>,
    confirmed: usize,
}

impl AdminCalls {
    pub(super) fn new(environment: &Script) -> Self {
        let endpoints = environment
            .machine_types
            .iter()
            .map(|machine| machine.count)
            .sum();
        AdminCalls {
            calls: Slab::new(),
            disabled_since_ms: vec![vec![None; endpoints]; environment.proxies],
            failed: Vec::new(),
            confirmed: 0,
        }
    }

    /// Returns when a proxy confirmed that an endpoint is disabled, if it still is.
    pub(super) fn disabled_since(&self, proxy: usize, endpoint: usize) -> Option<f64> {
        self.disabled_since_ms[proxy][endpoint]
    }
}

impl Harness {
    /// Calls a proxy's admin API. An operator's call fails unless it gets a 200 response in time.
    pub(crate) fn call_admin(&mut self, proxy: usize, call: AdminCall) {
        let process = &self.proxies[proxy];
        let address = match (call, process.newer_admin) {
            (AdminCall::Readiness, Some(newer)) => newer,
            _ => process.admin,
        };
        let pending = PendingCall {
            proxy,
            call,
            completed: false,
        };
        let call_id = self.admin_calls.calls.insert(pending);
        if let AdminCall::Enable { endpoint } = call {
            // The proxy may use the endpoint as soon as it reads the call.
            self.admin_calls.disabled_since_ms[proxy][endpoint] = None;
        }
        match TcpStream::connect(address) {
            Ok(stream) => {
                let role = Role::AdminCall { call: call_id };
                let connection = self.event_loop.add_connection(stream, role);
                self.event_loop.send(connection, &call.request());
            }
            Err(_) => self.complete_call(call_id, CallOutcome::Closed),
        }
        self.schedule(RESPONSE_TIMEOUT_MS + EVENT_LOOP_SLACK_MS, move |harness| {
            harness.complete_call(call_id, CallOutcome::Late);
            harness.admin_calls.calls.remove(call_id);
        });
    }

    pub(super) fn on_call_answered(&mut self, call_id: usize, status: u16) {
        self.complete_call(call_id, CallOutcome::Answered(status));
    }

    pub(super) fn on_call_closed(&mut self, call_id: usize) {
        self.complete_call(call_id, CallOutcome::Closed);
    }

    /// Sets the outcome of a call, unless it already has one.
    fn complete_call(&mut self, call_id: usize, outcome: CallOutcome) {
        let now_ms = self.now();
        let Some(pending) = self.admin_calls.calls.get_mut(call_id) else {
            return;
        };
        if std::mem::replace(&mut pending.completed, true) {
            return;
        }
        let proxy = pending.proxy;
        let call = pending.call;
        let is_confirmed = outcome == CallOutcome::Answered(200);
        match call {
            AdminCall::Readiness if is_confirmed => return self.on_ready(proxy),
            AdminCall::Readiness => return,
            AdminCall::Disable { endpoint } if is_confirmed => {
                let since_ms = &mut self.admin_calls.disabled_since_ms[proxy][endpoint];
                since_ms.get_or_insert(now_ms);
            }
            AdminCall::Disable { .. } | AdminCall::Enable { .. } => {}
        }
        if is_confirmed {
            self.admin_calls.confirmed += 1;
        } else {
            self.admin_calls.failed.push(FailedCall {
                at_ms: now_ms,
                proxy,
                call,
                outcome,
            });
        }
    }

    /// Returns the operators' calls without a 200 response in time.
    pub(crate) fn failed_calls(&self) -> &[FailedCall] {
        &self.admin_calls.failed
    }

    /// Returns the number of operators' calls with a 200 response.
    pub(crate) fn confirmed_calls(&self) -> usize {
        self.admin_calls.confirmed
    }
}
