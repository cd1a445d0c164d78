//! Benchmarks: reading a large file, finding a route, formatting, comparing two files. `cargo bench -p configuration`.

use configuration::calendar::Moment;
use configuration::diff::diff;
use configuration::format::format;
use configuration::index::{Index, IndexedRequest, NameTable};
use configuration::load::MemoryFiles;
use configuration::route::{find_first, Request};
use configuration::{read, shadow, Reading};
use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::fmt::Write;
use std::hint::black_box;
use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;

const CLASSES: [&str; 4] = ["nearby-cabs", "my-booking", "trip-history", "confirm-ride"];

/// Routes of four or five lines each, like a list of a partner's addresses: a network, a class, sometimes more.
fn text(routes: usize) -> String {
    let mut rng = StdRng::seed_from_u64(7);
    let mut out =
        "window feast {\n    dates 10-17..11-02\n}\npool feast {\n    requests 500\n}\n".to_owned();
    for n in 0..routes {
        writeln!(out, "route r{n} {{").unwrap();
        let (a, b, c) = (
            rng.random_range(0..200),
            rng.random_range(0..250),
            rng.random_range(0..250),
        );
        writeln!(out, "    network 10.{a}.{b}.{c}").unwrap();
        writeln!(out, "    class {}", CLASSES[rng.random_range(0..4)]).unwrap();
        if n % 7 == 0 {
            out.push_str("    during feast\n");
        }
        if n % 11 == 0 {
            writeln!(out, "    statement \"SELECT doc FROM t{}\"", n % 50).unwrap();
        }
        out.push_str(if n % 3 == 0 {
            "    pool feast\n}\n"
        } else {
            "    deadline 300ms\n}\n"
        });
    }
    out
}

fn reading(text: &str) -> Reading {
    let reading = read(Path::new("x.conf"), &MemoryFiles::from([("x.conf", text)]));
    assert!(reading.is_valid(), "{:?}", reading.diagnostics.first());
    reading
}

fn bench(c: &mut Criterion) {
    let large = text(18_700);
    println!(
        "the large file has {} lines, {} bytes",
        large.lines().count(),
        large.len()
    );
    c.bench_function("read and check 100,000 lines", |b| {
        b.iter(|| reading(black_box(&large)).model.routes.len())
    });
    let whole = reading(&large);
    let model = &whole.model;
    c.bench_function("search 18,700 routes for unreached ones", |b| {
        b.iter(|| shadow::check(model, None).len())
    });
    c.bench_function("format 100,000 lines", |b| {
        b.iter(|| format(black_box(&large)).map(|t| t.len()))
    });
    let edited = reading(&large.replacen("deadline 300ms", "deadline 200ms", 1));
    c.bench_function("difference of one edit in 18,700 routes", |b| {
        b.iter(|| diff(&whole, &edited, None).routes.len())
    });

    let mut rng = StdRng::seed_from_u64(11);
    let mut group = c.benchmark_group("find a route among");
    for number in [10, 1_000, 100_000] {
        let model = reading(&text(number)).model;
        let names = NameTable {
            classes: CLASSES.map(str::to_owned).to_vec(),
            tenants: vec!["acme".into()],
        };
        let names = names.with_routes(&model.routes);
        let index = Index::new(&model.routes, &model.windows, &names);
        println!(
            "{number} routes: the index holds {} KiB",
            index.size() >> 10
        );
        // Half of the clients are in the network of some route.
        let clients: Vec<(u32, IpAddr)> = (0..4_096)
            .map(|n| {
                let route = &model.routes[rng.random_range(0..model.routes.len())];
                let known = route.conditions.networks[0].addr();
                let other = IpAddr::V4(Ipv4Addr::from(0x0a00_0000 | rng.random_range(0..1 << 24)));
                (
                    rng.random_range(0..4),
                    if n % 2 == 0 { known } else { other },
                )
            })
            .collect();
        let at = Moment {
            day: 20_743,
            second: 60_000,
        };
        let statement = b"SELECT doc FROM items WHERE id = '7f3a'";
        let mut next = 0;
        group.bench_function(format!("{number} by the index"), |b| {
            b.iter(|| {
                next = (next + 1) % clients.len();
                let (class, client) = clients[next];
                index.find(black_box(&IndexedRequest {
                    class,
                    tenant: 0,
                    group: 3,
                    statement,
                    client,
                    at,
                }))
            })
        });
        group.bench_function(format!("{number} by the scan"), |b| {
            b.iter(|| {
                next = (next + 1) % clients.len();
                let (class, client) = clients[next];
                let class = CLASSES[class as usize];
                let request = Request {
                    class,
                    tenant: "acme",
                    group: 3,
                    statement,
                    client,
                    at,
                };
                find_first(&model.routes, &model.windows, black_box(&request))
            })
        });
        if number == 100_000 {
            group.bench_function(format!("{number}: making the index"), |b| {
                b.iter_batched(
                    || (),
                    |()| Index::new(&model.routes, &model.windows, &names).size(),
                    BatchSize::PerIteration,
                )
            });
        }
    }
    group.finish();
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(std::time::Duration::from_secs(2)).warm_up_time(std::time::Duration::from_millis(500));
    targets = bench
}
criterion_main!(benches);
