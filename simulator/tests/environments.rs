//! Worlds in virtual time: wrong nodes are caught, chance keeps to its streams, faulty scripts are named.

use crankmux_simulator::environment::run;
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::script::Script;

/// A small fleet; `more` is added at its end.
fn text(more: &str) -> String {
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

{more}"#
    )
}

fn script(more: &str) -> Script {
    Script::read(&text(more)).unwrap_or_else(|faulty| panic!("{faulty}"))
}

const RELEASE: &str = "[[faults]]\nkind = \"release\"\nat = 3\nfor = 4\npart = 0.5\n";
const LEAVES: &str = "[clients]\nimpatient = 0.2\n";
const LOST: &str = "[[faults]]\nkind = \"answers-lost\"\nat = 3\nfor = 8\nstrength = 0.2\n";

/// Rules broken, in the order of the pages: lost, twice, drains, cold.
fn broken(how: PolicyKind, more: &str) -> [u64; 5] {
    let figures = run(&script(more), how, 5).expect("a chooser");
    assert!(figures.all.wanted > 1000, "{}", figures.all.wanted);
    if let Some(life) = figures.lives.first() {
        assert!(figures.broken != [0; 5] && !life.is_empty());
    }
    figures.broken
}

#[test]
fn nodes_that_keep_the_rules_are_found_to() {
    for how in [
        PolicyKind::Module,
        PolicyKind::Random,
        PolicyKind::LeastOutstanding,
    ] {
        let [lost, twice, drains, _, left] = broken(how, &format!("{RELEASE}{LOST}{LEAVES}"));
        assert_eq!([lost, twice, drains, left], [0; 4], "{}", how.name());
    }
    assert_eq!(
        broken(PolicyKind::Module, &format!("{RELEASE}{LOST}")),
        [0; 5]
    );
}

#[test]
fn a_node_that_loses_an_op_is_caught() {
    let [lost, twice, drains, ..] = broken(PolicyKind::Loses, "");
    assert!(
        lost > 20 && [twice, drains] == [0; 2],
        "{lost} {twice} {drains}"
    );
}

#[test]
fn a_node_that_repeats_what_may_have_run_is_caught_with_that_ops_life() {
    let resets = LOST.replace("answers-lost", "resets");
    let figures = run(&script(&resets), PolicyKind::Repeats, 5).expect("a chooser");
    assert!(
        figures.broken[1] > 20 && figures.broken[2] == 0,
        "{:?}",
        figures.broken
    );
    let life = &figures.lives[0];
    let at = |what: &str| {
        life.find(what)
            .unwrap_or_else(|| panic!("{what} is missing in {life}"))
    };
    assert!(
        at("Taken") < at("Pushed { push: 0") && at("Pushed { push: 0") < at("Pushed { push: 1"),
        "{life}"
    );
}

#[test]
fn a_node_that_pushes_past_a_drains_grace_is_caught() {
    let [_, twice, drains, ..] = broken(PolicyKind::PastDrains, RELEASE);
    assert!(drains > 20 && twice == 0, "{drains} {twice}");
}

#[test]
fn a_node_that_floods_a_cold_server_is_caught_and_the_server_falls_over() {
    let figures = run(&script(RELEASE), PolicyKind::Floods, 5).expect("a chooser");
    assert!(
        figures.broken[3] > 0 && figures.fell_over == figures.broken[3],
        "{:?}",
        figures.broken
    );
}

#[test]
fn a_node_that_serves_on_whoever_has_left_is_caught() {
    // Machines that say nothing: each push takes a second to fail, and clients leave after one and a half.
    let more = "[way]\nconnect_ms = 1000\nkeepalive = 0.02\n[clients]\nimpatient = 0.5\n[[faults]]\nkind = \"silent\"\nat = 2\nfor = 10\npart = 0.8\n";
    let script = text(more)
        .replace("ttl_ms = 800", "ttl_ms = 3000")
        .replace("ttl_ms = 900", "ttl_ms = 3000");
    let script = Script::read(&script).unwrap_or_else(|faulty| panic!("{faulty}"));
    let left = |how| run(&script, how, 5).expect("a chooser").broken[4];
    assert!(
        left(PolicyKind::SendsOn) > 20,
        "{}",
        left(PolicyKind::SendsOn)
    );
    assert_eq!(left(PolicyKind::Module), 0);
}

#[test]
fn a_fault_more_does_not_shuffle_the_arrivals() {
    let wanted = |more: &str| {
        let figures = run(&script(more), PolicyKind::Module, 3).expect("a chooser");
        figures
            .seconds
            .iter()
            .map(|s| s.counts.wanted)
            .collect::<Vec<_>>()
    };
    // The last second's may still be on their way at the end of the day.
    let (calm, rough) = (wanted(""), wanted(&format!("{RELEASE}{LOST}")));
    assert_eq!(calm[..12], rough[..12]);
}

#[test]
fn two_plays_of_one_seed_are_alike_to_the_byte_and_two_seeds_are_not() {
    let bytes =
        |seed| serde_json::to_vec(&run(&script(LOST), PolicyKind::Module, seed).unwrap()).unwrap();
    assert!(bytes(3) == bytes(3));
    assert!(bytes(3) != bytes(4));
}

#[test]
fn a_box_that_waited_stays_slow_under_clients_that_come_again_and_recovers_when_left() {
    let tips = text("[clients]\nretries = 5\nbackoff = \"none\"\nhonour = 0.0\n")
        .replace("share = 0.4", "share = 0.55\nbursts = [{ at = 3, for = 2, times = 3.0 }]")
        .replace(
            "cores = 2",
            "cores = 2\nqueue = 60\ntips = { after_ms = 150, to = 0.3, relief = 0.3, relief_for = 2 }",
        );
    let tips = Script::read(&tips).unwrap_or_else(|faulty| panic!("{faulty}"));
    let random = run(&tips, PolicyKind::Random, 5).expect("a chooser");
    let last = &random.seconds[11].counts;
    assert!(
        random.tipped > 4 && last.service < 70.0,
        "down six seconds after the burst: {}",
        last.service
    );
    let calm = Script {
        duration_s: 14.0,
        ..script("")
    };
    assert!(
        run(&calm, PolicyKind::Random, 5)
            .expect("a chooser")
            .service
            > 90.0
    );
}

#[test]
fn the_one_that_sees_the_true_state_serves_best_and_cuts_are_felt() {
    let cut = "[[faults]]\nkind = \"zone-cut\"\nzone = \"b\"\nat = 3\nfor = 6\n\
               [[faults]]\nkind = \"slow\"\nat = 4\nfor = 6\nstrength = 6.0\npart = 0.4\n";
    let of = |how| run(&script(cut), how, 5).expect("a chooser").service;
    let (top, module, random) = (
        of(PolicyKind::Top),
        of(PolicyKind::Module),
        of(PolicyKind::Random),
    );
    assert!(
        top >= module && module > random + 3.0,
        "{top} {module} {random}"
    );
}

#[test]
fn a_faulty_script_is_refused_with_its_line_and_key() {
    let line =
        |text: &str, what: &str| text.lines().position(|l| l.contains(what)).expect("there") + 1;
    for (from, to, key, says) in [
        ("nodes = 3", "nodes = 0", "nodes", "between 1 and 2000"),
        ("nodes = 3", "nodes = 'three'", "", "invalid type"),
        ("nodes = 3", "nodes = 3\nnoodles = 4", "", "unknown field"),
        (
            "ttl_ms = 800",
            "ttl_ms = -1",
            "categories.0.ttl_ms",
            "is -1",
        ),
        (
            "effect = \"at-most-once\"",
            "effect = \"twice\"",
            "",
            "unknown variant",
        ),
        ("count = 8", "count = 0", "machines.0.count", "between"),
        (
            "share = 0.4",
            "share = 0.4\nrate = 9",
            "load",
            "either rate or share",
        ),
        (
            "zones = [\"a\", \"b\"]",
            "zones = [\"a\", \"a\"]",
            "zones",
            "none twice",
        ),
        (
            "strength = 0.2",
            "strength = 2.0",
            "faults.1.strength",
            "is 2",
        ),
        (
            "part = 0.5",
            "part = 0.5\nzone = \"nowhere\"",
            "faults.0.zone",
            "names no zone",
        ),
        (
            "kind = \"release\"",
            "kind = \"zone-cut\"",
            "faults.0.zone",
            "a cut needs one",
        ),
        (
            "at = 3\nfor = 4",
            "at = 99\nfor = 4",
            "faults.0.at",
            "is 99",
        ),
    ] {
        let good = text(&format!("{RELEASE}{LOST}"));
        let bad = good.replacen(from, to, 1);
        let faulty = Script::read(&bad).expect_err(to);
        assert_eq!(faulty.key().unwrap_or_default(), key, "{to}: {faulty}");
        assert!(faulty.to_string().contains(says), "{to}: {faulty}");
        let expected = line(&bad, to.lines().last().expect("not empty"));
        // A key that is missing is named at what it is missing from.
        assert!(
            faulty.line() <= bad.lines().count() && faulty.line() > 0,
            "{faulty}"
        );
        if !["load", "faults.0.zone"].contains(&key) && !to.contains("at = 99") {
            assert_eq!(faulty.line(), expected, "{to}: {faulty}");
        }
    }
    assert!(Script::read("name = ").is_err_and(|faulty| faulty.line() == 1));
}
