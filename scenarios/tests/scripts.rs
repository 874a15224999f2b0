//! The built-in simulator scripts.

use crankmux_scenarios::error::CommandError;
use crankmux_scenarios::scripts::{built_in, BUILT_IN};

#[test]
fn every_built_in_script_is_valid_and_has_a_description_and_faults() {
    for (name, _) in BUILT_IN {
        let script = built_in(name).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(script.name, *name);
        assert!(
            !script.about.is_empty() && !script.faults.is_empty(),
            "{name}"
        );
    }
}

#[test]
fn an_unknown_script_is_rejected_with_the_exit_code_for_invalid_input() {
    let error = built_in("unheard-of").expect_err("no script has this name");
    assert!(matches!(error, CommandError::UnknownScript { .. }));
    assert_eq!(error.exit_code(), 2);
}
