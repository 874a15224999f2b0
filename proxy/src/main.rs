//! crankmux: a reverse proxy that spreads requests over HTTP endpoints. This program parses the command line and
//! starts the proxy of the library `crankmux_proxy`.

use crankmux_proxy::{cli, lifecycle};
use std::process::ExitCode;

fn main() -> ExitCode {
    if let Some(code) = cli::run_command() {
        return code;
    }
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment).init();
    match lifecycle::start::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error}");
            ExitCode::FAILURE
        }
    }
}
