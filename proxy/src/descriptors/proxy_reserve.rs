//! The reserve of a running proxy: what each purpose is owed, and how it is used.

use super::{is_out_of_descriptors, DescriptorPurpose, DescriptorUsage};
use crate::proxy::Proxy;
use std::io;

/// Connections to the admin API: one call, and another beside it, such as a readiness check.
const ADMIN_CALLERS: usize = 2;

impl Proxy {
    /// Opens something that stays open, on a descriptor that is reserved for its purpose. Where none is left, idle
    /// connections are closed for it. Whatever closes it calls [`Proxy::replenish_reserve_of`].
    ///
    /// # Errors
    ///
    /// Why it cannot be opened; a shortage of descriptors is counted and logged.
    pub(crate) fn open_reserved<T>(
        &mut self,
        purpose: DescriptorPurpose,
        mut open: impl FnMut(&mut Proxy) -> io::Result<T>,
    ) -> io::Result<T> {
        loop {
            self.reserved_descriptors.release(purpose);
            let error = match open(self) {
                Ok(opened) => return Ok(opened),
                Err(error) => error,
            };
            let is_shortage = is_out_of_descriptors(&error);
            if is_shortage && self.close_idle_connection_for(purpose) {
                continue;
            }
            self.replenish_reserve_of(purpose);
            if is_shortage {
                self.report_descriptor_shortage(purpose);
            }
            return Err(error);
        }
    }

    /// Runs what opens files, one at a time, and closes each again, on the descriptor that is reserved for files.
    pub(crate) fn with_file_descriptor<T>(&mut self, use_files: impl FnOnce(&mut Proxy) -> T) -> T {
        if !self.replenish_reserve_of(DescriptorPurpose::File) {
            self.report_descriptor_shortage(DescriptorPurpose::File);
        }
        self.reserved_descriptors.release(DescriptorPurpose::File);
        let result = use_files(self);
        self.replenish_reserve_of(DescriptorPurpose::File);
        result
    }

    /// Holds back again what each purpose is owed; whether all of it is held. To be called before clients are
    /// accepted: they would take each descriptor that becomes free.
    pub(crate) fn replenish_reserve(&mut self) -> bool {
        let mut is_complete = true;
        for purpose in DescriptorPurpose::ALL {
            is_complete &= self.replenish_reserve_of(purpose);
        }
        is_complete
    }

    /// The same for one purpose. To be called as soon as a descriptor of that purpose is closed, while it is free.
    pub(crate) fn replenish_reserve_of(&mut self, purpose: DescriptorPurpose) -> bool {
        let count = self.reserve_of(purpose);
        self.reserved_descriptors.hold(purpose, count)
    }

    /// How many descriptors are to be held for a purpose: what it is owed, less what it has open.
    fn reserve_of(&self, purpose: DescriptorPurpose) -> usize {
        match purpose {
            DescriptorPurpose::Client => 0,
            DescriptorPurpose::Attempt => {
                let open = self.upstream.connections.len();
                self.attempt_reserve.saturating_sub(open)
            }
            DescriptorPurpose::Discovery => usize::from(!self.discovery.is_connected()),
            DescriptorPurpose::AdminCaller if self.admin.is_listening() => {
                ADMIN_CALLERS.saturating_sub(self.admin.connection_count())
            }
            DescriptorPurpose::AdminCaller => 0,
            DescriptorPurpose::File => 1,
            DescriptorPurpose::Handover => usize::from(!self.upgrade.has_newer_process()),
            DescriptorPurpose::Cluster => {
                usize::from(self.cluster_config.is_some() && self.cluster.is_none())
            }
        }
    }

    /// Closes an idle connection so that its descriptor can be used; whether there was one. Requests that are
    /// admitted go ahead of clients that are idle; for anything else connections to endpoints go first.
    fn close_idle_connection_for(&mut self, purpose: DescriptorPurpose) -> bool {
        if purpose == DescriptorPurpose::Attempt {
            self.close_idle_downstream() || self.close_longest_idle_upstream()
        } else {
            self.close_unreserved_idle_upstream() || self.close_idle_downstream()
        }
    }

    /// Closes the connection to an endpoint that has been idle longest, unless its descriptor would be reserved for
    /// the next one at once; whether there was one.
    pub(crate) fn close_unreserved_idle_upstream(&mut self) -> bool {
        self.upstream.connections.len() > self.attempt_reserve && self.close_longest_idle_upstream()
    }

    /// Counts that a purpose found no descriptor, and logs who holds them, once a second for each purpose.
    pub(crate) fn report_descriptor_shortage(&mut self, purpose: DescriptorPurpose) {
        let now_ms = self.now();
        let Some(count) = self.descriptor_shortages.record(purpose, now_ms) else {
            return;
        };
        let usage = self.descriptor_usage();
        let reserved = &self.reserved_descriptors;
        log::warn!("no descriptor for {purpose}: count={count} {usage} {reserved}");
    }

    fn descriptor_usage(&self) -> DescriptorUsage {
        let (upstream, idle_upstream) = self.upstream.connection_counts();
        DescriptorUsage {
            upstream,
            idle_upstream,
            ..self.downstream.descriptor_usage(self.now())
        }
    }
}
