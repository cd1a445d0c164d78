//! Configuration: the only place where it is read, checked and given defaults.
//!
//! Two files make one [`Config`]: the platform's JSON (`LB_CONFIG`) and the operators' file (`LB_OPERATORS`), if
//! there is one. What the platform states holds; the operators' file sets what is ours to choose, tightens, and
//! never loosens. Variables of the environment count over both.

mod json_position;
pub mod operator_config;
pub mod reload;

use crate::clock::WallClock;
use crate::discovery::wire::EndpointList;
use crate::health::Listen;
use crate::pipeline::route_rules::Rules;
use configuration::calendar::Window;
use configuration::model::{Entry, Lending, Logging, Members, Memory, Model, Origin, Rollout};
use configuration::schema::Takes;
use configuration::source::Sources;
use configuration::value;
use ipnet::IpNet;
use platform_settings::{BadSetting, Decoded, Shape};
use rustix::process::{getrlimit, Resource};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// What is wrong with which key.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("configuration: {key}: {problem}{}", Further(.faults))]
pub struct ConfigError {
    pub key: String,
    pub problem: String,
    /// Of the operators' file: each fault in a line.
    pub faults: Vec<String>,
}

impl ConfigError {
    /// A fault of the platform's file: where that is, and in which line the key stands.
    fn within(self, variable: impl Fn(&str) -> Option<String>, text: &[u8]) -> ConfigError {
        let first = self.key.split('.').next().unwrap_or_default();
        let stated = first.is_empty() || PLATFORM_KEYS.contains(&first);
        let overridden = variable(&format!("LB_{}", first.to_uppercase())).is_some();
        let path = variable("LB_CONFIG").filter(|_| stated && !overridden);
        let Some(path) = path else { return self };
        let line = crate::config::json_position::line_of(text, &self.key)
            .map_or(String::new(), |line| format!(":{line}"));
        ConfigError {
            problem: format!("{} ({path}{line})", self.problem),
            ..self
        }
    }

    pub(crate) fn new(key: impl Into<String>, problem: impl ToString) -> ConfigError {
        ConfigError {
            key: key.into(),
            problem: problem.to_string(),
            faults: Vec::new(),
        }
    }

    /// What an operator can do, by the key. A reload that fails changes nothing; a start ends.
    pub fn advice(&self) -> &'static str {
        match self.key.as_str() {
            "LB_CONFIG" => "Set LB_CONFIG to the platform's file, readable for the proxy's user.",
            "LB_OPERATORS" => {
                "`leverproxy config check FILE` shows each fault with its line and what would be right. A reload keeps what runs until it is mended; then SIGHUP."
            }
            "members" => "Add the section `member`, or set LB_NAME to the name that stands there, and start again.",
            "members.key-file" => {
                "Put the fleet's key file there, the same on every host (a new one: `openssl rand -hex 32`), readable for the proxy's user; then SIGHUP."
            }
            "rollout.candidates" => {
                "Place the file in `candidates` on this host, readable for the proxy's user. It is looked for again every few seconds, and the rollout waits."
            }
            _ => "Put that key right in the platform's file, or in the variable that the message names. A reload keeps what runs until then; then SIGHUP.",
        }
    }
}

/// What the platform's file may state.
const PLATFORM_KEYS: [&str; 8] = [
    "name",
    "listen",
    "admin",
    "discovery",
    "seed",
    "limits",
    "known",
    "settings",
];

struct Further<'a>(&'a [String]);

impl fmt::Display for Further<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|fault| write!(f, "; {fault}"))
    }
}

/// Everything a proxy is told before it starts, checked.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// The second address, where operators call; none: nothing listens.
    pub admin: Option<SocketAddr>,
    /// Where the next process finds this one; none without a second address, or a place for files.
    pub takeover: Option<PathBuf>,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    pub patience: Patience,
    /// What the operators' file says of requests.
    pub rules: Rules,
    /// Where balancers' checks are answered.
    pub health: Vec<Listen>,
    pub availability: availability::Settings,
    /// The operators' socket.
    pub control: Option<PathBuf>,
    pub balancers: Vec<drain::Balancer>,
    /// The fleet that this proxy is of, its own name in the roster, and the keys of its key file; none without the
    /// section `members`.
    pub members: Option<Members>,
    pub member_keys: Option<datagram_auth::Keys>,
    /// How new operators' files reach the fleet.
    pub rollout: Option<Rollout>,
    /// What outlives a kill or a power loss; none: nothing does.
    pub memory: Option<Memory>,
    /// What stands may borrow beyond their quota; none: nothing is lent.
    pub lending: Option<Lending>,
    /// How sites are told of; none: nothing is.
    pub sites: Option<site_failover::Settings>,
    /// Windows of the file, in which a credit may be closed.
    pub windows: Vec<Window>,
    /// The operators' file that was read.
    pub operators: Option<PathBuf>,
    /// The end is announced to the balancers first.
    pub announce_end: bool,
    /// Networks of balancers that only check, and of those that name their clients first.
    pub checks: Vec<IpNet>,
    pub proxy_from: Vec<IpNet>,
    pub logging: Logging,
    /// The list as this proxy last had it, maybe old.
    pub known: EndpointList,
    pub platform: Decoded,
    /// Where wall time is read.
    pub wall_clock: WallClock,
    /// What a later file has to state as this one does.
    pub whole: Whole,
    pub dial_timeout: Duration,
    /// Idle connections to record servers are closed after this, before the servers do it.
    pub idle_limit: Duration,
    /// A watch on discovery that says nothing for this long is broken.
    pub watch_silence: Duration,
    /// After being told to stop, new connections are taken for this long.
    pub linger: Duration,
    /// So long after being told to stop, what is still owed is given up.
    pub give_up: Duration,
}

impl Config {
    pub fn drain_settings(&self) -> drain::Settings {
        drain::Settings {
            balancers: self.balancers.clone(),
            announce_termination: self.announce_end,
            linger: self.linger,
            drain_timeout: self.give_up,
        }
    }
}

/// What clients are given, in time and otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Patience {
    /// A connection has to come to its first sound request within this, and every command to its end.
    pub first: Duration,
    /// Among many, a connection is kept between requests for this long, and for no time when most of those that
    /// clients may hold are taken. Guards against clients that ask once and stay: clients may hold only so many
    /// connections, and those who come to ask would find none left.
    pub idle: Duration,
    /// A client that takes nothing of its answers for this long is given up.
    pub unread: Duration,
    /// A client that has been told why its connection ends has this long to read it.
    pub goodbye: Duration,
    /// Unanswered commands of one connection; more wait in its socket.
    pub pipeline: usize,
    /// Unsent bytes of answers beyond which nothing more is read from a client.
    pub unsent: usize,
}

/// How the descriptors are shared out, and the memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    pub clients: usize,
    /// From this many clients on, none keeps an idle connection for long; from that many on, for any time.
    pub crowded: usize,
    pub packed: usize,
    pub upstream: usize,
    /// Bytes of commands that have not come whole, of all clients.
    pub unfinished: usize,
    /// Bytes of large answers that wait for their clients, of all clients.
    pub passing: usize,
    pub memory: usize,
}

impl Limits {
    /// What is left beside another process that holds so many.
    pub fn beside(self, (clients, upstream): (usize, usize)) -> Limits {
        let left = |all: usize, used: usize| all.saturating_sub(used).max(all / 4);
        Limits {
            clients: left(self.clients, clients),
            upstream: left(self.upstream, upstream),
            ..self
        }
    }
}

/// Of the memory, for large answers on their way: an eighth, as for unfinished commands.
const PASSING_SHARE: usize = 8;
/// Kept for what serves no client: the standard streams (3), epoll, what wakes the loop (2, and a copy for each of four
/// signals and five threads), the listener and a connection that is accepted to be turned away, two watches while
/// discovery moves, the next process (a listener, four links, and one turned away), the fleet's socket, and files for a
/// moment (the load, a configuration, a memory with its lock and its place).
const SPARE_SOCKETS: usize = 32;
/// Kept for balancers' connections to the clients' listener that ask for nothing.
const BALANCERS: usize = crate::downstream::CHECKS;
/// Kept for checks beside their own number, and for the operators' socket.
const HEALTH_RESERVE: usize = 10;
const DEFAULT_SOCKETS: usize = 1_024;
const DEFAULT_MEMORY_MB: usize = 128;
const LEAST_MEMORY_MB: usize = 16;
const LEAST_SOCKETS: usize = 64;
const DEFAULT_DIAL_TIMEOUT: Duration = Duration::from_millis(250);
const DEFAULT_IDLE: Duration = Duration::from_secs(30);
/// After SIGTERM new connections go on coming for up to 0.4 s.
const LINGER: Duration = Duration::from_millis(500);
/// SIGKILL comes no sooner than 0.7 s and the longest deadline after SIGTERM, which counts for this much at most.
const KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Beyond that deadline, for answers on their way out.
const LAST_MARGIN: Duration = Duration::from_millis(600);
/// Share of the time that a server keeps an idle connection after which it is closed here: a request written
/// while the server closes would be lost.
const IDLE_SHARE: f64 = 0.8;

#[derive(Deserialize, Default)]
#[serde(default)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    admin: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    limits: FileLimits,
    known: Option<serde_json::Value>,
    settings: Option<serde_json::Value>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct FileLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Whose word counts where file and environment both name a key that may change while the proxy serves.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Reading {
    /// At the start the environment does.
    First,
    /// Later the file does: it has been replaced since, the environment can't have been.
    Again,
}

/// Reads `LB_CONFIG`, `LB_OPERATORS` and what the other variables say over them.
pub fn from_env(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let text = file(&variable)?;
    let read = checked(&text, &variable, Reading::First, open_files());
    read.map(|(config, _)| config)
        .map_err(|error| error.within(&variable, &text))
}

/// How many files the system lets this process hold open; none: any number.
fn open_files() -> Option<usize> {
    usize::try_from(getrlimit(Resource::Nofile).current?).ok()
}

/// Reads both files once more, the platform's whole as it was at the start. Where that names discovery, `LB_DISCOVERY` no
/// longer does.
pub fn reread(
    variable: impl Fn(&str) -> Option<String>,
    whole: &Whole,
) -> Result<Config, ConfigError> {
    let text = file(&variable)?;
    let read = || {
        let config = checked(&text, &variable, Reading::Again, open_files())?.0;
        whole.check(&text, &config.platform)?;
        Ok(config)
    };
    read().map_err(|error: ConfigError| error.within(&variable, &text))
}

/// What the platform's first file had. A later one that lacks a key of it was cut off or is not the platform's; read with
/// defaults it would change what nobody meant to change.
#[derive(Clone, Debug, Default)]
pub struct Whole {
    shape: Shape,
    /// It allowed any number of attempts.
    unlimited: bool,
}

impl Whole {
    fn of(text: &[u8], platform: &Decoded) -> Whole {
        let value = stated(text).unwrap_or_default();
        Whole {
            shape: Shape::of(&value),
            unlimited: platform.settings.attempt_limit == 0,
        }
    }

    fn check(&self, text: &[u8], platform: &Decoded) -> Result<(), ConfigError> {
        let value = stated(text).map_err(|e| ConfigError::new(".", e))?;
        if let Some(key) = self.shape.missing(&value) {
            return Err(ConfigError::new(key, "missing, and the first file had it"));
        }
        if platform.settings.attempt_limit == 0 && !self.unlimited {
            return Err(ConfigError::new(
                "settings.PolicyLimits.TryLimit",
                "is not a positive number",
            ));
        }
        Ok(())
    }
}

/// The platform's file, but for the list of record servers, which may hold any.
fn stated(text: &[u8]) -> Result<serde_json::Value, serde_json::Error> {
    let mut value: serde_json::Value = serde_json::from_slice(text)?;
    if let Some(fields) = value.as_object_mut() {
        fields.remove("known");
    }
    Ok(value)
}

/// Every value that counts, with where it comes from, and the texts of the operators' file.
pub fn effective(
    variable: impl Fn(&str) -> Option<String>,
) -> Result<(Vec<Entry>, Sources), ConfigError> {
    let text = file(&variable)?;
    let (config, told) = checked(&text, &variable, Reading::First, None)?;
    let limits = platform_file(&text)?.limits;
    let reading = match variable("LB_OPERATORS").filter(|path| !path.is_empty()) {
        Some(path) => operator_config::read(Path::new(&path), None, false),
        None => configuration::Reading::default(),
    };
    let mut entries = configuration::model::entries(&reading.sections);
    for (section, address, origin) in [
        ("listener", config.listen, told.listen),
        ("discovery", config.discovery, told.discovery),
    ] {
        if let Some(origin) = origin {
            put(
                &mut entries,
                section,
                "address",
                address.to_string(),
                origin,
            );
        }
    }
    let stated = |directive| {
        entries
            .iter()
            .any(|e| e.section == "limits" && e.directive == directive)
    };
    let (sockets, memory) = (stated("sockets"), stated("memory"));
    if let Some(number) = limits.sockets.filter(|_| !sockets) {
        let origin = Origin::Platform("limits.sockets".into());
        put(
            &mut entries,
            "limits",
            "sockets",
            number.to_string(),
            origin,
        );
    }
    if let Some(mb) = limits.memory_mb.filter(|_| !memory) {
        let origin = Origin::Platform("limits.memory_mb".into());
        put(
            &mut entries,
            "limits",
            "memory",
            value::size((mb as u64) << 20),
            origin,
        );
    }
    Ok((entries, reading.sources))
}

/// Whose word the addresses are, where it is not the operators' file's.
struct Told {
    listen: Option<Origin>,
    discovery: Option<Origin>,
}

fn file(variable: impl Fn(&str) -> Option<String>) -> Result<Vec<u8>, ConfigError> {
    let path = variable("LB_CONFIG").ok_or_else(|| ConfigError::new("LB_CONFIG", "is not set"))?;
    std::fs::read(Path::new(&path))
        .map_err(|e| ConfigError::new("LB_CONFIG", format!("{path} cannot be read: {e}")))
}

pub fn parse(
    text: &[u8],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigError> {
    Ok(checked(text, variable, Reading::First, None)?.0)
}

/// What the platform's file says that an operators' file is held against.
pub fn platform(text: &[u8]) -> Result<configuration::platform::Platform, ConfigError> {
    let file = platform_file(text)?;
    let decoded = decode(&file)?;
    Ok(operator_config::platform(
        &decoded,
        file.limits.sockets,
        file.limits.memory_mb,
    ))
}

fn platform_file(text: &[u8]) -> Result<File, ConfigError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    serde_path_to_error::deserialize(&mut json)
        .map_err(|e| ConfigError::new(e.path().to_string(), e.inner()))
}

fn decode(file: &File) -> Result<Decoded, ConfigError> {
    let settings = file
        .settings
        .as_ref()
        .ok_or_else(|| ConfigError::new("settings", "missing"))?;
    let platform = platform_settings::decode(settings.to_string().as_bytes()).map_err(
        |BadSetting { key, problem }| ConfigError::new(format!("settings.{key}"), problem),
    )?;
    check(&platform)?;
    Ok(platform)
}

/// The operators' model, if a file is named: sound, and no looser than the platform.
fn operators_model(
    path: Option<String>,
    platform: &configuration::platform::Platform,
) -> Result<Model, ConfigError> {
    let Some(path) = path.filter(|path| !path.is_empty()) else {
        return Ok(Model::default());
    };
    let reading = operator_config::read(Path::new(&path), Some(platform), false);
    if reading.sound() {
        return Ok(reading.model);
    }
    let faults = operator_config::faults(&reading);
    let problem = format!("{path} has {} fault(s)", faults.len());
    Err(ConfigError {
        key: "LB_OPERATORS".into(),
        problem,
        faults,
    })
}

/// An address and whose word it is.
fn address(
    key: &str,
    stated: Option<(String, Origin)>,
    ours: Option<SocketAddr>,
    name: &str,
) -> Result<(SocketAddr, Option<Origin>), ConfigError> {
    match stated {
        Some((text, origin)) => match text.parse() {
            Ok(address) => Ok((address, Some(origin))),
            Err(_) => Err(ConfigError::new(
                key,
                format!("{text:?} is not an address like 10.0.0.4:5433"),
            )),
        },
        None => match ours {
            Some(address) => Ok((address, None)),
            None => Err(ConfigError::new(key, format!("missing (or set {name})"))),
        },
    }
}

fn checked(
    text: &[u8],
    variable: impl Fn(&str) -> Option<String>,
    reading: Reading,
    open_files: Option<usize>,
) -> Result<(Config, Told), ConfigError> {
    let file = platform_file(text)?;
    let mut platform = decode(&file)?;
    let against = operator_config::platform(&platform, file.limits.sockets, file.limits.memory_mb);
    let model = operators_model(variable("LB_OPERATORS"), &against)?;
    operator_config::tighten(&mut platform, &model);

    let stated = |name: &'static str, key: &str, in_file: &Option<String>| {
        let here = variable(name).map(|text| (text, Origin::Environment(name)));
        here.or_else(|| {
            in_file
                .clone()
                .map(|text| (text, Origin::Platform(key.to_owned())))
        })
    };
    let ours = model.listeners.first().and_then(|l| l.address);
    let (listen, listen_from) = address(
        "listen",
        stated("LB_LISTEN", "listen", &file.listen),
        ours,
        "LB_LISTEN",
    )?;
    let in_file = file.discovery.clone().filter(|_| reading == Reading::Again);
    let named = match in_file {
        Some(text) => Some((text, Origin::Platform("discovery".into()))),
        None => stated("LB_DISCOVERY", "discovery", &file.discovery),
    };
    let (discovery, discovery_from) =
        address("discovery", named, model.discovery.address, "LB_DISCOVERY")?;
    let known = match file.known {
        Some(value) => EndpointList::parse(value.to_string().as_bytes())
            .map_err(|error| ConfigError::new("known", error))?,
        None => EndpointList::default(),
    };
    let seed = match &file.seed {
        Some(text) => u64::from_str_radix(text, 16).map_err(|_| {
            ConfigError::new("seed", format!("{text:?} is not a hexadecimal number"))
        })?,
        None => u64::from(std::process::id()),
    };
    let longest = platform
        .settings
        .classes
        .iter()
        .map(|c| c.deadline)
        .max()
        .unwrap_or_default();
    let give_up = longest.min(KILL_DEADLINE) + LAST_MARGIN;
    let or_default = |stated: Duration, default| if stated.is_zero() { default } else { stated };
    // Like any address: the environment's, else the file's.
    let admin = stated("LB_ADMIN", "admin", &file.admin);
    let admin = admin
        .map(|stated| address("admin", Some(stated), None, "LB_ADMIN"))
        .transpose()?;
    let admin = admin.map(|(address, _)| address);
    let limits = share_out(&file.limits, &model, admin.is_some(), open_files)?;
    let told = Told {
        listen: listen_from,
        discovery: discovery_from,
    };
    let name = variable("LB_NAME")
        .or(file.name)
        .unwrap_or_else(|| "leverproxy".into());
    let member_keys = model
        .members
        .as_ref()
        .map(|m| operator_config::member_keys(m, &name))
        .transpose()?;
    let place = variable("TMPDIR").filter(|place| admin.is_some() && !place.is_empty());
    // The name of a proxy is the platform's, and may hold what no file's name does.
    let file_name = name.replace(|c: char| !c.is_ascii_alphanumeric(), "-");
    let config = Config {
        takeover: place.map(|place| Path::new(&place).join(format!("leverproxy-{file_name}"))),
        name,
        listen,
        admin,
        discovery,
        seed,
        limits,
        patience: patience(&model),
        rules: operator_config::rules(&model, &platform),
        health: operator_config::health(&model),
        availability: operator_config::availability(&model),
        control: model.control.clone(),
        balancers: operator_config::balancers(&model),
        members: model.members.clone(),
        member_keys,
        rollout: model.rollout.clone(),
        memory: model.memory.clone(),
        lending: model.lending.clone(),
        sites: operator_config::sites(&model),
        windows: model.windows.clone(),
        operators: variable("LB_OPERATORS")
            .filter(|path| !path.is_empty())
            .map(PathBuf::from),
        announce_end: model.announce_end,
        checks: model
            .balancers
            .iter()
            .flat_map(|b| b.networks.clone())
            .collect(),
        proxy_from: model
            .listeners
            .iter()
            .flat_map(|l| l.proxy_from.clone())
            .collect(),
        logging: model.logging,
        known,
        dial_timeout: or_default(platform.dial_timeout, DEFAULT_DIAL_TIMEOUT),
        idle_limit: or_default(platform.settings.idle_timeout, DEFAULT_IDLE).mul_f64(IDLE_SHARE),
        watch_silence: model.discovery.watch_silence,
        linger: model.linger.unwrap_or(LINGER),
        give_up,
        whole: Whole::of(text, &platform),
        wall_clock: WallClock::default(),
        platform,
    };
    Ok((config, told))
}

/// A value of the platform's or the environment's, in place of ours.
fn put(
    entries: &mut Vec<Entry>,
    section: &str,
    directive: &'static str,
    value: String,
    origin: Origin,
) {
    let ours = |e: &Entry| e.section.split(' ').next() == Some(section) && e.directive == directive;
    entries.retain(|e| !ours(e));
    entries.push(Entry {
        section: section.into(),
        directive,
        value,
        origin,
        takes: Takes::Reload,
    });
}

fn patience(model: &Model) -> Patience {
    let limits = &model.limits;
    Patience {
        first: limits.client_patience,
        idle: limits.client_idle,
        unread: limits.answer_unread,
        goodbye: limits.goodbye,
        pipeline: limits.pipeline,
        unsent: limits.unsent,
    }
}

fn share_out(
    stated: &FileLimits,
    model: &Model,
    admin: bool,
    open_files: Option<usize>,
) -> Result<Limits, ConfigError> {
    let sockets = stated.sockets.unwrap_or(DEFAULT_SOCKETS);
    let memory_mb = stated.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    if memory_mb < LEAST_MEMORY_MB {
        return Err(ConfigError::new(
            "limits.memory_mb",
            format!("{memory_mb} is under {LEAST_MEMORY_MB}"),
        ));
    }
    if sockets < LEAST_SOCKETS {
        return Err(ConfigError::new(
            "limits.sockets",
            format!("{sockets} is under {LEAST_SOCKETS}"),
        ));
    }
    let ours = &model.limits;
    let sockets = ours.sockets.map_or(sockets, |own| own.min(sockets));
    let memory = memory_mb << 20;
    let memory = ours
        .memory
        .and_then(|own| usize::try_from(own).ok())
        .map_or(memory, |own| own.min(memory));
    // A request takes a client's connection for all its time and a record server's for a part of it.
    let checks: usize = model.health.iter().map(|h| h.connections + 1).sum();
    let checks = checks
        + if model.balancers.iter().any(|b| !b.networks.is_empty()) {
            BALANCERS
        } else {
            0
        };
    let calls = if admin {
        crate::control::admin::CONNECTIONS + 1
    } else {
        0
    };
    let spare = SPARE_SOCKETS + calls + checks + if checks > 0 { HEALTH_RESERVE } else { 0 };
    if spare + LEAST_SOCKETS / 2 > sockets {
        let problem =
            format!("{sockets} are too few for the health listeners, which take {checks}");
        return Err(ConfigError::new("limits.sockets", problem));
    }
    let sockets = open_files.map_or(sockets, |most| within(most, sockets, spare));
    let shared = sockets - spare;
    let clients = ours.clients.of(shared);
    // Clients hold a third of the descriptors at most: of these a quarter is for those who come to ask, and a half
    // if nobody minds.
    let (crowded, packed) = (ours.crowded.of(sockets), ours.packed.of(sockets));
    // A buffer takes up to twice the memory of what is in it, and answers need some too.
    Ok(Limits {
        clients,
        crowded,
        packed,
        upstream: shared - clients,
        unfinished: ours.unfinished.of(memory),
        passing: memory / PASSING_SHARE,
        memory,
    })
}

/// The descriptors to share out where the system allows so many. Guards against clients that fill up what discovery and record
/// servers need: the limit of their part must be met before the system's is.
fn within(most: usize, sockets: usize, spare: usize) -> usize {
    if most >= sockets {
        return sockets;
    }
    let advice =
        "Raise the limit (`ulimit -n`, `LimitNOFILE=`), or state no more `sockets` than it allows.";
    if most < spare + LEAST_SOCKETS / 2 {
        log::warn!(advice; "configuration: {most} open files are allowed, too few to keep any from clients");
        return sockets;
    }
    log::warn!(advice; "configuration: {most} open files are allowed, fewer than {sockets} sockets");
    most
}

fn check(platform: &Decoded) -> Result<(), ConfigError> {
    if platform.settings.classes.is_empty() {
        return Err(ConfigError::new("settings.Classes", "names no class"));
    }
    for (i, (class, name)) in platform
        .settings
        .classes
        .iter()
        .zip(&platform.names.classes)
        .enumerate()
    {
        let key = |name| format!("settings.Classes[{i}].{name}");
        if name.is_empty() {
            return Err(ConfigError::new(key("Name"), "missing"));
        }
        if class.deadline.is_zero() {
            return Err(ConfigError::new(key("Deadline"), "missing or zero"));
        }
    }
    Ok(())
}
