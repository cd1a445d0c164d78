//! Model check (stateright) of the quorum states of four members: partitions come and go, and each member learns of them at its
//! own time, at most one moment late. A larger model (six partitions, six moments) held as well, in 407 s.

use std::time::Duration;

use membership::{permission, GuardedOperation, MemberCounts, Permission, QuorumTracker};
use stateright::{Checker, Model, Property};

const MEMBERS: usize = 4;
/// Moments that a majority has to hold, and after which a partition is detected.
const HOLD: u8 = 1;
const KNOWN: u8 = 1;
const LAST_MOMENT: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u8,
    /// The group of each member, and since when.
    groups: [u8; MEMBERS],
    since: u8,
    /// The groups that each member last learned of.
    learned: [[u8; MEMBERS]; MEMBERS],
    standing: [QuorumTracker; MEMBERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Cut([u8; MEMBERS]),
    Learn(usize),
    Tick,
}

/// `half`: a planted fault: half of the fleet counts as a majority.
struct Fleet {
    half: bool,
}

impl Fleet {
    fn may(&self, standing: &QuorumTracker) -> bool {
        let half = self.half && standing.counts.alive * 2 >= MEMBERS;
        half || permission(GuardedOperation::Promote, standing.state, false)
            == Permission::IfRosterAgreed
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let groups = [0; MEMBERS];
        let standing = [QuorumTracker::default(); MEMBERS];
        vec![World {
            now: 0,
            groups,
            since: 0,
            learned: [groups; MEMBERS],
            standing,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let cuts = [[0, 0, 0, 0], [0, 0, 0, 1], [0, 0, 1, 1]];
        steps.extend(
            cuts.into_iter()
                .filter(|cut| *cut != world.groups)
                .map(Step::Cut),
        );
        let behind = |who: &usize| world.learned[*who] != world.groups;
        steps.extend((0..MEMBERS).filter(behind).map(Step::Learn));
        // Time goes on only while nobody is behind for longer than the bound.
        if world.now < LAST_MOMENT
            && (world.now < world.since + KNOWN || !(0..MEMBERS).any(|who| behind(&who)))
        {
            steps.push(Step::Tick);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Cut(groups) => (next.groups, next.since) = (groups, world.now),
            Step::Learn(who) => next.learned[who] = world.groups,
            Step::Tick => next.now += 1,
        }
        for who in 0..MEMBERS {
            let mine = next.learned[who][who];
            let heard = next.learned[who]
                .iter()
                .filter(|group| **group == mine)
                .count();
            let heads = MemberCounts {
                total: MEMBERS,
                alive: heard,
                suspect: 0,
                left: 0,
                includes_self: true,
            };
            let (now, hold) = (
                Duration::from_secs(next.now.into()),
                Duration::from_secs(HOLD.into()),
            );
            next.standing[who].update(now, heads, hold);
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one group promotes", |model: &Self, world: &World| {
                let known = (0..MEMBERS).all(|who| world.learned[who] == world.groups);
                let may = |who: &usize| model.may(&world.standing[*who]);
                let mut groups: Vec<u8> = (0..MEMBERS)
                    .filter(may)
                    .map(|who| world.groups[who])
                    .collect();
                groups.dedup();
                groups.sort_unstable();
                groups.dedup();
                !known || groups.len() < 2
            }),
            Property::sometimes("three of four promote", |model: &Self, world: &World| {
                world.groups == [0, 0, 0, 1]
                    && world.learned[3] == world.groups
                    && model.may(&world.standing[0])
                    && !model.may(&world.standing[3])
            }),
            Property::sometimes("a majority comes back", |model: &Self, world: &World| {
                world.since > 1 && world.groups == [0; MEMBERS] && model.may(&world.standing[1])
            }),
        ]
    }
}

#[test]
fn no_order_of_events_lets_two_groups_promote() {
    let checker = Fleet { half: false }.checker().spawn_bfs().join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 1000,
        "{}",
        checker.unique_state_count()
    );
    let planted = Fleet { half: true }.checker().spawn_bfs().join();
    assert!(planted.discovery("one group promotes").is_some());
}
