//! Checks the model against the platform's settings: names must be defined there, and limits may only be stricter.

use crate::check::{Section, Setting};
use crate::diagnostic::{nearest, Diagnostic};
use crate::model::Model;
use crate::source::Span;
use crate::value::{self, Value};
use crate::values::{name_of, Values};
use std::time::Duration;

/// Consistency that a class requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// A write, which only the primary executes.
    Write,
    /// Reads all data committed before the request arrived.
    Strong,
    /// Reads all data written by the same session.
    ReadYourWrites,
    /// Reads data that is at most this old.
    BoundedStaleness(Duration),
    /// Reads data of any age.
    Eventual,
}

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat has no further effect.
    Idempotent,
    /// The server drops repeats by their key, within the deduplication window.
    Keyed,
    /// A repeat has a further effect.
    NonIdempotent,
}

/// A class in the platform's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Consistency that the class requires.
    pub consistency: Consistency,
    /// Whether its requests may be repeated.
    pub idempotency: Idempotency,
    /// Time after which its clients give up.
    pub deadline: Duration,
}

/// The platform's settings that the operators' file is checked against; `None` for those that are not set.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Platform {
    /// All classes.
    pub classes: Vec<Class>,
    /// The names of all tenants.
    pub tenants: Vec<String>,
    /// Maximum number of attempts per request; 0: no limit.
    pub attempt_limit: u16,
    /// Maximum number of open descriptors of the process.
    pub sockets: Option<usize>,
    /// Maximum memory of the process, in bytes.
    pub memory: Option<u64>,
    /// Maximum Retry-After; `None`: the platform allows none.
    pub max_retry_after: Option<Duration>,
}

impl Platform {
    fn stated_attempt_limit(&self) -> Option<u64> {
        Some(u64::from(self.attempt_limit)).filter(|n| *n > 0)
    }
}

/// Whether data that satisfies the consistency `own` also satisfies `need`.
fn satisfies(own: Consistency, need: Consistency) -> bool {
    match (own, need) {
        (Consistency::Write, other) | (other, Consistency::Write) => {
            other == Consistency::Write && own == need
        }
        (_, Consistency::Eventual) | (Consistency::Strong, _) => true,
        (Consistency::ReadYourWrites, Consistency::ReadYourWrites) => true,
        (Consistency::BoundedStaleness(own), Consistency::BoundedStaleness(bound)) => own <= bound,
        _ => false,
    }
}

/// Whether a request with idempotency `own` is never sent again where one with `other` would not be.
fn is_no_looser(own: Idempotency, other: Idempotency) -> bool {
    own == other || other == Idempotency::Idempotent || own == Idempotency::NonIdempotent
}

/// Reports values that are looser than the platform allows, and names that it does not define.
pub fn check(sections: &[Section], model: &Model, platform: &Platform) -> Vec<Diagnostic> {
    let mut faults = Vec::new();
    for section in sections {
        match section.spec.keyword {
            "class" => check_class(section, platform, &mut faults),
            "route" => check_route(section, model, platform, &mut faults),
            "credit" => check_credit(section, platform, &mut faults),
            "limits" => {
                check_count(
                    section,
                    "sockets",
                    platform.sockets.map(|n| n as u64),
                    &mut faults,
                );
                check_count(section, "memory", platform.memory, &mut faults);
            }
            "policy" => {
                let tries = platform.stated_attempt_limit();
                check_count(section, "tries", tries, &mut faults);
                if let Some(most) = platform.max_retry_after {
                    check_time(
                        section,
                        "come-back-most",
                        most,
                        "the platform's clients wait",
                        &mut faults,
                    );
                }
            }
            _ => {}
        }
    }
    faults
}

fn loosens(setting: &Setting, message: String) -> Diagnostic {
    Diagnostic::error("loosens", setting.span, message).label("looser than the platform allows")
}

fn check_count(section: &Section, keyword: &str, most: Option<u64>, faults: &mut Vec<Diagnostic>) {
    let (Some(setting), Some(most)) = (section.setting(keyword), most) else {
        return;
    };
    if let Some((value @ (Value::Count(n) | Value::Size(n)), _)) = setting.values.first() {
        if *n > most {
            let limit = match value {
                Value::Size(_) => value::format_size(most),
                _ => most.to_string(),
            };
            faults.push(loosens(
                setting,
                format!("{keyword} is {value}, but the platform allows at most {limit}"),
            ));
        }
    }
}

fn check_time(
    section: &Section,
    keyword: &str,
    most: Duration,
    limit_text: &str,
    faults: &mut Vec<Diagnostic>,
) {
    let Some(setting) = section.setting(keyword) else {
        return;
    };
    if let Some((Value::Time(span), _)) = setting.values.first() {
        if *span > most {
            let (span, most) = (value::format_time(*span), value::format_time(most));
            faults.push(loosens(
                setting,
                format!("{keyword} is {span}, but {limit_text} at most {most}"),
            ));
        }
    }
}

fn unknown_platform_name(kind: &str, name: &str, span: Span, known: &[&str]) -> Diagnostic {
    let fault = Diagnostic::error(
        "unknown-name",
        span,
        format!("the platform has no {kind} {name}"),
    )
    .label("not known to the platform");
    match nearest(name, known.iter().copied()) {
        Some(near) => fault.help(format!("did you mean {near}?")),
        None => fault.help(format!(
            "the names known to the platform are {}",
            known.join(", ")
        )),
    }
}

fn check_class(section: &Section, platform: &Platform, faults: &mut Vec<Diagnostic>) {
    let Some(stated) = platform.classes.iter().find(|c| c.name == section.name) else {
        let known: Vec<&str> = platform.classes.iter().map(|c| c.name.as_str()).collect();
        faults.push(unknown_platform_name(
            "class",
            &section.name,
            section.span,
            &known,
        ));
        return;
    };
    check_time(
        section,
        "deadline",
        stated.deadline,
        "its clients wait",
        faults,
    );
    let tries = platform.stated_attempt_limit();
    check_count(section, "tries", tries, faults);
}

fn check_names(
    section: &Section,
    keyword: &str,
    kind: &str,
    known: &[&str],
    faults: &mut Vec<Diagnostic>,
) {
    for (value, span) in section.values(keyword) {
        if let Value::Name(name) = value {
            if !known.contains(&name.as_str()) {
                faults.push(unknown_platform_name(kind, name, *span, known));
            }
        }
    }
}

fn check_credit(section: &Section, platform: &Platform, faults: &mut Vec<Diagnostic>) {
    let classes: Vec<&str> = platform.classes.iter().map(|c| c.name.as_str()).collect();
    let tenants: Vec<&str> = platform.tenants.iter().map(String::as_str).collect();
    check_names(section, "class", "class", &classes, faults);
    if !tenants.is_empty() && !tenants.contains(&section.name.as_str()) {
        faults.push(unknown_platform_name(
            "tenant",
            &section.name,
            section.span,
            &tenants,
        ));
    }
}

fn check_route(
    section: &Section,
    model: &Model,
    platform: &Platform,
    faults: &mut Vec<Diagnostic>,
) {
    let classes: Vec<&str> = platform.classes.iter().map(|c| c.name.as_str()).collect();
    let tenants: Vec<&str> = platform.tenants.iter().map(String::as_str).collect();
    check_names(section, "class", "class", &classes, faults);
    check_names(section, "as-class", "class", &classes, faults);
    if !tenants.is_empty() {
        check_names(section, "tenant", "tenant", &tenants, faults);
    }
    check_count(section, "tries", platform.stated_attempt_limit(), faults);
    check_as_class(section, model, platform, faults);
}

/// Reports a route that handles requests as a class that is less strict than their own.
fn check_as_class(
    section: &Section,
    model: &Model,
    platform: &Platform,
    faults: &mut Vec<Diagnostic>,
) {
    let (Some(setting), Some(Value::Name(target))) =
        (section.setting("as-class"), section.value("as-class"))
    else {
        return;
    };
    let Some(target) = platform.classes.iter().find(|c| c.name == *target) else {
        return;
    };
    let stated: Vec<String> = Values::of(section).collect("class", name_of);
    let runs_once = |class: &Class| {
        let mut classes = model.classes.iter();
        classes.any(|c| c.name == class.name && c.runs_once)
    };
    // The operators' settings of a class apply in addition to the platform's.
    let idempotency = |class: &Class| match runs_once(class) {
        true => Idempotency::NonIdempotent,
        false => class.idempotency,
    };
    let concerned = platform
        .classes
        .iter()
        .filter(|c| stated.is_empty() || stated.contains(&c.name));
    for class in concerned {
        // This case is reported by the model, which needs no platform settings for it.
        if runs_once(class) && !runs_once(target) && !stated.is_empty() {
            continue;
        }
        let reason = if !is_no_looser(idempotency(target), idempotency(class)) {
            "allows repeats that the class of the requests forbids"
        } else if !satisfies(target.consistency, class.consistency) {
            "has a weaker consistency than the class of the requests"
        } else {
            continue;
        };
        let message = format!(
            "requests of class {} can't be treated as class {}",
            class.name, target.name
        );
        let fault = Diagnostic::error("loosens", setting.span, message);
        faults.push(fault.label(format!("class {} {reason}", target.name)));
        return;
    }
}
