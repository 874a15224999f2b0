//! Carries out the requests of the admin API.

use super::request::AdminRequest;
use super::response::AdminResponse;
use crate::proxy::Proxy;

impl Proxy {
    /// Carries out a call, and answers it.
    pub(super) fn answer_admin_call(&mut self, method: &str, path: &str) -> AdminResponse {
        match AdminRequest::parse(method, path, self.cluster.is_some()) {
            Ok(request) => self.handle_admin_request(&request),
            Err(error) => error.into(),
        }
    }

    fn handle_admin_request(&mut self, request: &AdminRequest) -> AdminResponse {
        match request {
            AdminRequest::Readiness => self.readiness(),
            AdminRequest::Metrics => AdminResponse::ok(self.metrics_text()),
            AdminRequest::ClusterStatus => self.cluster_status(),
            AdminRequest::DisableEndpoint { id } => match self.disable_endpoint(id) {
                Ok(()) => AdminResponse::ok("suspended\n"),
                Err(error) => error.into(),
            },
            AdminRequest::EnableEndpoint { id } => match self.enable_endpoint(id) {
                Ok(()) => AdminResponse::ok("resumed\n"),
                Err(error) => error.into(),
            },
        }
    }

    fn readiness(&self) -> AdminResponse {
        if self.ready() {
            AdminResponse::ok("ready\n")
        } else {
            AdminResponse::unavailable("not ready\n")
        }
    }

    fn cluster_status(&self) -> AdminResponse {
        let now = self.now();
        let text = self
            .cluster
            .as_ref()
            .map(|cluster| format!("{:#}\n", cluster.status(now)));
        AdminResponse::ok(text.unwrap_or_default())
    }

    /// All metrics, one a line.
    fn metrics_text(&self) -> String {
        let classes = &self.name_index.classes.names;
        let uploading = self.downstream.incomplete_requests();
        let (discovered, ejected) = self.dispatcher.endpoint_counts();
        let mut text = self.access_metrics.to_text(classes, uploading);
        text += &format!("discovered={discovered}\nejected={ejected}\n");
        text += &self.descriptor_shortages.to_string();
        if let Some(cluster) = &self.cluster {
            text += &cluster.metrics();
        }
        text
    }
}
