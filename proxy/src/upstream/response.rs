//! Endpoint responses: the outcome that the status stands for, and the reported load.

use crate::buffers::{Buffer, MAX_BODY_BYTES};
use crate::http::{self, Message, ParseError};
use crankmux::settings;
use crankmux::types::{AttemptOutcome, LoadReport};
use httparse::Header;

/// Length limit of a message excerpt in the log.
const MAX_EXCERPT_BYTES: usize = 120;
/// Lower statuses are interim responses (RFC 9110, section 15.2).
const FIRST_FINAL_STATUS: u16 = 200;
/// Limit on the interim responses before a final one. More than a few have no use, and an endpoint could go on with
/// them for ever.
const MAX_INTERIM_RESPONSES: usize = 64;

/// A response whose head has been received.
pub struct Response {
    /// The positions of head and body in the buffer.
    pub message: Message,
    /// The outcome that the status stands for.
    pub outcome: AttemptOutcome,
    /// The load that the endpoint reported in the head.
    pub load: LoadReport,
}

/// Parses a load report of the form `name=value, ...`; unknown names and invalid values are ignored.
pub(super) fn parse_load_report(text: &str, load: &mut LoadReport) {
    for part in text.trim().trim_start_matches("TEXT").split(',') {
        let Some((name, value)) = part.split_once('=') else {
            continue;
        };
        if let Ok(value) = value.trim().parse() {
            settings::set_load_value(load, name.trim(), value);
        }
    }
}

/// The escaped first bytes of a message, for the log.
pub fn log_excerpt(buffer: &Buffer) -> String {
    buffer
        .filled()
        .iter()
        .take(MAX_EXCERPT_BYTES)
        .map(|byte| std::ascii::escape_default(*byte).to_string())
        .collect()
}

fn status_outcome(status: u16, headers: &[Header]) -> AttemptOutcome {
    let not_processed = http::header_value(headers, "x-not-processed") == Some("1");
    match status {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if not_processed => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    }
}

fn load_report(headers: &[Header]) -> LoadReport {
    let mut load = LoadReport::default();
    if let Some(text) = http::header_value(headers, "x-server-load") {
        parse_load_report(text, &mut load);
    }
    load
}

/// Parses the head of the final response and removes interim responses, which are counted in `interim_responses`;
/// `None` until the head is complete.
pub(super) fn parse_response(
    buffer: &mut Buffer,
    interim_responses: &mut usize,
) -> Result<Option<Response>, ParseError> {
    let mut interim_end = 0;
    let response = loop {
        let received = &buffer.filled()[interim_end..];
        let Some((head_length, response)) = parse_head(received)? else {
            break None;
        };
        if response.is_some() {
            break response;
        }
        interim_end += head_length;
        *interim_responses += 1;
        if *interim_responses > MAX_INTERIM_RESPONSES {
            return Err(ParseError::TooManyInterimResponses);
        }
    };
    buffer.remove(0..interim_end);
    Ok(response)
}

/// Parses one head. Returns its length, and the response unless it is an interim one; `None` until it is complete.
fn parse_head(received: &[u8]) -> Result<Option<(usize, Option<Response>)>, ParseError> {
    let head = http::parse_response(received, MAX_BODY_BYTES, |status, headers| {
        (
            status,
            status_outcome(status, headers),
            load_report(headers),
        )
    })?;
    Ok(head.map(|(message, (status, outcome, load))| {
        let head_length = message.body_start;
        let response = Response {
            message,
            outcome,
            load,
        };
        let is_final = status >= FIRST_FINAL_STATUS;
        (head_length, is_final.then_some(response))
    }))
}
