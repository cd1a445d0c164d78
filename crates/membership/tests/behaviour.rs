//! What a fleet does in each case that the design note names.
mod fleet;

use std::time::Duration;

use fleet::{ms, roster, Fleet};
use membership::{
    pace, rule, Act, Action, Config, Core, Denied, Event, Heads, Rule, State, Status, TABLE,
};

fn state(fleet: &Fleet, who: usize) -> State {
    let (core, now) = fleet.core(who);
    core.view(now).state
}

fn allowed(fleet: &Fleet, who: usize, act: Act) -> Result<(), Denied> {
    let (core, now) = fleet.core(who);
    core.allowed(now, act, None)
}

fn direct(fleet: &Fleet, who: usize, of: usize) -> bool {
    let (core, now) = fleet.core(who);
    core.view(now)
        .members
        .iter()
        .find(|member| member.name == format!("p{of}"))
        .unwrap()
        .direct
}

#[test]
fn the_table_in_the_note_is_the_one_in_code() {
    let note = include_str!("../../../docs/design/members.md");
    let row = |act: &Act| {
        let begin = format!("| {act:?} |");
        let line = note.lines().find(|line| line.starts_with(&begin)).unwrap();
        line[begin.len()..]
            .trim_end_matches('|')
            .split('|')
            .map(|cell| cell.trim().to_owned())
            .collect::<Vec<_>>()
    };
    for (act, rules) in TABLE {
        let words = rules.map(|rule| match rule {
            Rule::Yes => "yes",
            Rule::No => "no",
            Rule::Agreed => "yes*",
            Rule::UntilLapse => "lapse",
        });
        assert_eq!(row(&act), words, "{act:?}");
    }
    assert_eq!(
        note.lines()
            .filter(|line| line.starts_with("| Halt |"))
            .count(),
        1
    );
    assert_eq!(rule(Act::Promote, State::Whole, true), Rule::No);
}

#[test]
fn states_by_heads() {
    let cases = [
        // of, heard, suspect, left
        ((1, 1, 0, 0), State::Whole),
        ((2, 1, 0, 0), State::Alone),
        ((2, 1, 1, 0), State::Minority),
        ((3, 1, 0, 2), State::Alone),
        ((3, 2, 1, 0), State::Whole),
        ((3, 2, 0, 0), State::Degraded),
        ((3, 2, 0, 1), State::Whole),
        ((4, 2, 0, 0), State::Minority),
        ((4, 2, 2, 0), State::Minority),
        ((4, 3, 0, 0), State::Degraded),
        ((5, 2, 0, 3), State::Minority),
    ];
    for ((of, heard, suspect, left), state) in cases {
        let heads = Heads {
            of,
            heard,
            suspect,
            left,
            me: true,
        };
        assert_eq!(heads.state(), state, "{heads:?}");
    }
}

#[test]
fn join_leave_and_return_under_the_same_name() {
    let mut fleet = Fleet::new(5, 1);
    fleet.run(ms(5000));
    assert!((0..5).all(|who| state(&fleet, who) == State::Whole));
    fleet.tell(4, Event::Leave);
    assert_eq!(allowed(&fleet, 4, Act::Promote), Err(Denied::Left));
    fleet.kill(4);
    fleet.run(ms(7000));
    assert!((0..4)
        .all(|who| fleet.status(who, 4) == Status::Left && state(&fleet, who) == State::Whole));
    fleet.changes.clear();
    fleet.start(4);
    fleet.run(ms(8000));
    assert!((0..4).all(|who| fleet.status(who, 4) == Status::Alive));
    // A later start replaces the former at once: nobody calls it down in between.
    fleet.changes.clear();
    fleet.start(3);
    fleet.run(ms(10_000));
    assert!(fleet
        .changes
        .iter()
        .all(|(.., of, status)| *of != 3 || *status == Status::Alive));
    let (core, now) = fleet.core(0);
    let start = fleet.processes[3].as_ref().unwrap().start;
    assert_eq!(
        core.view(now)
            .members
            .iter()
            .find(|member| member.name == "p3")
            .unwrap()
            .start,
        Some(start)
    );
    // What the earlier process sent is dropped.
    fleet.tell(
        0,
        Event::Heard {
            from: "p3",
            start: start - 1,
            bytes: &[1, 2, 3],
        },
    );
    let (core, now) = fleet.core(0);
    assert_eq!(
        (
            core.view(now).counts.earlier,
            core.view(now).counts.malformed
        ),
        (1, 0)
    );
}

#[test]
fn cuts_say_what_the_note_says() {
    // One way: A (0) hears nothing of B (1).
    let mut fleet = Fleet::new(5, 2);
    fleet.run(ms(4000));
    fleet.cut.insert((1, 0));
    fleet.run(ms(14_000));
    assert!(fleet.status(0, 1) != Status::Down && fleet.status(1, 0) != Status::Down);
    assert!(!direct(&fleet, 0, 1) && direct(&fleet, 1, 0));

    // A chain: 0 and 2 hear nothing of each other, 1 hears both.
    let mut fleet = Fleet::new(3, 3);
    fleet.run(ms(4000));
    fleet.cut.extend([(0, 2), (2, 0)]);
    fleet.run(ms(14_000));
    assert!(fleet.status(0, 2) != Status::Down && fleet.status(2, 0) != Status::Down);
    assert!(
        !direct(&fleet, 0, 2)
            && !direct(&fleet, 2, 0)
            && direct(&fleet, 1, 0)
            && direct(&fleet, 0, 1)
    );

    type Split = (usize, fn(usize) -> usize, &'static [State]);
    let splits: [Split; 4] = [
        (6, |who| who % 2, &[State::Minority; 6]),
        (
            5,
            |who| usize::from(who < 2),
            &[
                State::Minority,
                State::Minority,
                State::Degraded,
                State::Degraded,
            ],
        ),
        (6, |who| who % 3, &[State::Minority; 6]),
        (
            4,
            |who| usize::from(who == 0),
            &[
                State::Alone,
                State::Degraded,
                State::Degraded,
                State::Degraded,
            ],
        ),
    ];
    for (size, group, states) in splits {
        let mut fleet = Fleet::new(size, 4);
        fleet.run(ms(4000));
        fleet.split(group);
        fleet.run(ms(10_000));
        for (who, wanted) in states.iter().enumerate() {
            assert_eq!(state(&fleet, who), *wanted, "{size} members, p{who}");
            let may = allowed(&fleet, who, Act::Promote).is_ok();
            assert_eq!(may, *wanted >= State::Degraded);
            assert_eq!(allowed(&fleet, who, Act::Halt), Ok(()));
        }
    }
}

#[test]
fn a_paused_process_doubts_itself_and_calls_nobody_dead() {
    for pause in [600, 3000, 60_000] {
        let mut fleet = Fleet::new(5, 5);
        fleet.run(ms(5000));
        assert_eq!(allowed(&fleet, 0, Act::Promote), Ok(()));
        fleet.paused[0] = ms(5000 + pause);
        fleet.run(ms(5000 + pause - 1));
        // It may be asked before it handles anything.
        assert_eq!(allowed(&fleet, 0, Act::Promote), Err(Denied::Doubting));
        assert_eq!(allowed(&fleet, 0, Act::Repay), Ok(()));
        fleet.changes.clear();
        fleet.run(ms(5000 + pause + 1900));
        assert_eq!(allowed(&fleet, 0, Act::Lend), Err(Denied::Doubting));
        assert_eq!(state(&fleet, 0), State::Degraded);
        fleet.run(ms(5000 + pause + 4000));
        assert!(fleet
            .changes
            .iter()
            .all(|(_, at, _, status)| *at != 0 || *status != Status::Down));
        assert_eq!(allowed(&fleet, 0, Act::Promote), Ok(()), "after {pause} ms");
        assert!((1..5).all(|who| state(&fleet, who) == State::Whole));
    }
}

#[test]
fn a_doubter_that_hears_nobody_goes_on_doubting() {
    let mut fleet = Fleet::new(5, 6);
    fleet.run(ms(5000));
    fleet.paused[0] = ms(8000);
    fleet.run(ms(7000));
    fleet.split(|who| usize::from(who == 0));
    fleet.run(ms(20_000));
    assert_eq!(allowed(&fleet, 0, Act::Lend), Err(Denied::Doubting));
    assert_eq!(state(&fleet, 0), State::Alone);
}

/// Half of a fleet holds p59 for down since its earlier start; p29, which alone of that half has heard of the later one, has been
/// cut off with them. It would be a majority to itself until its probes come round to p59.
#[test]
fn one_that_is_down_elsewhere_under_an_earlier_start_is_asked() {
    for seed in 0..2 {
        let mut fleet = Fleet::new(60, seed);
        fleet.run(ms(6000));
        fleet.split(|who| usize::from(who >= 29));
        fleet.run(ms(12_000));
        fleet.start(59);
        fleet.run(ms(24_000));
        assert_eq!(state(&fleet, 29), State::Degraded);
        fleet.split(|who| usize::from(who >= 30));
        fleet.run(ms(27_000));
        assert_eq!(
            (state(&fleet, 29), fleet.status(29, 59)),
            (State::Minority, Status::Down),
            "seed {seed}"
        );
    }
}

#[test]
fn another_roster_is_noticed_and_strangers_do_not_count() {
    let mut fleet = Fleet::new(4, 7);
    fleet.run(ms(5000));
    let mut other = roster(5);
    other.version = 2;
    fleet.processes.push(None);
    fleet.paused.push(Duration::ZERO);
    fleet.changes.clear();
    for who in 0..2 {
        fleet.tell(who, Event::Roster(other.clone()));
    }
    fleet.run(ms(9000));
    for who in 0..4 {
        let (core, now) = fleet.core(who);
        let view = core.view(now);
        assert_eq!(view.roster_differs, 2, "p{who}");
        assert_eq!(
            allowed(&fleet, who, Act::Promote),
            Err(Denied::RosterDiffers(2))
        );
        assert_eq!(allowed(&fleet, who, Act::Lend), Ok(()));
        assert_eq!(view.heads.of, if who < 2 { 5 } else { 4 });
        assert!(who < 2 || view.counts.roster_differs == 2);
    }
    // A new version is no death.
    assert!(fleet
        .changes
        .iter()
        .all(|(.., status)| *status != Status::Down));
    // p4 runs, but only half of the proxies have it in their rosters: the others neither count nor kill it.
    fleet.roster = other.clone();
    fleet.start(4);
    fleet.run(ms(14_000));
    assert!(fleet.status(0, 4) == Status::Alive && fleet.status(1, 4) == Status::Alive);
    let (core, now) = fleet.core(2);
    assert!(core.view(now).counts.strangers > 0 && core.view(now).heads.of == 4);
    for who in 2..4 {
        fleet.tell(who, Event::Roster(other.clone()));
    }
    fleet.run(ms(20_000));
    assert!((0..5).all(|who| state(&fleet, who) == State::Whole));
    assert!((0..5).all(|who| allowed(&fleet, who, Act::Promote).is_ok()));
    // One fewer: it is no longer sent to, and nobody is told that it died.
    let mut fewer = roster(4);
    fewer.version = 3;
    (0..4).for_each(|who| fleet.tell(who, Event::Roster(fewer.clone())));
    fleet.kill(4);
    fleet.changes.clear();
    fleet.run(ms(24_000));
    assert!((0..4).all(|who| state(&fleet, who) == State::Whole) && fleet.changes.is_empty());
}

#[test]
fn datagrams_go_to_the_address_in_ones_own_roster() {
    let mut mine = roster(2);
    mine.members[1].address = ([127, 0, 0, 1], 9).into();
    let mut core = Core::new(Config::new("p0", 1, mine.clone()), 1).unwrap();
    let mut actions = Vec::new();
    core.handle(Duration::ZERO, Event::Start, &mut actions);
    mine.members[1].address = ([127, 0, 0, 1], 10).into();
    core.handle(ms(1), Event::Roster(mine.clone()), &mut actions);
    core.handle(ms(150), Event::Timer(u64::MAX), &mut actions);
    core.handle(ms(300), Event::Timer(u64::MAX), &mut actions);
    let sent = |action: &Action| match action {
        Action::Send { address, .. } => Some(address.port()),
        _ => None,
    };
    let ports: Vec<u16> = actions.iter().filter_map(sent).collect();
    assert!(
        ports.first() == Some(&9) && ports.last() == Some(&10),
        "{ports:?}"
    );
    // A roster without this proxy is not taken.
    actions.clear();
    mine.members.remove(0);
    core.handle(ms(301), Event::Roster(mine), &mut actions);
    assert!(actions
        .iter()
        .any(|action| matches!(action, Action::BadRoster(_))));
    assert_eq!(core.view(ms(301)).heads.of, 2);
}

#[test]
fn regions_have_a_standing_of_their_own() {
    // Regions by number modulo 3; 9 members. The group of 4 has all of region 0 and one of region 1.
    let mut fleet = Fleet::new(9, 8);
    fleet.run(ms(5000));
    fleet.split(|who| usize::from(who % 3 == 0 || who == 1));
    fleet.run(ms(12_000));
    let may = |who: usize, act, region: &str| {
        let (core, now) = fleet.core(who);
        core.allowed(now, act, Some(region)).is_ok()
    };
    assert!(may(0, Act::Lend, "r0") && !may(0, Act::Lend, "r1") && !may(0, Act::Lend, "r2"));
    assert!(!may(2, Act::Lend, "r0") && may(2, Act::Lend, "r1") && may(2, Act::Lend, "r2"));
    assert!(!may(0, Act::Promote, "r0") && may(2, Act::Promote, "r2"));
    let (core, now) = fleet.core(0);
    assert_eq!(
        core.allowed(now, Act::Lend, Some("nowhere")),
        Err(Denied::UnknownRegion("nowhere".to_owned()))
    );
}

#[test]
fn facts_spread_lapse_and_give_way_to_later_ones() {
    let mut fleet = Fleet::new(10, 9);
    fleet.loss = 0.05;
    fleet.run(ms(5000));
    let tell = |fleet: &mut Fleet, who: usize, body: &[u8], lasts| {
        fleet.tell(
            who,
            Event::Tell {
                kind: 1,
                key: b"k".to_vec(),
                body: body.to_vec(),
                lasts,
            },
        );
    };
    tell(&mut fleet, 0, b"long", ms(60_000));
    tell(&mut fleet, 1, b"other", ms(30_000));
    fleet.run(ms(8000));
    let bodies = |fleet: &Fleet, who: usize| {
        let (core, now) = fleet.core(who);
        let mut bodies: Vec<_> = core
            .facts(now, 1)
            .into_iter()
            .map(|fact| fact.body)
            .collect();
        bodies.sort();
        bodies
    };
    for who in 2..10 {
        assert_eq!(bodies(&fleet, who), [b"long".to_vec(), b"other".to_vec()]);
        let (core, now) = fleet.core(who);
        let age = core.facts(now, 1)[0].age;
        assert!(age <= ms(3000) && age >= ms(2800), "{age:?}");
    }
    // A short one replaces the long one while p9 hears nothing; what it replaced does not come back.
    fleet.split(|who| usize::from(who == 9));
    tell(&mut fleet, 0, b"short", ms(1000));
    fleet.run(ms(14_000));
    fleet.cut.clear();
    fleet.run(ms(20_000));
    assert!((1..10).all(|who| !bodies(&fleet, who).contains(&b"long".to_vec())));
    fleet.run(ms(36_000));
    assert!((1..10).all(|who| bodies(&fleet, who).is_empty()));
    // A process that returns hears what it said before, as another's.
    tell(&mut fleet, 3, b"before", ms(60_000));
    fleet.run(ms(39_000));
    fleet.start(3);
    fleet.run(ms(43_000));
    assert_eq!(bodies(&fleet, 3), [b"before".to_vec()]);
    tell(&mut fleet, 3, b"after", ms(60_000));
    fleet.run(ms(46_000));
    assert!(bodies(&fleet, 3).is_empty() && bodies(&fleet, 4) == [b"after".to_vec()]);
}

#[test]
fn what_does_not_fit_waits_and_no_source_is_left_out() {
    let mut fleet = Fleet::new(30, 2);
    fleet.run(ms(5000));
    for second in 0..6 {
        for (who, key) in (0..30).flat_map(|who| [(who, 0), (who, 1)]) {
            let body = vec![second; 500];
            fleet.tell(
                who,
                Event::Tell {
                    kind: 1,
                    key: vec![key],
                    body,
                    lasts: ms(60_000),
                },
            );
        }
        fleet.run(fleet.now + ms(1000));
    }
    let (core, now) = fleet.core(29);
    let facts = core.facts(now, 1);
    let oldest = facts.iter().map(|fact| fact.age).max().unwrap();
    assert!(
        facts.len() == 58 && oldest < ms(3000),
        "{} {oldest:?}",
        facts.len()
    );
}

#[test]
fn the_pace_of_facts_keeps_what_is_heard_even() {
    let (second, minute) = (ms(1000), ms(60_000));
    let each =
        [1, 5, 50, 100, 500, 5000].map(|members| pace(members, 1, second, minute).as_millis());
    assert_eq!(each, [1000, 1000, 1000, 2000, 10_000, 20_000]);
    assert_eq!(pace(100, 2, second, minute), ms(4000));
    assert_eq!(pace(usize::MAX, usize::MAX, ms(30_000), minute), ms(30_000));
}

/// By a clock that was set back it starts behind what others know of its name: it is heard again, and what it says counts.
#[test]
fn one_whose_clock_was_set_back_goes_on_under_a_later_start() {
    for at_once in [false, true] {
        let mut fleet = Fleet::new(5, 3);
        let say = |fleet: &mut Fleet, body: &[u8]| {
            let (key, body, lasts) = (b"k".to_vec(), body.to_vec(), ms(600_000));
            fleet.tell(
                0,
                Event::Tell {
                    kind: 1,
                    key,
                    body,
                    lasts,
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
        assert!((0..5).all(|who| state(&fleet, who) == State::Whole));
        for who in 1..5 {
            let (core, now) = fleet.core(who);
            let said: Vec<_> = core
                .facts(now, 1)
                .into_iter()
                .map(|fact| (fact.start, fact.body))
                .collect();
            assert_eq!(said, [(start, b"of this one".to_vec())]);
            assert_eq!(core.view(now).counts.errors, 0);
        }
        let (core, now) = fleet.core(0);
        assert_eq!(core.view(now).counts.renewals, 1);
        assert!(core.allowed(now, Act::Promote, None).is_ok() && core.facts(now, 1).is_empty());
    }
}

/// Of two processes of one name the one at its address stays: they do not drive each other on.
#[test]
fn two_of_one_name_do_not_drive_each_other_on() {
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
                        Event::Heard {
                            from: "p0",
                            start: twin,
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
    assert!(core.start() > twin, "{}", core.start());
    assert_eq!((core.view(now).counts.renewals, other.start()), (1, twin));
    assert!((1..4).all(|who| fleet.status(who, 0) == Status::Alive));
}

/// A member that says that this one ran in the far future does not take its numbers away for good.
#[test]
fn a_start_beyond_all_clocks_is_not_believed() {
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
                let start = from.start();
                for action in actions {
                    if let membership::Action::Send {
                        to: whom, bytes, ..
                    } = action
                    {
                        if whom == "p0" || whom == "p2" {
                            to.handle(
                                ms(at),
                                Event::Heard {
                                    from: name,
                                    start,
                                    bytes: &bytes,
                                },
                                &mut Vec::new(),
                            );
                            if name == "p2" {
                                fleet.tell(
                                    0,
                                    Event::Heard {
                                        from: name,
                                        start,
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
    assert!(core.view(now).counts.renewals_spent > 0);
    assert_eq!((core.start(), core.view(now).counts.renewals), (before, 0));
}
