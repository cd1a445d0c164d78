//! Builds a checked [`Config`] from both files and the environment.

use super::key_file;
use super::limits;
use super::platform_file::{self, PlatformFile, RequiredKeys};
use super::{operator_config, operators_file, ClientLimits, Config, ConfigError};
use crate::clock::WallClock;
use crate::discovery::wire::EndpointList;
use configuration::model::{Model, Origin};
use configuration::platform::Platform;
use platform_settings::PlatformSettings;
use rustix::process::{getrlimit, Resource};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

const DEFAULT_DIAL_TIMEOUT: Duration = Duration::from_millis(250);
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// New connections arrive for up to 0.4 s after SIGTERM.
const DEFAULT_ACCEPT_AFTER_STOP: Duration = Duration::from_millis(500);
/// SIGKILL follows SIGTERM after 0.7 s plus the longest deadline or later; of that deadline at most this much counts.
const MAX_KILL_DEADLINE: Duration = Duration::from_secs(3);
/// Time after the longest deadline that is left for sending answers.
const FINAL_ANSWER_MARGIN: Duration = Duration::from_millis(600);
/// Fraction of a server's idle timeout after which the proxy closes the connection: a request that is written while the
/// server closes its end would be lost.
const IDLE_TIMEOUT_SHARE: f64 = 0.8;

/// The source that takes precedence if the platform's file and the environment both set a key that may change while the
/// proxy serves.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Precedence {
    /// At the start the environment takes precedence.
    EnvironmentFirst,
    /// On a reload the file takes precedence: it may have been replaced since the start, unlike the environment.
    FileFirst,
}

/// A checked configuration, and the origins of the addresses that do not come from the operators' file.
pub(super) struct Loaded {
    pub config: Config,
    pub listen_origin: Option<Origin>,
    pub discovery_origin: Option<Origin>,
}

/// Reads the files that `LB_CONFIG` and `LB_OPERATORS` name, and the variables that override them.
pub fn from_env(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let text = platform_file::read_text(&variable)?;
    load(&text, &variable, Precedence::EnvironmentFirst, open_files())
        .map(|loaded| loaded.config)
        .map_err(|error| error.located(&variable, &text))
}

/// Reads both files again. The platform's file must have all keys that it had at the start; if it sets discovery's
/// address, `LB_DISCOVERY` is ignored.
pub fn reread(
    variable: impl Fn(&str) -> Option<String>,
    required: &RequiredKeys,
) -> Result<Config, ConfigError> {
    let text = platform_file::read_text(&variable)?;
    let read = || {
        let config = load(&text, &variable, Precedence::FileFirst, open_files())?.config;
        required.check(&text, &config.platform)?;
        Ok(config)
    };
    read().map_err(|error: ConfigError| error.located(&variable, &text))
}

/// Parses the text of a platform's file and applies the variables that override it.
pub fn parse(
    text: &[u8],
    variable: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigError> {
    Ok(load(text, variable, Precedence::EnvironmentFirst, None)?.config)
}

/// The bounds in the platform's file against which an operators' file is checked.
pub fn platform(text: &[u8]) -> Result<Platform, ConfigError> {
    let file = PlatformFile::parse(text)?;
    let decoded = file.decoded_settings()?;
    Ok(platform_bounds(&file, &decoded))
}

fn platform_bounds(file: &PlatformFile, decoded: &PlatformSettings) -> Platform {
    operator_config::platform(decoded, file.limits.sockets, file.limits.memory_mb)
}

/// The system's limit on open files of this process; none: unlimited.
fn open_files() -> Option<usize> {
    usize::try_from(getrlimit(Resource::Nofile).current?).ok()
}

pub(super) fn load(
    text: &[u8],
    variable: impl Fn(&str) -> Option<String>,
    precedence: Precedence,
    open_files: Option<usize>,
) -> Result<Loaded, ConfigError> {
    let file = PlatformFile::parse(text)?;
    let mut platform = file.decoded_settings()?;
    let model = operators_model(variable("LB_OPERATORS"), &platform_bounds(&file, &platform))?;
    operator_config::tighten(&mut platform, &model);

    let addresses = Addresses::read(&file, &variable, &model, precedence)?;
    let known = known_endpoints(&file)?;
    let seed = seed(&file)?;
    let admin = admin_address(&file, &variable)?;
    let limits = limits::divide(&file.limits, &model, admin.is_some(), open_files)?;
    let name = variable("LB_NAME")
        .or(file.name)
        .unwrap_or_else(|| "leverproxy".into());
    let member_keys = model
        .members
        .as_ref()
        .map(|members| key_file::member_keys(members, &name))
        .transpose()?;
    let config = Config {
        hot_restart_socket: hot_restart_socket(&name, &variable, admin.is_some()),
        name,
        listen: addresses.listen,
        admin,
        discovery: addresses.discovery,
        seed,
        limits,
        client_limits: client_limits(&model),
        rules: operator_config::rules(&model, &platform),
        health: operator_config::health(&model),
        availability: operator_config::availability(&model),
        control_socket: model.control_socket.clone(),
        balancers: operator_config::balancers(&model),
        member_keys,
        sites: operator_config::sites(&model),
        operators_file: stated_path(&variable, "LB_OPERATORS"),
        check_networks: check_networks(&model),
        proxy_protocol_networks: proxy_protocol_networks(&model),
        known,
        dial_timeout: or_default(platform.dial_timeout, DEFAULT_DIAL_TIMEOUT),
        upstream_idle_timeout: or_default(platform.settings.idle_timeout, DEFAULT_IDLE_TIMEOUT)
            .mul_f64(IDLE_TIMEOUT_SHARE),
        max_watch_silence: model.discovery.max_watch_silence,
        accept_after_stop: model.accept_after_stop.unwrap_or(DEFAULT_ACCEPT_AFTER_STOP),
        shutdown_timeout: longest_deadline(&platform).min(MAX_KILL_DEADLINE) + FINAL_ANSWER_MARGIN,
        required_keys: RequiredKeys::of(text, &platform),
        wall_clock: WallClock::default(),
        platform,
        announce_end: model.announce_end,
        logging: model.logging,
        members: model.members,
        rollout: model.rollout,
        persistence: model.persistence,
        quota_lending: model.quota_lending,
        calendar_windows: model.windows,
    };
    Ok(Loaded {
        config,
        listen_origin: addresses.listen_origin,
        discovery_origin: addresses.discovery_origin,
    })
}

/// Reads the operators' file at `path` and checks that it is valid and not looser than the platform's settings. Without a
/// path the model is the default.
fn operators_model(path: Option<String>, platform: &Platform) -> Result<Model, ConfigError> {
    let Some(path) = path.filter(|path| !path.is_empty()) else {
        return Ok(Model::default());
    };
    let reading = operators_file::read(Path::new(&path), Some(platform), false);
    if reading.is_valid() {
        return Ok(reading.model);
    }
    let faults = operators_file::faults(&reading);
    let problem = format!("{path} has {} fault(s)", faults.len());
    Err(ConfigError {
        key: "LB_OPERATORS".into(),
        problem,
        faults,
    })
}

/// The addresses of the clients' listener and of discovery, with the origins of those that do not come from the operators'
/// file.
struct Addresses {
    listen: SocketAddr,
    listen_origin: Option<Origin>,
    discovery: SocketAddr,
    discovery_origin: Option<Origin>,
}

impl Addresses {
    fn read(
        file: &PlatformFile,
        variable: &impl Fn(&str) -> Option<String>,
        model: &Model,
        precedence: Precedence,
    ) -> Result<Addresses, ConfigError> {
        let (listen, listen_origin) = address(
            "listen",
            stated_address(variable, "LB_LISTEN", "listen", &file.listen),
            model.listeners.first().and_then(|l| l.address),
            "LB_LISTEN",
        )?;
        let file_first = (precedence == Precedence::FileFirst)
            .then(|| file.discovery.clone())
            .flatten();
        let stated_discovery = match file_first {
            Some(text) => Some((text, Origin::Platform("discovery".into()))),
            None => stated_address(variable, "LB_DISCOVERY", "discovery", &file.discovery),
        };
        let (discovery, discovery_origin) = address(
            "discovery",
            stated_discovery,
            model.discovery.address,
            "LB_DISCOVERY",
        )?;
        Ok(Addresses {
            listen,
            listen_origin,
            discovery,
            discovery_origin,
        })
    }
}

/// The address of the admin API, if one is set.
fn admin_address(
    file: &PlatformFile,
    variable: &impl Fn(&str) -> Option<String>,
) -> Result<Option<SocketAddr>, ConfigError> {
    stated_address(variable, "LB_ADMIN", "admin", &file.admin)
        .map(|stated| address("admin", Some(stated), None, "LB_ADMIN"))
        .transpose()
        .map(|stated| stated.map(|(address, _)| address))
}

/// The address text from the environment, otherwise from the platform's file.
fn stated_address(
    variable: &impl Fn(&str) -> Option<String>,
    name: &'static str,
    key: &str,
    in_file: &Option<String>,
) -> Option<(String, Origin)> {
    let in_environment = variable(name).map(|text| (text, Origin::Environment(name)));
    in_environment.or_else(|| {
        in_file
            .clone()
            .map(|text| (text, Origin::Platform(key.to_owned())))
    })
}

/// Parses the address set outside the operators' file and returns it with its origin; otherwise returns the address in the
/// operators' file.
fn address(
    key: &str,
    stated: Option<(String, Origin)>,
    in_operators_file: Option<SocketAddr>,
    variable: &str,
) -> Result<(SocketAddr, Option<Origin>), ConfigError> {
    match stated {
        Some((text, origin)) => match text.parse() {
            Ok(address) => Ok((address, Some(origin))),
            Err(_) => Err(ConfigError::new(
                key,
                format!("{text:?} is not an address and port like 10.0.0.4:5433"),
            )),
        },
        None => match in_operators_file {
            Some(address) => Ok((address, None)),
            None => Err(ConfigError::new(
                key,
                format!("the address is missing; set this key, or the variable {variable}"),
            )),
        },
    }
}

fn known_endpoints(file: &PlatformFile) -> Result<EndpointList, ConfigError> {
    match &file.known {
        Some(value) => EndpointList::parse(value.to_string().as_bytes())
            .map_err(|error| ConfigError::new("known", error)),
        None => Ok(EndpointList::default()),
    }
}

fn seed(file: &PlatformFile) -> Result<u64, ConfigError> {
    match &file.seed {
        Some(text) => u64::from_str_radix(text, 16)
            .map_err(|_| ConfigError::new("seed", format!("{text:?} is not a hexadecimal number"))),
        None => Ok(u64::from(std::process::id())),
    }
}

/// The socket for hot restarts; none without an admin address or a folder for temporary files.
fn hot_restart_socket(
    name: &str,
    variable: impl Fn(&str) -> Option<String>,
    has_admin: bool,
) -> Option<PathBuf> {
    let folder = variable("TMPDIR").filter(|folder| has_admin && !folder.is_empty())?;
    // A proxy's name may contain characters that are not allowed in a file name.
    let file_name = name.replace(|c: char| !c.is_ascii_alphanumeric(), "-");
    Some(Path::new(&folder).join(format!("leverproxy-{file_name}")))
}

fn stated_path(variable: impl Fn(&str) -> Option<String>, name: &str) -> Option<PathBuf> {
    variable(name)
        .filter(|path| !path.is_empty())
        .map(PathBuf::from)
}

fn check_networks(model: &Model) -> Vec<ipnet::IpNet> {
    model
        .balancers
        .iter()
        .flat_map(|balancer| balancer.networks.clone())
        .collect()
}

fn proxy_protocol_networks(model: &Model) -> Vec<ipnet::IpNet> {
    model
        .listeners
        .iter()
        .flat_map(|listener| listener.proxy_protocol_networks.clone())
        .collect()
}

fn longest_deadline(platform: &PlatformSettings) -> Duration {
    let deadlines = platform.settings.classes.iter().map(|c| c.deadline);
    deadlines.max().unwrap_or_default()
}

fn or_default(stated: Duration, default: Duration) -> Duration {
    if stated.is_zero() {
        default
    } else {
        stated
    }
}

fn client_limits(model: &Model) -> ClientLimits {
    let limits = &model.limits;
    ClientLimits {
        first_request: limits.client_patience,
        idle: limits.client_idle,
        unread_response: limits.answer_unread,
        linger: limits.goodbye,
        max_pipelined: limits.pipeline,
        max_unsent_bytes: limits.unsent,
    }
}
