//! What tenants may borrow beyond their quota, and how the fleet agrees on it.

use super::required::{require_directive, require_members};
use super::window::NamedWindow;
use crate::check::{unknown_name, Section, Setting};
use crate::diagnostic::Diagnostic;
use crate::schema::CREDITS_LIMIT;
use crate::value::{format_time, Value};
use crate::values::{name_of, sections_of, Values};
use std::path::PathBuf;
use std::time::Duration;

/// The section `lending`: loans of quota among the proxies.
#[derive(Clone, Debug, PartialEq)]
pub struct Lending {
    /// A directory for the book of loans; without it a restarted proxy has lost it.
    pub state_file: Option<PathBuf>,
    /// How long a lease lasts.
    pub lease: Duration,
    /// How often the proxies exchange their balances.
    pub exchange_interval: Duration,
    /// Longest term and write-off together of any credit. The same at all proxies.
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

/// So many exchanges fit into a lease, so that a lost one does not end it.
const EXCHANGES_OF_LEASE: u32 = 3;

/// `partial`: some of the files could not be read.
pub(super) fn lending(
    sections: &[Section],
    windows: &[NamedWindow],
    partial: bool,
    faults: &mut Vec<Diagnostic>,
) -> Option<Lending> {
    let Some(section) = sections_of(sections, "lending").next() else {
        if !partial {
            check_no_credits(sections, faults);
        }
        return None;
    };
    if !partial {
        let label = "has nobody to agree with";
        require_members(sections, section, "lending", label, faults);
    }
    if let Some(fault) = too_many_credits(sections) {
        faults.push(fault);
        return None;
    }
    let v = Values::of(section);
    let time = |keyword| v.time(keyword).unwrap_or_default();
    let mut lending = Lending {
        state_file: v.path("state"),
        lease: time("lease"),
        exchange_interval: time("step"),
        max_loan_time: time("longest"),
        credits: Vec::new(),
    };
    check_lease(section, &lending, faults);
    for stated in sections_of(sections, "credit") {
        check_loan_time(stated, section, lending.max_loan_time, faults);
        lending
            .credits
            .extend(credit(stated, windows, partial, faults));
    }
    Some(lending)
}

/// A credit has no effect without the section `lending`.
fn check_no_credits(sections: &[Section], faults: &mut Vec<Diagnostic>) {
    if let Some(first) = sections_of(sections, "credit").next() {
        let message = "a credit is stated, but no section lending";
        let fault = Diagnostic::error("missing", first.span, message).label("nobody lends");
        faults.push(fault.help("write a section lending { ... }, which may state nothing"));
    }
}

fn too_many_credits(sections: &[Section]) -> Option<Diagnostic> {
    let first = sections_of(sections, "credit").nth(CREDITS_LIMIT)?;
    let number = sections_of(sections, "credit").count();
    let message = format!("there are {number} credits; at most {CREDITS_LIMIT} are allowed");
    let fault = Diagnostic::error("many-credits", first.span, message).label("one too many");
    Some(fault.help("keep a section credit only for stands that have to borrow"))
}

fn check_lease(section: &Section, lending: &Lending, faults: &mut Vec<Diagnostic>) {
    let (lease, step) = (lending.lease, lending.exchange_interval);
    if step * EXCHANGES_OF_LEASE <= lease {
        return;
    }
    let Some(at) = either(section, ["step", "lease"]) else {
        return;
    };
    let message = format!(
        "step ({}) is more than a third of lease ({})",
        format_time(step),
        format_time(lease)
    );
    let most = Duration::from_millis((lease / EXCHANGES_OF_LEASE).as_millis() as u64);
    let least = step * EXCHANGES_OF_LEASE;
    let help = format!(
        "state a step of at most {}, or a lease of {} or more",
        format_time(most),
        format_time(least)
    );
    let fault = Diagnostic::error("cross-check", at.span, message);
    faults.push(fault.label("one late beat would end it").help(help));
}

/// The first of two settings that is stated, in a section of which all lines could be read.
fn either<'a>(section: &'a Section, keywords: [&str; 2]) -> Option<&'a Setting> {
    keywords
        .into_iter()
        .find_map(|keyword| section.setting(keyword))
        .filter(|_| !section.partial)
}

/// Term and write-off together must not be longer than the longest.
fn check_loan_time(
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
    let whose = format!("the credit {}", section.name);
    for keyword in ["line", "class", "rate"] {
        require_directive(section, keyword, &whose, faults);
    }
    let v = Values::of(section);
    let rate = rate_per_second(section, faults);
    let not_during = closed_windows(section, windows, partial, faults);
    let floor = v.share("floor");
    Some(Credit {
        tenant: section.name.clone(),
        credit_limit: v.time("line")?,
        term: v.time("term").unwrap_or_default(),
        write_off: v.time("write-off").unwrap_or_default(),
        // Rounded up: at least the stated share stays.
        floor: (u64::from(floor.part) * 1_000).div_ceil(u64::from(floor.whole.max(1))) as u32,
        classes: Some(v.collect("class", name_of)).filter(|classes| !classes.is_empty())?,
        rate: rate?,
        not_during: not_during?,
    })
}

fn rate_per_second(section: &Section, faults: &mut Vec<Diagnostic>) -> Option<u64> {
    let Some(Value::Rate(rate)) = Values::of(section).value("rate") else {
        return None;
    };
    match section.setting("rate") {
        Some(at) if rate.per != Duration::from_secs(1) => {
            let message = format!("{rate} is not of a second");
            let fault = Diagnostic::error("bad-value", at.span, message)
                .label("what is lent is counted by the second");
            faults.push(fault.help("write it as requests a second, for example 100/s"));
            None
        }
        _ => Some(u64::from(rate.number)),
    }
}

/// Positions of the windows in which nothing is lent. None if one is not defined: the credit would lend when it must not.
fn closed_windows(
    section: &Section,
    windows: &[NamedWindow],
    partial: bool,
    faults: &mut Vec<Diagnostic>,
) -> Option<Vec<usize>> {
    let mut positions = Some(Vec::new());
    for (value, span) in section.values("not-during") {
        let Value::Name(wanted) = value else { continue };
        let position = windows.iter().position(|w| w.name == *wanted);
        if position.is_none() && !partial {
            let known: Vec<&str> = windows.iter().map(|w| w.name.as_str()).collect();
            faults.push(unknown_name("window", wanted, *span, &known));
        }
        positions = positions.zip(position).map(|(mut all, position)| {
            all.push(position);
            all
        });
    }
    positions
}
