//! Executes admin API requests.

use super::request::AdminRequest;
use super::response::AdminResponse;
use crate::proxy::Proxy;

impl Proxy {
    /// Parses and executes a request, and returns the response.
    pub(super) fn admin_response(&mut self, method: &str, path: &str) -> AdminResponse {
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

    /// All metrics, one per line.
    fn metrics_text(&self) -> String {
        let classes = &self.name_index.classes.names;
        let incomplete_requests = self.downstream.incomplete_requests();
        let (discovered, ejected) = self.dispatcher.endpoint_counts();
        let mut text = self.access_metrics.to_text(classes, incomplete_requests);
        text += &format!("discovered={discovered}\nejected={ejected}\n");
        text += &self.descriptor_shortages.to_string();
        if let Some(cluster) = &self.cluster {
            text += &cluster.metrics();
        }
        text
    }
}
