//! Two words on each server, in every order.

use maintenance::{Hand, Joined, Maintenance, Unknown, Word};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

const LONG_AGO: Duration = Duration::ZERO;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn one() -> Maintenance {
    let mut core = Maintenance::default();
    assert_eq!(core.hears("a", Word::Ready, LONG_AGO).word, Word::Ready);
    core
}

#[test]
fn out_while_either_says_so_whatever_is_undone_first() {
    let mut core = one();
    assert_eq!(
        core.exclude("a", at(10)).unwrap().unwrap().word,
        Word::Draining
    );
    assert_eq!(
        core.hears("a", Word::Draining, LONG_AGO).word,
        Word::Draining
    );
    // By hand first, then discovery.
    assert_eq!(
        core.include("a", at(20)).unwrap().unwrap().word,
        Word::Draining
    );
    assert_eq!(core.hears("a", Word::Ready, LONG_AGO).word, Word::Ready);
    // Discovery first, then by hand.
    core.hears("a", Word::Draining, LONG_AGO);
    assert_eq!(
        core.exclude("a", at(30)).unwrap().unwrap().word,
        Word::Draining
    );
    assert_eq!(core.hears("a", Word::Ready, LONG_AGO).word, Word::Draining);
    assert_eq!(
        core.include("a", at(40)).unwrap().unwrap().word,
        Word::Ready
    );
}

#[test]
fn one_call_back_is_what_two_calls_out_need() {
    let mut core = one();
    assert!(core.exclude("a", at(1)).unwrap().is_some());
    assert_eq!(core.exclude("a", at(2)), Ok(None));
    assert_eq!(core.include("a", at(3)).unwrap().unwrap().word, Word::Ready);
    assert_eq!(core.include("a", at(4)), Ok(None), "it is in already");
    assert_eq!(core.exclude("b", at(5)), Err(Unknown));
    assert_eq!(core.include("b", at(5)), Err(Unknown));
}

#[test]
fn out_over_its_absence_from_the_list() {
    let mut core = one();
    core.exclude("a", at(1)).unwrap();
    core.only(&BTreeSet::new());
    assert_eq!(core.listed(), 0);
    assert_eq!(core.exclude("a", at(2)), Ok(None), "still theirs");
    assert_eq!(
        core.hears("a", Word::Ready, at(3)).word,
        Word::Draining,
        "listed again, still out"
    );
    assert_eq!(
        core.include("a", at(4)).unwrap(),
        Some(Joined {
            word: Word::Ready,
            started: at(3)
        })
    );
    assert_eq!(core.hears("a", Word::Gone, at(3)).word, Word::Gone);
    assert_eq!(
        core.include("a", at(5)),
        Err(Unknown),
        "nobody has it any more"
    );
}

#[test]
fn what_comes_back_counts_as_just_started_until_the_list_knows_better() {
    let mut core = one();
    core.exclude("a", at(10)).unwrap();
    assert_eq!(core.include("a", at(20)).unwrap().unwrap().started, at(20));
    assert_eq!(
        core.hears("a", Word::Ready, LONG_AGO).started,
        at(20),
        "the list is late"
    );
    assert_eq!(
        core.hears("a", Word::Ready, at(15)).started,
        at(15),
        "the list tells"
    );
    assert_eq!(
        core.hears("a", Word::Ready, at(60)).started,
        at(60),
        "a restart of its own"
    );
}

#[test]
fn the_word_passes_to_the_next_process() {
    let mut old = one();
    old.hears("b", Word::Ready, LONG_AGO);
    old.exclude("a", at(10)).unwrap();
    old.exclude("b", at(10)).unwrap();
    old.include("b", at(12)).unwrap();
    let mut new = Maintenance::default();
    new.hears("a", Word::Ready, LONG_AGO);
    new.hears("b", Word::Ready, LONG_AGO);
    let changed = new.take_over(old.hands());
    assert_eq!(
        changed[0],
        (
            "a".into(),
            Joined {
                word: Word::Draining,
                started: LONG_AGO
            }
        )
    );
    assert_eq!(new.hears("b", Word::Ready, LONG_AGO).started, at(12));
    assert_eq!(
        new.hands(),
        vec![
            Hand {
                name: "a".into(),
                out: Some(at(10)),
                before: None
            },
            Hand {
                name: "b".into(),
                out: None,
                before: Some((at(10), at(12)))
            },
        ]
    );
}

proptest! {
    /// Against the plainest account: two flags. The core never holds more than somebody speaks of.
    #[test]
    fn any_order_of_words(steps in prop::collection::vec((0u8..5, 0usize..3), 1..60)) {
        let names = ["a", "b", "c"];
        let mut core = Maintenance::default();
        let mut flags = [(None, false); 3];
        for (time, (step, server)) in (1..).zip(steps) {
            let (name, flag) = (names[server], &mut flags[server]);
            let known = flag.0.is_some() || flag.1;
            let answer = match step {
                0 | 1 => {
                    let word = if step == 0 { Word::Ready } else { Word::Draining };
                    flag.0 = Some(word);
                    core.hears(name, word, LONG_AGO);
                    true
                }
                2 => {
                    flag.0 = None;
                    core.hears(name, Word::Gone, LONG_AGO);
                    true
                }
                3 => {
                    flag.1 |= known;
                    core.exclude(name, at(time)).is_ok() == known
                }
                _ => {
                    flag.1 = false;
                    core.include(name, at(time)).is_ok() == known
                }
            };
            prop_assert!(answer);
            prop_assert_eq!(core.listed(), flags.iter().filter(|f| f.0.is_some()).count());
            let out = core.hands().iter().filter(|h| h.out.is_some()).count();
            prop_assert_eq!(out, flags.iter().filter(|f| f.1).count());
        }
    }
}
