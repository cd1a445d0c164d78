//! Logs and elections.

use world::group::{Action, Event, Group, Settings};

const SET: Settings =
    Settings { members: 3, ship: 10, apply: 5, give_up: 100, take_over: 200, hand_over: 50 };

fn acts(group: &mut Group, now: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    group.handle(now, event, &mut actions);
    actions
}

#[test]
fn a_replica_follows_the_log_and_falls_behind_a_long_query() {
    let mut group = Group::new(SET);
    assert_eq!((group.position(0, 1_000), group.position(1, 1_000)), (1_000, 990));
    acts(&mut group, 1_000, Event::Commit);
    // On its way until 1,010 and applied by 1,015; all before it is there.
    assert_eq!(group.position(1, 1_012), 999);
    assert_eq!(group.position(1, 1_015), 1_005);
    acts(&mut group, 1_020, Event::Hold { member: 2, span: 500 });
    acts(&mut group, 1_030, Event::Commit);
    assert_eq!((group.position(1, 1_100), group.position(2, 1_100)), (1_090, 1_029));
    assert_eq!(group.position(2, 1_600), 1_590);
}

#[test]
fn one_thread_applies_writes_one_after_the_other() {
    let mut group = Group::new(SET);
    for _ in 0..10 {
        acts(&mut group, 100, Event::Commit);
    }
    assert_eq!(group.last_commit(), 109, "no two share a time");
    // Ten of them take 50 after the first is there.
    assert_eq!(group.position(1, 110 + 49), 108);
    assert!(group.position(1, 110 + 50) >= 109);
}

#[test]
fn a_lost_primary_is_given_up_and_the_best_replica_takes_over() {
    let mut group = Group::new(SET);
    acts(&mut group, 500, Event::Hold { member: 1, span: 10_000 });
    acts(&mut group, 600, Event::Commit);
    let lost = acts(&mut group, 1_000, Event::Lose(0));
    assert_eq!(lost, [Action::Vacant, Action::DueAt(1_300)]);
    acts(&mut group, 1_100, Event::Commit);
    assert_eq!(group.last_commit(), 600, "nobody takes it");
    assert_eq!(group.position(2, 1_200), 990, "the log stands still");
    assert_eq!(acts(&mut group, 1_299, Event::Due), []);
    assert_eq!(acts(&mut group, 1_300, Event::Due), [Action::Primary(2)]);
    // The old one comes back as a replica, behind, and catches up.
    acts(&mut group, 2_000, Event::Commit);
    acts(&mut group, 2_100, Event::Return(0));
    assert!(group.position(0, 2_100) < 2_000);
    assert_eq!(group.position(0, 3_000), 2_990);
}

#[test]
fn positions_never_go_back_and_a_hand_over_is_quick() {
    let mut group = Group::new(SET);
    let mut last = [0; 3];
    for now in 1..5_000_u64 {
        match now % 700 {
            50 => _ = acts(&mut group, now, Event::HandOver),
            100 | 400 => _ = acts(&mut group, now, Event::Due),
            n if n % 7 == 0 => _ = acts(&mut group, now, Event::Commit),
            333 => _ = acts(&mut group, now, Event::Lose((now / 700 % 3) as usize)),
            600 => _ = acts(&mut group, now, Event::Return((now / 700 % 3) as usize)),
            _ => {}
        }
        for (member, before) in last.iter_mut().enumerate() {
            let position = group.position(member, now);
            assert!(
                position >= *before && position <= now,
                "member {member} at {now}: {before} -> {position}"
            );
            *before = position;
        }
    }
}

#[test]
fn a_group_without_members_takes_nothing() {
    let mut group = Group::new(Settings { members: 0, ..SET });
    assert_eq!(group.primary(), None);
    assert_eq!(acts(&mut group, 10, Event::Commit), []);
    assert_eq!(acts(&mut group, 10, Event::Lose(0)), []);
    assert_eq!(acts(&mut group, 10, Event::HandOver), []);
    assert_eq!(group.position(0, 100), 0);
    // All of them gone: nobody takes over until one is back.
    let mut group = Group::new(Settings { members: 1, ..SET });
    acts(&mut group, 10, Event::Lose(0));
    assert_eq!(acts(&mut group, 310, Event::Due), []);
    assert_eq!(acts(&mut group, 400, Event::Return(0)), [Action::DueAt(600)]);
    assert_eq!(acts(&mut group, 600, Event::Due), [Action::Primary(0)]);
}
