//! Each source of events has a token of its own, from which it is found again.

use crankmux_proxy::slot_table::{DownstreamKey, UpstreamKey};
use crankmux_proxy::tokens::{
    admin_caller_token, client_token, upstream_token, EventSource, ADMIN_LISTENER, CLUSTER,
    DISCOVERY, LISTENER, MAX_ADMIN_CALLERS, NEWER_PROCESS, OLDER_PROCESS, SIGNALS,
    UPGRADE_LISTENER,
};
use std::collections::HashSet;

#[test]
fn every_source_is_found_again_by_its_own_token() {
    let mut sources = vec![
        (LISTENER, EventSource::Listener),
        (SIGNALS, EventSource::Signals),
        (DISCOVERY, EventSource::Discovery),
        (ADMIN_LISTENER, EventSource::AdminListener),
        (UPGRADE_LISTENER, EventSource::UpgradeListener),
        (NEWER_PROCESS, EventSource::NewerProcess),
        (OLDER_PROCESS, EventSource::OlderProcess),
        (CLUSTER, EventSource::Cluster),
    ];
    for slot in 0..MAX_ADMIN_CALLERS {
        sources.push((admin_caller_token(slot), EventSource::AdminCaller(slot)));
    }
    for key in 0..1000 {
        let client = DownstreamKey::new(key);
        let upstream = UpstreamKey::new(key);
        sources.push((client_token(client), EventSource::Client(client)));
        sources.push((upstream_token(upstream), EventSource::Upstream(upstream)));
    }
    for (token, source) in &sources {
        assert_eq!(EventSource::of(*token), *source);
    }
    let tokens: HashSet<usize> = sources.iter().map(|(token, _)| token.0).collect();
    assert_eq!(tokens.len(), sources.len());
}
