//! The typed, resolved model, with the place of every value, and the checks between values.

use crate::calendar::{Almanac, Window, WindowConditions};
use crate::check::{unknown_name, Section};
use crate::diagnostic::Diagnostic;
pub use crate::lending::{Credit, Lending};
pub use crate::members::{Member, Members};
pub use crate::persistence::Persistence;
pub use crate::rollout::Rollout;
use crate::route::{fold_case, Conditions, Outcome, Priority, Route};
use crate::schema::{self, TakesEffect};
pub use crate::sites::Sites;
use crate::source::Span;
use crate::value::{Dates, Hours, Rate, Share, Value};
use crate::values::Values;
use ipnet::IpNet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;

/// Where a value comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The table's default.
    Default,
    /// A place in the operators' file.
    File(Span),
    /// A key of the platform's file.
    Platform(String),
    /// A variable of the environment.
    Environment(&'static str),
}

/// A value as it counts, for those who ask where it comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Keyword and name of the section.
    pub section: String,
    /// The directive's keyword.
    pub directive: &'static str,
    /// The value as it would be written.
    pub value: String,
    /// Where it comes from.
    pub origin: Origin,
    /// When a change of it counts.
    pub takes_effect: TakesEffect,
}

/// The section `limits`. Shares are of the descriptors or of the memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Limits {
    /// `client-patience`: time until a connection's first valid request, and for each command.
    pub client_patience: Duration,
    /// `client-idle`: time that an idle connection is kept when clients are many.
    pub client_idle: Duration,
    /// `answer-unread`: time without a byte read after which a client is disconnected.
    pub answer_unread: Duration,
    /// `goodbye`: time to read why a connection ends.
    pub goodbye: Duration,
    /// `answer-margin`: part of the client's time that is kept for the answer's way.
    pub answer_margin: Duration,
    /// `pipeline`: unanswered commands of one connection.
    pub pipeline: usize,
    /// `unsent`: bytes of unsent answers of one connection.
    pub unsent: usize,
    /// `clients`: clients' share of the descriptors.
    pub clients: Share,
    /// `crowded`: share from which idle connections are closed after `client-idle`.
    pub crowded: Share,
    /// `packed`: share from which idle connections are closed at once.
    pub packed: Share,
    /// `unfinished`: share of the memory for commands that are not complete.
    pub unfinished: Share,
    /// `sockets`: descriptors in all.
    pub sockets: Option<usize>,
    /// `memory`: bytes in all.
    pub memory: Option<u64>,
}

/// The section `discovery`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Discovery {
    /// Where the endpoint list is served.
    pub address: Option<SocketAddr>,
    /// A watch that is silent for so long is broken.
    pub max_watch_silence: Duration,
}

/// A section `listener`: where clients connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: Option<SocketAddr>,
    /// Balancers that name their clients.
    pub proxy_protocol_networks: Vec<IpNet>,
}

/// A section `health`: where balancers' checks are answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Health {
    /// Its name.
    pub name: String,
    /// `http`, `agent` or `grpc`.
    pub protocol: &'static str,
    /// Its address.
    pub address: SocketAddr,
    /// Which HTTP statuses are used.
    pub statuses: &'static str,
    /// An agent check's text is waited for.
    pub expects_text: bool,
    /// An agent check's answer states `maxconn`.
    pub maxconn: bool,
    /// Connections at once.
    pub connections: usize,
    /// Time for a check to be complete.
    pub check_timeout: Duration,
    /// Time that an idle connection is kept.
    pub idle_timeout: Duration,
}

/// A section `balancer`: who checks this proxy, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Balancer {
    /// Its name.
    pub name: String,
    /// Time between two checks.
    pub interval: Duration,
    /// Failed checks after which it takes the proxy for down.
    pub fall: u32,
    /// Time after which a check has failed.
    pub timeout: Duration,
    /// Networks that it checks from.
    pub networks: Vec<IpNet>,
}

/// The section `availability`: when the proxy counts as degraded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Availability {
    /// Share of its weight that faults which other proxies may share leave at least.
    pub floor: Share,
    /// Share of its weight that a proven cut of a link leaves at least; the lower of the two counts.
    pub cut_floor: Share,
    /// How late the endpoint list may be.
    pub list_late: Duration,
    /// No lost primary is replaced sooner than this.
    pub election: Duration,
    /// How long a state lasts at least.
    pub dwell: Duration,
    /// A group that owes answers and gives none for so long counts as hung.
    pub silence: Duration,
    /// Lag of the event loop from which the weight falls.
    pub lag: Duration,
}

/// A section `pool`: a bound on part of the requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Open requests at once.
    pub requests: Option<u32>,
    /// Requests in a span of time.
    pub rate: Option<Rate>,
    /// Requests that may come at once within the rate.
    pub burst: u32,
    /// Share that low priority leaves to normal, and normal to high.
    pub reserve: Share,
    /// Retry-After of requests that find it full.
    pub retry_after: Option<Duration>,
    /// Groups whose requests it bounds.
    pub groups: Vec<RangeInclusive<u32>>,
}

/// A section `class`: tighter bounds on a class of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// The class's name.
    pub name: String,
    /// Where the section stands.
    pub span: Span,
    /// A shorter deadline.
    pub deadline: Option<Duration>,
    /// A lower attempt limit.
    pub attempt_limit: Option<u16>,
    /// Never sent again once it may have run.
    pub runs_once: bool,
}

/// A section `window`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedWindow {
    /// Its name.
    pub name: String,
    /// When it holds.
    pub stated: WindowConditions,
}

/// The section `policy`: tighter settings of the decision module.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// A lower attempt limit.
    pub attempt_limit: Option<u16>,
    /// Hedged requests are allowed.
    pub hedging: bool,
    /// Probes are allowed.
    pub probes: bool,
    /// A shorter longest Retry-After.
    pub max_retry_after: Option<Duration>,
}

/// The section `logging`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Logging {
    /// The level.
    pub level: &'static str,
    /// Lines are JSON.
    pub json: bool,
}

/// All sections, checked, with defaults where none is stated.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Limits of the process and of its clients.
    pub limits: Limits,
    /// Discovery.
    pub discovery: Discovery,
    /// Where clients connect.
    pub listeners: Vec<Listener>,
    /// Seconds east of UTC.
    pub offset: i32,
    /// Windows of time by their names.
    pub named_windows: Vec<NamedWindow>,
    /// In the order of `named_windows`.
    pub windows: Vec<Window>,
    /// Bounds on parts of the requests.
    pub pools: Vec<Pool>,
    /// Bounds on classes.
    pub classes: Vec<Class>,
    /// Routes, in the order in which they are asked.
    pub routes: Vec<Route>,
    /// Settings of the decision module.
    pub policy: Policy,
    /// The log.
    pub logging: Logging,
    /// Where checks are answered.
    pub health: Vec<Health>,
    /// Who checks.
    pub balancers: Vec<Balancer>,
    /// When the proxy counts as degraded.
    pub availability: Availability,
    /// Balancers are told of the process's end first.
    pub announce_end: bool,
    /// Time in which a proxy that was told to stop still accepts connections.
    pub accept_after_stop: Option<Duration>,
    /// The operators' socket.
    pub control_socket: Option<PathBuf>,
    /// The other proxies; none: nobody listens for them.
    pub members: Option<Members>,
    /// Staged rollouts of the operators' file.
    pub rollout: Option<Rollout>,
    /// State that outlives the process.
    pub persistence: Option<Persistence>,
    /// Who may borrow; none: nothing is lent.
    pub quota_lending: Option<Lending>,
    /// What is told of sites; none: nothing is.
    pub sites: Option<Sites>,
}

impl Default for Model {
    /// What counts where there is no operators' file.
    fn default() -> Model {
        build(&[], false, &mut Vec::new())
    }
}

pub(crate) fn name_of(value: &Value) -> Option<String> {
    match value {
        Value::Name(name) => Some(name.clone()),
        _ => None,
    }
}

fn groups_of(value: &Value) -> Option<RangeInclusive<u32>> {
    match value {
        Value::Groups(range) => Some(range.clone()),
        _ => None,
    }
}

/// `partial`: some of the files could not be read, so that a name which is missing may stand there.
pub fn build(sections: &[Section], partial: bool, faults: &mut Vec<Diagnostic>) -> Model {
    let once = |keyword: &'static str| Values {
        section: sections.iter().find(|s| s.spec.keyword == keyword),
        spec: schema::section(keyword).unwrap_or(&schema::SECTIONS[0]),
    };
    let all = |keyword: &'static str| sections.iter().filter(move |s| s.spec.keyword == keyword);
    let of = |section| Values {
        section: Some(section),
        spec: section.spec,
    };

    let v = once("limits");
    let time = |keyword| v.time(keyword).unwrap_or_default();
    let limits = Limits {
        client_patience: time("client-patience"),
        client_idle: time("client-idle"),
        answer_unread: time("answer-unread"),
        goodbye: time("goodbye"),
        answer_margin: time("answer-margin"),
        pipeline: v.bounded_count("pipeline").unwrap_or(1),
        unsent: v.bounded_count("unsent").unwrap_or(4_096),
        clients: v.share("clients"),
        crowded: v.share("crowded"),
        packed: v.share("packed"),
        unfinished: v.share("unfinished"),
        sockets: v.bounded_count("sockets"),
        memory: v.count("memory"),
    };
    if let Some(section) = v.section.filter(|_| limits.crowded > limits.packed) {
        let (crowded, packed) = (section.setting("crowded"), section.setting("packed"));
        if let Some(at) = crowded.or(packed) {
            let message = format!(
                "crowded ({}) is above packed ({})",
                limits.crowded, limits.packed
            );
            let mut fault = Diagnostic::error("cross-check", at.span, message)
                .label("this must not be above packed");
            if let (Some(_), Some(packed)) = (crowded, packed) {
                fault = fault.related(packed.span, "packed");
            } else {
                fault = fault.help("the other of the two has its default");
            }
            faults.push(fault);
        }
    }
    let v = once("discovery");
    let discovery = Discovery {
        address: v.address("address"),
        max_watch_silence: v.time("watch-silence").unwrap_or_default(),
    };
    let network = |value: &Value| match value {
        Value::Network(network) => Some(*network),
        _ => None,
    };
    let listeners: Vec<Listener> = all("listener")
        .map(|s| Listener {
            name: s.name.clone(),
            address: of(s).address("address"),
            proxy_protocol_networks: of(s).collect("proxy-from", network),
        })
        .collect();
    for section in all("listener").skip(1) {
        let fault = Diagnostic::error(
            "many-listeners",
            section.span,
            "one listener is served so far",
        );
        faults.push(fault.label("one too many"));
    }
    for section in all("listener").filter(|s| !s.partial && s.setting("address").is_none()) {
        let fault = Diagnostic::error("missing", section.span, "the listener has no address");
        faults.push(fault.label("address is missing here"));
    }
    let offset = match once("calendar").value("offset") {
        Some(Value::Offset(seconds)) => seconds,
        _ => 0,
    };
    let (named_windows, windows) = windows(sections, offset, faults);
    let pools: Vec<Pool> = all("pool")
        .map(|s| {
            let v = of(s);
            Pool {
                name: s.name.clone(),
                requests: v.bounded_count("requests"),
                rate: match v.value("rate") {
                    Some(Value::Rate(rate)) => Some(rate),
                    _ => None,
                },
                burst: v.bounded_count("burst").unwrap_or(1),
                reserve: v.share("reserve"),
                retry_after: v.time("come-back"),
                groups: v.collect("groups", groups_of),
            }
        })
        .collect();
    for section in all("pool").filter(|s| !s.partial) {
        check_pool(section, faults);
    }
    let classes: Vec<Class> = all("class")
        .map(|s| {
            let v = of(s);
            Class {
                name: s.name.clone(),
                span: s.span,
                deadline: v.time("deadline"),
                attempt_limit: v.bounded_count("tries"),
                runs_once: v.choice("runs") == "once",
            }
        })
        .collect();
    let routes = routes(sections, &named_windows, &pools, &classes, partial, faults);
    let v = once("policy");
    let policy = Policy {
        attempt_limit: v.bounded_count("tries"),
        hedging: v.choice("second-copies") == "yes",
        probes: v.choice("probes") == "yes",
        max_retry_after: v.time("come-back-most"),
    };
    let health = health(sections, faults);
    let balancers = all("balancer").map(|s| {
        let v = of(s);
        Balancer {
            name: s.name.clone(),
            interval: v.time("interval").unwrap_or_default(),
            fall: v.bounded_count("fall").unwrap_or(1),
            timeout: v.time("timeout").unwrap_or_default(),
            networks: v.collect("network", network),
        }
    });
    let balancers: Vec<Balancer> = balancers.collect();
    let v = once("availability");
    let availability = Availability {
        floor: v.share("floor"),
        dwell: v.time("dwell").unwrap_or_default(),
        cut_floor: v.share("cut-floor"),
        list_late: v.time("list-late").unwrap_or_default(),
        election: v.time("election").unwrap_or_default(),
        silence: v.time("silence").unwrap_or_default(),
        lag: v.time("lag").unwrap_or_default(),
    };
    let v = once("drain");
    let (announce_end, accept_after_stop) = (v.choice("announce-end") == "yes", v.time("linger"));
    if let Some(at) = v
        .section
        .and_then(|s| s.setting("announce-end"))
        .filter(|_| announce_end && balancers.is_empty())
    {
        let message = "the end is announced, but no balancer is named that would hear of it";
        faults.push(
            Diagnostic::error("cross-check", at.span, message)
                .label("waits for nobody")
                .help("state a balancer"),
        );
    }
    let control_socket = once("control").path("socket");
    let members = crate::members::members(sections, partial, faults);
    let rollout = crate::rollout::rollout(sections, partial, faults);
    let persistence = crate::persistence::persistence(sections, faults);
    let quota_lending = crate::lending::lending(sections, &named_windows, partial, faults);
    let sites = crate::sites::sites(sections);
    let v = once("logging");
    let logging = Logging {
        level: v.choice("level"),
        json: v.choice("form") == "json",
    };
    Model {
        limits,
        discovery,
        listeners,
        offset,
        named_windows,
        windows,
        pools,
        classes,
        routes,
        policy,
        logging,
        health,
        balancers,
        availability,
        announce_end,
        accept_after_stop,
        control_socket,
        members,
        rollout,
        persistence,
        quota_lending,
        sites,
    }
}

/// All values of sections that stand once, defaults among them, and those stated elsewhere. They take several times
/// the memory of the model, so they are made for those who ask.
pub fn entries(sections: &[Section]) -> Vec<Entry> {
    let mut entries = Vec::new();
    let mut add = |spec: &'static schema::Section, section: Option<&Section>| {
        let title = match section {
            Some(s) if !s.name.is_empty() => format!("{} {}", spec.keyword, s.name),
            _ => spec.keyword.to_owned(),
        };
        for directive in spec.directives {
            let stated = section.and_then(|s| s.setting(directive.keyword));
            let (value, origin) = match stated {
                Some(setting) => {
                    let words: Vec<String> =
                        setting.values.iter().map(|(v, _)| v.to_string()).collect();
                    (words.join(" "), Origin::File(setting.span))
                }
                None if directive.default.is_empty() => continue,
                None => (directive.default.to_owned(), Origin::Default),
            };
            let (section, directive, takes) =
                (title.clone(), directive.keyword, directive.takes_effect);
            entries.push(Entry {
                section,
                directive,
                value,
                origin,
                takes_effect: takes,
            });
        }
    };
    for spec in schema::SECTIONS {
        match spec.naming {
            schema::Naming::Unnamed => add(
                spec,
                sections.iter().find(|s| s.spec.keyword == spec.keyword),
            ),
            schema::Naming::Named | schema::Naming::ExternalName => {
                sections
                    .iter()
                    .filter(|s| s.spec.keyword == spec.keyword)
                    .for_each(|s| add(spec, Some(s)));
            }
        }
    }
    entries
}

fn health(sections: &[Section], faults: &mut Vec<Diagnostic>) -> Vec<Health> {
    let mut all: Vec<Health> = Vec::new();
    for section in sections.iter().filter(|s| s.spec.keyword == "health") {
        let v = Values {
            section: Some(section),
            spec: section.spec,
        };
        let Some(address) = v.address("address") else {
            if !section.partial {
                let fault = Diagnostic::error(
                    "missing",
                    section.span,
                    "the health listener has no address",
                );
                faults.push(fault.label("address is missing here"));
            }
            continue;
        };
        let protocol = v.choice("protocol");
        let others: &[&str] = match protocol {
            "agent" => &["statuses", "idle"],
            "grpc" => &["statuses", "idle", "expects-text", "maxconn"],
            _ => &["expects-text", "maxconn"],
        };
        if let Some(setting) = others.iter().find_map(|keyword| section.setting(keyword)) {
            let message = format!(
                "{} says nothing to the protocol {protocol}",
                setting.spec.keyword
            );
            faults.push(
                Diagnostic::error("cross-check", setting.span, message).label("has no effect"),
            );
        }
        // A port of 0 is whichever is free.
        if let Some(other) = all
            .iter()
            .find(|h| h.address == address && address.port() != 0)
        {
            let message = format!(
                "the address {address} is that of the health listener {}",
                other.name
            );
            faults.push(
                Diagnostic::error("cross-check", section.span, message).label("a second one there"),
            );
        }
        all.push(Health {
            name: section.name.clone(),
            protocol,
            address,
            statuses: v.choice("statuses"),
            expects_text: v.choice("expects-text") == "yes",
            maxconn: v.choice("maxconn") == "yes",
            connections: v.bounded_count("connections").unwrap_or(1),
            check_timeout: v.time("patience").unwrap_or_default(),
            idle_timeout: v.time("idle").unwrap_or_default(),
        });
    }
    all
}

fn windows(
    sections: &[Section],
    offset: i32,
    faults: &mut Vec<Diagnostic>,
) -> (Vec<NamedWindow>, Vec<Window>) {
    let stated: Vec<&Section> = sections
        .iter()
        .filter(|s| s.spec.keyword == "window")
        .collect();
    if stated.is_empty() {
        return Default::default();
    }
    if let Some(first) = stated.get(schema::WINDOWS_LIMIT) {
        let message = format!("there are more than {} windows", schema::WINDOWS_LIMIT);
        faults.push(Diagnostic::error("many-windows", first.span, message).label("one too many"));
        return Default::default();
    }
    let almanac = Almanac::shared();
    let mut named = Vec::new();
    let mut windows = Vec::new();
    for section in stated {
        let v = Values {
            section: Some(section),
            spec: section.spec,
        };
        let dates = v.collect("dates", |value| match value {
            Value::Dates(dates) => Some(*dates),
            _ => None,
        });
        let days = v.collect("weekdays", |value| match value {
            Value::Weekdays(bits) => Some(*bits),
            _ => None,
        });
        let hours: Vec<Hours> = v.collect("hours", |value| match value {
            Value::Hours(hours) => Some(*hours),
            _ => None,
        });
        let stated = WindowConditions {
            dates,
            weekdays: days.iter().fold(0, |all, d| all | d),
            hours,
        };
        let window = almanac.window(&stated, offset);
        if !section.partial {
            if stated == WindowConditions::default() {
                let fault = Diagnostic::error("missing", section.span, "the window states nothing");
                faults.push(fault.label("dates, weekdays or hours are missing here"));
            } else if window.never_occurs() {
                let mut fault =
                    Diagnostic::warning("never-occurs", section.span, "the window never occurs")
                        .label("no day fits all that it states");
                if stated.dates.iter().any(|d| matches!(d, Dates::Once(..))) && stated.weekdays != 0
                {
                    fault = fault.help("its dates do not fall on its weekdays");
                }
                faults.push(fault);
            }
        }
        named.push(NamedWindow {
            name: section.name.clone(),
            stated,
        });
        windows.push(window);
    }
    let used: std::collections::HashSet<&str> = used(sections, "route", "during")
        .chain(used(sections, "credit", "not-during"))
        .collect();
    for section in sections
        .iter()
        .filter(|s| s.spec.keyword == "window" && !used.contains(s.name.as_str()))
    {
        let message = format!("no route and no credit goes by the window {}", section.name);
        faults
            .push(Diagnostic::warning("unused-window", section.span, message).label("never used"));
    }
    (named, windows)
}

/// The names that sections of a kind refer to by a directive.
fn used<'a>(
    sections: &'a [Section],
    kind: &'a str,
    keyword: &'a str,
) -> impl Iterator<Item = &'a str> {
    let those = sections.iter().filter(move |s| s.spec.keyword == kind);
    those
        .flat_map(move |s| s.values(keyword))
        .filter_map(|(value, _)| match value {
            Value::Name(name) => Some(name.as_str()),
            _ => None,
        })
}

fn check_pool(section: &Section, faults: &mut Vec<Diagnostic>) {
    if section.setting("requests").is_none() && section.setting("rate").is_none() {
        let fault = Diagnostic::error("missing", section.span, "the pool bounds nothing");
        faults.push(fault.label("requests or rate is missing here"));
    }
    if let (Some(burst), None) = (section.setting("burst"), section.setting("rate")) {
        let fault = Diagnostic::error(
            "cross-check",
            burst.span,
            "a burst is stated without a rate",
        );
        faults.push(
            fault
                .label("bounds nothing")
                .help("requests bounds those that are open at once"),
        );
    }
}

fn routes(
    sections: &[Section],
    windows: &[NamedWindow],
    pools: &[Pool],
    classes: &[Class],
    partial: bool,
    faults: &mut Vec<Diagnostic>,
) -> Vec<Route> {
    let window_at: HashMap<&str, usize> = windows
        .iter()
        .enumerate()
        .map(|(at, w)| (w.name.as_str(), at))
        .collect();
    let pool_at: HashMap<&str, &Pool> = pools.iter().map(|p| (p.name.as_str(), p)).collect();
    let once: Vec<&str> = classes
        .iter()
        .filter(|c| c.runs_once)
        .map(|c| c.name.as_str())
        .collect();
    let mut unknown = |what: &str, name: &str, span: Span, known: Vec<&str>| {
        if partial {
            return;
        }
        faults.push(unknown_name(what, name, span, &known));
    };
    let mut routes = Vec::new();
    let mut checks = Vec::new();
    for section in sections.iter().filter(|s| s.spec.keyword == "route") {
        let v = Values {
            section: Some(section),
            spec: section.spec,
        };
        let mut during = Vec::new();
        let mut sound = !section.partial;
        for (value, span) in section.values("during") {
            let Value::Name(name) = value else { continue };
            match window_at.get(name.as_str()) {
                Some(at) => during.push(*at),
                None => {
                    sound = false;
                    unknown("window", name, *span, window_at.keys().copied().collect());
                }
            }
        }
        let mut pool = None;
        if let Some((Value::Name(name), span)) = section.values("pool").first() {
            match pool_at.get(name.as_str()) {
                Some(found) => pool = Some(*found),
                None => unknown("pool", name, *span, pool_at.keys().copied().collect()),
            }
        }
        let conditions = Conditions {
            classes: v.collect("class", name_of),
            tenants: v.collect("tenant", name_of),
            groups: v.collect("group", groups_of),
            statements: v.collect("statement", |value| match value {
                Value::Text(text) => Some(fold_case(text)),
                _ => None,
            }),
            networks: v.collect("network", |value| match value {
                Value::Network(network) => Some(*network),
                _ => None,
            }),
            during,
        };
        let outcome = Outcome {
            pool: pool.map(|p| p.name.clone()),
            as_class: v.value("as-class").as_ref().and_then(name_of),
            deadline: v.time("deadline"),
            priority: match v.choice("priority") {
                "low" => Priority::Low,
                "high" => Priority::High,
                _ => Priority::Normal,
            },
            attempt_limit: v.bounded_count("tries"),
            reject: section.setting("refuse").map(|_| v.time("refuse")),
        };
        let route = Route {
            name: section.name.clone(),
            span: section.span,
            conditions,
            outcome,
        };
        check_route(section, &route, pool, &once, &mut checks);
        // One of which a condition can't be read would catch what it is not meant for.
        if sound {
            routes.push(route);
        }
    }
    faults.extend(checks);
    let used: std::collections::HashSet<&str> = used(sections, "route", "pool").collect();
    for section in sections
        .iter()
        .filter(|s| s.spec.keyword == "pool" && !used.contains(s.name.as_str()))
    {
        let message = format!("no route leads to the pool {}", section.name);
        faults.push(Diagnostic::warning("unused-pool", section.span, message).label("never used"));
    }
    routes
}

/// What a route's own values say against one another.
fn check_route(
    section: &Section,
    route: &Route,
    pool: Option<&Pool>,
    once: &[&str],
    faults: &mut Vec<Diagnostic>,
) {
    if let Some(refuse) = section.setting("refuse") {
        let others = ["pool", "as-class", "deadline", "priority", "tries"];
        if let Some(other) = others.iter().find_map(|keyword| section.setting(keyword)) {
            let message = format!("a refused request has no use for {}", other.spec.keyword);
            let fault = Diagnostic::error("cross-check", other.span, message);
            faults.push(
                fault
                    .label("has no effect")
                    .related(refuse.span, "refused here"),
            );
        }
    }
    if let (Some(priority), None) = (section.setting("priority"), section.setting("pool")) {
        let fault = Diagnostic::error(
            "cross-check",
            priority.span,
            "a priority is stated without a pool",
        );
        faults.push(fault.label("is the priority within a pool"));
    }
    if let Some(pool) = pool.filter(|p| !p.groups.is_empty()) {
        let set = |ranges: &[RangeInclusive<u32>]| {
            crate::ranges::Ranges::from_list(
                ranges
                    .iter()
                    .map(|r| (u128::from(*r.start()), u128::from(*r.end()))),
            )
        };
        let whole = [0..=u32::MAX];
        let own = if route.conditions.groups.is_empty() {
            &whole
        } else {
            route.conditions.groups.as_slice()
        };
        if let (Some(outside), Some(setting)) = (
            set(own).minus(&set(&pool.groups)).first(),
            section.setting("pool"),
        ) {
            let message = format!(
                "the pool {} does not serve all groups of the route",
                pool.name
            );
            let fault = Diagnostic::error("cross-check", setting.span, message);
            faults.push(
                fault
                    .label(format!("not group {outside}, for one"))
                    .help("state the groups of the route"),
            );
        }
    }
    let classes = &route.conditions.classes;
    if let (Some(target), Some(setting)) = (&route.outcome.as_class, section.setting("as-class")) {
        let kept = classes
            .iter()
            .find(|c| once.contains(&c.as_str()) && !once.contains(&target.as_str()));
        if let Some(class) = kept {
            let message = format!(
                "requests of class {class} run once and can't be treated as class {target}"
            );
            let fault = Diagnostic::error("loosens", setting.span, message);
            faults.push(
                fault
                    .label("would allow a repeat")
                    .help(format!("class {target} must say: runs once")),
            );
        } else if classes.as_slice() == std::slice::from_ref(target) {
            let message = format!("the requests are of class {target} already");
            faults.push(
                Diagnostic::warning("no-effect", setting.span, message).label("changes nothing"),
            );
        }
    }
}
