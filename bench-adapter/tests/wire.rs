//! Bad and odd input on the wire: a plain line and a non-zero exit, or a harmless pass.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BORN: &str = r#"["Born",0,7,{"GroupSize":1,"Categories":[{"Name":"c","Effect":"read_like","TargetLatencyMs":100}],"Limits":{"MostPushes":2},"Obligations":{"ColdShare":0.3,"ColdMs":1000,"FallMultiple":2,"FallMs":1000,"StopSendingWithinMs":100},"Later":1}]"#;
const LIST: &str = r#"["Announce",0,2,1,[["z",1,"k",0,null,5,1]]]"#;

fn run(lines: &[String]) -> Output {
    #[allow(clippy::disallowed_methods)]
    let mut command = Command::new(env!("CARGO_BIN_EXE_crankmux-bench-adapter"));
    let command = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    // The adapter may end at a bad line before it has read them all.
    let _ = lines.iter().try_for_each(|line| writeln!(input, "{line}"));
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(news: &[&str]) -> String {
    format!(r#"{{"NowMs":1000.0,"news":[{}]}}"#, news.join(","))
}

#[test]
fn bad_input_ends_with_one_plain_line() {
    let bad = [
        "{".to_string(),
        r#"{"news":[]}"#.to_string(),
        batch(&[r#"["Submit",0]"#, "5"]),
        batch(&[&BORN.replace("\"ColdShare\":0.3,", "")]),
        batch(&[BORN, r#"["Submit",0,"x","c",null,null,50]"#]),
        batch(&[BORN, r#"["Announce",0,9,1,[]]"#]),
        batch(&[BORN, r#"["Returned",0,1,0,5,"Nonsense",1.0,true]"#]),
    ];
    for line in bad {
        let output = run(std::slice::from_ref(&line));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && output.stdout.is_empty(),
            "{line}"
        );
        assert_eq!(message.lines().count(), 1, "{line}: {message}");
    }
    let missing = run(&[batch(&[&BORN.replace("\"ColdShare\":0.3,", "")])]);
    assert!(String::from_utf8_lossy(&missing.stderr).contains("ColdShare"));
}

#[test]
fn each_fault_is_named_by_its_message_and_field() {
    let without_setting = BORN.replace("\"ColdShare\":0.3,", "");
    let faults = [
        (
            "{".to_string(),
            "batch is not valid JSON: EOF while parsing an object at line 1 column 1",
        ),
        (r#"{"news":[]}"#.to_string(), "batch lacks its clock NowMs"),
        (
            r#"{"NowMs":1,"news":3}"#.to_string(),
            "news of the batch is not an array",
        ),
        (batch(&["5"]), "an event is not an array"),
        (batch(&["[5]"]), "an event lacks its name"),
        (
            batch(&[&without_setting]),
            "setting cold-share is missing (on the wire: Obligations/ColdShare)",
        ),
        (
            batch(&[BORN, r#"["Submit",0,"x","c",null,null,50]"#]),
            "Submit: Req is missing or of the wrong form",
        ),
        (
            batch(&[BORN, r#"["Announce",0,2,1,[5]]"#]),
            "Announce: an entry is not an array",
        ),
        (
            batch(&[BORN, r#"["Returned",0,1,0,5,"Nonsense",1.0,true]"#]),
            "Returned: Verdict is missing or of the wrong form",
        ),
    ];
    for (line, message) in faults {
        let output = run(&[line]);
        let told = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(told, format!("crankmux-bench-adapter: {message}\n"));
    }
}

#[test]
fn odd_input_is_harmless() {
    let lines = [
        r#"{"NowMs":1.0,"news":[]}"#.to_string(),
        batch(&[
            BORN,
            LIST,
            r#"["Submit",0,11,"c",null,null,50.0,null,null]"#,
        ]),
        batch(&[
            r#"["Later",0,1]"#,
            r#"["Wake",0,"never"]"#,
            r#"["Aborted",0,99]"#,
            r#"["Accepted",0,99,0,5,1]"#,
        ]),
        batch(&[r#"["Returned",0,11,0,5,"Ok",3.0,true,{"rif":1,"odd":2}]"#]),
        batch(&[
            r#"["Returned",0,11,0,5,"Ok",3.0,true,null]"#,
            r#"["Probed",0,5,"Ok",1.0]"#,
            BORN,
            LIST,
        ]),
        batch(&[
            r#"["Down",0]"#,
            r#"["Submit",0,12,"c"]"#,
            r#"["NoteFrom",0,1,"x"]"#,
        ]),
    ];
    let output = run(&lines);
    let replies = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    assert_eq!(replies.lines().count(), lines.len());
    assert!(
        replies
            .lines()
            .nth(1)
            .is_some_and(|reply| reply.contains(r#"["Route",0,11,50.0,5]"#)),
        "{replies}"
    );
}
