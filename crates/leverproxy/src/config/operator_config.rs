//! The operators' file: read from disk, held against the platform's word, and made into what the stages go by.

use crate::config::ConfigError;
use crate::health::{Listen, Protocol};
use crate::pipeline::route_rules::{Rules, Ruling};
use crate::request::shown;
use bulkheads::{Priority, Rate, Settings as Pool};
use configuration::diagnostic::{self, Diagnostic};
use configuration::index::{Index, Names};
use configuration::load::Loader;
use configuration::model::{Members, Model};
use configuration::platform::{self, Platform};
use configuration::route::{self, Outcome};
use configuration::source::Sources;
use configuration::Reading;
use platform_settings::PlatformSettings;
use routing::{ClassId, Consistency, Idempotency};
use std::path::{Path, PathBuf};
use std::time::Duration;
use wire_health::http::Statuses;

/// Files of the system.
pub struct Disk;

/// A file's first bytes, at most so many.
fn bytes(path: &Path, limit: usize) -> Result<Vec<u8>, String> {
    use std::io::Read;
    let file = std::fs::File::open(path).map_err(|e| e.to_string())?;
    if !file.metadata().map_err(|e| e.to_string())?.is_file() {
        return Err("is not a file".into());
    }
    let mut bytes = Vec::new();
    file.take(limit as u64)
        .read_to_end(&mut bytes)
        .map_err(|e| e.to_string())?;
    Ok(bytes)
}

impl Loader for Disk {
    fn read(&self, path: &Path) -> Result<Vec<u8>, String> {
        bytes(path, configuration::load::FILE_LIMIT + 1)
    }

    fn identity(&self, path: &Path) -> Result<PathBuf, String> {
        path.canonicalize().map_err(|e| e.to_string())
    }

    fn names(&self, folder: &Path) -> Result<Vec<String>, String> {
        let folder = if folder.as_os_str().is_empty() {
            Path::new(".")
        } else {
            folder
        };
        let entries = std::fs::read_dir(folder).map_err(|e| e.to_string())?;
        Ok(entries
            .flatten()
            .map(|entry| entry.file_name().to_string_lossy().into_owned())
            .collect())
    }
}

/// Reads a file and checks it, against the platform's word where that is known. `search`: also look for routes
/// that no request reaches, which takes long where they are many.
pub fn read(path: &Path, platform: Option<&Platform>, search: bool) -> Reading {
    let mut reading = configuration::read(path, &Disk);
    let mut found = Vec::new();
    if let Some(platform) = platform {
        found = platform::check(&reading.sections, &reading.model, platform);
    }
    if search && reading.sound() {
        let classes = platform.map(classes);
        found.extend(configuration::shadow::check(
            &reading.model,
            classes.as_deref(),
        ));
    }
    reading.add(found);
    reading
}

/// The names of all classes, in the platform's order.
pub fn classes(platform: &Platform) -> Vec<String> {
    platform.classes.iter().map(|c| c.name.clone()).collect()
}

/// Each fault in a line, and what there is beside faults in the log.
pub fn faults(reading: &Reading) -> Vec<String> {
    let errors = reading.diagnostics.iter().filter(|d| d.is_error());
    errors.map(|d| fault(&reading.sources, d)).collect()
}

/// In one line, with the directive that it is about: a message may tell of its value alone.
fn fault(sources: &Sources, diagnostic: &Diagnostic) -> String {
    let line = sources.place(diagnostic.span).line;
    let text = sources
        .get(diagnostic.span.file)
        .and_then(|file| file.text.lines().nth(line.checked_sub(1)?));
    let said = text.map_or("", str::trim);
    format!(
        "{}; the line is `{}`",
        diagnostic::line(sources, diagnostic),
        shown(said)
    )
}

/// What the operators' file has to be held against.
pub fn platform(
    decoded: &PlatformSettings,
    sockets: Option<usize>,
    memory_mb: Option<usize>,
) -> Platform {
    let PlatformSettings {
        settings, names, ..
    } = decoded;
    let classes = settings
        .classes
        .iter()
        .zip(&names.classes)
        .map(|(class, name)| platform::Class {
            name: name.clone(),
            need: match class.consistency {
                Consistency::Write => platform::Need::Write,
                Consistency::Strong => platform::Need::Fresh,
                Consistency::ReadYourWrites => platform::Need::Session,
                Consistency::BoundedStaleness(age) => platform::Need::Bounded(age),
                Consistency::Eventual => platform::Need::Any,
            },
            repeat: match class.idempotency {
                Idempotency::Idempotent => platform::Repeat::Safe,
                Idempotency::Keyed { .. } => platform::Repeat::Keyed,
                Idempotency::NonIdempotent => platform::Repeat::Never,
            },
            deadline: class.deadline,
        });
    Platform {
        classes: classes.collect(),
        tenants: names.tenants.clone(),
        try_limit: settings.attempt_limit,
        sockets,
        memory: memory_mb.map(|mb| (mb as u64) << 20),
        max_retry_after: settings
            .may_send_retry_after
            .then_some(settings.max_retry_after),
    }
}

/// What the file says of the module's settings, each value only where it is tighter.
pub fn tighten(platform: &mut PlatformSettings, model: &Model) {
    let settings = &mut platform.settings;
    if let Some(tries) = model.policy.tries {
        settings.attempt_limit = if settings.attempt_limit == 0 {
            tries
        } else {
            settings.attempt_limit.min(tries)
        };
    }
    settings.may_hedge &= model.policy.second_copies;
    settings.may_probe &= model.policy.probes;
    if let Some(most) = model.policy.max_retry_after {
        settings.max_retry_after = settings.max_retry_after.min(most);
    }
    for class in model.classes.iter().filter(|c| c.once) {
        if let Some(at) = platform
            .names
            .classes
            .iter()
            .position(|name| *name == class.name)
        {
            settings.classes[at].idempotency = Idempotency::NonIdempotent;
        }
    }
}

/// The model's routes, classes and pools, compiled. Names of the platform keep their numbers.
pub fn rules(model: &Model, platform: &PlatformSettings) -> Rules {
    let names = Names {
        classes: platform.names.classes.clone(),
        tenants: platform.names.tenants.clone(),
    };
    let names = names.with_routes(&model.routes);
    let pool_at = |name: &String| model.pools.iter().position(|p| p.name == *name);
    let class_at = |name: &String| {
        let at = platform.names.classes.iter().position(|n| n == name)?;
        u16::try_from(at).ok().map(ClassId)
    };
    let ruling = |outcome: &Outcome| Ruling {
        pool: outcome.pool.as_ref().and_then(pool_at),
        as_class: outcome.as_class.as_ref().and_then(class_at),
        deadline: outcome.deadline,
        priority: match outcome.priority {
            route::Priority::Low => Priority::Low,
            route::Priority::Normal => Priority::Normal,
            route::Priority::High => Priority::High,
        },
        tries: outcome.tries,
        refuse: outcome.refuse,
    };
    let caps = platform.names.classes.iter().map(|name| {
        let stated = model.classes.iter().find(|c| c.name == *name);
        (
            stated.and_then(|c| c.deadline),
            stated.and_then(|c| c.tries),
        )
    });
    Rules {
        places: Vec::new(),
        index: Index::new(&model.routes, &model.windows, &names),
        rulings: model.routes.iter().map(|r| ruling(&r.outcome)).collect(),
        caps: caps.collect(),
        pools: model.pools.iter().map(pool).collect(),
        deadlines: platform
            .settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .collect(),
        margin: model.limits.answer_margin,
        max_retry_after: Some(platform.settings.max_retry_after)
            .filter(|_| platform.settings.may_send_retry_after),
        tenants: names.tenants,
    }
}

pub fn health(model: &Model) -> Vec<Listen> {
    let listen = |h: &configuration::model::Health| Listen {
        name: h.name.clone(),
        address: h.address,
        protocol: match h.protocol {
            "grpc" => Protocol::Grpc,
            "agent" => Protocol::Agent {
                expects_text: h.expects_text,
                maxconn: h.maxconn,
            },
            _ => Protocol::Http(match h.statuses {
                "drain-is-404" => Statuses::DrainIs404,
                "overload-is-429" => Statuses::OverloadIs429,
                _ => Statuses::Plain,
            }),
        },
        connections: h.connections,
        patience: h.patience,
        idle: h.idle,
    };
    model.health.iter().map(listen).collect()
}

pub fn balancers(model: &Model) -> Vec<drain::Balancer> {
    let balancer = |b: &configuration::model::Balancer| drain::Balancer {
        interval: b.interval,
        fall: b.fall,
        timeout: b.timeout,
    };
    model.balancers.iter().map(balancer).collect()
}

/// Of a key file, more is not read: two keys, and room for what operators write about them.
const KEY_FILE_LIMIT: usize = 16 << 10;

/// The keys of the fleet, if a proxy of that name is of it.
pub fn member_keys(members: &Members, name: &str) -> Result<datagram_auth::Keys, ConfigError> {
    if !members.roster.iter().any(|m| m.name == name) {
        let names = members.roster.iter().map(|m| m.name.as_str());
        let near = match diagnostic::nearest(name, names) {
            Some(near) => format!("; did you mean {near}?"),
            None => String::new(),
        };
        let problem = format!(
            "the operators' file (LB_OPERATORS) has no section `member {name}` for this proxy itself: add it, or set \
             LB_NAME to the name that stands there{near}"
        );
        return Err(ConfigError::new("members", problem));
    }
    let path = members.key_file.display();
    let fault = |problem: String| ConfigError::new("members.key-file", problem);
    let bytes = bytes(&members.key_file, KEY_FILE_LIMIT + 1).map_err(|e| {
        fault(format!(
            "{path} can't be read: {e}; put the fleet's keys there, readable for the proxy's user"
        ))
    })?;
    if bytes.len() > KEY_FILE_LIMIT {
        return Err(fault(format!(
            "{path} has more than {KEY_FILE_LIMIT} bytes: it can't be a key file"
        )));
    }
    // What is no text is no hex digit either, and told so with its line.
    datagram_auth::Keys::parse(&String::from_utf8_lossy(&bytes))
        .map_err(|e| fault(format!("{path}: {e}")))
}

pub fn availability(model: &Model) -> availability::Settings {
    let stated = &model.availability;
    let part =
        |share: configuration::value::Share| f64::from(share.part) / f64::from(share.whole.max(1));
    availability::Settings {
        floor: part(stated.floor),
        cut_floor: part(stated.cut_floor),
        list_late: stated.list_late,
        election: stated.election,
        dwell: stated.dwell,
        silence: stated.silence,
        lag: (stated.lag, stated.lag * LAG_WORST),
        ..availability::Settings::default()
    }
}

pub fn sites(model: &Model) -> Option<site_failover::Settings> {
    let stated = model.sites.as_ref()?;
    Some(site_failover::Settings {
        lost_after: stated.lost_after,
        return_after: stated.return_after,
        dwell: stated.dwell,
        list_late: model.availability.list_late,
        ..site_failover::Settings::default()
    })
}

/// The loop's lag at which the weight is at its least, as a multiple of that at which it begins to fall.
const LAG_WORST: u32 = 20;

fn pool(pool: &configuration::model::Pool) -> Pool {
    Pool {
        name: pool.name.clone(),
        requests: pool.requests,
        rate: pool.rate.map(|rate| Rate {
            // A rate of more than one a nanosecond is none.
            interval: rate.interval().max(Duration::from_nanos(1)),
            burst: pool.burst,
        }),
        reserve: f64::from(pool.reserve.part) / f64::from(pool.reserve.whole.max(1)),
        retry_after: pool.retry_after,
    }
}
