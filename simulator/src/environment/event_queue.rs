//! The events of a run, and the time-ordered event queue.

use crankmux::types::{AttemptOutcome, LoadReport};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Identifies a request by its slab index, which is reused, and its serial number, which is not.
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

/// One incarnation of an endpoint. Messages to an earlier incarnation are lost.
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

/// A simulated event.
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
    /// A proxy learns the outcome of an attempt.
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
    /// A proxy receives the full endpoint list or the changes since its last notification.
    ProxyNotified {
        proxy: usize,
        full_list: bool,
    },
    ProxyRestarts {
        proxy: ProxyRef,
    },
    ProxyFailureDetected {
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

/// A scheduled event. The sequence number orders events with equal times by insertion.
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

/// A priority queue of events, earliest first. Events with equal times are returned in insertion order.
#[derive(Default)]
pub(super) struct EventQueue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: f64, event: Event) {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
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
