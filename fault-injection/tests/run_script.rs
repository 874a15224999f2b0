//! Parsing and validation of run scripts.

use crankmux_fault_injection::{Direction, FaultKind, RunScript};

const VALID: &str = "name = 'x'\nworld = 'fleet'\nprocesses = 3\nseconds = 5\n";

fn with_fault(fault: &str) -> String {
    format!("{VALID}[[faults]]\n{fault}")
}

fn error_of_fault(fault: &str) -> String {
    RunScript::read(&with_fault(fault)).unwrap_err().to_string()
}

#[test]
fn an_invalid_script_is_rejected_with_the_key() {
    assert!(RunScript::read(VALID).is_ok());
    let without_environment = RunScript::read("name = 'x'\nprocesses = 3\n");
    assert!(without_environment
        .unwrap_err()
        .to_string()
        .contains("world"));
    assert!(error_of_fault("kind = 'kil'\nat = 1").contains("kil"));
    assert!(error_of_fault("kind = 'kill'\nat = 1\nwhich = [3]").contains("faults.0.which"));
    assert!(error_of_fault("kind = 'loss'\nat = 1\nstrength = 20").contains("faults.0.strength"));
    assert!(error_of_fault("kind = 'split'\nat = 1").contains("faults.0.strength"));
    assert!(error_of_fault("kind = 'stop'\nat = -1").contains("faults.0.at"));
}

#[test]
fn an_error_names_the_line_of_the_key() {
    let message = error_of_fault("kind = 'loss'\nat = 1\nstrength = 20");
    assert_eq!(
        message,
        "line 8: faults.0.strength must be a fraction from 0 to 1"
    );
}

#[test]
fn every_fault_kind_has_its_name_in_scripts() {
    let kinds = [
        ("kill", FaultKind::Kill),
        ("kill-empty", FaultKind::KillEmpty),
        ("stop", FaultKind::Stop),
        ("terminate", FaultKind::Terminate),
        ("join", FaultKind::Join),
        ("loss", FaultKind::Loss),
        ("twice", FaultKind::Duplicate),
        ("garble", FaultKind::Corrupt),
        ("delay", FaultKind::Delay),
        ("cut", FaultKind::Cut),
        ("split", FaultKind::Partition),
        ("repeat", FaultKind::Replay),
        ("flood", FaultKind::Flood),
        ("blind", FaultKind::SilentDiscovery),
        ("drain", FaultKind::Drain),
        ("renew", FaultKind::Replace),
    ];
    for (name, kind) in kinds {
        let strength = if name == "split" { 3 } else { 1 };
        let text = with_fault(&format!("kind = '{name}'\nat = 1\nstrength = {strength}"));
        let script = RunScript::read(&text).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(script.faults[0].kind, kind, "{name}");
    }
}

#[test]
fn every_key_is_parsed() {
    let text = "name = 'x'\nabout = 'y'\nworld = 'fleet'\nprocesses = 3\nseconds = 5\ntold = 4\nrate = 6\n\
                [[faults]]\nkind = 'loss'\nat = 1\nfor = 2\nwhich = [0]\npart = 0.5\nstrength = 0.25\nway = 'out'\n";
    let script = RunScript::read(text).unwrap();
    assert_eq!(script.environment, "fleet");
    assert_eq!(script.configured_proxies, Some(4));
    assert_eq!(script.rate, Some(6.0));
    let fault = &script.faults[0];
    assert_eq!(fault.at_seconds, 1.0);
    assert_eq!(fault.duration_seconds, Some(2.0));
    assert_eq!(fault.targets, [0]);
    assert_eq!(fault.fraction, 0.5);
    assert_eq!(fault.strength, 0.25);
    assert_eq!(fault.direction, Direction::Out);
}
