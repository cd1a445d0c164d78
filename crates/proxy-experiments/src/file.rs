//! Files of experiments, in the project's configuration language, made into scenarios, policies and experiments.

use crate::policy::{Name, Policy, NAMES};
use crate::scenario::{Scenario, Talk, Target, Trouble, Weights, What, SECOND};
use crate::table::TABLE;
use configuration::check::Section;
use configuration::diagnostic::{self, nearest, Diagnostic};
use configuration::load::Loader;
use configuration::schema::Args;
use configuration::source::Span;
use configuration::value::Value;
use configuration::values::Values;
use routing::Tuning;
use server_model::account::Credit;
use server_model::clients::{self, Consistency, Idempotency, RequestClass, Tenant, SURGE_MOST};
use server_model::law::{Law, Work};
use server_model::platform::Platform;
use server_model::{catalog, group, network, server, site, Micros};
use std::path::Path;
use std::time::Duration;

/// Who decides, by a name.
#[derive(Clone, Debug, PartialEq)]
pub struct Player {
    /// The name that experiments use.
    pub name: String,
    /// The policy under test.
    pub policy: Policy,
}

/// A value that is varied.
#[derive(Clone, Debug, PartialEq)]
pub struct Grid {
    /// Its name.
    pub name: String,
    /// Section and directive; `tuning` and the name of a constant.
    pub key: (String, String),
    /// The values, as they would be written.
    pub values: Vec<String>,
}

/// A set of runs that are compared.
#[derive(Clone, Debug, PartialEq)]
pub struct Experiment {
    /// Its name.
    pub name: String,
    /// Names of scenarios.
    pub scenarios: Vec<String>,
    /// The policies.
    pub players: Vec<Player>,
    /// Values that are varied, each with each.
    pub grids: Vec<Grid>,
    /// The seeds of the runs.
    pub seeds: Vec<u64>,
    /// The policy that the others are compared with.
    pub against: String,
}

/// A file of experiments, sound in itself.
pub struct Book {
    sections: Vec<Section>,
    /// The scenarios.
    pub scenarios: Vec<Scenario>,
    /// The policies.
    pub players: Vec<Player>,
    /// The experiments.
    pub experiments: Vec<Experiment>,
}

/// One value that is another than the file says.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The section's keyword, or `tuning`.
    pub section: String,
    /// The directive, or the name of a constant.
    pub directive: String,
    /// The value, as it would be written.
    pub value: String,
}

/// Seeds that one experiment may have.
const SEEDS_LIMIT: usize = 100_000;

/// Reads a file and all that it includes; what is wrong with it, as snippets.
pub fn read(path: &Path, loader: &dyn Loader) -> Result<Book, String> {
    let mut plain = configuration::read_plain(path, loader, TABLE);
    let mut faults = Vec::new();
    let book = Book::new(std::mem::take(&mut plain.sections), &mut faults);
    plain.diagnostics.extend(faults);
    diagnostic::sort(&mut plain.diagnostics);
    if plain.sound() {
        Ok(book)
    } else {
        Err(diagnostic::render(&plain.sources, &plain.diagnostics))
    }
}

/// The suite that the program brings along.
pub const SUITE: &str = include_str!("../../../lab/suite.conf");

/// The suite that the program brings along.
pub fn suite() -> Result<Book, String> {
    read(
        Path::new("suite.conf"),
        &configuration::load::Memory::from([("suite.conf", SUITE)]),
    )
}

impl Book {
    fn new(sections: Vec<Section>, faults: &mut Vec<Diagnostic>) -> Book {
        let mut book = Book {
            sections,
            scenarios: Vec::new(),
            players: Vec::new(),
            experiments: Vec::new(),
        };
        let names = |keyword: &str| -> Vec<String> {
            book.sections
                .iter()
                .filter(|s| s.spec.keyword == keyword)
                .map(|s| s.name.clone())
                .collect()
        };
        let scenarios = names("scenario");
        let scenarios = scenarios
            .iter()
            .filter_map(|name| book.scenario(name, &[], faults).ok());
        let scenarios: Vec<Scenario> = scenarios.collect();
        let players: Vec<Player> = book.all("policy").map(|s| book.player(s, faults)).collect();
        book.scenarios = scenarios;
        book.players = players;
        let experiments: Vec<Experiment> = book
            .all("experiment")
            .filter_map(|s| book.experiment(s, faults))
            .collect();
        book.experiments = experiments;
        book
    }

    fn all<'a>(&'a self, keyword: &'a str) -> impl Iterator<Item = &'a Section> + 'a {
        self.sections
            .iter()
            .filter(move |s| s.spec.keyword == keyword)
    }

    fn find(&self, keyword: &str, name: &str) -> Option<&Section> {
        self.sections
            .iter()
            .find(|s| s.spec.keyword == keyword && s.name == name)
    }

    /// A policy by its section's name, or a kind of policy as it is.
    pub fn policy(&self, name: &str) -> Option<Player> {
        let own = self.players.iter().find(|p| p.name == name).cloned();
        own.or_else(|| {
            let (_, kind) = NAMES.iter().find(|(n, _)| *n == name)?;
            Some(Player {
                name: name.into(),
                policy: Policy::of(*kind),
            })
        })
    }

    /// A scenario with some of its values changed. The faults go to the list, and the scenario is as good as it can be.
    fn scenario(
        &self,
        name: &str,
        changes: &[Change],
        faults: &mut Vec<Diagnostic>,
    ) -> Result<Scenario, String> {
        let section = self
            .find("scenario", name)
            .ok_or_else(|| format!("there is no scenario {name}"))?;
        Maker {
            book: self,
            changes,
            faults,
        }
        .scenario(section)
    }

    /// A scenario with some of its values changed, as by a grid.
    pub fn varied(&self, name: &str, changes: &[Change]) -> Result<Scenario, String> {
        let mut faults = Vec::new();
        for change in changes.iter().filter(|c| c.section != "tuning") {
            check(change)?;
        }
        let scenario = self.scenario(name, changes, &mut faults)?;
        match faults.first() {
            Some(fault) => Err(fault.message.clone()),
            None => Ok(scenario),
        }
    }

    fn player(&self, section: &Section, faults: &mut Vec<Diagnostic>) -> Player {
        let v = Values::of(section);
        let kind = NAMES
            .iter()
            .find(|(n, _)| *n == v.choice("kind"))
            .map_or(Name::Module, |(_, kind)| *kind);
        let mut policy = Policy::of(kind);
        if let Some(tuning) = v.name("tuning").and_then(|name| self.find("tuning", &name)) {
            for (value, span) in tuning.values("set") {
                let Value::Text(word) = value else { continue };
                if let Err(message) = set(&mut policy.tuning, word) {
                    faults
                        .push(Diagnostic::error("bad-value", *span, message).label("can't be set"));
                }
            }
            if kind != Name::Module {
                let fault = Diagnostic::error(
                    "cross-check",
                    section.span,
                    "only the module has constants to tune",
                );
                faults.push(fault.label("a tuning says nothing to this kind"));
            }
        }
        Player {
            name: section.name.clone(),
            policy,
        }
    }

    fn experiment(&self, section: &Section, faults: &mut Vec<Diagnostic>) -> Option<Experiment> {
        let v = Values::of(section);
        let texts = |keyword: &str| v.all(keyword, name_of);
        let mut fault = |span: Span, message: String, label: &str| {
            if !section.partial {
                faults.push(Diagnostic::error("cross-check", span, message).label(label));
            }
        };
        if section.setting("scenarios").is_none() {
            fault(
                section.span,
                "the experiment names no scenario".into(),
                "scenarios is missing here",
            );
        }
        let mut players = Vec::new();
        let named = texts("policies");
        let named = if named.is_empty() {
            vec!["module".to_owned()]
        } else {
            named
        };
        for (at, name) in named.iter().enumerate() {
            match self.policy(name) {
                Some(player) => players.push(player),
                None => {
                    let span = section
                        .values("policies")
                        .get(at)
                        .map_or(section.span, |(_, span)| *span);
                    let known = self.players.iter().map(|p| p.name.as_str());
                    let near = nearest(name, known.chain(NAMES.iter().map(|(n, _)| *n)));
                    let hint = near.map_or(String::new(), |n| format!("; did you mean {n}?"));
                    fault(
                        span,
                        format!("there is no policy {name}{hint}"),
                        "not known",
                    );
                }
            }
        }
        let mut grids = Vec::new();
        for name in texts("grids") {
            let Some(grid) = self.find("grid", &name) else {
                continue;
            };
            let g = Values::of(grid);
            let key = g.value("key").and_then(|v| text_of(&v)).unwrap_or_default();
            let Some((part, directive)) = key.split_once('.') else {
                fault(
                    grid.span,
                    format!("{key:?} is no key like load.rate"),
                    "not a key",
                );
                continue;
            };
            let values = g.all("values", text_of);
            let key = (part.to_owned(), directive.to_owned());
            for value in &values {
                let change = Change {
                    section: part.to_owned(),
                    directive: directive.to_owned(),
                    value: value.clone(),
                };
                if let Err(message) = check(&change) {
                    fault(grid.span, message, "in this grid");
                }
            }
            grids.push(Grid { name, key, values });
        }
        let mut seeds = Vec::new();
        for range in v.all("seeds", groups_of) {
            seeds.extend(
                range
                    .take(SEEDS_LIMIT + 1 - seeds.len().min(SEEDS_LIMIT))
                    .map(u64::from),
            );
        }
        if seeds.is_empty() {
            seeds = (1..=4).collect();
        }
        if seeds.len() > SEEDS_LIMIT {
            fault(
                section.span,
                format!("there are more than {SEEDS_LIMIT} seeds"),
                "too many",
            );
        }
        let against = v.all("against", name_of).pop();
        let against = against
            .or_else(|| players.first().map(|p| p.name.clone()))
            .unwrap_or_default();
        if players.len() == named.len() && !players.iter().any(|p| p.name == against) {
            fault(
                section.span,
                format!("{against} is compared with, but does not play"),
                "not among its policies",
            );
        }
        let (name, scenarios) = (section.name.clone(), texts("scenarios"));
        Some(Experiment {
            name,
            scenarios,
            players,
            grids,
            seeds,
            against,
        })
    }
}

/// `name=value` for one of the module's constants.
pub fn set(tuning: &mut Tuning, word: &str) -> Result<(), String> {
    let (name, value) = word
        .split_once('=')
        .ok_or_else(|| format!("{word:?} is not like room_late=0.6"))?;
    let value: f64 = value
        .parse()
        .map_err(|_| format!("{value:?} is no number"))?;
    let known = || match nearest(name, Tuning::NAMES.iter().copied()) {
        Some(near) => format!("did you mean {near}?"),
        None => format!("the constants are {}", Tuning::NAMES.join(", ")),
    };
    if !value.is_finite() || value < 0.0 {
        return Err(format!("{name} can't be {value}"));
    }
    if tuning.set(name, value) {
        Ok(())
    } else {
        Err(format!("the module has no constant {name}: {}", known()))
    }
}

/// Whether a value may stand where the key says.
fn check(change: &Change) -> Result<(), String> {
    let Change {
        section,
        directive,
        value,
    } = change;
    if section == "tuning" {
        return set(&mut Tuning::default(), &format!("{directive}={value}"));
    }
    let spec = TABLE.iter().find(|s| s.keyword == section);
    let spec = spec.ok_or_else(|| format!("there is no section {section}"))?;
    let spec = spec
        .directive(directive)
        .ok_or_else(|| format!("{section} has no directive {directive}"))?;
    let (Args::One(kind) | Args::Optional(kind) | Args::Many(kind)) = spec.args;
    kind.parse(value).map(|_| ()).map_err(|fault| fault.message)
}

fn text_of(value: &Value) -> Option<String> {
    match value {
        Value::Text(text) => Some(text.clone()),
        _ => None,
    }
}

fn name_of(value: &Value) -> Option<String> {
    match value {
        Value::Name(name) => Some(name.clone()),
        _ => None,
    }
}

fn groups_of(value: &Value) -> Option<std::ops::RangeInclusive<u32>> {
    match value {
        Value::Groups(range) => Some(range.clone()),
        _ => None,
    }
}

/// Makes one scenario of the sections that it refers to.
struct Maker<'a, 'b> {
    book: &'a Book,
    changes: &'b [Change],
    faults: &'b mut Vec<Diagnostic>,
}

/// Values of a section as they count: changes first, then the file, then the table.
struct Seen<'a> {
    values: Values<'a>,
    changes: Vec<(&'static str, Value)>,
}

impl Seen<'_> {
    fn value(&self, keyword: &'static str) -> Option<Value> {
        let changed = self
            .changes
            .iter()
            .find(|(k, _)| *k == keyword)
            .map(|(_, value)| value.clone());
        changed.or_else(|| self.values.value(keyword))
    }

    fn micros(&self, keyword: &'static str) -> Micros {
        match self.value(keyword) {
            Some(Value::Time(span)) => micros(span),
            _ => 0,
        }
    }

    fn count<N: TryFrom<u64> + Default>(&self, keyword: &'static str) -> N {
        match self.value(keyword) {
            Some(Value::Count(n)) => N::try_from(n).unwrap_or_default(),
            _ => N::default(),
        }
    }

    fn number(&self, keyword: &'static str) -> f64 {
        match self.value(keyword) {
            Some(Value::Number(n)) => n,
            _ => 0.0,
        }
    }

    fn part(&self, keyword: &'static str) -> f64 {
        match self.value(keyword) {
            Some(Value::Share(share)) => f64::from(share.part) / f64::from(share.whole.max(1)),
            _ => 0.0,
        }
    }

    fn choice(&self, keyword: &'static str) -> &'static str {
        match self.value(keyword) {
            Some(Value::Choice(word)) => word,
            _ => "",
        }
    }

    fn yes(&self, keyword: &'static str) -> bool {
        self.choice(keyword) == "yes"
    }
}

fn micros(span: Duration) -> Micros {
    Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX)
}

impl<'a> Maker<'a, '_> {
    fn seen(&self, keyword: &'static str, section: Option<&'a Section>) -> Seen<'a> {
        let spec = TABLE
            .iter()
            .find(|s| s.keyword == keyword)
            .unwrap_or(&TABLE[0]);
        let own = self.changes.iter().filter(|c| c.section == keyword);
        let changes = own.filter_map(|change| {
            let spec = spec.directive(&change.directive)?;
            let (Args::One(kind) | Args::Optional(kind) | Args::Many(kind)) = spec.args;
            Some((spec.keyword, kind.parse(&change.value).ok()?))
        });
        Seen {
            changes: changes.collect(),
            values: Values { section, spec },
        }
    }

    /// The section that a scenario refers to.
    fn part(&self, scenario: &Seen<'a>, keyword: &'static str) -> Seen<'a> {
        let name = match scenario.value(keyword) {
            Some(Value::Name(name)) => self.book.find(keyword, &name),
            _ => None,
        };
        self.seen(keyword, name)
    }

    fn fault(&mut self, span: Span, message: impl Into<String>, label: &str) {
        self.faults
            .push(Diagnostic::error("bad-value", span, message).label(label));
    }

    fn scenario(&mut self, section: &'a Section) -> Result<Scenario, String> {
        let s = self.seen("scenario", Some(section));
        let length = s.micros("length");
        let fleet = self.part(&s, "fleet");
        let n = self.part(&s, "network");
        let d = self.part(&s, "discovery");
        let load = self.part(&s, "load");
        let clients = self.clients(&load, length, fleet.count("groups"), section);
        let sizes = fleet.values.section.and_then(|f| f.setting("sizes"));
        if let Some(sizes) = sizes.filter(|s| s.values.len() != fleet.count::<usize>("groups")) {
            let (stated, groups) = (sizes.values.len(), fleet.count::<usize>("groups"));
            self.fault(
                sizes.span,
                format!("{stated} sizes are stated for {groups} groups"),
                "one for each group",
            );
        }
        let troubles: Vec<&Section> = s
            .values
            .all("troubles", name_of)
            .iter()
            .filter_map(|name| self.book.find("trouble", name))
            .collect();
        let troubles = troubles
            .into_iter()
            .filter_map(|t| self.trouble(t, &clients))
            .collect();
        Ok(Scenario {
            name: section.name.clone(),
            about: s
                .value("about")
                .as_ref()
                .and_then(text_of)
                .unwrap_or_default(),
            site: site_of(&fleet),
            network: network::Settings {
                within: n.micros("within"),
                between: n.micros("between"),
                jitter: n.part("jitter"),
                loss: n.part("loss"),
                resend: n.micros("resend"),
            },
            catalog: catalog::Settings {
                late: d.micros("late"),
                call: d.micros("call"),
                patience: d.micros("patience"),
            },
            clients,
            platform: Platform {
                tries: s.count("tries"),
                probes: s.yes("probes"),
                second_copies: s.yes("second-copies"),
                max_retry_after: s.micros("come-back-most"),
                drain_grace: s.micros("drain-grace"),
                keepalive: s.micros("keepalive"),
                dial_wait: s.micros("dial-wait"),
                checks: fleet.yes("checks"),
            },
            talk: s.yes("talk").then(|| Talk {
                every: s.micros("talk-every"),
                late: s.micros("talk-late"),
                loss: s.part("talk-loss"),
                dead: s.micros("talk-dead"),
                lease: s.micros("lease"),
                short_least: s.count("short-least"),
                short_part: s.part("short-part"),
            }),
            weights: Weights::default(),
            troubles,
        })
    }

    fn clients(
        &mut self,
        load: &Seen<'a>,
        length: Micros,
        groups: u32,
        scenario: &Section,
    ) -> clients::Settings {
        let named = |keyword| load.values.all(keyword, name_of);
        let (classes, tenants) = (named("classes"), named("tenants"));
        let kinds: Vec<RequestClass> = classes
            .iter()
            .filter_map(|name| self.book.find("class", name))
            .map(|c| self.kind(c))
            .collect();
        // A load that is named and not there is reported as that.
        let named = load.values.section.is_some() || scenario.setting("load").is_none();
        if kinds.is_empty() && classes.is_empty() && named && !scenario.partial {
            let what = match load.values.section {
                Some(section) => (section.span, "classes is missing here"),
                None => (scenario.span, "a load with classes is missing here"),
            };
            self.fault(what.0, "nobody asks for anything", what.1);
        }
        let tenants: Vec<Tenant> = tenants
            .iter()
            .filter_map(|name| self.book.find("tenant", name))
            .map(|section| {
                let t = self.seen("tenant", Some(section));
                let (share, quota) = (t.number("share"), t.number("quota"));
                Tenant {
                    name: section.name.clone(),
                    share,
                    quota,
                    credit: credit(&t, &kinds),
                }
            })
            .collect();
        let mut profile = Vec::new();
        let words = load.values.section.map_or(&[][..], |s| s.values("profile"));
        for (value, span) in words {
            let Value::Text(word) = value else { continue };
            match points(word, length) {
                Ok(found) => profile.extend(found),
                Err(message) => self.fault(*span, message, "not a point, and no profile's name"),
            }
        }
        if !profile.is_sorted_by_key(|(at, _)| *at) {
            if let Some((_, span)) = words.first() {
                self.fault(
                    *span,
                    "the points of a profile run backwards",
                    "in this profile",
                );
            }
        }
        let (from, to) = (load.part("patience-from"), load.part("patience-to"));
        if from > to {
            if let Some(section) = load.values.section {
                self.fault(
                    section.span,
                    "patience-from is above patience-to",
                    "in this load",
                );
            }
        }
        let proxies: usize = load.count("proxies");
        clients::Settings {
            classes: kinds,
            tenants,
            over_quota_weight_fraction: load.part("over-worth"),
            requests_per_s: load.number("rate"),
            profile,
            length,
            proxies,
            groups,
            proxy_skew: load.number("unequal"),
            busy_proxies: (load.part("busy") * proxies as f64).ceil() as usize,
            busy_proxies_share: load.part("busy-carry"),
            group_skew: load.number("skew"),
            sessions: load.count("sessions"),
            read_after_write_share: load.part("after-write"),
            read_after_write_span: load.micros("soon"),
            max_retries: load.count("repeats"),
            retry_wait: load.micros("wait"),
            obeys_retry_after: load.yes("heeds"),
            marks_retries: load.yes("marks"),
            patience: (from, to),
        }
    }

    fn kind(&mut self, section: &'a Section) -> RequestClass {
        let c = self.seen("class", Some(section));
        let spread = c.number("spread");
        let law = match c.choice("law") {
            "fixed" => Law::Fixed,
            "exponential" => Law::Exponential,
            "pareto" => Law::Pareto { shape: spread },
            _ => Law::LogNormal { variation: spread },
        };
        if matches!(law, Law::Pareto { shape } if shape <= 1.0) {
            self.fault(
                section.span,
                "a pareto law of shape 1 or less has no mean",
                "spread is the shape",
            );
        }
        RequestClass {
            name: section.name.clone(),
            consistency: match c.choice("need") {
                "write" => Consistency::Write,
                "fresh" => Consistency::Strong,
                "session" => Consistency::ReadYourWrites,
                "bounded" => Consistency::BoundedStaleness(c.micros("age")),
                _ => Consistency::Eventual,
            },
            idempotency: match c.choice("repeat") {
                "never" => Idempotency::NonIdempotent,
                "keyed" => Idempotency::Keyed(c.micros("window")),
                _ => Idempotency::Idempotent,
            },
            share: c.number("share"),
            work: Work {
                law,
                mean: c.micros("work") as f64,
                by_key: c.part("by-key"),
            },
            latency_objective: c.micros("aim"),
            deadline: c.micros("deadline"),
            priority_weight: c.number("worth"),
            late_weight_fraction: c.part("late-worth"),
        }
    }

    fn trouble(&mut self, section: &'a Section, clients: &clients::Settings) -> Option<Trouble> {
        let t = self.seen("trouble", Some(section));
        let Some(Value::Choice(kind)) = t.value("kind") else {
            if !section.partial {
                self.fault(
                    section.span,
                    "the trouble does not say what it is",
                    "kind is missing here",
                );
            }
            return None;
        };
        let times = t.number("times");
        let place = t.count("place");
        let what = match kind {
            "die" => What::Die,
            "hang" => What::Hang,
            "slow" => What::Slow(times),
            "hold" => What::Hold,
            "deploy" => What::Deploy,
            "list-behind" => What::ListBehind(t.micros("more")),
            "list-down" => What::ListDown,
            "cut" => What::Cut {
                place,
                back_only: t.choice("ways") == "back",
            },
            "split" => What::Split(place),
            "loss" => What::Loss(t.part("part")),
            "proxy-dies" => What::ProxyDies,
            "apart" => What::Apart,
            _ => {
                let named = t.value("tenant").as_ref().and_then(name_of);
                let tenant = named
                    .as_ref()
                    .and_then(|n| clients.tenants.iter().position(|x| x.name == *n));
                if let (Some(name), None) = (&named, tenant) {
                    self.fault(
                        section.span,
                        format!("the load has no tenant {name}"),
                        "of this trouble",
                    );
                }
                if times > SURGE_MOST {
                    let message =
                        format!("requests can't come more than {SURGE_MOST} times as often");
                    self.fault(section.span, message, "of this trouble");
                }
                What::Surge(times, tenant)
            }
        };
        let mut targets = Vec::new();
        for (value, span) in section.values("of") {
            let Value::Text(word) = value else { continue };
            match target(word) {
                Some(found) => targets.push(found),
                None => self.fault(
                    *span,
                    format!("{word:?} names no servers or proxies"),
                    "write all, primary:0-2, member:1.3, place:1, share:25% or proxy:0-3",
                ),
            }
        }
        let needed = matches!(
            what,
            What::Die
                | What::Hang
                | What::Hold
                | What::Deploy
                | What::Cut { .. }
                | What::ProxyDies
                | What::Apart
        );
        if section.setting("of").is_none() && needed && !section.partial {
            self.fault(
                section.span,
                "the trouble does not say whose it is",
                "of is missing here",
            );
        }
        let (at, span) = (t.micros("at"), t.micros("for"));
        Some(Trouble {
            name: section.name.clone(),
            at,
            span,
            what,
            targets,
        })
    }
}

/// What a tenant may borrow; none: nothing.
fn credit(t: &Seen<'_>, kinds: &[RequestClass]) -> Option<Credit> {
    let named = t.values.all("borrows", name_of);
    let lent = |(_, kind): &(usize, &RequestClass)| named.is_empty() || named.contains(&kind.name);
    let credit = Credit {
        line: t.micros("line"),
        term: t.micros("term"),
        write_off: t.micros("write-off"),
        floor: (t.part("floor") * 1000.0).round() as u32,
        kinds: kinds
            .iter()
            .enumerate()
            .filter(lent)
            .map(|(at, _)| at)
            .collect(),
        rate: t.count("lend-rate"),
    };
    Some(credit).filter(|credit| credit.line > 0)
}

fn site_of(f: &Seen<'_>) -> site::Settings {
    site::Settings {
        groups: f.count("groups"),
        sizes: f.values.all("sizes", |v| match v {
            Value::Count(n) => usize::try_from(*n).ok(),
            _ => None,
        }),
        places: f.count("places"),
        server: server::Settings {
            cores: f.number("cores"),
            slots: f.count("slots"),
            room: f.count("room"),
            crowding: f.part("crowding"),
            cold: f.part("cold"),
            warm_after: f.micros("warm-after"),
            tip: f.number("tip"),
            tip_after: f.micros("tip-after"),
            falls: f.yes("falls"),
        },
        group: group::Settings {
            members: f.count("members"),
            ship: f.micros("ship"),
            apply: f.micros("apply"),
            give_up: f.micros("give-up"),
            take_over: f.micros("take-over"),
            hand_over: f.micros("hand-over"),
            quorum: f.yes("quorum"),
        },
        report_every: f.micros("report-every"),
        probe_work: f.micros("probe-work"),
        dial_work: f.micros("dial-work"),
        connections: f.count("connections"),
        copy_age: f.micros("copy-age"),
        checks: f.yes("checks"),
    }
}

/// A point of a profile, or all points of one that has a name.
fn points(word: &str, length: Micros) -> Result<Vec<(Micros, f64)>, String> {
    let named: &[(f64, f64)] = match word {
        // An evening that swells to the double and ebbs away.
        "dashain" => &[
            (0.0, 0.8),
            (0.3, 1.2),
            (0.5, 2.0),
            (0.7, 2.0),
            (0.9, 1.0),
            (1.0, 0.8),
        ],
        // Two waves.
        "tihar" => &[
            (0.0, 0.7),
            (0.2, 1.6),
            (0.4, 0.9),
            (0.6, 1.8),
            (0.8, 1.0),
            (1.0, 0.7),
        ],
        // It begins to rain, and everybody wants a cab until it is over.
        "rain" => &[
            (0.0, 1.0),
            (0.3, 1.0),
            (0.35, 1.7),
            (0.65, 1.7),
            (0.8, 1.0),
            (1.0, 1.0),
        ],
        // A long-distance bus arrives, and another.
        "bus" => &[
            (0.0, 1.0),
            (0.3, 1.0),
            (0.31, 3.0),
            (0.36, 1.0),
            (0.6, 1.0),
            (0.61, 3.0),
            (0.66, 1.0),
            (1.0, 1.0),
        ],
        _ => {
            let fault = || format!("{word:?} is no point like 10s:250%");
            let (at, times) = word.split_once(':').ok_or_else(fault)?;
            let any = configuration::schema::time(0, 3_600_000);
            let Ok(Value::Time(at)) = any.parse(at) else {
                return Err(fault());
            };
            let times: f64 = times
                .strip_suffix('%')
                .and_then(|t| t.parse().ok())
                .ok_or_else(fault)?;
            if !(0.0..=10_000.0).contains(&times) {
                return Err(fault());
            }
            return Ok(vec![(micros(at), times / 100.0)]);
        }
    };
    Ok(named
        .iter()
        .map(|(part, times)| ((part * length as f64) as Micros, *times))
        .collect())
}

fn target(word: &str) -> Option<Target> {
    let (kind, rest) = word.split_once(':').unwrap_or((word, ""));
    let range = |text: &str| -> Option<(u32, u32)> {
        let (from, to) = text.split_once('-').unwrap_or((text, text));
        let (from, to) = (from.parse().ok()?, to.parse().ok()?);
        (from <= to).then_some((from, to))
    };
    Some(match kind {
        "all" if rest.is_empty() => Target::All,
        "primary" => range(rest).map(|(a, b)| Target::Primaries(a, b))?,
        "member" => {
            let (group, member) = rest.split_once('.')?;
            Target::Member(group.parse().ok()?, member.parse().ok()?)
        }
        "place" => Target::Place(rest.parse().ok()?),
        "share" => {
            let part: f64 = rest.strip_suffix('%')?.parse().ok()?;
            Target::Share((0.0..=100.0).contains(&part).then_some(part / 100.0)?)
        }
        "proxy" => range(rest).map(|(a, b)| Target::Proxies(a as usize, b as usize))?,
        _ => return None,
    })
}

/// The longest that any run goes on after its requests have ended.
pub const AFTER: Micros = 10 * SECOND;
