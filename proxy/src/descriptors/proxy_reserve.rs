//! The descriptor reserve of a running proxy: its size for each purpose, and its use.

use super::{is_out_of_descriptors, DescriptorPurpose, DescriptorUsage};
use crate::proxy::Proxy;
use std::io;

/// Reserved admin API connections: one for a call, one for a concurrent readiness check.
const RESERVED_ADMIN_CONNECTIONS: usize = 2;

impl Proxy {
    /// Opens a long-lived descriptor from the reserve of its purpose, closing idle connections if none is left. Code
    /// that closes it must call [`Proxy::replenish_reserve_of`].
    ///
    /// # Errors
    ///
    /// The error of `open`. A shortage of descriptors is also counted and logged.
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

    /// Runs `use_files` with the descriptor reserved for files released. It may have one file open at a time.
    pub(crate) fn with_file_descriptor<T>(&mut self, use_files: impl FnOnce(&mut Proxy) -> T) -> T {
        if !self.replenish_reserve_of(DescriptorPurpose::File) {
            self.report_descriptor_shortage(DescriptorPurpose::File);
        }
        self.reserved_descriptors.release(DescriptorPurpose::File);
        let result = use_files(self);
        self.replenish_reserve_of(DescriptorPurpose::File);
        result
    }

    /// Refills the reserve of every purpose. Returns whether all of it is held. Must be called before accepting
    /// clients, which would take the free descriptors.
    pub(crate) fn replenish_reserve(&mut self) -> bool {
        let mut is_complete = true;
        for purpose in DescriptorPurpose::ALL {
            is_complete &= self.replenish_reserve_of(purpose);
        }
        is_complete
    }

    /// Refills the reserve of one purpose. Must be called right after a descriptor of that purpose is closed.
    pub(crate) fn replenish_reserve_of(&mut self, purpose: DescriptorPurpose) -> bool {
        let count = self.required_reserve(purpose);
        self.reserved_descriptors.hold(purpose, count)
    }

    /// How many descriptors to hold for a purpose: its reservation minus those it has open.
    fn required_reserve(&self, purpose: DescriptorPurpose) -> usize {
        match purpose {
            DescriptorPurpose::Client => 0,
            DescriptorPurpose::Attempt => {
                let open = self.upstream.connections.len();
                self.attempt_reserve.saturating_sub(open)
            }
            DescriptorPurpose::Discovery => usize::from(!self.discovery.is_connected()),
            DescriptorPurpose::AdminConnection if self.admin.is_listening() => {
                RESERVED_ADMIN_CONNECTIONS.saturating_sub(self.admin.connection_count())
            }
            DescriptorPurpose::AdminConnection => 0,
            DescriptorPurpose::File => 1,
            DescriptorPurpose::Handover => usize::from(!self.upgrade.has_newer_process()),
            DescriptorPurpose::Cluster => {
                usize::from(self.cluster_config.is_some() && self.cluster.is_none())
            }
        }
    }

    /// Closes an idle connection to free its descriptor. Returns whether there was one. Idle client connections are
    /// closed first for an attempt, and idle endpoint connections first for any other purpose.
    fn close_idle_connection_for(&mut self, purpose: DescriptorPurpose) -> bool {
        if purpose == DescriptorPurpose::Attempt {
            self.close_idle_downstream() || self.close_longest_idle_upstream()
        } else {
            self.close_unreserved_idle_upstream() || self.close_idle_downstream()
        }
    }

    /// Closes the longest idle connection to an endpoint, unless its descriptor would go back to the reserve. Returns
    /// whether one was closed.
    pub(crate) fn close_unreserved_idle_upstream(&mut self) -> bool {
        self.upstream.connections.len() > self.attempt_reserve && self.close_longest_idle_upstream()
    }

    /// Counts a descriptor shortage, and logs the current usage at most once a second for each purpose.
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
