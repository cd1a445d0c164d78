//! New versions of the operators' file, between the fleet and the reload: what others say comes from `members`, what
//! runs goes through `reload`, and which version runs is `rollout`'s to say.

use crate::cluster::members::Members;
use crate::config::operators_file::Disk;
use crate::config::reload::ReloadRequest;
use crate::config::ConfigError;
use crate::control::control_socket::RolloutCommand;
use crate::observability::counters::Counters;
use crate::observability::goodput::Sum;
use crate::persistence::state_file::{self, Writer};
use configuration::load::{Loader, FILE_LIMIT};
use configuration::model::Rollout as Stated;
use membership::{Act, Status as Heard};
use rollout::{
    Action, Class, Config, Core, Event, Hash, Limits, Look, Peer, Phase, Ready, Told, Verdict,
    KINDS,
};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt::Write;
use std::io;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use thiserror::Error;
use wire_admin::Figures;

/// The first of the kinds of facts that are this room's.
const KIND: u8 = 20;
/// What a proxy says of a rollout holds for so many periods, and no less than that.
const LASTS_PERIODS: u32 = 10;
const LASTS_LEAST: Duration = Duration::from_secs(5);
/// Files of a directory of candidates that are looked at.
const FILES: usize = 256;
const STATE_FILE: &str = "rollout.state";
/// Starts of one member in order, in one rollout, that nobody wonders at.
const PLANNED: u32 = 3;
/// A state file is far smaller.
const STATE_LIMIT: u64 = 16 << 10;

/// What is wrong with a file of a version, or of what is known of a rollout.
#[derive(Debug, Error)]
pub enum Fault {
    #[error("{} can't be read: {}", .0.display(), .1)]
    Unread(PathBuf, String),
    #[error("{} has more than {FILE_LIMIT} bytes", .0.display())]
    Large(PathBuf),
    #[error("{0} is no hash, and as a file: {1}")]
    NoVersion(String, #[source] Box<Fault>),
    #[error("{} has no file of the hash {}: place it there", .0.display(), .1)]
    Missing(PathBuf, String),
    #[error("{} can't be read: {}; this proxy starts without it", .0.display(), .1)]
    Forgotten(PathBuf, #[source] io::Error),
    #[error("{} is torn, or of a later build: this proxy starts without it, and replaces it", .0.display())]
    NoState(PathBuf),
    #[error("{} can't be written: {}; this proxy votes for nothing new until it can", .0.display(), .1)]
    Unkept(PathBuf, #[source] io::Error),
}

impl Fault {
    pub fn advice(&self) -> &'static str {
        match self {
            Fault::Unread(..) => "Give the proxy's user (for a command: the one that runs it) the right to read it.",
            Fault::Large(_) => "A version is an operators' file: name that, and let it `include` what makes it large.",
            Fault::NoVersion(..) => {
                "Name a file that can be read here, or the 64 hex digits of its SHA-256 (`sha256sum FILE`)."
            }
            Fault::Missing(..) => {
                "Place the file there on this host, unchanged to the byte (`sha256sum` tells). It is looked for again every few seconds; only the first 256 files by name are looked at."
            }
            Fault::Forgotten(..) => {
                "Look at the rights of `state`, and let nothing else write there. The rollout is heard from the others; only if all start anew at once it is forgotten."
            }
            Fault::NoState(_) => {
                "After a return to a former build: nothing, the rollout is heard from the others. Else look at the disk, and give `state` a directory that nothing else writes to. Halts that all proxies have forgotten have to be told again."
            }
            Fault::Unkept(..) => {
                "The rollout waits for this proxy's vote, and a halt is told all the same. Look at room and rights of `state`; it is tried again every few seconds."
            }
        }
    }
}

pub struct Rollout {
    stated: Stated,
    core: Core,
    name: String,
    /// The operators' own file, as it was at the start.
    base: Hash,
    origin: Instant,
    refused: Option<String>,
    runs_failed: u64,
    /// There is a state file that could not be loaded.
    unloaded: bool,
    /// Of the state file, from the first that is kept on.
    writer: Option<Writer>,
    waker: UnixStream,
    /// Another process of this name serves, and the file is its.
    handed: bool,
}

pub fn hex(hash: &Hash) -> String {
    ::hex::encode(hash)
}

fn unhex(text: &str) -> Option<Hash> {
    let mut hash = [0; 32];
    ::hex::decode_to_slice(text, &mut hash).ok()?;
    Some(hash)
}

/// The hash of what an operator names: the hash itself, or a file.
pub fn version(text: &str) -> Result<String, Fault> {
    if unhex(text).is_some() {
        return Ok(text.to_ascii_lowercase());
    }
    let hash =
        of_file(Path::new(text)).map_err(|e| Fault::NoVersion(text.to_owned(), Box::new(e)))?;
    Ok(hex(&hash))
}

fn of_file(path: &Path) -> Result<Hash, Fault> {
    let bytes = Disk
        .read(path)
        .map_err(|why| Fault::Unread(path.to_owned(), why))?;
    if bytes.len() > FILE_LIMIT {
        return Err(Fault::Large(path.to_owned()));
    }
    Ok(Sha256::digest(&bytes).into())
}

/// What an operator says over the control socket.
pub fn said(line: &str) -> Option<RolloutCommand> {
    let mut words = line.split_whitespace();
    let said = match (words.next()?, words.next()) {
        ("propose", Some(hash)) => RolloutCommand::Propose(unhex(hash)?),
        ("resume", Some(hash)) => RolloutCommand::Resume(unhex(hash)?),
        ("halt", None) => RolloutCommand::Halt,
        ("return", None) => RolloutCommand::Return,
        ("status", None) => RolloutCommand::Status,
        _ => return None,
    };
    words.next().is_none().then_some(said)
}

/// The candidate of that hash. Read beside the loop.
pub fn find(folder: &Path, hash: &Hash) -> Result<PathBuf, ConfigError> {
    let fault = |fault: Fault| ConfigError::new("rollout.candidates", fault);
    let mut names = Disk
        .names(folder)
        .map_err(|why| fault(Fault::Unread(folder.to_owned(), why)))?;
    names.sort();
    let paths = names.iter().take(FILES).map(|name| folder.join(name));
    let found = paths
        .into_iter()
        .find(|path| of_file(path).is_ok_and(|h| h == *hash));
    found.ok_or_else(|| fault(Fault::Missing(folder.to_owned(), hex(hash))))
}

impl Rollout {
    /// `start`: as the members know this process, and whether it took over from an elder; `operators`: the file that it runs.
    pub fn begin(
        stated: Stated,
        name: &str,
        operators: Option<&Path>,
        (start, heir): (u64, bool),
        waker: UnixStream,
        now: Instant,
    ) -> Rollout {
        let base = operators
            .and_then(|path| of_file(path).ok())
            .unwrap_or_default();
        let loaded = stated.state.as_deref().map_or(Ok(None), load);
        let unloaded = loaded.is_err();
        let stored = loaded.unwrap_or_else(|fault| {
            log::error!("rollout: {fault}. {}", fault.advice());
            None
        });
        let limits = Limits {
            least_harm: stated.least_harm,
            error: stated.error,
            soak: stated.soak,
            window_least: stated.window_least,
            stage_least: stated.stage_least,
            fresh: stated.period * LASTS_PERIODS,
        };
        let lasts = (stated.period * LASTS_PERIODS).max(LASTS_LEAST);
        let config = Config {
            name: name.to_owned(),
            start,
            heir,
            base,
            limits,
            dark: stated.dark,
            lasts,
            stored,
        };
        Rollout {
            core: Core::new(config, Duration::ZERO),
            name: name.to_owned(),
            base,
            origin: now,
            refused: None,
            runs_failed: 0,
            unloaded,
            writer: None,
            waker,
            handed: false,
            stated,
        }
    }

    pub fn stated(&self) -> &Stated {
        &self.stated
    }

    pub fn period(&self) -> Duration {
        self.stated.period
    }

    pub fn look(
        &mut self,
        members: &mut Members,
        counters: &Counters,
        now: Instant,
    ) -> Vec<ReloadRequest> {
        let event = Event::Look(self.sight(members, counters, now));
        self.handle(event, members, now)
    }

    /// This process was told to end.
    pub fn leave(&mut self, members: &mut Members, now: Instant) {
        // Nothing that this gives could be read any more.
        _ = self.handle(Event::Leave, members, now);
    }

    /// Whether an heir serves: the state file is written by one process of a name alone.
    pub fn hand_over(&mut self, handed: bool) {
        self.handed = handed;
    }

    /// What came of what was to be kept.
    pub fn kept(&mut self, members: &mut Members, now: Instant) -> Vec<ReloadRequest> {
        let mut asks = Vec::new();
        while let Some(saved) = self.writer.as_ref().and_then(Writer::ended) {
            let done = saved.map_err(|error| self.unkept(error)).is_ok();
            asks.extend(self.handle(Event::Kept(done), members, now));
        }
        asks
    }

    fn sight(&self, members: &Members, counters: &Counters, now: Instant) -> Look {
        let view = members.view(now);
        let regions = members.regions();
        let mut peers: Vec<Peer> = regions
            .iter()
            .map(|(name, region)| Peer {
                name: name.clone(),
                region: region.clone(),
                start: (*name == self.name).then(|| members.start()),
                heard: *name == self.name,
                left: false,
            })
            .collect();
        let mut by_name: BTreeMap<String, &mut Peer> = peers
            .iter_mut()
            .map(|peer| (peer.name.clone(), peer))
            .collect();
        for sight in view.members {
            if let Some(peer) = by_name.get_mut(&sight.name) {
                peer.start = sight.start;
                peer.heard = matches!(sight.status, Heard::Alive | Heard::Suspect);
                peer.left = sight.status == Heard::Left;
            }
        }
        let may = |region: &&String| members.allowed(Act::Promote, Some(region), now).is_ok();
        let names: BTreeSet<&String> = regions.iter().map(|(_, region)| region).collect();
        let promote = names.into_iter().filter(may).cloned().collect();
        let told = |kind: u8| {
            members
                .facts(KIND + kind, now)
                .into_iter()
                .map(move |fact| Told {
                    source: fact.source,
                    start: fact.start,
                    kind,
                    body: fact.body,
                })
        };
        // Places of one name are one class.
        let mut sums: BTreeMap<u32, Sum> = BTreeMap::new();
        for (class, more) in counters.worth.classes() {
            let sum = sums
                .entry(membership::number(counters.name(class)))
                .or_default();
            (sum.asked, sum.lost) = (sum.asked + more.asked, sum.lost + more.lost);
        }
        // Whole ones: what is cut off here comes with the next.
        let whole = |class: u32, sum: Sum| Class {
            class,
            asked: sum.asked as u64,
            lost: sum.lost as u64,
        };
        let counts = sums
            .into_iter()
            .map(|(class, sum)| whole(class, sum))
            .collect();
        let total = whole(0, counters.worth.total());
        Look {
            peers,
            promote,
            facts: (0..KINDS).flat_map(told).collect(),
            counts,
            total,
        }
    }

    /// What came of reading a version.
    pub fn read(
        &mut self,
        hash: Hash,
        result: Result<(), String>,
        members: &mut Members,
        counters: &Counters,
        now: Instant,
    ) -> Vec<ReloadRequest> {
        if let Err(why) = &result {
            self.runs_failed += 1;
            log::error!("rollout: {} can't run here: {why}", hex(&hash));
        }
        let mut asks = self.handle(Event::Ready(hash, result), members, now);
        asks.extend(self.look(members, counters, now));
        asks
    }

    pub fn told(
        &mut self,
        said: RolloutCommand,
        members: &mut Members,
        counters: &Counters,
        now: Instant,
    ) -> (String, Vec<ReloadRequest>) {
        let mut asks = self.look(members, counters, now);
        let propose = |hash, again, stated: &Stated, members: &Members| {
            let mut order = stated.order.clone();
            if order.is_empty() {
                let regions: BTreeSet<String> =
                    members.regions().into_iter().map(|(_, r)| r).collect();
                order = regions.into_iter().collect();
            }
            Event::Propose {
                hash,
                order,
                canary: stated.canary,
                again,
            }
        };
        let event = match said {
            RolloutCommand::Propose(hash) => Some(propose(hash, false, &self.stated, members)),
            RolloutCommand::Resume(hash) => Some(propose(hash, true, &self.stated, members)),
            RolloutCommand::Halt => Some(Event::Halt),
            RolloutCommand::Return => Some(Event::Return),
            RolloutCommand::Status => None,
        };
        if let Some(event) = event {
            log::info!(said:?; "rollout: told by an operator");
            asks.extend(self.handle(event, members, now));
        }
        match self.refused.take() {
            Some(why) => (format!("error: {why}\n"), asks),
            None => (self.lines(), asks),
        }
    }

    fn handle(&mut self, event: Event, members: &mut Members, now: Instant) -> Vec<ReloadRequest> {
        let (mut actions, mut asks) = (Vec::new(), Vec::new());
        let since = now.saturating_duration_since(self.origin);
        self.core.handle(since, event, &mut actions);
        let folder = |hash: &Hash, base: &Hash, stated: &Stated| {
            (hash != base).then(|| stated.candidates.clone())
        };
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Say(kind, body, lasts) => {
                    members.say(KIND + kind, Vec::new(), body, lasts, now)
                }
                Action::Check(hash) => {
                    asks.push(ReloadRequest::Check(hash, self.stated.candidates.clone()))
                }
                Action::Run(hash) => {
                    log::warn!("rollout: {} is to run here", hex(&hash));
                    asks.push(ReloadRequest::Run(
                        hash,
                        folder(&hash, &self.base, &self.stated),
                    ));
                }
                Action::Save(bytes) => {
                    if let Some(done) = self.save(bytes) {
                        let mut more = Vec::new();
                        self.core.handle(since, Event::Kept(done), &mut more);
                        actions.extend(more);
                    }
                }
                Action::Phase(phase) => log::warn!("rollout: {}", words(phase)),
                Action::Refused(why) => self.refused = Some(format!("{why}. {}", why.advice())),
                Action::Unread => {
                    let path = self
                        .stated
                        .state
                        .as_deref()
                        .unwrap_or(Path::new(""))
                        .join(STATE_FILE);
                    let fault = Fault::NoState(path);
                    log::error!("rollout: {fault}. {}", fault.advice());
                }
            }
        }
        asks
    }

    /// None: it is under way; else whether it is kept.
    fn save(&mut self, bytes: Vec<u8>) -> Option<bool> {
        let Some(folder) = &self.stated.state else {
            return Some(true);
        };
        if self.handed {
            return Some(false);
        }
        let path = folder.join(STATE_FILE);
        let start = |waker| Writer::start(path, waker);
        let started = self
            .writer
            .take()
            .map_or_else(|| self.waker.try_clone().and_then(start), Ok);
        self.writer = started.map_err(|error| self.unkept(error)).ok();
        let under_way = self
            .writer
            .as_ref()
            .is_some_and(|writer| writer.save(bytes));
        if !under_way {
            // A thread that has ended is begun again.
            self.writer = None;
        }
        (!under_way).then_some(false)
    }

    fn unkept(&self, error: io::Error) {
        let path = self
            .stated
            .state
            .as_deref()
            .unwrap_or(Path::new(""))
            .join(STATE_FILE);
        let fault = Fault::Unkept(path, error);
        log::error!("rollout: {fault}. {}", fault.advice());
    }

    pub fn lines(&self) -> String {
        let status = self.core.status();
        let mut text = format!(
            "rollout {}\n  runs {}\n",
            words(status.phase),
            hex(&status.runs)
        );
        // Writing to a string does not fail.
        if let Some(p) = &status.proposal {
            let order = p.order.join(", then ");
            _ = writeln!(
                text,
                "  version {} epoch {} by {}: {order}",
                hex(&p.hash),
                p.epoch,
                p.proposer
            );
        }
        if let Some(halted) = &status.halted {
            _ = writeln!(text, "  halted by {}: {}", halted.by, halted.why.text());
        }
        let evidence = match status.verdict {
            Verdict::Harm(why) => why.text(),
            Verdict::Clean => "no harm",
            Verdict::Soaking => "soaking, nothing shown yet",
            Verdict::TooLittle => "too little traffic, or not on both versions: waiting",
            Verdict::Doubtful => "a sign of harm, not shown: waiting",
            Verdict::Missing => {
                "no harm, but a proxy of the stage is missing or does not run it yet: waiting"
            }
        };
        let (windows, harm, safe) = (status.windows, status.harm, status.safe);
        _ = writeln!(
            text,
            "  evidence {evidence}; {windows} windows, wealth {harm:.2} for harm, {safe:.2} against"
        );
        for (name, word) in &status.members {
            let runs = if word.new { "new" } else { "former" };
            let ready = match &word.ready {
                Ready::NotYet => "has not looked at it yet".to_owned(),
                Ready::Yes => "can run it".to_owned(),
                Ready::Cannot(why) => format!("cannot run it: {why}"),
            };
            _ = writeln!(
                text,
                "  member {name} runs {runs}, votes for {} stages, {ready}",
                word.votes
            );
        }
        for (name, times) in &status.planned {
            let often = if *times > PLANNED {
                ": more often than a change of builds needs"
            } else {
                ""
            };
            _ = writeln!(
                text,
                "  member {name} started anew in order {times} times{often}"
            );
        }
        if status.unkept {
            text.push_str("  its state can't be kept: it votes for nothing new until it can\n");
        }
        text
    }

    pub fn figures(&self, figures: &mut Figures) {
        let status = self.core.status();
        let phases = [
            "idle", "proposed", "canary", "region", "whole", "halted", "returned",
        ];
        let is = short(status.phase);
        let phase = phases.map(|name| (vec![("phase", name)], u64::from(name == is)));
        figures.many("lb_rollout_phase", "How far the rollout has come.", phase);
        let new = status
            .proposal
            .as_ref()
            .is_some_and(|p| p.hash == status.runs);
        let stage = match status.phase {
            Phase::Region(at) => at as u64 + 1,
            _ => 0,
        };
        let ready = status
            .members
            .iter()
            .find(|(name, _)| *name == self.name)
            .map(|(_, word)| &word.ready);
        let unable = status
            .members
            .iter()
            .filter(|(_, w)| matches!(w.ready, Ready::Cannot(_)))
            .count();
        for (name, help, value) in [
            (
                "lb_rollout_epoch",
                "Of the proposal.",
                status.proposal.as_ref().map_or(0, |p| p.epoch),
            ),
            (
                "lb_rollout_region",
                "The region that it has come to, from 1.",
                stage,
            ),
            (
                "lb_rollout_new",
                "Whether the new version runs here.",
                u64::from(new),
            ),
            (
                "lb_rollout_can_run",
                "Whether it could run here.",
                u64::from(ready == Some(&Ready::Yes)),
            ),
            (
                "lb_rollout_cannot_run",
                "Proxies that say they can't run it.",
                unable as u64,
            ),
            (
                "lb_rollout_windows_total",
                "Comparisons of both versions.",
                status.windows,
            ),
            (
                "lb_rollout_superseded_total",
                "Proposals that gave way to another.",
                status.superseded,
            ),
            (
                "lb_rollout_malformed_total",
                "Facts that could not be read.",
                status.malformed,
            ),
            (
                "lb_rollout_state_unread",
                "Whether this process began without the state that was kept: it could not be read.",
                u64::from(self.unloaded || status.unread),
            ),
            (
                "lb_rollout_state_unkept",
                "Whether its state can't be kept at present.",
                u64::from(status.unkept),
            ),
            (
                "lb_rollout_runs_failed_total",
                "Versions that could not be read here.",
                self.runs_failed,
            ),
        ] {
            figures.one(name, help, value);
        }
    }
}

/// None: the first start with that directory.
fn load(folder: &Path) -> Result<Option<Vec<u8>>, Fault> {
    let path = folder.join(STATE_FILE);
    state_file::load(&path, STATE_LIMIT).map_err(|error| Fault::Forgotten(path, error))
}

fn short(phase: Phase) -> &'static str {
    match phase {
        Phase::Idle => "idle",
        Phase::Proposed => "proposed",
        Phase::Canary => "canary",
        Phase::Region(_) => "region",
        Phase::Whole => "whole",
        Phase::Halted(_) => "halted",
        Phase::Returned => "returned",
    }
}

fn words(phase: Phase) -> String {
    match phase {
        Phase::Region(at) => format!("in region {}", at + 1),
        Phase::Halted(why) => format!("halted: {}", why.text()),
        phase => short(phase).to_owned(),
    }
}
