//! Repayment by other proxies: a tenant borrows at one proxy and then moves to the others. These withhold part of its quota, and
//! the lender books the withheld amounts.

use quota_lending::balances::TOTAL_SHARES;
use quota_lending::messages::REPAYMENT_REPORT;
use quota_lending::{Action, Config, Decision, Event, Lender, LoanTotals, Member, Rule, Rules};
use std::collections::VecDeque;
use std::time::Duration;

const TENANT: &str = "depot";
/// Quota of the whole fleet, in thousandths of a request per second.
const QUOTA: u64 = 90_000;
const STEP: Duration = Duration::from_millis(250);
/// Delay of each message.
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
    /// Rate of the tenant's requests at each proxy, in thousandths of its quota.
    demand_parts: [u64; 3],
    withheld_parts: [u32; 3],
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
            demand_parts: [1000, 0, 0],
            withheld_parts: [0; 3],
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
        fleet.run_until(80);
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

    fn run_until(&mut self, seconds: u64) {
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
                let delivered = self.reports_arrive || kind != REPAYMENT_REPORT;
                for at in (0..3).filter(|at| *at != from && delivered) {
                    let (source, incarnation) = (&roster[from], 1_000 + from as u64);
                    self.event(
                        at,
                        Event::Message {
                            source,
                            incarnation,
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
                // Local quota by traffic, with a tenth of the quota divided evenly, as the quota meter computes it.
                let quota = QUOTA * (self.demand_parts[at] + 30) / 1090;
                let withheld = quota * u64::from(self.withheld_parts[at]) / 1000
                    * STEP.as_millis() as u64
                    / 1000;
                self.lenders[at].repay(self.now, TENANT, withheld);
                self.withheld += withheld;
                self.withheld_parts[at] = self.lenders[at].withhold(self.now, TENANT, quota, 1000);
            }
        }
    }

    fn totals(&self, at: usize) -> LoanTotals {
        self.lenders[at]
            .totals(self.now, TENANT)
            .unwrap_or_default()
    }

    /// A fleet in which the tenant has borrowed all that the first proxy may lend, and has moved to the others. Returns the amount
    /// owed as well.
    fn with_borrowed_limit(reports_arrive: bool) -> (Fleet, u64) {
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
            "{owed} owed, with {:?} of all shares",
            fleet.lenders[0].shares(TENANT).0 as f64 / TOTAL_SHARES as f64
        );
        fleet.demand_parts = [0, 500, 500];
        (fleet, owed)
    }
}

#[test]
fn loans_of_a_tenant_that_has_moved_are_repaid_by_others() {
    let (mut fleet, owed) = Fleet::with_borrowed_limit(true);
    fleet.run_until(100);
    let totals = fleet.totals(0);
    println!("{owed} owed, {} withheld: {totals:?}", fleet.withheld);
    assert_eq!(
        (totals.owed, totals.written_off, totals.repaid),
        (0, 0, owed)
    );
    assert!(
        fleet.withheld <= owed + owed / 4,
        "{} withheld for {owed} owed",
        fleet.withheld
    );
    // Once all is repaid nothing more is withheld.
    let before = fleet.withheld;
    fleet.run_until(130);
    assert_eq!(fleet.withheld, before);
}

#[test]
fn loans_are_written_off_if_repayment_reports_are_lost() {
    let (mut fleet, owed) = Fleet::with_borrowed_limit(false);
    fleet.run_until(120);
    let totals = fleet.totals(0);
    assert!(totals.written_off > owed / 2, "{totals:?}");
}
