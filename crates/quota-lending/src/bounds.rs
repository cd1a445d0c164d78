//! A member that publishes arbitrary valid messages: the state kept of them is bounded, and none of its transfers counts twice.

use crate::balances::{Balances, SentTotal};
use crate::identity::{bootstrap_digest, name_number, AccountId};
use crate::limits::{MAX_BALANCES, MAX_RECEIVERS};
use crate::messages::{
    self, encode, BootstrapMembers, Heartbeat, PublishedBalances, Sender, WitnessedTransfers,
};
use crate::{Action, Config, Event, Lender, Notice};
use std::time::Duration;

const TENANT: u32 = 7;

fn id(name: &str) -> AccountId {
    AccountId {
        owner: name_number(name),
        incarnation: 1,
    }
}

fn sender() -> Sender {
    let mut bootstrap_members = ["a", "b", "c"].map(id);
    bootstrap_members.sort_unstable();
    Sender {
        bootstrap_digest: bootstrap_digest(&bootstrap_members),
        state_incarnation: 1,
        account_incarnation: 1,
        incarnation: 1,
    }
}

fn receive<T: serde::Serialize>(lender: &mut Lender, source: &str, kind: u8, body: &T) {
    let (key, body, age) = (
        TENANT.to_le_bytes(),
        encode(body).expect("the body does not exceed the maximum length"),
        Duration::ZERO,
    );
    let message = Event::Message {
        source,
        incarnation: 1,
        kind,
        key: &key,
        body: &body,
        age,
    };
    lender.handle(Duration::ZERO, message, &mut Vec::new());
}

fn bootstrapped() -> Lender {
    let mut lender = Lender::new(&Config::new("a", 1, false), Duration::ZERO, None);
    let mut members = ["a", "b", "c"].map(|name| (name_number(name), 0));
    members.sort_unstable();
    receive(
        &mut lender,
        "b",
        messages::BOOTSTRAP_MEMBERS,
        &BootstrapMembers {
            sender: sender(),
            least_incarnation: 1,
            members: members.into(),
        },
    );
    assert!(lender.is_bootstrapped());
    lender
}

/// Balances with a transfer of one share to each receiver in the range.
fn transfers(to: std::ops::Range<u32>) -> PublishedBalances {
    let sent_shares = to
        .map(|name| {
            (
                AccountId {
                    owner: name,
                    incarnation: 1,
                },
                1,
            )
        })
        .collect();
    PublishedBalances {
        sender: sender(),
        balances: Balances {
            sent: sent_shares,
            ..Balances::default()
        },
    }
}

fn confirmed_receivers(lender: &Lender) -> usize {
    lender
        .state
        .confirmed
        .get(&(id("b"), TENANT))
        .map_or(0, |sent| sent.len())
}

#[test]
fn balances_and_witnessed_transfers_are_bounded() {
    let mut lender = bootstrapped();
    for at in (0..40_000).step_by(40) {
        receive(
            &mut lender,
            "b",
            messages::BALANCES,
            &transfers(at..at + 20),
        );
        let others = (at..at + 40)
            .map(|name| {
                (
                    AccountId {
                        owner: name,
                        incarnation: 1,
                    },
                    1.into(),
                )
            })
            .collect();
        receive(
            &mut lender,
            "b",
            messages::WITNESS,
            &WitnessedTransfers {
                sender: sender(),
                bootstrap_members: vec![],
                others,
            },
        );
    }
    assert_eq!(
        lender.accounts[&id("b")].balances[&TENANT]
            .balances
            .sent
            .len(),
        20
    );
    assert_eq!(
        lender.peers[&name_number("b")].witnessed.len(),
        MAX_BALANCES
    );
    assert_eq!(lender.malformed(), 999);
}

/// A member that opens a new account with each start must not fill the memory: a bounded number of its accounts is kept, the
/// accounts of other members are kept too, and none of a proxy outside the roster.
#[test]
fn accounts_of_one_member_leave_room_for_the_others() {
    let mut lender = bootstrapped();
    let (roster, mut actions) = (["a", "b", "c"].map(String::from), Vec::new());
    lender.handle(
        Duration::ZERO,
        Event::Membership {
            may_lend: true,
            roster: &roster,
            members: &[],
        },
        &mut actions,
    );
    let mut send_heartbeat = |source: &str, incarnation: u64| {
        let message_sender = Sender {
            account_incarnation: incarnation,
            ..sender()
        };
        let body = encode(&Heartbeat {
            sender: message_sender,
            quarantine_over: true,
            number: 1,
            bootstrap_echoes: vec![],
            other_echoes: vec![],
        })
        .unwrap();
        let (kind, key, age) = (messages::HEARTBEAT, &[][..], Duration::ZERO);
        lender.handle(
            age,
            Event::Message {
                source,
                incarnation: 1,
                kind,
                key,
                body: &body,
                age,
            },
            &mut actions,
        );
    };
    (1..=2_000).for_each(|incarnation| send_heartbeat("b", incarnation));
    (1..=2_000).for_each(|incarnation| send_heartbeat("stranger", incarnation));
    send_heartbeat("c", 7);
    assert!(lender.accounts.contains_key(&AccountId {
        incarnation: 7,
        ..id("c")
    }));
    assert_eq!((lender.accounts.len(), lender.ignored()), (17, 3_984));
    let notices = actions
        .iter()
        .filter(|action| matches!(action, Action::Notice(Notice::Ignored(..))));
    assert_eq!(
        notices.count(),
        2,
        "expected one notice for each reason: {actions:?}"
    );
}

/// `c` received other transfers of the same total from `b`, and publishes this total as witnessed. It must not confirm the
/// transfers of balances that were rejected here.
#[test]
fn balances_with_too_many_receivers_are_not_witnessed() {
    let most = MAX_RECEIVERS as u32;
    let witness = |lender: &mut Lender, sent: SentTotal| {
        let bootstrap_members =
            (0..3).filter(|at| lender.state.bootstrap_members[usize::from(*at)] == id("b"));
        let witnessed = bootstrap_members.map(|at| (at, sent)).collect();
        receive(
            lender,
            "c",
            messages::WITNESS,
            &WitnessedTransfers {
                sender: sender(),
                bootstrap_members: witnessed,
                others: vec![],
            },
        );
    };
    let mut valid = bootstrapped();
    receive(&mut valid, "b", messages::BALANCES, &transfers(0..most));
    witness(&mut valid, u64::from(most).into());
    assert_eq!(
        confirmed_receivers(&valid),
        MAX_RECEIVERS,
        "the sender and one witness are a majority of three"
    );
    assert_eq!(valid.malformed(), 0);

    let mut lender = bootstrapped();
    receive(
        &mut lender,
        "b",
        messages::BALANCES,
        &transfers(0..most + 1),
    );
    assert_eq!((confirmed_receivers(&lender), lender.malformed()), (0, 1));
    assert_eq!(
        lender.state.witnessed[&(id("b"), TENANT)],
        SentTotal::INVALID,
        "no shares are left to the proxy that takes the account over"
    );
    receive(
        &mut lender,
        "b",
        messages::BALANCES,
        &transfers(100..100 + most),
    );
    witness(&mut lender, SentTotal::INVALID);
    assert_eq!(
        confirmed_receivers(&lender),
        0,
        "other transfers of the account are not confirmed by the witness of these"
    );
}
