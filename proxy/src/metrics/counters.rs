//! Process counters, logged on SIGUSR1 and at exit.

use std::fmt;

/// Counters since the start of the process.
#[derive(Default)]
pub struct Counters {
    /// Requests admitted.
    pub requests_admitted: u64,
    /// Requests answered with an endpoint's successful response.
    pub requests_succeeded: u64,
    /// Requests rejected, mostly with `Retry-After`.
    pub requests_rejected: u64,
    /// Requests that failed after their last attempt.
    pub requests_failed: u64,
    /// Clients that disconnected before their response was complete.
    pub clients_disconnected: u64,
    /// Invalid messages from clients, answered without admission.
    pub invalid_requests: u64,
    /// Clients that stopped reading their response.
    pub clients_stalled: u64,
    /// Connections, requests and attempts refused because a table was full or the buffer pool was exhausted.
    pub capacity_exhausted: u64,
    /// Attempts sent to endpoints.
    pub attempts_sent: u64,
    /// Attempts that succeeded.
    pub attempts_succeeded: u64,
    /// Attempts answered with an error.
    pub attempts_failed: u64,
    /// Attempts rejected by an endpoint.
    pub attempts_rejected: u64,
    /// Attempts without a response before their timeout.
    pub attempts_timed_out: u64,
    /// Attempts for which no connection could be opened.
    pub attempts_unreachable: u64,
    /// Attempts whose connection was lost.
    pub attempts_connection_lost: u64,
    /// Attempts that were cancelled or not sent.
    pub attempts_cancelled: u64,
    /// Connections accepted from clients.
    pub connections_accepted: u64,
    /// Connections opened to endpoints.
    pub connections_opened: u64,
    /// Load probes sent.
    pub load_probes_sent: u64,
    /// Load probes that returned no load report.
    pub load_probes_failed: u64,
    /// Endpoint lists received.
    pub endpoint_lists_received: u64,
    /// Failed polls of discovery.
    pub endpoint_polls_failed: u64,
}

impl fmt::Display for Counters {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.fmt_requests(formatter)?;
        formatter.write_str("; ")?;
        self.fmt_attempts(formatter)?;
        write!(
            formatter,
            "; connections: accepted {}, dialled {}; probes: sent {}, without report {}; lists: {}, failed {}",
            self.connections_accepted,
            self.connections_opened,
            self.load_probes_sent,
            self.load_probes_failed,
            self.endpoint_lists_received,
            self.endpoint_polls_failed
        )
    }
}

impl Counters {
    fn fmt_requests(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "ops: taken {}, acked {}, nacked {}, dead-lettered {}, departed {}, bad {}, stalled {}, full {}",
            self.requests_admitted,
            self.requests_succeeded,
            self.requests_rejected,
            self.requests_failed,
            self.clients_disconnected,
            self.invalid_requests,
            self.clients_stalled,
            self.capacity_exhausted
        )
    }

    fn fmt_attempts(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "pushes: sent {}, acked {}, errored {}, turned away {}, timed out {}, unreachable {}, broken {}, \
             cancelled {}",
            self.attempts_sent,
            self.attempts_succeeded,
            self.attempts_failed,
            self.attempts_rejected,
            self.attempts_timed_out,
            self.attempts_unreachable,
            self.attempts_connection_lost,
            self.attempts_cancelled
        )
    }
}
