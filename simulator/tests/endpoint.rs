//! The simulated endpoint: queue, degradation, pauses, cancellation, load reports and slow start.

use crankmux_simulator::endpoint::{Completion, Dequeued, Endpoint, Job, ReportedLoad};
use crankmux_simulator::script::Script;

fn endpoint(machine_keys: &str) -> Endpoint {
    let text = format!(
        "name = 'x'\nseconds = 9\nnodes = 1\nload = {{ rate = 1 }}\n\
         [[categories]]\nname = 'v'\neffect = 'redeliverable'\ntarget_ms = 9\nttl_ms = 9\nwork_ms = 1\n\
         [[machines]]\nkind = 'm'\ncount = 1\ncores = 2\nqueue = 3\n{machine_keys}\n"
    );
    let script = Script::read(&text).expect("a valid script");
    Endpoint::new(&script.machine_types[0], &script.limits, 1, 0, 0, 0.0)
}

fn load(in_flight: f64, queued: f64) -> ReportedLoad {
    ReportedLoad { in_flight, queued }
}

fn job(attempt: usize, arrived_at: f64) -> Job {
    Job {
        request: 1,
        serial: 1,
        attempt,
        work_ms: 10.0,
        arrived_at,
        deadline: 1e9,
        key: 0,
        key_miss_factor: 1.0,
    }
}

#[test]
fn cores_and_queue_are_bounded_and_a_free_core_starts_the_next_job() {
    let mut endpoint = endpoint("");
    assert!((0..5).all(|attempt| endpoint.enqueue(0.0, job(attempt, 0.0))));
    assert!(
        !endpoint.enqueue(0.0, job(5, 0.0)),
        "two cores and three queue slots are taken"
    );
    let mut started = Vec::new();
    while let Some(Dequeued::Started(running)) = endpoint.start_next(0.0) {
        started.push(running);
    }
    assert_eq!(
        started
            .iter()
            .map(|running| running.finishes_at)
            .collect::<Vec<_>>(),
        [10.0, 10.0]
    );
    assert!(matches!(
        endpoint.complete(10.0, started[0].number),
        Completion::Finished(_)
    ));
    assert!(
        matches!(endpoint.start_next(10.0), Some(Dequeued::Started(running)) if running.finishes_at == 20.0)
    );
    assert_eq!(endpoint.in_flight(), 4);
}

#[test]
fn an_endpoint_degraded_by_a_long_queue_wait_recovers_after_a_period_of_low_load() {
    let mut endpoint = endpoint("tips = { after_ms = 50, to = 0.2, relief = 0.5, relief_for = 2 }");
    endpoint.enqueue(0.0, job(0, -60.0));
    let Some(Dequeued::Started(running)) = endpoint.start_next(0.0) else {
        panic!("no job started although a core is free")
    };
    assert!(
        endpoint.degraded && running.finishes_at == 50.0,
        "{running:?}"
    );
    assert!(matches!(
        endpoint.complete(50.0, running.number),
        Completion::Finished(_)
    ));
    // The queue is empty again, but recovery takes two seconds of low load.
    endpoint.enqueue(1000.0, job(1, 1000.0));
    assert!(endpoint.degraded);
    let Some(Dequeued::Started(running)) = endpoint.start_next(1000.0) else {
        panic!("no job started although a core is free")
    };
    assert!(matches!(
        endpoint.complete(running.finishes_at, running.number),
        Completion::Finished(_)
    ));
    endpoint.enqueue(2100.0, job(2, 2100.0));
    assert!(
        !endpoint.degraded,
        "recovered after two seconds of low load"
    );
}

#[test]
fn a_cancelled_job_leaves_the_queue_and_a_pause_delays_completion() {
    let mut endpoint = endpoint("stops = false");
    for attempt in 0..3 {
        endpoint.enqueue(0.0, job(attempt, 0.0));
    }
    let Some(Dequeued::Started(first)) = endpoint.start_next(0.0) else {
        panic!("no job started although a core is free")
    };
    endpoint.start_next(0.0);
    assert!(endpoint.cancel(1.0, 1, 1, 2), "the job was still queued");
    assert!(
        !endpoint.cancel(1.0, 1, 1, 0),
        "the endpoint does not stop running jobs"
    );
    endpoint.paused_until = 40.0;
    assert!(
        matches!(endpoint.complete(10.0, first.number), Completion::PausedUntil(at) if at == 40.0)
    );
    assert!(matches!(
        endpoint.complete(40.0, first.number),
        Completion::Finished(_)
    ));
}

#[test]
fn load_reports_are_delayed_and_a_cold_endpoint_warms_up_linearly() {
    let mut endpoint = endpoint("");
    endpoint.enqueue(0.0, job(0, 0.0));
    assert_eq!(
        endpoint.report_load(0.0, 100.0, 150.0),
        None,
        "no measurement is old enough"
    );
    endpoint.enqueue(100.0, job(1, 0.0));
    endpoint.report_load(100.0, 100.0, 150.0);
    assert_eq!(
        endpoint.report_load(160.0, 100.0, 150.0),
        Some(load(1.0, 1.0))
    );
    assert_eq!(
        endpoint.report_load(260.0, 100.0, 150.0),
        Some(load(2.0, 2.0))
    );
    endpoint.started_at = 1000.0;
    assert!((endpoint.warmth(1000.0 + 7500.0) - 0.6).abs() < 1e-9);
}
