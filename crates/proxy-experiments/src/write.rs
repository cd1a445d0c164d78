//! A scenario as a file that says the same: for days that a search has found.

use crate::scenario::{FaultKind, Scenario, ScheduledFault, Target};
use configuration::value;
use server_model::clients::{Consistency, Idempotency};
use server_model::law::Law;
use server_model::Micros;
use std::fmt::Write;
use std::time::Duration;

fn time(micros: Micros) -> String {
    value::format_time(Duration::from_micros(micros))
}

/// With as many digits as the language takes.
fn share(part: f64) -> String {
    let text = format!("{:.4}", part * 100.0);
    format!("{}%", text.trim_end_matches('0').trim_end_matches('.'))
}

fn yes(is: bool) -> &'static str {
    if is {
        "yes"
    } else {
        "no"
    }
}

struct Out(String);

impl Out {
    fn section(&mut self, head: &str, lines: &[(&str, String)]) {
        _ = writeln!(self.0, "{head} {{");
        for (keyword, value) in lines {
            _ = writeln!(self.0, "    {keyword} {value}");
        }
        self.0.push_str("}\n\n");
    }
}

fn target(target: &Target) -> String {
    match target {
        Target::All => "all".into(),
        Target::Primaries(a, b) => format!("primary:{a}-{b}"),
        Target::Member(group, member) => format!("member:{group}.{member}"),
        Target::Place(place) => format!("place:{place}"),
        Target::Share(part) => format!("share:{}", share(*part)),
        Target::Proxies(a, b) => format!("proxy:{a}-{b}"),
    }
}

fn trouble(out: &mut Out, trouble: &ScheduledFault, scenario: &Scenario) {
    let mut lines: Vec<(&str, String)> = Vec::new();
    let kind = match &trouble.what {
        FaultKind::Die => "die",
        FaultKind::Hang => "hang",
        FaultKind::Slow(times) => {
            lines.push(("times", times.to_string()));
            "slow"
        }
        FaultKind::Hold => "hold",
        FaultKind::Deploy => "deploy",
        FaultKind::ListBehind(more) => {
            lines.push(("more", time(*more)));
            "list-behind"
        }
        FaultKind::ListDown => "list-down",
        FaultKind::Surge(times, tenant) => {
            lines.push(("times", times.to_string()));
            if let Some(tenant) = tenant.and_then(|at| scenario.clients.tenants.get(at)) {
                lines.push(("tenant", tenant.name.clone()));
            }
            "surge"
        }
        FaultKind::Cut { place, back_only } => {
            lines.push(("place", place.to_string()));
            lines.push(("ways", if *back_only { "back" } else { "both" }.into()));
            "cut"
        }
        FaultKind::Split(place) => {
            lines.push(("place", place.to_string()));
            "split"
        }
        FaultKind::Loss(part) => {
            lines.push(("part", share(*part)));
            "loss"
        }
        FaultKind::ProxyDies => "proxy-dies",
        FaultKind::Apart => "apart",
    };
    let mut all = vec![
        ("kind", kind.to_owned()),
        ("at", time(trouble.at)),
        ("for", time(trouble.span)),
    ];
    if !trouble.targets.is_empty() {
        all.push((
            "of",
            trouble
                .targets
                .iter()
                .map(target)
                .collect::<Vec<_>>()
                .join(" "),
        ));
    }
    all.extend(lines);
    out.section(&format!("trouble {}", trouble.name), &all);
}

/// The text of a file with this one scenario.
pub fn text(scenario: &Scenario) -> String {
    let mut out = Out(String::new());
    let (site, server, group) = (&scenario.site, &scenario.site.server, &scenario.site.group);
    let sizes: Vec<String> = site.sizes.iter().map(usize::to_string).collect();
    let mut lines = vec![
        ("groups", site.groups.to_string()),
        ("members", group.members.to_string()),
        ("places", site.places.to_string()),
        ("cores", server.cores.to_string()),
        ("slots", server.slots.to_string()),
        ("room", server.room.to_string()),
        ("crowding", share(server.crowding)),
        ("cold", share(server.cold)),
        ("warm-after", time(server.warm_after)),
        ("tip", server.tip.to_string()),
        ("tip-after", time(server.tip_after)),
        ("falls", yes(server.falls).into()),
        ("ship", time(group.ship)),
        ("apply", time(group.apply)),
        ("give-up", time(group.give_up)),
        ("take-over", time(group.take_over)),
        ("hand-over", time(group.hand_over)),
        ("quorum", yes(group.quorum).into()),
        ("report-every", time(site.report_every)),
        ("probe-work", time(site.probe_work)),
        ("dial-work", time(site.dial_work)),
        ("connections", site.connections.to_string()),
        ("copy-age", time(site.copy_age)),
        ("checks", yes(site.checks).into()),
    ];
    if !sizes.is_empty() {
        lines.push(("sizes", sizes.join(" ")));
    }
    out.section("fleet servers", &lines);
    let network = &scenario.network;
    out.section(
        "network ways",
        &[
            ("within", time(network.within)),
            ("between", time(network.between)),
            ("jitter", share(network.jitter)),
            ("loss", share(network.loss)),
            ("resend", time(network.resend)),
        ],
    );
    let list = &scenario.catalog;
    out.section(
        "discovery list",
        &[
            ("late", time(list.late)),
            ("call", time(list.call)),
            ("patience", time(list.patience)),
        ],
    );
    let clients = &scenario.clients;
    for kind in &clients.classes {
        let mut lines = Vec::new();
        let need = match kind.consistency {
            Consistency::Write => "write",
            Consistency::Strong => "fresh",
            Consistency::ReadYourWrites => "session",
            Consistency::BoundedStaleness(age) => {
                lines.push(("age", time(age)));
                "bounded"
            }
            Consistency::Eventual => "any",
        };
        lines.insert(0, ("need", need.to_owned()));
        match kind.idempotency {
            Idempotency::Idempotent => lines.push(("repeat", "safe".into())),
            Idempotency::NonIdempotent => lines.push(("repeat", "never".into())),
            Idempotency::Keyed(window) => {
                lines.extend([("repeat", "keyed".into()), ("window", time(window))]);
            }
        }
        let (law, spread) = match kind.work.law {
            Law::Fixed => ("fixed", None),
            Law::Exponential => ("exponential", None),
            Law::LogNormal { variation } => ("log-normal", Some(variation)),
            Law::Pareto { shape } => ("pareto", Some(shape)),
        };
        lines.push(("law", law.to_owned()));
        lines.extend(spread.map(|s| ("spread", s.to_string())));
        lines.extend([
            ("share", kind.share.to_string()),
            ("work", time(kind.work.mean as Micros)),
            ("by-key", share(kind.work.by_key)),
            ("aim", time(kind.latency_objective)),
            ("deadline", time(kind.deadline)),
            ("worth", kind.priority_weight.to_string()),
            ("late-worth", share(kind.late_weight_fraction)),
        ]);
        out.section(&format!("class {}", kind.name), &lines);
    }
    for tenant in &clients.tenants {
        let mut lines = vec![
            ("share", tenant.share.to_string()),
            ("quota", tenant.quota.to_string()),
        ];
        if let Some(credit) = &tenant.credit {
            let kinds = credit
                .kinds
                .iter()
                .filter_map(|at| clients.classes.get(*at));
            lines.extend([
                ("line", time(credit.line)),
                ("term", time(credit.term)),
                ("write-off", time(credit.write_off)),
                ("floor", share(f64::from(credit.floor) / 1000.0)),
                (
                    "borrows",
                    kinds.map(|k| k.name.as_str()).collect::<Vec<_>>().join(" "),
                ),
                ("lend-rate", credit.rate.to_string()),
            ]);
        }
        out.section(&format!("tenant {}", tenant.name), &lines);
    }
    let names = |names: Vec<&str>| names.join(" ");
    let mut lines = vec![
        ("rate", clients.requests_per_s.to_string()),
        ("proxies", clients.proxies.to_string()),
        ("unequal", clients.proxy_skew.to_string()),
        ("skew", clients.group_skew.to_string()),
        (
            "classes",
            names(clients.classes.iter().map(|k| k.name.as_str()).collect()),
        ),
        ("over-worth", share(clients.over_quota_weight_fraction)),
        ("sessions", clients.sessions.to_string()),
        ("after-write", share(clients.read_after_write_share)),
        ("soon", time(clients.read_after_write_span)),
        ("repeats", clients.max_retries.to_string()),
        ("wait", time(clients.retry_wait)),
        ("heeds", yes(clients.obeys_retry_after).into()),
        ("marks", yes(clients.marks_retries).into()),
        ("patience-from", share(clients.patience.0)),
        ("patience-to", share(clients.patience.1)),
    ];
    if clients.busy_proxies > 0 {
        // Rounded down, since it is rounded up when it is read.
        let part = (clients.busy_proxies.min(clients.proxies) as f64 - 0.5)
            / clients.proxies.max(1) as f64;
        lines.extend([
            ("busy", share(part)),
            ("busy-carry", share(clients.busy_proxies_share)),
        ]);
    }
    if !clients.tenants.is_empty() {
        lines.push((
            "tenants",
            names(clients.tenants.iter().map(|t| t.name.as_str()).collect()),
        ));
    }
    if !clients.profile.is_empty() {
        let points = clients
            .profile
            .iter()
            .map(|(at, times)| format!("{}:{}", time(*at), share(*times)));
        lines.push(("profile", points.collect::<Vec<_>>().join(" ")));
    }
    out.section("load asked", &lines);
    for one in &scenario.faults {
        trouble(&mut out, one, scenario);
    }
    let platform = &scenario.platform;
    let mut lines = vec![
        ("about", format!("{:?}", scenario.about)),
        ("length", time(clients.length)),
        ("fleet", "servers".into()),
        ("network", "ways".into()),
        ("discovery", "list".into()),
        ("load", "asked".into()),
        ("tries", platform.tries.to_string()),
        ("probes", yes(platform.probes).into()),
        ("second-copies", yes(platform.second_copies).into()),
        ("come-back-most", time(platform.max_retry_after)),
        ("drain-grace", time(platform.drain_grace)),
        ("keepalive", time(platform.keepalive)),
        ("dial-wait", time(platform.dial_wait)),
    ];
    if let Some(talk) = &scenario.talk {
        lines.extend([
            ("talk", "yes".into()),
            ("talk-every", time(talk.every)),
            ("talk-late", time(talk.late)),
            ("talk-loss", share(talk.loss)),
            ("talk-dead", time(talk.dead)),
            ("lease", time(talk.lease)),
            ("short-least", talk.short_least.to_string()),
            ("short-part", share(talk.short_part)),
        ]);
    }
    if scenario.about.is_empty() {
        lines.remove(0);
    }
    if !scenario.faults.is_empty() {
        let named = scenario.faults.iter().map(|t| t.name.as_str()).collect();
        lines.push(("troubles", names(named)));
    }
    out.section(&format!("scenario {}", scenario.name), &lines);
    out.0.truncate(out.0.trim_end().len());
    out.0.push('\n');
    out.0
}
