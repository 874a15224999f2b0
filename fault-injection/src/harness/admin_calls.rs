//! Calls to the admin API: by operators, who disable and enable endpoints, and by the platform, which asks whether a
//! process is ready.

use super::event_loop::Role;
use super::{Harness, LOOP_LATENESS_MS};
use crankmux_simulator::script::Script;
use mio::net::TcpStream;
use slab::Slab;
use std::fmt;

/// Each answer is due within this, whatever the load.
const ANSWER_DUE_MS: f64 = 1000.0;

/// What is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AdminCall {
    /// Whether the process is ready.
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

/// What became of an operator's call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum CallOutcome {
    /// Answered with this status, in time.
    Answered(u16),
    /// Its connection ended before it was answered.
    Closed,
    /// Not answered in time.
    Late,
}

struct OpenCall {
    proxy: usize,
    call: AdminCall,
    /// It is closed in the meantime, or was given up.
    ended: bool,
}

/// An operator's call that did not get the answer that it is owed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedCall {
    pub(crate) at_ms: f64,
    pub(crate) proxy: usize,
    pub(crate) call: AdminCall,
    pub(crate) outcome: CallOutcome,
}

/// The calls, and what follows from those that were answered.
pub(super) struct AdminCalls {
    calls: Slab<OpenCall>,
    /// Since when each proxy has confirmed that an endpoint is disabled: by proxy, then by endpoint.
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

    /// Since when an endpoint is disabled at a proxy, as far as operators were told.
    pub(super) fn disabled_since(&self, proxy: usize, endpoint: usize) -> Option<f64> {
        self.disabled_since_ms[proxy][endpoint]
    }
}

impl Harness {
    /// Calls a proxy's admin API. An operator's call is to be answered with 200 in time.
    pub(crate) fn call_admin(&mut self, proxy: usize, call: AdminCall) {
        let process = &self.proxies[proxy];
        let address = match (call, process.newer_admin) {
            (AdminCall::Readiness, Some(newer)) => newer,
            _ => process.admin,
        };
        let open = OpenCall {
            proxy,
            call,
            ended: false,
        };
        let number = self.admin_calls.calls.insert(open);
        if let AdminCall::Enable { endpoint } = call {
            // It may be used from now on, or from when the call is answered.
            self.admin_calls.disabled_since_ms[proxy][endpoint] = None;
        }
        match TcpStream::connect(address) {
            Ok(stream) => {
                let role = Role::AdminCall { call: number };
                let connection = self.event_loop.add_connection(stream, role);
                self.event_loop.send(connection, &call.request());
            }
            Err(_) => self.end_call(number, CallOutcome::Closed),
        }
        self.schedule(ANSWER_DUE_MS + LOOP_LATENESS_MS, move |harness| {
            harness.end_call(number, CallOutcome::Late);
            harness.admin_calls.calls.remove(number);
        });
    }

    pub(super) fn on_call_answered(&mut self, number: usize, status: u16) {
        self.end_call(number, CallOutcome::Answered(status));
    }

    pub(super) fn on_call_closed(&mut self, number: usize) {
        self.end_call(number, CallOutcome::Closed);
    }

    /// The first thing that becomes of a call counts.
    fn end_call(&mut self, number: usize, outcome: CallOutcome) {
        let now_ms = self.now();
        let Some(open) = self.admin_calls.calls.get_mut(number) else {
            return;
        };
        if std::mem::replace(&mut open.ended, true) {
            return;
        }
        let proxy = open.proxy;
        let call = open.call;
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

    /// The operators' calls that did not get the answer that they are owed.
    pub(crate) fn failed_calls(&self) -> &[FailedCall] {
        &self.admin_calls.failed
    }

    /// How many operators' calls were answered with 200.
    pub(crate) fn confirmed_calls(&self) -> usize {
        self.admin_calls.confirmed
    }
}
