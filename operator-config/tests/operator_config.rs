//! A file with errors is rejected, and all errors are reported with line and key. Most tests run with the
//! section's name and with its deprecated name, as messages use the name in the file.

use crankmux_operator_config::{ClusterOptions, ErrorKind, OperatorConfig};
use std::time::Duration;

const VALID: &str = r#"
[cluster]
zone = "north"
listen = "0.0.0.0:7900"
advertise = "10.0.0.7:7900"
seeds = ["10.0.0.5:7900", "10.0.0.6:7900"]
key-files = ["/etc/crankmux/cluster.key"]
forget-failed = "2h"
receive-buffer = "1MiB"
"#;

const SECTION_NAMES: [&str; 2] = ["cluster", "fleet"];

/// Renames the section in a text.
fn with_section_name(section_name: &str, text: &str) -> String {
    text.replace("[cluster]", &format!("[{section_name}]"))
}

/// The errors of a text after its section is renamed.
fn errors(section_name: &str, text: &str) -> Vec<String> {
    OperatorConfig::parse(&with_section_name(section_name, text))
        .expect_err("errors")
        .iter()
        .map(ToString::to_string)
        .collect()
}

fn parse(text: &str) -> ClusterOptions {
    let config = OperatorConfig::parse(text).expect("valid");
    config.cluster.expect("a section")
}

#[test]
fn a_valid_file_is_read_and_a_missing_section_is_off() {
    for section_name in SECTION_NAMES {
        let expected = ClusterOptions {
            section_name,
            name: None,
            zone: Some("north".into()),
            listen: "0.0.0.0:7900".parse().unwrap(),
            advertise: "10.0.0.7:7900".parse().unwrap(),
            seeds: vec![
                "10.0.0.5:7900".parse().unwrap(),
                "10.0.0.6:7900".parse().unwrap(),
            ],
            key_files: vec!["/etc/crankmux/cluster.key".into()],
            forget_failed: Duration::from_secs(7200),
            receive_buffer_bytes: 1024 * 1024,
        };
        let options = parse(&with_section_name(section_name, VALID));
        assert_eq!(options, expected);
        assert_eq!(options.has_deprecated_name(), section_name == "fleet");
    }
    assert_eq!(
        OperatorConfig::parse("# nothing\n"),
        Ok(OperatorConfig::default())
    );
}

#[test]
fn missing_options_have_defaults() {
    let options =
        parse("[cluster]\nlisten = \"10.0.0.7:7900\"\nseeds = []\nkey-files = [\"cluster.key\"]\n");
    assert_eq!(options.advertise, options.listen);
    assert_eq!(options.forget_failed, Duration::from_secs(86_400));
    assert_eq!(options.receive_buffer_bytes, 256 * 1024);
}

#[test]
fn all_errors_are_reported_with_line_key_and_nearest_known_key() {
    for section_name in SECTION_NAMES {
        let misspelled = &section_name[..section_name.len() - 1];
        let text = format!(
            "{misspelled} = 1\n[cluster]\nname = 7\nlisten = \"here\"\nadvertize = \"10.0.0.7:7900\"\n\
             seeds = [\"10.0.0.5:7900\", \"x\"]\nkey-files = []\nforget-failed = \"2 parsecs\"\n\
             receive-buffer = \"3\"\ncolour = \"red\"\n"
        );
        let reported = errors(section_name, &text);
        let expected = [
            format!("line 1: {misspelled}: is not known; did you mean {section_name}?"),
            format!("line 3: {section_name}.name: "),
            format!("line 4: {section_name}.listen: "),
            format!("line 5: {section_name}.advertize: is not known; did you mean advertise?"),
            format!("line 6: {section_name}.seeds: "),
            format!("line 7: {section_name}.key-files: must name one file"),
            format!("line 8: {section_name}.forget-failed: "),
            format!("line 9: {section_name}.receive-buffer: must be 16KiB"),
            format!("line 10: {section_name}.colour: is not known; known keys are name, zone"),
        ];
        assert_eq!(reported.len(), expected.len(), "{reported:#?}");
        for (reported, start) in reported.iter().zip(&expected) {
            assert!(reported.starts_with(start), "{start}: {reported}");
        }
    }
}

#[test]
fn missing_keys_are_reported_at_their_section() {
    for section_name in SECTION_NAMES {
        let reported = errors(section_name, "\n[cluster]\n");
        for key in ["listen", "seeds", "key-files"] {
            assert!(
                reported.contains(&format!("line 2: {section_name}.{key}: is missing")),
                "{reported:#?}"
            );
        }
        assert_eq!(reported.len(), 3);
    }
}

#[test]
fn unreachable_addresses_are_rejected() {
    for section_name in SECTION_NAMES {
        let without = VALID.replace("advertise = \"10.0.0.7:7900\"\n", "");
        assert_eq!(
            errors(section_name, &without),
            [format!(
                "line 4: {section_name}.listen: is not an address at which other proxies can reach this one; \
                 set advertise"
            )]
        );
        let unspecified = VALID.replace("10.0.0.7", "0.0.0.0");
        assert_eq!(
            errors(section_name, &unspecified),
            [format!(
                "line 5: {section_name}.advertise: is not an address at which other proxies can reach this one"
            )]
        );
        let seed = VALID.replace("10.0.0.6:7900", "10.0.0.6:0");
        assert_eq!(
            errors(section_name, &seed),
            [format!(
                "line 6: {section_name}.seeds: contains an unspecified address or port 0"
            )]
        );
    }
}

#[test]
fn a_truncated_file_keeps_its_seeds_if_accepted_and_duplicates_are_rejected() {
    for section_name in SECTION_NAMES {
        let text = with_section_name(section_name, VALID);
        let complete = parse(&text);
        let length = text.trim_end().len();
        for cut in 0..length {
            // A file cut between keys may still be valid: without the section, or without optional keys.
            if let Ok(config) = OperatorConfig::parse(&text[..cut]) {
                let cluster = config.cluster.as_ref();
                assert!(
                    cluster.is_none_or(|cluster| cluster.seeds == complete.seeds),
                    "cut at {cut}"
                );
            }
        }
        for duplicate in ["zone = \"b\"\n", &format!("[{section_name}]\n")] {
            assert!(
                OperatorConfig::parse(&format!("{text}{duplicate}")).is_err(),
                "{duplicate}"
            );
        }
    }
}

#[test]
fn a_section_under_both_names_is_rejected() {
    let both = format!("{VALID}{}", with_section_name("fleet", VALID));
    let reported = OperatorConfig::parse(&both).expect_err("errors");
    assert_eq!(reported.len(), 1, "{reported:#?}");
    let kind = ErrorKind::BothNames { name: "cluster" };
    assert_eq!(reported[0].kind, kind);
    assert_eq!(
        reported[0].to_string(),
        "line 11: fleet: is the deprecated name of cluster, which is present too"
    );
}

#[test]
fn unknown_sections_are_compared_with_both_names_and_the_current_one_is_listed() {
    assert_eq!(
        errors("cluster", "[clutser]\n"),
        ["line 1: clutser: is not known; did you mean cluster?"]
    );
    assert_eq!(
        errors("cluster", "[fleeet]\n"),
        ["line 1: fleeet: is not known; did you mean fleet?"]
    );
    assert_eq!(
        errors("cluster", "colour = 1\n"),
        ["line 1: colour: is not known; known keys are cluster"]
    );
    assert_eq!(
        errors("cluster", "cluster = 1\n"),
        ["line 1: cluster: must be a section, not integer"]
    );
}
