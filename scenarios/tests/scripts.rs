//! The scripts that ship.

use crankmux_scenarios::error::CommandError;
use crankmux_scenarios::scripts::{shipped, SHIPPED};

#[test]
fn every_shipped_script_is_valid_and_says_what_it_plays() {
    for (name, _) in SHIPPED {
        let script = shipped(name).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(script.name, *name);
        assert!(
            !script.about.is_empty() && !script.faults.is_empty(),
            "{name}"
        );
    }
}

#[test]
fn an_unknown_script_is_refused_with_the_exit_code_of_invalid_input() {
    let error = shipped("unheard-of").expect_err("no script has this name");
    assert!(matches!(error, CommandError::UnknownScript { .. }));
    assert_eq!(error.exit_code(), 2);
}
