//! Stand-ins for the cases in `review/6` to `review/10` and for further findings: `standins-2 CASE FOLDER`.

mod blank_lines;
mod discovery;
mod endless_answer;
mod http;
mod late_connection;
mod long_answer;
mod long_answers;
mod node;
mod record;
mod server;
mod settings;
mod slow_discovery;
mod upgrade_id;
mod upgrade_memory;
mod usual_client;

use record::Record;
use std::path::{Path, PathBuf};

/// What every case is given.
pub struct Run {
    pub record: Record,
    /// A folder for the nodes' files.
    pub scratch: PathBuf,
    /// Whether the disruption is played.
    pub trouble: bool,
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

impl Verdict {
    pub fn broken_if(broken: bool) -> Verdict {
        if broken {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        println!("usage: standins-2 CASE FOLDER");
        std::process::exit(2);
    };
    let run = Run {
        record: Record::create(&Path::new(folder).join("record.txt")),
        scratch: std::env::var("SCRATCH").map_or_else(|_| std::env::temp_dir(), PathBuf::from),
        trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let verdict = match case.as_str() {
        "upgrade-id" => upgrade_id::play(&run),
        "upgrade-memory" => upgrade_memory::play(&run),
        "blank-lines" => blank_lines::play(&run),
        "endless-answer" => endless_answer::play(&run),
        "long-answer" => long_answer::play(&run),
        "long-answers" => long_answers::play(&run),
        "late-connection" => late_connection::play(&run),
        "slow-discovery" => slow_discovery::play(&run),
        _ => node::cannot_run("no such case"),
    };
    let (word, code) = match verdict {
        Verdict::Held => ("held", 0),
        Verdict::Broken => ("was broken", 1),
    };
    run.record.say(&format!("the rule {word}"));
    std::process::exit(code);
}
