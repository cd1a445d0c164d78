//! Whether the lab sees how much cold servers get: of who heeds their starts, and of who does not.

use configuration::load::MemoryFiles;
use invariant_checkers::Rule;
use proxy_experiments::file::read;
use proxy_experiments::play::play;
use proxy_experiments::policy::{Name, Policy};
use proxy_experiments::scenario::SECOND;
use proxy_experiments::summary::Cold;
use std::path::Path;

#[test]
fn a_planted_breach_shows_in_the_books_and_the_module_stays_below() {
    let file = include_str!("../../../lab/cold.conf");
    let book = read(Path::new("a.conf"), &MemoryFiles::from([("a.conf", file)]))
        .unwrap_or_else(|f| panic!("{f}"));
    let mut day = book
        .scenarios
        .into_iter()
        .find(|s| s.name == "mass-3")
        .unwrap();
    // Three groups for a quarter of the load: more than they bear.
    day.site.groups = 3;
    let clients = &mut day.clients;
    (clients.groups, clients.length, clients.requests_per_s) =
        (3, 10 * SECOND, clients.requests_per_s / 4.0);
    (day.faults[0].at, day.faults[0].span) = (SECOND, 5 * SECOND);
    for (name, breaks) in [(Name::LeastOutstanding, true), (Name::Module, false)] {
        let outcomes = play(&day, &Policy::of(name), 1);
        let cold = Cold::of(&outcomes.cold);
        let over = outcomes
            .cold
            .iter()
            .filter(|peak| peak.ratio() > 1.0)
            .count() as u64;
        assert_eq!(
            (cold.starts, cold.max > 1.0),
            (9, breaks),
            "{name:?}: {cold:?}"
        );
        assert_eq!(
            outcomes.broken.get(&Rule::Collapsed).copied().unwrap_or(0),
            over,
            "{name:?}"
        );
        assert!(
            cold.p50 > 0.0 && cold.p50 <= cold.p99 && cold.p99 <= cold.max,
            "{cold:?}"
        );
    }
}
