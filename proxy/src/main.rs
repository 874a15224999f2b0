//! crankmux: a reverse proxy that spreads ops over HTTP servers. The decisions are the library's; this is
//! the node that carries them out on sockets.

use crankmux_proxy::{cli, lifecycle};
use std::process::ExitCode;

fn main() -> ExitCode {
    if let Some(code) = cli::asked() {
        return code;
    }
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match lifecycle::start::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            log::error!("{message}");
            ExitCode::FAILURE
        }
    }
}
