//! Access to the values of a wire message by position.

use crate::error::AdapterError;
use crankmux::settings::set_load_value;
use crankmux::types::{AttemptOutcome, LoadReport};
use serde_json::Value;

/// The values of a message; `null` counts as absent. Errors name the message and the invalid field.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a> {
    message: &'a str,
    values: &'a [Value],
}

impl<'a> Fields<'a> {
    pub(crate) fn new(message: &'a str, values: &'a [Value]) -> Self {
        Fields { message, values }
    }

    pub(crate) fn value(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|value| !value.is_null())
    }

    pub(crate) fn invalid(&self, field: &'static str) -> AdapterError {
        AdapterError::InvalidField {
            message: self.message.into(),
            field,
        }
    }

    pub(crate) fn integer(&self, index: usize, field: &'static str) -> Result<u64, AdapterError> {
        self.value(index)
            .and_then(Value::as_u64)
            .ok_or_else(|| self.invalid(field))
    }

    pub(crate) fn optional_integer(
        &self,
        index: usize,
        field: &'static str,
    ) -> Result<Option<u64>, AdapterError> {
        self.optional(index, field, Value::as_u64)
    }

    pub(crate) fn optional_number(
        &self,
        index: usize,
        field: &'static str,
    ) -> Result<Option<f64>, AdapterError> {
        self.optional(index, field, Value::as_f64)
    }

    pub(crate) fn optional_bool(
        &self,
        index: usize,
        field: &'static str,
    ) -> Result<Option<bool>, AdapterError> {
        self.optional(index, field, Value::as_bool)
    }

    pub(crate) fn text(&self, index: usize, field: &'static str) -> Result<&'a str, AdapterError> {
        self.optional_text(index).ok_or_else(|| self.invalid(field))
    }

    /// A string; a value of another type counts as absent.
    pub(crate) fn optional_text(&self, index: usize) -> Option<&'a str> {
        self.value(index).and_then(Value::as_str)
    }

    /// A 64-bit seed, which may be encoded as a negative number.
    pub(crate) fn seed(&self, index: usize, field: &'static str) -> Result<u64, AdapterError> {
        let value = self.value(index);
        value
            .and_then(|value| value.as_u64().or(value.as_i64().map(|seed| seed as u64)))
            .ok_or_else(|| self.invalid(field))
    }

    pub(crate) fn outcome(
        &self,
        index: usize,
        field: &'static str,
    ) -> Result<AttemptOutcome, AdapterError> {
        Ok(match self.text(index, field)? {
            "Ok" => AttemptOutcome::Succeeded,
            "Failed" => AttemptOutcome::Failed,
            "QueueFull" => AttemptOutcome::Rejected,
            "TimedOut" => AttemptOutcome::TimedOut,
            "ConnectError" => AttemptOutcome::Unreachable,
            "ResetByPeer" => AttemptOutcome::ConnectionLost,
            "Canceled" => AttemptOutcome::Cancelled,
            "Ignored" => AttemptOutcome::NotSent,
            _ => return Err(self.invalid(field)),
        })
    }

    /// A load report; ignores values that are not numbers.
    pub(crate) fn load(
        &self,
        index: usize,
        field: &'static str,
    ) -> Result<LoadReport, AdapterError> {
        let mut report = LoadReport::default();
        let Some(value) = self.value(index) else {
            return Ok(report);
        };
        let values = value.as_object().ok_or_else(|| self.invalid(field))?;
        for (name, value) in values {
            if let Some(value) = value.as_f64() {
                set_load_value(&mut report, name, value);
            }
        }
        Ok(report)
    }

    fn optional<T>(
        &self,
        index: usize,
        field: &'static str,
        read: impl Fn(&Value) -> Option<T>,
    ) -> Result<Option<T>, AdapterError> {
        let Some(value) = self.value(index) else {
            return Ok(None);
        };
        read(value).map(Some).ok_or_else(|| self.invalid(field))
    }
}
