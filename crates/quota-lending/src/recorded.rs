//! Message bodies and a state file recorded from a build with format version 1 must stay readable; those of a later version are
//! rejected.

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

/// Numbers of the names `depot`, `n0` and `n1`.
const DEPOT: u32 = 0x14ae_1a1d;
const N0: u32 = 0x0535_dd93;
const N1: u32 = 0x0435_dc00;

/// Recorded bytes of a message or file, by name.
fn recorded(name: &str) -> Vec<u8> {
    let lines = include_str!("../tests/version-1.hex").lines();
    let hex = lines
        .filter_map(|line| line.split_once(' '))
        .find(|(of, _)| *of == name);
    hex::decode(
        hex.unwrap_or_else(|| panic!("version-1.hex has no entry {name}"))
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

fn sender() -> Sender {
    Sender {
        bootstrap_digest: 0x0123_4567_89ab_cdef,
        state_incarnation: 1_800_000_000_001,
        account_incarnation: 1_800_000_000_002,
        incarnation: 1_800_000_000_003,
    }
}

fn balances() -> Balances {
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
fn messages_of_the_first_version_are_decoded() {
    let message_sender = sender();
    let heartbeat = Heartbeat {
        sender: message_sender,
        quarantine_over: true,
        number: 700,
        bootstrap_echoes: vec![(2, 0xffff_fff0)],
        other_echoes: vec![(id(7, 8), 9)],
    };
    assert_eq!(messages::decode(&recorded("pulse")), Some(heartbeat));
    let bootstrap_members = BootstrapMembers {
        sender: message_sender,
        least_incarnation: 1_800_000_000_000,
        members: vec![(N0, 1_800_000_000_001), (N1, 1_800_000_000_002)],
    };
    assert_eq!(
        messages::decode(&recorded("founded")),
        Some(bootstrap_members)
    );
    assert_eq!(
        messages::decode(&recorded("row")),
        Some(PublishedBalances {
            sender: message_sender,
            balances: balances()
        })
    );
    let witness = WitnessedTransfers {
        sender: message_sender,
        bootstrap_members: vec![(1, 129.into())],
        others: vec![(id(7, 8), 65_536.into())],
    };
    assert_eq!(messages::decode(&recorded("witness")), Some(witness));
    assert_eq!(
        messages::decode(&recorded("claim")),
        Some(OwnershipClaim {
            sender: message_sender,
            account: id(7, 8)
        })
    );
    assert_eq!(
        messages::decode(&recorded("vote")),
        Some(PublishedVote {
            sender: message_sender,
            account: id(7, 8),
            vote: vote()
        })
    );
}

/// Numbers of names, heartbeat marks, digests of bootstrap members and message kinds are published to other proxies and thus
/// part of the message format.
#[test]
fn hashes_and_kinds_of_the_first_version_are_unchanged() {
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
fn a_file_of_the_first_version_is_decoded() {
    let state = StoredState {
        state_incarnation: 1_800_000_000_001,
        account_incarnation: 1_800_000_000_002,
        bootstrap_members: vec![id(1, 2), id(7, 8)],
        votes: [(id(7, 8), vote())].into(),
        witnessed: [((id(1, 2), DEPOT), 300.into())].into(),
        confirmed: [((id(1, 2), DEPOT), [(id(7, 8), 200)].into())].into(),
        taken_over: [(id(7, 8), [(DEPOT, 301.into())].into())].into(),
        balances: [(DEPOT, balances())].into(),
    };
    assert_eq!(StoredState::decode("n0", &recorded("file")), Ok(state));
}

/// A file with a later format version and a correct checksum is rejected, and a notice reports the reason.
#[test]
fn a_file_of_a_later_version_is_rejected() {
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

/// Messages of a later format version, or with trailing bytes, are counted as malformed and have no other effect.
#[test]
fn messages_of_a_later_version_change_nothing() {
    let bodies = ["pulse", "founded", "row", "witness", "claim", "vote"];
    let run = |change: Option<fn(&mut Vec<u8>)>| {
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
            let (start, age) = (sender().incarnation, Duration::ZERO);
            let message = Event::Message {
                source: "n1",
                incarnation: start,
                kind,
                key: &key,
                body: &body,
                age,
            };
            lender.handle(Duration::ZERO, message, &mut actions);
        }
        lender.handle(Duration::from_secs(1), Event::Timer(0), &mut actions);
        (actions, lender.malformed())
    };
    let (without, none) = run(None);
    assert_eq!(none, 0);
    assert_eq!(run(Some(|body| body[0] += 1)), (without.clone(), 6));
    assert_eq!(run(Some(|body| body.push(0))), (without.clone(), 6));
    let (decoded, none) = run(Some(|_| {}));
    assert_ne!(
        decoded, without,
        "the same messages of format version 1 have an effect"
    );
    assert_eq!(none, 0);
}
