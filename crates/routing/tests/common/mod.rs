//! A router with its clock and ledger, for scripted event sequences.
#![allow(dead_code)]

use routing::*;
use std::time::Duration;

pub const WRITE: u16 = 0;
pub const BOUNDED: u16 = 1;
pub const SESSION: u16 = 2;
pub const ANY: u16 = 3;
pub const UNSAFE_WRITE: u16 = 4;
pub const FRESH: u16 = 5;

pub const MS: Duration = Duration::from_millis(1);
/// Positions and starts need room before the first event.
pub const BEGIN: Time = Time(Duration::from_secs(1_000));

fn class(need: Need, effect: Effect, late_worth: f64) -> Class {
    Class {
        need,
        effect,
        aim: 300 * MS,
        deadline: 1_000 * MS,
        worth: 1.0,
        late_worth,
    }
}

pub fn settings() -> Settings {
    let keyed = Effect::Keyed {
        scope: Scope::Group,
        window: 600 * MS,
    };
    Settings {
        routers: 2,
        number: 0,
        zone: ZoneId(0),
        classes: vec![
            class(Need::Write, keyed, 0.5),
            class(Need::Bounded(500 * MS), Effect::Safe, 0.0),
            class(Need::Session, Effect::Safe, 0.0),
            class(Need::Any, Effect::Safe, 0.0),
            class(Need::Write, Effect::Unsafe, 0.5),
            class(Need::Fresh, Effect::Safe, 0.0),
        ],
        tenants: vec![],
        over_share_worth: 1.0,
        checks: Checks::None,
        tokens_carried: false,
        list_on_request: false,
        list_within: Duration::from_secs(10),
        may_probe: true,
        may_cancel: true,
        second_copies: true,
        retry_after: true,
        max_retry_after: 500 * MS,
        try_limit: 6,
        drain_grace: 250 * MS,
        soft_removal: false,
        cold_share: 0.25,
        warm_after: 10_000 * MS,
        overload_factor: 3.0,
        tip_after: 1_000 * MS,
        keepalive: 15_000 * MS,
    }
}

pub fn entry(store: u32, listed: Listed) -> Entry {
    Entry {
        store: StoreId(store),
        group: GroupId(0),
        zone: ZoneId(0),
        kind: KindId(0),
        listed,
        primary: false,
        started: Time::ZERO,
    }
}

pub struct Bench {
    pub router: Router,
    pub now: Time,
    next: u64,
}

impl Bench {
    /// A router that knows `members` stores of one group, store 1 being told to be primary.
    pub fn new(settings: Settings, members: u32) -> Bench {
        let mut bench = Bench::unheard(settings, members);
        for store in 1..=members {
            bench.report(store, store == 1, Duration::ZERO);
        }
        bench
    }

    /// The same without a word from any store.
    pub fn unheard(settings: Settings, members: u32) -> Bench {
        Bench::seeded(settings, members, 1)
    }

    pub fn seeded(settings: Settings, members: u32, seed: u64) -> Bench {
        let router = Router::new(
            Settings {
                number: seed as u32,
                ..settings
            },
            seed,
            BEGIN,
        );
        let mut bench = Bench {
            router,
            now: BEGIN,
            next: 1,
        };
        bench.list((1..=members).map(|s| entry(s, Listed::Ready)).collect());
        bench
    }

    pub fn wait(&mut self, span: Duration) {
        self.now = self.now.plus(span);
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.router.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, entries: Vec<Entry>) -> Vec<Action> {
        self.event(Event::List(ListNews::Changes(entries)))
    }

    /// A store reports a position that is `behind` old.
    pub fn report(&mut self, store: u32, primary: bool, behind: Duration) -> Vec<Action> {
        let report = Report {
            position: Some(self.now.minus(behind)),
            primary: Some(primary),
            ..Report::default()
        };
        self.event(Event::Probed {
            store: StoreId(store),
            ok: true,
            elapsed: Duration::ZERO,
            report,
        })
    }

    pub fn arrival(&mut self, class: u16) -> Arrival {
        self.next += 1;
        Arrival {
            id: RequestId(self.next),
            class: ClassId(class),
            tenant: TenantId(0),
            group: GroupId(0),
            session: Some(SessionKey(7)),
            time_left: 1_000 * MS,
            wrote: None,
            repeated: false,
            standing: Standing::Within,
            tries: None,
            shed: 0.0,
        }
    }

    pub fn ask(&mut self, class: u16) -> (RequestId, Vec<Action>) {
        let arrival = self.arrival(class);
        (arrival.id, self.event(Event::Arrived(arrival)))
    }

    pub fn end(
        &mut self,
        id: RequestId,
        attempt: u16,
        store: u32,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.end_with(id, attempt, store, outcome, Note::default())
    }

    pub fn end_with(
        &mut self,
        id: RequestId,
        attempt: u16,
        store: u32,
        outcome: Outcome,
        note: Note,
    ) -> Vec<Action> {
        self.event(Event::Ended(Ended {
            id,
            attempt: AttemptNo(attempt),
            store: StoreId(store),
            outcome,
            elapsed: 10 * MS,
            last: outcome == Outcome::Ok,
            note,
        }))
    }

    /// Time passes, with a timer event every 5 ms; all actions of that time.
    pub fn pass(&mut self, ms: u64) -> Vec<Action> {
        let mut all = Vec::new();
        for _ in 0..ms.div_ceil(5) {
            self.wait(5 * MS);
            all.extend(self.event(Event::Timer(TimerToken(0))));
        }
        all
    }
}

pub fn sends(actions: &[Action]) -> Vec<u32> {
    let to = |a: &Action| {
        if let Action::Send { store, .. } = a {
            Some(store.0)
        } else {
            None
        }
    };
    actions.iter().filter_map(to).collect()
}

/// How long the first attempt among these may take to begin.
pub fn begins_within(actions: &[Action]) -> Duration {
    let within = |a: &Action| {
        if let Action::Send { begin_within, .. } = a {
            Some(*begin_within)
        } else {
            None
        }
    };
    actions.iter().find_map(within).expect("an attempt")
}

pub fn refused(actions: &[Action], wanted: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Refuse { id, .. } if *id == wanted))
}

pub fn failed(actions: &[Action], wanted: RequestId) -> bool {
    actions
        .iter()
        .any(|a| matches!(a, Action::Fail { id } if *id == wanted))
}
