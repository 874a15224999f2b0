//! Tests of the balancer without a network.

mod admission;
mod dispatcher;
mod endpoint_list;
mod estimation;
mod invariants;
mod load_reports;
mod many_proxies;
mod placement;
mod probing;
mod retries;
mod settings;
mod slow_start_budget;
mod split;
mod subset;
mod support;
mod upgrade;
