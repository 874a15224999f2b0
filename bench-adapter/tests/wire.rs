//! Invalid input ends the adapter with one line on stderr; unknown and outdated input is ignored.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const START_EVENT: &str = r#"["Born",0,7,{"GroupSize":1,"Categories":[{"Name":"c","Effect":"read_like","TargetLatencyMs":100}],"Limits":{"MostPushes":2},"Obligations":{"ColdShare":0.3,"ColdMs":1000,"FallMultiple":2,"FallMs":1000,"StopSendingWithinMs":100},"Later":1}]"#;
const LIST_EVENT: &str = r#"["Announce",0,2,1,[["z",1,"k",0,null,5,1]]]"#;

fn run(lines: &[String]) -> Output {
    #[allow(clippy::disallowed_methods)]
    let mut command = Command::new(env!("CARGO_BIN_EXE_crankmux-bench-adapter"));
    let command = command
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = command.spawn().expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    // The adapter may exit at an invalid line before it has read all of them.
    let _ = lines.iter().try_for_each(|line| writeln!(input, "{line}"));
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn batch(events: &[&str]) -> String {
    format!(r#"{{"NowMs":1000.0,"news":[{}]}}"#, events.join(","))
}

#[test]
fn invalid_input_exits_with_one_line_on_stderr() {
    let invalid_lines = [
        "{".to_string(),
        r#"{"news":[]}"#.to_string(),
        batch(&[r#"["Submit",0]"#, "5"]),
        batch(&[&START_EVENT.replace("\"ColdShare\":0.3,", "")]),
        batch(&[START_EVENT, r#"["Submit",0,"x","c",null,null,50]"#]),
        batch(&[START_EVENT, r#"["Announce",0,9,1,[]]"#]),
        batch(&[START_EVENT, r#"["Returned",0,1,0,5,"Nonsense",1.0,true]"#]),
    ];
    for line in invalid_lines {
        let output = run(std::slice::from_ref(&line));
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(
            !output.status.success() && output.stdout.is_empty(),
            "{line}"
        );
        assert_eq!(message.lines().count(), 1, "{line}: {message}");
    }
    let missing = run(&[batch(&[&START_EVENT.replace("\"ColdShare\":0.3,", "")])]);
    assert!(String::from_utf8_lossy(&missing.stderr).contains("ColdShare"));
}

#[test]
fn errors_name_the_message_and_field() {
    let without_setting = START_EVENT.replace("\"ColdShare\":0.3,", "");
    let errors = [
        (
            "{".to_string(),
            "batch is not valid JSON: EOF while parsing an object at line 1 column 1",
        ),
        (
            r#"{"news":[]}"#.to_string(),
            "batch: NowMs is missing or not a number",
        ),
        (
            r#"{"NowMs":1,"news":3}"#.to_string(),
            "batch: news is not an array",
        ),
        (batch(&["5"]), "event is not an array"),
        (batch(&["[5]"]), "event has no name"),
        (
            batch(&[&without_setting]),
            "setting cold-share is missing (on the wire: Obligations/ColdShare)",
        ),
        (
            batch(&[START_EVENT, r#"["Submit",0,"x","c",null,null,50]"#]),
            "Submit: Req is missing or invalid",
        ),
        (
            batch(&[START_EVENT, r#"["Announce",0,2,1,[5]]"#]),
            "Announce: entry is not an array",
        ),
        (
            batch(&[START_EVENT, r#"["Returned",0,1,0,5,"Nonsense",1.0,true]"#]),
            "Returned: Verdict is missing or invalid",
        ),
    ];
    for (line, message) in errors {
        let output = run(&[line]);
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(stderr, format!("crankmux-bench-adapter: {message}\n"));
    }
}

#[test]
fn unknown_and_outdated_input_is_ignored() {
    let lines = [
        r#"{"NowMs":1.0,"news":[]}"#.to_string(),
        batch(&[
            START_EVENT,
            LIST_EVENT,
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
            START_EVENT,
            LIST_EVENT,
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
