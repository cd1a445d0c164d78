//! Configuration: the only place where it is read, checked and given defaults.

use crate::discovery::wire::{Listing, ListingError};
use mountshift_settings::{BadSetting, Decoded};
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// What is wrong with which key.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub key: String,
    pub problem: String,
}

impl ConfigError {
    fn new(key: impl Into<String>, problem: impl ToString) -> ConfigError {
        ConfigError { key: key.into(), problem: problem.to_string() }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.problem)
    }
}

impl std::error::Error for ConfigError {}

/// Everything a proxy is told before it starts, checked.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub limits: Limits,
    /// The list as this proxy last had it, maybe old.
    pub known: Listing,
    pub platform: Decoded,
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
}

/// Kept for the listener, epoll, signals, discovery, the standard streams and a margin.
const SPARE_SOCKETS: usize = 32;
const DEFAULT_SOCKETS: usize = 1_024;
const DEFAULT_MEMORY_MB: usize = 128;
const LEAST_MEMORY_MB: usize = 16;
/// A buffer takes up to twice the memory of what is in it, and answers need some too.
const UNFINISHED_PART: usize = 8;
const LEAST_SOCKETS: usize = 64;
const DEFAULT_DIAL_TIMEOUT: Duration = Duration::from_millis(250);
const DEFAULT_IDLE: Duration = Duration::from_secs(30);
/// A watch speaks every two seconds at the least, and a cut connection stays open and silent. What it would
/// have told counts as told six seconds later, so a silent one has to be replaced before that.
const WATCH_SILENCE: Duration = Duration::from_millis(3_000);
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

/// Reads `LB_CONFIG` and what the other variables say over it.
pub fn from_env(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    parse(&file(&variable)?, variable)
}

/// Reads `LB_CONFIG` once more. Where the file names discovery, `LB_DISCOVERY` no longer does.
pub fn reread(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    checked(&file(&variable)?, variable, Reading::Again)
}

fn file(variable: impl Fn(&str) -> Option<String>) -> Result<Vec<u8>, ConfigError> {
    let path = variable("LB_CONFIG").ok_or_else(|| ConfigError::new("LB_CONFIG", "is not set"))?;
    std::fs::read(Path::new(&path))
        .map_err(|e| ConfigError::new("LB_CONFIG", format!("{path} cannot be read: {e}")))
}

pub fn parse(text: &[u8], variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    checked(text, variable, Reading::First)
}

fn checked(
    text: &[u8],
    variable: impl Fn(&str) -> Option<String>,
    reading: Reading,
) -> Result<Config, ConfigError> {
    let mut json = serde_json::Deserializer::from_slice(text);
    let file: File = serde_path_to_error::deserialize(&mut json)
        .map_err(|e| ConfigError::new(e.path().to_string(), e.inner()))?;
    let stated = |name: &str, key: &str, in_file: Option<String>| {
        variable(name).or(in_file).ok_or_else(|| ConfigError::new(key, format!("missing (or set {name})")))
    };
    let address = |key: &str, text: String| {
        text.parse::<SocketAddr>()
            .map_err(|_| ConfigError::new(key, format!("{text:?} is not an address like 10.0.0.4:5433")))
    };
    let listen = address("listen", stated("LB_LISTEN", "listen", file.listen)?)?;
    let discovery = match file.discovery {
        Some(text) if reading == Reading::Again => text,
        in_file => stated("LB_DISCOVERY", "discovery", in_file)?,
    };
    let discovery = address("discovery", discovery)?;
    let settings = file.settings.ok_or_else(|| ConfigError::new("settings", "missing"))?;
    let platform = mountshift_settings::decode(settings.to_string().as_bytes())
        .map_err(|BadSetting { key, problem }| ConfigError::new(format!("settings.{key}"), problem))?;
    check(&platform)?;
    let known = match file.known {
        Some(value) => Listing::parse(value.to_string().as_bytes())
            .map_err(|ListingError(problem)| ConfigError::new("known", problem))?,
        None => Listing::default(),
    };
    let seed = match file.seed {
        Some(text) => u64::from_str_radix(&text, 16)
            .map_err(|_| ConfigError::new("seed", format!("{text:?} is not a hexadecimal number")))?,
        None => u64::from(std::process::id()),
    };
    let longest = platform.settings.classes.iter().map(|c| c.deadline).max().unwrap_or_default();
    let give_up = longest.min(KILL_DEADLINE) + LAST_MARGIN;
    let or_default = |stated: Duration, default| if stated.is_zero() { default } else { stated };
    Ok(Config {
        name: variable("LB_NAME").or(file.name).unwrap_or_else(|| "leverproxy".into()),
        listen,
        discovery,
        seed,
        limits: share_out(&file.limits)?,
        known,
        dial_timeout: or_default(platform.dial_timeout, DEFAULT_DIAL_TIMEOUT),
        idle_limit: or_default(platform.settings.keepalive, DEFAULT_IDLE).mul_f64(IDLE_SHARE),
        watch_silence: WATCH_SILENCE,
        linger: LINGER,
        give_up,
        platform,
    })
}

fn share_out(stated: &FileLimits) -> Result<Limits, ConfigError> {
    let sockets = stated.sockets.unwrap_or(DEFAULT_SOCKETS);
    let memory_mb = stated.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    if memory_mb < LEAST_MEMORY_MB {
        return Err(ConfigError::new("limits.memory_mb", format!("{memory_mb} is under {LEAST_MEMORY_MB}")));
    }
    if sockets < LEAST_SOCKETS {
        return Err(ConfigError::new("limits.sockets", format!("{sockets} is under {LEAST_SOCKETS}")));
    }
    // A request takes a client's connection for all its time and a record server's for a part of it.
    let shared = sockets - SPARE_SOCKETS;
    let clients = shared * 3 / 5;
    // Clients hold a third of the descriptors at most: of these a quarter is for those who come to ask, and a half
    // if nobody minds.
    let (crowded, packed, upstream) = (sockets / 6, sockets / 4, shared - clients);
    Ok(Limits { clients, crowded, packed, upstream, unfinished: (memory_mb << 20) / UNFINISHED_PART })
}

fn check(platform: &Decoded) -> Result<(), ConfigError> {
    if platform.settings.classes.is_empty() {
        return Err(ConfigError::new("settings.Classes", "names no class"));
    }
    for (i, (class, name)) in platform.settings.classes.iter().zip(&platform.names.classes).enumerate() {
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
