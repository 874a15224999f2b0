//! Adapter between the bench's wire and the decision module: one batch a line in, one reply a line out.
//! It decodes into calls, encodes from what the calls give, and decides nothing.

mod node;

use node::Node;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn batch(nodes: &mut BTreeMap<u64, Node>, line: &str) -> Result<Value, String> {
    let batch: Value =
        serde_json::from_str(line).map_err(|e| format!("batch is not valid JSON: {e}"))?;
    let now = batch
        .get("NowMs")
        .and_then(Value::as_f64)
        .ok_or("batch lacks its clock NowMs")?;
    let news = match batch.get("news") {
        None | Some(Value::Null) => &[][..],
        Some(Value::Array(news)) => news,
        Some(_) => return Err("news of the batch is not an array".into()),
    };
    let mut decisions = Vec::new();
    for event in news {
        node::decode(nodes, now, event, &mut decisions)?;
    }
    Ok(json!({ "decisions": decisions }))
}

fn run() -> Result<(), String> {
    let mut nodes = BTreeMap::new();
    let mut reply = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let line = line.map_err(|e| format!("batch cannot be read: {e}"))?;
        let answer = batch(&mut nodes, &line)?;
        writeln!(reply, "{answer}")
            .and_then(|()| reply.flush())
            .map_err(|e| format!("reply not written: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("crankmux-bench-adapter: {}", message.replace('\n', " "));
            ExitCode::FAILURE
        }
    }
}
