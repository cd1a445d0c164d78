//! Arbitrary bytes as a state file and as facts of one member: no panic, nothing published or persisted beyond the size limits,
//! and no change of version, since one member of three in a region is not a quorum.
#![no_main]

use rollout::{
    Action, ClassCounts, Config, Core, Event, EvidenceLimits, Observation, Peer, PeerFact,
    BODY_BYTES, FACT_KINDS,
};
use std::time::Duration;

const FLEET: [(&str, &str); 6] = [
    ("a", "east"),
    ("b", "east"),
    ("c", "east"),
    ("d", "west"),
    ("e", "west"),
    ("f", "west"),
];
/// Largest state file that the host reads, in bytes.
const STATE_BYTES: usize = 16 << 10;

/// Takes a part off the front of `bytes`, where its length precedes it.
fn part<'a>(bytes: &mut &'a [u8]) -> Option<&'a [u8]> {
    let (length, rest) = bytes.split_first_chunk::<2>()?;
    let length = usize::from(u16::from_le_bytes(*length)) % (BODY_BYTES + 1);
    let (part, rest) = rest.split_at(length.min(rest.len()));
    *bytes = rest;
    Some(part)
}

libfuzzer_sys::fuzz_target!(|bytes: &[u8]| {
    let mut bytes = bytes;
    let limits = EvidenceLimits {
        min_harm: 0.05,
        error_probability: 0.01,
        soak_time: Duration::from_secs(30),
        min_window_demand: 20,
        min_stage_demand: 500,
        max_age: Duration::from_secs(10),
    };
    let (unreachable_timeout, message_ttl) = (Duration::from_secs(60), Duration::from_secs(10));
    let persisted = part(&mut bytes).map(<[u8]>::to_vec);
    let config = Config {
        name: "a".into(),
        incarnation: 1,
        took_over: false,
        base_version: [0; 32],
        evidence_limits: limits,
        unreachable_timeout,
        message_ttl,
        persisted,
    };
    let mut core = Core::new(config, Duration::ZERO);
    let peer = |(name, region): &(&str, &str)| Peer {
        name: (*name).into(),
        region: (*region).into(),
        incarnation: Some(1),
        reachable: true,
        left: false,
    };
    let mut now = Duration::ZERO;
    while let Some(body) = part(&mut bytes) {
        now += Duration::from_secs(body.len() as u64 % 40);
        let kind = body.first().map_or(0, |byte| byte % (FACT_KINDS + 1));
        let body = body.get(1..).unwrap_or_default().to_vec();
        let observation = Observation {
            peers: FLEET.iter().map(peer).collect(),
            promotable_regions: ["east", "west"].map(String::from).into(),
            facts: vec![PeerFact {
                source: "b".into(),
                incarnation: 1,
                kind,
                body,
            }],
            class_counts: Vec::new(),
            total_counts: ClassCounts {
                class: 0,
                offered: 1_000,
                lost: 20,
            },
        };
        let (mut actions, mut next) = (Vec::new(), 0);
        core.handle(now, Event::Observe(observation), &mut actions);
        while let Some(action) = actions.get(next).cloned() {
            next += 1;
            match action {
                Action::Publish(_, body, _) => assert!(body.len() <= BODY_BYTES),
                Action::Persist(bytes) => {
                    assert!(bytes.len() <= STATE_BYTES);
                    core.handle(now, Event::Persisted(true), &mut actions);
                }
                Action::RunVersion(_) => panic!("the version changed on the facts of one member"),
                Action::CheckVersion(hash) => {
                    core.handle(now, Event::VersionChecked(hash, Ok(())), &mut actions)
                }
                Action::PhaseChanged(_) | Action::Rejected(_) | Action::StateUnreadable => {}
            }
        }
        assert_eq!(core.status().running_version, [0; 32]);
    }
});
