//! The latest next call: whenever discovery could be reached for [`TOLD`] without a break, a call was answered within
//! that time, whatever the calls before it had met with.

use discovery_schedule::{
    first_call, Action, Clock, Event, Time, ACTED, AGAIN, DIAL, FIRST, LATEST, OBJECT, RETRY,
    SILENCE, TOLD, TURN,
};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The sums of the table at the head of the crate.
#[test]
fn the_bounds_add_up() {
    for answered in [
        RETRY + TURN + ACTED,
        RETRY + DIAL + ACTED,
        LATEST + ACTED,
        DIAL + TURN + ACTED,
        SILENCE + TURN + ACTED,
        OBJECT + ACTED,
        AGAIN + TURN + ACTED,
    ] {
        assert!(answered <= TOLD, "{answered:?}");
    }
    assert!(
        RETRY + DIAL + ACTED <= ms(5_000),
        "a dial that hangs leaves a second for the next"
    );
    assert!(
        TURN + RETRY <= LATEST,
        "who is turned away after its turn keeps the whole of its spread"
    );
}

#[test]
fn a_first_call_leaves_time_for_a_second() {
    for ask_within in [500, 3_000, 4_000, 6_000, 10_000, 60_000].map(ms) {
        let first = first_call(ask_within);
        assert!(
            first >= (ask_within / 4).min(FIRST),
            "many must not call together"
        );
        assert!(
            first <= FIRST,
            "what changed before the start counts as told soon"
        );
        let tight = ask_within < (DIAL + TURN + ACTED) * 4 / 3;
        assert!(
            tight || first + DIAL + TURN + ACTED <= ask_within,
            "{ask_within:?}"
        );
    }
}

/// What a call meets with that begins while discovery can't be reached.
#[derive(Clone, Debug)]
enum Fate {
    /// Nobody answers the dial.
    Hangs,
    /// Refused, or reset before it is up.
    Refused(u64),
    /// Up; then these events, each after a pause; then nothing more, or the end.
    Up {
        after: u64,
        events: Vec<(u64, Event)>,
        ends: Option<u64>,
    },
}

/// A head alone, half a body and a trickle are bytes at times; a standing watch is whole objects.
fn fate() -> impl Strategy<Value = Fate> {
    let event = prop_oneof![3 => Just(Event::Bytes), 1 => Just(Event::Whole)];
    let trickle =
        (1_u64..700).prop_map(|pause| vec![(pause, Event::Bytes); 6_000 / pause as usize]);
    let events = prop_oneof![
        1 => Just(Vec::new()),
        1 => Just(vec![(10, Event::Bytes)]),
        2 => trickle,
        3 => prop::collection::vec((0_u64..3_500, event), 1..12),
    ];
    let ends = prop::option::of(0_u64..6_000);
    prop_oneof![
        1 => Just(Fate::Hangs),
        1 => (0_u64..1_200).prop_map(Fate::Refused),
        4 => (0_u64..900, events, ends).prop_map(|(after, events, ends)| Fate::Up { after, events, ends }),
    ]
}

/// One proxy: its clock, whoever orders calls, and what is yet to come of the call that is out.
struct Proxy {
    clock: Clock,
    /// What is to come: of the call that is out, and orders.
    coming: Vec<(Time, Event)>,
    orders: BTreeSet<Time>,
    /// Orders come so long after a failure, one after the other; none: never.
    gaps: Vec<Option<u64>>,
    fates: Vec<Fate>,
    calls: usize,
    /// A call is out.
    out: bool,
    reachable_from: Time,
    /// A call was out when discovery came back.
    outlived: bool,
    /// What an answer takes: with a turn to wait for, and where a call outlived the outage.
    takes: (Duration, Duration),
    answered: Option<Time>,
}

impl Proxy {
    fn act(&mut self, now: Time, event: Event) {
        let mut actions = Vec::new();
        self.clock.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Call => self.call(now),
                Action::Lost { .. } => {
                    self.coming.clear();
                    self.out = false;
                }
                Action::Tell => {
                    let gap = self.gaps[self.calls % self.gaps.len()];
                    self.orders.extend(gap.map(|gap| now + ms(gap).min(RETRY)));
                }
            }
        }
    }

    fn call(&mut self, now: Time) {
        self.coming.clear();
        self.calls += 1;
        self.out = true;
        if now >= self.reachable_from {
            let takes = if self.outlived {
                self.takes.1
            } else {
                self.takes.0
            };
            self.coming.push((now, Event::Up));
            self.coming.push((now + takes, Event::Whole));
            return;
        }
        match self.fates[self.calls % self.fates.len()].clone() {
            Fate::Hangs => {}
            Fate::Refused(after) => self.coming.push((now + ms(after), Event::Ended)),
            Fate::Up {
                after,
                events,
                ends,
            } => {
                let mut at = now + ms(after);
                self.coming.push((at, Event::Up));
                for (pause, event) in events {
                    at += ms(pause);
                    self.coming.push((at, event));
                }
                self.coming
                    .extend(ends.map(|ends| (at.min(now + ms(after + ends)), Event::Ended)));
            }
        }
        // What was sent before the break may arrive after it, but no whole list of a service that is not there.
        let reachable = self.reachable_from;
        self.coming
            .retain(|(at, event)| *event != Event::Whole || *at < reachable);
        self.coming.sort_by_key(|(at, _)| *at);
    }

    /// Runs to `until`, each thing at its time.
    fn run(&mut self, until: Time) {
        loop {
            let due = self.clock.due();
            let next = self.coming.first().map(|(at, _)| *at);
            let order = self.orders.first().copied();
            let Some(now) = [due, next, order]
                .into_iter()
                .flatten()
                .min()
                .filter(|at| *at <= until)
            else {
                return;
            };
            if next == Some(now) {
                let (_, event) = self.coming.remove(0);
                if event == Event::Whole && now >= self.reachable_from {
                    self.answered = Some(now);
                    return;
                }
                self.act(now, event);
            } else if order == Some(now) {
                self.orders.pop_first();
                self.act(now, Event::Ask);
            } else {
                self.act(now, Event::Tick);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn what_can_be_reached_for_so_long_has_answered(
        (pushed, silence) in (any::<bool>(), 500_u64..6_000),
        back in 0_u64..40_000,
        moved in prop::option::of(0_u64..44_000),
        fates in prop::collection::vec(fate(), 1..8),
        gaps in prop::collection::vec(prop::option::weighted(0.9, 0_u64..3_750), 1..5),
        (turn, quick) in (0_u64..=2_250, 0_u64..=250),
    ) {
        let back = ms(back);
        let mut proxy = Proxy {
            clock: Clock::new(ms(silence), pushed),
            coming: Vec::new(),
            orders: BTreeSet::new(),
            gaps,
            fates,
            calls: 0,
            reachable_from: back,
            out: false,
            outlived: false,
            takes: (ms(turn), ms(quick)),
            answered: None,
        };
        proxy.act(Time::ZERO, Event::Ask);
        // Another address counts from the move on; what was there is no matter then.
        let moved = moved.map(ms).filter(|moved| *moved < back + TOLD);
        if let Some(moved) = moved {
            proxy.run(moved);
            if proxy.answered.is_none() {
                proxy.reachable_from = proxy.reachable_from.max(moved);
                proxy.act(moved, Event::Moved);
            }
        }
        proxy.run(proxy.reachable_from.saturating_sub(ms(1)));
        proxy.outlived = proxy.out;
        let until = proxy.reachable_from + TOLD;
        proxy.run(until);
        let answered = proxy.answered;
        prop_assert!(answered.is_some_and(|at| at <= until), "back at {:?}, {answered:?}", proxy.reachable_from);
    }
}
