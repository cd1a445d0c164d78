//! Each rule of loans is violated once and detected; observations at different instants of a correct history report no breach.

use invariant_checkers::loans::{Breach, Checker, LoanAccount};
use proptest::prelude::*;

fn account(lent: u64, repaid: u64, written_off: u64, line: u64) -> LoanAccount {
    LoanAccount {
        lent,
        repaid,
        written_off,
        owed: lent - repaid - written_off,
        part: line / 2,
        line,
    }
}

/// Runs rounds of observations; each round holds the accounts of the proxies `a` and `b`, in their first starts.
fn rounds(checker: &mut Checker, rounds: &[&[LoanAccount]]) {
    for round in rounds {
        for (proxy, account) in ["a", "b"].iter().zip(*round) {
            checker.observe(proxy, 1, "bus", *account);
        }
        checker.end_round();
    }
}

fn exceeded_line(checker: &Checker) -> Option<(u64, u64)> {
    checker.broken.first.iter().find_map(|breach| match breach {
        Breach::CreditLimitExceeded { owed, line, .. } => Some((*owed, *line)),
        _ => None,
    })
}

#[test]
fn books_that_do_not_add_up_are_found() {
    let mut checker = Checker::new(None);
    rounds(
        &mut checker,
        &[&[LoanAccount {
            owed: 4,
            ..account(10, 5, 0, 100)
        }]],
    );
    assert!(
        matches!(checker.broken.first[..], [Breach::Unbalanced { .. }]),
        "{:?}",
        checker.broken
    );
}

#[test]
fn a_count_that_shrinks_is_found_unless_the_proxy_started_anew() {
    let was = account(30, 10, 5, 100);
    for is in [
        account(29, 10, 5, 100),
        account(30, 9, 5, 100),
        account(30, 10, 4, 100),
    ] {
        let mut checker = Checker::new(None);
        rounds(&mut checker, &[&[was], &[is]]);
        assert!(
            matches!(checker.broken.first[..], [Breach::CountShrank { .. }]),
            "{:?}",
            checker.broken
        );
        let mut checker = Checker::new(None);
        rounds(&mut checker, &[&[was]]);
        checker.observe("a", 2, "bus", is);
        assert_eq!(checker.broken.count, 0);
    }
}

#[test]
fn two_proxies_that_lend_the_same_room_are_found() {
    let mut checker = Checker::new(None);
    let (a, b) = (account(60, 0, 0, 100), account(61, 20, 0, 100));
    rounds(&mut checker, &[&[a, b], &[a, b]]);
    assert_eq!(exceeded_line(&checker), Some((101, 100)));
}

#[test]
fn a_smaller_line_binds_once_all_have_heard_of_it_and_old_loans_are_back() {
    let (a, b) = (account(60, 0, 0, 100), account(40, 0, 0, 100));
    let (low, back) = (
        |b: LoanAccount| LoanAccount { line: 50, ..b },
        account(60, 50, 0, 100),
    );
    let mut checker = Checker::new(Some(1));
    rounds(
        &mut checker,
        &[&[a, b], &[low(a), b], &[low(a), b], &[low(a), b]],
    );
    assert_eq!(checker.broken.count, 0, "{:?}", checker.broken);
    let more = account(45, 0, 0, 100);
    rounds(
        &mut checker,
        &[
            &[low(back), b],
            &[low(back), b],
            &[low(back), more],
            &[low(back), more],
        ],
    );
    assert_eq!(exceeded_line(&checker), Some((55, 50)));
}

/// Debts at a dead proxy count until its lane expires. A restart with the state file continues its account; a restart
/// without one begins a new account in addition.
#[test]
fn what_the_dead_owe_counts_until_it_is_over() {
    let (a, b) = (account(70, 0, 0, 100), account(41, 0, 0, 100));
    let dead = |repaid: u64, then: fn(&mut Checker)| {
        let mut checker = Checker::new(None);
        rounds(&mut checker, &[&[a, account(20, 0, 0, 100)]]);
        checker.proxy_died("a", repaid);
        then(&mut checker);
        for _ in 0..2 {
            checker.observe("b", 1, "bus", b);
            checker.end_round();
        }
        exceeded_line(&checker)
    };
    assert_eq!(dead(10, |_| ()), Some((101, 100)));
    assert_eq!(dead(11, |_| ()), None);
    assert_eq!(dead(0, |checker| checker.forget("a")), None);
    assert_eq!(
        dead(0, |checker| checker.observe(
            "a",
            2,
            "bus",
            account(78, 0, 0, 100)
        )),
        None
    );
    assert_eq!(
        dead(0, |checker| checker.observe(
            "a",
            2,
            "bus",
            account(0, 0, 0, 100)
        )),
        Some((111, 100))
    );
}

#[derive(Clone, Debug)]
enum Step {
    Lend(usize, u64),
    Return(usize, u64, bool),
    Line(u64),
    Die(usize),
    /// Proxy, whether it has its state file, and the amount that the file has reserved in addition.
    Start(usize, bool, u64),
    Expire(usize),
    Observe,
}

fn step() -> impl Strategy<Value = Step> {
    let proxy = 0..3_usize;
    prop_oneof![
        4 => (proxy.clone(), 1..40_u64).prop_map(|(p, n)| Step::Lend(p, n)),
        3 => (proxy.clone(), 1..40_u64, any::<bool>()).prop_map(|(p, n, off)| Step::Return(p, n, off)),
        1 => (40..120_u64).prop_map(Step::Line),
        1 => proxy.clone().prop_map(Step::Die),
        1 => (proxy.clone(), any::<bool>(), 0..20_u64).prop_map(|(p, file, n)| Step::Start(p, file, n)),
        1 => proxy.prop_map(Step::Expire),
        6 => Just(Step::Observe),
    ]
}

/// Model of a proxy; `left`: debts of its former starts that are not in its account.
#[derive(Clone, Copy, Debug)]
struct Proxy {
    account: LoanAccount,
    start: u64,
    dead: bool,
    left: u64,
    /// Part of the account's debts that has expired.
    expired: u64,
    /// Amount returned since its last observation.
    returned: u64,
}

impl Proxy {
    fn observe_proxy(&mut self, checker: &mut Checker, at: usize, line: u64) {
        if !self.dead {
            checker.observe(
                &at.to_string(),
                self.start,
                "bus",
                LoanAccount {
                    line,
                    ..self.account
                },
            );
            self.returned = 0;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 400,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Any proxy may lend all room that there is at an instant, as if transfers took no time; proxies are observed in turn.
    #[test]
    fn no_sound_history_is_called_a_breach(steps in prop::collection::vec(step(), 1..300)) {
        let mut checker = Checker::new(Some(0));
        // A line stays in force until a whole round has observed it.
        let (mut line, mut next, mut whole) = (100, 0, 0);
        let new = Proxy { account: account(0, 0, 0, 100), start: 1, dead: false, left: 0, expired: 0, returned: 0 };
        let mut proxies = [new; 3];
        proxies.iter_mut().enumerate().for_each(|(at, proxy)| proxy.observe_proxy(&mut checker, at, line));
        for step in steps {
            let owed: u64 = proxies.iter().map(|p| p.left + p.account.owed - p.expired).sum();
            match step {
                Step::Lend(at, n) if !proxies[at].dead && owed + n <= line => {
                    proxies[at].account.lent += n;
                    proxies[at].account.owed += n;
                }
                Step::Return(at, n, off) if !proxies[at].dead => {
                    let Proxy { account, expired, returned, .. } = &mut proxies[at];
                    let n = n.min(account.owed);
                    account.owed -= n;
                    *expired = expired.saturating_sub(n);
                    *returned += n;
                    *if off { &mut account.written_off } else { &mut account.repaid } += n;
                }
                Step::Line(n) if whole > 1 => (line, whole) = (n, 0),
                Step::Die(at) if !proxies[at].dead => {
                    proxies[at].dead = true;
                    checker.proxy_died(&at.to_string(), proxies[at].returned);
                }
                Step::Start(at, file, n) if proxies[at].dead => {
                    let proxy = &mut proxies[at];
                    (proxy.dead, proxy.start) = (false, proxy.start + 1);
                    if file {
                        proxy.account.lent += n;
                        proxy.account.owed += n;
                    } else {
                        proxy.left += proxy.account.owed - proxy.expired;
                        (proxy.account, proxy.expired) = (account(0, 0, 0, line), 0);
                    }
                    proxy.observe_proxy(&mut checker, at, line);
                }
                Step::Expire(at) => {
                    checker.forget(&at.to_string());
                    proxies[at].left = 0;
                    if proxies[at].dead {
                        proxies[at].expired = proxies[at].account.owed;
                    }
                }
                Step::Observe => {
                    proxies[next].observe_proxy(&mut checker, next, line);
                    next = (next + 1) % 3;
                    if next == 0 {
                        checker.end_round();
                        whole += 1;
                    }
                }
                _ => {}
            }
        }
        prop_assert_eq!(checker.broken.count, 0, "{:?}", checker.broken.first);
    }
}
