//! `crankmux fleet`: the cluster as one proxy sees it, asked at its admin API, as a table.

use crate::cluster::status_page::{
    ClusterStatus, MemberStatus, ReachabilityStatus, ZoneStatus, ISOLATED, PARTIAL,
};
use comfy_table::{presets, Table};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A proxy that serves answers at its admin API within one turn of its event loop.
const TIMEOUT: Duration = Duration::from_secs(5);
/// The longest answer: room for several thousand members.
const MAX_ANSWER_BYTES: u64 = 4 << 20;
const MAX_HEADERS: usize = 32;
const ZONE_COLUMNS: [&str; 3] = ["ZONE", "REACHED", "CUT SINCE"];
const MEMBER_COLUMNS: [&str; 7] = [
    "NAME", "ZONE", "ADDRESS", "STATE", "SINCE", "PROGRAM", "SETTINGS",
];

/// Why there is no table.
#[derive(Debug, thiserror::Error)]
pub(super) enum ClusterTableError {
    /// The admin API cannot be reached, or the connection broke.
    #[error("{address}: {source}")]
    Connection {
        /// The admin API's address.
        address: SocketAddr,
        /// What the system says.
        source: io::Error,
    },
    /// The answer is not HTTP.
    #[error("{0}: no HTTP answer")]
    NotHttp(SocketAddr),
    /// The proxy takes part in no cluster.
    #[error("{0}: this proxy has no [cluster] in its operator configuration")]
    NoCluster(SocketAddr),
    /// The answer has another status than 200.
    #[error("{address}: status {code}")]
    Status {
        /// The admin API's address.
        address: SocketAddr,
        /// The status.
        code: u16,
    },
    /// The page cannot be read.
    #[error("{address}: {source}")]
    Page {
        /// The admin API's address.
        address: SocketAddr,
        /// Where and why.
        source: serde_json::Error,
    },
}

/// The cluster as the proxy with this admin API sees it, in words and tables.
///
/// # Errors
///
/// Nobody answers there, the proxy takes part in no cluster, or the page cannot be read.
pub(super) fn table(admin_api: SocketAddr) -> Result<String, ClusterTableError> {
    fetch(admin_api).map(|status| render(&status))
}

fn fetch(address: SocketAddr) -> Result<ClusterStatus, ClusterTableError> {
    let answer =
        request(address).map_err(|source| ClusterTableError::Connection { address, source })?;
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let Ok(httparse::Status::Complete(head_length)) = head.parse(&answer) else {
        return Err(ClusterTableError::NotHttp(address));
    };
    match head.code {
        Some(200) => serde_json::from_slice(&answer[head_length..])
            .map_err(|source| ClusterTableError::Page { address, source }),
        Some(404) => Err(ClusterTableError::NoCluster(address)),
        code => Err(ClusterTableError::Status {
            address,
            code: code.unwrap_or_default(),
        }),
    }
}

/// Everything that the admin API answers.
fn request(address: SocketAddr) -> io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect_timeout(&address, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(format!("GET /fleet HTTP/1.1\r\nHost: {address}\r\n\r\n").as_bytes())?;
    let mut answer = Vec::new();
    stream.take(MAX_ANSWER_BYTES).read_to_end(&mut answer)?;
    Ok(answer)
}

fn render(status: &ClusterStatus) -> String {
    let local = &status.local;
    let mut text = format!(
        "{} of zone {} at {}: {}\nnodes assumed {:.1} (told {:?}), part of cold budgets {:.2}\n\n",
        local.name,
        local.zone,
        local.address,
        describe(&status.reachability),
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

fn describe(reachability: &ReachabilityStatus) -> String {
    let since = ago(reachability.since_ms.unwrap_or(0.0));
    match reachability.state.as_str() {
        PARTIAL => format!(
            "reaches {} of {} nodes, since {since}",
            reachability.reached.unwrap_or(0),
            reachability.members.unwrap_or(0)
        ),
        ISOLATED => format!("reaches nobody, since {since}"),
        _ => "reaches the whole fleet".into(),
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
        zone.since_ms.map(ago).unwrap_or_default(),
    ]
}

fn member_row(member: &MemberStatus) -> Vec<String> {
    vec![
        member.name.clone(),
        member.zone.clone(),
        member.address.clone(),
        member.state.clone(),
        ago(member.since_ms),
        version(member.program_version),
        member.settings_version.clone(),
    ]
}

/// How long ago, in whole seconds.
fn ago(milliseconds: f64) -> String {
    let seconds = Duration::from_secs(milliseconds as u64 / 1000);
    format!("{} ago", humantime::format_duration(seconds))
}

/// The program's version, of which the page has one number.
fn version(number: u32) -> String {
    let major = number / 1_000_000;
    let minor = number / 1000 % 1000;
    let patch = number % 1000;
    format!("{major}.{minor}.{patch}")
}
