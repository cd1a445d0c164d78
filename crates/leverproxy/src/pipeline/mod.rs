//! The chain that a request passes: take in, steer, quota, admit, route, send, relay, book.

pub mod admit;
pub mod decode;
pub mod quota;
pub mod record;
pub mod relay;
pub mod route;
pub mod route_rules;
pub mod send;

use crate::clock::evidence::Evidence;
use crate::clock::{Clock, Source};
use crate::control::admin::Admin;
use crate::control::control_socket::Operate;
use crate::discovery::directory::{Change, Directory};
use crate::discovery::wire::Listing;
use crate::discovery::{Discovery, News};
use crate::downstream::{self, Downstream};
use crate::event_loop::reactor::{later, Reactor, Timers};
use crate::health::monitor::Monitor;
use crate::health::Health;
use crate::observability::counters::Counters;
use crate::observability::log_rate_limit::LogRateLimit;
use crate::persistence::hot_restart::Takeover;
use crate::request::{Answer, Done, Piece, Purpose, Request, ResponseSlot, Verdict};
use crate::upstream::{Due, Upstream};
use maintenance::{Hand, Unknown};
use platform_settings::{Decoded, Names, Succession};
use routing::{
    Action, Consistency, EndpointUpdate, Event, QuotaStatus, RequestId, ServerId, Time, TimerToken,
};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The system's clock is looked at no more often than this.
const CLOCK_LOOK: Duration = Duration::from_millis(10);

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    Module(u32),
    Upstream(Due),
    Watch,
    /// Whoever of the clients has run out of time.
    LookOver,
    /// The listener, full before, may be looked at again.
    Accept,
    /// The proxy's own load is taken.
    Load,
    /// The drain has a step to take.
    Drain,
    /// Of the members of the fleet, by token.
    Members(u64),
    /// A rollout is looked at.
    Rollout,
    /// What others say of quotas and loans is looked at.
    Quota,
    /// What is to be remembered is looked at.
    Memory,
}

/// The sides that the chain works on.
pub struct IoEndpoints {
    pub reactor: Reactor,
    pub timers: Timers<Timer>,
    pub front: Downstream,
    pub upstream: Upstream,
    pub discovery: Discovery,
    pub health: Health,
    pub operate: Option<Operate>,
    pub admin: Option<Admin>,
    pub takeover: Option<Takeover>,
}

pub struct Pipeline {
    clock: Clock,
    /// What is known of the clock's error.
    evidence: Evidence,
    clock_looked: Option<Instant>,
    names: Names,
    /// Of the classes, by id.
    deadlines: Vec<Duration>,
    /// Those that only a primary takes.
    writes: Vec<bool>,
    probe_time: Duration,
    directory: Directory,
    /// Discovery has spoken to this process.
    list_confirmed: bool,
    open_requests: admit::OpenRequests,
    route: route::Route,
    steering: route_rules::Steering,
    pub quota: quota::Quota,
    rejections: LogRateLimit,
    /// When the proxy ends, once it is told to: no request has time beyond that.
    end: Option<Instant>,
    pub counters: Counters,
    pub monitor: Monitor,
}

impl Pipeline {
    pub fn new(
        platform: Decoded,
        rules: route_rules::Rules,
        mut monitor: Monitor,
        seed: u64,
        probe_time: Duration,
        wall_clock: Source,
        now: Instant,
    ) -> Pipeline {
        let clock = Clock::start(wall_clock);
        let mut quota = quota::Quota::default();
        quota.configure(&platform, now);
        let Decoded {
            settings,
            names,
            max_open,
            ..
        } = platform;
        monitor.configure(&settings);
        let mut counters = Counters::new(&names.classes);
        counters.goodput.configure(&settings);
        Pipeline {
            counters,
            monitor,
            rejections: LogRateLimit::default(),
            end: None,
            names,
            deadlines: settings.classes.iter().map(|c| c.deadline).collect(),
            writes: settings
                .classes
                .iter()
                .map(|c| c.consistency == Consistency::Write)
                .collect(),
            probe_time,
            directory: Directory::default(),
            list_confirmed: false,
            open_requests: admit::OpenRequests::new(max_open),
            steering: route_rules::Steering::new(rules),
            quota,
            route: route::Route::new(settings, seed, clock.unix(now)),
            clock,
            evidence: Evidence::default(),
            clock_looked: None,
        }
    }

    /// The list as the proxy last had it, before anything else.
    pub fn start(&mut self, known: Listing, sides: &mut IoEndpoints, now: Instant) {
        let (news, changes) = self.directory.learn(
            Listing {
                snapshot: true,
                ..known
            },
            &self.names,
        );
        let news = match news {
            EndpointUpdate::Snapshot(entries) => EndpointUpdate::Cached(entries),
            other => other,
        };
        self.listed(news, changes, sides, now);
    }

    /// Works through all that the sides have to tell.
    pub fn turn(&mut self, sides: &mut IoEndpoints, now: Instant) {
        loop {
            if let Some(sign) = sides.upstream.sign() {
                self.monitor.handle_signal(sign, now);
            } else if let Some(news) = sides.discovery.pop() {
                self.on_news(news, sides, now);
            } else if let Some(piece) = sides.upstream.piece() {
                self.on_piece(piece, sides, now);
            } else if let Some(done) = sides.upstream.pop() {
                self.on_done(done, sides, now);
            } else if let Some(event) = sides.front.pop() {
                match event {
                    downstream::Event::Asked(ticket, request) => {
                        self.on_request(ticket, request, sides, now)
                    }
                    downstream::Event::Left(ticket) => self.on_left(ticket, sides, now),
                    downstream::Event::Cancelled(ticket) => self.on_cancelled(ticket, sides, now),
                    downstream::Event::Room(ticket) => self.on_room(ticket, sides, now),
                }
            } else {
                break;
            }
        }
        for (at, due) in sides.upstream.take_due() {
            sides.timers.set(at, Timer::Upstream(due));
        }
        if let Some(at) = sides.discovery.alarm() {
            sides.timers.set(at, Timer::Watch);
        }
    }

    pub fn on_watch_timer(&mut self, sides: &mut IoEndpoints, now: Instant) {
        sides
            .discovery
            .check(self.directory.index(), now, &sides.reactor);
    }

    /// Where lists are pushed, the watch stands whatever the module asks for.
    pub fn set_pushed(&mut self, pushed: bool, sides: &mut IoEndpoints, now: Instant) {
        sides
            .discovery
            .set_pushed(pushed, self.directory.index(), now, &sides.reactor);
    }

    pub fn on_module_timer(&mut self, token: u32, sides: &mut IoEndpoints, now: Instant) {
        self.decide(Event::Timer(TimerToken(token)), sides, now);
    }

    fn on_request(
        &mut self,
        ticket: ResponseSlot,
        request: Request,
        sides: &mut IoEndpoints,
        now: Instant,
    ) {
        let id = self.open_requests.next_id();
        let margin = self.steering.rules().margin;
        let Pipeline {
            names, deadlines, ..
        } = self;
        let mut arrival = match decode::take_in(id, &request, names, deadlines, margin, now) {
            Ok(arrival) => decode::end_by(arrival, self.end, margin, now),
            Err(why) => {
                let known = self
                    .names
                    .classes
                    .iter()
                    .position(|name| *name == request.class);
                let class = known
                    .and_then(|at| u16::try_from(at).ok())
                    .map(routing::ClassId);
                return self.reject(ticket, class, why, sides, now);
            }
        };
        // Counters and the open requests go by the client's word; the class that the module hears may be another.
        let class = arrival.class;
        if let Some(answer) = self.open_requests.bars(&request) {
            return self.turn_away(ticket, class, answer, sides, now);
        }
        let unix = self.clock.unix(now);
        if let Some(after) = request.after {
            self.evidence.written(Time(after), unix);
        }
        let pool = match self.steering.steer(&mut arrival, &request, unix, now) {
            Ok(pool) => pool,
            Err(answer) => return self.turn_away(ticket, class, answer, sides, now),
        };
        self.quota
            .set_status(&mut arrival, request.tenant.is_some(), now);
        self.open_requests
            .admit(&arrival, ticket, class, pool, request);
        self.counters.taken(class);
        arrival.shed_fraction = self.monitor.request_arrived(&arrival, now);
        self.decide(Event::RequestArrived(arrival), sides, now);
    }

    /// An answer before the request is owed one by the open requests.
    fn turn_away(
        &mut self,
        ticket: ResponseSlot,
        class: routing::ClassId,
        answer: Answer,
        sides: &mut IoEndpoints,
        now: Instant,
    ) {
        if let Answer::Rejected(why) = answer {
            return self.reject(ticket, Some(class), why, sides, now);
        }
        self.counters.taken(class);
        self.counters
            .answered(class, QuotaStatus::WithinQuota, &answer, Duration::ZERO);
        sides.front.answer(ticket, answer, now, &sides.reactor);
    }

    /// Strikes a request off, and frees its place in its pool.
    fn close(&mut self, id: RequestId, now: Instant) -> Option<admit::OpenRequest> {
        let open = self.open_requests.close(id, now)?;
        self.vacate(&open, now);
        Some(open)
    }

    fn vacate(&mut self, open: &admit::OpenRequest, now: Instant) {
        if let Some(pool) = open.pool {
            self.steering
                .give_back(pool, now.saturating_duration_since(open.read_at));
        }
    }

    /// The operators' rules from now on; the former ones.
    pub fn set_rules(&mut self, rules: route_rules::Rules) -> route_rules::Rules {
        self.steering.replace(rules)
    }

    /// The platform's settings from now on; what was known, and requests under way, stay.
    pub fn configure(&mut self, succession: Succession, probe_time: Duration, now: Instant) {
        let Succession { next, heirs, .. } = succession;
        self.quota.configure(&next, now);
        let Decoded {
            settings,
            names,
            max_open,
            ..
        } = next;
        self.counters.extend(&names.classes);
        self.counters.goodput.configure(&settings);
        self.deadlines = settings.classes.iter().map(|c| c.deadline).collect();
        self.writes = settings
            .classes
            .iter()
            .map(|c| c.consistency == Consistency::Write)
            .collect();
        (self.names, self.probe_time) = (names, probe_time);
        self.open_requests.set_limit(max_open);
        self.monitor.configure(&settings);
        self.route.configure(settings, &heirs);
    }

    pub fn steering(&self) -> &route_rules::Steering {
        &self.steering
    }

    /// The request makes no sense: the client is told, and nobody else hears of it.
    fn reject(
        &mut self,
        ticket: ResponseSlot,
        class: Option<routing::ClassId>,
        why: String,
        sides: &mut IoEndpoints,
        now: Instant,
    ) {
        self.rejections
            .warn(now, || format!("front: a request is rejected: {why}"));
        let answer = Answer::Rejected(why);
        match class {
            Some(class) => {
                self.counters
                    .answered(class, QuotaStatus::WithinQuota, &answer, Duration::ZERO)
            }
            None => self.counters.rejected += 1,
        }
        sides.front.answer(ticket, answer, now, &sides.reactor);
    }

    fn on_left(&mut self, ticket: ResponseSlot, sides: &mut IoEndpoints, now: Instant) {
        if let Some(open) = self.abandon(ticket, sides, now) {
            self.counters.left(open.class);
        }
    }

    /// The client does not want the answer any more, and is told that this was heard. One that has begun to reach it
    /// goes on.
    fn on_cancelled(&mut self, ticket: ResponseSlot, sides: &mut IoEndpoints, now: Instant) {
        let open = self
            .open_requests
            .id(ticket)
            .and_then(|id| self.open_requests.get_mut(id));
        if open.is_none_or(|open| open.passing.is_some()) {
            return;
        }
        if let Some(open) = self.abandon(ticket, sides, now) {
            self.counters.cancelled(open.class);
            sides
                .front
                .answer(ticket, Answer::Cancelled, now, &sides.reactor);
        }
    }

    /// Strikes off a request that nobody waits for: nothing new is sent for it.
    fn abandon(
        &mut self,
        ticket: ResponseSlot,
        sides: &mut IoEndpoints,
        now: Instant,
    ) -> Option<admit::OpenRequest> {
        let id = self.open_requests.id(ticket)?;
        let open = self.close(id, now)?;
        if open.attempts() > 0 {
            sides.upstream.call_off(id, now);
        }
        if let Some((_, from)) = open.passing {
            sides.upstream.stop(from, now);
        }
        self.quota.record_end(&open, None, now);
        self.monitor.client_left(id, open.group, now);
        self.decide(Event::ClientLeft(id), sides, now);
        Some(open)
    }

    /// A part of an answer that is too large to be kept goes to the client at once. With the first the module hears that
    /// the attempt was answered: that is what is timed.
    fn on_piece(&mut self, piece: Piece, sides: &mut IoEndpoints, now: Instant) {
        let Piece {
            id,
            attempt,
            from,
            server,
            elapsed,
            bytes,
        } = piece;
        let Some(open) = self
            .open_requests
            .get_mut(id)
            .filter(|o| o.passing.is_none_or(|p| p.0 == attempt))
        else {
            // Its client has left, or gets another attempt's answer.
            return sides.upstream.stop(from, now);
        };
        let (first, class) = (open.passing.replace((attempt, from)).is_none(), open.class);
        if !sides.front.pass(open.ticket, &bytes, now, &sides.reactor) {
            sides.upstream.hold_back(from, now, &sides.reactor);
        }
        if first {
            let write = self.is_write(Some(class));
            let position = self.least_commit(now).filter(|_| write);
            let metadata = routing::ResponseMetadata {
                position,
                ..routing::ResponseMetadata::default()
            };
            let outcome = routing::Outcome::Ok;
            let ended = routing::AttemptEnded {
                id,
                attempt,
                server,
                outcome,
                elapsed,
                request_finished: true,
                metadata,
            };
            self.learn(Event::AttemptEnded(ended), sides, now);
        }
    }

    fn on_room(&mut self, ticket: ResponseSlot, sides: &mut IoEndpoints, now: Instant) {
        let open = self
            .open_requests
            .id(ticket)
            .and_then(|id| self.open_requests.get_mut(id));
        if let Some((_, from)) = open.and_then(|open| open.passing) {
            sides.upstream.resume(from, now, &sides.reactor);
        }
    }

    fn on_done(&mut self, mut done: Done, sides: &mut IoEndpoints, now: Instant) {
        self.counters.ended(done.class, &done.verdict);
        self.monitor.exchange_ended(&done, now);
        let latest = self.believed(&done, now);
        let Purpose::Attempt(id, attempt) = done.purpose else {
            return self.learn(record::book(&done, true, latest), sides, now);
        };
        if let Some((open, answer)) =
            relay::served(id, attempt, &mut done.verdict, &mut self.open_requests, now)
        {
            self.vacate(&open, now);
            self.relay(open, answer, sides, now);
        } else if self
            .open_requests
            .get_mut(id)
            .is_some_and(|o| o.passing.is_some_and(|p| p.0 == attempt))
        {
            // Its rest will never come; the module has heard of it already.
            return self.answer(id, Answer::Failed, sides, now);
        }
        let last = self.open_requests.get_mut(id).is_none();
        let latest = if self.commits(&mut done, now) {
            latest.plus(record::BEHIND_MOST)
        } else {
            latest
        };
        self.learn(record::book(&done, last, latest), sides, now);
    }

    /// The latest position that is believed, after what this exchange tells of the time.
    fn believed(&mut self, done: &Done, now: Instant) -> Time {
        let unix = self.clock.unix(now);
        if let Some(told) = record::told(done, unix) {
            self.evidence.told(told, unix);
        }
        self.evidence.latest(unix)
    }

    /// Whether it is a write that went through. Its commit is what later reads of its session have to see: it counts
    /// although it lies ahead, and where none is told it may be as late as true time may be.
    fn commits(&self, done: &mut Done, now: Instant) -> bool {
        let commits = self.is_write(done.class) && matches!(done.verdict, Verdict::Served(_));
        if commits {
            done.metadata.position = done.metadata.position.or(self.least_commit(now));
        }
        commits
    }

    fn is_write(&self, class: Option<routing::ClassId>) -> bool {
        let class = class.map(|class| usize::from(class.0));
        class
            .and_then(|class| self.writes.get(class))
            .copied()
            .unwrap_or(false)
    }

    /// What a commit of just now counts as, if it does not tell; none: the module's own time will do.
    fn least_commit(&self, now: Instant) -> Option<Time> {
        let unix = self.clock.unix(now);
        let lead = self.evidence.lead(unix);
        (!lead.is_zero()).then(|| unix.plus(lead))
    }

    /// Needs for fresh data follow what is known of the clock's error.
    fn look_at_clock(&mut self, now: Instant) {
        if self
            .clock_looked
            .is_none_or(|at| now.saturating_duration_since(at) >= CLOCK_LOOK)
        {
            self.clock_looked = Some(now);
            self.evidence.system(self.clock.system_lead());
        }
        self.route
            .set_lead(self.evidence.lead(self.clock.unix(now)));
    }

    /// What a record server has told goes to both who ask for it.
    fn learn(&mut self, event: Event, sides: &mut IoEndpoints, now: Instant) {
        let told = match &event {
            Event::AttemptEnded(ended) => Some((
                ended.server,
                ended.metadata.position,
                ended.metadata.primary,
            )),
            Event::ProbeEnded { server, report, .. } => {
                Some((*server, report.position, report.primary))
            }
            _ => None,
        };
        if let Some((server, position, primary)) = told {
            self.monitor
                .role_reported(server, position, primary, &self.clock, now);
        }
        self.decide(event, sides, now);
    }

    /// Dials a server whose silence may be its link's.
    pub fn knock(&mut self, sides: &mut IoEndpoints, now: Instant) {
        if let Some(server) = self
            .monitor
            .server_to_dial(|server| sides.upstream.may_knock(server))
        {
            sides.upstream.knock(server, now, &sides.reactor);
        }
    }

    fn on_news(&mut self, news: News, sides: &mut IoEndpoints, now: Instant) {
        match news {
            News::Heard => {
                self.monitor.handle(now, availability::Event::ListReceived);
                if !std::mem::replace(&mut self.list_confirmed, true) {
                    // Nothing has changed since the list that this process began with.
                    self.decide(
                        Event::Endpoints(EndpointUpdate::Changes(Vec::new())),
                        sides,
                        now,
                    );
                }
            }
            News::Listing(listing) => {
                self.monitor
                    .handle(now, availability::Event::Discovery { connected: true });
                self.monitor.handle(now, availability::Event::ListReceived);
                self.counters.lists += 1;
                self.list_confirmed = true;
                let (news, changes) = self.directory.learn(listing, &self.names);
                self.listed(news, changes, sides, now);
                self.monitor.list_updated(true, now);
            }
            News::Lost => {
                self.monitor.list_updated(false, now);
                self.monitor
                    .handle(now, availability::Event::Discovery { connected: false });
                self.counters.watches_lost += 1;
            }
            News::Failed => self.decide(Event::Endpoints(EndpointUpdate::Failed), sides, now),
        }
    }

    /// The module hears of a list before the attempts that it ends are reported.
    fn listed(
        &mut self,
        news: EndpointUpdate,
        changes: Vec<Change>,
        sides: &mut IoEndpoints,
        now: Instant,
    ) {
        if let EndpointUpdate::Changes(entries)
        | EndpointUpdate::Snapshot(entries)
        | EndpointUpdate::Cached(entries) = &news
        {
            let named = |server: &ServerId| entries.iter().any(|e| e.server == *server);
            let left = changes.iter().filter_map(|change| match change {
                Change::Leaves(server) => Some(*server).filter(|server| !named(server)),
                Change::Serves(..) => None,
            });
            self.monitor.endpoints_updated(entries, left, now);
        }
        for change in changes {
            match change {
                Change::Serves(server, address) => sides.upstream.serves(server, address),
                Change::Leaves(server) => sides.upstream.leaves(server, now),
            }
        }
        self.decide(Event::Endpoints(news), sides, now);
    }

    /// What the module hears and says is told at the level of traces: whoever counts over many proxies reads it there.
    fn decide(&mut self, event: Event, sides: &mut IoEndpoints, now: Instant) {
        log::trace!("event {event:?}");
        self.look_at_clock(now);
        for action in self.route.decide(self.clock.unix(now), event) {
            log::trace!("action {action:?}");
            self.act(action, sides, now);
        }
    }

    fn act(&mut self, action: Action, sides: &mut IoEndpoints, now: Instant) {
        match action {
            Action::Send {
                id,
                server,
                timeout,
                begin_within,
            } => {
                self.monitor.record_outcome(id, false);
                let Some(open) = self.open_requests.get_mut(id) else {
                    return;
                };
                let exchange = send::attempt(id, open, timeout, begin_within, now);
                self.monitor.exchange_started(Some(open.group), server, now);
                sides.upstream.start(server, exchange, now, &sides.reactor);
            }
            Action::Probe { server } => self.probe(server, sides, now),
            Action::Cancel { id, attempt } => {
                sides.upstream.cancel(Purpose::Attempt(id, attempt), now)
            }
            Action::Reject { id, retry_after } => {
                self.monitor.record_outcome(id, true);
                self.answer(id, Answer::Refused(retry_after), sides, now);
            }
            Action::Fail { id } => {
                self.monitor.record_outcome(id, false);
                self.answer(id, Answer::Failed, sides, now);
            }
            Action::Timer { after, token } => {
                sides.timers.set(later(now, after), Timer::Module(token.0));
            }
            Action::Subscribe => {
                sides
                    .discovery
                    .subscribe(self.directory.index(), now, &sides.reactor);
            }
        }
    }

    /// Discovery is at another address; what is known of the record servers stays.
    pub fn discovery_at(&mut self, address: SocketAddr, sides: &mut IoEndpoints, now: Instant) {
        sides
            .discovery
            .move_to(address, self.directory.index(), now, &sides.reactor);
    }

    fn probe(&mut self, server: ServerId, sides: &mut IoEndpoints, now: Instant) {
        self.counters.probe_sent();
        self.monitor.exchange_started(None, server, now);
        sides.upstream.start(
            server,
            send::probe(self.probe_time, now),
            now,
            &sides.reactor,
        );
    }

    fn answer(&mut self, id: RequestId, answer: Answer, sides: &mut IoEndpoints, now: Instant) {
        if let Some(open) = self.close(id, now) {
            if open.attempts() > 0 {
                sides.upstream.call_off(id, now);
            }
            self.relay(open, answer, sides, now);
        }
    }

    fn relay(
        &mut self,
        open: admit::OpenRequest,
        answer: Answer,
        sides: &mut IoEndpoints,
        now: Instant,
    ) {
        log::debug!(
            "{}: {}",
            self.counters.name(open.class),
            relay::account(&open, &answer, now)
        );
        let took = now.saturating_duration_since(open.read_at);
        self.counters
            .answered(open.class, open.standing, &answer, took);
        self.quota.record_end(&open, Some(&answer), now);
        let write = self
            .writes
            .get(usize::from(open.class.0))
            .copied()
            .unwrap_or(false);
        self.monitor
            .request_answered(open.group, write, &answer, now);
        match (open.passing, &answer) {
            // It has begun to reach the client, and won't be finished: the client sees that by its connection.
            (
                Some((_, from)),
                Answer::Refused(_) | Answer::Failed | Answer::Cancelled | Answer::Rejected(_),
            ) => {
                sides.upstream.stop(from, now);
                sides.front.cut(open.ticket, now, &sides.reactor);
            }
            _ => sides.front.answer(open.ticket, answer, now, &sides.reactor),
        }
    }

    /// No request that comes from now on is waited for beyond this.
    pub fn ends_at(&mut self, end: Instant) {
        self.end = Some(end);
    }

    /// The last word to all who are owed one: better than a connection that just ends. What was never sent is refused:
    /// that nothing of it ran is known, and another proxy may still serve it.
    pub fn fail_all(&mut self, sides: &mut IoEndpoints, now: Instant) {
        for id in self.open_requests.ids() {
            let untried = self
                .open_requests
                .get_mut(id)
                .is_some_and(|open| open.attempts() == 0);
            let answer = if untried {
                Answer::Refused(None)
            } else {
                Answer::Failed
            };
            self.answer(id, answer, sides, now);
        }
    }

    /// Operators take a server out or call it back.
    pub fn hand(
        &mut self,
        name: &str,
        out: bool,
        sides: &mut IoEndpoints,
        now: Instant,
    ) -> Result<(), Unknown> {
        if let Some((news, changes)) =
            self.directory
                .hand(name, out, self.clock.unix(now), &self.names)?
        {
            self.monitor.servers_excluded(&news, now);
            self.listed(news, changes, sides, now);
        }
        Ok(())
    }

    /// What the process before this one was told by operators, beside the list that it had.
    pub fn take_over(&mut self, hands: Vec<Hand>, sides: &mut IoEndpoints, now: Instant) {
        for (news, changes) in self.directory.take_over(hands, &self.names) {
            self.monitor.servers_excluded(&news, now);
            self.listed(news, changes, sides, now);
        }
    }

    /// Discovery's count of the list, once it has spoken to this process.
    pub fn list_index(&self) -> Option<u64> {
        (self.counters.lists > 0).then(|| self.directory.index())
    }

    /// What the next process gets to know: the list and the operators' word.
    pub fn known(&self) -> (Listing, Vec<Hand>) {
        (self.directory.listing(), self.hands())
    }

    /// The operators' word.
    pub fn hands(&self) -> Vec<Hand> {
        self.directory.hands().hands()
    }

    /// Record servers in the list, and those of them that are avoided at present.
    pub fn record_servers(&self, now: Instant) -> (usize, usize) {
        (
            self.directory.hands().listed(),
            self.route.avoided(self.clock.unix(now)),
        )
    }

    /// What operators are told of sites, or of one.
    pub fn sites(&self, named: Option<&str>, now: Instant) -> String {
        self.monitor
            .site_table(named, [&self.names.classes, &self.names.tenants], now)
    }

    /// Requests that are owed an answer.
    pub fn owed(&self) -> usize {
        self.open_requests.len()
    }
}
