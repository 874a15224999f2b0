//! The command line of the program.

use std::process::Command;

#[test]
fn help_and_version_are_printed_and_unknown_arguments_rejected() {
    let run = |argument: &str| {
        let output = Command::new(env!("CARGO_BIN_EXE_crankmux"))
            .arg(argument)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stdout).into_owned(),
        )
    };
    let (code, text) = run("--help");
    assert!(
        code == Some(0) && text.contains("BALANCER_ADMIN_ADDR"),
        "{text}"
    );
    assert_eq!(
        run("--version"),
        (Some(0), format!("crankmux {}\n", env!("CARGO_PKG_VERSION")))
    );
    assert_eq!(run("--listen").0, Some(2));
}

#[test]
fn check_names_every_error_of_an_operator_configuration() {
    let file = std::env::temp_dir().join(format!(
        "crankmux-operator-config-{}.toml",
        std::process::id()
    ));
    let check = |text: &[u8]| {
        std::fs::write(&file, text).unwrap();
        let program = env!("CARGO_BIN_EXE_crankmux");
        let output = Command::new(program)
            .arg("check")
            .arg(&file)
            .output()
            .unwrap();
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stderr).into_owned(),
        )
    };
    assert_eq!(check(b"# nothing is on\n"), (Some(0), String::new()));
    let (code, errors) = check(b"flet = 1\n[fleet]\nlisten = 5\n");
    assert!(code == Some(1) && errors.lines().count() == 4, "{errors}");
    assert!(
        errors.contains("line 1: flet") && errors.contains("line 3: fleet.listen"),
        "{errors}"
    );
    assert_eq!(check(&[0xff, 0xfe]).0, Some(1));
    std::fs::remove_file(&file).unwrap();
    assert_eq!(check(b"").0, Some(0));
    std::fs::remove_file(&file).unwrap();
}
