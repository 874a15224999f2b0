//! What the process asks of the platform.

use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, request};
use crate::support::proxy_process::ProxyProcess;
use std::path::PathBuf;

#[test]
fn proxy_is_one_process_without_io_uring_and_starts_no_program() {
    // What else a platform may forbid (splice, sendfile, copy_file_range) is not called by the proxy:
    // clippy.toml names the functions, and CI runs it.
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let proxy = ProxyProcess::in_front_of(&[&endpoint]);
    assert_eq!(proxy.send_request(&request("view", 1.0, "")).0, 200);
    let of = |what: &str| PathBuf::from(format!("/proc/{}/{what}", proxy.pid()));
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
