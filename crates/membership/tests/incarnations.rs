//! Incarnations: clocks that were set back, two processes with one name, and forged incarnations.
mod fleet;

use fleet::{ms, Fleet};
use membership::{Event, GuardedOperation, QuorumState, Status};

fn state(fleet: &Fleet, proxy: usize) -> QuorumState {
    let (core, now) = fleet.core(proxy);
    core.view(now).state
}

/// A host's clock is set back, and its proxy restarts with an incarnation that all other members consider stale: they
/// would drop all its datagrams. The process has to adopt a later incarnation; then it is reachable again and its facts
/// are accepted.
#[test]
fn a_process_whose_clock_was_set_back_takes_a_later_incarnation() {
    for at_once in [false, true] {
        let mut fleet = Fleet::new(5, 3);
        let publish = |fleet: &mut Fleet, body: &[u8]| {
            let (key, body, ttl) = (b"k".to_vec(), body.to_vec(), ms(600_000));
            fleet.handle_event(
                0,
                Event::Publish {
                    kind: 1,
                    key,
                    body,
                    ttl,
                },
            );
        };
        publish(&mut fleet, b"of the former");
        fleet.run(ms(5000));
        let former = fleet.processes[0].as_ref().unwrap().incarnation;
        fleet.kill(0);
        if !at_once {
            fleet.run(ms(12_000));
            assert!((1..5).all(|proxy| fleet.status(proxy, 0) == Status::Down));
        }
        fleet.start_with_clock_set_back(0);
        publish(&mut fleet, b"of this one");
        fleet.run(ms(22_000));
        let incarnation = fleet.processes[0].as_ref().unwrap().incarnation;
        assert_eq!(incarnation, former + 1);
        assert!((0..5).all(|proxy| state(&fleet, proxy) == QuorumState::Complete));
        for proxy in 1..5 {
            let (core, now) = fleet.core(proxy);
            let facts: Vec<_> = core
                .facts(now, 1)
                .into_iter()
                .map(|fact| (fact.incarnation, fact.body))
                .collect();
            assert_eq!(facts, [(incarnation, b"of this one".to_vec())]);
            assert_eq!(core.view(now).counters.errors, 0);
        }
        let (core, now) = fleet.core(0);
        assert_eq!(core.view(now).counters.renewals, 1);
        assert!(
            core.check_operation(now, GuardedOperation::Promote, None)
                .is_ok()
                && core.facts(now, 1).is_empty()
        );
    }
}

/// Two processes have one name. Each learns of the other's incarnation and could adopt a later one without end. The time
/// between renewals has to grow, and the process at the roster's address keeps the name.
#[test]
fn two_processes_of_one_name_do_not_outbid_each_other() {
    let mut fleet = Fleet::new(4, 8);
    fleet.run(ms(4000));
    // Another process named p0 sends from elsewhere; all datagrams to p0 reach the first process.
    let other_incarnation = fleet.processes[0].as_ref().unwrap().incarnation + 1_000;
    let roster = fleet.roster.clone();
    let mut other_core =
        membership::Core::new(membership::Config::new("p0", other_incarnation, roster), 5).unwrap();
    let mut timer = None;
    for tick in 0..600 {
        let now = ms(100 * tick);
        let mut actions = Vec::new();
        let event = timer.take().map_or(Event::Start, Event::Timer);
        other_core.handle(now, event, &mut actions);
        for action in actions {
            match action {
                membership::Action::Send { to, bytes, .. } => {
                    let to: usize = to[1..].parse().unwrap();
                    fleet.handle_event(
                        to,
                        Event::Datagram {
                            from: "p0",
                            incarnation: other_incarnation,
                            bytes: &bytes,
                        },
                    );
                }
                membership::Action::Timer { token, .. } => timer = Some(token),
                _ => {}
            }
        }
        fleet.run(ms(4000) + now);
    }
    let (core, now) = fleet.core(0);
    assert!(
        core.incarnation() > other_incarnation,
        "{}",
        core.incarnation()
    );
    assert_eq!(
        (core.view(now).counters.renewals, other_core.incarnation()),
        (1, other_incarnation)
    );
    assert!((1..4).all(|proxy| fleet.status(proxy, 0) == Status::Alive));
}

/// A member reports an incarnation of this process in the far future. Adopting the next one would use up all numbers, so
/// it is rejected.
#[test]
fn an_incarnation_beyond_all_clocks_is_rejected() {
    let mut fleet = Fleet::new(3, 4);
    fleet.run(ms(3000));
    let roster = fleet.roster.clone();
    let before = fleet.processes[0].as_ref().unwrap().incarnation;
    for later in [u64::MAX, 1 << 43] {
        // p2 receives the identity of another process named p0, and announces itself to that identity.
        let mut receiver =
            membership::Core::new(membership::Config::new("p2", 2_000, roster.clone()), 1).unwrap();
        let mut former =
            membership::Core::new(membership::Config::new("p0", later, roster.clone()), 2).unwrap();
        let mut forward =
            |from: &mut membership::Core, to: &mut membership::Core, name: &str, at: u64| {
                let mut actions = Vec::new();
                from.handle(ms(at), Event::Start, &mut actions);
                for token in 0..20 {
                    from.handle(ms(at + 100 * token), Event::Timer(token), &mut actions);
                }
                let incarnation = from.incarnation();
                for action in actions {
                    if let membership::Action::Send {
                        to: recipient,
                        bytes,
                        ..
                    } = action
                    {
                        if recipient == "p0" || recipient == "p2" {
                            to.handle(
                                ms(at),
                                Event::Datagram {
                                    from: name,
                                    incarnation,
                                    bytes: &bytes,
                                },
                                &mut Vec::new(),
                            );
                            if name == "p2" {
                                fleet.handle_event(
                                    0,
                                    Event::Datagram {
                                        from: name,
                                        incarnation,
                                        bytes: &bytes,
                                    },
                                );
                            }
                        }
                    }
                }
            };
        forward(&mut former, &mut receiver, "p0", 0);
        forward(&mut receiver, &mut former, "p2", 100);
    }
    let (core, now) = fleet.core(0);
    assert!(core.view(now).counters.renewals_out_of_range > 0);
    assert_eq!(
        (core.incarnation(), core.view(now).counters.renewals),
        (before, 0)
    );
}
