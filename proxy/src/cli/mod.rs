//! The command line. Without an argument the node runs, as its platform starts it.

mod cluster;

use crate::config::operator_config;
use clap::{Parser, Subcommand};

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

const MORE: &str = "The node itself is started without an argument:

  BALANCER_CONFIG      the configuration, one JSON file
  BALANCER_LISTEN      where clients connect; over the file's listen
  BALANCER_DISCOVERY   the list of servers; over the file's discovery
  BALANCER_ADMIN_ADDR  the operators' door; over the file's admin_addr
  CRANKMUX_CHARTER     what the node does beyond that, one TOML file; nothing without it
  RUST_LOG             how much is logged to standard error (info)
  TMPDIR               where the state directory stands

  SIGHUP reads the files again, SIGUSR1 prints counters, SIGTERM ends it once all it has taken is answered.
  Exit codes: 0 told to end, or in order; 1 it could not start or go on, or a file is faulty; 2 an argument
  that is not known.";

#[derive(Parser)]
#[command(
    name = "crankmux",
    version,
    about = "A reverse proxy that spreads ops over HTTP servers",
    after_help = MORE,
    subcommand_required = false
)]
struct Said {
    #[command(subcommand)]
    wish: Option<Wish>,
}

#[derive(Subcommand)]
enum Wish {
    /// Reads a charter and says all that is wrong with it
    Check {
        /// The charter's file
        file: PathBuf,
    },
    /// Shows what a node makes of the others of its fleet
    Fleet {
        /// The node's door, as its admin_addr says
        #[arg(long, value_name = "ADDRESS")]
        door: SocketAddr,
    },
}

/// What the arguments ask for; none where the node is to run.
pub fn asked() -> Option<ExitCode> {
    // Danger: a node's memory is priced, and what reads arguments needs some of it.
    if std::env::args_os().len() < 2 {
        return None;
    }
    match Said::parse().wish? {
        Wish::Check { file } => Some(check(&file)),
        Wish::Fleet { door } => Some(match cluster::table(door) {
            Ok(table) => {
                println!("{table}");
                ExitCode::SUCCESS
            }
            Err(e) => {
                eprintln!("{e}");
                ExitCode::FAILURE
            }
        }),
    }
}

fn check(file: &Path) -> ExitCode {
    match operator_config::load_file(file) {
        Ok(config) => {
            let parts = if config.cluster.is_some() {
                "fleet is on"
            } else {
                "nothing is on"
            };
            println!("{}: in order; {parts}", file.display());
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
