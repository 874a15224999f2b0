//! Parses the endpoint list of a discovery response.

use super::connection::PollResponse;
use super::error::PollError;
use crate::endpoint_list::EndpointList;
use crankmux::settings::NameIndex;
use serde_json::Value;

/// Returns the endpoint list of a response, as JSON and parsed.
///
/// # Errors
///
/// Fails if the status is not 200 or the body is not an endpoint list.
pub(super) fn parse_endpoint_list(
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
