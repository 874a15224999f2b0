//! `[fleet]`: the nodes know each other.

use crate::section_reader::Section;
use crate::{DurationSetting, SizeSetting};
use std::net::SocketAddr;

/// What names may be as long as: one datagram carries several.
const NAME_MOST: usize = 64;

/// How a node takes part in its fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct ClusterOptions {
    /// Its own name and zone; what the platform calls it, where they are not given.
    pub name: Option<String>,
    pub zone: Option<String>,
    /// Where it hears datagrams.
    pub listen: SocketAddr,
    /// Where others reach it.
    pub advertise: SocketAddr,
    /// Addresses to ask at the start, of which any may be nobody's.
    pub seeds: Vec<SocketAddr>,
    /// Files that hold the fleet's key: the first seals what it says, both open what it hears.
    pub key_files: Vec<String>,
    /// How long one that failed still counts, in milliseconds.
    pub forget_failed: f64,
    /// What the system holds of datagrams that are not read yet, in bytes.
    pub receive_buffer: u64,
}

impl ClusterOptions {
    pub(crate) fn read(part: &mut Section) -> Option<Self> {
        let mut name = |key: &'static str| {
            let (name, at) = part.may_at::<String>(key)?;
            if name.is_empty() || name.len() > NAME_MOST {
                part.fault(at, key, format!("has 1 to {NAME_MOST} bytes"));
            }
            Some(name)
        };
        let (name, zone) = (name("name"), name("zone"));
        let listen = part.must::<SocketAddr>("listen");
        let advertise = part.may_at::<SocketAddr>("advertise");
        // Danger: others would send to an address that is every machine's own.
        let somewhere = |at: SocketAddr| !at.ip().is_unspecified() && at.port() != 0;
        match (listen, advertise) {
            (_, Some((address, at))) if !somewhere(address) => {
                part.fault(
                    at,
                    "advertise",
                    "is no address at which others reach this node",
                );
            }
            (Some((address, at)), None) if !somewhere(address) => {
                part.fault(
                    at,
                    "listen",
                    "needs advertise beside it: nobody reaches such an address",
                );
            }
            _ => {}
        }
        let seeds = part.must::<Vec<SocketAddr>>("seeds");
        if let Some((seeds, at)) = &seeds {
            if !seeds.iter().all(|seed| somewhere(*seed)) {
                part.fault(*at, "seeds", "has one that is nobody's address");
            }
        }
        let key_files = part.must::<Vec<String>>("key-files");
        if let Some((_, at)) = key_files
            .as_ref()
            .filter(|(files, _)| !(1..=2).contains(&files.len()))
        {
            part.fault(
                *at,
                "key-files",
                "names one file, or two while a key is exchanged",
            );
        }
        // A day: whoever comes back by then is known as the one that was lost.
        let forget = part
            .may_at::<DurationSetting>("forget-failed")
            .unwrap_or((DurationSetting(86_400_000.0), 0));
        if forget.0 .0 < 60_000.0 {
            // Danger: one that is cut off for a while, and pushes, would not be counted.
            part.fault(forget.1, "forget-failed", "is a minute at least");
        }
        // Some two hundred datagrams: those of several seconds.
        let buffer = part
            .may_at::<SizeSetting>("receive-buffer")
            .unwrap_or((SizeSetting(256 * 1024), 0));
        if !(16 * 1024..=64 * 1024 * 1024).contains(&buffer.0 .0) {
            part.fault(buffer.1, "receive-buffer", "is 16KiB to 64MiB");
        }
        let (listen, _) = listen?;
        Some(ClusterOptions {
            name,
            zone,
            listen,
            advertise: advertise.map_or(listen, |(address, _)| address),
            seeds: seeds?.0,
            key_files: key_files?.0,
            forget_failed: forget.0 .0,
            receive_buffer: buffer.0 .0,
        })
    }
}
