//! Incarnations: clocks that were set back, two processes of one name, and forged incarnations.
mod fleet;

use fleet::{ms, Fleet};
use membership::{Event, GuardedOperation, QuorumState, Status};

fn state(fleet: &Fleet, who: usize) -> QuorumState {
    let (core, now) = fleet.core(who);
    core.view(now).state
}

/// A host's clock is set back, and its proxy restarts with an incarnation that all others hold for stale. They would drop all that
/// it sends. It has to take a later incarnation; then it is reachable again and its facts are accepted.
#[test]
fn a_process_whose_clock_was_set_back_takes_a_later_incarnation() {
    for at_once in [false, true] {
        let mut fleet = Fleet::new(5, 3);
        let say = |fleet: &mut Fleet, body: &[u8]| {
            let (key, body, lasts) = (b"k".to_vec(), body.to_vec(), ms(600_000));
            fleet.tell(
                0,
                Event::Publish {
                    kind: 1,
                    key,
                    body,
                    ttl: lasts,
                },
            );
        };
        say(&mut fleet, b"of the former");
        fleet.run(ms(5000));
        let former = fleet.processes[0].as_ref().unwrap().start;
        fleet.kill(0);
        if !at_once {
            fleet.run(ms(12_000));
            assert!((1..5).all(|who| fleet.status(who, 0) == Status::Down));
        }
        fleet.start_behind(0);
        say(&mut fleet, b"of this one");
        fleet.run(ms(22_000));
        let start = fleet.processes[0].as_ref().unwrap().start;
        assert_eq!(start, former + 1);
        assert!((0..5).all(|who| state(&fleet, who) == QuorumState::Complete));
        for who in 1..5 {
            let (core, now) = fleet.core(who);
            let said: Vec<_> = core
                .facts(now, 1)
                .into_iter()
                .map(|fact| (fact.incarnation, fact.body))
                .collect();
            assert_eq!(said, [(start, b"of this one".to_vec())]);
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

/// Two processes have one name. Each hears of the other's incarnation and would take a later one without end; the renewals have to
/// wait longer each time, and the one at the roster's address stays.
#[test]
fn two_processes_of_one_name_do_not_outbid_each_other() {
    let mut fleet = Fleet::new(4, 8);
    fleet.run(ms(4000));
    // What another process of p0 says from elsewhere; all that is for p0 comes to the first.
    let twin = fleet.processes[0].as_ref().unwrap().start + 1_000;
    let roster = fleet.roster.clone();
    let mut other = membership::Core::new(membership::Config::new("p0", twin, roster), 5).unwrap();
    let mut timer = None;
    for beat in 0..600 {
        let now = ms(100 * beat);
        let mut actions = Vec::new();
        let event = timer.take().map_or(Event::Start, Event::Timer);
        other.handle(now, event, &mut actions);
        for action in actions {
            match action {
                membership::Action::Send { to, bytes, .. } => {
                    let to: usize = to[1..].parse().unwrap();
                    fleet.tell(
                        to,
                        Event::Datagram {
                            from: "p0",
                            incarnation: twin,
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
    assert!(core.incarnation() > twin, "{}", core.incarnation());
    assert_eq!(
        (core.view(now).counters.renewals, other.incarnation()),
        (1, twin)
    );
    assert!((1..4).all(|who| fleet.status(who, 0) == Status::Alive));
}

/// A member claims an incarnation of this process in the far future. Taking the next one would use up all numbers; it is rejected.
#[test]
fn an_incarnation_beyond_all_clocks_is_rejected() {
    let mut fleet = Fleet::new(3, 4);
    fleet.run(ms(3000));
    let roster = fleet.roster.clone();
    let before = fleet.processes[0].as_ref().unwrap().start;
    for later in [u64::MAX, 1 << 43] {
        // A process that ran as p0 told p2 of itself, and p2 announces itself to that.
        let mut heard =
            membership::Core::new(membership::Config::new("p2", 2_000, roster.clone()), 1).unwrap();
        let mut former =
            membership::Core::new(membership::Config::new("p0", later, roster.clone()), 2).unwrap();
        let mut passes =
            |from: &mut membership::Core, to: &mut membership::Core, name: &str, at: u64| {
                let mut actions = Vec::new();
                from.handle(ms(at), Event::Start, &mut actions);
                for token in 0..20 {
                    from.handle(ms(at + 100 * token), Event::Timer(token), &mut actions);
                }
                let start = from.incarnation();
                for action in actions {
                    if let membership::Action::Send {
                        to: whom, bytes, ..
                    } = action
                    {
                        if whom == "p0" || whom == "p2" {
                            to.handle(
                                ms(at),
                                Event::Datagram {
                                    from: name,
                                    incarnation: start,
                                    bytes: &bytes,
                                },
                                &mut Vec::new(),
                            );
                            if name == "p2" {
                                fleet.tell(
                                    0,
                                    Event::Datagram {
                                        from: name,
                                        incarnation: start,
                                        bytes: &bytes,
                                    },
                                );
                            }
                        }
                    }
                }
            };
        passes(&mut former, &mut heard, "p0", 0);
        passes(&mut heard, &mut former, "p2", 100);
    }
    let (core, now) = fleet.core(0);
    assert!(core.view(now).counters.renewals_out_of_range > 0);
    assert_eq!(
        (core.incarnation(), core.view(now).counters.renewals),
        (before, 0)
    );
}
