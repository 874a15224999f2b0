//! What an endpoint answers: its status, whether it has run the request, and the load that it reports.

use crate::buffers::{Buffer, MAX_BODY_BYTES};
use crate::http::{self, Message, ParseError};
use crankmux::settings;
use crankmux::types::{AttemptOutcome, LoadReport};
use httparse::Header;

/// How much of a message the log shows.
const EXCERPT_BYTES: usize = 120;
/// The first status that is final; those below only announce another response.
const FIRST_FINAL_STATUS: u16 = 200;

/// A response whose head has been received.
pub struct Response {
    /// Where its head and body end in the buffer.
    pub message: Message,
    /// What its status says of the attempt.
    pub outcome: AttemptOutcome,
    /// The load that the endpoint reported with it.
    pub load: LoadReport,
}

/// Reads a load report of the form `name=value, ...`; what is no figure of one is passed over.
pub(super) fn read_load(text: &str, load: &mut LoadReport) {
    for part in text.trim().trim_start_matches("TEXT").split(',') {
        let Some((name, value)) = part.split_once('=') else {
            continue;
        };
        if let Ok(value) = value.trim().parse() {
            settings::set_load_value(load, name.trim(), value);
        }
    }
}

/// How a message starts, for the log.
pub fn log_excerpt(inbox: &Buffer) -> String {
    inbox
        .filled()
        .iter()
        .take(EXCERPT_BYTES)
        .map(|byte| std::ascii::escape_default(*byte).to_string())
        .collect()
}

fn outcome_of(status: u16, headers: &[Header]) -> AttemptOutcome {
    let not_processed = http::header_value(headers, "x-not-processed") == Some("1");
    match status {
        200 => AttemptOutcome::Succeeded,
        503 | 504 if not_processed => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    }
}

fn reported_load(headers: &[Header]) -> LoadReport {
    let mut load = LoadReport::default();
    if let Some(text) = http::header_value(headers, "x-server-load") {
        read_load(text, &mut load);
    }
    load
}

/// Reads the head of a response, past those that only announce another one; none until the head is whole.
pub(super) fn read_response(inbox: &mut Buffer) -> Result<Option<Response>, ParseError> {
    loop {
        let head = http::parse_response(inbox.filled(), MAX_BODY_BYTES, |status, headers| {
            (status, outcome_of(status, headers), reported_load(headers))
        })?;
        let Some((message, (status, outcome, load))) = head else {
            return Ok(None);
        };
        if status >= FIRST_FINAL_STATUS {
            return Ok(Some(Response {
                message,
                outcome,
                load,
            }));
        }
        inbox.remove(0..message.body_start);
    }
}
