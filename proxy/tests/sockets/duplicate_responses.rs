//! A second response to the same request is given to no client.

use crate::support::endpoint::TestEndpoint;
use crate::support::http::{header_value, ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::sleep_ms;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

#[test]
fn duplicate_response_right_behind_the_first_reaches_no_client() {
    // Whether a duplicate came later than those that are sent right behind, which are all that the proxy can
    // detect: a busy machine may suspend the endpoint's thread between the two.
    let second_was_late = Arc::new(AtomicBool::new(false));
    let set_aside = second_was_late.clone();
    let endpoint = TestEndpoint::new(move |stream, received| {
        let answer = ok_response(&String::from_utf8_lossy(&received.body));
        stream.set_nodelay(true).unwrap();
        let number: u32 = String::from_utf8_lossy(&received.body).parse().unwrap_or(0);
        if number.is_multiple_of(2) {
            // Both in one write.
            return stream.write_all(&answer.repeat(2)).is_ok();
        }
        let from = Instant::now();
        let first = stream.write_all(&answer).is_ok();
        while from.elapsed() < Duration::from_micros(200) {}
        let both = first && stream.write_all(&answer).is_ok();
        if from.elapsed() > Duration::from_micros(600) {
            set_aside.store(true, Ordering::SeqCst);
        }
        both
    });
    let proxy = ProxyProcess::in_front_of(&[&endpoint]);
    let mut client = proxy.connect();
    let mut sound = 0;
    for number in 0..100 {
        let body = number.to_string();
        client.write_all(&request("pay", 2.0, &body)).unwrap();
        let (head, got) = read_message(&mut client).expect("a response");
        let same = (
            status_code(&head),
            String::from_utf8_lossy(&got).into_owned(),
        ) == (200, body.clone());
        sleep_ms(if same { 0 } else { 20 });
        if second_was_late.swap(false, Ordering::SeqCst) {
            // The effect of that duplicate is not tested here.
            client = proxy.connect();
            continue;
        }
        assert!(same, "{body}: {head}");
        sound += 1;
    }
    assert!(sound > 20, "{sound}");
}

#[test]
fn duplicate_response_some_milliseconds_late_reaches_no_client() {
    let duplicate_sent = Arc::new(AtomicBool::new(false));
    let sent = duplicate_sent.clone();
    let endpoint = TestEndpoint::new(move |stream, received| {
        let body = header_value(&received.head, "X-Request-ID").expect("as the client gave it");
        let from = Instant::now();
        if stream.write_all(&ok_response(&body)).is_err() {
            return false;
        }
        // The duplicate is sent behind the next request on this connection, if that comes within 8 ms.
        stream
            .set_read_timeout(Some(Duration::from_millis(8)))
            .unwrap();
        if stream.peek(&mut [0]).is_ok_and(|n| n > 0) && from.elapsed() < Duration::from_millis(9) {
            sent.store(true, Ordering::SeqCst);
            let _ = stream.write_all(&ok_response(&body));
        }
        stream.set_read_timeout(None).unwrap();
        true
    });
    let proxy = ProxyProcess::in_front_of(&[&endpoint]);
    for _ in 0..40 {
        let bytes = request("view", 5.0, "");
        let id = header_value(&String::from_utf8_lossy(&bytes), "X-Request-ID").unwrap();
        let (code, body) = proxy.send_request(&bytes);
        assert!(code != 200 || body == id, "{body} for {id}");
        sleep_ms(3);
    }
    assert!(
        !duplicate_sent.load(Ordering::SeqCst),
        "no connection is reused so soon"
    );
}
