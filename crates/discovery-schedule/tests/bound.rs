//! Whenever discovery is reachable for [`NOTIFICATION_DEADLINE`] without interruption, a call is answered within that
//! time, regardless of how earlier calls ended.

use discovery_schedule::{
    first_poll_delay, Action, Event, PollSchedule, Time, APPLY_TIME, DIAL_TIMEOUT,
    MAX_FIRST_POLL_DELAY, MAX_POLL_AGE, MAX_QUEUE_TIME, MAX_RETRY_DELAY, NOTIFICATION_DEADLINE,
    OBJECT_TIMEOUT, SILENCE_TIMEOUT, WATCH_RECONNECT_DELAY,
};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Duration;

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The sums of the table in the crate's documentation.
#[test]
fn the_bounds_add_up() {
    for answered in [
        MAX_RETRY_DELAY + MAX_QUEUE_TIME + APPLY_TIME,
        MAX_RETRY_DELAY + DIAL_TIMEOUT + APPLY_TIME,
        MAX_POLL_AGE + APPLY_TIME,
        DIAL_TIMEOUT + MAX_QUEUE_TIME + APPLY_TIME,
        SILENCE_TIMEOUT + MAX_QUEUE_TIME + APPLY_TIME,
        OBJECT_TIMEOUT + APPLY_TIME,
        WATCH_RECONNECT_DELAY + MAX_QUEUE_TIME + APPLY_TIME,
    ] {
        assert!(answered <= NOTIFICATION_DEADLINE, "{answered:?}");
    }
    assert!(
        MAX_RETRY_DELAY + DIAL_TIMEOUT + APPLY_TIME <= ms(5_000),
        "a hung dial leaves one second for the next call"
    );
    assert!(
        MAX_QUEUE_TIME + MAX_RETRY_DELAY <= MAX_POLL_AGE,
        "a call that is rejected after MAX_QUEUE_TIME keeps the whole retry delay"
    );
}

#[test]
fn a_first_call_leaves_time_for_a_second() {
    for poll_within in [500, 3_000, 4_000, 6_000, 10_000, 60_000].map(ms) {
        let first = first_poll_delay(poll_within);
        assert!(
            first >= (poll_within / 4).min(MAX_FIRST_POLL_DELAY),
            "processes that start together must not call together"
        );
        assert!(
            first <= MAX_FIRST_POLL_DELAY,
            "the first call must come before earlier changes count as notified"
        );
        let tight = poll_within < (DIAL_TIMEOUT + MAX_QUEUE_TIME + APPLY_TIME) * 4 / 3;
        assert!(
            tight || first + DIAL_TIMEOUT + MAX_QUEUE_TIME + APPLY_TIME <= poll_within,
            "{poll_within:?}"
        );
    }
}

/// Behaviour of a call that starts while discovery is unreachable.
#[derive(Clone, Debug)]
enum CallBehaviour {
    /// The dial is not answered.
    Hangs,
    /// Refused, or reset before the connection is established, after this many milliseconds.
    Refused(u64),
    /// The connection is established, followed by these events, each after a pause in milliseconds, and then by silence
    /// or the end of the call.
    Connected {
        after: u64,
        events: Vec<(u64, Event)>,
        ends: Option<u64>,
    },
}

/// Generated behaviours include a response that stops after its head or half of its body, a slow trickle of bytes, and
/// a watch that receives complete objects.
fn call_behaviour() -> impl Strategy<Value = CallBehaviour> {
    let event = prop_oneof![3 => Just(Event::BytesReceived), 1 => Just(Event::ObjectReceived)];
    let trickle =
        (1_u64..700).prop_map(|pause| vec![(pause, Event::BytesReceived); 6_000 / pause as usize]);
    let events = prop_oneof![
        1 => Just(Vec::new()),
        1 => Just(vec![(10, Event::BytesReceived)]),
        2 => trickle,
        3 => prop::collection::vec((0_u64..3_500, event), 1..12),
    ];
    let ends = prop::option::of(0_u64..6_000);
    prop_oneof![
        1 => Just(CallBehaviour::Hangs),
        1 => (0_u64..1_200).prop_map(CallBehaviour::Refused),
        4 => (0_u64..900, events, ends).prop_map(|(after, events, ends)| CallBehaviour::Connected { after, events, ends }),
    ]
}

/// One proxy: its schedule, the module that requests calls, and the pending events of the open call.
struct Proxy {
    schedule: PollSchedule,
    /// Pending events of the open call.
    pending: Vec<(Time, Event)>,
    orders: BTreeSet<Time>,
    /// Delays in milliseconds from a failure to the request of the next call, used in rotation; none: no request.
    order_delays: Vec<Option<u64>>,
    behaviours: Vec<CallBehaviour>,
    calls: usize,
    /// Whether a call is open.
    open: bool,
    reachable_from: Time,
    /// Whether a call was open when discovery became reachable again.
    open_at_recovery: bool,
    /// Response times of a call that discovery queues, and of one made after a call stayed open over the outage.
    response_times: (Duration, Duration),
    answered: Option<Time>,
}

impl Proxy {
    fn handle(&mut self, now: Time, event: Event) {
        let mut actions = Vec::new();
        self.schedule.handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::StartCall => self.start_call(now),
                Action::CallLost { .. } => {
                    self.pending.clear();
                    self.open = false;
                }
                Action::ReportFailure => {
                    let delay = self.order_delays[self.calls % self.order_delays.len()];
                    self.orders
                        .extend(delay.map(|delay| now + ms(delay).min(MAX_RETRY_DELAY)));
                }
            }
        }
    }

    fn start_call(&mut self, now: Time) {
        self.pending.clear();
        self.calls += 1;
        self.open = true;
        if now >= self.reachable_from {
            let response_time = if self.open_at_recovery {
                self.response_times.1
            } else {
                self.response_times.0
            };
            self.pending.push((now, Event::Connected));
            self.pending
                .push((now + response_time, Event::ObjectReceived));
            return;
        }
        match self.behaviours[self.calls % self.behaviours.len()].clone() {
            CallBehaviour::Hangs => {}
            CallBehaviour::Refused(after) => self.pending.push((now + ms(after), Event::CallEnded)),
            CallBehaviour::Connected {
                after,
                events,
                ends,
            } => {
                let mut at = now + ms(after);
                self.pending.push((at, Event::Connected));
                for (pause, event) in events {
                    at += ms(pause);
                    self.pending.push((at, event));
                }
                self.pending
                    .extend(ends.map(|ends| (at.min(now + ms(after + ends)), Event::CallEnded)));
            }
        }
        // Bytes sent before the outage may arrive after it, but a service that is down sends no complete object.
        let reachable = self.reachable_from;
        self.pending
            .retain(|(at, event)| *event != Event::ObjectReceived || *at < reachable);
        self.pending.sort_by_key(|(at, _)| *at);
    }

    /// Runs until `until`, handling each event at its time.
    fn run(&mut self, until: Time) {
        loop {
            let due = self.schedule.next_deadline();
            let next = self.pending.first().map(|(at, _)| *at);
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
                let (_, event) = self.pending.remove(0);
                if event == Event::ObjectReceived && now >= self.reachable_from {
                    self.answered = Some(now);
                    return;
                }
                self.handle(now, event);
            } else if order == Some(now) {
                self.orders.pop_first();
                self.handle(now, Event::PollRequested);
            } else {
                self.handle(now, Event::Tick);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    #[test]
    fn a_reachable_discovery_answers_within_the_notification_deadline(
        (push_mode, silence) in (any::<bool>(), 500_u64..6_000),
        recovery in 0_u64..40_000,
        address_change in prop::option::of(0_u64..44_000),
        behaviours in prop::collection::vec(call_behaviour(), 1..8),
        order_delays in prop::collection::vec(prop::option::weighted(0.9, 0_u64..3_750), 1..5),
        (queued_response, open_response) in (0_u64..=2_250, 0_u64..=250),
    ) {
        let recovery = ms(recovery);
        let mut proxy = Proxy {
            schedule: PollSchedule::new(ms(silence), push_mode),
            pending: Vec::new(),
            orders: BTreeSet::new(),
            order_delays,
            behaviours,
            calls: 0,
            reachable_from: recovery,
            open: false,
            open_at_recovery: false,
            response_times: (ms(queued_response), ms(open_response)),
            answered: None,
        };
        proxy.handle(Time::ZERO, Event::PollRequested);
        // After the change, only the new address counts.
        let address_change = address_change.map(ms).filter(|address_change| *address_change < recovery + NOTIFICATION_DEADLINE);
        if let Some(address_change) = address_change {
            proxy.run(address_change);
            if proxy.answered.is_none() {
                proxy.reachable_from = proxy.reachable_from.max(address_change);
                proxy.handle(address_change, Event::AddressChanged);
            }
        }
        proxy.run(proxy.reachable_from.saturating_sub(ms(1)));
        proxy.open_at_recovery = proxy.open;
        let until = proxy.reachable_from + NOTIFICATION_DEADLINE;
        proxy.run(until);
        let answered = proxy.answered;
        prop_assert!(answered.is_some_and(|at| at <= until), "recovered at {:?}, {answered:?}", proxy.reachable_from);
    }
}
