//! Every decision of the router. Types, events and actions: `interface.rs`.
//!
//! **Mechanism** (cost-to-fresh routing, after DTR2). A read goes to the member of its group with the
//! least sum of this router's own remaining work there, the predicted wait until the member has applied
//! the log up to the position that the read needs, and the run time to be expected there (`choose`).
//! Writes and fresh reads go to the primary; bounded and any reads only when no replica meets the need.
//!
//! **Departures**, each explained where it acts:
//! - a server without room for this router is passed over; what finds none is held (`has_room`, `wake`); the
//!   room shrinks while answers take too long for their aims (`learn`); with none out a draw decides;
//! - a router takes in what its attempts show a group to bear (`takes_in`);
//! - an attempt that outlived its average counts as work (`remaining_work`), one in vain as run time;
//! - the time since a position was told counts as caught up, until a miss (`catch_up`) or an answer (`ask`);
//! - with every replica behind, reads share the primary by worth (`primary_share`);
//! - what was never sent is refused before half of its time is over (`patient_until`);
//! - the aim of a marked repeat counts from its client's first try (`aim_end`);
//! - a dead or cut-off server rests (`rest`); a starting one gets its part only (`cold_room`).

use crate::interface::*;
use crate::slow_start::{Sent, Turn, UsualWork};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

tuning! {
    /// Weight of a new run time in the moving average: about ten answers of memory, since run times scatter
    /// about as widely as their mean.
    run_weight: 0.1,
    /// A class's work is what it takes unhindered: longer times, which hold waiting too, count this much
    /// less. Else writes that wait for slow replicas would seem to earn too little for their work, and lose
    /// the primary to reads.
    work_rise: 0.2,
    /// A member is asked again after this share of the tightest bound: reports are refreshed about as often.
    ask_again: 0.25,
    /// Share of its time left that a request is held for want of a primary, and one that earns nothing late
    /// for want of room; the rest is the client's, to come back in. Under half, since a client that hears
    /// only after that that nothing was tried has lost most of it.
    hold_share: 0.45,
    /// After a hard failure a server is left alone for this share of the tightest aim, doubling each time ...
    rest_first: 0.25,
    /// ... to this many aims at most: well under what an election takes, so that a new role is not missed
    /// long.
    rest_max: 2.0,
    /// A held request with nothing to wake it is looked at again after this share of the tightest aim.
    recheck: 0.1,
    /// Of the multiple of a cold server's capacity that makes it collapse, this share is used, of what first
    /// tries bring a fully used group: a quarter more demand, or as much by chance, still does not reach it.
    cold_caution: 0.8,
    /// What a starting server bears is shared out by slices of this part of the time that a collapse takes.
    cold_slice: 0.5,
    /// The part of what is heavier than the mean is less by this power of how much heavier it is: where a server
    /// bears a few requests, some heavy ones at once are what tips it.
    cold_light: 1.5,
    /// That part grows so much within the time that a collapse takes, while answers take under so many times
    /// what one so cold needs and this share of their aims; how far at most; else it is cut to this.
    trust_rise: 1.0,
    trust_late: 2.0,
    trust_aim: 0.75,
    trust_most: 3.0,
    trust_cut: 0.8,
    /// Own attempts out at a server that nothing is known of; one answer in time doubles that (`learn`).
    room_start: 1.0,
    /// What answers took is held against a server for about this many of the tightest aims: a router that
    /// sends there every few seconds goes by the last answer or two, one that sends often by an average.
    forget: 10.0,
    /// Among more routers than these a late answer keeps one off for longer, by the root of their number:
    /// what all try again in that time would else be all that the server can do.
    few: 8.0,
    /// A server whose answers take more than this share of their aims on average holds too much, and its room
    /// is cut: run times scatter about as widely as their mean, so half the aim keeps most answers inside it.
    room_late: 0.5,
    /// Under this share of that it may hold more; between the two the room stays.
    room_easy: 0.7,
    /// The part of its requests that a router takes in grows while answers come in time, up to this much, and
    /// shrinks so many times as fast while they are late: what the servers do in vain stays under a fifth.
    door: 1.5,
    door_fall: 4.0,
    /// The door for what is beyond a quota falls so fast that few answers are late for it; by half at once.
    spare_fall: 30.0,
    /// How fast what nothing more is heard of is forgotten, as a share of other memories' speed.
    door_fade: 0.1,
    /// Least part taken in: without any a router would not learn that the servers have recovered.
    door_least: 0.05,
    /// Weight of a new answer in that average.
    room_weight: 0.2,
    /// A cut is to this share, at most once for what was sent before the last cut.
    room_cut: 0.8,
    /// Least share of the primary's room open to reads that may go elsewhere. Writes may not, so a read gets
    /// the share that its worth for the work bears to that of the best write, but not so little that no read
    /// sees fresh data.
    reads_at_primary: 0.5,
    /// A repeat that has under this share of the time of first tries is at the end of its client's time.
    less_time: 0.95,
}

/// The list is asked for again after a failure within twice this, doubled each time up to [`discovery_schedule::RETRY`].
const LIST_WAIT: Duration = Duration::from_millis(125);
/// Beyond a few routers calls are spread so far apart over all, as far as the time allows in which one has to be made:
/// `discovery_schedule`'s to say. After the first failure a call comes at any time of that span, so that each router has its place
/// in it. From the second on it comes after this share of the span at least: routers that keep their places make the
/// fewest calls, and the fewest of these fall together when the service is back.
const LIST_PACE: (Duration, f64) = (Duration::from_millis(80), 0.75);
/// Before the end of a keyed window from which on nothing is sent again: for the way to the server and late loops.
const REPEAT_MARGIN: Duration = Duration::from_millis(20);
/// Writes remembered; beyond it the old ones are folded into one position that all sessions must see.
const WRITES_KEPT: usize = 100_000;
/// An attempt in vain that so many sent later have overtaken tells of its connection, not of the server.
const OVERTAKEN: u32 = 4;
/// Held requests looked at for one piece of news, the most valuable first: bounds the time an event takes.
const WAKE_LOOK: usize = 16;

/// Stands for the tightest aim where no class states one.
const AIM_UNSTATED: Duration = Duration::from_secs(1);
/// Stands for spans of nothing where they divide or must count.
const LEAST: Duration = Duration::from_micros(1);

type Out = Vec<Action>;

#[derive(Default)]
struct Server {
    group: GroupId,
    zone: ZoneId,
    listed: EndpointState,
    listed_primary: bool,
    /// When this router was told that it drains or is gone.
    told_leaving: Option<Time>,
    started: Time,
    /// Newest evidence of its role and the time at which that was true.
    role: Option<(bool, Time)>,
    /// All commits up to here are applied, as told.
    position: Option<Time>,
    /// When its position was last told.
    told: Time,
    /// It turned a read away that needed this position, at this time.
    missed: Option<(Time, Time)>,
    heard: Option<Time>,
    probe_out: bool,
    probed: Time,
    /// Attempts out: class, time sent, and how many sent later have been answered meanwhile.
    out: BTreeMap<(RequestId, AttemptNo), (ClassId, Time, u32)>,
    run_time: Vec<Option<Duration>>,
    /// Own attempts it is trusted to bear at once, and when that was last cut.
    room: f64,
    room_cut: Time,
    /// Moving averages of time taken over aim, and of time taken; and when an answer last told.
    pressure: f64,
    took: Duration,
    judged: Time,
    setbacks: u32,
    rests_until: Time,
    /// Times the part that a starting server gets without proof that it bears more.
    trust: f64,
    /// What it got of this router in the present slice of its start.
    sent: Sent,
}

impl Server {
    /// The least part of its full capacity that it has now.
    fn capacity(&self, set: &Settings, now: Time) -> f64 {
        let age = if self.started == Time::ZERO {
            Duration::MAX
        } else {
            now.since(self.started)
        };
        let warmth = age.div_duration_f64(set.warm_up_duration.max(LEAST));
        (set.initial_capacity_fraction + (1.0 - set.initial_capacity_fraction) * warmth).min(1.0)
    }

    fn starts(&self, set: &Settings, now: Time) -> bool {
        self.capacity(set, now) < 1.0
    }

    /// The list's word on its state. Draining binds; gone does too unless the settings say that it does not.
    fn leave(&mut self, listed: EndpointState, soft: bool, now: Time) {
        self.listed = listed;
        match listed {
            EndpointState::Ready => self.told_leaving = None,
            EndpointState::Removed if soft => {}
            EndpointState::Draining | EndpointState::Removed => {
                _ = self.told_leaving.get_or_insert(now)
            }
        }
    }
}

#[derive(Default)]
struct Group {
    members: Vec<ServerId>,
    /// Most members that it had at once: its requests were meant for as many.
    widest: usize,
    /// How much more or less than all of its requests is taken in, and when that was last judged.
    door: f64,
    judged: Time,
    /// Work that usually comes: what needs the primary, and what does not.
    usual: [UsualWork; 2],
}

#[derive(Default)]
struct Request {
    arrival: Arrival,
    came: Time,
    deadline: Time,
    /// Until when an answer earns its full worth.
    aim_end: Time,
    /// Position that a session read must see.
    token: Time,
    attempts: u16,
    out: Vec<(AttemptNo, ServerId)>,
    /// Send time and server of the earliest attempt that may have run.
    may_have_run: Option<(Time, ServerId)>,
    /// Members that turned it away or failed it; and all that it was ever sent to.
    avoid: Vec<ServerId>,
    tried: Vec<ServerId>,
    held: bool,
    /// When it is looked at again, if it is held and nothing wakes it.
    recheck: Option<Time>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Task {
    Deadline(RequestId),
    Recheck(RequestId),
    AskList,
}

/// Why the guard bars a send.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Bar {
    /// This member will not do for this request.
    No,
    /// Its data is too old for now.
    Stale,
}

enum Choice {
    Send(ServerId),
    /// For room.
    Hold,
    /// For news of positions or roles: of this member, or of any.
    Ask(Option<ServerId>),
    GiveUp,
}

#[derive(Default)]
pub struct Router {
    set: Settings,
    tune: Tuning,
    now: Time,
    random: u64,
    own_order: u64,
    servers: BTreeMap<ServerId, Server>,
    groups: BTreeMap<GroupId, Group>,
    requests: BTreeMap<RequestId, Request>,
    held: BTreeSet<(GroupId, Time, RequestId)>,
    written: BTreeMap<SessionKey, Time>,
    forgotten: Time,
    /// What each class takes unhindered, over all servers.
    work: Vec<Duration>,
    /// The longest time that a first try of each class has had.
    first_wait: Vec<Duration>,
    agenda: BTreeSet<(Time, Task)>,
    alarm: Option<Time>,
    tightest_aim: Duration,
    tightest_bound: Duration,
    list_failures: u32,
    /// Since when it goes by the list of the process before it, with no word of discovery yet.
    cached_since: Option<Time>,
    /// `Server::trust` over all starting servers, and when it was judged: what they bear goes by the load that
    /// all share, and a router among many hears too seldom from each.
    trust: f64,
    proved: Time,
    /// The door over all groups, likewise.
    all: Group,
    /// The door for what is beyond a quota.
    spare: f64,
    /// What its requests are usually worth for their work.
    usual_value: f64,
    /// Mean age of a report on arrival, as the primaries' positions show it.
    report_age: Duration,
}

impl Router {
    pub fn new(settings: Settings, seed: u64, now: Time) -> Router {
        Router::tuned(settings, Tuning::default(), seed, now)
    }

    /// With other constants, for those who measure what they do.
    pub fn tuned(settings: Settings, tune: Tuning, seed: u64, now: Time) -> Router {
        let (random, own_order, trust, proved) = (seed, seed, 1.0, now);
        let mut router = Router {
            tune,
            now,
            random,
            own_order,
            trust,
            proved,
            spare: 1.0,
            ..Router::default()
        };
        router.configure(settings, &[]);
        router
    }

    /// From now on by these settings. Classes keep their places, so that requests under way keep theirs with
    /// its rights; one at a new place begins with what is known of the class that it stands in for.
    pub fn configure(&mut self, settings: Settings, heirs: &[Option<ClassId>]) {
        let aims = settings
            .classes
            .iter()
            .map(|c| c.latency_objective)
            .filter(|aim| !aim.is_zero());
        self.tightest_aim = aims.min().unwrap_or(AIM_UNSTATED);
        let bound = |c: &Class| {
            if let Consistency::BoundedStaleness(b) = c.consistency {
                Some(b)
            } else {
                None
            }
        };
        let bounds = settings
            .classes
            .iter()
            .filter_map(bound)
            .filter(|bound| !bound.is_zero());
        self.tightest_bound = bounds.min().unwrap_or(self.tightest_aim);
        for (at, class) in settings.classes.iter().enumerate().skip(self.work.len()) {
            let heir = heirs
                .get(at)
                .copied()
                .flatten()
                .map(|heir| usize::from(heir.0));
            self.work
                .push(heir.map_or(class.latency_objective, |heir| self.work[heir]));
            self.first_wait
                .push(heir.map_or(Duration::ZERO, |heir| self.first_wait[heir]));
            for server in self.servers.values_mut() {
                server
                    .run_time
                    .push(heir.and_then(|heir| server.run_time[heir]));
            }
        }
        self.set = settings;
    }

    /// Members in the list that get nothing at `now`: they leave, or rest.
    pub fn avoided(&self, now: Time) -> usize {
        let avoids = |s: &&Server| s.told_leaving.is_some() || now < s.rests_until;
        self.servers
            .values()
            .filter(|s| s.listed != EndpointState::Removed)
            .filter(avoids)
            .count()
    }

    pub fn handle(&mut self, now: Time, event: Event, out: &mut Out) {
        self.now = now;
        match event {
            Event::Endpoints(news) => self.on_list(news, out),
            Event::RequestArrived(arrival) => self.on_arrival(arrival, out),
            Event::AttemptEnded(ended) => self.on_end(ended, out),
            Event::ProbeEnded {
                server, ok, report, ..
            } => self.on_probed(server, ok, report, out),
            Event::ClientLeft(id) => self.forget(id),
            Event::Timer(_) => self.alarm = None,
        }
        while let Some(&(due, task)) = self.agenda.first().filter(|(due, _)| *due <= now) {
            self.agenda.remove(&(due, task));
            match task {
                Task::Deadline(id) => self.give_up(id, out),
                Task::Recheck(id) => self.dispatch(id, out),
                Task::AskList => out.push(Action::Subscribe),
            }
        }
        let next = self.agenda.first().map(|&(due, _)| due);
        if let Some(due) = next.filter(|&due| self.alarm.is_none_or(|set| due < set)) {
            out.push(Action::Timer {
                after: due.since(now),
                token: TimerToken(0),
            });
            self.alarm = Some(due);
        }
    }

    /// What is left of a memory of that time.
    fn kept(&self, since: Time) -> f64 {
        (-self
            .now
            .since(since)
            .div_duration_f64(self.tightest_aim.mul_f64(self.tune.forget)))
        .exp()
    }

    /// How alone it is among the routers: 1 among few, less in proportion among many.
    fn alone(&self) -> f64 {
        self.tune.few / f64::from(self.set.router_count).max(self.tune.few)
    }

    fn chance(&mut self) -> f64 {
        self.random = self.random.wrapping_add(1);
        share_of(self.random)
    }

    // ---- Events ----

    fn on_list(&mut self, news: EndpointUpdate, out: &mut Out) {
        if matches!(news, EndpointUpdate::Cached(_)) && self.set.endpoints_are_polled {
            let latest = self.list_spread(discovery_schedule::first_poll_delay(
                self.set.max_poll_interval,
            ));
            self.ask_list(Duration::ZERO, latest);
            self.cached_since = Some(self.now);
        } else {
            self.cached_since = None;
        }
        let (entries, complete) = match news {
            EndpointUpdate::Changes(entries) => (entries, false),
            EndpointUpdate::Snapshot(entries) | EndpointUpdate::Cached(entries) => (entries, true),
            EndpointUpdate::Failed => {
                self.list_failures += 1;
                // Where the settings give less time for asking, that binds after a failure too.
                let most = discovery_schedule::MAX_RETRY_DELAY.min(self.set.max_poll_interval);
                let wait = (LIST_WAIT * (1 << self.list_failures.min(16))).min(most);
                let latest = wait.max(self.list_spread(most));
                let placed = self.list_failures > 1;
                let earliest = if placed {
                    latest.mul_f64(LIST_PACE.1)
                } else {
                    wait / 2
                };
                return self.ask_list(earliest, latest);
            }
        };
        if complete {
            let named: BTreeSet<ServerId> = entries.iter().map(|e| e.server).collect();
            for (_, server) in self
                .servers
                .iter_mut()
                .filter(|(id, _)| !named.contains(id))
            {
                server.leave(EndpointState::Removed, self.set.soft_removal, self.now);
            }
        }
        self.list_failures = 0;
        for e in entries {
            let server = self.servers.entry(e.server).or_insert_with(|| Server {
                started: e.started,
                run_time: vec![None; self.set.classes.len()],
                room: self.tune.room_start,
                trust: 1.0,
                ..Server::default()
            });
            server.leave(e.state, self.set.soft_removal, self.now);
            if e.started > server.started {
                // A new life: what it was before says nothing of it now.
                server.started = e.started;
                server.role = server.role.filter(|&(_, as_of)| as_of > e.started);
                (server.trust, server.judged) = (1.0, Time::ZERO);
                server.sent = Sent::default();
                (server.setbacks, server.rests_until) = (0, Time::ZERO);
            }
            server.listed_primary = e.primary;
            (server.zone, server.group) = (e.zone, e.group);
        }
        // Where removal does not bind, what left without a drain stays: own attempts tell whether it serves.
        let soft = self.set.soft_removal;
        self.servers.retain(|_, s| {
            soft && s.told_leaving.is_none()
                || s.listed != EndpointState::Removed
                || !s.out.is_empty()
        });
        self.groups
            .values_mut()
            .for_each(|group| group.members.clear());
        for (&id, server) in &self.servers {
            if server.listed != EndpointState::Removed || soft {
                self.groups
                    .entry(server.group)
                    .or_default()
                    .members
                    .push(id);
            }
        }
        // In one order for all, routers that know little of the members would crowd the first.
        for (id, group) in &mut self.groups {
            let serve = group
                .members
                .iter()
                .filter(|id| self.servers[id].told_leaving.is_none())
                .count();
            group.widest = group.widest.max(serve);
            subsetting::order(self.set.router_index, id.0, &mut group.members, |server| {
                server.0
            });
        }
        for id in self.held.iter().map(|h| h.2).collect::<Vec<_>>() {
            self.dispatch(id, out);
        }
    }

    /// How far calls are spread. The list is one service for all routers, which takes calls in turn and wastes those that
    /// waited too long: started or cut off together they would keep each other from it for good.
    fn list_spread(&self, most: Duration) -> Duration {
        (LIST_PACE.0 * self.set.router_count.saturating_sub(self.tune.few as u32)).min(most)
    }

    /// Asks for the list within this span.
    fn ask_list(&mut self, earliest: Duration, latest: Duration) {
        let span = latest.saturating_sub(earliest).mul_f64(self.chance());
        self.agenda
            .insert((self.now.plus(earliest + span), Task::AskList));
    }

    fn on_arrival(&mut self, mut arrival: Arrival, out: &mut Out) {
        arrival.quota_status = if self.set.over_quota_weight_fraction < 1.0 {
            arrival.quota_status
        } else {
            QuotaStatus::WithinQuota
        };
        let id = arrival.id;
        let token = match (arrival.session_position, arrival.session) {
            (Some(SessionPosition::Ago(ago)), _) => self.now.minus(ago),
            (Some(SessionPosition::At(position)), _) => position,
            (None, Some(key)) if !self.set.clients_carry_session_position => {
                self.written.get(&key).copied().unwrap_or(self.forgotten)
            }
            _ => Time::ZERO,
        };
        let deadline = self.now.plus(arrival.time_left);
        let known = usize::from(arrival.class.0) < self.set.classes.len();
        let aim_end = self.aim_end(&arrival);
        let request = Request {
            arrival,
            came: self.now,
            deadline,
            aim_end,
            token,
            ..Request::default()
        };
        self.requests.insert(id, request);
        if !known || !self.takes_in(id) {
            return self.give_up(id, out);
        }
        self.note_usual(id);
        self.agenda.insert((deadline, Task::Deadline(id)));
        self.dispatch(id, out);
    }

    /// Repeats are no usual work: starting replicas get none of them.
    fn note_usual(&mut self, id: RequestId) {
        let Some(Request { arrival, .. }) = self.requests.get(&id) else {
            return;
        };
        let (work, memory) = (
            self.work[usize::from(arrival.class.0)],
            self.set.warm_up_duration.max(LEAST),
        );
        let needs_primary = self.needs_primary(arrival.class);
        if needs_primary || !arrival.is_client_retry {
            let group = self.groups.entry(arrival.group).or_default();
            group.usual[usize::from(needs_primary)].add(work, self.now, memory);
        }
    }

    fn on_end(&mut self, ended: AttemptEnded, out: &mut Out) {
        let AttemptEnded {
            id,
            attempt,
            server,
            outcome,
            elapsed,
            request_finished,
            metadata,
        } = ended;
        let known = self
            .servers
            .get_mut(&server)
            .and_then(|s| s.out.remove(&(id, attempt)));
        let class = self
            .requests
            .get(&id)
            .map(|r| r.arrival.class)
            .or(known.map(|(class, ..)| class));
        let (_, sent, overtaken) = known.unwrap_or((ClassId(0), self.now.minus(elapsed), 0));
        if let (Some(request), Outcome::Misdirected) = (self.requests.get(&id), outcome) {
            if let (Some(need), Some(server)) =
                (self.needed(request), self.servers.get_mut(&server))
            {
                server.missed = Some((need, self.now));
            }
        }
        if let Some(class) = class {
            // Guards against taking a connection that has fallen silent for a server that holds too much.
            if outcome != Outcome::TimedOut || overtaken < OVERTAKEN {
                self.learn(class, sent, ended);
            }
            if outcome == Outcome::Ok && self.class(class).consistency == Consistency::Write {
                let key = self.requests.get(&id).and_then(|r| r.arrival.session);
                if let Some(key) = key.filter(|_| !self.set.clients_carry_session_position) {
                    self.remember_write(key, metadata.position.unwrap_or(self.now));
                }
            }
        }
        if request_finished {
            self.forget(id);
        } else if let Some(request) = self.requests.get_mut(&id) {
            request.out.retain(|&(no, _)| no != attempt);
            let never = [
                Outcome::Rejected,
                Outcome::ConnectFailed,
                Outcome::NotSent,
                Outcome::Misdirected,
            ];
            if !never.contains(&outcome) {
                let earliest = request.may_have_run.filter(|&(at, _)| at <= sent);
                request.may_have_run = earliest.or(Some((sent, server)));
            }
            request.avoid.push(server);
            if request.out.is_empty() {
                self.dispatch(id, out);
            }
        }
        self.wake(server, out);
    }

    fn on_probed(&mut self, id: ServerId, ok: bool, report: LoadReport, out: &mut Out) {
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        server.probe_out = false;
        if !ok {
            return self.rest(id, self.tune.rest_first);
        }
        server.heard = Some(self.now);
        (server.setbacks, server.rests_until) = (0, Time::ZERO);
        if report.position.is_some() {
            server.position = server.position.max(report.position);
            (server.told, server.missed) = (self.now, None);
        }
        if let Some(primary) = report.primary {
            // A report is as old as its position at most; a primary's position is its very time.
            let as_of = report.position.unwrap_or(server.probed);
            if server.role.is_none_or(|(_, before)| before <= as_of) {
                server.role = Some((primary, as_of));
            }
            if let Some(at) = report.position.filter(|_| primary) {
                self.report_age = drawn(self.report_age, self.now.since(at), self.tune.run_weight);
            }
        }
        self.wake(id, out);
    }

    /// What an answer, or the want of one, says of the server.
    fn learn(&mut self, class: ClassId, sent: Time, ended: AttemptEnded) {
        let (
            now,
            tune,
            AttemptEnded {
                server: id,
                outcome,
                elapsed,
                metadata,
                ..
            },
        ) = (self.now, self.tune, ended);
        let Class {
            consistency: need,
            latency_objective: aim,
            deadline,
            late_weight_fraction,
            ..
        } = *self.class(class);
        let (write, aim, at) = (
            need == Consistency::Write,
            aim.max(LEAST),
            usize::from(class.0),
        );
        // A time-out hides how long it would have taken. Among few routers rooms are cut, and that is enough.
        let many = self.alone() < 1.0;
        let hidden = many && outcome == Outcome::TimedOut;
        let waited = if hidden || outcome == Outcome::Rejected {
            deadline
        } else {
            elapsed
        };
        let tells = matches!(outcome, Outcome::Ok | Outcome::TimedOut | Outcome::Rejected);
        let took = tells.then(|| waited.div_duration_f64(aim));
        let told = self
            .servers
            .get(&id)
            .map(|server| (1.0 - self.kept(server.judged), server.group));
        let Some((memory, at_group)) = told else {
            return;
        };
        if let Some(took) = took {
            let earned = if took < 1.0 {
                1.0
            } else {
                late_weight_fraction
            };
            // No answer may tell of a connection: it weighs no more than one in time. A full server is late.
            let fall = if many {
                tune.door_fall
            } else {
                tune.door_fall / 2.0
            };
            let earns = |fall: f64| earned - fall * (1.0 - earned);
            let step = if outcome == Outcome::TimedOut {
                -1.0
            } else {
                earns(fall)
            };
            let judged = |door: f64, weight: f64, step: f64| {
                (door + door * weight.min(tune.run_weight) * step).clamp(tune.door_least, tune.door)
            };
            let (all, here) = self.doors(at_group);
            let (here, weight) = (
                judged(here, 1.0, step) - 1.0,
                1.0 - self.kept(self.all.judged),
            );
            self.spare = judged(
                self.spare,
                weight.min(0.5 / tune.spare_fall),
                earns(tune.spare_fall),
            );
            (self.all.door, self.all.judged) = (judged(all, weight, step) - 1.0, now);
            if let Some(group) = self.groups.get_mut(&at_group) {
                (group.door, group.judged) = (here, now);
            }
        }
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        if let Some(primary) = metadata.primary {
            server.role = Some((primary, now));
        }
        if metadata.position.is_some() && !(write && outcome == Outcome::Ok) {
            server.position = server.position.max(metadata.position);
            (server.told, server.missed) = (now, None);
        }
        // An attempt without an answer took its time too; an error or no connection costs another: else a
        // server that loses work, or fails it quickly, looks no worse than others, and one that hangs only
        // while attempts are out there. A trace more than an untried one, which so gets its turn.
        let in_vain = matches!(outcome, Outcome::Failed | Outcome::ConnectFailed);
        let spent = if in_vain {
            aim + self.tightest_aim / 2 + LEAST
        } else {
            elapsed
        };
        if in_vain || matches!(outcome, Outcome::Ok | Outcome::TimedOut) {
            let average = &mut server.run_time[at];
            *average = Some(average.map_or(spent, |a| drawn(a, spent, tune.run_weight)));
        }
        if let Some(took) = took {
            server.pressure += memory.max(tune.room_weight) * (took - server.pressure);
            server.took = drawn(server.took, waited, memory.max(tune.room_weight));
            // A starting server that answers about as fast as one so cold can is not crowded, and bears more:
            // all routers see the same of it. Answers far apart prove little.
            let capacity = server.capacity(&self.set, now);
            let fastest = self.work[at].div_duration_f64(aim) / capacity;
            let easy = server.pressure < (tune.trust_late * fastest).min(tune.trust_aim);
            let tip = self.set.overload_duration.max(LEAST);
            let judged = |trust: f64, before: Time| {
                let rise = tune.trust_rise * now.since(before).min(tip / 4).div_duration_f64(tip);
                let proven = easy && outcome == Outcome::Ok;
                if proven {
                    trust + rise
                } else {
                    trust * tune.trust_cut
                }
                .clamp(1.0, tune.trust_most)
            };
            server.trust = judged(server.trust, server.judged);
            if capacity < 1.0 {
                (self.trust, self.proved) = (judged(self.trust, self.proved), now);
            }
            server.judged = now;
        }
        let silent = server.heard.is_none_or(|heard| heard < sent);
        match outcome {
            Outcome::Ok => {
                for (.., before, overtaken) in server.out.values_mut() {
                    *overtaken += u32::from(*before < sent);
                }
                let work = &mut self.work[at];
                let weight = if spent < *work {
                    tune.run_weight
                } else {
                    tune.run_weight * tune.work_rise
                };
                *work = drawn(*work, spent, weight);
                // Guards against queues that grow out of the routers' sight (overload, slow servers, others'
                // load): answers near their aim shrink the room, early ones that used it widen it.
                let easy = server.pressure < tune.room_easy * tune.room_late;
                if server.pressure > tune.room_late && spent > aim.mul_f64(tune.room_late) {
                    cut_room(server, tune.room_cut, now, sent);
                } else if easy && server.out.len() as f64 + 2.0 > server.room {
                    server.room += 1.0 / server.room;
                }
            }
            Outcome::Rejected => cut_room(server, tune.room_cut, now, sent),
            Outcome::ConnectFailed | Outcome::Reset => return self.rest(id, tune.rest_first),
            // Silence since before it was sent: the server hangs. One that answered others is only slow.
            Outcome::TimedOut if silent => return self.rest(id, tune.rest_first),
            Outcome::TimedOut => return cut_room(server, tune.room_cut, now, sent),
            Outcome::Cancelled | Outcome::NotSent => return,
            Outcome::Failed | Outcome::Misdirected => {}
        }
        server.heard = Some(now);
        (server.setbacks, server.rests_until) = (0, Time::ZERO);
    }

    fn remember_write(&mut self, key: SessionKey, commit: Time) {
        if self.written.len() >= WRITES_KEPT {
            self.forgotten = self.now.minus(self.set.warm_up_duration);
            self.written.retain(|_, commit| *commit > self.forgotten);
        }
        self.written
            .entry(key)
            .and_modify(|known| *known = commit.max(*known))
            .or_insert(commit);
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(request) = self.requests.remove(&id) {
            self.held.remove(&(request.arrival.group, request.came, id));
            self.agenda.remove(&(request.deadline, Task::Deadline(id)));
        }
    }

    /// News of a server: whatever is held in its group gets another look, the most valuable first.
    fn wake(&mut self, server: ServerId, out: &mut Out) {
        let Some(group) = self.servers.get(&server).map(|s| s.group) else {
            return;
        };
        let (first, last) = (
            (group, Time::ZERO, RequestId(0)),
            (group, Time::MAX, RequestId(u64::MAX)),
        );
        let here = self.held.range(first..=last).map(|h| h.2);
        // Of equal value the newest first: it has the most time left to be served in, while the oldest
        // would be served just too late, all of them, whenever more waits than can be served.
        let mut waiting: Vec<(f64, RequestId)> =
            here.rev().map(|id| (self.value(id), id)).collect();
        waiting.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, id) in waiting.into_iter().take(WAKE_LOOK) {
            self.dispatch(id, out);
        }
    }

    // ---- The choice ----

    fn dispatch(&mut self, id: RequestId, out: &mut Out) {
        let Some(request) = self.requests.get(&id).filter(|r| r.out.is_empty()) else {
            return;
        };
        match self.choose(request) {
            Choice::Send(server) => self.send(id, server, out),
            Choice::GiveUp => self.give_up(id, out),
            hold => {
                let group = request.arrival.group;
                let recheck = self.now.plus(self.tightest_aim.mul_f64(self.tune.recheck));
                // Guards against giving up a look later than patience ends.
                let until = self.patient_until(request);
                let recheck = if until > self.now {
                    until.min(recheck)
                } else {
                    recheck
                };
                if let Choice::Ask(whom) = hold {
                    self.ask(group, whom, out);
                }
                let Some(request) = self.requests.get_mut(&id) else {
                    return;
                };
                // One look ahead, however often it is woken: each would bring the next.
                if request.recheck.is_none_or(|at| at <= self.now) {
                    request.recheck = Some(recheck);
                    self.agenda.insert((recheck, Task::Recheck(id)));
                }
                if !request.held {
                    request.held = true;
                    self.held.insert((group, request.came, id));
                } else {
                    // What turned it away a while ago may take it now.
                    request.avoid.clear();
                }
            }
        }
    }

    /// The member to send to, by least cost; or hold, or give up.
    fn choose(&self, request: &Request) -> Choice {
        let class = self.class(request.arrival.class);
        let worth_until = if class.late_weight_fraction > 0.0 {
            request.deadline
        } else {
            request.aim_end
        };
        if self.now >= worth_until || self.now >= request.deadline {
            return Choice::GiveUp;
        }
        let patient = self.now < self.patient_until(request);
        if self.list_is_unconfirmed() {
            return if patient {
                Choice::Hold
            } else {
                Choice::GiveUp
            };
        }
        let time_left = worth_until.since(self.now);
        let primary = self.primary(request.arrival.group);
        let needs_primary = matches!(class.consistency, Consistency::Write | Consistency::Strong);
        let spares_primary = matches!(
            class.consistency,
            Consistency::BoundedStaleness(_) | Consistency::Eventual
        );
        let seeks_primary =
            class.consistency == Consistency::Write && primary.is_none() && !self.set.may_probe;
        // (kept for when no replica meets the need, cost, member, may go now)
        let mut best: Option<(bool, Duration, ServerId, bool)> = None;
        let (mut some_later, mut busy, mut shut) = (false, false, false);
        let members = self.members(request.arrival.group);
        let met = if self.alone() < 1.0 {
            subsetting::reach(members.len())
        } else {
            members.len()
        };
        for (place, &id) in members.iter().enumerate() {
            let is_primary = primary == Some(id);
            let bar = self.guard(request, id).err();
            if bar == Some(Bar::No) {
                continue;
            }
            some_later = true;
            let server = &self.servers[&id];
            let fits = is_primary || !needs_primary || seeks_primary && self.may_be_primary(server);
            if !fits || self.now < server.rests_until || request.avoid.contains(&id) {
                continue;
            }
            let wait = if is_primary {
                Duration::ZERO
            } else {
                self.catch_up(request, server)
            };
            let run = self.run_time(server, request.arrival.class);
            if !wait.is_zero() && wait + run > time_left {
                continue;
            }
            let asking = if bar.is_none() {
                Duration::ZERO
            } else {
                self.tightest_aim.mul_f64(self.tune.recheck)
            };
            // One of many learns more of few members than of all, and goes on to the rest when those fail.
            let unmet = if place < met {
                Duration::ZERO
            } else {
                self.tightest_aim / 2
            };
            let cost = self.remaining_work(server) + wait + run + asking + unmet;
            let candidate = (spares_primary && is_primary, cost, id, bar.is_none());
            let share = if is_primary {
                self.primary_share(request.arrival.class)
            } else {
                1.0
            };
            if !self.has_room(request, id, server, share) {
                // The draw of one of many is the same at each look, and its own answers seldom change it.
                let lasts = server.out.is_empty() && self.alone() < 1.0;
                (busy, shut) = (busy || !lasts, shut || lasts);
                continue;
            }
            if best.is_none_or(|b| (candidate.0, candidate.1) < (b.0, b.1)) {
                best = Some(candidate);
            }
        }
        let lasting = patient || request.attempts > 0 || class.late_weight_fraction > 0.0;
        let soon = self.work[usize::from(request.arrival.class.0)] < time_left;
        match best {
            Some((_, _, id, true)) => Choice::Send(id),
            Some((_, _, id, false)) => Choice::Ask(Some(id)),
            None if busy && lasting && soon => Choice::Hold,
            None if !busy && !shut && some_later && patient => Choice::Ask(None),
            None => Choice::GiveUp,
        }
    }

    /// The list of the process before this one is too old to go by: members of it may have left that count as told. Without
    /// a word for as long as it takes to count as told, discovery can't be reached, and the list is all that there is.
    fn list_is_unconfirmed(&self) -> bool {
        let doubtful =
            discovery_schedule::CACHED_LIST_LIFETIME..discovery_schedule::NOTIFICATION_DEADLINE;
        self.cached_since
            .is_some_and(|since| doubtful.contains(&self.now.since(since)))
    }

    /// Nothing that it has told of late says that it is none. Where nobody may be asked, a write finds that out: a server
    /// that is no primary turns it away untouched, and tells its role.
    fn may_be_primary(&self, server: &Server) -> bool {
        let lasts = self.tightest_bound.max(self.tightest_aim);
        server
            .role
            .is_none_or(|(_, as_of)| self.now.since(as_of) >= lasts)
    }

    fn primary_share(&self, class: ClassId) -> f64 {
        if matches!(
            self.class(class).consistency,
            Consistency::Write | Consistency::Strong
        ) {
            return 1.0;
        }
        let value = |(class, work): (&Class, &Duration)| class.priority_weight / work.as_secs_f64();
        let classes = self.set.classes.iter().zip(&self.work);
        let best_write = classes
            .filter(|(c, _)| c.consistency == Consistency::Write)
            .map(value)
            .fold(0.0, f64::max);
        let own = value((self.class(class), &self.work[usize::from(class.0)]));
        (own / best_write).clamp(self.tune.reads_at_primary, 1.0)
    }

    /// Whether it may bear one more of this router's attempts: inside the room, and where none is out, by a
    /// draw that lets the part through by which its answers came in time of late; among many, of reads the
    /// square of what came easily: they are too many with one attempt each, and a full queue, fed by what all
    /// try again, would never end. A write goes by its own aim: what is late for reads may do for it. A draw
    /// is made once for a request and a server. Harms a server that is slow for another reason than its load.
    fn has_room(&self, request: &Request, id: ServerId, server: &Server, share: f64) -> bool {
        if !server.out.is_empty() {
            return (server.out.len() + 1) as f64 <= share * server.room;
        }
        let memory = self.kept(server.judged).powf(self.alone().sqrt());
        let class = self.class(request.arrival.class);
        let (write, own) = (
            class.consistency == Consistency::Write,
            server
                .took
                .div_duration_f64(class.latency_objective.max(LEAST)),
        );
        let in_time =
            share * self.tune.room_late / (if write { own } else { server.pressure } * memory);
        let spares = self.alone() < 1.0 && !write;
        let part = if spares {
            (self.tune.room_easy * in_time).powi(2)
        } else {
            in_time
        };
        share_of(self.own_order ^ request.arrival.id.0 ^ u64::from(id.0)) < part
    }

    /// Own requests in flight there: for each the average less the time spent. One that has outlived its
    /// average counts for as long as it has done so: floored at zero, a hung server would look idle. Harms
    /// where run times fall into two kinds.
    fn remaining_work(&self, server: &Server) -> Duration {
        let left = |&(class, sent, _)| self.run_time(server, class).abs_diff(self.now.since(sent));
        server.out.values().map(left).sum()
    }

    /// From the last known position to the one needed, at one second of log a second. The time since the
    /// position was told counts as caught up, and one never told of counts as caught up in full: that tells
    /// whom to try or to ask. Where servers check, a wrong guess ends as a miss, runs nothing and takes the
    /// guess back (`missed`); elsewhere the member is asked first (`guard`). Guards against reports older
    /// than the bound, and against all reads crowding the primaries where a router knows few positions: at
    /// start, with little traffic. Does harm where misses or probes are dear.
    fn catch_up(&self, request: &Request, server: &Server) -> Duration {
        let Some(need) = self.needed(request) else {
            return Duration::ZERO;
        };
        let gap =
            |from, at, age: Duration| need.since(from).saturating_sub(self.now.since(at) + age);
        let missed = server
            .missed
            .filter(|&(from, _)| server.position.is_none_or(|told| told < from));
        let behind = missed.map_or(Duration::ZERO, |(from, at)| {
            gap(from, at, Duration::ZERO).max(LEAST)
        });
        let told = server
            .position
            .map_or(Duration::ZERO, |at| gap(at, server.told, self.report_age));
        told.max(behind)
    }

    /// The moving average there; where nothing was answered yet, what the class takes elsewhere: with the aim
    /// as the seed, far above what most take, a router would stay with the first members it tried.
    fn run_time(&self, server: &Server, class: ClassId) -> Duration {
        server.run_time[usize::from(class.0)].unwrap_or(self.work[usize::from(class.0)])
    }

    /// The log position that a read must see if sent now; none: any will do.
    fn needed(&self, request: &Request) -> Option<Time> {
        match self.class(request.arrival.class).consistency {
            Consistency::Write | Consistency::Eventual => None,
            Consistency::Strong => Some(request.came),
            Consistency::ReadYourWrites => Some(request.token).filter(|&t| t > Time::ZERO),
            Consistency::BoundedStaleness(bound) => Some(self.now.minus(bound)),
        }
    }

    /// The member with the newest evidence of being primary; the list counts only where there is none.
    fn primary(&self, group: GroupId) -> Option<ServerId> {
        let rank = |id: &&ServerId| {
            let server = &self.servers[*id];
            match server.role {
                _ if server.told_leaving.is_some() => None,
                Some((primary, as_of)) => primary.then_some((true, as_of)),
                None => server.listed_primary.then_some((false, Time::ZERO)),
            }
        };
        self.members(group)
            .iter()
            .filter(|id| rank(id).is_some())
            .max_by_key(rank)
            .copied()
    }

    fn members(&self, group: GroupId) -> &[ServerId] {
        self.groups
            .get(&group)
            .map_or(&[], |group| group.members.as_slice())
    }

    fn class(&self, class: ClassId) -> &Class {
        &self.set.classes[usize::from(class.0)]
    }

    /// What an answer would earn for the work it takes.
    fn value(&self, id: RequestId) -> f64 {
        let Some(request) = self.requests.get(&id) else {
            return 0.0;
        };
        let Arrival {
            class,
            quota_status: standing,
            ..
        } = request.arrival;
        let late = if self.now >= request.aim_end {
            self.class(class).late_weight_fraction
        } else {
            1.0
        };
        let counted = self
            .set
            .over_quota_weight_fraction
            .powf(standing.over_quota_fraction());
        self.class(class).priority_weight * late * counted
            / self.work[usize::from(class.0)].as_secs_f64()
    }

    /// The aim counts from a client's first try. A repeat with less time than first tries have has what is
    /// left of the deadline. Guards against storms of repeats that come too late to earn anything and take
    /// the place of those that would. Where repeats bear no mark nothing is known of them.
    fn aim_end(&mut self, arrival: &Arrival) -> Time {
        let Some(class) = self.set.classes.get(usize::from(arrival.class.0)) else {
            return self.now;
        };
        let first = &mut self.first_wait[usize::from(arrival.class.0)];
        let late =
            arrival.is_client_retry && arrival.time_left < first.mul_f64(self.tune.less_time);
        let spent = class.deadline.saturating_sub(if late {
            arrival.time_left
        } else {
            class.deadline
        });
        *first = if arrival.is_client_retry {
            *first
        } else {
            arrival.time_left.max(*first)
        };
        self.now.plus(class.latency_objective.saturating_sub(spent))
    }

    // ---- The rules: every send passes here ----

    fn guard(&self, request: &Request, id: ServerId) -> Result<(), Bar> {
        let class = self.class(request.arrival.class);
        let Some(server) = self
            .servers
            .get(&id)
            .filter(|s| s.group == request.arrival.group)
        else {
            return Err(Bar::No);
        };
        // Drains: nothing new at all once told, well inside the grace.
        if server.told_leaving.is_some() || self.now >= request.deadline {
            return Err(Bar::No);
        }
        let allowed = [
            self.set.attempt_limit,
            request.arrival.attempt_limit.unwrap_or(0),
        ];
        let spent = allowed
            .into_iter()
            .any(|limit| limit > 0 && request.attempts >= limit);
        // Effects: what may have run, or is still out, binds later attempts.
        if spent || !request.out.is_empty() && !self.set.may_hedge {
            return Err(Bar::No);
        }
        if let Some((since, at)) = self.earliest_effect(request) {
            match class.idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => return Err(Bar::No),
                Idempotency::Keyed { scope, window } => {
                    let same_zone = self.servers.get(&at).is_some_and(|s| s.zone == server.zone);
                    if self.now >= last_repeat(since, window)
                        || scope == DeduplicationScope::Zone && !same_zone
                    {
                        return Err(Bar::No);
                    }
                }
            }
        }
        // Freshness: only a told position counts, unless the member is primary or checks by itself.
        let primary = self.primary(server.group) == Some(id);
        if server.starts(&self.set, self.now) && !self.cold_room(request, id, server, primary) {
            return Err(Bar::No);
        }
        if let Some(need) = self.needed(request).filter(|_| !primary) {
            let told = server.position.is_some_and(|position| position >= need);
            let tolerated = match self.set.staleness_check {
                StalenessCheck::None => false,
                StalenessCheck::Reject => self.catch_up(request, server).is_zero(),
                StalenessCheck::Wait(span) => self.catch_up(request, server) <= span,
            };
            if !told && !tolerated {
                return Err(Bar::Stale);
            }
        }
        Ok(())
    }

    /// Send time and server of the earliest attempt that may have taken effect, or may yet.
    fn earliest_effect(&self, request: &Request) -> Option<(Time, ServerId)> {
        let still_out = request.out.first().and_then(|&(no, server)| {
            let sent = self
                .servers
                .get(&server)?
                .out
                .get(&(request.arrival.id, no));
            sent.map(|&(_, at, _)| (at, server))
        });
        request.may_have_run.into_iter().chain(still_out).min()
    }

    /// The instant by which an attempt sent there now has to be on its way. Its connection may have to be dialled first:
    /// a keyed repeat that arrives after its window is not recognised as one, and a read is not to find data that has
    /// become too old meanwhile.
    fn begins_by(&self, request: &Request, to: ServerId) -> Time {
        let window_end = match (
            self.class(request.arrival.class).idempotency,
            self.earliest_effect(request),
        ) {
            (Idempotency::Keyed { window, .. }, Some((since, _))) => last_repeat(since, window),
            _ => Time::MAX,
        };
        request
            .deadline
            .min(window_end)
            .min(self.fresh_until(request, to))
    }

    /// Until when a server that answers reads however old its data is may get this one, by what it has told.
    fn fresh_until(&self, request: &Request, id: ServerId) -> Time {
        let server = &self.servers[&id];
        let primary = self.primary(server.group) == Some(id);
        match (
            self.class(request.arrival.class).consistency,
            self.set.staleness_check,
            server.position,
        ) {
            (Consistency::BoundedStaleness(bound), StalenessCheck::None, Some(position))
                if !primary =>
            {
                position.plus(bound)
            }
            _ => Time::MAX,
        }
    }

    /// Whether a starting server may get this request: in each slice of its start this router's part of the work
    /// that usually comes, in turns of all routers (`slow_start`). An attempt there that failed is the last.
    /// Each member has turns of its own, as far as they go round: what one may not have another may. The part is
    /// what it bears even if the group is full, and more as answers prove it (`learn`). Reads are for as many
    /// members as it ever had; one bears all that needs the primary. Guards against many routers that each send
    /// just one, and against all that was held for the server at once.
    fn cold_room(&self, request: &Request, id: ServerId, server: &Server, primary: bool) -> bool {
        let repeated = !primary && request.arrival.is_client_retry;
        let read_at_primary = primary && !self.needs_primary(request.arrival.class);
        if repeated || read_at_primary || request.tried.contains(&id) {
            return false;
        }
        let work = self.work[usize::from(request.arrival.class.0)];
        let (memory, least) = (
            self.set.warm_up_duration.max(LEAST),
            self.set.overload_duration.max(LEAST),
        );
        let usual =
            self.groups[&server.group].usual[usize::from(primary)].over(self.now, memory, least);
        let part = self.cold_part(server, primary);
        let turn = self.turn(id, server, self.now);
        // One that waits would have a turn in each slice, with a part of what would come in all of them.
        let waits = self.turn(id, server, request.came).slice != turn.slice;
        if waits && usual.is_less(self.cold_slice(), work) {
            return false;
        }
        server.sent.allows(
            turn,
            part * usual.quota(self.cold_slice(), work, self.tune.cold_light),
            work,
        )
    }

    /// The part of the work for its role that a starting server may get.
    fn cold_part(&self, server: &Server, primary: bool) -> f64 {
        let trust = self.trust + self.kept(server.judged) * (server.trust - self.trust);
        let most = server.capacity(&self.set, self.now) * self.set.overload_factor;
        let bears = self.tune.cold_caution * trust * most;
        if primary {
            bears
        } else {
            bears / self.groups[&server.group].widest as f64
        }
    }

    fn cold_slice(&self) -> Duration {
        self.set
            .overload_duration
            .mul_f64(self.tune.cold_slice)
            .max(LEAST)
    }

    fn turn(&self, id: ServerId, server: &Server, at: Time) -> Turn {
        let place = self
            .members(server.group)
            .iter()
            .filter(|&&member| member < id)
            .count() as f64;
        let place = place / self.groups[&server.group].widest as f64;
        Turn::at(
            at.since(server.started),
            self.cold_slice(),
            self.set.router_index,
            place,
        )
    }

    fn needs_primary(&self, class: ClassId) -> bool {
        matches!(
            self.class(class).consistency,
            Consistency::Write | Consistency::Strong
        )
    }

    fn send(&mut self, id: RequestId, to: ServerId, out: &mut Out) {
        let may = self
            .requests
            .get(&id)
            .is_some_and(|request| self.guard(request, to).is_ok());
        let Some(request) = self.requests.get(&id).filter(|_| may) else {
            return;
        };
        let begin_within = self.begins_by(request, to).since(self.now);
        self.count_starting(id, to);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Some(server) = self.servers.get_mut(&to) else {
            return;
        };
        let attempt = AttemptNo(request.attempts);
        request.attempts += 1;
        request.out.push((attempt, to));
        request.tried.push(to);
        request.held = false;
        self.held.remove(&(request.arrival.group, request.came, id));
        server
            .out
            .insert((id, attempt), (request.arrival.class, self.now, 0));
        let timeout = request.deadline.since(self.now);
        out.push(Action::Send {
            id,
            server: to,
            timeout,
            begin_within,
        });
    }

    fn count_starting(&mut self, id: RequestId, to: ServerId) {
        let (Some(request), Some(server)) = (self.requests.get(&id), self.servers.get(&to)) else {
            return;
        };
        if !server.starts(&self.set, self.now) {
            return;
        }
        let (turn, work) = (
            self.turn(to, server, self.now),
            self.work[usize::from(request.arrival.class.0)],
        );
        if let Some(server) = self.servers.get_mut(&to) {
            server.sent.add(turn, work);
        }
    }

    // ---- Health ----

    /// The server is down, cut off or full: it is left alone for a while, longer each time.
    fn rest(&mut self, id: ServerId, first: f64) {
        let jitter = 0.5 + self.chance();
        let (first, most) = (
            self.tightest_aim.mul_f64(first),
            self.tightest_aim.mul_f64(self.tune.rest_max),
        );
        let Some(server) = self.servers.get_mut(&id) else {
            return;
        };
        let rest = first
            .saturating_mul(1 << server.setbacks.min(16))
            .min(most)
            .mul_f64(jitter);
        server.setbacks += 1;
        server.rests_until = self.now.plus(rest);
    }

    // ---- Probing ----

    /// Asks the member that the sum favours for its position, or, to find the primary, the member of the
    /// group that was not asked for longest. Only what holds a request is asked: probes cost by members times
    /// routers else, and what a router with little traffic was told is old before it is used. Roles change
    /// slowly: asked for at every look they cost most where connects fail. Harms where round trips are long.
    fn ask(&mut self, group: GroupId, whom: Option<ServerId>, out: &mut Out) {
        let role = self.tightest_bound.max(self.tightest_aim);
        let spacing = if whom.is_none() {
            role
        } else {
            self.tightest_bound.mul_f64(self.tune.ask_again)
        };
        let may = |id: &ServerId| {
            let server = &self.servers[id];
            let due = server.probed == Time::ZERO || self.now.since(server.probed) >= spacing;
            due && !server.probe_out
                && self.now >= server.rests_until
                && server.told_leaving.is_none()
        };
        let longest = || {
            self.members(group)
                .iter()
                .filter(|&id| may(id))
                .min_by_key(|id| self.servers[id].probed)
        };
        let Some(id) = whom
            .filter(may)
            .or_else(|| whom.is_none().then(longest)?.copied())
        else {
            return;
        };
        let Some(server) = self.servers.get_mut(&id).filter(|_| self.set.may_probe) else {
            return;
        };
        (server.probe_out, server.probed) = (true, self.now);
        out.push(Action::Probe { server: id });
    }

    // ---- Giving up ----

    /// Whether a new request is taken in at all: the part that the servers have lately shown to bear, the more
    /// valuable for their work sooner. Guards against jams of which no server and no room is the cause: many
    /// routers' attempts, retried by clients and run in vain, keep every server full (flash crowds, mass
    /// restarts, too few primaries). Harms when a fault that costs worth is over, for the time of memory.
    /// What is beyond a quota has its own door, its repeats wait until that is quite open; what is borrowed
    /// takes no place that one within is refused for. `shed` draws with it: of the two the narrower counts.
    fn takes_in(&mut self, id: RequestId) -> bool {
        let value = self.value(id);
        self.usual_value += self.tune.run_weight * (value - self.usual_value);
        let Some(Request { arrival, .. }) = self.requests.get(&id) else {
            return true;
        };
        let part = match (arrival.quota_status, arrival.is_client_retry) {
            (QuotaStatus::OverQuota, false) => self.spare,
            (QuotaStatus::OverQuota, true) => self.spare.floor(),
            (QuotaStatus::Borrowed, _) => self.doors(arrival.group).1.floor(),
            _ => self
                .doors(arrival.group)
                .1
                .powf((self.usual_value / value).powi(2)),
        };
        share_of(self.own_order ^ id.0.rotate_left(32)) < part.min(1.0 - arrival.shed_fraction)
    }

    /// Of all groups, and of one: a jam there turns no other's requests away, but is seldom heard of by many.
    fn doors(&self, group: GroupId) -> (f64, f64) {
        let all = 1.0 + self.kept(self.all.judged).powf(self.tune.door_fade) * self.all.door;
        let own = |group: &Group| self.kept(group.judged).sqrt() * (1.0 + group.door - all);
        (all, all + self.groups.get(&group).map_or(0.0, own))
    }

    /// The final answer, at once. A refusal promises that nothing ran which a repeat could double.
    fn give_up(&mut self, id: RequestId, out: &mut Out) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let effect = self
            .set
            .classes
            .get(usize::from(request.arrival.class.0))
            .map(|c| c.idempotency);
        let clean = request.out.is_empty() && request.may_have_run.is_none();
        if clean
            || matches!(
                effect,
                Some(
                    Idempotency::Idempotent
                        | Idempotency::Keyed {
                            scope: DeduplicationScope::All,
                            ..
                        }
                )
            )
        {
            let retry_after = self
                .tightest_aim
                .mul_f64(self.tune.rest_max)
                .min(self.set.max_retry_after);
            out.push(Action::Reject {
                id,
                retry_after: self.set.may_send_retry_after.then_some(retry_after),
            });
        } else {
            out.push(Action::Fail { id });
        }
        self.forget(id);
    }

    /// How long a request is held that nothing can be sent for.
    fn patient_until(&self, request: &Request) -> Time {
        request
            .came
            .plus(request.arrival.time_left.mul_f64(self.tune.hold_share))
    }
}

/// Until when a keyed request may be sent again, of which an attempt that may have run was sent at `since`.
fn last_repeat(since: Time, window: Duration) -> Time {
    since.plus(window.saturating_sub(REPEAT_MARGIN))
}

/// A moving average drawn towards a new span by this weight.
fn drawn(average: Duration, new: Duration, weight: f64) -> Duration {
    average.mul_f64(1.0 - weight) + new.mul_f64(weight)
}

/// A number from 0 to 1 that looks random and is the same for the same `seed`.
fn share_of(seed: u64) -> f64 {
    let z = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

/// What was sent before the last cut says nothing of the room since.
fn cut_room(server: &mut Server, to: f64, now: Time, sent: Time) {
    if sent >= server.room_cut {
        server.room = (to * server.room.min(server.out.len() as f64 + 1.0)).max(1.0);
        server.room_cut = now;
    }
}
