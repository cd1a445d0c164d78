//! Model check (stateright) of the quorum states of four members: partitions come and go, and each member detects them at
//! its own time, at most one time step late. A larger model (six partitions, six time steps) held as well, in 407 s.

use std::time::Duration;

use membership::{permission, GuardedOperation, MemberCounts, Permission, QuorumTracker};
use stateright::{Checker, Model, Property};

const MEMBERS: usize = 4;
/// Time steps for which a majority has to hold before it takes effect.
const HOLD: u8 = 1;
/// Time steps within which each member detects a partition.
const DETECTION_DELAY: u8 = 1;
const LAST_TIME: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u8,
    /// The group of each member.
    groups: [u8; MEMBERS],
    /// Time of the last change of the groups.
    since: u8,
    /// The groups that each member has detected last.
    learned: [[u8; MEMBERS]; MEMBERS],
    trackers: [QuorumTracker; MEMBERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Partition([u8; MEMBERS]),
    Learn(usize),
    Tick,
}

/// Model of the fleet. `half_is_majority` injects a fault: half of the fleet counts as a majority.
struct Fleet {
    half_is_majority: bool,
}

impl Fleet {
    fn may_promote(&self, tracker: &QuorumTracker) -> bool {
        let half_is_majority = self.half_is_majority && tracker.counts.alive * 2 >= MEMBERS;
        half_is_majority
            || permission(GuardedOperation::Promote, tracker.state, false)
                == Permission::IfRosterAgreed
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let groups = [0; MEMBERS];
        let trackers = [QuorumTracker::default(); MEMBERS];
        vec![World {
            now: 0,
            groups,
            since: 0,
            learned: [groups; MEMBERS],
            trackers,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let partitions = [[0, 0, 0, 0], [0, 0, 0, 1], [0, 0, 1, 1]];
        steps.extend(
            partitions
                .into_iter()
                .filter(|partition| *partition != world.groups)
                .map(Step::Partition),
        );
        let has_outdated_groups = |member: &usize| world.learned[*member] != world.groups;
        steps.extend((0..MEMBERS).filter(has_outdated_groups).map(Step::Learn));
        // Time advances only while no member has been unaware of the current groups for longer than the bound.
        if world.now < LAST_TIME
            && (world.now < world.since + DETECTION_DELAY
                || !(0..MEMBERS).any(|member| has_outdated_groups(&member)))
        {
            steps.push(Step::Tick);
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Partition(groups) => (next.groups, next.since) = (groups, world.now),
            Step::Learn(member) => next.learned[member] = world.groups,
            Step::Tick => next.now += 1,
        }
        for member in 0..MEMBERS {
            let own_group = next.learned[member][member];
            let alive = next.learned[member]
                .iter()
                .filter(|group| **group == own_group)
                .count();
            let counts = MemberCounts {
                total: MEMBERS,
                alive,
                suspect: 0,
                left: 0,
                includes_self: true,
            };
            let (now, hold) = (
                Duration::from_secs(next.now.into()),
                Duration::from_secs(HOLD.into()),
            );
            next.trackers[member].update(now, counts, hold);
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one group promotes", |model: &Self, world: &World| {
                let all_detected = (0..MEMBERS).all(|member| world.learned[member] == world.groups);
                let may_promote = |member: &usize| model.may_promote(&world.trackers[*member]);
                let mut groups: Vec<u8> = (0..MEMBERS)
                    .filter(may_promote)
                    .map(|member| world.groups[member])
                    .collect();
                groups.dedup();
                groups.sort_unstable();
                groups.dedup();
                !all_detected || groups.len() < 2
            }),
            Property::sometimes("three of four promote", |model: &Self, world: &World| {
                world.groups == [0, 0, 0, 1]
                    && world.learned[3] == world.groups
                    && model.may_promote(&world.trackers[0])
                    && !model.may_promote(&world.trackers[3])
            }),
            Property::sometimes("a majority comes back", |model: &Self, world: &World| {
                world.since > 1
                    && world.groups == [0; MEMBERS]
                    && model.may_promote(&world.trackers[1])
            }),
        ]
    }
}

#[test]
fn no_order_of_events_lets_two_groups_promote() {
    let checker = Fleet {
        half_is_majority: false,
    }
    .checker()
    .spawn_bfs()
    .join();
    checker.assert_properties();
    assert!(
        checker.unique_state_count() > 1000,
        "{}",
        checker.unique_state_count()
    );
    let faulty = Fleet {
        half_is_majority: true,
    }
    .checker()
    .spawn_bfs()
    .join();
    assert!(faulty.discovery("one group promotes").is_some());
}
