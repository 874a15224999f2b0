//! Simulated events per second on one core: `cargo bench -p crankmux-simulator`.

use crankmux_simulator::environment::run;
use crankmux_simulator::policies::PolicyKind;
use crankmux_simulator::script::Script;
use criterion::{criterion_group, criterion_main, Criterion, Throughput};

const SCRIPT: &str = r#"
name = "bench"
seconds = 10
nodes = 30
[[categories]]
name = "view"
effect = "redeliverable"
target_ms = 200
ttl_ms = 800
work_ms = 20
[[machines]]
kind = "box"
count = 40
cores = 2
[load]
share = 0.6
"#;

fn events(criterion: &mut Criterion) {
    let script = Script::read(SCRIPT).expect("a valid script");
    let mut group = criterion.benchmark_group("events");
    group.sample_size(10);
    for kind in [PolicyKind::Random, PolicyKind::Dispatcher] {
        let events = run(&script, kind, 1).expect("a valid policy").events;
        group.throughput(Throughput::Elements(events));
        group.bench_function(kind.name(), |bencher| {
            bencher.iter(|| run(&script, kind, 1).expect("a valid policy").events)
        });
    }
    group.finish();
}

criterion_group!(benches, events);
criterion_main!(benches);
