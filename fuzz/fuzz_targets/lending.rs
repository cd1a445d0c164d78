//! Any bytes as a file of loans and as what one member says of loans: no panic, nothing said that does not fit, and nothing
//! lent: one of five is no majority of the founders.
#![no_main]

use quota_lending::said::{digest, encode, number, Founded, Head, Id, BODY_BYTES, FOUNDED, PULSE};
use quota_lending::{Action, Config, Core, Event, Member, Rule, Rules, Verdict};
use std::time::Duration;

const NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];
const STAND: &str = "stand";
/// Of pulses, rows, claims and the others.
const KINDS: u8 = 6;

/// A part of the bytes, led by its length.
fn part<'a>(bytes: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (length, rest) = bytes.split_first_chunk::<2>()?;
    let length = usize::from(u16::from_le_bytes(*length)) % (BODY_BYTES + 1);
    let (part, rest) = rest.split_at(length.min(rest.len()));
    *bytes = rest;
    Some(part)
}

fn founded(core: &mut Core) -> Vec<Action> {
    let mut founders = NAMES.map(|name| Id {
        name: number(name),
        from: 1,
    });
    founders.sort_unstable();
    let head = Head {
        founders: digest(&founders),
        memory: 1,
        lane: 1,
        life: 1,
    };
    let members = founders.iter().map(|id| (id.name, 0)).collect();
    let body = encode(&Founded {
        head,
        least: 1,
        members,
    })
    .expect("five fit");
    let mut actions = Vec::new();
    let fact = Event::Fact {
        source: "b",
        start: 1,
        kind: FOUNDED,
        key: &[],
        body: &body,
        age: Duration::ZERO,
    };
    core.handle(Duration::ZERO, fact, &mut actions);
    actions
}

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let mut bytes = bytes;
    let file = part(&mut bytes);
    let mut core = Core::new(&Config::new("a", 1, true), Duration::ZERO, file);
    let rule = Rule {
        line_time: Duration::from_secs(10),
        quota: 10_000,
        term: Duration::from_secs(10),
        write_off: Duration::from_secs(10),
        floor: 100,
        classes: vec!["class".into()],
        rate_most: 10_000,
    };
    let rules = Rules::new(vec![(STAND.into(), rule)], Duration::from_secs(120))
        .expect("the rule is sound");
    let (roster, mut actions, mut token) = (NAMES.map(String::from), Vec::new(), 0);
    let members = NAMES.map(|name| Member {
        name: name.into(),
        start: 1,
        up: true,
    });
    let view = Event::View {
        lend: true,
        roster: &roster,
        members: &members,
    };
    core.handle(Duration::ZERO, view, &mut actions);
    core.handle(Duration::ZERO, Event::Rules(rules), &mut actions);
    actions.extend(founded(&mut core));
    let mut now = Duration::ZERO;
    while let Some(said) = part(&mut bytes) {
        now += Duration::from_millis(said.len() as u64 * 7);
        let Some(([kind, start], body)) = said.split_first_chunk::<2>() else {
            continue;
        };
        let (kind, start) = (PULSE + kind % KINDS, u64::from(*start));
        let key = number(STAND).to_le_bytes();
        let fact = Event::Fact {
            source: "b",
            start,
            kind,
            key: &key,
            body,
            age: Duration::ZERO,
        };
        core.handle(now, fact, &mut actions);
        core.handle(now, Event::Timer(token), &mut actions);
        let asked = core.ask(now, STAND, "class", 1_000, &mut actions);
        assert!(matches!(asked, Verdict::No(_)), "lent by one member's word");
        let mut next = 0;
        while let Some(action) = actions.get(next).cloned() {
            next += 1;
            match action {
                Action::Tell { body, .. } => assert!(body.len() <= BODY_BYTES),
                Action::Save { sequence, .. } => {
                    core.handle(now, Event::Saved(sequence), &mut actions)
                }
                Action::Timer { token: new, .. } => token = new,
                Action::Notice(_) => {}
            }
        }
        actions.clear();
    }
});
