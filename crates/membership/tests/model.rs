//! All orders of what may happen to the standings of four proxies, with stateright: links come and go between
//! groups, and each proxy takes the news of that at its own time, at most a moment late. A small world: a larger one
//! (six cuts, six moments) held as well, in 407 s.

use std::time::Duration;

use membership::{rule, Act, Heads, Rule, Standing};
use stateright::{Checker, Model, Property};

const MEMBERS: usize = 4;
/// Moments that a majority has to hold, and after which a cut is known: the bound of detection.
const HOLD: u8 = 1;
const KNOWN: u8 = 1;
const LAST: u8 = 3;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u8,
    /// In which group each is, and since when the groups are so.
    groups: [u8; MEMBERS],
    since: u8,
    /// What each believes of that, by the groups that it last learned.
    learned: [[u8; MEMBERS]; MEMBERS],
    standing: [Standing; MEMBERS],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Cut([u8; MEMBERS]),
    Learn(usize),
    Tick,
}

/// `half`: a planted fault, by which half of the fleet is enough.
struct Fleet {
    half: bool,
}

impl Fleet {
    fn may(&self, standing: &Standing) -> bool {
        let half = self.half && standing.heads.heard * 2 >= MEMBERS;
        half || rule(Act::Promote, standing.state, false) == Rule::Agreed
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let groups = [0; MEMBERS];
        let standing = [Standing::default(); MEMBERS];
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
        if world.now < LAST
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
            let heads = Heads {
                of: MEMBERS,
                heard,
                suspect: 0,
                left: 0,
                me: true,
            };
            let (now, hold) = (
                Duration::from_secs(next.now.into()),
                Duration::from_secs(HOLD.into()),
            );
            next.standing[who].step(now, heads, hold);
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
