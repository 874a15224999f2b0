//! Requests of the admin API: paths, methods and encoded ids.

use crankmux_proxy::admin::request::{AdminRequest, AdminRequestError};

fn parse(method: &str, path: &str) -> Result<AdminRequest, AdminRequestError> {
    AdminRequest::parse(method, path, true)
}

#[test]
fn each_path_takes_one_method() {
    let post_needed = AdminRequestError::MethodNotAllowed { allowed: "POST" };
    let get_needed = AdminRequestError::MethodNotAllowed { allowed: "GET" };
    assert_eq!(parse("GET", "/v1/readyz"), Ok(AdminRequest::Readiness));
    assert_eq!(parse("GET", "/v1/metrics"), Ok(AdminRequest::Metrics));
    assert_eq!(parse("GET", "/fleet"), Ok(AdminRequest::ClusterStatus));
    for path in ["/v1/readyz", "/v1/metrics", "/fleet"] {
        assert_eq!(parse("POST", path), Err(get_needed.clone()), "{path}");
        assert_eq!(parse("get", path), Err(get_needed.clone()), "{path}");
    }
    for action in ["suspend", "resume"] {
        let path = format!("/v1/servers/s0/{action}");
        assert_eq!(parse("GET", &path), Err(post_needed.clone()));
    }
}

#[test]
fn the_cluster_path_is_unknown_without_a_cluster_whatever_the_method() {
    for method in ["GET", "DELETE"] {
        let parsed = AdminRequest::parse(method, "/fleet", false);
        assert_eq!(parsed, Err(AdminRequestError::UnknownPath));
    }
}

#[test]
fn ids_are_percent_decoded_and_may_contain_slashes() {
    let cases = [
        ("s0", "s0"),
        ("a%2fb", "a/b"),
        ("a%2Fb", "a/b"),
        ("a/b", "a/b"),
        ("%c3%a9", "é"),
        ("%25", "%"),
        ("suspend", "suspend"),
    ];
    for (encoded, id) in cases {
        let id = id.to_string();
        let disable = parse("POST", &format!("/v1/servers/{encoded}/suspend"));
        assert_eq!(
            disable,
            Ok(AdminRequest::DisableEndpoint { id: id.clone() })
        );
        let enable = parse("POST", &format!("/v1/servers/{encoded}/resume"));
        assert_eq!(enable, Ok(AdminRequest::EnableEndpoint { id }));
    }
}

#[test]
fn ids_that_are_empty_or_wrongly_encoded_are_refused_after_the_method() {
    for encoded in ["", "%", "%2", "%zz", "%+1", "a%f", "%ff"] {
        let path = format!("/v1/servers/{encoded}/suspend");
        let error = AdminRequestError::InvalidEndpointId;
        assert_eq!(parse("POST", &path), Err(error), "{encoded}");
        let error = AdminRequestError::MethodNotAllowed { allowed: "POST" };
        assert_eq!(parse("GET", &path), Err(error), "{encoded}");
    }
}

#[test]
fn other_paths_are_unknown() {
    let paths = [
        "",
        "/",
        "/v1/readyz/",
        "/v1/servers/",
        "/v1/servers/suspend",
        "/v1/servers/s0/",
        "/v1/servers/s0/stop",
        "/v1/suspend/s0",
        "/v1/serverss0/suspend",
    ];
    for path in paths {
        assert_eq!(
            parse("POST", path),
            Err(AdminRequestError::UnknownPath),
            "{path}"
        );
    }
}

#[test]
fn errors_say_what_the_response_says() {
    let allowed = "POST";
    let error = AdminRequestError::MethodNotAllowed { allowed };
    assert_eq!(error.to_string(), "POST is the method of this call");
    assert_eq!(AdminRequestError::UnknownPath.to_string(), "no such call");
    let error = AdminRequestError::InvalidEndpointId;
    assert_eq!(error.to_string(), "the id can't be read");
}
