//! Eviction of client connections to make room for others.

use super::connection::DownstreamConnection;
use super::{DownstreamConnections, NEW_CLIENT_GRACE_MS};
use crate::proxy::Proxy;
use crate::slot_table::DownstreamKey;
use crate::socket::is_open_and_idle;

/// Limit on idle connections that have had a response, as a share of the table's capacity. Clients behind a shared
/// connection limit cannot open new connections while too many are idle.
const MAX_IDLE_SHARE: f64 = 1.0 / 3.0;
/// The same limit for connections that have had one response: they are less likely to be reused.
const MAX_IDLE_SHARE_AFTER_ONE: f64 = 1.0 / 8.0;

impl DownstreamConnections {
    /// The connection to evict, the longest idle of the first non-empty group: lingering ones past the grace period,
    /// those that have never had a response, all others that are not busy, and lingering ones within the grace
    /// period.
    ///
    /// The grace period protects new clients. Connections without a response go before others, so that clients that
    /// never send a request cannot displace active ones.
    fn eviction_candidate(&self, now_ms: f64) -> Option<DownstreamKey> {
        let is_evictable = |client: &DownstreamConnection| {
            !client.is_busy() && now_ms - client.idle_since_ms > NEW_CLIENT_GRACE_MS
        };
        let longest_idle_key = |is_candidate: &dyn Fn(&DownstreamConnection) -> bool| {
            self.table
                .min_key_by(|client| is_candidate(client).then_some(client.idle_since_ms))
        };
        longest_idle_key(&|client| client.is_lingering() && is_evictable(client))
            .or_else(|| {
                longest_idle_key(&|client| {
                    client.responses_sent == 0 && !client.is_lingering() && is_evictable(client)
                })
            })
            .or_else(|| longest_idle_key(&|client| !client.is_lingering() && is_evictable(client)))
            .or_else(|| longest_idle_key(&DownstreamConnection::is_lingering))
    }
}

impl Proxy {
    /// Evicts a client connection. Returns whether one was closed. Pending input is read first, as it may make the
    /// connection busy.
    pub(super) fn evict_client(&mut self) -> bool {
        self.counters.capacity_exhausted += 1;
        while let Some(key) = self.downstream.eviction_candidate(self.clock.now()) {
            self.serve_client(key);
            let client = self.downstream.table.get(key);
            if client.is_none_or(|client| !client.is_busy()) {
                self.close_downstream(key);
                return true;
            }
        }
        false
    }

    /// Closes the connection that has been idle longest, outside the grace period. Returns whether there was one.
    pub fn close_idle_downstream(&mut self) -> bool {
        let now_ms = self.clock.now();
        let longest_idle_key = self.downstream.table.min_key_by(|client| {
            let may_close = client.is_idle()
                && now_ms - client.idle_since_ms > NEW_CLIENT_GRACE_MS
                && is_open_and_idle(&client.stream);
            may_close.then_some(client.idle_since_ms)
        });
        if let Some(key) = longest_idle_key {
            self.close_downstream(key);
        }
        longest_idle_key.is_some()
    }

    /// Closes idle connections after reading their pending input. Those within the grace period are closed only if
    /// `all` is set: their clients are likely to send a request, whose response then closes the connection.
    pub fn close_idle(&mut self, all: bool) {
        let now_ms = self.clock.now();
        for key in self.downstream.table.keys_where(|_| true) {
            self.serve_client(key);
            let may_close = |client: &DownstreamConnection| {
                client.is_idle() && (all || now_ms - client.idle_since_ms > NEW_CLIENT_GRACE_MS)
            };
            if self.downstream.table.get(key).is_some_and(may_close) {
                self.close_downstream(key);
            }
        }
    }

    /// Closes the longest idle connections if more are idle than the shares allow.
    pub(super) fn close_excess_idle(&mut self) {
        let now_ms = self.clock.now();
        self.close_idle_over_share(MAX_IDLE_SHARE_AFTER_ONE, 1, now_ms);
        self.close_idle_over_share(MAX_IDLE_SHARE, u32::MAX, now_ms);
    }

    /// Limits the idle connections that have had at most `max_responses` responses to a share of the capacity.
    fn close_idle_over_share(&mut self, max_share: f64, max_responses: u32, now_ms: f64) {
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
            // A request may have just arrived.
            if is_open_and_idle(&self.downstream.table[key].stream) {
                self.close_downstream(key);
            }
        }
    }
}
