//! Model check of the lender itself: three proxies, a line of three requests, every cut, loss, kill, return with and without
//! its file, in every order, up to a depth.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use quota_lending::identity::AccountId;
use quota_lending::messages::{decode, PublishedBalances, BALANCES};
use quota_lending::{Action, Config, Decision, Event, Guards, Lender, Member, Rule, Rules};
use stateright::{Checker, HasDiscoveries, Model, Property};

const TICK: Duration = Duration::from_secs(1);
const NAMES: [&str; 3] = ["a", "b", "c"];
const CREDIT_LIMIT: u64 = 3000;

/// Start, body, when said, how long it lasts.
type Said = (u64, Vec<u8>, Duration, Duration);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Proxy {
    lender: Option<(Lender, u64)>,
    token: u64,
    file: Option<Vec<u8>>,
    said: BTreeMap<(u8, Vec<u8>), Said>,
    loans: Vec<Duration>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: Duration,
    ticks: u8,
    proxies: Vec<Proxy>,
    taken: BTreeSet<(AccountId, usize)>,
    faults: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// A tick in which these ordered pairs don't hear: a bit for each.
    Tick(u16),
    Kill(usize),
    Return(usize, bool),
}

struct Three {
    guards: Guards,
    ticks: u8,
    faults: u8,
    /// With a lease in which gifts are made, and from where each has given away more than 32 bits count.
    gifts: bool,
}

fn bit(to: usize, from: usize) -> u16 {
    1 << (to * 3 + from)
}

/// All hear all; each one apart; each one deaf; each one mute; nobody hears.
fn cuts() -> Vec<u16> {
    let deaf = |at: usize| (0..3).map(|from| bit(at, from)).sum::<u16>();
    let mute = |at: usize| (0..3).map(|to| bit(to, at)).sum::<u16>();
    let mut cuts = vec![0];
    for at in 0..3 {
        cuts.extend([deaf(at) | mute(at), deaf(at)]);
    }
    cuts
}

impl Three {
    fn lender(&self, at: usize, start: u64, now: Duration, file: Option<&[u8]>) -> Lender {
        let mut config = Config::new(NAMES[at], start, true);
        (config.max_loan_time, config.lease, config.exchange_interval) =
            (Duration::from_millis(900), TICK + TICK / 2, TICK);
        config.lease += if self.gifts { TICK } else { Duration::ZERO };
        config.guards = self.guards;
        let mut lender = Lender::new(&config, now, file);
        let rule = Rule {
            limit_time: Duration::from_secs(1),
            quota: CREDIT_LIMIT,
            term: Duration::from_millis(500),
            write_off: Duration::from_millis(400),
            floor: 500,
            classes: vec!["any".into()],
            max_rate: 1 << 40,
        };
        let rules = Rules::new(vec![("s".into(), rule)], config.max_loan_time).expect("sound");
        lender.handle(now, Event::Rules(rules), &mut Vec::new());
        lender
    }

    fn act(proxy: &mut Proxy, now: Duration, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Publish {
                    kind,
                    key,
                    body,
                    ttl,
                } => {
                    let start = proxy.lender.as_ref().map_or(0, |(_, start)| *start);
                    proxy.said.insert((kind, key), (start, body, now, ttl));
                }
                Action::Save { sequence, bytes } => {
                    proxy.file = Some(bytes);
                    let mut more = Vec::new();
                    if let Some((lender, _)) = &mut proxy.lender {
                        lender.handle(now, Event::Saved(sequence), &mut more);
                    }
                    Self::act(proxy, now, more);
                }
                Action::Timer { token, .. } => proxy.token = token,
                Action::Notice(_) => {}
            }
        }
    }

    fn event(proxy: &mut Proxy, now: Duration, event: Event<'_>) {
        let mut actions = Vec::new();
        if let Some((lender, _)) = &mut proxy.lender {
            lender.handle(now, event, &mut actions);
        }
        Self::act(proxy, now, actions);
    }

    /// `busy`: the one that is asked, or all.
    fn tick(state: &mut State, cut: u16, busy: Option<usize>) {
        state.now += TICK;
        let now = state.now;
        let roster: Vec<String> = NAMES.iter().map(|name| (*name).to_owned()).collect();
        for to in 0..3 {
            let up = |from: usize| state.proxies[from].lender.is_some() && cut & bit(to, from) == 0;
            let member = |at: usize| Member {
                name: NAMES[at].into(),
                incarnation: 0,
                up: at == to || up(at),
            };
            let members: Vec<Member> = (0..3).map(member).collect();
            // The view is as wrong as it can be: the line must not hang on it.
            Self::event(
                &mut state.proxies[to],
                now,
                Event::Membership {
                    may_lend: true,
                    roster: &roster,
                    members: &members,
                },
            );
            let token = state.proxies[to].token;
            Self::event(&mut state.proxies[to], now, Event::Timer(token));
        }
        // Twice, so that what was answered comes back within the tick.
        for (to, from) in [(0, 1), (1, 2), (2, 0), (1, 0), (2, 1), (0, 2)] {
            if cut & bit(to, from) != 0 || state.proxies[from].lender.is_none() {
                continue;
            }
            let said = state.proxies[from].said.clone();
            for ((kind, key), (start, body, at, ttl)) in said {
                if now < at + ttl {
                    let (source, age) = (NAMES[from], now - at);
                    let fact = Event::Message {
                        source,
                        incarnation: start,
                        kind,
                        key: &key,
                        body: &body,
                        age,
                    };
                    Self::event(&mut state.proxies[to], now, fact);
                }
            }
        }
        for (at, proxy) in state.proxies.iter_mut().enumerate() {
            let max_loan_time = Duration::from_millis(900);
            proxy.loans.retain(|since| now < *since + max_loan_time);
            if busy.is_some_and(|busy| busy != at) {
                continue;
            }
            for _ in 0..8 {
                let mut actions = Vec::new();
                let Some((lender, _)) = &mut proxy.lender else {
                    break;
                };
                if lender.decide(now, "s", "any", 500, &mut actions) != Decision::Borrowed {
                    Self::act(proxy, now, actions);
                    break;
                }
                proxy.loans.push(now);
                Self::act(proxy, now, actions);
            }
        }
        for (at, proxy) in state.proxies.iter().enumerate() {
            let Some((lender, _)) = &proxy.lender else {
                continue;
            };
            state
                .taken
                .extend(lender.accounts_taken_over().map(|lane| (lane, at)));
        }
    }
}

impl Model for Three {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let proxy = |at: usize| Proxy {
            lender: Some((
                self.lender(at, 1 + at as u64, Duration::ZERO, None),
                1 + at as u64,
            )),
            token: 0,
            file: None,
            said: BTreeMap::new(),
            loans: vec![],
        };
        let proxies = (0..3).map(proxy).collect();
        let mut state = State {
            now: Duration::ZERO,
            ticks: 0,
            proxies,
            taken: BTreeSet::new(),
            faults: 0,
        };
        (0..16).for_each(|_| Self::tick(&mut state, 0, None));
        let founded = |proxy: &Proxy| {
            proxy
                .lender
                .as_ref()
                .is_some_and(|(lender, _)| lender.shares("s").0 > 0)
        };
        assert!(state.proxies.iter().all(founded), "the fleet is founded");
        if self.gifts {
            (0..600).for_each(|tick| Self::tick(&mut state, 0, Some(tick / 8 % 3)));
            let rows = state
                .proxies
                .iter()
                .flat_map(|p| &p.said)
                .filter(|((kind, _), _)| *kind == BALANCES);
            let rows = rows.filter_map(|(_, said)| decode::<PublishedBalances>(&said.1));
            let most = rows
                .map(|said| said.balances.sent.values().sum::<u64>())
                .max();
            assert!(
                most.is_some_and(|most| most > u64::from(u32::MAX)),
                "{most:?}"
            );
        }
        // From there; from one dead for a while; from one cut off for a while.
        let (mut dead, mut apart) = (state.clone(), state.clone());
        let silent = if self.gifts { 10 } else { 6 };
        dead.proxies[2].lender = None;
        (0..silent).for_each(|_| Self::tick(&mut dead, 0, None));
        (0..silent).for_each(|_| Self::tick(&mut apart, cuts()[5], None));
        vec![state, dead, apart]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.ticks < self.ticks {
            actions.extend(cuts().into_iter().map(Step::Tick));
        }
        if state.faults >= self.faults {
            return;
        }
        for (at, proxy) in state.proxies.iter().enumerate() {
            match proxy.lender {
                Some(_) => actions.push(Step::Kill(at)),
                None => actions.extend([Step::Return(at, true), Step::Return(at, false)]),
            }
        }
    }

    fn next_state(&self, last: &State, step: Step) -> Option<State> {
        let mut state = last.clone();
        match step {
            Step::Tick(cut) => {
                state.ticks += 1;
                Self::tick(&mut state, cut, None);
            }
            Step::Kill(at) => {
                state.faults += 1;
                state.proxies[at].lender = None;
            }
            Step::Return(at, keep) => {
                state.faults += 1;
                let start = 100 + u64::from(state.faults);
                let proxy = &mut state.proxies[at];
                proxy.file = proxy.file.take().filter(|_| keep);
                proxy.token = 0;
                proxy.lender = Some((
                    self.lender(at, start, state.now, proxy.file.as_deref()),
                    start,
                ));
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the line holds", |_, state: &State| {
                let out: u64 = state
                    .proxies
                    .iter()
                    .map(|proxy| proxy.loans.len() as u64 * 500)
                    .sum();
                let lenders = state
                    .proxies
                    .iter()
                    .filter_map(|proxy| proxy.lender.as_ref());
                let books = lenders.filter_map(|(lender, _)| lender.totals(state.now, "s"));
                let lends = books.filter(|book| state.now < book.lease_until);
                out + lends
                    .map(|book| book.local_limit.saturating_sub(book.owed))
                    .sum::<u64>()
                    <= CREDIT_LIMIT
            }),
            Property::always("a lane is taken once", |_, state: &State| {
                let lanes: BTreeSet<AccountId> =
                    state.taken.iter().map(|(lane, _)| *lane).collect();
                lanes.len() == state.taken.len()
            }),
            Property::always("books add up", |_, state: &State| {
                let lenders = state
                    .proxies
                    .iter()
                    .filter_map(|proxy| proxy.lender.as_ref());
                let mut books = lenders.filter_map(|(lender, _)| lender.totals(state.now, "s"));
                books.all(|book| book.lent == book.repaid + book.owed + book.written_off)
            }),
            Property::sometimes("a lane is taken", |_, state: &State| {
                !state.taken.is_empty()
            }),
            Property::sometimes("a loan is out", |_, state: &State| {
                state.proxies.iter().any(|proxy| !proxy.loans.is_empty())
            }),
        ]
    }
}

fn check(
    guards: Guards,
    ticks: u8,
    faults: u8,
    gifts: bool,
    most: usize,
) -> (usize, Vec<&'static str>) {
    let began = std::time::Instant::now();
    let model = Three {
        guards,
        ticks,
        faults,
        gifts,
    };
    let checker = model
        .checker()
        .threads(3)
        .target_state_count(most)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_dfs()
        .join();
    let mut found: Vec<&str> = checker.discoveries().into_keys().collect();
    found.sort_unstable();
    println!(
        "{} states ({} different), depth {}, {:?}: {found:?}",
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
        began.elapsed()
    );
    (checker.unique_state_count(), found)
}

#[test]
fn three_proxies_in_every_order() {
    for (gifts, ticks) in [(false, 4), (true, 3)] {
        let (states, found) = check(Guards::ALL, ticks, 2, gifts, 2_000_000);
        assert!(states > 10_000, "{states} states");
        let wrong = ["the line holds", "a lane is taken once", "books add up"];
        assert!(!found.iter().any(|name| wrong.contains(name)), "{found:?}");
    }
}

#[test]
#[ignore = "a minute"]
fn three_proxies_in_every_order_deeper() {
    let (states, found) = check(Guards::ALL, 5, 2, false, 4_000_000);
    assert!(states > 1_000_000, "{states} states");
    assert_eq!(found, ["a lane is taken", "a loan is out"]);
}

/// Guards whose loss shows within so few steps; the schedules notice the others.
#[test]
fn the_model_notices_guards_taken_away() {
    let all = Guards::ALL;
    let without = [
        (
            "part",
            Guards {
                local_limit: false,
                ..all
            },
        ),
        (
            "lease",
            Guards {
                lease: false,
                ..all
            },
        ),
        (
            "frozen",
            Guards {
                freeze: false,
                ..all
            },
        ),
        (
            "memory",
            Guards {
                stored_membership: false,
                ..all
            },
        ),
    ];
    for (name, guards) in without {
        print!("without {name}: ");
        let (_, found) = check(guards, 4, 2, false, 400_000);
        assert!(
            found.contains(&"the line holds"),
            "nobody notices that {name} is gone"
        );
    }
}
