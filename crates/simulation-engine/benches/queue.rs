//! Compares the wheel with a binary heap in the hold model: take an event and insert one at a random later time.
//! Run with `cargo bench -p simulation-engine`.

use criterion::{criterion_group, criterion_main, Criterion};
use rand::Rng;
use simulation_engine::streams::Streams;
use simulation_engine::wheel::Wheel;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Delays as in a run: network, run times, timeouts and timers.
fn spans() -> Vec<u64> {
    let mut stream = Streams::new(1).stream("spans", 0);
    (0..1 << 16)
        .map(|n| match n % 4 {
            0 => stream.random_range(300..900),
            1 => stream.random_range(20_000..120_000),
            2 => stream.random_range(400_000..1_200_000),
            _ => stream.random_range(1_000..30_000_000),
        })
        .collect()
}

fn bench(c: &mut Criterion) {
    let spans = spans();
    let mut group = c.benchmark_group("take one, put one");
    for waiting in [1_000_usize, 30_000, 1_000_000] {
        let mut wheel = Wheel::default();
        let mut heap = BinaryHeap::new();
        for (n, span) in (0..waiting).zip(spans.iter().cycle()) {
            wheel.put(*span, n as u64);
            heap.push(Reverse((*span, n as u64)));
        }
        let mut next = 0;
        group.bench_function(format!("wheel, {waiting} waiting"), |b| {
            b.iter(|| {
                let (at, event) = wheel.take().unwrap();
                next = (next + 1) % spans.len();
                wheel.put(at + spans[next], event);
            })
        });
        let mut number = waiting as u64;
        group.bench_function(format!("heap, {waiting} waiting"), |b| {
            b.iter(|| {
                let Reverse((at, _)) = heap.pop().unwrap();
                next = (next + 1) % spans.len();
                number += 1;
                heap.push(Reverse((at + spans[next], number)));
            })
        });
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(std::time::Duration::from_secs(2)).warm_up_time(std::time::Duration::from_millis(500));
    targets = bench
}
criterion_main!(benches);
