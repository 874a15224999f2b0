//! Endpoints whose connection ends behind their response in one of several ways.

use super::configuration::disable_hedging;
use super::connection::reset_on_close;
use super::endpoint::TestEndpoint;
use super::http::ok_response;
use super::proxy_process::ProxyProcess;
use super::wait::sleep_ms;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;

/// A response head that does not give the body's length.
pub(crate) const HEAD_WITHOUT_LENGTH: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// How an endpoint's connection ends behind what it wrote.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionEnd {
    Closes,
    Resets,
    ClosesThenResets,
    /// It stays open and carries nothing more.
    Hangs,
}

/// Writes some bytes, and after a pause has the connection end; always false, as the connection is not kept.
pub(crate) fn write_then_end(
    stream: &mut TcpStream,
    bytes: &[u8],
    pause_ms: u64,
    end: ConnectionEnd,
) -> bool {
    let _ = stream.write_all(bytes);
    sleep_ms(pause_ms);
    match end {
        ConnectionEnd::Closes => {}
        ConnectionEnd::Resets => reset_on_close(stream),
        ConnectionEnd::ClosesThenResets => {
            stream.shutdown(Shutdown::Write).unwrap();
            sleep_ms(20);
            reset_on_close(stream);
        }
        ConnectionEnd::Hangs => {
            let _ = stream.read(&mut [0]);
        }
    }
    false
}

/// An endpoint whose first response is these bytes with this end, and whose later ones are complete: `later`.
pub(crate) fn endpoint_with_first_response(
    bytes: Vec<u8>,
    pause_ms: u64,
    end: ConnectionEnd,
) -> TestEndpoint {
    let first_response = Mutex::new(Some(bytes));
    TestEndpoint::new(move |stream, _| {
        let first_response = first_response.lock().unwrap().take();
        match first_response {
            Some(bytes) => write_then_end(stream, &bytes, pause_ms, end),
            None => stream.write_all(&ok_response("later")).is_ok(),
        }
    })
}

/// A proxy that knows one endpoint and sends no hedged requests: a second attempt is a retry after a failure.
pub(crate) fn proxy_without_hedging(endpoint: &TestEndpoint) -> ProxyProcess {
    ProxyProcess::with_configuration(&[endpoint], disable_hedging, None)
}
