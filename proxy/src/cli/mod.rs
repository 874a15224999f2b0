//! The command line. Without arguments the proxy is started.

mod cluster;

use crate::config::operator_config;
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const ENVIRONMENT_HELP: &str = "Without arguments the proxy is started. It is configured by environment variables:

  BALANCER_CONFIG           path of the configuration, a JSON file
  BALANCER_LISTEN           address for clients; overrides listen in the configuration
  BALANCER_DISCOVERY        address of the discovery agent; overrides discovery
  BALANCER_ADMIN_ADDR       address of the admin API; overrides admin_addr
  CRANKMUX_OPERATOR_CONFIG  path of the operator configuration, an optional TOML file
  RUST_LOG                  log level of standard error (default: info)
  TMPDIR                    parent of the state directory

  SIGHUP reloads the files, SIGUSR1 logs the counters, SIGTERM shuts down after all accepted requests are answered.
  Exit codes: 0 shut down by a signal, or the checked file is valid; 1 the proxy could not start or continue, or the
  checked file is invalid; 2 unknown argument.";

#[derive(Parser)]
#[command(
    name = "crankmux",
    version,
    about = "A reverse proxy that spreads requests over HTTP endpoints",
    after_help = ENVIRONMENT_HELP,
    subcommand_required = false
)]
struct CommandLine {
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Subcommand)]
enum Command {
    /// Validates an operator configuration and reports all errors
    Check {
        /// Path of the operator configuration
        file: PathBuf,
    },
    /// Shows the cluster status of a proxy
    Cluster(ClusterArguments),
    /// Deprecated alias of `cluster`
    #[command(hide = true)]
    Fleet(FleetArguments),
}

#[derive(Args)]
struct ClusterArguments {
    /// Address of the proxy's admin API
    #[arg(long, value_name = "ADDRESS")]
    admin: SocketAddr,
}

#[derive(Args)]
struct FleetArguments {
    /// Address of the proxy's admin API
    #[arg(long = "door", value_name = "ADDRESS")]
    admin: SocketAddr,
}

/// Runs the command given by the arguments. Returns `None` if the proxy is to be started.
pub fn run_command() -> Option<ExitCode> {
    // Starting the proxy skips clap to save memory.
    if std::env::args_os().len() < 2 {
        return None;
    }
    match CommandLine::parse().command? {
        Command::Check { file } => Some(check(&file)),
        Command::Cluster(ClusterArguments { admin }) => Some(show_cluster(admin)),
        Command::Fleet(FleetArguments { admin }) => {
            eprintln!("`crankmux fleet --door` is deprecated; use `crankmux cluster --admin`");
            Some(show_cluster(admin))
        }
    }
}

fn check(file: &Path) -> ExitCode {
    match operator_config::load_file(file) {
        Ok(config) => {
            let state = match config.cluster {
                Some(cluster) => format!("{} is on", cluster.options.section_name),
                None => "nothing is on".into(),
            };
            println!("{}: in order; {state}", file.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn show_cluster(admin: SocketAddr) -> ExitCode {
    match cluster::table(admin) {
        Ok(table) => {
            println!("{table}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
