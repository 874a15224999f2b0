//! Reads the endpoint list from a response of discovery.

use super::connection::PollResponse;
use super::error::PollError;
use crate::endpoint_list::EndpointList;
use crankmux::settings::NameIndex;
use serde_json::Value;

/// Reads a response: the list as JSON, and typed.
///
/// # Errors
///
/// The status is not 200, or the body is not an endpoint list.
pub(super) fn read_endpoint_list(
    response: &PollResponse<'_>,
    names: &mut NameIndex,
) -> Result<(Value, EndpointList), PollError> {
    if response.status != 200 {
        return Err(PollError::UnexpectedStatus(response.status));
    }
    let json: Value = serde_json::from_slice(response.body)?;
    let list = EndpointList::from_json(names, &json)?;
    Ok((json, list))
}
