//! Links to sites on virtual time: a cut link is reported, and a site whose servers are dead is never reported as cut.

use availability::{Availability, Event, LinkState, Reason, Settings, State, Time};
use proptest::prelude::*;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const LOCAL: u16 = 0;
const REMOTE: u16 = 1;

/// A model with six servers: 0 to 2 at the local site, 3 to 5 at the remote one. Of the three groups of two servers, the last two
/// have their primary at the remote site.
fn model() -> Availability {
    let mut model = Availability::new(Settings::default(), Time::ZERO);
    model.handle(Time::ZERO, Event::Started);
    for server in 0..6_u32 {
        let site = if server < 3 { LOCAL } else { REMOTE };
        model.handle(
            Time::ZERO,
            Event::Endpoint {
                server,
                site,
                group: server % 3,
                listed: true,
            },
        );
    }
    for (server, primary) in [
        (0, true),
        (1, false),
        (2, false),
        (3, false),
        (4, true),
        (5, true),
    ] {
        model.handle(
            MS,
            Event::RoleReported {
                server,
                position: Some(Time::ZERO),
                primary: Some(primary),
            },
        );
    }
    model
}

fn exchange(model: &mut Availability, server: u32, at: Time) {
    model.handle(at, Event::ExchangeStarted { server });
    model.handle(
        at,
        Event::ExchangeEnded {
            server,
            contact: true,
        },
    );
}

/// Runs exchanges with all servers for a second.
fn run_healthy(model: &mut Availability, from: Time) -> Time {
    for step in 0..20_u32 {
        let at = from + 50 * MS * step;
        (0..6).for_each(|server| exchange(model, server, at));
    }
    from + SECOND
}

/// Starts exchanges with the remote servers, and dials where the model requests it, without success. The log of the remote primary
/// grows, or ends at `log_end`.
fn run_remote_silent(
    model: &mut Availability,
    from: Time,
    span: Duration,
    log_end: Option<Time>,
) -> Time {
    let mut at = from;
    while at < from + span {
        (3..6).for_each(|server| model.handle(at, Event::ExchangeStarted { server }));
        (0..3).for_each(|server| exchange(model, server, at));
        if let Some(server) = model.server_to_dial(|_| true) {
            model.handle(at, Event::DialStarted { server });
        }
        model.handle(
            at,
            Event::RoleReported {
                server: 1,
                position: log_end.or(Some(at)),
                primary: Some(false),
            },
        );
        at += 50 * MS;
    }
    at
}

#[test]
fn a_link_is_cut_once_the_log_behind_it_grows() {
    let mut model = model();
    let at = run_healthy(&mut model, MS);
    let at = run_remote_silent(&mut model, at, 1_200 * MS, None);
    assert_eq!(
        (model.link(LOCAL), model.link(REMOTE)),
        (Some(LinkState::Up), Some(LinkState::Cut))
    );
    let report = *model.report();
    assert_eq!(report.reason, Reason::Link(REMOTE));
    // Half of the attempts went to the remote site.
    assert!(
        report.state.serves() && (50..=70).contains(&report.weight),
        "{report:?}"
    );
    // After any contact the link is up again; the weight rises at a limited rate.
    model.handle(at, Event::Contact { server: 4 });
    model.handle(at, Event::Tick);
    assert_eq!(model.link(REMOTE), Some(LinkState::Up));
    assert!(model.report().weight < 100);
    let at = run_healthy(&mut model, at);
    run_healthy(&mut model, at + 2 * SECOND);
    assert_eq!(model.report().weight, 100);
}

#[test]
fn the_list_proves_a_cut_link_later_where_the_log_does_not() {
    let mut model = model();
    let mut at = run_healthy(&mut model, MS);
    let start = at;
    while at < start + 12 * SECOND {
        at = run_remote_silent(&mut model, at, SECOND, Some(start));
        model.handle(at, Event::ListReceived);
        let expected = if at < start + Duration::from_millis(10_350) {
            LinkState::Silent
        } else {
            LinkState::Cut
        };
        model.handle(at, Event::Tick);
        assert_eq!(model.link(REMOTE), Some(expected), "after {:?}", at - start);
    }
}

#[test]
fn a_site_that_the_list_drops_is_gone_and_not_an_own_fault() {
    let mut model = model();
    let at = run_healthy(&mut model, MS);
    let mut at = run_remote_silent(&mut model, at, 5 * SECOND, Some(at));
    assert_eq!(model.link(REMOTE), Some(LinkState::Silent));
    for server in 3..6 {
        model.handle(
            at,
            Event::Endpoint {
                server,
                site: REMOTE,
                group: server % 3,
                listed: false,
            },
        );
    }
    for _ in 0..10 {
        at = run_remote_silent(&mut model, at, SECOND, None);
        model.handle(at, Event::ListReceived);
    }
    assert_eq!(model.link(REMOTE), Some(LinkState::Gone));
    assert!(model.report().weight >= 50 && model.report().reason != Reason::Link(REMOTE));
}

/// A site is not silent without a failed dial: servers that hang or are slow accept connections.
#[test]
fn servers_that_accept_connections_make_no_site_silent() {
    let mut model = model();
    let mut at = run_healthy(&mut model, MS);
    for _ in 0..200 {
        (3..6).for_each(|server| model.handle(at, Event::ExchangeStarted { server }));
        (0..3).for_each(|server| exchange(&mut model, server, at));
        if let Some(server) = model.server_to_dial(|_| true) {
            model.handle(at, Event::DialStarted { server });
            model.handle(at, Event::Contact { server });
        }
        model.handle(
            at,
            Event::RoleReported {
                server: 1,
                position: Some(at),
                primary: Some(false),
            },
        );
        model.handle(at, Event::ListReceived);
        assert_eq!(model.link(REMOTE), Some(LinkState::Up));
        at += 100 * MS;
    }
}

#[test]
fn one_silent_server_does_not_make_a_site_silent() {
    let mut model = model();
    let at = run_healthy(&mut model, MS);
    // Only one remote server gets exchanges: the others may work.
    for step in 0..60_u32 {
        let at = at + 50 * MS * step;
        model.handle(at, Event::ExchangeStarted { server: 4 });
        model.handle(at, Event::DialStarted { server: 4 });
        assert_eq!(
            (model.link(REMOTE), model.server_to_dial(|_| true)),
            (Some(LinkState::Up), None)
        );
    }
    let at = at + 4 * SECOND;
    for step in 0..60_u32 {
        let at = at + 50 * MS * step;
        model.handle(at, Event::ExchangeStarted { server: 4 });
        model.handle(at, Event::DialStarted { server: 4 });
        (0..3)
            .chain([3, 5])
            .for_each(|server| exchange(&mut model, server, at));
        model.handle(
            at,
            Event::RoleReported {
                server: 1,
                position: Some(at),
                primary: Some(false),
            },
        );
        assert_eq!(model.link(REMOTE), Some(LinkState::Up));
    }
}

/// The numbers of sites and servers stay bounded, whatever the endpoint list contains.
#[test]
fn sites_and_servers_are_bounded() {
    let mut model = Availability::new(Settings::default(), Time::ZERO);
    model.handle(Time::ZERO, Event::Started);
    for server in 0..20_000_u32 {
        let site = (server % 500) as u16;
        model.handle(
            MS,
            Event::Endpoint {
                server,
                site,
                group: server,
                listed: true,
            },
        );
    }
    assert!(model.links().count() <= availability::SITES_LIMIT);
    // Unlisted servers are not kept.
    for server in 20_000..60_000_u32 {
        model.handle(
            MS,
            Event::Endpoint {
                server,
                site: 0,
                group: 0,
                listed: false,
            },
        );
    }
    assert_eq!(model.report().state, State::Ready);
}

/// One observation of a proxy during the death of a site.
#[derive(Clone, Debug)]
enum Step {
    ExchangeStarted(u32),
    ExchangeUnanswered(u32),
    LocalExchange(u32),
    ListReceived,
    Dial,
    /// A local member reports a position that lies `behind` ms before the present, or before the death.
    PositionReported {
        server: u32,
        behind: u64,
    },
}

fn step() -> impl Strategy<Value = (u64, Step)> {
    let step = prop_oneof![
        3 => (3..6_u32).prop_map(Step::ExchangeStarted),
        3 => (3..6_u32).prop_map(Step::ExchangeUnanswered),
        2 => (0..3_u32).prop_map(Step::LocalExchange),
        1 => Just(Step::ListReceived),
        2 => Just(Step::Dial),
        2 => (0..3_u32, 0..300_u64).prop_map(|(server, behind)| Step::PositionReported { server, behind }),
    ];
    (0..200_u64, step)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// A site dies: the logs of its groups stop growing until other servers take over after 2.9 s or more, and the list drops its
    /// servers within 8.1 s. Whatever is observed meanwhile, its link is never reported as cut.
    #[test]
    fn a_dead_site_is_never_reported_as_cut(
        steps in proptest::collection::vec(step(), 50..400),
        election in 2_900..6_600_u64,
        unlisted_at in 1_000..8_100_u64,
    ) {
        let mut model = model();
        let died_at = run_healthy(&mut model, MS);
        let (elected_at, unlisted_at) = (died_at + MS * election as u32, died_at + MS * unlisted_at as u32);
        let (mut now, mut listed, mut dialled) = (died_at, true, Vec::new());
        for (ms, step) in steps {
            now += MS * ms as u32;
            if listed && now >= unlisted_at {
                listed = false;
                for server in 3..6 {
                    model.handle(now, Event::Endpoint { server, site: REMOTE, group: server % 3, listed: false });
                }
            }
            match step {
                Step::ExchangeStarted(server) => model.handle(now, Event::ExchangeStarted { server }),
                Step::ExchangeUnanswered(server) => model.handle(now, Event::ExchangeEnded { server, contact: false }),
                Step::LocalExchange(server) => exchange(&mut model, server, now),
                Step::ListReceived => model.handle(now, Event::ListReceived),
                Step::Dial => {
                    if let Some(server) = model.server_to_dial(|_| true) {
                        dialled.push(server);
                        model.handle(now, Event::DialStarted { server });
                    }
                }
                Step::PositionReported { server, behind } => {
                    // Groups 1 and 2 have dead primaries; the new primary has not reported its role.
                    let log_end = if now < elected_at { died_at } else { now };
                    let position = if server == 0 { now } else { log_end } - MS * behind as u32;
                    model.handle(now, Event::RoleReported { server, position: Some(position), primary: None });
                }
            }
            prop_assert_ne!(model.link(REMOTE), Some(LinkState::Cut), "{:?} after the death", now - died_at);
            prop_assert!(model.report().weight >= 50);
        }
    }

    /// A link is cut and the servers behind it work: the cut is reported within two seconds, whatever the order of events.
    #[test]
    fn a_cut_link_is_reported(order in proptest::collection::vec(0..3_u32, 60..61), phase in 0..50_u64) {
        let mut model = model();
        let cut_at = run_healthy(&mut model, MS) + MS * phase as u32;
        for (step, first) in (0_u32..).zip(order) {
            let now = cut_at + 33 * MS * step;
            model.handle(now, Event::ExchangeStarted { server: 3 + first });
            model.handle(now, Event::ExchangeStarted { server: 3 + (first + 1) % 3 });
            if let Some(server) = model.server_to_dial(|_| true) {
                model.handle(now, Event::DialStarted { server });
            }
            exchange(&mut model, 1, now);
            model.handle(now, Event::RoleReported { server: 1, position: Some(now - 8 * MS), primary: Some(false) });
            model.handle(now, Event::RoleReported { server: 2, position: Some(now - 8 * MS), primary: Some(false) });
        }
        prop_assert_eq!(model.link(REMOTE), Some(LinkState::Cut));
    }
}
