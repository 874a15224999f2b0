//! Counters: the line that SIGUSR1 logs.

use crankmux_proxy::metrics::counters::Counters;

#[test]
fn the_log_line_shows_each_counter_in_its_place() {
    let counters = Counters {
        requests_admitted: 1,
        requests_succeeded: 2,
        requests_rejected: 3,
        requests_failed: 4,
        clients_disconnected: 5,
        invalid_requests: 6,
        clients_stalled: 7,
        capacity_exhausted: 8,
        attempts_sent: 9,
        attempts_succeeded: 10,
        attempts_failed: 11,
        attempts_rejected: 12,
        attempts_timed_out: 13,
        attempts_unreachable: 14,
        attempts_connection_lost: 15,
        attempts_cancelled: 16,
        connections_accepted: 17,
        connections_opened: 18,
        load_probes_sent: 19,
        load_probes_failed: 20,
        endpoint_lists_received: 21,
        endpoint_polls_failed: 22,
    };
    let expected = "ops: taken 1, acked 2, nacked 3, dead-lettered 4, departed 5, bad 6, stalled 7, full 8; \
                    pushes: sent 9, acked 10, errored 11, turned away 12, timed out 13, unreachable 14, \
                    broken 15, cancelled 16; connections: accepted 17, dialled 18; \
                    probes: sent 19, without report 20; lists: 21, failed 22";
    assert_eq!(counters.to_string(), expected);
}
