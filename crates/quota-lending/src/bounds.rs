//! One member of the fleet that says whatever fits: what is kept of it is bounded, and none of its gifts counts twice.

use crate::core::{RECEIVERS, ROWS};
use crate::said::{
    self, digest, encode, number, Founded, Given, Head, Id, Pulse, Row, SaidRow, Witness,
};
use crate::{Action, Config, Core, Event, Notice};
use std::time::Duration;

const STAND: u32 = 7;

fn id(name: &str) -> Id {
    Id {
        name: number(name),
        from: 1,
    }
}

fn head() -> Head {
    let mut founders = ["a", "b", "c"].map(id);
    founders.sort_unstable();
    Head {
        founders: digest(&founders),
        memory: 1,
        lane: 1,
        life: 1,
    }
}

fn hear<T: serde::Serialize>(core: &mut Core, source: &str, kind: u8, body: &T) {
    let (key, body, age) = (
        STAND.to_le_bytes(),
        encode(body).expect("it fits"),
        Duration::ZERO,
    );
    let fact = Event::Fact {
        source,
        start: 1,
        kind,
        key: &key,
        body: &body,
        age,
    };
    core.handle(Duration::ZERO, fact, &mut Vec::new());
}

fn founded() -> Core {
    let mut core = Core::new(&Config::new("a", 1, false), Duration::ZERO, None);
    let mut members = ["a", "b", "c"].map(|name| (number(name), 0));
    members.sort_unstable();
    hear(
        &mut core,
        "b",
        said::FOUNDED,
        &Founded {
            head: head(),
            least: 1,
            members: members.into(),
        },
    );
    assert!(core.is_founded());
    core
}

/// A gift of 1 to each of these.
fn gifts(to: std::ops::Range<u32>) -> SaidRow {
    let gave = to.map(|name| (Id { name, from: 1 }, 1)).collect();
    SaidRow {
        head: head(),
        row: Row {
            gave,
            ..Row::default()
        },
    }
}

fn counted(core: &Core) -> usize {
    core.kept
        .firm
        .get(&(id("b"), STAND))
        .map_or(0, |gave| gave.len())
}

#[test]
fn a_row_and_what_is_seen_are_bounded() {
    let mut core = founded();
    for at in (0..40_000).step_by(40) {
        hear(&mut core, "b", said::ROW, &gifts(at..at + 20));
        let others = (at..at + 40)
            .map(|name| (Id { name, from: 1 }, 1.into()))
            .collect();
        hear(
            &mut core,
            "b",
            said::WITNESS,
            &Witness {
                head: head(),
                founders: vec![],
                others,
            },
        );
    }
    assert_eq!(core.lanes[&id("b")].rows[&STAND].0.gave.len(), 20);
    assert_eq!(core.peers[&number("b")].seen.len(), ROWS);
    assert_eq!(core.malformed(), 999);
}

/// It begins lane after lane: of it so many are kept, of others theirs, and of who is no member none.
#[test]
fn lanes_of_one_member_leave_room_for_the_others() {
    let mut core = founded();
    let (roster, mut actions) = (["a", "b", "c"].map(String::from), Vec::new());
    core.handle(
        Duration::ZERO,
        Event::View {
            lend: true,
            roster: &roster,
            members: &[],
        },
        &mut actions,
    );
    let mut say = |source: &str, lane: u64| {
        let head = Head { lane, ..head() };
        let body = encode(&Pulse {
            head,
            ripe: true,
            beat: 1,
            founders: vec![],
            others: vec![],
        })
        .unwrap();
        let (kind, key, age) = (said::PULSE, &[][..], Duration::ZERO);
        core.handle(
            age,
            Event::Fact {
                source,
                start: 1,
                kind,
                key,
                body: &body,
                age,
            },
            &mut actions,
        );
    };
    (1..=2_000).for_each(|lane| say("b", lane));
    (1..=2_000).for_each(|lane| say("stranger", lane));
    say("c", 7);
    assert!(core.lanes.contains_key(&Id { from: 7, ..id("c") }));
    assert_eq!((core.lanes.len(), core.not_kept()), (17, 3_984));
    let told = actions
        .iter()
        .filter(|action| matches!(action, Action::Notice(Notice::NotKept(..))));
    assert_eq!(told.count(), 2, "once a kind: {actions:?}");
}

/// `c` heard other gifts of the same sum, and so says that it has seen as much as this row gave.
#[test]
fn a_row_of_more_receivers_than_are_kept_is_witnessed_by_nobody() {
    let most = RECEIVERS as u32;
    let told = |core: &mut Core, given: Given| {
        let founders = (0..3).filter(|at| core.kept.founders[usize::from(*at)] == id("b"));
        let founders = founders.map(|at| (at, given)).collect();
        hear(
            core,
            "c",
            said::WITNESS,
            &Witness {
                head: head(),
                founders,
                others: vec![],
            },
        );
    };
    let mut honest = founded();
    hear(&mut honest, "b", said::ROW, &gifts(0..most));
    told(&mut honest, u64::from(most).into());
    assert_eq!(
        counted(&honest),
        RECEIVERS,
        "giver and one more are two of three"
    );
    assert_eq!(honest.malformed(), 0);

    let mut core = founded();
    hear(&mut core, "b", said::ROW, &gifts(0..most + 1));
    assert_eq!((counted(&core), core.malformed()), (0, 1));
    assert_eq!(
        core.kept.seen[&(id("b"), STAND)],
        Given::UNTRUE,
        "nothing of it is left to who takes the lane over"
    );
    hear(&mut core, "b", said::ROW, &gifts(100..100 + most));
    told(&mut core, Given::UNTRUE);
    assert_eq!(
        counted(&core),
        0,
        "its other gifts don't count by what was seen of these"
    );
}
