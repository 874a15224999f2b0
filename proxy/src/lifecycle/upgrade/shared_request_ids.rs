//! Request ids that the processes of an upgrade share, so that neither serves a request that the other one has.

use crate::proxy::Proxy;

/// Directory of the claimed ids, in the state directory.
const DIRECTORY_NAME: &str = "request-ids";

impl Proxy {
    /// Shares request ids with the other process from now on.
    pub(crate) fn share_request_ids(&mut self) {
        if let Some(directory) = self.state_directory.path(DIRECTORY_NAME) {
            self.requests.share_ids(directory);
        }
    }

    /// Removes what processes that crashed in an upgrade have left claimed.
    pub(super) fn remove_stale_request_ids(&mut self) {
        if let Some(directory) = self.state_directory.path(DIRECTORY_NAME) {
            // Fails if there is none, as after every upgrade that ended well.
            let _ = self.with_file_descriptor(|_| std::fs::remove_dir_all(directory));
        }
    }

    /// Stops sharing request ids once no other process runs.
    pub(super) fn stop_sharing_request_ids(&mut self) {
        if self.upgrade.has_other_process() {
            return;
        }
        self.with_file_descriptor(|proxy| {
            let now = proxy.now();
            proxy.requests.ids_mut().stop_sharing(now);
        });
    }
}
