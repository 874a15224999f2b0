//! Durations and sizes with units.

use serde::de::Error;
use serde::{Deserialize, Deserializer};
use std::time::Duration;

/// A duration such as `300ms` or `1h 30m`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DurationSetting(pub Duration);

impl<'de> Deserialize<'de> for DurationSetting {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)
            .map_err(|_| D::Error::custom("expected a duration such as \"300ms\""))?;
        humantime::parse_duration(&text)
            .map(DurationSetting)
            .map_err(|error| D::Error::custom(format!("{text:?} is not a duration: {error}")))
    }
}

/// A size in bytes such as `256KiB`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SizeSetting(pub u64);

impl<'de> Deserialize<'de> for SizeSetting {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)
            .map_err(|_| D::Error::custom("expected a size such as \"256KiB\""))?;
        text.parse::<bytesize::ByteSize>()
            .map(|size| SizeSetting(size.as_u64()))
            .map_err(|error| D::Error::custom(format!("{text:?} is not a size: {error}")))
    }
}
