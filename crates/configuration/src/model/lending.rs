//! What stands may borrow beyond their quota, and how the fleet agrees on it.

use super::required::{require_directive, require_members};
use super::window::NamedWindow;
use crate::check::{unknown_name, Section, Setting};
use crate::diagnostic::Diagnostic;
use crate::schema::CREDITS_LIMIT;
use crate::value::{format_time, Value};
use crate::values::{name_of, Values};
use std::path::PathBuf;
use std::time::Duration;

/// The section `lending`: loans of quota among the proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct Lending {
    /// Without it a restarted proxy has no memory.
    pub state_file: Option<PathBuf>,
    /// How long a lease lasts.
    pub lease: Duration,
    /// How often proxies tell each other of loans.
    pub exchange_interval: Duration,
    /// No credit's term and write-off together are longer. The same at all proxies.
    pub max_loan_time: Duration,
    /// The tenants that may borrow.
    pub credits: Vec<Credit>,
}

/// The section `credit`: what one tenant may borrow.
#[derive(Clone, Debug, PartialEq)]
pub struct Credit {
    /// The platform's name of the tenant.
    pub tenant: String,
    /// What it may owe, as time of its quota of the whole fleet.
    pub credit_limit: Duration,
    /// Within this a loan is repaid.
    pub term: Duration,
    /// How long after the term an unpaid loan is written off.
    pub write_off: Duration,
    /// Thousandths of the quota that always stay.
    pub floor: u32,
    /// Classes that loans are made for.
    pub classes: Vec<String>,
    /// The most requests that all proxies together lend in a second.
    pub rate: u64,
    /// Places in the model's windows; in these nothing is lent.
    pub not_during: Vec<usize>,
}

/// So many beats fit into a lease, so that a lost one does not end it.
const STEPS_OF_LEASE: u32 = 3;

/// `partial`: some of the files could not be read.
pub(super) fn lending(
    sections: &[Section],
    windows: &[NamedWindow],
    partial: bool,
    faults: &mut Vec<Diagnostic>,
) -> Option<Lending> {
    let stated: Vec<&Section> = sections
        .iter()
        .filter(|s| s.spec.keyword == "credit")
        .collect();
    let Some(section) = sections.iter().find(|s| s.spec.keyword == "lending") else {
        if let Some(first) = stated.first().filter(|_| !partial) {
            let fault = Diagnostic::error(
                "missing",
                first.span,
                "a credit is stated, but no section lending",
            );
            faults.push(
                fault
                    .label("nobody lends")
                    .help("write a section lending { ... }, which may state nothing"),
            );
        }
        return None;
    };
    if !partial {
        require_members(
            sections,
            section,
            "lending",
            "has nobody to agree with",
            faults,
        );
    }
    if let Some(first) = stated.get(CREDITS_LIMIT) {
        let message = format!(
            "there are {} credits; at most {CREDITS_LIMIT} are allowed",
            stated.len()
        );
        let fault = Diagnostic::error("many-credits", first.span, message).label("one too many");
        faults.push(fault.help("keep a section credit only for stands that have to borrow"));
        return None;
    }
    let v = Values::of(section);
    let [lease, step, longest] =
        ["lease", "step", "longest"].map(|keyword| v.time(keyword).unwrap_or_default());
    // Of a section with a faulty line nothing is held against its defaults.
    if let Some(at) = either(section, ["step", "lease"]).filter(|_| step * STEPS_OF_LEASE > lease) {
        let message = format!(
            "step ({}) is more than a third of lease ({})",
            format_time(step),
            format_time(lease)
        );
        let fault =
            Diagnostic::error("cross-check", at.span, message).label("one late beat would end it");
        let most = Duration::from_millis((lease / STEPS_OF_LEASE).as_millis() as u64);
        let least = step * STEPS_OF_LEASE;
        let help = format!(
            "state a step of at most {}, or a lease of {} or more",
            format_time(most),
            format_time(least)
        );
        faults.push(fault.help(help));
    }
    let credits = stated.iter().filter_map(|credit| {
        check_span(credit, section, longest, faults);
        self::credit(credit, windows, partial, faults)
    });
    Some(Lending {
        state_file: v.path("state"),
        lease,
        exchange_interval: step,
        max_loan_time: longest,
        credits: credits.collect(),
    })
}

/// The first of two settings that is stated, in a section that could be read whole.
fn either<'a>(section: &'a Section, keywords: [&str; 2]) -> Option<&'a Setting> {
    keywords
        .into_iter()
        .find_map(|keyword| section.setting(keyword))
        .filter(|_| !section.partial)
}

/// Term and write-off together within the longest.
fn check_span(
    credit: &Section,
    lending: &Section,
    longest: Duration,
    faults: &mut Vec<Diagnostic>,
) {
    let v = Values::of(credit);
    let [term, write_off] =
        ["term", "write-off"].map(|keyword| v.time(keyword).unwrap_or_default());
    if credit.partial || lending.partial || term + write_off <= longest {
        return;
    }
    let at = either(credit, ["term", "write-off"]).map_or(credit.span, |setting| setting.span);
    let (all, most) = (format_time(term + write_off), format_time(longest));
    let message = format!(
        "term ({}) and write-off ({}) of the credit {} are {all} together, but the longest is {most}",
        format_time(term),
        format_time(write_off),
        credit.name
    );
    let fault = Diagnostic::error("cross-check", at, message).label("lent for too long");
    let fault = fault.help(format!(
        "shorten one of the two, or state `longest {all}` in the section lending"
    ));
    faults.push(match lending.setting("longest") {
        Some(setting) => fault.related(setting.span, "longest"),
        None => fault,
    });
}

fn credit(
    section: &Section,
    windows: &[NamedWindow],
    partial: bool,
    faults: &mut Vec<Diagnostic>,
) -> Option<Credit> {
    for keyword in ["line", "class", "rate"] {
        require_directive(
            section,
            keyword,
            &format!("the credit {}", section.name),
            faults,
        );
    }
    let v = Values::of(section);
    let rate = match (v.value("rate"), section.setting("rate")) {
        (Some(Value::Rate(rate)), Some(at)) if rate.per != Duration::from_secs(1) => {
            let fault =
                Diagnostic::error("bad-value", at.span, format!("{rate} is not of a second"));
            let fault = fault.label("what is lent is counted by the second");
            faults.push(fault.help("write it as requests a second, for example 100/s"));
            None
        }
        (Some(Value::Rate(rate)), _) => Some(u64::from(rate.number)),
        _ => None,
    };
    let mut not_during = Some(Vec::new());
    for (value, span) in section.values("not-during") {
        let Value::Name(wanted) = value else { continue };
        let place = windows.iter().position(|w| w.name == *wanted);
        if place.is_none() && !partial {
            let known: Vec<&str> = windows.iter().map(|w| w.name.as_str()).collect();
            faults.push(unknown_name("window", wanted, *span, &known));
        }
        // Without one of its windows it would lend when it must not.
        not_during = not_during.zip(place).map(|(mut all, place)| {
            all.push(place);
            all
        });
    }
    let floor = v.share("floor");
    Some(Credit {
        tenant: section.name.clone(),
        credit_limit: v.time("line")?,
        term: v.time("term").unwrap_or_default(),
        write_off: v.time("write-off").unwrap_or_default(),
        // Upwards: what is said to stay stays.
        floor: (u64::from(floor.part) * 1_000).div_ceil(u64::from(floor.whole.max(1))) as u32,
        classes: Some(v.collect("class", name_of)).filter(|classes| !classes.is_empty())?,
        rate: rate?,
        not_during: not_during?,
    })
}
