//! Everything that happens on the rig, in one order: the model of record servers, the list and the clients, the ledger
//! of what was asked, ran and was answered. Its faces on sockets bring events, one at a time, and get answers.

use crate::process::{lock, Fault};
use hdrhistogram::Histogram;
use invariant_checkers::{Checker, Final, Rule};
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use routing::Outcome;
use rustc_hash::{FxHashMap, FxHashSet};
use server_model::catalog::{self, Catalog, Record};
use server_model::clients::{self, Clients, Due, End, Need, Settled, Try, TryId};
use server_model::site::{self, Answer, Ask, ServerIndex, Site, Status, Trouble, Wake};
use server_model::Micros;
use simulation_engine::streams::Streams;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch, Notify};

/// What a record server answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Said {
    pub answer: Answer,
    pub note: Option<site::Note>,
    /// Names the answer: it is part of the value.
    pub exchange: u64,
}

/// What became of a class's requests.
#[derive(Clone, Debug, Default)]
pub struct Book {
    pub asked: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    pub worth: f64,
    pub earned: f64,
}

enum Step {
    Site(Wake),
    List,
    Client(Due),
    /// Clients have noticed that a proxy is down.
    Unseen(usize),
}

struct Open {
    asked: Try,
    /// Its client hears no more of it.
    cancel: Option<oneshot::Sender<()>>,
}

/// An attempt that has come whole to a server.
struct Running {
    id: TryId,
    need: Micros,
    write: bool,
    answer: oneshot::Sender<Said>,
}

/// What a client is to do.
pub struct Errand {
    pub asked: Try,
    /// When it is given up.
    pub until: Micros,
    pub cancelled: oneshot::Receiver<()>,
}

pub struct Inner {
    pub site: Site,
    pub list: Catalog,
    clients: Clients,
    pub checker: Checker,
    kinds: Vec<clients::Kind>,
    streams: Streams,
    agenda: BinaryHeap<Reverse<(Micros, u64)>>,
    steps: FxHashMap<u64, Step>,
    next: u64,
    open: FxHashMap<TryId, Open>,
    /// Known until the end, for what comes late: class and request of each try.
    tries: FxHashMap<TryId, Try>,
    attempts: FxHashMap<TryId, u8>,
    /// Values that servers made: whose they are, the commit of a write, and whether a read is older than it may be.
    made: FxHashMap<u64, (TryId, Micros, bool)>,
    running: FxHashMap<u64, Running>,
    probes: FxHashMap<u64, oneshot::Sender<Option<site::Report>>>,
    /// By server: how often it has died. What was connected to it before is broken by that.
    lives: Vec<watch::Sender<u64>>,
    born: mpsc::UnboundedSender<ServerIndex>,
    watchers: FxHashMap<usize, mpsc::UnboundedSender<catalog::Action>>,
    errands: mpsc::UnboundedSender<Errand>,
    books: Vec<Book>,
    latencies: Vec<Histogram<u64>>,
    lateness: Histogram<u64>,
    /// By proxy and server: attempts that came whole.
    pub reached: FxHashMap<(usize, ServerIndex), u64>,
    pub probed: u64,
    /// Connections for which a server had no place.
    pub turned_away: u64,
    crossed: u64,
    /// Proxies that were killed and are not back.
    down: FxHashSet<usize>,
}

/// The truth and its clock.
#[derive(Clone)]
pub struct Truth {
    inner: Arc<Mutex<Inner>>,
    /// When clients began to ask, also as Unix time; until then its clock stands at 0.
    start: Arc<OnceLock<(Instant, Duration)>>,
    sooner: Arc<Notify>,
    changed: Arc<watch::Sender<u64>>,
}

/// What the truth's faces wait on.
pub struct Faces {
    /// Servers that are new.
    pub born: mpsc::UnboundedReceiver<ServerIndex>,
    pub errands: mpsc::UnboundedReceiver<Errand>,
}

/// Clients go on trying a proxy that has died for so long.
const NOTICE: Micros = 2_000_000;
const HIGHEST: u64 = 60_000_000;

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HIGHEST, 3).expect("bounds that fit each other")
}

impl Truth {
    pub fn new(
        site: site::Settings,
        list: catalog::Settings,
        clients: clients::Settings,
        tries: u16,
        drain_grace: Duration,
        seed: u64,
    ) -> (Truth, Faces) {
        let streams = Streams::new(seed);
        let site = Site::new(site);
        let list = Catalog::new(list, site.servers().map(|s| Record::of(&site, s)));
        let (born, new) = mpsc::unbounded_channel();
        let (errands, wanted) = mpsc::unbounded_channel();
        let kinds = clients.kinds.clone();
        let inner = Inner {
            lives: site.servers().map(|_| watch::Sender::new(0)).collect(),
            clients: Clients::new(clients, &streams),
            checker: Checker::new(tries, drain_grace.as_micros() as Micros),
            books: vec![Book::default(); kinds.len()],
            latencies: kinds.iter().map(|_| histogram()).collect(),
            kinds,
            streams,
            site,
            list,
            agenda: BinaryHeap::new(),
            steps: FxHashMap::default(),
            next: 0,
            open: FxHashMap::default(),
            tries: FxHashMap::default(),
            attempts: FxHashMap::default(),
            made: FxHashMap::default(),
            running: FxHashMap::default(),
            probes: FxHashMap::default(),
            born,
            watchers: FxHashMap::default(),
            errands,
            lateness: histogram(),
            reached: FxHashMap::default(),
            probed: 0,
            turned_away: 0,
            crossed: 0,
            down: FxHashSet::default(),
        };
        let truth = Truth {
            inner: Arc::new(Mutex::new(inner)),
            start: Arc::default(),
            sooner: Arc::new(Notify::new()),
            changed: Arc::new(watch::Sender::new(0)),
        };
        (
            truth,
            Faces {
                born: new,
                errands: wanted,
            },
        )
    }

    pub fn now(&self) -> Micros {
        self.start
            .get()
            .map_or(0, |(start, _)| start.elapsed().as_micros() as Micros)
    }

    /// A time of the model as Unix time; 0, which stands for long ago, stays 0.
    pub fn unix(&self, at: Micros) -> Duration {
        let epoch = self.start.get().filter(|_| at > 0).map(|(_, epoch)| *epoch);
        epoch.map_or(Duration::ZERO, |epoch| epoch + Duration::from_micros(at))
    }

    fn with<R>(&self, act: impl FnOnce(&mut Inner, Micros) -> R) -> R {
        let mut inner = lock(&self.inner);
        let before = inner.agenda.peek().map(|Reverse((at, _))| *at);
        let did = act(&mut inner, self.now());
        if inner.agenda.peek().map(|Reverse((at, _))| *at) != before {
            self.sooner.notify_one();
        }
        drop(inner);
        self.changed.send_modify(|n| *n += 1);
        did
    }

    /// What became of each class's requests so far.
    pub fn books(&self) -> Vec<Book> {
        self.look().books.clone()
    }

    /// A look at all of it.
    pub fn look(&self) -> MutexGuard<'_, Inner> {
        lock(&self.inner)
    }

    /// Waits for something to become true, however long that takes within the rig's patience.
    pub async fn until(&self, what: &str, mut is: impl FnMut(&Inner) -> bool) -> Result<(), Fault> {
        let mut changed = self.changed.subscribe();
        let waited = tokio::time::timeout(crate::process::PATIENCE, async {
            while !is(&self.look()) {
                if changed.changed().await.is_err() {
                    break;
                }
            }
        });
        waited
            .await
            .map_err(|_| Fault::new(format!("it does not come to this: {what}")))
    }

    /// Does what is due, until the rig ends.
    pub async fn run(self) {
        loop {
            let due = self.with(|inner, now| {
                inner.due(now);
                inner.agenda.peek().map(|Reverse((at, _))| *at)
            });
            let wait = due.map_or(Duration::from_secs(1), |at| {
                Duration::from_micros(at.saturating_sub(self.now()))
            });
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.sooner.notified() => {}
            }
        }
    }

    /// Clients begin to ask, and time to pass.
    pub fn begin(&self) {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        _ = self.start.set((Instant::now(), unix));
        self.with(|inner, now| inner.clients(clients::Event::Start, now));
    }

    pub fn trouble(&self, trouble: Trouble) {
        self.with(|inner, now| inner.site(site::Event::Trouble(trouble), now));
    }

    pub fn surge(&self, tenant: Option<usize>, times: f64) {
        self.with(|inner, now| inner.clients(clients::Event::Surge { tenant, times }, now));
    }

    // ---- Record servers ----

    /// A connection has been asked for: whether it is taken.
    pub fn dial(&self, server: ServerIndex) -> bool {
        self.with(|inner, now| {
            let mut actions = Vec::new();
            let up = inner.site.dial(server, now, &mut actions);
            inner.turned_away += u64::from(!up && inner.site.runs(server));
            inner.site_said(actions, now);
            up
        })
    }

    pub fn hang_up(&self, server: ServerIndex) {
        self.with(|inner, _| inner.site.hang_up(server));
    }

    /// A request's last byte has come to a server. None: no client has asked that.
    pub fn request(&self, server: ServerIndex, id: TryId) -> Option<oneshot::Receiver<Said>> {
        self.with(|inner, now| inner.request(server, id, now))
    }

    pub fn probe(&self, server: ServerIndex) -> oneshot::Receiver<Option<site::Report>> {
        self.with(|inner, now| {
            let (send, reply) = oneshot::channel();
            inner.next += 1;
            let exchange = inner.next;
            inner.probes.insert(exchange, send);
            inner.probed += 1;
            inner.site(site::Event::Probe { exchange, server }, now);
            reply
        })
    }

    /// A watch on a server's deaths.
    pub fn life(&self, server: ServerIndex) -> watch::Receiver<u64> {
        self.look().lives[server as usize].subscribe()
    }

    // ---- The list ----

    pub fn list(&self, event: catalog::Event) {
        self.with(|inner, now| inner.list(event, now));
    }

    /// A proxy's watch; a former one of the same proxy ends.
    pub fn watch(&self, proxy: usize, after: u64) -> mpsc::UnboundedReceiver<catalog::Action> {
        self.with(|inner, now| {
            let (send, news) = mpsc::unbounded_channel();
            inner.watchers.insert(proxy, send);
            inner.list(
                catalog::Event::Watch {
                    caller: proxy,
                    after,
                },
                now,
            );
            news
        })
    }

    /// The list has been written to a proxy.
    pub fn told(&self, proxy: usize, records: &[Record]) {
        self.with(|inner, now| {
            for record in records {
                inner
                    .checker
                    .told(proxy, record.server, record.status != Status::Ready, now);
            }
        });
    }

    // ---- Clients ----

    /// A client has its connection and writes now: from here on the proxy owes an answer. What is left of its time.
    pub fn asks(&self, asked: &Try, until: Micros) -> Duration {
        self.with(|inner, now| {
            if inner.open.contains_key(&asked.id) {
                let kind = &inner.kinds[asked.kind];
                let write = kind.need == Need::Write;
                inner.checker.asks(
                    asked.id,
                    asked.request,
                    kind.repeat,
                    write,
                    asked.proxy,
                    until,
                );
            }
            Duration::from_micros(until.saturating_sub(now))
        })
    }

    /// Served, with the value that names an answer; nothing: the value is no server's.
    pub fn served(&self, id: TryId, exchange: Option<u64>) {
        self.with(|inner, now| {
            let made = exchange
                .and_then(|e| inner.made.get(&e))
                .filter(|(of, ..)| *of == id)
                .copied();
            match made {
                None => inner.checker.breaks(Rule::Phantom),
                Some((_, _, true)) => inner.checker.breaks(Rule::Stale),
                Some(_) => {}
            }
            let commit = made.map_or(0, |(_, commit, _)| commit);
            inner.answered(id, Final::Served, clients::Answer::Served { commit }, now);
        });
    }

    pub fn refused(&self, id: TryId, retry_after: Option<Duration>) {
        let retry_after = retry_after.map(|d| d.as_micros() as Micros);
        self.with(|inner, now| {
            inner.answered(
                id,
                Final::Refused,
                clients::Answer::Refused { retry_after },
                now,
            );
        });
    }

    pub fn failed(&self, id: TryId) {
        self.with(|inner, now| inner.answered(id, Final::Failed, clients::Answer::Failed, now));
    }

    /// An answer that nobody had asked for, or one of another request.
    pub fn breaks(&self, rule: Rule) {
        self.with(|inner, _| inner.checker.breaks(rule));
    }

    /// No connection to the proxy, or one that ended without an answer.
    pub fn gone(&self, id: TryId, reached: bool) {
        self.with(|inner, now| inner.gone(id, reached, now));
    }

    pub fn crossed(&self) {
        self.with(|inner, _| inner.crossed += 1);
    }

    /// A proxy is being killed: nobody owes what it holds.
    pub fn killed(&self, proxy: usize) {
        self.with(|inner, now| {
            inner.down.insert(proxy);
            let mut held: Vec<TryId> = inner
                .open
                .iter()
                .filter(|(_, o)| o.asked.proxy == proxy)
                .map(|(id, _)| *id)
                .collect();
            held.sort_unstable();
            for id in held {
                inner.checker.dies(id);
                inner.open.remove(&id);
                let answer = clients::Answer::Gone { reached: true };
                inner.clients(clients::Event::Answered(id, answer), now);
            }
            inner.put(now + NOTICE, Step::Unseen(proxy));
        });
    }

    /// A proxy has ended by itself, and clients know.
    pub fn away(&self, proxy: usize) {
        self.with(|inner, now| inner.clients(clients::Event::Proxy { proxy, up: false }, now));
    }

    pub fn back(&self, proxy: usize) {
        self.with(|inner, now| {
            inner.down.remove(&proxy);
            inner.clients(clients::Event::Proxy { proxy, up: true }, now);
        });
    }

    /// Waits until clients have had all their answers; requests come until the stated length is over.
    pub async fn finished(&self, length: Duration) -> Result<(), Fault> {
        let length = length.as_micros() as Micros;
        let left = Duration::from_micros(length.saturating_sub(self.now()));
        tokio::time::sleep(left).await;
        self.until("every request is settled", |inner| {
            inner.clients.open() == 0
        })
        .await
    }

    pub fn close(&self) -> Outcomes {
        self.with(|inner, _| {
            let mut actions = Vec::new();
            inner.clients.close(&mut actions);
            for action in actions {
                if let clients::Action::Settled(settled) = action {
                    inner.settled(&settled);
                }
            }
            inner.checker.close();
            Outcomes {
                books: inner.books.clone(),
                latencies: inner.latencies.clone(),
                lateness: inner.lateness.clone(),
                broken: inner.checker.broken.clone(),
                found: inner.found(),
                attempts: inner.reached.values().sum(),
                probes: inner.probed,
                gone: inner.checker.gone,
                crossed: inner.crossed,
                dials: 0,
                reached: inner.reached.clone(),
            }
        })
    }
}

/// What came of a trial.
#[derive(Clone, Debug)]
pub struct Outcomes {
    /// By class.
    pub books: Vec<Book>,
    pub latencies: Vec<Histogram<u64>>,
    /// How late the rig's own timers ran, in microseconds.
    pub lateness: Histogram<u64>,
    pub broken: BTreeMap<Rule, u64>,
    /// The first that they were found by: which try, its proxy, and when.
    pub found: Vec<(Rule, TryId, usize, Micros)>,
    pub attempts: u64,
    pub probes: u64,
    /// Tries that died with a killed proxy.
    pub gone: u64,
    /// Tries sent once more, since their connection was being closed.
    pub crossed: u64,
    /// Connections that proxies made to servers.
    pub dials: u64,
    /// Requests that each proxy brought to each server.
    pub reached: FxHashMap<(usize, ServerIndex), u64>,
}

/// Later than this in one of a hundred cases, the rig claims nothing.
pub const LATE: Duration = Duration::from_millis(20);

impl Outcomes {
    /// The 99th percentile of how late the rig was.
    pub fn late(&self) -> Duration {
        Duration::from_micros(self.lateness.value_at_quantile(0.99))
    }

    /// How many servers a proxy met in the mean, and how much more than the mean the busiest server got.
    pub fn spread(&self) -> (f64, f64) {
        let (mut proxies, mut servers) = (BTreeSet::new(), BTreeMap::<ServerIndex, u64>::new());
        for (&(proxy, server), &number) in &self.reached {
            proxies.insert(proxy);
            *servers.entry(server).or_default() += number;
        }
        let mean = servers.values().sum::<u64>() as f64 / servers.len().max(1) as f64;
        let busiest = servers.values().copied().max().unwrap_or(0) as f64;
        (
            self.reached.len() as f64 / proxies.len().max(1) as f64,
            busiest / mean.max(1.0),
        )
    }

    /// None: the rig was itself too slow for its figures to mean anything.
    pub fn goodput(&self) -> Option<f64> {
        let (worth, earned) = self
            .books
            .iter()
            .fold((0.0, 0.0), |(w, e), b| (w + b.worth, e + b.earned));
        (self.late() <= LATE).then(|| if worth > 0.0 { earned / worth } else { 1.0 })
    }
}

impl Inner {
    fn put(&mut self, at: Micros, step: Step) {
        self.next += 1;
        self.agenda.push(Reverse((at, self.next)));
        self.steps.insert(self.next, step);
    }

    fn due(&mut self, now: Micros) {
        while let Some(Reverse((at, number))) = self
            .agenda
            .peek()
            .copied()
            .filter(|Reverse((at, _))| *at <= now)
        {
            self.agenda.pop();
            let Some(step) = self.steps.remove(&number) else {
                continue;
            };
            self.lateness.saturating_record((now - at).max(1));
            match step {
                Step::Site(wake) => self.site(site::Event::Wake(wake), now),
                Step::List => self.list(catalog::Event::Due, now),
                // Arrivals count from when they were meant to come.
                Step::Client(Due::Arrival) => self.clients(clients::Event::Due(Due::Arrival), at),
                Step::Client(due) => self.clients(clients::Event::Due(due), now),
                Step::Unseen(proxy) => {
                    if self.down.contains(&proxy) {
                        self.clients(clients::Event::Proxy { proxy, up: false }, now);
                    }
                }
            }
        }
    }

    fn site(&mut self, event: site::Event, now: Micros) {
        let mut actions = Vec::new();
        self.site.handle(now, event, &mut actions);
        self.site_said(actions, now);
    }

    fn site_said(&mut self, actions: Vec<site::Action>, now: Micros) {
        for action in actions {
            match action {
                site::Action::WakeAt(at, wake) => self.put(at, Step::Site(wake)),
                site::Action::Answer {
                    exchange,
                    answer,
                    note,
                } => self.site_answers(exchange, answer, note),
                site::Action::Report { exchange, report } => {
                    if let Some(reply) = self.probes.remove(&exchange) {
                        _ = reply.send(report);
                    }
                }
                site::Action::Changed(server) => {
                    let record = Record::of(&self.site, server);
                    if self.lives.len() <= server as usize {
                        self.lives.push(watch::Sender::new(0));
                        _ = self.born.send(server);
                    } else if !self.site.runs(server) {
                        self.lives[server as usize].send_modify(|deaths| *deaths += 1);
                    }
                    self.list(catalog::Event::Changed(record), now);
                }
                site::Action::Applied { key, .. } => self.checker.applied(key),
                site::Action::Collapsed(_) => self.checker.breaks(Rule::Collapsed),
                site::Action::Primary { .. }
                | site::Action::Vacant { .. }
                | site::Action::Undone { .. } => {}
            }
        }
    }

    fn request(
        &mut self,
        server: ServerIndex,
        id: TryId,
        now: Micros,
    ) -> Option<oneshot::Receiver<Said>> {
        let asked = *self.tries.get(&id)?;
        let kind = &self.kinds[asked.kind];
        self.checker.sends(id, server, now);
        let no = self.attempts.entry(id).or_default();
        let seed = self.streams.seed_of(asked.request << 8 | u64::from(*no));
        *no = no.saturating_add(1);
        let work = kind
            .work
            .draw(asked.session, &mut Xoshiro256PlusPlus::seed_from_u64(seed));
        let write = kind.need == Need::Write;
        let need = match kind.need {
            Need::Bounded(age) => now.saturating_sub(age),
            Need::Session => asked.wrote,
            Need::Fresh => now,
            Need::Write | Need::Any => 0,
        };
        *self.reached.entry((asked.proxy, server)).or_default() += 1;
        self.next += 1;
        let (exchange, (answer, reply)) = (self.next, oneshot::channel());
        self.running.insert(
            exchange,
            Running {
                id,
                need,
                write,
                answer,
            },
        );
        let ask = Ask {
            write: write.then_some(id),
            need,
            work,
        };
        self.site(
            site::Event::Request {
                exchange,
                server,
                ask,
            },
            now,
        );
        Some(reply)
    }

    fn site_answers(&mut self, exchange: u64, answer: Answer, note: Option<site::Note>) {
        let Some(Running {
            id,
            need,
            write,
            answer: reply,
        }) = self.running.remove(&exchange)
        else {
            return;
        };
        self.checker.ends(
            id,
            match answer {
                Answer::Ok => Outcome::Ok,
                Answer::Miss => Outcome::Misdirected,
                Answer::Full => Outcome::Rejected,
                Answer::Error => Outcome::Failed,
                Answer::Reset | Answer::Refused => Outcome::Reset,
            },
        );
        if answer == Answer::Ok {
            let position = note.map_or(0, |n| n.position);
            let stale = !write && need > 0 && position < need;
            self.made
                .insert(exchange, (id, if write { position } else { 0 }, stale));
        }
        _ = reply.send(Said {
            answer,
            note,
            exchange,
        });
    }

    fn found(&self) -> Vec<(Rule, TryId, usize, Micros)> {
        let proxy = |id: &TryId| self.tries.get(id).map_or(0, |asked| asked.proxy);
        self.checker
            .found
            .iter()
            .map(|(rule, id, at)| (*rule, *id, proxy(id), *at))
            .collect()
    }

    /// Proxies that have a watch on the list, or a call for one.
    pub fn watching(&self) -> usize {
        self.watchers.len()
    }

    fn list(&mut self, event: catalog::Event, now: Micros) {
        if let catalog::Event::Leave(caller) = event {
            self.watchers.remove(&caller);
        }
        let mut actions = Vec::new();
        self.list.handle(now, event, &mut actions);
        for action in actions {
            match action {
                catalog::Action::DueAt(at) => self.put(at, Step::List),
                catalog::Action::Tell { caller, .. } => {
                    if let Some(watcher) = self.watchers.get(&caller) {
                        _ = watcher.send(action);
                    }
                }
                catalog::Action::Fail(caller) => {
                    if let Some(watcher) = self.watchers.remove(&caller) {
                        _ = watcher.send(action);
                    }
                }
            }
        }
    }

    fn clients(&mut self, event: clients::Event, now: Micros) {
        let mut actions = Vec::new();
        self.clients.handle(now, event, &mut actions);
        for action in actions {
            match action {
                clients::Action::DueAt(at, due) => self.put(at, Step::Client(due)),
                clients::Action::Ask(asked) => {
                    let (cancel, cancelled) = oneshot::channel();
                    self.open.insert(
                        asked.id,
                        Open {
                            asked,
                            cancel: Some(cancel),
                        },
                    );
                    self.tries.insert(asked.id, asked);
                    _ = self.errands.send(Errand {
                        asked,
                        until: now + asked.wait,
                        cancelled,
                    });
                }
                clients::Action::Leave { id, .. } => {
                    self.checker.gives_up(id, now);
                    // Its connection is closed by that.
                    drop(self.open.remove(&id).and_then(|o| o.cancel));
                }
                clients::Action::Settled(settled) => self.settled(&settled),
            }
        }
    }

    fn settled(&mut self, settled: &Settled) {
        let book = &mut self.books[settled.kind];
        book.asked += 1;
        book.worth += settled.worth;
        book.earned += settled.earned;
        match settled.end {
            End::Served => book.served += 1,
            End::Refused => book.refused += 1,
            End::Failed => book.failed += 1,
            End::Left => book.left += 1,
        }
        if let Some(took) = settled.took {
            self.latencies[settled.kind].saturating_record(took.max(1));
        }
    }

    fn answered(&mut self, id: TryId, end: Final, told: clients::Answer, now: Micros) {
        // What was told to somebody who left, or died with its proxy, is nobody's.
        if self.open.remove(&id).is_none() {
            return;
        }
        self.checker.answers(id, end, now);
        self.checker.over(id);
        self.clients(clients::Event::Answered(id, told), now);
    }

    fn gone(&mut self, id: TryId, reached: bool, now: Micros) {
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        self.checker.dies(id);
        if reached && !self.down.contains(&open.asked.proxy) {
            // Its proxy lives, took it, and ended the connection without an answer.
            self.checker.breaks(Rule::Lost);
        }
        self.clients(
            clients::Event::Answered(id, clients::Answer::Gone { reached }),
            now,
        );
    }
}
