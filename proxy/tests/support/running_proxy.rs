//! A process of the proxy, and its log.

use super::temporary_folder::TemporaryFolder;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// How long a test waits for what is to happen.
pub(crate) const PATIENCE: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The configuration that tests start from.
pub(crate) fn valid_configuration() -> Value {
    serde_json::from_str(include_str!("../configuration/valid.json")).expect("JSON")
}

/// Waits until something is found.
pub(crate) fn until<T>(what: &str, mut found: impl FnMut() -> Option<T>) -> T {
    let start = Instant::now();
    while start.elapsed() < PATIENCE {
        if let Some(found) = found() {
            return found;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("not within {PATIENCE:?}: {what}");
}

/// It is killed at the end.
pub(crate) struct RunningProxy {
    process: Child,
    log: PathBuf,
}

impl RunningProxy {
    /// Starts it with its files in a folder and further environment variables.
    pub(crate) fn start(
        folder: &TemporaryFolder,
        configuration: &Value,
        variables: &[(&str, &Path)],
    ) -> Self {
        let file = folder.write("configuration.json", configuration.to_string());
        let log = folder.path().join("log");
        let process = Command::new(env!("CARGO_BIN_EXE_crankmux"))
            .env_clear()
            .env("TMPDIR", folder.path())
            .env("BALANCER_CONFIG", file)
            .envs(variables.iter().copied())
            .stdin(Stdio::null())
            .stderr(std::fs::File::create(&log).expect("a log"))
            .spawn()
            .expect("it starts");
        RunningProxy { process, log }
    }

    /// All that it has logged.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).expect("a log")
    }

    /// Waits for a line that has these words; what follows them in it.
    pub(crate) fn wait_for(&self, words: &str) -> String {
        until(words, || {
            let log = self.log();
            let (_, rest) = log.split_once(words)?;
            let (line, _) = rest.split_once('\n')?;
            Some(line.to_string())
        })
    }
}

impl Drop for RunningProxy {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
