//! Script validation: errors name the line and the key.

mod common;

use common::{script_text, RELEASE, RESPONSES_LOST};
use crankmux_simulator::script::{Script, ScriptError};

/// Reads a valid script after replacing one part of it. Returns the invalid text and the error.
fn read_invalid(part: &str, replacement: &str) -> (String, ScriptError) {
    let valid = script_text(&format!("{RELEASE}{RESPONSES_LOST}"));
    assert!(valid.contains(part), "{part}");
    let invalid = valid.replacen(part, replacement, 1);
    let error = Script::read(&invalid).expect_err(replacement);
    (invalid, error)
}

/// Asserts that the error names the key, contains the message, and names a line of the text.
fn assert_error(part: &str, replacement: &str, key: &str, message: &str) -> (String, ScriptError) {
    let (invalid, error) = read_invalid(part, replacement);
    assert_eq!(
        error.key().unwrap_or_default(),
        key,
        "{replacement}: {error}"
    );
    assert!(
        error.to_string().contains(message),
        "{replacement}: {error}"
    );
    let lines = 1..=invalid.lines().count();
    assert!(lines.contains(&error.line()), "{replacement}: {error}");
    (invalid, error)
}

/// Like [`assert_error`], and asserts that the error names the last line of the replacement.
fn assert_error_at_replacement(part: &str, replacement: &str, key: &str, message: &str) {
    let (invalid, error) = assert_error(part, replacement, key, message);
    let last = replacement.lines().last().expect("a replacement");
    let index = invalid.lines().position(|line| line.contains(last));
    let expected = index.expect("the replacement") + 1;
    assert_eq!(error.line(), expected, "{replacement}: {error}");
}

#[test]
fn unknown_keys_unknown_variants_and_wrong_types_are_reported_with_their_line() {
    assert_error_at_replacement("nodes = 3", "nodes = 'three'", "", "invalid type");
    assert_error_at_replacement("nodes = 3", "nodes = 3\nnoodles = 4", "", "unknown field");
    let variant = "effect = \"twice\"";
    assert_error_at_replacement("effect = \"at-most-once\"", variant, "", "unknown variant");
    assert!(Script::read("name = ").is_err_and(|error| error.line() == 1));
}

#[test]
fn values_out_of_range_are_reported_with_line_and_key() {
    assert_error_at_replacement(
        "nodes = 3",
        "nodes = 0",
        "nodes",
        "must be between 1 and 2000",
    );
    assert_error_at_replacement(
        "ttl_ms = 800",
        "ttl_ms = -1",
        "categories.0.ttl_ms",
        "is -1",
    );
    assert_error_at_replacement("count = 8", "count = 0", "machines.0.count", "between");
    let zones = "zones = [\"a\", \"a\"]";
    assert_error_at_replacement(
        "zones = [\"a\", \"b\"]",
        zones,
        "zones",
        "without duplicates",
    );
    let strength = "strength = 2.0";
    assert_error_at_replacement("strength = 0.2", strength, "faults.1.strength", "is 2");
    // The error names the first line of this replacement.
    assert_error(
        "at = 3\nfor = 4",
        "at = 99\nfor = 4",
        "faults.0.at",
        "is 99",
    );
}

/// The error for a missing key names the line of the enclosing table, not of the replacement.
#[test]
fn missing_and_conflicting_keys_are_reported_with_their_key() {
    let both = "share = 0.4\nrate = 9";
    assert_error("share = 0.4", both, "load", "either rate or share");
    let zone = "part = 0.5\nzone = \"nowhere\"";
    assert_error(
        "part = 0.5",
        zone,
        "faults.0.zone",
        "is not one of the zones",
    );
    let partition = "kind = \"zone-cut\"";
    assert_error(
        "kind = \"release\"",
        partition,
        "faults.0.zone",
        "is required for zone-cut",
    );
}
