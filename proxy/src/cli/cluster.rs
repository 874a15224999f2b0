//! `crankmux fleet`: what a node makes of the others, asked at its door, as a table.

use comfy_table::{presets, Table};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A node that serves answers at its door within one turn.
const PATIENCE: Duration = Duration::from_secs(5);
/// Several thousand members.
const PAGE_MOST: u64 = 4 << 20;

/// Asks a door for the page. Errors: nobody there, no fleet there, or no page.
fn asked(door: SocketAddr) -> Result<Value, String> {
    let text = |e: std::io::Error| format!("{door}: {e}");
    let mut stream = TcpStream::connect_timeout(&door, PATIENCE).map_err(text)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(text)?;
    stream
        .write_all(format!("GET /fleet HTTP/1.1\r\nHost: {door}\r\n\r\n").as_bytes())
        .map_err(text)?;
    let mut answer = Vec::new();
    stream
        .take(PAGE_MOST)
        .read_to_end(&mut answer)
        .map_err(text)?;
    let mut headers = [httparse::EMPTY_HEADER; 32];
    let mut head = httparse::Response::new(&mut headers);
    let broken = || format!("{door}: no HTTP answer");
    let ends = match head.parse(&answer).map_err(|_| broken())? {
        httparse::Status::Complete(ends) => ends,
        httparse::Status::Partial => return Err(broken()),
    };
    match head.code {
        Some(200) => serde_json::from_slice(&answer[ends..]).map_err(|e| format!("{door}: {e}")),
        Some(404) => Err(format!("{door}: this node has no [fleet] in its charter")),
        code => Err(format!("{door}: status {}", code.unwrap_or_default())),
    }
}

/// Milliseconds ago, in words.
fn ago(ms: &Value) -> String {
    let whole = Duration::from_secs(ms.as_f64().unwrap_or(0.0) as u64 / 1000);
    format!("{} ago", humantime::format_duration(whole))
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| value.to_string(), str::to_string)
}

/// The page in words and tables.
fn told(page: &Value) -> String {
    let me = &page["me"];
    let reach = match page["reach"]["state"].as_str() {
        Some("part") => {
            let reach = &page["reach"];
            format!(
                "reaches {} of {} nodes, since {}",
                reach["reached"],
                reach["of"],
                ago(&reach["since_ms"])
            )
        }
        Some("alone") => format!("reaches nobody, since {}", ago(&page["reach"]["since_ms"])),
        _ => "reaches the whole fleet".into(),
    };
    let mut text = format!(
        "{} of zone {} at {}: {reach}\nnodes assumed {:.1} (told {}), part of cold budgets {:.2}\n\n",
        plain(&me["name"]),
        plain(&me["zone"]),
        plain(&me["address"]),
        page["nodes_assumed"].as_f64().unwrap_or(0.0),
        page["nodes_told"],
        page["cold_part"].as_f64().unwrap_or(0.0),
    );
    let list = |name: &str| page[name].as_array().cloned().unwrap_or_default();
    let mut table = |heads: &[&str], rows: Vec<Vec<String>>| {
        let mut table = Table::new();
        table
            .load_style(presets::NOTHING)
            .set_header(heads.to_vec())
            .add_rows(rows);
        text += &format!("{}\n\n", table.trim_fmt());
    };
    let zone = |zone: &Value| {
        let since = Some(&zone["since_ms"])
            .filter(|since| !since.is_null())
            .map(ago)
            .unwrap_or_default();
        vec![
            plain(&zone["zone"]),
            format!("{} of {}", zone["reached"], zone["of"]),
            since,
        ]
    };
    table(
        &["ZONE", "REACHED", "CUT SINCE"],
        list("zones").iter().map(zone).collect(),
    );
    let member = |member: &Value| {
        let keys = ["name", "zone", "address", "state"].map(|key| plain(&member[key]));
        let program = member["program"].as_u64().unwrap_or(0);
        let version = format!(
            "{}.{}.{}",
            program / 1_000_000,
            program / 1000 % 1000,
            program % 1000
        );
        let more = [
            ago(&member["since_ms"]),
            version,
            plain(&member["settings"]),
        ];
        keys.into_iter().chain(more).collect()
    };
    let heads = [
        "NAME", "ZONE", "ADDRESS", "STATE", "SINCE", "PROGRAM", "SETTINGS",
    ];
    table(&heads, list("members").iter().map(member).collect());
    text.trim_end().to_string()
}

/// The table of one door. Errors as of [`asked`].
pub fn table(door: SocketAddr) -> Result<String, String> {
    asked(door).map(|page| told(&page))
}
