//! Any bytes as a state file and as what one member says of a rollout: no panic, nothing said or kept beyond the bounds, and
//! nothing else runs: one of three in a region is no quorum.
#![no_main]

use rollout::{Action, Class, Config, Core, Event, Limits, Look, Peer, Told, BODY_BYTES, KINDS};
use std::time::Duration;

const FLEET: [(&str, &str); 6] = [
    ("a", "east"),
    ("b", "east"),
    ("c", "east"),
    ("d", "west"),
    ("e", "west"),
    ("f", "west"),
];
/// The host reads no longer state file.
const STATE_BYTES: usize = 16 << 10;

/// A part of the bytes, led by its length.
fn part<'a>(bytes: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (length, rest) = bytes.split_first_chunk::<2>()?;
    let length = usize::from(u16::from_le_bytes(*length)) % (BODY_BYTES + 1);
    let (part, rest) = rest.split_at(length.min(rest.len()));
    *bytes = rest;
    Some(part)
}

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let mut bytes = bytes;
    let limits = Limits {
        least_harm: 0.05,
        error: 0.01,
        soak: Duration::from_secs(30),
        window_least: 20,
        stage_least: 500,
        fresh: Duration::from_secs(10),
    };
    let (dark, lasts) = (Duration::from_secs(60), Duration::from_secs(10));
    let stored = part(&mut bytes).map(<[u8]>::to_vec);
    let config = Config {
        name: "a".into(),
        start: 1,
        heir: false,
        base: [0; 32],
        limits,
        dark,
        lasts,
        stored,
    };
    let mut core = Core::new(config, Duration::ZERO);
    let peer = |(name, region): &(&str, &str)| Peer {
        name: (*name).into(),
        region: (*region).into(),
        start: Some(1),
        heard: true,
        left: false,
    };
    let mut now = Duration::ZERO;
    while let Some(body) = part(&mut bytes) {
        now += Duration::from_secs(body.len() as u64 % 40);
        let kind = body.first().map_or(0, |byte| byte % (KINDS + 1));
        let body = body.get(1..).unwrap_or_default().to_vec();
        let look = Look {
            peers: FLEET.iter().map(peer).collect(),
            promote: ["east", "west"].map(String::from).into(),
            facts: vec![Told {
                source: "b".into(),
                start: 1,
                kind,
                body,
            }],
            counts: Vec::new(),
            total: Class {
                class: 0,
                asked: 1_000,
                lost: 20,
            },
        };
        let (mut actions, mut next) = (Vec::new(), 0);
        core.handle(now, Event::Look(look), &mut actions);
        while let Some(action) = actions.get(next).cloned() {
            next += 1;
            match action {
                Action::Say(_, body, _) => assert!(body.len() <= BODY_BYTES),
                Action::Save(bytes) => {
                    assert!(bytes.len() <= STATE_BYTES);
                    core.handle(now, Event::Kept(true), &mut actions);
                }
                Action::Run(_) => panic!("runs by one member's word"),
                Action::Check(hash) => core.handle(now, Event::Ready(hash, Ok(())), &mut actions),
                Action::Phase(_) | Action::Refused(_) | Action::Unread => {}
            }
        }
        assert_eq!(core.status().runs, [0; 32]);
    }
});
