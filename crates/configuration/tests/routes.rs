//! Compares the index, the search for unreached routes and the behavioural difference with linear searches over random
//! requests.

mod common;
use common::{compiled, find, parsed, request, rng, sections, tidy_text};
use configuration::diff::diff;
use configuration::ranges::Region;
use configuration::route::{find_first, Outcome};
use configuration::shadow;
use configuration::space::{Side, Space};
use rand::seq::SliceRandom;
use rand::Rng;

/// A million random requests, with small and large numbers of routes.
#[test]
fn the_index_agrees_with_the_linear_search() {
    let (mut requests, mut found) = (0, 0);
    for seed in 0..100 {
        let mut rng = rng(seed);
        let number = [3, 10, 40][seed as usize % 3];
        let reading = parsed(&tidy_text(&sections(&mut rng, number)));
        assert!(reading.is_valid(), "seed {seed}: {:?}", reading.diagnostics);
        let model = &reading.model;
        let (index, names) = compiled(model);
        for _ in 0..10_000 {
            let example = request(&mut rng);
            let expected = find_first(&model.routes, &model.windows, &example.request());
            assert_eq!(
                find(&index, &names, &example),
                expected,
                "seed {seed}: {example}"
            );
            requests += 1;
            found += usize::from(expected.is_some());
        }
    }
    assert_eq!(requests, 1_000_000);
    assert!(
        found > 100_000 && found < 1_000_000,
        "{found} of them matched a route"
    );
}

/// Lists that are too long for keys become residual conditions; the result must stay the same.
#[test]
fn routes_with_very_long_lists_are_found_too() {
    let many = |what: &str, number: usize| {
        (0..number)
            .map(|n| format!("{what}{n}"))
            .collect::<Vec<_>>()
            .join(" ")
    };
    let groups = (0..60)
        .map(|n| (n * 3).to_string())
        .collect::<Vec<_>>()
        .join(" ");
    let statements = (0..300)
        .map(|n| format!("\"select {n}\""))
        .collect::<Vec<_>>()
        .join(" ");
    let text = format!(
        "route a {{\n class {}\n tenant {}\n group {groups}\n statement {statements}\n tries 2\n}}\nroute b {{\n refuse\n}}\n",
        many("c", 600),
        many("t", 600)
    );
    let reading = parsed(&text);
    assert!(reading.is_valid(), "{:?}", reading.diagnostics);
    let (index, names) = compiled(&reading.model);
    let mut rng = rng(1);
    let mut met = 0;
    for _ in 0..20_000 {
        let mut example = request(&mut rng);
        example.class = format!("c{}", rng.random_range(0..700));
        example.tenant = format!("t{}", rng.random_range(0..700));
        example.statement = format!("select {}", rng.random_range(0..400)).into_bytes();
        let expected = find_first(
            &reading.model.routes,
            &reading.model.windows,
            &example.request(),
        );
        assert_eq!(find(&index, &names, &example), expected, "{example}");
        met += usize::from(expected == Some(0));
    }
    assert!(
        met > 100,
        "{met} requests matched the route with long lists"
    );
}

/// No random request finds a route that is reported as unreached; each other route is found by an example request from
/// the part of its region that earlier routes leave.
#[test]
fn unreached_routes_are_never_found() {
    let mut unreached = 0;
    for seed in 0..60 {
        let mut rng = rng(1_000 + seed);
        let reading = parsed(&tidy_text(&sections(&mut rng, 25)));
        let model = &reading.model;
        let names: Vec<String> = model.named_windows.iter().map(|w| w.name.clone()).collect();
        let side = Side {
            routes: &model.routes,
            windows: &model.windows,
            window_names: &names,
            offset: 0,
        };
        let space = Space::new(&[side], None);
        let regions: Vec<Region> = model
            .routes
            .iter()
            .map(|r| space.region(0, &r.conditions))
            .collect();
        let hidden = shadow::unreached(&regions);
        assert_eq!(hidden.unexamined, 0);
        let hidden: Vec<usize> = hidden.routes.iter().map(|(at, _)| *at).collect();
        unreached += hidden.len();
        let mut met = vec![false; regions.len()];
        for _ in 0..3_000 {
            let example = request(&mut rng);
            if let Some(at) = find_first(&model.routes, &model.windows, &example.request()) {
                met[at] = true;
            }
        }
        for (at, region) in regions.iter().enumerate() {
            assert!(
                !(met[at] && hidden.contains(&at)),
                "seed {seed}: route {at} is found"
            );
            if !met[at] && !hidden.contains(&at) {
                // The route is not reported as unreached: a request from what earlier routes leave must find it.
                let mut left = vec![region.clone()];
                for earlier in &regions[..at] {
                    left = configuration::ranges::minus_all(left, earlier);
                }
                let example = left
                    .iter()
                    .find_map(|part| space.example(part))
                    .expect("earlier routes leave a part");
                let request = example.request();
                assert_eq!(
                    find_first(&model.routes, &model.windows, &request),
                    Some(at),
                    "seed {seed}: {example}"
                );
            }
        }
    }
    assert!(unreached > 50, "{unreached} unreached routes were checked");
}

/// Random edits of every kind: requests are handled differently exactly where the difference reports it, and as reported.
#[test]
fn the_difference_agrees_with_random_requests() {
    let mut changed = 0;
    for seed in 0..60 {
        let mut rng = rng(2_000 + seed);
        let before = sections(&mut rng, 12);
        let mut after = before.clone();
        let routes: Vec<usize> = (0..after.len())
            .filter(|at| after[*at].0.starts_with("route"))
            .collect();
        for _ in 0..rng.random_range(1..4) {
            let (a, b) = (
                routes[rng.random_range(0..routes.len())],
                routes[rng.random_range(0..routes.len())],
            );
            match rng.random_range(0..5) {
                0 => after[a].1 = common::route_lines(&mut rng),
                1 => after.swap(a, b),
                2 => after[a].1.retain(|line| !line.starts_with("network")),
                3 => after[5].1 = vec!["hours 20:00-23:00".into()],
                _ => {
                    let lines = common::route_lines(&mut rng);
                    after.insert(a, (format!("route n{}", rng.random::<u32>()), lines));
                }
            }
        }
        let (old, new) = (parsed(&tidy_text(&before)), parsed(&tidy_text(&after)));
        let difference = diff(&old, &new, None);
        let (old, new) = (old.model, new.model);
        assert!(!difference.incomplete);
        for _ in 0..4_000 {
            let example = request(&mut rng);
            let request = example.request();
            let outcome = |model: &configuration::model::Model| {
                find_first(&model.routes, &model.windows, &request)
                    .map_or_else(Outcome::default, |at| model.routes[at].outcome.clone())
            };
            let (was, is) = (outcome(&old), outcome(&new));
            let point = difference.space.point(&request);
            let reported: Vec<_> = difference
                .routes
                .iter()
                .filter(|c| c.regions.iter().any(|r| r.contains(&point)))
                .collect();
            if was == is {
                assert!(
                    reported.is_empty(),
                    "seed {seed}: {example} is handled as before"
                );
            } else {
                changed += 1;
                assert_eq!(reported.len(), 1, "seed {seed}: {example}");
                assert_eq!(
                    (&reported[0].old, &reported[0].new),
                    (&was, &is),
                    "seed {seed}: {example}"
                );
            }
        }
        for change in &difference.routes {
            let example = change.example.as_ref().expect("an example");
            let outcome = |model: &configuration::model::Model| {
                find_first(&model.routes, &model.windows, &example.request())
                    .map_or_else(Outcome::default, |at| model.routes[at].outcome.clone())
            };
            assert_eq!(
                (outcome(&old), outcome(&new)),
                (change.old.clone(), change.new.clone()),
                "seed {seed}: {example}"
            );
        }
    }
    assert!(
        changed > 10_000,
        "{changed} requests were handled differently"
    );
}

#[test]
fn reordering_without_overlap_and_renaming_change_nothing() {
    let old = "define office 10.1.0.0/16\nroute a {\n network $office\n tries 2\n}\nroute b {\n network 10.2.0.0/16\n refuse\n}\n";
    let new = "# the other way round\ndefine house 10.1.0.0/16\nroute second {\n network 10.2.0.0/16\n refuse\n}\n\nroute first {\n network $house\n tries 2\n}\n";
    assert!(diff(&parsed(old), &parsed(new), None).is_empty());
    let overlapping = new.replace("10.2.0.0/16", "10.0.0.0/8");
    let difference = diff(&parsed(old), &parsed(&overlapping), None);
    assert!(!difference.is_empty());
}

#[test]
fn a_difference_reads_as_an_operator_would_say_it() {
    let old = "pool calm {\n requests 50\n}\npool feast {\n requests 20\n}\nroute r {\n class my-booking\n network 10.1.0.0/16\n pool calm\n}\nlimits {\n client-patience 2s\n}\n";
    let new = old
        .replace("pool calm\n}", "pool feast\n}")
        .replace("client-patience 2s", "client-patience 500ms");
    let difference = diff(&parsed(old), &parsed(&new), None);
    insta::assert_snapshot!(difference.to_string());
}

/// Shuffled routes differ only where they overlap; routes that do not overlap give no difference.
#[test]
fn the_order_of_routes_without_overlap_does_not_matter() {
    let mut routes: Vec<String> = (0..300)
        .map(|n| {
            format!(
                "route r{n} {{\n network 10.{}.{}.0/24\n tries {}\n}}\n",
                n / 250,
                n % 250,
                n % 5 + 1
            )
        })
        .collect();
    let old = parsed(&routes.concat());
    routes.shuffle(&mut rng(5));
    assert!(diff(&old, &parsed(&routes.concat()), None).is_empty());
}

/// A route has more groups than the index keeps as keys, and so many classes and tenants that the rule for too many keys
/// also moves its groups to the residual conditions. Guards against the second rule replacing the residual groups by an
/// empty list, so that requests of any group match the route.
#[test]
fn a_route_of_many_groups_and_very_many_names_keeps_its_groups() {
    let many = |what: &str| -> String { (0..200).map(|n| format!(" {what}{n}")).collect() };
    let text = format!(
        "route a {{\n class{}\n tenant{}\n group 0-99\n tries 2\n}}\n",
        many("c"),
        many("t")
    );
    let reading = parsed(&text);
    assert!(reading.is_valid(), "{:?}", reading.diagnostics);
    let (index, names) = compiled(&reading.model);
    let mut example = request(&mut rng(1));
    (example.class, example.tenant) = ("c7".into(), "t8".into());
    for (group, expected) in [(0, Some(0)), (99, Some(0)), (100, None), (500, None)] {
        example.group = group;
        let scanned = find_first(
            &reading.model.routes,
            &reading.model.windows,
            &example.request(),
        );
        assert_eq!(scanned, expected, "scan: {example}");
        assert_eq!(find(&index, &names, &example), expected, "index: {example}");
    }
}
