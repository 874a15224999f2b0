//! What the descriptors of a process are, as `/proc` tells it: for whoever looks into one that stays open.

use std::collections::BTreeMap;
use std::fs;

/// Each descriptor of a process in words: what a TCP socket connects, in which state, and the path of any other.
pub(crate) fn describe(process_id: u32) -> Vec<String> {
    let sockets = tcp_sockets(process_id);
    // A process that has ended has no such folder, and holds nothing.
    let Ok(folder) = fs::read_dir(format!("/proc/{process_id}/fd")) else {
        return Vec::new();
    };
    let targets = folder.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    let mut described: Vec<String> = targets
        .map(|target| {
            let target = target.to_string_lossy().into_owned();
            sockets.get(&target).cloned().unwrap_or(target)
        })
        .collect();
    described.sort();
    described
}

/// The TCP sockets of a process, by the target of their descriptor's link.
fn tcp_sockets(process_id: u32) -> BTreeMap<String, String> {
    let table = fs::read_to_string(format!("/proc/{process_id}/net/tcp")).unwrap_or_default();
    table.lines().filter_map(tcp_socket).collect()
}

/// One line of the system's table: the addresses in hexadecimal digits, the state, and the socket's inode.
fn tcp_socket(line: &str) -> Option<(String, String)> {
    let fields: Vec<&str> = line.split_whitespace().collect();
    let local = port(fields.get(1)?)?;
    let remote = port(fields.get(2)?)?;
    let state = fields.get(3)?;
    let inode = fields.get(9)?;
    let description = format!("tcp port {local} to {remote} state {state}");
    Some((format!("socket:[{inode}]"), description))
}

fn port(address: &str) -> Option<u16> {
    let (_, port) = address.split_once(':')?;
    u16::from_str_radix(port, 16).ok()
}
