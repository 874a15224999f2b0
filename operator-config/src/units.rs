//! Durations and sizes, written with their units.

use serde::de::Error;
use serde::{Deserialize, Deserializer};

/// A duration as `300ms`, `1h 30m`; in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DurationSetting(pub f64);

impl<'de> Deserialize<'de> for DurationSetting {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)
            .map_err(|_| D::Error::custom("a duration is text, as \"300ms\""))?;
        let read = humantime::parse_duration(&text);
        let read = read.map_err(|e| D::Error::custom(format!("{text:?} is no duration: {e}")))?;
        Ok(DurationSetting(read.as_secs_f64() * 1000.0))
    }
}

/// A size as `256KiB`; in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeSetting(pub u64);

impl<'de> Deserialize<'de> for SizeSetting {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)
            .map_err(|_| D::Error::custom("a size is text, as \"256KiB\""))?;
        let read = text.parse::<bytesize::ByteSize>();
        read.map(|size| SizeSetting(size.as_u64()))
            .map_err(|e| D::Error::custom(format!("{text:?} is no size: {e}")))
    }
}
