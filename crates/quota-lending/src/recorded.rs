//! Bodies and a file as a build of the first version wrote them, and what comes of those of a later one.

use crate::balances::{self, Balances};
use crate::identity::{self, AccountId};
use crate::messages::{
    self, BootstrapMembers, Heartbeat, OwnershipClaim, PublishedBalances, PublishedVote, Sender,
    Vote, WitnessedTransfers,
};
use crate::stored_state::{BadFile, StoredState};
use crate::{Action, Config, Event, Lender, Notice};
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

fn id(name: u32, from: u64) -> AccountId {
    AccountId {
        owner: name,
        incarnation: from,
    }
}

fn head() -> Sender {
    Sender {
        bootstrap_digest: 0x0123_4567_89ab_cdef,
        state_incarnation: 1_800_000_000_001,
        account_incarnation: 1_800_000_000_002,
        incarnation: 1_800_000_000_003,
    }
}

fn row() -> Balances {
    Balances {
        credit_limit: 4_000,
        lent: 900,
        repaid: 300,
        written_off: 200,
        demand: 150,
        taken_over: 1 << 20,
        sent: [(id(7, 8), 129)].into(),
    }
}

fn vote() -> Vote {
    Vote {
        to: id(5, 6),
        sent: [(DEPOT, 300.into())].into(),
    }
}

#[test]
fn facts_of_the_first_version_are_read_for_good() {
    let head = head();
    let pulse = Heartbeat {
        sender: head,
        quarantine_over: true,
        number: 700,
        bootstrap_echoes: vec![(2, 0xffff_fff0)],
        other_echoes: vec![(id(7, 8), 9)],
    };
    assert_eq!(messages::decode(&recorded("pulse")), Some(pulse));
    let founded = BootstrapMembers {
        sender: head,
        least_incarnation: 1_800_000_000_000,
        members: vec![(N0, 1_800_000_000_001), (N1, 1_800_000_000_002)],
    };
    assert_eq!(messages::decode(&recorded("founded")), Some(founded));
    assert_eq!(
        messages::decode(&recorded("row")),
        Some(PublishedBalances {
            sender: head,
            balances: row()
        })
    );
    let witness = WitnessedTransfers {
        sender: head,
        bootstrap_members: vec![(1, 129.into())],
        others: vec![(id(7, 8), 65_536.into())],
    };
    assert_eq!(messages::decode(&recorded("witness")), Some(witness));
    assert_eq!(
        messages::decode(&recorded("claim")),
        Some(OwnershipClaim {
            sender: head,
            account: id(7, 8)
        })
    );
    assert_eq!(
        messages::decode(&recorded("vote")),
        Some(PublishedVote {
            sender: head,
            account: id(7, 8),
            vote: vote()
        })
    );
}

/// Numbers of names and of beats, hashes of founders, and kinds are all said to others: they are of the form too.
#[test]
fn numbers_of_the_first_version_are_the_same_for_good() {
    assert_eq!(
        (
            identity::name_number("depot"),
            identity::name_number("n0"),
            identity::name_number("n1")
        ),
        (DEPOT, N0, N1)
    );
    assert_eq!(
        (
            messages::heartbeat_mark(1_800_000_000_003, 700),
            identity::bootstrap_digest(&[id(1, 2), id(7, 8)])
        ),
        (0x09ec_2fa4, 0x2091_4f51_87eb_e21d)
    );
    let kinds = [
        messages::HEARTBEAT,
        messages::BOOTSTRAP_MEMBERS,
        messages::BALANCES,
        messages::WITNESS,
        messages::CLAIM,
        messages::VOTE,
    ];
    assert_eq!(
        (kinds, balances::TOTAL_SHARES),
        ([64, 65, 66, 67, 68, 69], 1 << 30)
    );
}

#[test]
fn a_file_of_the_first_version_is_read_for_good() {
    let kept = StoredState {
        state_incarnation: 1_800_000_000_001,
        account_incarnation: 1_800_000_000_002,
        bootstrap_members: vec![id(1, 2), id(7, 8)],
        votes: [(id(7, 8), vote())].into(),
        witnessed: [((id(1, 2), DEPOT), 300.into())].into(),
        confirmed: [((id(1, 2), DEPOT), [(id(7, 8), 200)].into())].into(),
        taken_over: [(id(7, 8), [(DEPOT, 301.into())].into())].into(),
        balances: [(DEPOT, row())].into(),
    };
    assert_eq!(StoredState::decode("n0", &recorded("file")), Ok(kept));
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
    assert_eq!(StoredState::decode("n0", &file), Err(BadFile::Version));
    let mut actions = Vec::new();
    Lender::new(&Config::new("n0", 9, true), Duration::ZERO, Some(&file)).handle(
        Duration::ZERO,
        Event::Timer(0),
        &mut actions,
    );
    assert!(
        actions.contains(&Action::Notice(Notice::BadFile(BadFile::Version))),
        "{actions:?}"
    );
}

/// What is said in a later version, or with more behind it, is counted and not heard: what a lender does is what it does without.
#[test]
fn facts_of_a_later_version_change_nothing() {
    let bodies = ["pulse", "founded", "row", "witness", "claim", "vote"];
    let play = |change: Option<fn(&mut Vec<u8>)>| {
        let mut lender = Lender::new(&Config::new("n0", 9, true), Duration::ZERO, None);
        let mut actions = Vec::new();
        for (name, kind) in bodies
            .into_iter()
            .zip(messages::HEARTBEAT..)
            .filter(|_| change.is_some())
        {
            let mut body = recorded(name);
            change.into_iter().for_each(|change| change(&mut body));
            let key = DEPOT.to_le_bytes();
            let (start, age) = (head().incarnation, Duration::ZERO);
            let fact = Event::Message {
                source: "n1",
                incarnation: start,
                kind,
                key: &key,
                body: &body,
                age,
            };
            lender.handle(Duration::ZERO, fact, &mut actions);
        }
        lender.handle(Duration::from_secs(1), Event::Timer(0), &mut actions);
        (actions, lender.malformed())
    };
    let (without, none) = play(None);
    assert_eq!(none, 0);
    assert_eq!(play(Some(|body| body[0] += 1)), (without.clone(), 6));
    assert_eq!(play(Some(|body| body.push(0))), (without.clone(), 6));
    let (heard, none) = play(Some(|_| {}));
    assert_ne!(heard, without, "the same of the first version is heard");
    assert_eq!(none, 0);
}
