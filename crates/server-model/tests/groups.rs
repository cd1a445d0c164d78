//! Replication and elections of a group.

use server_model::group::{Action, Event, Group, Settings};

const SETTINGS: Settings = Settings {
    members: 3,
    ship: 10,
    apply: 5,
    give_up: 100,
    take_over: 200,
    hand_over: 50,
    quorum: true,
};

fn handle(group: &mut Group, now: u64, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    group.handle(now, event, &mut actions);
    actions
}

#[test]
fn a_replica_follows_the_log_and_falls_behind_a_long_query() {
    let mut group = Group::new(SETTINGS);
    assert_eq!(
        (group.position(0, 1_000), group.position(1, 1_000)),
        (1_000, 990)
    );
    handle(&mut group, 1_000, Event::Commit(0));
    // The commit arrives at 1,010 and is applied at 1,015; all earlier commits are applied.
    assert_eq!(group.position(1, 1_012), 999);
    assert_eq!(group.position(1, 1_015), 1_005);
    handle(
        &mut group,
        1_020,
        Event::Hold {
            member: 2,
            span: 500,
        },
    );
    handle(&mut group, 1_030, Event::Commit(0));
    assert_eq!(
        (group.position(1, 1_100), group.position(2, 1_100)),
        (1_090, 1_029)
    );
    assert_eq!(group.position(2, 1_600), 1_590);
}

#[test]
fn one_thread_applies_writes_one_after_the_other() {
    let mut group = Group::new(SETTINGS);
    for _ in 0..10 {
        handle(&mut group, 100, Event::Commit(0));
    }
    assert_eq!(group.last_commit(), 109, "commit times are unique");
    // Ten commits take 50 after the arrival of the first.
    assert_eq!(group.position(1, 110 + 49), 108);
    assert!(group.position(1, 110 + 50) >= 109);
}

#[test]
fn a_lost_primary_is_given_up_and_the_best_replica_takes_over() {
    let mut group = Group::new(SETTINGS);
    handle(
        &mut group,
        500,
        Event::Hold {
            member: 1,
            span: 10_000,
        },
    );
    handle(&mut group, 600, Event::Commit(0));
    let lost = handle(&mut group, 1_000, Event::Lose(0));
    assert_eq!(lost, [Action::Vacant, Action::DueAt(1_300)]);
    handle(&mut group, 1_100, Event::Commit(0));
    assert_eq!(
        group.last_commit(),
        600,
        "a group without a primary takes no commit"
    );
    assert_eq!(
        group.position(2, 1_200),
        990,
        "the log does not advance without a primary"
    );
    assert_eq!(handle(&mut group, 1_299, Event::Due), []);
    assert_eq!(handle(&mut group, 1_300, Event::Due), [Action::Primary(2)]);
    // The old primary returns as a replica, is behind and catches up.
    handle(&mut group, 2_000, Event::Commit(2));
    handle(&mut group, 2_100, Event::Return(0));
    assert!(group.position(0, 2_100) < 2_000);
    assert_eq!(group.position(0, 3_000), 2_990);
}

#[test]
fn positions_never_go_back_and_a_hand_over_is_quick() {
    let mut group = Group::new(SETTINGS);
    let mut last = [0; 3];
    for now in 1..5_000_u64 {
        match now % 700 {
            50 => _ = handle(&mut group, now, Event::Leave((now / 700 % 3) as usize)),
            200 => _ = handle(&mut group, now, Event::Split(&[(now / 700 % 3) as usize])),
            500 => _ = handle(&mut group, now, Event::Meet),
            100 | 400 => _ = handle(&mut group, now, Event::Due),
            n if n % 7 == 0 => {
                (0..3).for_each(|member| _ = handle(&mut group, now, Event::Commit(member)))
            }
            250 => _ = handle(&mut group, now, Event::Silence((now / 700 % 3) as usize)),
            333 => _ = handle(&mut group, now, Event::Lose((now / 700 % 3) as usize)),
            600 => _ = handle(&mut group, now, Event::Return((now / 700 % 3) as usize)),
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
    let mut group = Group::new(Settings {
        members: 0,
        ..SETTINGS
    });
    assert_eq!(group.primary(), None);
    assert_eq!(handle(&mut group, 10, Event::Commit(0)), []);
    assert_eq!(handle(&mut group, 10, Event::Lose(0)), []);
    assert_eq!(handle(&mut group, 10, Event::Leave(0)), []);
    assert_eq!(group.position(0, 100), 0);
    // With all members gone, there is no primary until one returns.
    let mut group = Group::new(Settings {
        members: 1,
        ..SETTINGS
    });
    handle(&mut group, 10, Event::Lose(0));
    assert_eq!(handle(&mut group, 310, Event::Due), []);
    assert_eq!(
        handle(&mut group, 400, Event::Return(0)),
        [Action::DueAt(600)]
    );
    assert_eq!(handle(&mut group, 600, Event::Due), [Action::Primary(0)]);
}

#[test]
fn a_new_member_catches_up_from_its_copy() {
    let mut group = Group::new(SETTINGS);
    for at in (1_000..5_000).step_by(100) {
        handle(&mut group, at, Event::Commit(0));
    }
    handle(&mut group, 5_000, Event::Join { copy_age: 2_500 });
    assert_eq!(group.members(), 4);
    assert!(group.position(3, 5_001) <= 4_899);
    assert!(group.position(3, 5_001) < group.position(1, 5_001));
    assert_eq!(group.position(3, 6_000), 5_990);
    // The new member is eligible like any other.
    (0..3).for_each(|member| _ = handle(&mut group, 6_000, Event::Lose(member)));
    assert_eq!(handle(&mut group, 6_300, Event::Due), [Action::Primary(3)]);
}

#[test]
fn a_member_that_leaves_hands_over_and_takes_no_role() {
    let mut group = Group::new(SETTINGS);
    assert_eq!(
        handle(&mut group, 100, Event::Leave(0)),
        [Action::Vacant, Action::DueAt(150)]
    );
    assert_eq!(handle(&mut group, 150, Event::Due), [Action::Primary(1)]);
    handle(&mut group, 200, Event::Leave(2));
    handle(&mut group, 200, Event::Lose(1));
    assert_eq!(
        handle(&mut group, 500, Event::Due),
        [],
        "the remaining members are leaving and not eligible"
    );
    assert_eq!(group.primary(), None);
    // After a restart it is eligible again.
    handle(&mut group, 600, Event::Lose(2));
    assert_eq!(
        handle(&mut group, 700, Event::Return(2)),
        [Action::DueAt(900)]
    );
    assert_eq!(handle(&mut group, 900, Event::Due), [Action::Primary(2)]);
}

/// With a quorum, the primary on the minority side steps down before the other side elects one; only the commits that
/// it took in the meantime are lost.
#[test]
fn with_a_quorum_the_lesser_side_steps_down() {
    let mut group = Group::new(SETTINGS);
    assert_eq!(
        handle(&mut group, 1_000, Event::Split(&[0])),
        [Action::DueAt(1_300), Action::DueAt(1_100)]
    );
    handle(&mut group, 1_050, Event::Commit(0));
    assert!(group.is_primary(0));
    assert_eq!(
        group.position(1, 1_050),
        990,
        "the log of the side without a primary does not advance"
    );
    assert!(handle(&mut group, 1_100, Event::Due).contains(&Action::Vacant));
    assert!(!group.is_primary(0) && group.primary().is_none());
    assert_eq!(handle(&mut group, 1_300, Event::Due), [Action::Primary(1)]);
    assert!(
        handle(&mut group, 1_400, Event::Due).is_empty(),
        "no primary is elected without a quorum"
    );
    handle(&mut group, 2_000, Event::Meet);
    assert_eq!((group.primary(), group.is_primary(0)), (Some(1), false));
    assert_eq!(group.position(0, 3_000), 2_990);
}

#[test]
fn without_a_quorum_both_sides_have_one_until_they_meet() {
    let mut group = Group::new(Settings {
        quorum: false,
        ..SETTINGS
    });
    handle(&mut group, 1_000, Event::Split(&[1, 2]));
    assert_eq!(handle(&mut group, 1_300, Event::Due), [Action::Primary(1)]);
    assert!(group.is_primary(0) && group.is_primary(1));
    assert_eq!(group.primary(), Some(1), "the primary elected last");
    handle(&mut group, 1_500, Event::Commit(0));
    handle(&mut group, 1_600, Event::Commit(1));
    assert_eq!(group.position(2, 1_700), 1_690);
    assert_eq!(
        handle(&mut group, 2_000, Event::Meet),
        [Action::Lost {
            member: 0,
            after: 1_000
        }]
    );
    assert!(!group.is_primary(0) && group.is_primary(1));
    // An older primary without commits since the split loses nothing.
    let mut group = Group::new(Settings {
        quorum: false,
        ..SETTINGS
    });
    handle(&mut group, 1_000, Event::Split(&[1, 2]));
    handle(&mut group, 1_300, Event::Due);
    assert_eq!(handle(&mut group, 2_000, Event::Meet), []);
}

/// Commits of a silent primary are lost when it is replaced, and shipped if it recovers before.
#[test]
fn a_silent_primary_keeps_its_role_until_it_is_given_up() {
    let mut group = Group::new(SETTINGS);
    assert_eq!(
        handle(&mut group, 1_000, Event::Silence(0)),
        [Action::DueAt(1_100)]
    );
    handle(&mut group, 1_050, Event::Commit(0));
    assert!(group.is_primary(0));
    assert_eq!(
        group.position(1, 1_090),
        990,
        "commits of a silent primary are not shipped"
    );
    let given_up = handle(&mut group, 1_100, Event::Due);
    assert_eq!(
        given_up,
        [
            Action::Vacant,
            Action::DueAt(1_300),
            Action::Lost {
                member: 0,
                after: 1_000
            }
        ]
    );
    assert_eq!(handle(&mut group, 1_300, Event::Due), [Action::Primary(1)]);
    handle(&mut group, 1_400, Event::Return(0));
    assert_eq!((group.primary(), group.is_primary(0)), (Some(1), false));

    let mut group = Group::new(SETTINGS);
    handle(&mut group, 1_000, Event::Silence(0));
    handle(&mut group, 1_050, Event::Commit(0));
    assert_eq!(handle(&mut group, 1_060, Event::Return(0)), []);
    assert_eq!(
        group.position(1, 1_100),
        1_090,
        "the commit is shipped after the recovery"
    );
    assert_eq!(handle(&mut group, 1_100, Event::Due), []);
    assert_eq!(group.primary(), Some(0));
}
