//! Arbitrary messages of one member and arbitrary content of the state file must cause no panic, no message beyond the maximum
//! length and no loan, since one of five bootstrap members is not a majority.

use std::time::Duration;

use proptest::collection::{btree_map, vec};
use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::RngSeed;
use quota_lending::balances::{Balances, SentTotal};
use quota_lending::identity::{bootstrap_digest, name_number, AccountId};
use quota_lending::messages::{
    encode, BootstrapMembers, Heartbeat, OwnershipClaim, PublishedBalances, PublishedVote, Sender,
    Vote, WitnessedTransfers, BALANCES, BODY_BYTES, BOOTSTRAP_MEMBERS, CLAIM, HEARTBEAT, VOTE,
    WITNESS,
};
use quota_lending::{Action, Config, Decision, Event, Lender, Member, Rule, Rules};

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const TENANT: &str = "stand";

fn bootstrap_members() -> Vec<AccountId> {
    let mut bootstrap_members: Vec<AccountId> = NAMES
        .iter()
        .map(|name| AccountId {
            owner: name_number(name),
            incarnation: 1,
        })
        .collect();
    bootstrap_members.sort_unstable();
    bootstrap_members
}

fn any_u64() -> impl Strategy<Value = u64> {
    prop_oneof![0..3_u64, Just(u64::MAX), any::<u64>()]
}

fn any_u32() -> impl Strategy<Value = u32> {
    prop_oneof![0..3_u32, Just(1 << 30), Just(u32::MAX), any::<u32>()]
}

/// Numbers of shares, including the bounds of 32 and 64 bits.
fn share_count() -> impl Strategy<Value = u64> {
    prop_oneof![any_u32().prop_map(u64::from), any_u64()]
}

fn sent() -> impl Strategy<Value = SentTotal> {
    share_count().prop_map(SentTotal::from)
}

fn account_id() -> impl Strategy<Value = AccountId> {
    let names = prop_oneof![
        proptest::sample::select(&NAMES[..]).prop_map(name_number),
        any::<u32>()
    ];
    (names, any_u64()).prop_map(|(name, incarnation)| AccountId {
        owner: name,
        incarnation,
    })
}

fn sender() -> impl Strategy<Value = Sender> {
    let known = bootstrap_digest(&bootstrap_members());
    (
        prop_oneof![Just(known), Just(0), any::<u64>()],
        any_u64(),
        any_u64(),
        any_u64(),
    )
        .prop_map(
            |(digest, state_incarnation, account_incarnation, incarnation)| Sender {
                bootstrap_digest: digest,
                state_incarnation,
                account_incarnation,
                incarnation,
            },
        )
}

fn balances() -> impl Strategy<Value = Balances> {
    (
        (any_u64(), any_u64(), any_u64(), any_u64(), any_u64()),
        share_count(),
        btree_map(account_id(), share_count(), 0..30),
    )
        .prop_map(
            |((credit_limit, lent, repaid, written_off, demand), taken_over, sent)| Balances {
                credit_limit,
                lent,
                repaid,
                written_off,
                demand,
                taken_over,
                sent,
            },
        )
}

/// Kind, incarnation and body of well-formed messages, including values that no proxy publishes.
fn valid() -> impl Strategy<Value = (u8, u64, Vec<u8>)> {
    let bootstrap_echoes = || vec((any::<u8>(), any_u32()), 0..9);
    let other_echoes = || vec((account_id(), any_u32()), 0..9);
    let heartbeat = (
        sender(),
        any::<bool>(),
        any_u32(),
        bootstrap_echoes(),
        other_echoes(),
    )
        .prop_map(
            |(message_sender, quarantine_over, number, bootstrap_echoes, other_echoes)| {
                (
                    message_sender.incarnation,
                    encode(&Heartbeat {
                        sender: message_sender,
                        quarantine_over,
                        number,
                        bootstrap_echoes,
                        other_echoes,
                    }),
                )
            },
        );
    let bootstrap = (sender(), any_u64(), vec((any_u32(), any_u64()), 0..60)).prop_map(
        |(message_sender, least, members)| {
            (
                0,
                encode(&BootstrapMembers {
                    sender: message_sender,
                    least_incarnation: least,
                    members,
                }),
            )
        },
    );
    let witnessed = || vec((any::<u8>(), sent()), 0..9);
    let balances = (sender(), balances()).prop_map(|(message_sender, balances)| {
        (
            0,
            encode(&PublishedBalances {
                sender: message_sender,
                balances,
            }),
        )
    });
    let witness = (sender(), witnessed(), vec((account_id(), sent()), 0..9)).prop_map(
        |(message_sender, bootstrap_members, others)| {
            (
                0,
                encode(&WitnessedTransfers {
                    sender: message_sender,
                    bootstrap_members,
                    others,
                }),
            )
        },
    );
    let claim = (sender(), account_id()).prop_map(|(message_sender, account)| {
        (
            0,
            encode(&OwnershipClaim {
                sender: message_sender,
                account,
            }),
        )
    });
    let vote = (
        sender(),
        account_id(),
        account_id(),
        btree_map(any_u32(), sent(), 0..9),
    )
        .prop_map(|(message_sender, account, to, sent)| {
            (
                0,
                encode(&PublishedVote {
                    sender: message_sender,
                    account,
                    vote: Vote { to, sent },
                }),
            )
        });
    prop_oneof![
        heartbeat.prop_map(|(incarnation, body)| (HEARTBEAT, incarnation, body)),
        bootstrap.prop_map(|(incarnation, body)| (BOOTSTRAP_MEMBERS, incarnation, body)),
        balances.prop_map(|(incarnation, body)| (BALANCES, incarnation, body)),
        witness.prop_map(|(incarnation, body)| (WITNESS, incarnation, body)),
        claim.prop_map(|(incarnation, body)| (CLAIM, incarnation, body)),
        vote.prop_map(|(incarnation, body)| (VOTE, incarnation, body)),
    ]
    .prop_map(|(kind, incarnation, body)| (kind, incarnation, body.unwrap_or_default()))
}

fn message() -> impl Strategy<Value = (u8, u64, Vec<u8>)> {
    let changes = vec((any::<Index>(), any::<u8>()), 0..4);
    let mutated = (valid(), changes).prop_map(|((kind, incarnation, mut body), changes)| {
        let length = body.len();
        for (at, to) in changes.iter().filter(|_| length > 0) {
            body[at.index(length)] = *to;
        }
        (kind, incarnation, body)
    });
    prop_oneof![
        valid(),
        mutated,
        (HEARTBEAT..=VOTE, any_u64(), vec(any::<u8>(), 0..BODY_BYTES))
    ]
}

fn rules() -> Rules {
    let rule = Rule {
        limit_time: Duration::from_secs(10),
        quota: 10_000,
        term: Duration::from_secs(10),
        write_off: Duration::from_secs(10),
        floor: 100,
        classes: vec!["class".into()],
        max_rate: 10_000,
    };
    Rules::new(vec![(TENANT.into(), rule)], Duration::from_secs(120)).expect("the rule is valid")
}

proptest! {
    // The seed is fixed, so each run has the same cases. PROPTEST_CASES sets their number.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn one_member_and_the_file_lend_nothing(
        file in proptest::option::of(vec(any::<u8>(), 0..400)),
        bootstrapped in any::<bool>(),
        steps in vec((message(), prop_oneof![Just(name_number(TENANT)), any_u32()], 0..3_000_u64, 0..9_000_u64), 1..60),
    ) {
        let mut lender = Lender::new(&Config::new("a", 1, true), Duration::ZERO, file.as_deref());
        let (mut actions, mut now, mut token) = (Vec::new(), Duration::ZERO, 0);
        let roster = NAMES.map(String::from);
        let members = NAMES.map(|name| Member { name: name.into(), incarnation: 1, up: true });
        lender.handle(now, Event::Membership { may_lend: true, roster: &roster, members: &members }, &mut actions);
        lender.handle(now, Event::Rules(rules()), &mut actions);
        let first = BootstrapMembers {
            sender: Sender { bootstrap_digest: bootstrap_digest(&bootstrap_members()), state_incarnation: 1, account_incarnation: 1, incarnation: 1 },
            least_incarnation: 1,
            members: bootstrap_members().iter().map(|id| (id.owner, 0)).collect(),
        };
        let first = bootstrapped.then(|| (BOOTSTRAP_MEMBERS, 1, encode(&first).expect("five members fit into a message")));
        let steps = first.map(|message| (message, 0, 0, 0)).into_iter().chain(steps);
        for ((kind, incarnation, body), tenant, pause, age) in steps {
            now += Duration::from_millis(pause);
            let (key, age) = (tenant.to_le_bytes(), Duration::from_millis(age));
            let key: &[u8] = if matches!(kind, BALANCES | WITNESS) { &key } else { &[] };
            lender.handle(now, Event::Message { source: "b", incarnation, kind, key, body: &body, age }, &mut actions);
            lender.handle(now, Event::Timer(token), &mut actions);
            let decision = lender.decide(now, TENANT, "class", 1_000, &mut actions);
            prop_assert!(matches!(decision, Decision::Denied(_)), "one member's messages led to a loan");
            let mut next = 0;
            while let Some(action) = actions.get(next).cloned() {
                next += 1;
                match action {
                    Action::Publish { body, .. } => prop_assert!(body.len() <= BODY_BYTES),
                    Action::Save { sequence, .. } => lender.handle(now, Event::Saved(sequence), &mut actions),
                    Action::Timer { token: new, .. } => token = new,
                    Action::Notice(_) => {}
                }
            }
            actions.clear();
        }
    }
}
