//! What can happen in a run, and the queue of events in order of time.

use crankmux::types::{AttemptOutcome, LoadReport};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A request by its place, which is used again, and its serial number, which is not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestRef {
    pub(super) index: usize,
    pub(super) serial: u64,
}

/// One attempt of a request, numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptRef {
    pub(super) request: RequestRef,
    pub(super) number: usize,
}

/// One incarnation of an endpoint: what was sent to an earlier one is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct EndpointRef {
    pub(super) index: usize,
    pub(super) incarnation: u32,
}

/// One incarnation of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ProxyRef {
    pub(super) index: usize,
    pub(super) incarnation: u32,
}

/// What can happen.
pub(super) enum Event {
    CallArrives,
    CallRetries {
        call: usize,
    },
    ClientLeaves {
        request: RequestRef,
    },
    DeadlinePasses {
        request: RequestRef,
    },
    AttemptArrives {
        attempt: AttemptRef,
        endpoint: EndpointRef,
    },
    /// The proxy learns how an attempt ended.
    AttemptEnds {
        attempt: AttemptRef,
        outcome: AttemptOutcome,
        load: LoadReport,
    },
    AttemptTimesOut {
        attempt: AttemptRef,
    },
    CancellationArrives {
        attempt: AttemptRef,
        endpoint: EndpointRef,
    },
    JobFinishes {
        endpoint: EndpointRef,
        job_number: u64,
    },
    EndpointReplaced {
        endpoint: usize,
    },
    EndpointRemoved {
        endpoint: usize,
    },
    EndpointRestarts {
        endpoint: usize,
    },
    ProxyTicks {
        proxy: usize,
    },
    /// The endpoint list reaches a proxy, in full or what changed of it.
    ProxyNotified {
        proxy: usize,
        full_list: bool,
    },
    ProxyRestarts {
        proxy: ProxyRef,
    },
    ProxyFailureNoticed {
        proxy: ProxyRef,
    },
    FaultBegins {
        fault: usize,
    },
    FaultEnds {
        fault: usize,
    },
    EndpointsPause {
        fault: usize,
    },
}

/// An event with its time. The sequence number orders events of the same time by when they were scheduled.
struct ScheduledEvent {
    at: f64,
    sequence: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_time = self.at.total_cmp(&other.at);
        by_time.then(self.sequence.cmp(&other.sequence))
    }
}

/// Events, earliest first; those of the same time in the order in which they were pushed.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    pushed: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: f64, event: Event) {
        self.pushed += 1;
        let sequence = self.pushed;
        self.heap.push(Reverse(ScheduledEvent {
            at,
            sequence,
            event,
        }));
    }

    pub(super) fn pop(&mut self) -> Option<(f64, Event)> {
        let Reverse(ScheduledEvent { at, event, .. }) = self.heap.pop()?;
        Some((at, event))
    }
}
