//! What is wrong with a file is told all at once, by line and key.

use crankmux_operator_config::{ClusterOptions, OperatorConfig};

const GOOD: &str = r#"
[fleet]
zone = "north"
listen = "0.0.0.0:7900"
advertise = "10.0.0.7:7900"
seeds = ["10.0.0.5:7900", "10.0.0.6:7900"]
key-files = ["/etc/crankmux/fleet.key"]
forget-failed = "2h"
receive-buffer = "1MiB"
"#;

fn told(text: &str) -> Vec<String> {
    OperatorConfig::read(text)
        .expect_err("faults")
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn a_good_file_is_read_and_what_it_does_not_name_is_off() {
    let read = OperatorConfig::read(GOOD)
        .expect("in order")
        .fleet
        .expect("there");
    let expected = ClusterOptions {
        name: None,
        zone: Some("north".into()),
        listen: "0.0.0.0:7900".parse().unwrap(),
        advertise: "10.0.0.7:7900".parse().unwrap(),
        seeds: vec![
            "10.0.0.5:7900".parse().unwrap(),
            "10.0.0.6:7900".parse().unwrap(),
        ],
        key_files: vec!["/etc/crankmux/fleet.key".into()],
        forget_failed: 7_200_000.0,
        receive_buffer: 1024 * 1024,
    };
    assert_eq!(read, expected);
    assert_eq!(
        OperatorConfig::read("# nothing\n"),
        Ok(OperatorConfig::default())
    );
}

#[test]
fn every_fault_is_told_at_once_with_line_and_key_and_the_nearest_known() {
    let text = "flet = 1\n[fleet]\nname = 7\nlisten = \"here\"\nadvertize = \"10.0.0.7:7900\"\n\
                seeds = [\"10.0.0.5:7900\", \"x\"]\nkey-files = []\nforget-failed = \"2 parsecs\"\n\
                receive-buffer = \"3\"\ncolour = \"red\"\n";
    let all = told(text);
    let named = [
        ("line 1: flet: is not known; fleet is meant?", 0),
        ("line 3: fleet.name: ", 1),
        ("line 4: fleet.listen: ", 2),
        (
            "line 5: fleet.advertize: is not known; advertise is meant?",
            3,
        ),
        ("line 6: fleet.seeds: ", 4),
        ("line 7: fleet.key-files: names one file", 5),
        ("line 8: fleet.forget-failed: ", 6),
        ("line 9: fleet.receive-buffer: is 16KiB", 7),
        (
            "line 10: fleet.colour: is not known here; known are name, zone",
            8,
        ),
    ];
    assert_eq!(all.len(), named.len(), "{all:#?}");
    for (start, at) in named {
        assert!(all[at].starts_with(start), "{start}: {all:#?}");
    }
}

#[test]
fn what_is_missing_is_told_at_its_section() {
    let all = told("\n[fleet]\n");
    for key in ["listen", "seeds", "key-files"] {
        assert!(
            all.contains(&format!("line 2: fleet.{key}: is missing")),
            "{all:#?}"
        );
    }
    assert_eq!(all.len(), 3);
}

#[test]
fn addresses_that_nobody_reaches_are_refused() {
    let without = GOOD.replace("advertise = \"10.0.0.7:7900\"\n", "");
    assert_eq!(
        told(&without),
        ["line 4: fleet.listen: needs advertise beside it: nobody reaches such an address"]
    );
    let nowhere = GOOD.replace("10.0.0.7", "0.0.0.0");
    assert_eq!(
        told(&nowhere),
        ["line 5: fleet.advertise: is no address at which others reach this node"]
    );
    let seed = GOOD.replace("10.0.0.6:7900", "10.0.0.6:0");
    assert_eq!(
        told(&seed),
        ["line 6: fleet.seeds: has one that is nobody's address"]
    );
}

#[test]
fn a_text_cut_short_or_garbled_anywhere_never_passes_for_another() {
    let good = OperatorConfig::read(GOOD).unwrap();
    let longest = GOOD.trim_end().len();
    for cut in 0..longest {
        // What is cut between keys may be a shorter file that is in order: it lacks what must be there, or says
        // no more than its lines say.
        if let Ok(read) = OperatorConfig::read(&GOOD[..cut]) {
            let fleet = read.fleet.as_ref();
            assert!(
                fleet.is_none_or(|f| f.seeds == good.fleet.as_ref().unwrap().seeds),
                "cut at {cut}"
            );
        }
    }
    for twice in ["zone = \"b\"\n", "[fleet]\n"] {
        assert!(
            OperatorConfig::read(&format!("{GOOD}{twice}")).is_err(),
            "{twice}"
        );
    }
}
