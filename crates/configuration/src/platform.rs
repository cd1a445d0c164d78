//! The model held against the platform's word: names that it must know, and rules that may only be tightened.

use crate::check::{Section, Setting};
use crate::diagnostic::{nearest, Diagnostic};
use crate::model::Model;
use crate::source::Span;
use crate::value::{self, Value};
use std::time::Duration;

/// What a class needs of the data that answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Only the primary takes it.
    Write,
    /// Everything that was committed before it arrived.
    Strong,
    /// Everything that its session has written.
    ReadYourWrites,
    /// Data no older than this.
    BoundedStaleness(Duration),
    /// Any data.
    Eventual,
}

/// What a repeat of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// Idempotent.
    Idempotent,
    /// Dropped by its key, within limits of its own.
    Keyed,
    /// Not idempotent.
    NonIdempotent,
}

/// A class as the platform states it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// The data that it needs.
    pub consistency: Consistency,
    /// Whether it may run again.
    pub idempotency: Idempotency,
    /// After this its client gives up.
    pub deadline: Duration,
}

/// The platform as far as the operators' file has to do with it. What it does not state is none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Platform {
    /// All classes.
    pub classes: Vec<Class>,
    /// The names of all tenants.
    pub tenants: Vec<String>,
    /// 0: no limit.
    pub attempt_limit: u16,
    /// Descriptors that the process may hold.
    pub sockets: Option<usize>,
    /// Bytes of memory that the process may use.
    pub memory: Option<u64>,
    /// The longest Retry-After; none: the platform allows none.
    pub max_retry_after: Option<Duration>,
}

/// Whether data that is good enough for one class is for another too.
fn meets(stricter: Consistency, need: Consistency) -> bool {
    match (stricter, need) {
        (Consistency::Write, other) | (other, Consistency::Write) => {
            other == Consistency::Write && stricter == need
        }
        (_, Consistency::Eventual) | (Consistency::Strong, _) => true,
        (Consistency::ReadYourWrites, Consistency::ReadYourWrites) => true,
        (Consistency::BoundedStaleness(own), Consistency::BoundedStaleness(bound)) => own <= bound,
        _ => false,
    }
}

/// What may be done with one may be done with the other.
fn allows_no_more(own: Idempotency, other: Idempotency) -> bool {
    own == other || other == Idempotency::Idempotent || own == Idempotency::NonIdempotent
}

/// What of the operators' file is looser than the platform, or names what it does not have.
pub fn check(sections: &[Section], model: &Model, platform: &Platform) -> Vec<Diagnostic> {
    let mut faults = Vec::new();
    for section in sections {
        match section.spec.keyword {
            "class" => class(section, platform, &mut faults),
            "route" => route(section, model, platform, &mut faults),
            "credit" => credit(section, platform, &mut faults),
            "limits" => {
                bounded(
                    section,
                    "sockets",
                    platform.sockets.map(|n| n as u64),
                    &mut faults,
                );
                bounded(section, "memory", platform.memory, &mut faults);
            }
            "policy" => {
                let tries = Some(u64::from(platform.attempt_limit)).filter(|n| *n > 0);
                bounded(section, "tries", tries, &mut faults);
                if let Some(most) = platform.max_retry_after {
                    longest(
                        section,
                        "come-back-most",
                        most,
                        "the platform's clients heed",
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

fn bounded(section: &Section, keyword: &str, most: Option<u64>, faults: &mut Vec<Diagnostic>) {
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
                format!("{keyword} is {value}, but the platform states {limit}"),
            ));
        }
    }
}

fn longest(
    section: &Section,
    keyword: &str,
    most: Duration,
    whose: &str,
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
                format!("{keyword} is {span}, but {whose} {most} at most"),
            ));
        }
    }
}

fn unknown(what: &str, name: &str, span: Span, known: &[&str]) -> Diagnostic {
    let fault = Diagnostic::error(
        "unknown-name",
        span,
        format!("the platform has no {what} {name}"),
    )
    .label("not known to the platform");
    match nearest(name, known.iter().copied()) {
        Some(near) => fault.help(format!("did you mean {near}?")),
        None => fault.help(format!("known are {}", known.join(", "))),
    }
}

fn class(section: &Section, platform: &Platform, faults: &mut Vec<Diagnostic>) {
    let Some(stated) = platform.classes.iter().find(|c| c.name == section.name) else {
        let known: Vec<&str> = platform.classes.iter().map(|c| c.name.as_str()).collect();
        faults.push(unknown("class", &section.name, section.span, &known));
        return;
    };
    longest(
        section,
        "deadline",
        stated.deadline,
        "its clients wait",
        faults,
    );
    let tries = Some(u64::from(platform.attempt_limit)).filter(|n| *n > 0);
    bounded(section, "tries", tries, faults);
}

fn names(
    section: &Section,
    keyword: &str,
    what: &str,
    known: &[&str],
    faults: &mut Vec<Diagnostic>,
) {
    for (value, span) in section.values(keyword) {
        if let Value::Name(name) = value {
            if !known.contains(&name.as_str()) {
                faults.push(unknown(what, name, *span, known));
            }
        }
    }
}

fn credit(section: &Section, platform: &Platform, faults: &mut Vec<Diagnostic>) {
    let classes: Vec<&str> = platform.classes.iter().map(|c| c.name.as_str()).collect();
    let tenants: Vec<&str> = platform.tenants.iter().map(String::as_str).collect();
    names(section, "class", "class", &classes, faults);
    if !tenants.is_empty() && !tenants.contains(&section.name.as_str()) {
        faults.push(unknown("tenant", &section.name, section.span, &tenants));
    }
}

fn route(section: &Section, model: &Model, platform: &Platform, faults: &mut Vec<Diagnostic>) {
    let classes: Vec<&str> = platform.classes.iter().map(|c| c.name.as_str()).collect();
    let tenants: Vec<&str> = platform.tenants.iter().map(String::as_str).collect();
    names(section, "class", "class", &classes, faults);
    names(section, "as-class", "class", &classes, faults);
    if !tenants.is_empty() {
        names(section, "tenant", "tenant", &tenants, faults);
    }
    let tries = Some(u64::from(platform.attempt_limit)).filter(|n| *n > 0);
    bounded(section, "tries", tries, faults);
    let (Some(setting), Some(Value::Name(target))) =
        (section.setting("as-class"), section.value("as-class"))
    else {
        return;
    };
    let Some(target) = platform.classes.iter().find(|c| c.name == *target) else {
        return;
    };
    let stated: Vec<&str> = section
        .values("class")
        .iter()
        .filter_map(|(value, _)| match value {
            Value::Name(name) => Some(name.as_str()),
            _ => None,
        })
        .collect();
    let once = |name: &str| model.classes.iter().any(|c| c.name == name && c.runs_once);
    // What the file says of a class counts here as the platform's word does.
    let repeat = |class: &Class| {
        if once(&class.name) {
            Idempotency::NonIdempotent
        } else {
            class.idempotency
        }
    };
    for class in platform
        .classes
        .iter()
        .filter(|c| stated.is_empty() || stated.contains(&c.name.as_str()))
    {
        // Told already, without the platform's word.
        if once(&class.name) && !once(&target.name) && !stated.is_empty() {
            continue;
        }
        let why = if !allows_no_more(repeat(target), repeat(class)) {
            "allows repeats that must not be"
        } else if !meets(target.consistency, class.consistency) {
            "does not need the same of the data"
        } else {
            continue;
        };
        let message = format!(
            "requests of class {} can't be treated as class {}",
            class.name, target.name
        );
        let fault = Diagnostic::error("loosens", setting.span, message);
        faults.push(fault.label(format!("class {} {why}", target.name)));
        return;
    }
}
