//! Bodies and a file as a build of the first version wrote them, and what comes of those of a later one.

use crate::file::{BadFile, Kept};
use crate::said::{self, Claim, Founded, Head, Id, Pulse, Row, SaidRow, SaidVote, Vote, Witness};
use crate::{Action, Config, Core, Event, Notice};
use sha2::{Digest, Sha256};
use std::time::Duration;

/// What these names are as numbers.
const DEPOT: u32 = 0x14ae_1a1d;
const N0: u32 = 0x0535_dd93;
const N1: u32 = 0x0435_dc00;

/// The bytes of that name.
fn recorded(name: &str) -> Vec<u8> {
    let lines = include_str!("../tests/version-1.hex").lines();
    let hex = lines
        .filter_map(|line| line.split_once(' '))
        .find(|(of, _)| *of == name);
    hex::decode(
        hex.unwrap_or_else(|| panic!("nothing is recorded as {name}"))
            .1,
    )
    .unwrap()
}

fn id(name: u32, from: u64) -> Id {
    Id { name, from }
}

fn head() -> Head {
    Head {
        founders: 0x0123_4567_89ab_cdef,
        memory: 1_800_000_000_001,
        lane: 1_800_000_000_002,
        life: 1_800_000_000_003,
    }
}

fn row() -> Row {
    Row {
        line: 4_000,
        lent: 900,
        repaid: 300,
        written_off: 200,
        demand: 150,
        took: 1 << 20,
        gave: [(id(7, 8), 129)].into(),
    }
}

fn vote() -> Vote {
    Vote {
        to: id(5, 6),
        given: [(DEPOT, 300.into())].into(),
    }
}

#[test]
fn facts_of_the_first_version_are_read_for_good() {
    let head = head();
    let pulse = Pulse {
        head,
        ripe: true,
        beat: 700,
        founders: vec![(2, 0xffff_fff0)],
        others: vec![(id(7, 8), 9)],
    };
    assert_eq!(said::decode(&recorded("pulse")), Some(pulse));
    let founded = Founded {
        head,
        least: 1_800_000_000_000,
        members: vec![(N0, 1_800_000_000_001), (N1, 1_800_000_000_002)],
    };
    assert_eq!(said::decode(&recorded("founded")), Some(founded));
    assert_eq!(
        said::decode(&recorded("row")),
        Some(SaidRow { head, row: row() })
    );
    let witness = Witness {
        head,
        founders: vec![(1, 129.into())],
        others: vec![(id(7, 8), 65_536.into())],
    };
    assert_eq!(said::decode(&recorded("witness")), Some(witness));
    assert_eq!(
        said::decode(&recorded("claim")),
        Some(Claim {
            head,
            lane: id(7, 8)
        })
    );
    assert_eq!(
        said::decode(&recorded("vote")),
        Some(SaidVote {
            head,
            lane: id(7, 8),
            vote: vote()
        })
    );
}

/// Numbers of names and of beats, hashes of founders, and kinds are all said to others: they are of the form too.
#[test]
fn numbers_of_the_first_version_are_the_same_for_good() {
    assert_eq!(
        (
            said::number("depot"),
            said::number("n0"),
            said::number("n1")
        ),
        (DEPOT, N0, N1)
    );
    assert_eq!(
        (
            said::mark(1_800_000_000_003, 700),
            said::digest(&[id(1, 2), id(7, 8)])
        ),
        (0x09ec_2fa4, 0x2091_4f51_87eb_e21d)
    );
    let kinds = [
        said::PULSE,
        said::FOUNDED,
        said::ROW,
        said::WITNESS,
        said::CLAIM,
        said::VOTE,
    ];
    assert_eq!((kinds, said::WHOLE), ([64, 65, 66, 67, 68, 69], 1 << 30));
}

#[test]
fn a_file_of_the_first_version_is_read_for_good() {
    let kept = Kept {
        memory: 1_800_000_000_001,
        lane: 1_800_000_000_002,
        founders: vec![id(1, 2), id(7, 8)],
        votes: [(id(7, 8), vote())].into(),
        seen: [((id(1, 2), DEPOT), 300.into())].into(),
        firm: [((id(1, 2), DEPOT), [(id(7, 8), 200)].into())].into(),
        taken: [(id(7, 8), [(DEPOT, 301.into())].into())].into(),
        rows: [(DEPOT, row())].into(),
    };
    assert_eq!(Kept::read("n0", &recorded("file")), Ok(kept));
}

/// As a later build would write it, with a sum that fits: no memory, and it is said why.
#[test]
fn a_file_of_a_later_version_is_no_memory() {
    let mut file = recorded("file");
    file.truncate(file.len() - 32);
    file[0] += 1;
    let sum = Sha256::new()
        .chain_update(2_u64.to_le_bytes())
        .chain_update("n0")
        .chain_update(&file);
    file.extend(sum.finalize());
    assert_eq!(Kept::read("n0", &file), Err(BadFile::Version));
    let mut actions = Vec::new();
    Core::new(&Config::new("n0", 9, true), Duration::ZERO, Some(&file)).handle(
        Duration::ZERO,
        Event::Timer(0),
        &mut actions,
    );
    assert!(
        actions.contains(&Action::Notice(Notice::BadFile(BadFile::Version))),
        "{actions:?}"
    );
}

/// What is said in a later version, or with more behind it, is counted and not heard: what a core does is what it does without.
#[test]
fn facts_of_a_later_version_change_nothing() {
    let bodies = ["pulse", "founded", "row", "witness", "claim", "vote"];
    let play = |change: Option<fn(&mut Vec<u8>)>| {
        let mut core = Core::new(&Config::new("n0", 9, true), Duration::ZERO, None);
        let mut actions = Vec::new();
        for (name, kind) in bodies
            .into_iter()
            .zip(said::PULSE..)
            .filter(|_| change.is_some())
        {
            let mut body = recorded(name);
            change.into_iter().for_each(|change| change(&mut body));
            let key = DEPOT.to_le_bytes();
            let (start, age) = (head().life, Duration::ZERO);
            let fact = Event::Fact {
                source: "n1",
                start,
                kind,
                key: &key,
                body: &body,
                age,
            };
            core.handle(Duration::ZERO, fact, &mut actions);
        }
        core.handle(Duration::from_secs(1), Event::Timer(0), &mut actions);
        (actions, core.malformed())
    };
    let (without, none) = play(None);
    assert_eq!(none, 0);
    assert_eq!(play(Some(|body| body[0] += 1)), (without.clone(), 6));
    assert_eq!(play(Some(|body| body.push(0))), (without.clone(), 6));
    let (heard, none) = play(Some(|_| {}));
    assert_ne!(heard, without, "the same of the first version is heard");
    assert_eq!(none, 0);
}
