//! Faults that datagram relays inject, tested between plain sockets; and the member settings and partitions that the testbed
//! sets up, tested with stand-in programs that print the address of their member socket.

mod common;
use invariant_checkers::Rule;
use proptest::prelude::*;
use std::future::Future;
use std::os::unix::fs::PermissionsExt;
use std::time::Duration;
use testbed::datagrams::{Counts, DatagramFaults, DatagramLink, Flow};
use testbed::members::Members;
use testbed::process::{Folder, EVENT_TIMEOUT};
use testbed::Testbed;
use tokio::net::UdpSocket;
use tokio::runtime::{Handle, Runtime};
use tokio::time::{timeout, Instant};

/// A sender, a relay and a receiver.
struct RelayedPair {
    sender: UdpSocket,
    link: DatagramLink,
    receiver: UdpSocket,
}

impl RelayedPair {
    async fn new(seed: u64) -> RelayedPair {
        let receiver = UdpSocket::bind("127.0.0.1:0").await.unwrap();
        let link = DatagramLink::open(&Handle::current(), seed).unwrap();
        link.set_target(receiver.local_addr().ok());
        RelayedPair {
            sender: UdpSocket::bind("127.0.0.1:0").await.unwrap(),
            link,
            receiver,
        }
    }

    /// Sends the values one by one, each after the relay has received the one before, so that their order is kept.
    async fn send(&self, texts: impl IntoIterator<Item = u32>) {
        for text in texts {
            let received = self.link.counts().received;
            self.sender
                .send_to(&text.to_be_bytes(), self.link.address)
                .await
                .unwrap();
            self.link
                .until(|counts| counts.received > received)
                .await
                .unwrap();
        }
    }

    /// Waits until the relay holds no datagram, and returns the values that have passed since the last call.
    async fn heard(&self, before: &mut u64) -> Vec<u32> {
        let counts = self.link.until(|counts| counts.waiting == 0).await.unwrap();
        assert!(counts.is_consistent(), "{counts:?}");
        let mut heard = Vec::new();
        let mut bytes = [0; 64];
        while *before < counts.passed {
            let n = timeout(EVENT_TIMEOUT, self.receiver.recv(&mut bytes))
                .await
                .expect("a datagram that has passed must be received")
                .unwrap();
            heard.push(u32::from_be_bytes(bytes[..n].try_into().unwrap()));
            *before += 1;
        }
        assert!(
            self.receiver.try_recv(&mut bytes).is_err(),
            "the receiver got more datagrams than the relay passed"
        );
        heard
    }
}

fn block_on_test(test: impl Future<Output = ()>) {
    Runtime::new().unwrap().block_on(test);
}

/// Each fault, applied to all datagrams: checks the received datagrams and the counters.
#[test]
fn each_fault_is_seen_and_counted() {
    let faults = DatagramFaults::default();
    let of = |received, passed| Counts {
        received,
        passed,
        ..Counts::default()
    };
    let millis = Duration::from_millis;
    let late = Flow::Late(millis(30), millis(30));
    let cases: [(DatagramFaults, &[u32], Counts); 7] = [
        (faults, &[1, 2, 3, 4], of(4, 4)),
        (Flow::Cut.into(), &[], Counts { cut: 4, ..of(4, 0) }),
        (
            DatagramFaults {
                lost: 1.0,
                ..faults
            },
            &[],
            Counts {
                lost: 4,
                ..of(4, 0)
            },
        ),
        (
            DatagramFaults {
                doubled: 1.0,
                ..faults
            },
            &[1, 1, 2, 2, 3, 3, 4, 4],
            Counts {
                doubled: 4,
                ..of(4, 8)
            },
        ),
        (
            DatagramFaults {
                reordered: 1.0,
                ..faults
            },
            &[2, 1, 4, 3],
            Counts {
                reordered: 2,
                ..of(4, 4)
            },
        ),
        (
            late.into(),
            &[1, 2, 3, 4],
            Counts {
                late: 4,
                ..of(4, 4)
            },
        ),
        (
            DatagramFaults {
                doubled: 1.0,
                reordered: 1.0,
                flow: late,
                ..faults
            },
            &[2, 2, 1, 1, 4, 4, 3, 3],
            Counts {
                doubled: 4,
                late: 8,
                reordered: 2,
                ..of(4, 8)
            },
        ),
    ];
    block_on_test(async {
        for (faults, texts, counts) in cases {
            let pair = RelayedPair::new(1).await;
            pair.link.set(faults);
            let begun = Instant::now();
            pair.send(1..5).await;
            assert_eq!(pair.heard(&mut 0).await, texts, "{faults:?}");
            assert_eq!(pair.link.counts(), counts, "{faults:?}");
            assert!(
                counts.late == 0 || begun.elapsed() >= millis(30),
                "{faults:?}: received before the configured delay"
            );
        }
    });
}

/// Over many datagrams a fault hits the configured share; corruption flips one bit, at varying positions.
#[test]
fn shares_are_as_set_and_one_bit_is_flipped() {
    block_on_test(async {
        let (pair, mut before) = (RelayedPair::new(7).await, 0);
        pair.link.set(DatagramFaults {
            lost: 0.2,
            corrupted: 1.0,
            ..DatagramFaults::default()
        });
        let mut all = 0;
        for _ in 0..1_000 {
            pair.send([0]).await;
            for bits in pair.heard(&mut before).await {
                assert_eq!(bits.count_ones(), 1);
                all |= bits;
            }
        }
        assert_eq!(all, u32::MAX);
        // Five standard deviations.
        assert!(
            pair.link.counts().lost.abs_diff(200) < 64,
            "{:?}",
            pair.link.counts()
        );
    });
}

/// A cut drops the datagrams that are delayed or held back at that moment, also when the link is healed at once.
#[test]
fn a_cut_takes_what_is_on_its_way() {
    block_on_test(async {
        let hour = Duration::from_secs(3_600);
        for faults in [
            Flow::Late(hour, hour).into(),
            DatagramFaults {
                reordered: 1.0,
                ..DatagramFaults::default()
            },
        ] {
            let pair = RelayedPair::new(1).await;
            pair.link.set(faults);
            pair.send([1]).await;
            assert_eq!(pair.link.counts().waiting, 1);
            pair.link.cut();
            pair.link.heal();
            pair.send([2]).await;
            assert_eq!(pair.heard(&mut 0).await, [2]);
            assert_eq!(pair.link.counts().cut, 1);
        }
    });
}

#[test]
fn what_nothing_follows_comes_once_it_is_healed() {
    block_on_test(async {
        let pair = RelayedPair::new(1).await;
        pair.link.set(DatagramFaults {
            reordered: 1.0,
            ..DatagramFaults::default()
        });
        pair.send([1]).await;
        pair.link.heal();
        assert_eq!(pair.heard(&mut 0).await, [1]);
    });
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, ..ProptestConfig::default() })]
    /// For any faults and changes of faults: the counters add up, the receiver gets as many datagrams as have passed, and
    /// the same seed gives the same result.
    #[test]
    fn counts_add_up_and_seeds_repeat(
        seed: u64, lost in 0.0..0.9, doubled in 0.0..1.0, reordered in 0.0..1.0, corrupted in 0.0..1.0, cut in 0u32..60,
    ) {
        let run = || {
            let mut result = (Vec::new(), Counts::default());
            block_on_test(async {
                let (pair, mut before) = (RelayedPair::new(seed).await, 0);
                let faults = DatagramFaults { lost, doubled, reordered, corrupted, ..DatagramFaults::default() };
                pair.link.set(faults);
                pair.send(0..cut).await;
                pair.link.cut();
                pair.send(60..70).await;
                pair.link.set(faults);
                pair.send(100..140).await;
                pair.link.heal();
                result = (pair.heard(&mut before).await, pair.link.counts());
            });
            result
        };
        let (heard, counts) = run();
        prop_assert!(counts.is_consistent());
        prop_assert_eq!(counts.received, u64::from(cut) + 50);
        prop_assert!((10..=12).contains(&counts.cut), "the ten sent during the cut, and at most one held datagram, duplicated");
        prop_assert_eq!(heard.len() as u64, counts.passed);
        prop_assert_eq!(run(), (heard, counts));
    }
}

/// Member sections and keys of three proxies: each other member has the address of a relay, the proxy itself has none.
#[test]
fn each_proxy_is_told_of_the_others() {
    let mut setup = common::setup(4, 1.0, common::SECOND);
    setup.planted_violation = Some(Rule::Stale);
    let (regions, settings) = (
        vec!["north".to_owned()],
        "period 50ms\nsuspicion 500ms".to_owned(),
    );
    let roster = vec![0, 1, 3];
    setup.members = Some(Members {
        version: 7,
        settings,
        keys: vec![2, 1],
        roster,
        regions,
    });
    let testbed = Testbed::start(setup).unwrap();
    let read = |proxy| {
        let plan = testbed.plan(proxy, "127.0.0.1:0").unwrap();
        let at = |name: &str| {
            plan.variables
                .iter()
                .find(|(n, _)| n == name)
                .unwrap()
                .1
                .clone()
        };
        let file = at("LB_OPERATORS");
        let key_file = file.replace("operators.conf", "members.key");
        let text = std::fs::read_to_string(&file).unwrap();
        let read = configuration::read(
            file.as_ref(),
            &configuration::load::MemoryFiles::from([(&*file, &*text)]),
        );
        assert!(read.is_valid(), "{:?}", read.diagnostics);
        assert_eq!(
            read.model.members.map_or(0, |members| members.roster.len()),
            if proxy == 2 { 0 } else { 3 }
        );
        let keys = std::fs::read_to_string(&key_file).unwrap();
        (
            text.split_once("members {").map(|(_, t)| t.to_owned()),
            key_file,
            keys,
        )
    };
    let (text, key_file, keys) = read(1);
    let to = |member| testbed.datagram_link(1, member).unwrap().address;
    let expected = format!(
        "\n version 7\n listen 127.0.0.1:0\n key-file {key_file}\n period 50ms\n suspicion 500ms\n}}\n\
         member n0 {{\n address {}\n region north\n}}\nmember n1 {{\n address 127.0.0.1:9\n region p1\n}}\n\
         member n3 {{\n address {}\n region p1\n}}\n",
        to(0),
        to(3)
    );
    assert_eq!(text.unwrap(), expected);
    let lines: Vec<&str> = keys.lines().collect();
    assert!(
        lines
            .iter()
            .all(|key| key.len() == 64 && key.bytes().all(|b| b.is_ascii_hexdigit())),
        "{keys}"
    );
    assert!(lines.len() == 2 && lines[0] != lines[1]);
    assert_eq!(
        std::fs::metadata(key_file).unwrap().permissions().mode() & 0o777,
        0o600
    );
    assert_eq!(read(3).2, keys, "all proxies have the same keys");
    assert_eq!(
        read(2).0,
        None,
        "a proxy that is not on the roster has no members section"
    );
    assert!(testbed.datagram_link(1, 1).is_err());
}

/// Pairs (sender, receiver) of three stand-ins between which a datagram arrives.
fn heard(testbed: &Testbed, receivers: &[UdpSocket]) -> Vec<(usize, usize)> {
    let pairs = [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)];
    let comes = |&(from, to): &(usize, usize)| {
        let link = testbed.datagram_link(from, to).unwrap();
        testbed.wait(async {
            let before = link.counts();
            receivers[from]
                .send_to(&[from as u8, to as u8], link.address)
                .await
                .unwrap();
            let after = link
                .until(|counts| counts.received > before.received)
                .await
                .unwrap();
            assert_eq!(
                after.dropped() + after.passed,
                before.dropped() + before.passed + 1
            );
            if after.passed == before.passed {
                return false;
            }
            let mut bytes = [0; 2];
            timeout(EVENT_TIMEOUT, receivers[to].recv(&mut bytes))
                .await
                .expect("a datagram that has passed must be received")
                .unwrap();
            assert_eq!(bytes, [from as u8, to as u8]);
            true
        })
    };
    pairs.into_iter().filter(comes).collect()
}

/// After a partition, a one-way cut, a kill and a restart on another port, exactly the expected pairs are connected.
#[test]
fn parts_hear_none_of_each_other_and_a_restart_is_found() {
    const ALL: [(usize, usize); 6] = [(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)];
    let folder = Folder::new().unwrap();
    let mut setup = common::setup(3, 1.0, common::SECOND);
    setup.members = Some(Members::default());
    // Each is a separate program that prints the contents of its file.
    let at = |proxy: usize| folder.path().join(format!("stand-in-{proxy}"));
    let script = "#!/bin/sh\ncat \"$0.says\" >&2\nexec sleep 600\n";
    setup.programs = (0..3).map(at).collect();
    for program in &setup.programs {
        std::fs::write(program, script).unwrap();
        std::fs::set_permissions(program, PermissionsExt::from_mode(0o700)).unwrap();
    }
    let receiver = |proxy: usize, on: &Runtime| {
        let receiver = on.block_on(UdpSocket::bind("127.0.0.1:0")).unwrap();
        let says = format!(
            "n{proxy}: serving on 127.0.0.1:9\nmembers: heard on {}\n",
            receiver.local_addr().unwrap()
        );
        std::fs::write(format!("{}.says", at(proxy).display()), says).unwrap();
        receiver
    };
    let on = Runtime::new().unwrap();
    let mut receivers: Vec<UdpSocket> = (0..3).map(|proxy| receiver(proxy, &on)).collect();
    let mut testbed = Testbed::start(setup).unwrap_or_else(|fault| panic!("{fault}"));
    assert_eq!(heard(&testbed, &receivers), ALL);
    testbed.partition(&[&[0, 1], &[2]]);
    assert_eq!(heard(&testbed, &receivers), [(0, 1), (1, 0)]);
    testbed.heal_datagrams();
    testbed.one_way(0, 2).unwrap();
    assert_eq!(
        heard(&testbed, &receivers),
        [(0, 1), (0, 2), (1, 0), (1, 2), (2, 1)]
    );
    testbed.partition(&[&[0], &[1]]);
    assert_eq!(heard(&testbed, &receivers), [(0, 2), (1, 2), (2, 1)]);
    testbed.heal_datagrams();
    testbed.kill(1);
    assert_eq!(
        heard(&testbed, &receivers),
        [(0, 2), (1, 0), (1, 2), (2, 0)]
    );
    receivers[1] = receiver(1, &on);
    testbed.restart(1).unwrap_or_else(|fault| panic!("{fault}"));
    assert_eq!(heard(&testbed, &receivers), ALL);
}
