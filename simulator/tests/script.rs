//! Scripts: what is invalid is refused, by an error that names line and key.

mod common;

use common::{text, RELEASE, RESPONSES_LOST};
use crankmux_simulator::script::{Script, ScriptError};

/// Reads a valid script of which one part is replaced; returns the text and the error.
fn refused(part: &str, replacement: &str) -> (String, ScriptError) {
    let valid = text(&format!("{RELEASE}{RESPONSES_LOST}"));
    assert!(valid.contains(part), "{part}");
    let invalid = valid.replacen(part, replacement, 1);
    let error = Script::read(&invalid).expect_err(replacement);
    (invalid, error)
}

/// The error names this key, says this, and lies within the text.
fn assert_refused(part: &str, replacement: &str, key: &str, says: &str) -> (String, ScriptError) {
    let (invalid, error) = refused(part, replacement);
    assert_eq!(
        error.key().unwrap_or_default(),
        key,
        "{replacement}: {error}"
    );
    assert!(error.to_string().contains(says), "{replacement}: {error}");
    let lines = 1..=invalid.lines().count();
    assert!(lines.contains(&error.line()), "{replacement}: {error}");
    (invalid, error)
}

/// The same, and the error names the last line of the replacement.
fn assert_refused_there(part: &str, replacement: &str, key: &str, says: &str) {
    let (invalid, error) = assert_refused(part, replacement, key, says);
    let last = replacement.lines().last().expect("a replacement");
    let place = invalid.lines().position(|line| line.contains(last));
    let expected = place.expect("the replacement") + 1;
    assert_eq!(error.line(), expected, "{replacement}: {error}");
}

#[test]
fn unknown_keys_words_and_types_are_refused_with_their_line() {
    assert_refused_there("nodes = 3", "nodes = 'three'", "", "invalid type");
    assert_refused_there("nodes = 3", "nodes = 3\nnoodles = 4", "", "unknown field");
    let word = "effect = \"twice\"";
    assert_refused_there("effect = \"at-most-once\"", word, "", "unknown variant");
    assert!(Script::read("name = ").is_err_and(|error| error.line() == 1));
}

#[test]
fn values_out_of_range_are_refused_with_line_and_key() {
    assert_refused_there(
        "nodes = 3",
        "nodes = 0",
        "nodes",
        "must be between 1 and 2000",
    );
    assert_refused_there(
        "ttl_ms = 800",
        "ttl_ms = -1",
        "categories.0.ttl_ms",
        "is -1",
    );
    assert_refused_there("count = 8", "count = 0", "machines.0.count", "between");
    let zones = "zones = [\"a\", \"a\"]";
    assert_refused_there(
        "zones = [\"a\", \"b\"]",
        zones,
        "zones",
        "without duplicates",
    );
    let strength = "strength = 2.0";
    assert_refused_there("strength = 0.2", strength, "faults.1.strength", "is 2");
    // The error names the first line of this replacement.
    assert_refused(
        "at = 3\nfor = 4",
        "at = 99\nfor = 4",
        "faults.0.at",
        "is 99",
    );
}

/// A missing key is named at what it is missing from, so these lines are not those of the replacement.
#[test]
fn missing_and_contradicting_keys_are_refused_with_their_key() {
    let both = "share = 0.4\nrate = 9";
    assert_refused("share = 0.4", both, "load", "either rate or share");
    let zone = "part = 0.5\nzone = \"nowhere\"";
    assert_refused(
        "part = 0.5",
        zone,
        "faults.0.zone",
        "is not one of the zones",
    );
    let partition = "kind = \"zone-cut\"";
    assert_refused(
        "kind = \"release\"",
        partition,
        "faults.0.zone",
        "is required for zone-cut",
    );
}
