//! The operator's file and its commands, under their names and their deprecated ones.

#![allow(clippy::disallowed_methods)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::process::Command;
use support::running_proxy::{valid_configuration, RunningProxy};
use support::temporary_folder::TemporaryFolder;

#[path = "../support/mod.rs"]
mod support;

const VARIABLE: &str = "CRANKMUX_OPERATOR_CONFIG";
const DEPRECATED_VARIABLE: &str = "CRANKMUX_CHARTER";
/// In the line of the cluster, the last of a start.
const STARTED: &str = "listens at ";

/// What a finished command gave.
struct Outcome {
    code: Option<i32>,
    output: String,
    errors: String,
}

fn run(folder: &Path, arguments: &[&str]) -> Outcome {
    let output = Command::new(env!("CARGO_BIN_EXE_crankmux"))
        .current_dir(folder)
        .args(arguments)
        .output()
        .expect("it runs");
    Outcome {
        code: output.status.code(),
        output: String::from_utf8(output.stdout).expect("text"),
        errors: String::from_utf8(output.stderr).expect("text"),
    }
}

fn section(section_name: &str, key_file: &str) -> String {
    format!(
        "[{section_name}]\nlisten = \"127.0.0.1:{}\"\nseeds = []\nkey-files = [{key_file:?}]\n",
        unused_udp_port()
    )
}

fn unused_udp_port() -> u16 {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    socket.local_addr().expect("an address").port()
}

#[test]
fn a_check_names_the_section_as_it_was_written_and_says_nothing_more() {
    let folder = TemporaryFolder::new("check");
    folder.write("key", "k".repeat(32));
    folder.write("short", "k");
    for name in ["cluster", "fleet"] {
        folder.write("good.toml", section(name, "key"));
        let good = run(folder.path(), &["check", "good.toml"]);
        assert_eq!(good.code, Some(0));
        assert_eq!(good.output, format!("good.toml: in order; {name} is on\n"));
        assert_eq!(good.errors, "");
        folder.write("bad.toml", section(name, "short"));
        let bad = run(folder.path(), &["check", "bad.toml"]);
        assert_eq!(bad.code, Some(1));
        assert_eq!(
            bad.errors,
            format!("bad.toml: {name}.key-files: short: a key has 16 characters at least\n")
        );
        let missing = section(name, "nofile") + "seed = 1\n";
        folder.write("bad.toml", missing);
        let bad = run(folder.path(), &["check", "bad.toml"]);
        assert_eq!(
            bad.errors,
            format!("bad.toml: line 5: {name}.seed: is not known; did you mean seeds?\n")
        );
        folder.write("bad.toml", section(name, "nofile"));
        let bad = run(folder.path(), &["check", "bad.toml"]);
        assert_eq!(
            bad.errors,
            format!("bad.toml: {name}.key-files: nofile: No such file or directory (os error 2)\n")
        );
    }
    folder.write("empty.toml", "");
    let empty = run(folder.path(), &["check", "empty.toml"]);
    assert_eq!(empty.output, "empty.toml: in order; nothing is on\n");
    let absent = run(folder.path(), &["check", "absent.toml"]);
    assert_eq!(
        absent.errors,
        "absent.toml: No such file or directory (os error 2)\n"
    );
}

#[test]
fn the_example_is_valid_but_for_its_key() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../deploy");
    let example = run(&deploy, &["check", "operator-config.toml"]);
    assert_eq!(
        example.errors,
        "operator-config.toml: cluster.key-files: cluster.key: No such file or directory (os error 2)\n"
    );
}

/// Starts a proxy with the files that the variables name, and returns its log once it has these words.
fn log_of_start(folder: &TemporaryFolder, variables: &[(&str, &Path)], words: &str) -> String {
    let mut configuration = valid_configuration();
    configuration["name"] = "operator".into();
    let proxy = RunningProxy::start(folder, &configuration, variables);
    proxy.wait_for(words);
    proxy.log()
}

fn deprecations(log: &str) -> Vec<&str> {
    log.lines()
        .filter(|line| line.contains("deprecated"))
        .collect()
}

#[test]
fn the_log_of_a_start_tells_of_each_deprecated_name_in_one_line() {
    let folder = TemporaryFolder::new("start");
    folder.write("key", "k".repeat(32));
    let new = folder.write("new.toml", section("cluster", "key"));
    let old = folder.write("old.toml", section("fleet", "key"));
    let log = log_of_start(&folder, &[(VARIABLE, &new)], STARTED);
    assert!(deprecations(&log).is_empty(), "{log}");
    let log = log_of_start(&folder, &[(DEPRECATED_VARIABLE, &new)], STARTED);
    let lines = deprecations(&log);
    assert_eq!(lines.len(), 1, "{log}");
    assert!(lines[0].contains(DEPRECATED_VARIABLE) && lines[0].contains(VARIABLE));
    let log = log_of_start(&folder, &[(VARIABLE, &old)], STARTED);
    let lines = deprecations(&log);
    assert_eq!(lines.len(), 1, "{log}");
    assert!(lines[0].contains("[fleet]") && lines[0].contains("[cluster]"));
}

#[test]
fn the_new_variable_takes_precedence_over_the_deprecated_one() {
    let folder = TemporaryFolder::new("precedence");
    folder.write("key", "k".repeat(32));
    let good = folder.write("good.toml", section("cluster", "key"));
    let bad = folder.write("bad.toml", "colour = 1\n");
    let variables = [(VARIABLE, &*good), (DEPRECATED_VARIABLE, &*bad)];
    log_of_start(&folder, &variables, STARTED);
    let variables = [(VARIABLE, &*bad), (DEPRECATED_VARIABLE, &*good)];
    let log = log_of_start(
        &folder,
        &variables,
        "bad.toml: line 1: colour: is not known",
    );
    assert!(!log.contains(STARTED), "{log}");
}

/// An admin API that answers one call by the page of a proxy that is alone; what was asked comes back.
fn admin_api() -> (SocketAddr, std::thread::JoinHandle<String>) {
    const PAGE: &str = r#"{"me": {"name": "a", "zone": "z", "address": "127.0.0.1:7"}, "reach": {"state": "full"},
        "nodes_assumed": 1.0, "nodes_told": 1.0, "cold_part": 1.0, "zones": [], "members": []}"#;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let answered = std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a call");
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            stream.read_exact(&mut byte).expect("a head");
            head.push(byte[0]);
        }
        let length = PAGE.len();
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{PAGE}");
        stream.write_all(answer.as_bytes()).expect("sent");
        String::from_utf8(head).expect("text")
    });
    (address, answered)
}

#[test]
fn the_deprecated_command_shows_the_same_and_says_so_in_one_line() {
    let folder = TemporaryFolder::new("command");
    let show = |command: &str, option: &str| {
        let (address, answered) = admin_api();
        let outcome = run(folder.path(), &[command, option, &address.to_string()]);
        assert_eq!(outcome.code, Some(0), "{}", outcome.errors);
        let asked = answered.join().expect("it answered");
        assert!(asked.starts_with("GET /fleet HTTP/1.1\r\n"), "{asked}");
        outcome
    };
    let new = show("cluster", "--admin");
    assert!(new.output.starts_with("a of zone z at 127.0.0.1:7: "));
    assert_eq!(new.errors, "");
    let old = show("fleet", "--door");
    assert_eq!(old.output, new.output);
    assert_eq!(old.errors.lines().count(), 1);
    assert!(old.errors.contains("deprecated") && old.errors.contains("cluster --admin"));
    for arguments in [["cluster", "--door"], ["fleet", "--admin"]] {
        assert_eq!(run(folder.path(), &arguments).code, Some(2));
    }
}
