//! Loans of quota over the fleet: the core says what may be lent; here is what carries its facts to the others, keeps its
//! file, and asks it for each request that is beyond its tenant's quota.

use crate::clock;
use crate::cluster::members::Members;
use crate::persistence::state_file::{self, Lock, LockError};
use configuration::calendar::{Moment, Window};
use configuration::model::{Credit, Lending as Stated};
use membership::{Act, Fact, Status};
use quota_lending::{
    Action, Book, Config, Core, Event, Member, Milli, Rule, Rules, Shortage, Store, StoreError,
    Verdict, SHORT_LASTS,
};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Write as _;
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;
use wire_admin::Figures;

/// A request costs a whole one of its stand's quota.
const COST: Milli = 1000;
/// Of the fact that stands within their quota are short of room where it comes from, and the first byte of its body.
const SHORT: u8 = 70;
const SHORT_VERSION: u8 = 1;
const FILE: &str = "loans.state";
const LOCK: &str = "loans.lock";
/// Far more than the bounds of the core come to.
const FILE_LIMIT: u64 = 16 << 20;
/// A file that could not be written, and a lock that another holds, are tried again after this.
const AGAIN: Duration = Duration::from_millis(500);

/// Why there are no loans.
#[derive(Debug, Error)]
pub enum Fault {
    #[error("loans: {0}; nothing is lent here until then")]
    Lock(#[from] LockError),
    #[error("loans: no thread for their file: {0}; nothing is lent here until there is one")]
    Thread(#[source] std::io::Error),
}

impl Fault {
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::Lock(error) => error.advice(),
            Fault::Thread(_) => {
                "raise the limit of the proxy's threads or memory; it is tried again twice a second"
            }
        }
    }
}

/// The file in its directory.
struct Disk {
    path: PathBuf,
}

impl Store for Disk {
    fn save(&mut self, bytes: &[u8]) -> Result<(), StoreError> {
        state_file::save(&self.path, bytes)
            .map_err(|e| StoreError::Write(format!("{}: {e}", self.path.display())))
    }

    fn load(&mut self) -> Result<Option<Vec<u8>>, StoreError> {
        state_file::load(&self.path, FILE_LIMIT)
            .map_err(|e| StoreError::Read(format!("{}: {e}", self.path.display())))
    }
}

/// Writes files in their order, beside the loop.
struct Keeper {
    _lock: Lock,
    jobs: Sender<(u64, Vec<u8>)>,
    done: Receiver<(u64, Vec<u8>, Result<(), StoreError>)>,
}

impl Keeper {
    /// With what was kept, if anything was.
    fn start(
        folder: &std::path::Path,
        mut waker: UnixStream,
    ) -> Result<(Keeper, Option<Vec<u8>>), Fault> {
        let lock = Lock::take(folder, LOCK)?;
        let mut disk = Disk {
            path: folder.join(FILE),
        };
        // One that is there and can't be read is a memory that is lost, which the core has to know of.
        let found = disk.load().unwrap_or_else(|error| {
            log::error!("loans: {error}");
            // Nothing of it fits, so it is a bad file to the core.
            Some(Vec::new())
        });
        let (jobs, wanted) = channel::<(u64, Vec<u8>)>();
        let (tell, done) = channel();
        let work = move || {
            state_file::remove_drafts(&disk.path);
            for (sequence, bytes) in wanted {
                let saved = disk.save(&bytes);
                if tell.send((sequence, bytes, saved)).is_err() {
                    return;
                }
                // A full socket wakes the loop as well as one more byte would.
                _ = waker.write(&[1]);
            }
        };
        thread::Builder::new()
            .name("loans".into())
            .spawn(work)
            .map_err(Fault::Thread)?;
        Ok((
            Keeper {
                _lock: lock,
                jobs,
                done,
            },
            found,
        ))
    }
}

/// The core, while there is one: of a start of this process among the members.
struct Running {
    core: Core,
    start: u64,
    keeper: Option<Keeper>,
}

/// Nothing more is lent by it, and what is owed is repaid as before.
fn closed(credit: Credit) -> Credit {
    Credit {
        credit_limit: Duration::ZERO,
        not_during: Vec::new(),
        ..credit
    }
}

/// A fact that waits to be said.
type Saying = (u8, Vec<u8>, Vec<u8>, Duration);

pub struct Lending {
    stated: Stated,
    windows: Vec<Window>,
    waker: UnixStream,
    origin: Instant,
    running: Option<Running>,
    /// What keeps it from running was told.
    complained: bool,
    try_again: Instant,
    sayings: Vec<Saying>,
    timer: Option<(Instant, u64)>,
    /// A file that has to be written again.
    unsaved: Option<(Instant, u64, Vec<u8>)>,
    shortage: Shortage,
    short: bool,
    short_told: Option<Instant>,
    borrowed: BTreeMap<String, u64>,
    given_back: u64,
    /// By reason.
    refused: BTreeMap<&'static str, u64>,
    withheld: BTreeMap<String, u32>,
    saves: u64,
    saves_failed: u64,
    /// Facts that could not be read, those that earlier cores counted too.
    malformed: u64,
}

impl Lending {
    /// `waker`: wakes the loop when something is written to it.
    pub fn new(stated: Stated, windows: Vec<Window>, waker: UnixStream, now: Instant) -> Lending {
        Lending {
            stated,
            windows,
            waker,
            origin: now,
            running: None,
            complained: false,
            try_again: now,
            sayings: Vec::new(),
            timer: None,
            unsaved: None,
            shortage: Shortage::default(),
            short: false,
            short_told: None,
            borrowed: BTreeMap::new(),
            given_back: 0,
            refused: BTreeMap::new(),
            withheld: BTreeMap::new(),
            saves: 0,
            saves_failed: 0,
            malformed: 0,
        }
    }

    fn since(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.origin)
    }

    /// Other rules from now on; what waits for the next start.
    pub fn reload(&mut self, stated: Stated, windows: Vec<Window>) -> Vec<&'static str> {
        let mut former = std::mem::replace(&mut self.stated, stated);
        let gone = |credit: &Credit| {
            !self
                .stated
                .credits
                .iter()
                .any(|c| c.tenant == credit.tenant)
        };
        let gone: Vec<Credit> = former.credits.drain(..).filter(gone).collect();
        self.stated.credits.extend(gone.into_iter().map(closed));
        self.windows = windows;
        let waits = [
            ("lending state", former.state_file == self.stated.state_file),
            ("lending lease", former.lease == self.stated.lease),
            (
                "lending step",
                former.exchange_interval == self.stated.exchange_interval,
            ),
            (
                "lending longest",
                former.max_loan_time == self.stated.max_loan_time,
            ),
        ];
        // Rules are made for the longest term that the core was started with.
        self.stated = Stated {
            credits: std::mem::take(&mut self.stated.credits),
            ..former
        };
        waits
            .into_iter()
            .filter(|(_, same)| !same)
            .map(|(key, _)| key)
            .collect()
    }

    /// The file states no loans any more; the next start is without them.
    pub fn end(&mut self) {
        self.windows.clear();
        self.stated.credits = self.stated.credits.drain(..).map(closed).collect();
    }

    /// The rules as the platform's quotas now make them. `quotas`: names of stands, in requests a second.
    pub fn rule<'a>(&mut self, quotas: impl Iterator<Item = (&'a str, f64)>, now: Instant) {
        let quotas: BTreeMap<&str, f64> = quotas.collect();
        let mut rules = Vec::new();
        for credit in &self.stated.credits {
            let Some(quota) = quotas
                .get(credit.tenant.as_str())
                .filter(|quota| **quota > 0.0)
            else {
                log::warn!(
                    "loans: credit {}: the platform's settings have no tenant of that name with a quota; \
                            nothing is lent to it",
                    credit.tenant
                );
                continue;
            };
            rules.push((
                credit.tenant.clone(),
                Rule {
                    line_time: credit.credit_limit,
                    quota: (quota * 1e3) as Milli,
                    term: credit.term,
                    write_off: credit.write_off,
                    floor: credit.floor,
                    classes: credit.classes.clone(),
                    rate_most: credit.rate.saturating_mul(COST),
                },
            ));
        }
        match Rules::new(rules, self.stated.max_loan_time) {
            Ok(rules) => self.handle(Event::Rules(rules), now),
            Err(error) => log::error!("loans: {error}; the former rules stay"),
        }
    }

    /// Is a request beyond its stand's quota lent?
    pub fn ask(&mut self, stand: &str, class: &str, now: Instant) -> bool {
        let since = self.since(now);
        let Some(running) = &mut self.running else {
            return false;
        };
        let mut actions = Vec::new();
        let verdict = running.core.ask(since, stand, class, COST, &mut actions);
        self.act(actions, now);
        match verdict {
            Verdict::Borrowed => {
                *self.borrowed.entry(stand.to_owned()).or_default() += 1;
                true
            }
            Verdict::No(reason) => {
                *self.refused.entry(reason.name()).or_default() += 1;
                false
            }
        }
    }

    /// Nothing was tried for a request that was lent.
    pub fn give_back(&mut self, stand: &str) {
        if let Some(running) = &mut self.running {
            self.given_back += 1;
            running.core.give_back(stand, COST);
        }
    }

    /// A request within its quota has ended; `refused`: before anything was tried for it.
    pub fn within(&mut self, refused: bool, now: Instant) {
        self.shortage.ended(self.since(now), refused);
    }

    /// Of what a stand does without, so much is owed no more; and the share that it does without now. `quota`: requests a
    /// second that are its own here, of which it uses that share; `withheld`: requests that it has done without.
    pub fn repay(
        &mut self,
        stand: &str,
        withheld: f64,
        quota: f64,
        used: f64,
        now: Instant,
    ) -> f64 {
        let since = self.since(now);
        let Some(running) = &mut self.running else {
            return 0.0;
        };
        running.core.repay(since, stand, (withheld * 1e3) as Milli);
        let used = (used * 1e3).min(1e3) as u32;
        let share = running
            .core
            .withhold(since, stand, (quota * 1e3) as Milli, used);
        match self.withheld.get_mut(stand) {
            Some(known) => *known = share,
            None if share > 0 => _ = self.withheld.insert(stand.to_owned(), share),
            None => {}
        }
        f64::from(share) / 1e3
    }

    /// The share of its quota that a stand does without.
    pub fn withheld(&self, stand: &str) -> f64 {
        self.withheld
            .get(stand)
            .map_or(0.0, |share| f64::from(*share) / 1e3)
    }

    /// What another proxy has said.
    pub fn heard(&mut self, fact: &Fact, now: Instant) {
        if quota_lending::said::is_said(fact.kind) {
            let Fact {
                source,
                start,
                kind,
                key,
                body,
                age,
                ..
            } = fact;
            self.handle(
                Event::Fact {
                    source,
                    start: *start,
                    kind: *kind,
                    key,
                    body,
                    age: *age,
                },
                now,
            );
        } else if fact.kind == SHORT && fact.body != [SHORT_VERSION] {
            self.malformed += 1;
        }
    }

    /// Several times a second: who is there, whether room is short, what is due. True when it has just begun to run.
    pub fn look(&mut self, members: &mut Members, now: Instant) -> bool {
        let begun = self.begin(members, now);
        if self.running.is_none() {
            return false;
        }
        let view = members.view(now);
        let up = |status| matches!(status, Status::Alive | Status::Suspect);
        let heard = view.members.into_iter().filter_map(|m| {
            Some(Member {
                start: m.start?,
                up: up(m.status),
                name: m.name,
            })
        });
        let heard: Vec<Member> = heard.collect();
        let roster: Vec<String> = members
            .regions()
            .into_iter()
            .map(|(name, _)| name)
            .collect();
        let lend = members.allowed(Act::Lend, None, now).is_ok();
        self.handle(
            Event::View {
                lend,
                roster: &roster,
                members: &heard,
            },
            now,
        );
        self.look_for_room(members, now);
        let at = Moment::from_unix(Duration::from_millis(clock::unix_ms()));
        for credit in self.stated.credits.clone() {
            let closed = credit
                .not_during
                .iter()
                .filter_map(|w| self.windows.get(*w))
                .any(|w| w.contains(at));
            self.handle(
                Event::Open {
                    stand: &credit.tenant,
                    open: !closed,
                },
                now,
            );
        }
        if let Some((_, token)) = self.timer.take_if(|(due, _)| *due <= now) {
            self.handle(Event::Timer(token), now);
        }
        begun
    }

    /// Own shortage is told to all; another's counts as one's own.
    fn look_for_room(&mut self, members: &mut Members, now: Instant) {
        let own = self.shortage.is_short(self.since(now));
        if own
            && self
                .short_told
                .is_none_or(|at| now.saturating_duration_since(at) >= SHORT_LASTS / 2)
        {
            self.short_told = Some(now);
            members.say(SHORT, Vec::new(), vec![SHORT_VERSION], SHORT_LASTS, now);
        }
        let of_other = |fact: &Fact| fact.source != members.name() && fact.body == [SHORT_VERSION];
        self.short = own || members.facts(SHORT, now).iter().any(of_other);
        self.handle(Event::Short(self.short), now);
    }

    fn look_at_file(&mut self, now: Instant) {
        let mut ended = Vec::new();
        if let Some(keeper) = self.running.as_ref().and_then(|r| r.keeper.as_ref()) {
            ended.extend(keeper.done.try_iter());
        }
        for (sequence, bytes, saved) in ended {
            match saved {
                Ok(()) => {
                    self.saves += 1;
                    self.handle(Event::Saved(sequence), now);
                }
                Err(error) => {
                    self.saves_failed += 1;
                    if self.saves_failed == 1 {
                        log::error!("loans: {error}; it is tried again twice a second");
                    }
                    self.unsaved = Some((now + AGAIN, sequence, bytes));
                }
            }
        }
        if let Some((_, sequence, bytes)) = self.unsaved.take_if(|(due, ..)| *due <= now) {
            self.save(sequence, bytes);
        }
    }

    /// The core begins once this process is heard under its name and has its directory, and anew with another start.
    fn begin(&mut self, members: &Members, now: Instant) -> bool {
        let start = members.start();
        if self
            .running
            .as_ref()
            .is_some_and(|running| running.start == start)
        {
            return false;
        }
        if !members.is_heard() || now < self.try_again {
            return false;
        }
        if let Some(former) = self.running.take() {
            self.malformed += former.core.malformed();
        }
        let keeper = match self.stated.state_file.as_deref() {
            None => Ok((None, None)),
            Some(folder) => self
                .waker
                .try_clone()
                .map_err(Fault::Thread)
                .and_then(|waker| {
                    Keeper::start(folder, waker).map(|(keeper, found)| (Some(keeper), found))
                }),
        };
        let (keeper, found) = match keeper {
            Ok(keeper) => keeper,
            Err(fault) => {
                self.try_again = now + AGAIN;
                if !std::mem::replace(&mut self.complained, true) {
                    log::warn!("{fault}");
                }
                return false;
            }
        };
        let Stated {
            lease,
            exchange_interval: step,
            max_loan_time: longest,
            ..
        } = self.stated;
        let config = Config {
            lease,
            step,
            longest,
            ..Config::new(members.name(), start, keeper.is_some())
        };
        let core = Core::new(&config, self.since(now), found.as_deref());
        log::info!(
            "loans: begun, {}",
            if keeper.is_some() {
                "with a file"
            } else {
                "nothing is kept"
            }
        );
        self.running = Some(Running {
            core,
            start,
            keeper,
        });
        self.handle(Event::Timer(0), now);
        true
    }

    fn handle(&mut self, event: Event<'_>, now: Instant) {
        let since = self.since(now);
        let Some(running) = &mut self.running else {
            return;
        };
        let mut actions = Vec::new();
        running.core.handle(since, event, &mut actions);
        self.act(actions, now);
    }

    fn act(&mut self, actions: Vec<Action>, now: Instant) {
        for action in actions {
            match action {
                Action::Tell {
                    kind,
                    key,
                    body,
                    lasts,
                } => self.sayings.push((kind, key, body, lasts)),
                Action::Save { sequence, bytes } => self.save(sequence, bytes),
                Action::Timer { after, token } => self.timer = Some((now + after, token)),
                Action::Notice(notice) => log::warn!("loans: {notice}"),
            }
        }
    }

    fn save(&mut self, sequence: u64, bytes: Vec<u8>) {
        if let Some(keeper) = self.running.as_ref().and_then(|r| r.keeper.as_ref()) {
            // A thread that is gone keeps nothing: no word comes, and nothing more is lent.
            _ = keeper.jobs.send((sequence, bytes));
        }
    }

    /// What has been written is told to the core, and what is to be said goes out.
    pub fn flush(&mut self, members: &mut Members, now: Instant) {
        self.look_at_file(now);
        for (kind, key, body, lasts) in self.sayings.drain(..) {
            members.say(kind, key, body, lasts, now);
        }
    }

    fn books(&self, now: Instant) -> Vec<(&str, Book)> {
        let Some(running) = &self.running else {
            return Vec::new();
        };
        let book = |stand: &'_ str| running.core.book(self.since(now), stand);
        let stands = self
            .stated
            .credits
            .iter()
            .map(|credit| credit.tenant.as_str());
        stands
            .filter_map(|stand| Some((stand, book(stand)?)))
            .collect()
    }

    /// For an operator, a line a stand.
    pub fn lines(&self, now: Instant) -> String {
        let Some(running) = &self.running else {
            return "loans have not begun here\n".to_owned();
        };
        let founded = if running.core.is_founded() {
            "founded"
        } else {
            "not founded: nothing is lent"
        };
        let short = if self.short {
            ", room is short: nothing is lent"
        } else {
            ""
        };
        let mut text = format!("loans {founded}{short}\n");
        let since = self.since(now);
        for (stand, book) in self.books(now) {
            let left = book.lends_until.saturating_sub(since).as_millis();
            let default = if book.in_default { ", in default" } else { "" };
            let withheld = self.withheld.get(stand).copied().unwrap_or_default();
            // Writing to a string does not fail.
            _ = writeln!(
                text,
                "  stand {stand} owes {} of {} thousandths here, lent {}, repaid {}, written off {}; {withheld} of 1000 of \
                 its quota are withheld; may lend for {left} ms more{default}",
                book.owed, book.part, book.lent, book.repaid, book.written_off
            );
        }
        text
    }

    pub fn figures(&self, now: Instant, figures: &mut Figures) {
        let books = self.books(now);
        type Of = fn(&Book) -> u64;
        let of: [(&str, &str, Of); 6] = [
            (
                "lb_loan_lent_milli",
                "Thousandths of a request lent by this lane.",
                |b| b.lent,
            ),
            ("lb_loan_repaid_milli", "Of these, repaid.", |b| b.repaid),
            ("lb_loan_written_off_milli", "Of these, given up.", |b| {
                b.written_off
            }),
            ("lb_loan_owed_milli", "Of these, owed still.", |b| b.owed),
            (
                "lb_loan_part_milli",
                "What this proxy's part of the line comes to.",
                |b| b.part,
            ),
            (
                "lb_loan_default",
                "Whether the stand is in default here.",
                |b| u64::from(b.in_default),
            ),
        ];
        for (name, help, value) in of {
            let rows = books
                .iter()
                .map(|(stand, book)| (vec![("stand", *stand)], value(book)));
            figures.many(name, help, rows);
        }
        let lines = self.running.iter().flat_map(|r| r.core.lines());
        let lines = lines.map(|(stand, line)| (vec![("stand", stand)], line));
        figures.many("lb_loan_line_milli", "The line, by the rules here.", lines);
        let withheld = self
            .withheld
            .iter()
            .map(|(s, share)| (vec![("stand", s.as_str())], u64::from(*share)));
        figures.many(
            "lb_loan_withheld",
            "Thousandths of its quota that a stand does without.",
            withheld,
        );
        let borrowed = self
            .borrowed
            .iter()
            .map(|(s, n)| (vec![("stand", s.as_str())], *n));
        figures.many("lb_loans_total", "Requests lent.", borrowed);
        let refused = self
            .refused
            .iter()
            .map(|(reason, n)| (vec![("reason", *reason)], *n));
        figures.many(
            "lb_loans_refused_total",
            "Requests beyond quota not lent, by reason.",
            refused,
        );
        let core = self.running.as_ref().map(|running| &running.core);
        for (name, help, value) in [
            (
                "lb_loans_running",
                "Whether the room of loans has begun.",
                u64::from(core.is_some()),
            ),
            (
                "lb_loans_founded",
                "Whether loans can be made at all.",
                u64::from(core.is_some_and(Core::is_founded)),
            ),
            (
                "lb_loans_short",
                "Whether stands within quota are short of room.",
                u64::from(self.short),
            ),
            (
                "lb_loans_lanes_taken",
                "Lanes of dead proxies held.",
                core.map_or(0, |c| c.taken().count() as u64),
            ),
            (
                "lb_loans_lane_ms",
                "The start that names this proxy's lane.",
                core.map_or(0, Core::lane_from),
            ),
            (
                "lb_loans_given_back_total",
                "Requests lent that nothing was tried for.",
                self.given_back,
            ),
            (
                "lb_loans_malformed_total",
                "Facts of loans that could not be read.",
                self.malformed + core.map_or(0, Core::malformed),
            ),
            (
                "lb_loans_not_kept_total",
                "Facts of loans of no member, or of more lanes than are kept.",
                core.map_or(0, Core::not_kept),
            ),
            ("lb_loans_saves_total", "Files written.", self.saves),
            (
                "lb_loans_saves_failed_total",
                "Files that could not be written.",
                self.saves_failed,
            ),
        ] {
            figures.one(name, help, value);
        }
    }
}
