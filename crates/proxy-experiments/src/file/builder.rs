//! A scenario made of the sections that it refers to.

use super::values::{micros, name_of, points, target, text_of};
use super::{Change, ExperimentFile};
use crate::scenario::{FaultKind, FleetMessaging, Scenario, ScheduledFault, Weights};
use crate::table::TABLE;
use configuration::check::Section;
use configuration::diagnostic::Diagnostic;
use configuration::schema::Args;
use configuration::source::Span;
use configuration::value::Value;
use configuration::values::Values;
use server_model::account::Credit;
use server_model::clients::{
    self, Consistency, Idempotency, RequestClass, Tenant, MAX_SURGE_FACTOR,
};
use server_model::law::{Law, Work};
use server_model::platform::Platform;
use server_model::{catalog, group, network, server, site, Micros};

/// Makes one scenario of the sections that it refers to.
pub(super) struct ScenarioBuilder<'a, 'b> {
    pub(super) file: &'a ExperimentFile,
    pub(super) changes: &'b [Change],
    pub(super) faults: &'b mut Vec<Diagnostic>,
}

/// Values of a section as they count: changes first, then the file, then the table.
struct EffectiveValues<'a> {
    values: Values<'a>,
    changes: Vec<(&'static str, Value)>,
}

impl EffectiveValues<'_> {
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
impl<'a> ScenarioBuilder<'a, '_> {
    fn effective_values(
        &self,
        keyword: &'static str,
        section: Option<&'a Section>,
    ) -> EffectiveValues<'a> {
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
        EffectiveValues {
            changes: changes.collect(),
            values: Values { section, spec },
        }
    }

    /// The section that a scenario refers to.
    fn part(&self, scenario: &EffectiveValues<'a>, keyword: &'static str) -> EffectiveValues<'a> {
        let name = match scenario.value(keyword) {
            Some(Value::Name(name)) => self.file.find(keyword, &name),
            _ => None,
        };
        self.effective_values(keyword, name)
    }

    fn fault(&mut self, span: Span, message: impl Into<String>, label: &str) {
        self.faults
            .push(Diagnostic::error("bad-value", span, message).label(label));
    }

    /// The scenario of a section; faults are added to the list.
    pub(super) fn scenario(&mut self, section: &'a Section) -> Result<Scenario, String> {
        let s = self.effective_values("scenario", Some(section));
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
            .collect("troubles", name_of)
            .iter()
            .filter_map(|name| self.file.find("trouble", name))
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
            talk: s.yes("talk").then(|| FleetMessaging {
                every: s.micros("talk-every"),
                late: s.micros("talk-late"),
                loss: s.part("talk-loss"),
                dead: s.micros("talk-dead"),
                lease: s.micros("lease"),
                short_least: s.count("short-least"),
                short_part: s.part("short-part"),
            }),
            weights: Weights::default(),
            faults: troubles,
        })
    }

    fn clients(
        &mut self,
        load: &EffectiveValues<'a>,
        length: Micros,
        groups: u32,
        scenario: &Section,
    ) -> clients::Settings {
        let named = |keyword| load.values.collect(keyword, name_of);
        let (classes, tenants) = (named("classes"), named("tenants"));
        let kinds: Vec<RequestClass> = classes
            .iter()
            .filter_map(|name| self.file.find("class", name))
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
            .filter_map(|name| self.file.find("tenant", name))
            .map(|section| {
                let t = self.effective_values("tenant", Some(section));
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
        let c = self.effective_values("class", Some(section));
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

    fn trouble(
        &mut self,
        section: &'a Section,
        clients: &clients::Settings,
    ) -> Option<ScheduledFault> {
        let t = self.effective_values("trouble", Some(section));
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
            "die" => FaultKind::Die,
            "hang" => FaultKind::Hang,
            "slow" => FaultKind::Slow(times),
            "hold" => FaultKind::Hold,
            "deploy" => FaultKind::Deploy,
            "list-behind" => FaultKind::ListBehind(t.micros("more")),
            "list-down" => FaultKind::ListDown,
            "cut" => FaultKind::Cut {
                place,
                back_only: t.choice("ways") == "back",
            },
            "split" => FaultKind::Split(place),
            "loss" => FaultKind::Loss(t.part("part")),
            "proxy-dies" => FaultKind::ProxyDies,
            "apart" => FaultKind::Apart,
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
                if times > MAX_SURGE_FACTOR {
                    let message =
                        format!("requests can't come more than {MAX_SURGE_FACTOR} times as often");
                    self.fault(section.span, message, "of this trouble");
                }
                FaultKind::Surge(times, tenant)
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
            FaultKind::Die
                | FaultKind::Hang
                | FaultKind::Hold
                | FaultKind::Deploy
                | FaultKind::Cut { .. }
                | FaultKind::ProxyDies
                | FaultKind::Apart
        );
        if section.setting("of").is_none() && needed && !section.partial {
            self.fault(
                section.span,
                "the trouble does not say whose it is",
                "of is missing here",
            );
        }
        let (at, span) = (t.micros("at"), t.micros("for"));
        Some(ScheduledFault {
            name: section.name.clone(),
            at,
            span,
            what,
            targets,
        })
    }
}

/// What a tenant may borrow; none: nothing.
fn credit(t: &EffectiveValues<'_>, kinds: &[RequestClass]) -> Option<Credit> {
    let named = t.values.collect("borrows", name_of);
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

fn site_of(f: &EffectiveValues<'_>) -> site::Settings {
    site::Settings {
        groups: f.count("groups"),
        sizes: f.values.collect("sizes", |v| match v {
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
