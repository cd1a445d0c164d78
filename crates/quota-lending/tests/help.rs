//! A tenant that borrowed at one proxy and then moved to others: these withhold its quota, and the lender books it.

use quota_lending::balances::TOTAL_SHARES;
use quota_lending::messages::REPAYMENT_REPORT;
use quota_lending::{Action, Config, Decision, Event, Lender, LoanTotals, Member, Rule, Rules};
use std::collections::VecDeque;
use std::time::Duration;

const TENANT: &str = "depot";
/// In thousandths of a request a second, over the fleet.
const QUOTA: u64 = 90_000;
const STEP: Duration = Duration::from_millis(250);
/// Messages arrive after this time.
const DELAY: Duration = Duration::from_millis(500);

struct Delivery {
    at: Duration,
    from: usize,
    kind: u8,
    key: Vec<u8>,
    body: Vec<u8>,
}

struct Fleet {
    now: Duration,
    lenders: Vec<Lender>,
    timers: Vec<(Duration, u64)>,
    deliveries: VecDeque<Delivery>,
    /// The part of its quota that the tenant requests at each proxy, in thousandths.
    parts: [u64; 3],
    shares: [u32; 3],
    withheld: u64,
    reports_arrive: bool,
}

impl Fleet {
    fn new(reports_arrive: bool) -> Fleet {
        let max_loan_time = Duration::from_secs(40);
        let lender = |n: u64| {
            let config = Config {
                max_loan_time,
                ..Config::new(&format!("n{n}"), 1_000 + n, false)
            };
            Lender::new(&config, Duration::ZERO, None)
        };
        let timers = vec![(Duration::ZERO, 0); 3];
        let (lenders, deliveries) = ((0..3).map(lender).collect(), VecDeque::new());
        let mut fleet = Fleet {
            now: Duration::ZERO,
            lenders,
            timers,
            deliveries,
            parts: [1000, 0, 0],
            shares: [0; 3],
            withheld: 0,
            reports_arrive,
        };
        let rule = Rule {
            limit_time: Duration::from_secs(10),
            quota: QUOTA,
            term: Duration::from_secs(20),
            write_off: Duration::from_secs(10),
            floor: 500,
            classes: vec!["any".into()],
            max_rate: 1 << 40,
        };
        let rules = Rules::new(vec![(TENANT.into(), rule)], max_loan_time).unwrap();
        (0..3).for_each(|at| fleet.event(at, Event::Rules(rules.clone())));
        fleet.until(80);
        assert!(fleet.lenders.iter().all(Lender::is_bootstrapped));
        fleet
    }

    fn event(&mut self, at: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.lenders[at].handle(self.now, event, &mut actions);
        self.perform(at, actions);
    }

    fn perform(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Publish {
                    kind, key, body, ..
                } => {
                    self.deliveries.push_back(Delivery {
                        at: self.now + DELAY,
                        from,
                        kind,
                        key,
                        body,
                    });
                }
                Action::Timer { after, token } => self.timers[from] = (self.now + after, token),
                _ => {}
            }
        }
    }

    fn until(&mut self, seconds: u64) {
        let roster: Vec<String> = (0..3).map(|n| format!("n{n}")).collect();
        while self.now < Duration::from_secs(seconds) {
            self.now += STEP;
            while self
                .deliveries
                .front()
                .is_some_and(|delivery| delivery.at <= self.now)
            {
                let Some(Delivery {
                    from,
                    kind,
                    key,
                    body,
                    ..
                }) = self.deliveries.pop_front()
                else {
                    break;
                };
                let told = self.reports_arrive || kind != REPAYMENT_REPORT;
                for at in (0..3).filter(|at| *at != from && told) {
                    let (source, start) = (&roster[from], 1_000 + from as u64);
                    self.event(
                        at,
                        Event::Message {
                            source,
                            incarnation: start,
                            kind,
                            key: &key,
                            body: &body,
                            age: DELAY,
                        },
                    );
                }
            }
            for at in 0..3 {
                let others = (0..3).filter(|n| *n != at);
                let others = others.map(|n| Member {
                    name: roster[n].clone(),
                    incarnation: 1_000 + n as u64,
                    up: true,
                });
                let members: Vec<Member> = others.collect();
                self.event(
                    at,
                    Event::Membership {
                        may_lend: true,
                        roster: &roster,
                        members: &members,
                    },
                );
                let (due, token) = self.timers[at];
                if due <= self.now {
                    self.event(at, Event::Timer(token));
                }
                // Each has a part of a tenth beside its traffic, as the quota meter gives it.
                let quota = QUOTA * (self.parts[at] + 30) / 1090;
                let withheld =
                    quota * u64::from(self.shares[at]) / 1000 * STEP.as_millis() as u64 / 1000;
                self.lenders[at].repay(self.now, TENANT, withheld);
                self.withheld += withheld;
                self.shares[at] = self.lenders[at].withhold(self.now, TENANT, quota, 1000);
            }
        }
    }

    fn totals(&self, at: usize) -> LoanTotals {
        self.lenders[at]
            .totals(self.now, TENANT)
            .unwrap_or_default()
    }

    /// The tenant borrows all that one proxy may lend, and moves to the others.
    fn borrowed(reports_arrive: bool) -> (Fleet, u64) {
        let mut fleet = Fleet::new(reports_arrive);
        let mut actions = Vec::new();
        let now = fleet.now;
        while fleet.lenders[0].decide(now, TENANT, "any", 1000, &mut actions) == Decision::Borrowed
        {
        }
        fleet.perform(0, actions);
        let owed = fleet.totals(0).owed;
        assert!(
            owed > 10 * QUOTA / 4,
            "{owed} of {:?}",
            fleet.lenders[0].shares(TENANT).0 as f64 / TOTAL_SHARES as f64
        );
        fleet.parts = [0, 500, 500];
        (fleet, owed)
    }
}

#[test]
fn loans_of_a_tenant_that_has_moved_are_repaid_by_others() {
    let (mut fleet, owed) = Fleet::borrowed(true);
    fleet.until(100);
    let totals = fleet.totals(0);
    println!("{owed} were owed, {} withheld: {totals:?}", fleet.withheld);
    assert_eq!(
        (totals.owed, totals.written_off, totals.repaid),
        (0, 0, owed)
    );
    assert!(
        fleet.withheld <= owed + owed / 4,
        "{} for {owed}",
        fleet.withheld
    );
    // No more is withheld than is owed.
    let before = fleet.withheld;
    fleet.until(130);
    assert_eq!(fleet.withheld, before);
}

#[test]
fn without_their_reports_it_is_written_off() {
    let (mut fleet, owed) = Fleet::borrowed(false);
    fleet.until(120);
    let totals = fleet.totals(0);
    assert!(totals.written_off > owed / 2, "{totals:?}");
}
