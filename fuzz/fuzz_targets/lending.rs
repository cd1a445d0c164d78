//! Arbitrary bytes as the state file of loans and as the messages of one member: no panic, no message over its size limit, and
//! no loan, since one of five bootstrap members is not a majority.
#![no_main]

use quota_lending::identity::{bootstrap_digest, name_number, AccountId};
use quota_lending::messages::{
    encode, BootstrapMembers, Sender, BODY_BYTES, BOOTSTRAP_MEMBERS, HEARTBEAT,
};
use quota_lending::{Action, Config, Decision, Event, Lender, Member, Rule, Rules};
use std::time::Duration;

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const TENANT: &str = "stand";
/// Number of message kinds, from heartbeats to votes.
const KINDS: u8 = 6;

/// Takes a part off the front of `bytes`, where its length precedes it.
fn part<'a>(bytes: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (length, rest) = bytes.split_first_chunk::<2>()?;
    let length = usize::from(u16::from_le_bytes(*length)) % (BODY_BYTES + 1);
    let (part, rest) = rest.split_at(length.min(rest.len()));
    *bytes = rest;
    Some(part)
}

fn bootstrap(lender: &mut Lender) -> Vec<Action> {
    let mut bootstrap_members = NAMES.map(|name| AccountId {
        owner: name_number(name),
        incarnation: 1,
    });
    bootstrap_members.sort_unstable();
    let sender = Sender {
        bootstrap_digest: bootstrap_digest(&bootstrap_members),
        state_incarnation: 1,
        account_incarnation: 1,
        incarnation: 1,
    };
    let members = bootstrap_members.iter().map(|id| (id.owner, 0)).collect();
    let body = encode(&BootstrapMembers {
        sender,
        least_incarnation: 1,
        members,
    })
    .expect("five fit");
    let mut actions = Vec::new();
    let message = Event::Message {
        source: "b",
        incarnation: 1,
        kind: BOOTSTRAP_MEMBERS,
        key: &[],
        body: &body,
        age: Duration::ZERO,
    };
    lender.handle(Duration::ZERO, message, &mut actions);
    actions
}

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let mut bytes = bytes;
    let file = part(&mut bytes);
    let mut lender = Lender::new(&Config::new("a", 1, true), Duration::ZERO, file);
    let rule = Rule {
        limit_time: Duration::from_secs(10),
        quota: 10_000,
        term: Duration::from_secs(10),
        write_off: Duration::from_secs(10),
        floor: 100,
        classes: vec!["class".into()],
        max_rate: 10_000,
    };
    let rules = Rules::new(vec![(TENANT.into(), rule)], Duration::from_secs(120))
        .expect("the rule is sound");
    let (roster, mut actions, mut token) = (NAMES.map(String::from), Vec::new(), 0);
    let members = NAMES.map(|name| Member {
        name: name.into(),
        incarnation: 1,
        up: true,
    });
    let membership = Event::Membership {
        may_lend: true,
        roster: &roster,
        members: &members,
    };
    lender.handle(Duration::ZERO, membership, &mut actions);
    lender.handle(Duration::ZERO, Event::Rules(rules), &mut actions);
    actions.extend(bootstrap(&mut lender));
    let mut now = Duration::ZERO;
    while let Some(message_bytes) = part(&mut bytes) {
        now += Duration::from_millis(message_bytes.len() as u64 * 7);
        let Some(([kind, incarnation], body)) = message_bytes.split_first_chunk::<2>() else {
            continue;
        };
        let (kind, incarnation) = (HEARTBEAT + kind % KINDS, u64::from(*incarnation));
        let key = name_number(TENANT).to_le_bytes();
        let message = Event::Message {
            source: "b",
            incarnation,
            kind,
            key: &key,
            body,
            age: Duration::ZERO,
        };
        lender.handle(now, message, &mut actions);
        lender.handle(now, Event::Timer(token), &mut actions);
        let decision = lender.decide(now, TENANT, "class", 1_000, &mut actions);
        assert!(
            matches!(decision, Decision::Denied(_)),
            "lent by one member's messages"
        );
        let mut next = 0;
        while let Some(action) = actions.get(next).cloned() {
            next += 1;
            match action {
                Action::Publish { body, .. } => assert!(body.len() <= BODY_BYTES),
                Action::Save { sequence, .. } => {
                    lender.handle(now, Event::Saved(sequence), &mut actions)
                }
                Action::Timer { token: new, .. } => token = new,
                Action::Notice(_) => {}
            }
        }
        actions.clear();
    }
});
