//! Adapter between the bench's wire format and the balancer: reads one batch of events per line, and writes one
//! line of decisions for each. Makes no decisions of its own.

mod decisions;
mod error;
mod fields;
mod instance;
mod requests;

use error::AdapterError;
use instance::Instances;
use serde_json::{json, Value};
use std::error::Error;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let message = error_chain(&error).replace('\n', " ");
            eprintln!("crankmux-bench-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), AdapterError> {
    let mut instances = Instances::default();
    let mut replies = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let line = line.map_err(AdapterError::Read)?;
        let reply = handle_batch(&mut instances, &line)?;
        writeln!(replies, "{reply}")
            .and_then(|()| replies.flush())
            .map_err(AdapterError::Write)?;
    }
    Ok(())
}

/// Applies the events of a batch in order, and returns the reply with the resulting decisions.
fn handle_batch(instances: &mut Instances, line: &str) -> Result<Value, AdapterError> {
    let batch: Value = serde_json::from_str(line).map_err(AdapterError::InvalidJson)?;
    let now_ms = batch.get("NowMs").and_then(Value::as_f64);
    let now_ms = now_ms.ok_or(AdapterError::MissingClock)?;
    let events = match batch.get("news") {
        None | Some(Value::Null) => &[][..],
        Some(Value::Array(events)) => events,
        Some(_) => return Err(AdapterError::EventsNotAnArray),
    };
    let mut decisions = Vec::new();
    for event in events {
        instances.apply(now_ms, event, &mut decisions)?;
    }
    Ok(json!({ "decisions": decisions }))
}

/// The message of an error, followed by those of its sources.
fn error_chain(error: &AdapterError) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(&format!(": {cause}"));
        source = cause.source();
    }
    text
}
