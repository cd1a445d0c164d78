//! Whatever one member publishes, and whatever the file contains: no panic, no message that is too long, and nothing lent, since one
//! of five is no majority of the bootstrap members.

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
    let mut founders: Vec<AccountId> = NAMES
        .iter()
        .map(|name| AccountId {
            owner: name_number(name),
            incarnation: 1,
        })
        .collect();
    founders.sort_unstable();
    founders
}

fn big() -> impl Strategy<Value = u64> {
    prop_oneof![0..3_u64, Just(u64::MAX), any::<u64>()]
}

fn small() -> impl Strategy<Value = u32> {
    prop_oneof![0..3_u32, Just(1 << 30), Just(u32::MAX), any::<u32>()]
}

/// Shares, also at the bounds of 32 and of 64 bits.
fn parts() -> impl Strategy<Value = u64> {
    prop_oneof![small().prop_map(u64::from), big()]
}

fn sent() -> impl Strategy<Value = SentTotal> {
    parts().prop_map(SentTotal::from)
}

fn id() -> impl Strategy<Value = AccountId> {
    let names = prop_oneof![
        proptest::sample::select(&NAMES[..]).prop_map(name_number),
        any::<u32>()
    ];
    (names, big()).prop_map(|(name, from)| AccountId {
        owner: name,
        incarnation: from,
    })
}

fn sender() -> impl Strategy<Value = Sender> {
    let known = bootstrap_digest(&bootstrap_members());
    (
        prop_oneof![Just(known), Just(0), any::<u64>()],
        big(),
        big(),
        big(),
    )
        .prop_map(|(founders, memory, lane, life)| Sender {
            bootstrap_digest: founders,
            state_incarnation: memory,
            account_incarnation: lane,
            incarnation: life,
        })
}

fn balances() -> impl Strategy<Value = Balances> {
    (
        (big(), big(), big(), big(), big()),
        parts(),
        btree_map(id(), parts(), 0..30),
    )
        .prop_map(
            |((line, lent, repaid, written_off, demand), took, gave)| Balances {
                credit_limit: line,
                lent,
                repaid,
                written_off,
                demand,
                taken_over: took,
                sent: gave,
            },
        )
}

/// Kind, incarnation and body of any values, also of values that no proxy publishes.
fn valid() -> impl Strategy<Value = (u8, u64, Vec<u8>)> {
    let few = || vec((any::<u8>(), small()), 0..9);
    let lanes = || vec((id(), small()), 0..9);
    let pulse = (sender(), any::<bool>(), small(), few(), lanes()).prop_map(
        |(head, ripe, beat, founders, others)| {
            (
                head.incarnation,
                encode(&Heartbeat {
                    sender: head,
                    quarantine_over: ripe,
                    number: beat,
                    bootstrap_echoes: founders,
                    other_echoes: others,
                }),
            )
        },
    );
    let founded =
        (sender(), big(), vec((small(), big()), 0..60)).prop_map(|(head, least, members)| {
            (
                0,
                encode(&BootstrapMembers {
                    sender: head,
                    least_incarnation: least,
                    members,
                }),
            )
        });
    let seen = || vec((any::<u8>(), sent()), 0..9);
    let row = (sender(), balances()).prop_map(|(head, row)| {
        (
            0,
            encode(&PublishedBalances {
                sender: head,
                balances: row,
            }),
        )
    });
    let witness =
        (sender(), seen(), vec((id(), sent()), 0..9)).prop_map(|(head, founders, others)| {
            (
                0,
                encode(&WitnessedTransfers {
                    sender: head,
                    bootstrap_members: founders,
                    others,
                }),
            )
        });
    let claim = (sender(), id()).prop_map(|(head, lane)| {
        (
            0,
            encode(&OwnershipClaim {
                sender: head,
                account: lane,
            }),
        )
    });
    let vote = (sender(), id(), id(), btree_map(small(), sent(), 0..9)).prop_map(
        |(head, lane, to, given)| {
            (
                0,
                encode(&PublishedVote {
                    sender: head,
                    account: lane,
                    vote: Vote { to, sent: given },
                }),
            )
        },
    );
    prop_oneof![
        pulse.prop_map(|(start, body)| (HEARTBEAT, start, body)),
        founded.prop_map(|(start, body)| (BOOTSTRAP_MEMBERS, start, body)),
        row.prop_map(|(start, body)| (BALANCES, start, body)),
        witness.prop_map(|(start, body)| (WITNESS, start, body)),
        claim.prop_map(|(start, body)| (CLAIM, start, body)),
        vote.prop_map(|(start, body)| (VOTE, start, body)),
    ]
    .prop_map(|(kind, start, body)| (kind, start, body.unwrap_or_default()))
}

fn message() -> impl Strategy<Value = (u8, u64, Vec<u8>)> {
    let some = vec((any::<Index>(), any::<u8>()), 0..4);
    let mutated = (valid(), some).prop_map(|((kind, start, mut body), changes)| {
        let length = body.len();
        for (at, to) in changes.iter().filter(|_| length > 0) {
            body[at.index(length)] = *to;
        }
        (kind, start, body)
    });
    prop_oneof![
        valid(),
        mutated,
        (HEARTBEAT..=VOTE, big(), vec(any::<u8>(), 0..BODY_BYTES))
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
    Rules::new(vec![(TENANT.into(), rule)], Duration::from_secs(120)).expect("the rule is sound")
}

proptest! {
    // The same cases each time; PROPTEST_CASES for more of them.
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(1), ..ProptestConfig::default() })]

    #[test]
    fn one_member_and_the_file_lend_nothing(
        file in proptest::option::of(vec(any::<u8>(), 0..400)),
        founded in any::<bool>(),
        steps in vec((message(), prop_oneof![Just(name_number(TENANT)), small()], 0..3_000_u64, 0..9_000_u64), 1..60),
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
        let first = founded.then(|| (BOOTSTRAP_MEMBERS, 1, encode(&first).expect("five fit")));
        let steps = first.map(|fact| (fact, 0, 0, 0)).into_iter().chain(steps);
        for ((kind, start, body), stand, pause, age) in steps {
            now += Duration::from_millis(pause);
            let (key, age) = (stand.to_le_bytes(), Duration::from_millis(age));
            let key: &[u8] = if matches!(kind, BALANCES | WITNESS) { &key } else { &[] };
            lender.handle(now, Event::Message { source: "b", incarnation: start, kind, key, body: &body, age }, &mut actions);
            lender.handle(now, Event::Timer(token), &mut actions);
            let asked = lender.decide(now, TENANT, "class", 1_000, &mut actions);
            prop_assert!(matches!(asked, Decision::Denied(_)), "lent by one member's messages");
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
