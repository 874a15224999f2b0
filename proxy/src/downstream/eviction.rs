//! Which clients' connections are closed to make room for others.

use super::connection::DownstreamConnection;
use super::{DownstreamConnections, NEW_CLIENT_GRACE_MS};
use crate::proxy::Proxy;
use crate::slot_table::DownstreamKey;
use crate::socket::is_open_and_idle;

/// The share of all clients' connections that may stand idle after a response. Clients that ask once and stay
/// use up what their side may open, and others, who would ask, find no connection left.
const MAX_IDLE_SHARE: f64 = 1.0 / 3.0;
/// The same of those that have asked only once: clients with more to ask have mostly come back.
const MAX_IDLE_SHARE_AFTER_ONE: f64 = 1.0 / 8.0;

impl DownstreamConnections {
    /// The connection that is needed least: one that had its last response a while ago and only has to hang up;
    /// one that has never ended a request; then the one longest without a response; at last any that only has to
    /// hang up.
    ///
    /// Were idle ones always first, a new client would go before it could speak, and hundreds that say nothing
    /// would push out those that do.
    fn least_needed(&self, now_ms: f64) -> Option<DownstreamKey> {
        let is_settled = |client: &DownstreamConnection| {
            !client.is_busy() && now_ms - client.idle_since_ms > NEW_CLIENT_GRACE_MS
        };
        let longest_idle = |is_candidate: &dyn Fn(&DownstreamConnection) -> bool| {
            self.table
                .key_with_least(|client| is_candidate(client).then_some(client.idle_since_ms))
        };
        longest_idle(&|client| client.is_lingering() && is_settled(client))
            .or_else(|| {
                longest_idle(&|client| {
                    client.responses_sent == 0 && !client.is_lingering() && is_settled(client)
                })
            })
            .or_else(|| longest_idle(&|client| !client.is_lingering() && is_settled(client)))
            .or_else(|| longest_idle(&DownstreamConnection::is_lingering))
    }
}

impl Proxy {
    /// Closes the connection that is needed least; whether there was one. What its client may have sent by now
    /// counts as received, and is read first.
    pub(super) fn evict_client(&mut self) -> bool {
        self.counters.capacity_exhausted += 1;
        while let Some(key) = self.downstream.least_needed(self.clock.now()) {
            self.serve(key);
            let client = self.downstream.table.get(key);
            if client.is_none_or(|client| !client.is_busy()) {
                self.drop_downstream(key);
                return true;
            }
        }
        false
    }

    /// Closes the connection that was idle longest; whether there was one. One that has just come is about to
    /// speak.
    pub fn close_idle_downstream(&mut self) -> bool {
        let now_ms = self.clock.now();
        let longest_idle = self.downstream.table.key_with_least(|client| {
            let may_close = client.is_idle()
                && now_ms - client.idle_since_ms > NEW_CLIENT_GRACE_MS
                && is_open_and_idle(&client.stream);
            may_close.then_some(client.idle_since_ms)
        });
        if let Some(key) = longest_idle {
            self.drop_downstream(key);
        }
        longest_idle.is_some()
    }

    /// Closes connections between requests, once what their clients may have sent is read; those that have just
    /// come only where `all` are to go: they are about to speak, and are told to close then.
    pub fn close_idle(&mut self, all: bool) {
        let now_ms = self.clock.now();
        for key in self.downstream.table.keys_where(|_| true) {
            self.serve(key);
            let may_close = |client: &DownstreamConnection| {
                client.is_idle() && (all || now_ms - client.idle_since_ms > NEW_CLIENT_GRACE_MS)
            };
            if self.downstream.table.get(key).is_some_and(may_close) {
                self.drop_downstream(key);
            }
        }
    }

    /// Closes the connections that had their response longest ago, where too many stand idle since theirs.
    pub(super) fn close_excess_idle(&mut self) {
        let now_ms = self.clock.now();
        self.close_idle_beyond(MAX_IDLE_SHARE_AFTER_ONE, 1, now_ms);
        self.close_idle_beyond(MAX_IDLE_SHARE, u32::MAX, now_ms);
    }

    /// The same for one share, of connections that had so many responses at most.
    fn close_idle_beyond(&mut self, max_share: f64, max_responses: u32, now_ms: f64) {
        let mut idle = self.downstream.table.keys_where(|client| {
            (1..=max_responses).contains(&client.responses_sent)
                && client.is_idle()
                && now_ms - client.idle_since_ms > NEW_CLIENT_GRACE_MS
        });
        let allowed = (max_share * self.downstream.capacity as f64) as usize;
        let excess = idle.len().saturating_sub(allowed);
        if excess == 0 {
            return;
        }
        let idle_since_ms = |key: &DownstreamKey| self.downstream.table[*key].idle_since_ms;
        idle.sort_unstable_by(|left, right| idle_since_ms(left).total_cmp(&idle_since_ms(right)));
        for key in idle.into_iter().take(excess) {
            // One that speaks up just now is heard.
            if is_open_and_idle(&self.downstream.table[key].stream) {
                self.drop_downstream(key);
            }
        }
    }
}
