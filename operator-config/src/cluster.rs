//! The `[cluster]` section: membership of the proxy cluster.

use crate::section_reader::{Located, Section};
use crate::{DurationSetting, ErrorKind, SizeSetting};
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The longest name of a proxy or zone, in bytes. A datagram carries several names.
const MAX_NAME_LENGTH: usize = 64;
/// One key file, or two during a key rotation.
const KEY_FILE_COUNT: RangeInclusive<usize> = 1..=2;
/// A member that returns within a day is recognized as the one that failed.
const DEFAULT_FORGET_FAILED: Duration = Duration::from_secs(24 * 60 * 60);
/// A partitioned member may still send requests, so it must be counted for a while.
const MIN_FORGET_FAILED: Duration = Duration::from_secs(60);
/// Room for about 200 datagrams: several seconds of traffic.
const DEFAULT_RECEIVE_BUFFER_BYTES: u64 = 256 * 1024;
const RECEIVE_BUFFER_BYTES: RangeInclusive<u64> = 16 * 1024..=64 * 1024 * 1024;

/// The options of the `[cluster]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterOptions {
    /// The section's name as written in the file, for messages that name a key.
    pub section_name: &'static str,
    /// The proxy's name; `None` for the one from the platform.
    pub name: Option<String>,
    /// The proxy's zone; `None` for the one from the platform.
    pub zone: Option<String>,
    /// The address to receive datagrams at.
    pub listen: SocketAddr,
    /// The address that other proxies send to.
    pub advertise: SocketAddr,
    /// Addresses of members to contact at startup, some of which may be down.
    pub seeds: Vec<SocketAddr>,
    /// Files of the cluster's keys. Datagrams are sent with the first key, and accepted with any.
    pub key_files: Vec<String>,
    /// How long a failed member is still counted.
    pub forget_failed: Duration,
    /// The size of the socket's receive buffer.
    pub receive_buffer_bytes: u64,
}

impl ClusterOptions {
    /// The section's name.
    pub const SECTION_NAME: &'static str = "cluster";
    /// The section's deprecated name, which is still accepted.
    pub const DEPRECATED_SECTION_NAME: &'static str = "fleet";

    /// Whether the file uses the section's deprecated name.
    pub fn has_deprecated_name(&self) -> bool {
        self.section_name == Self::DEPRECATED_SECTION_NAME
    }

    /// Reads the section. Reads every key before it returns on a missing one, so that all errors are reported.
    pub(crate) fn read(section: &mut Section, section_name: &'static str) -> Option<Self> {
        let name = read_name(section, "name");
        let zone = read_name(section, "zone");
        let listen = section.required("listen");
        let advertise = section.optional("advertise");
        check_reachable(section, listen.as_ref(), advertise.as_ref());
        let seeds = read_seeds(section);
        let key_files = read_key_files(section);
        let forget_failed = read_forget_failed(section);
        let receive_buffer_bytes = read_receive_buffer(section);
        let listen = listen?.value;
        Some(ClusterOptions {
            section_name,
            name,
            zone,
            listen,
            advertise: advertise.map_or(listen, |advertise| advertise.value),
            seeds: seeds?,
            key_files: key_files?,
            forget_failed,
            receive_buffer_bytes,
        })
    }
}

fn read_name(section: &mut Section, key: &'static str) -> Option<String> {
    let name: Located<String> = section.optional(key)?;
    if name.value.is_empty() || name.value.len() > MAX_NAME_LENGTH {
        let max = MAX_NAME_LENGTH;
        section.error(name.offset, key, ErrorKind::NameLength { max });
    }
    Some(name.value)
}

/// Whether other proxies can send to an address: it needs a specific IP address and a port.
fn is_reachable(address: &SocketAddr) -> bool {
    !address.ip().is_unspecified() && address.port() != 0
}

/// Checks the address that other proxies send to: `advertise`, or `listen` without it.
fn check_reachable(
    section: &Section,
    listen: Option<&Located<SocketAddr>>,
    advertise: Option<&Located<SocketAddr>>,
) {
    if let Some(advertise) = advertise {
        if !is_reachable(&advertise.value) {
            let kind = ErrorKind::UnreachableAdvertise;
            section.error(advertise.offset, "advertise", kind);
        }
    } else if let Some(listen) = listen {
        if !is_reachable(&listen.value) {
            section.error(listen.offset, "listen", ErrorKind::UnreachableListen);
        }
    }
}

fn read_seeds(section: &mut Section) -> Option<Vec<SocketAddr>> {
    let seeds: Located<Vec<SocketAddr>> = section.required("seeds")?;
    if !seeds.value.iter().all(is_reachable) {
        section.error(seeds.offset, "seeds", ErrorKind::UnreachableSeed);
    }
    Some(seeds.value)
}

fn read_key_files(section: &mut Section) -> Option<Vec<String>> {
    let files: Located<Vec<String>> = section.required("key-files")?;
    if !KEY_FILE_COUNT.contains(&files.value.len()) {
        section.error(files.offset, "key-files", ErrorKind::KeyFileCount);
    }
    Some(files.value)
}

fn read_forget_failed(section: &mut Section) -> Duration {
    const KEY: &str = "forget-failed";
    let Some(setting) = section.optional::<DurationSetting>(KEY) else {
        return DEFAULT_FORGET_FAILED;
    };
    let DurationSetting(forget_failed) = setting.value;
    if forget_failed < MIN_FORGET_FAILED {
        section.error(setting.offset, KEY, ErrorKind::ForgetFailedTooShort);
    }
    forget_failed
}

fn read_receive_buffer(section: &mut Section) -> u64 {
    const KEY: &str = "receive-buffer";
    let Some(setting) = section.optional::<SizeSetting>(KEY) else {
        return DEFAULT_RECEIVE_BUFFER_BYTES;
    };
    let SizeSetting(bytes) = setting.value;
    if !RECEIVE_BUFFER_BYTES.contains(&bytes) {
        section.error(setting.offset, KEY, ErrorKind::ReceiveBufferSize);
    }
    bytes
}
