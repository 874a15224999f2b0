//! Lenient JSON deserializers: a value of the wrong type counts as absent, so that it does not invalidate the rest of
//! the document.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// Deserializes a struct from an object, or returns the default.
pub(crate) fn read_object<T: DeserializeOwned + Default>(value: Value) -> T {
    if value.is_object() {
        T::deserialize(value).unwrap_or_default()
    } else {
        T::default()
    }
}

/// Deserializes a struct from a nested object, or returns the default.
pub(crate) fn object<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned + Default,
{
    Value::deserialize(deserializer).map(read_object)
}

/// Deserializes a string. Any other value gives `None`.
pub(crate) fn string<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<String>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_str().map(str::to_string))
}

/// Deserializes a number. Any other value gives `None`.
pub(crate) fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<f64>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_f64())
}

/// Deserializes an unsigned integer. Any other value gives `None`.
pub(crate) fn unsigned<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<u64>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_u64())
}

/// Deserializes the unsigned integers in an array and skips other elements. Any other value gives an empty list.
pub(crate) fn unsigned_list<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<u64>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    let items = value.as_array().into_iter().flatten();
    Ok(items.filter_map(Value::as_u64).collect())
}

/// Deserializes the strings in an array and skips other elements. Any other value gives an empty list.
pub(crate) fn string_list<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Vec<String>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    let items = value.as_array().into_iter().flatten();
    Ok(items
        .filter_map(Value::as_str)
        .map(str::to_string)
        .collect())
}

/// Deserializes an array of structs; elements that are not objects give the default. Any other value gives an empty
/// list.
pub(crate) fn objects<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: DeserializeOwned + Default,
{
    let Value::Array(items) = Value::deserialize(deserializer)? else {
        return Ok(Vec::new());
    };
    Ok(items.into_iter().map(read_object).collect())
}
