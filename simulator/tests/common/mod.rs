//! A small script shared by several tests.

/// Text of a small valid script, followed by `extra`.
pub(crate) fn script_text(extra: &str) -> String {
    format!(
        r#"
name = "small"
seconds = 14
nodes = 3
zones = ["a", "b"]

[duties]
cold = 10
fall_multiple = 1.0

[[categories]]
name = "view"
effect = "redeliverable"
target_ms = 200
ttl_ms = 800
work_ms = 20
weight = 6

[[categories]]
name = "order"
effect = "deduplicated"
group = "pod"
target_ms = 300
ttl_ms = 900
work_ms = 20
weight = 2

[[categories]]
name = "pay"
effect = "at-most-once"
target_ms = 300
ttl_ms = 900
work_ms = 20
weight = 2

[[machines]]
kind = "box"
count = 8
cores = 2

[load]
share = 0.4

{extra}"#
    )
}

/// A fault that replaces half of the endpoints.
pub(crate) const RELEASE: &str = "[[faults]]\nkind = \"release\"\nat = 3\nfor = 4\npart = 0.5\n";
/// A fault that loses a fifth of the responses.
pub(crate) const RESPONSES_LOST: &str =
    "[[faults]]\nkind = \"answers-lost\"\nat = 3\nfor = 8\nstrength = 0.2\n";
