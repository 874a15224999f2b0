//! Lists the open descriptors of a process from `/proc`, to diagnose descriptor leaks.

use std::collections::BTreeMap;
use std::fs;

/// Describes each descriptor of a process: ports and state of a TCP socket, the link target of any other.
pub(crate) fn describe(process_id: u32) -> Vec<String> {
    let sockets = tcp_sockets(process_id);
    // The directory is gone once the process has ended.
    let Ok(directory) = fs::read_dir(format!("/proc/{process_id}/fd")) else {
        return Vec::new();
    };
    let targets = directory.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    let mut described: Vec<String> = targets
        .map(|target| {
            let target = target.to_string_lossy().into_owned();
            sockets.get(&target).cloned().unwrap_or(target)
        })
        .collect();
    described.sort();
    described
}

/// Returns descriptions of the TCP sockets of a process, by the link target of their descriptor.
fn tcp_sockets(process_id: u32) -> BTreeMap<String, String> {
    let table = fs::read_to_string(format!("/proc/{process_id}/net/tcp")).unwrap_or_default();
    table.lines().filter_map(parse_tcp_socket).collect()
}

/// Parses a line of `/proc/PID/net/tcp`: hexadecimal addresses, the state, and the socket's inode.
fn parse_tcp_socket(line: &str) -> Option<(String, String)> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let local = parse_port(fields.get(1)?)?;
    let remote = parse_port(fields.get(2)?)?;
    let state = fields.get(3)?;
    let inode = fields.get(9)?;
    let description = format!("tcp port {local} to {remote} state {state}");
    Some((format!("socket:[{inode}]"), description))
}

fn parse_port(address: &str) -> Option<u16> {
    let (_, port) = address.split_once(':')?;
    u16::from_str_radix(port, 16).ok()
}
