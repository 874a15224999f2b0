//! `crankmux cluster`: fetches the cluster status from a proxy's admin API and prints it as a table.

use crate::cluster::status_page::{
    ClusterStatus, MemberStatus, ReachabilityStatus, ZoneStatus, ISOLATED, PARTIAL,
};
use comfy_table::{presets, Table};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Timeout for connecting and for each read.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum length of a response; enough for several thousand members.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;
const MAX_HEADERS: usize = 32;
const ZONE_COLUMNS: [&str; 3] = ["ZONE", "REACHED", "CUT SINCE"];
const MEMBER_COLUMNS: [&str; 7] = [
    "NAME", "ZONE", "ADDRESS", "STATE", "SINCE", "PROGRAM", "SETTINGS",
];

/// Why the cluster status could not be fetched.
#[derive(Debug, thiserror::Error)]
pub(super) enum ClusterStatusError {
    /// The admin API cannot be reached, or the connection was lost.
    #[error("{address}: {source}")]
    Connection {
        /// The admin API's address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The response is not HTTP.
    #[error("{0}: not an HTTP response")]
    NotHttp(SocketAddr),
    /// The proxy is not configured for a cluster.
    #[error("{0}: this proxy has no [cluster] section in its operator configuration")]
    NoCluster(SocketAddr),
    /// The response has an unexpected status.
    #[error("{address}: unexpected HTTP status {code}")]
    Status {
        /// The admin API's address.
        address: SocketAddr,
        /// The status.
        code: u16,
    },
    /// The status page is malformed.
    #[error("{address}: malformed cluster status: {source}")]
    Page {
        /// The admin API's address.
        address: SocketAddr,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Returns the cluster status of the proxy with this admin API as a table.
///
/// # Errors
///
/// Fails if the admin API cannot be reached, the proxy has no cluster, or the status page is malformed.
pub(super) fn table(admin_api: SocketAddr) -> Result<String, ClusterStatusError> {
    fetch(admin_api).map(|status| render(&status))
}

fn fetch(address: SocketAddr) -> Result<ClusterStatus, ClusterStatusError> {
    let response = fetch_response(address)
        .map_err(|source| ClusterStatusError::Connection { address, source })?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head_length)) = head.parse(&response) else {
        return Err(ClusterStatusError::NotHttp(address));
    };
    match head.code {
        Some(200) => serde_json::from_slice(&response[head_length..])
            .map_err(|source| ClusterStatusError::Page { address, source }),
        Some(404) => Err(ClusterStatusError::NoCluster(address)),
        code => Err(ClusterStatusError::Status {
            address,
            code: code.unwrap_or_default(),
        }),
    }
}

/// Requests the status page and returns the response, head included.
fn fetch_response(address: SocketAddr) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("GET /fleet HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
    let mut response = Vec::new();
    stream.take(MAX_RESPONSE_BYTES).read_to_end(&mut response)?;
    Ok(response)
}

fn render(status: &ClusterStatus) -> String {
    let local = &status.local;
    let mut text = format!(
        "{} of zone {} at {}: {}\nassumed cluster size {:.1} (configured {:?}), slow-start share {:.2}\n\n",
        local.name,
        local.zone,
        local.address,
        describe_reachability(&status.reachability),
        status.assumed_size,
        status.configured_size,
        status.slow_start_share,
    );
    let zones = status.zones.iter().map(zone_row);
    text += &render_table(&ZONE_COLUMNS, zones.collect());
    let members = status.members.iter().map(member_row);
    text += &render_table(&MEMBER_COLUMNS, members.collect());
    text.trim_end().to_string()
}

fn describe_reachability(reachability: &ReachabilityStatus) -> String {
    let since = format_age(reachability.since_ms.unwrap_or(0.0));
    match reachability.state.as_str() {
        PARTIAL => format!(
            "{} of {} members are reachable, since {since}",
            reachability.reached.unwrap_or(0),
            reachability.members.unwrap_or(0)
        ),
        ISOLATED => format!("no other member is reachable, since {since}"),
        _ => "all members are reachable".into(),
    }
}

fn render_table(columns: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_header(columns.to_vec())
        .add_rows(rows);
    format!("{}\n\n", table.trim_fmt())
}

fn zone_row(zone: &ZoneStatus) -> Vec<String> {
    vec![
        zone.zone.clone(),
        format!("{} of {}", zone.reached, zone.members),
        zone.since_ms.map(format_age).unwrap_or_default(),
    ]
}

fn member_row(member: &MemberStatus) -> Vec<String> {
    vec![
        member.name.clone(),
        member.zone.clone(),
        member.address.clone(),
        member.state.clone(),
        format_age(member.since_ms),
        format_version(member.program_version),
        member.settings_version.clone(),
    ]
}

/// Formats an age in whole seconds.
fn format_age(milliseconds: f64) -> String {
    let seconds = Duration::from_secs(milliseconds as u64 / 1000);
    format!("{} ago", humantime::format_duration(seconds))
}

/// Formats the program version, which the status page encodes as a number.
fn format_version(number: u32) -> String {
    let major = number / 1_000_000;
    let minor = number / 1000 % 1000;
    let patch = number % 1000;
    format!("{major}.{minor}.{patch}")
}
