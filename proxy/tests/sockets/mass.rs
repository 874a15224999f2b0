//! Hundreds of nodes on one platform: what a start may be refused, and memory over many short cycles.

use super::after;
use crate::help::*;
use serde_json::json;
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixListener;

/// Whether a node that starts with this state folder serves, and what its log says.
fn starts_with(folder: &std::path::Path) -> (Node, String) {
    let server = Server::saying(ok("x"));
    let known = list(1, true, &[host("s0", server.address, "Ready")]);
    let discovery = Discovery::new(known.clone());
    let variables = [("TMPDIR", folder.to_string_lossy().into_owned())];
    let node = Node::start_under(&configuration(discovery.address, &known), &variables);
    assert_eq!(
        node.ask(&request("view", 1.0, "")),
        (200, "x".into()),
        "it serves"
    );
    let log = node.log();
    (node, log)
}

fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("crankmux-mass-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a writable folder");
    folder
}

#[test]
fn a_unix_socket_that_cannot_be_made_ends_in_a_log_line_and_service() {
    // Longer than any such socket's path may be.
    let long = folder("long").join("x".repeat(120));
    std::fs::create_dir_all(&long).expect("a writable folder");
    let (_node, log) = starts_with(&long);
    assert!(log.contains("no upgrade can be handed over"), "{log}");
}

#[test]
fn without_a_state_folder_it_logs_and_serves() {
    let missing = folder("missing").join("not").join("there");
    let (_node, log) = starts_with(&missing);
    assert!(log.contains("no state directory"), "{log}");
    let file = folder("file").join("a-file");
    std::fs::write(&file, "").expect("written");
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o600)).expect("set");
    let (_node, log) = starts_with(&file);
    assert!(log.contains("no state directory"), "{log}");
}

#[test]
fn a_handover_that_nobody_answers_keeps_no_start_waiting() {
    // A listener that takes the call in and says nothing; and one that is gone, its socket left behind.
    for dead in [false, true] {
        let temporary = folder(if dead { "dead" } else { "mute" });
        let state = temporary.join("crankmux-n0");
        std::fs::create_dir(&state).expect("a writable folder");
        let listener = UnixListener::bind(state.join("handover")).expect("a free path");
        let kept = (!dead).then_some(listener);
        let before = std::time::Instant::now();
        let (_node, log) = starts_with(&temporary);
        assert!(before.elapsed().as_secs() < 4, "{:?}", before.elapsed());
        assert_eq!(
            log.contains("nothing was handed over"),
            kept.is_some(),
            "{log}"
        );
    }
}

#[test]
fn it_is_one_process_without_kernel_rings_and_starts_no_program() {
    // What else would be refused (splice, sendfile, a copy within the kernel) has no call in the node:
    // clippy.toml names the ways to them, and CI runs it.
    let server = Server::saying(ok("x"));
    let node = Node::before(&[&server]);
    assert_eq!(node.ask(&request("view", 1.0, "")).0, 200);
    let of = |what: &str| std::path::PathBuf::from(format!("/proc/{}/{what}", node.process()));
    let tasks: Vec<_> = std::fs::read_dir(of("task"))
        .expect("it runs")
        .flatten()
        .collect();
    for task in &tasks {
        let children = std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
        assert_eq!(children.trim(), "", "it has started {children}");
    }
    for open in std::fs::read_dir(of("fd")).expect("it runs").flatten() {
        let to = std::fs::read_link(open.path()).unwrap_or_default();
        assert!(!to.to_string_lossy().contains("io_uring"), "{to:?}");
    }
    let maps = std::fs::read_to_string(of("maps")).expect("it runs");
    assert!(
        maps.contains("libc.so"),
        "linked dynamically against the C library"
    );
}

#[test]
fn memory_is_flat_over_many_ids_connections_and_reloads() {
    let server = Server::saying(ok("x"));
    let known = list(1, true, &[host("s0", server.address, "Ready")]);
    let discovery = Discovery::new(known.clone());
    let node = Node::start(&configuration(discovery.address, &known), None);
    let mut seq = 1;
    let mut cycle = |ids: usize| {
        for _ in 0..ids {
            seq += 1;
            // A whole list: one server stays, four are new, those of the list before are gone.
            let fresh = (0..4).map(|k| host(&format!("s-{seq}-{k}"), server.address, "Ready"));
            let hosts: Vec<_> = std::iter::once(host("s0", server.address, "Ready"))
                .chain(fresh)
                .collect();
            discovery.tell(list(seq, true, &hosts));
            for _ in 0..16 {
                assert_eq!(node.ask_till_acked(&request("view", 1.0, "")), 200);
            }
            if seq % 10 == 0 {
                let mut again = node.file();
                again["settings"]["Categories"][0]["TargetLatencyMs"] = json!(400 + seq % 7);
                node.reload(&again.to_string());
            }
        }
        after(200);
        node.held()
    };
    // A server is forgotten a minute after its last word (the module's tests let that pass), and no test here
    // waits so long: what may grow meanwhile is a record a server, under a kilobyte.
    let early = cycle(60);
    let late = cycle(240);
    let records = 240 * 4;
    assert!(
        late < early + records + 512,
        "{early} kB, then {late} kB over {records} more servers"
    );
}
