//! Sections `lending` and `credit`: loans of quota among the proxies, and what each tenant may borrow.

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
    /// Directory for the record of loans; without it, a restarted proxy starts without a record.
    pub state_file: Option<PathBuf>,
    /// Duration of a lease. Must be the same on all proxies.
    pub lease: Duration,
    /// Interval at which the proxies exchange their balances.
    pub exchange_interval: Duration,
    /// Maximum of term plus write-off of any credit. Must be the same on all proxies.
    pub max_loan_time: Duration,
    /// The tenants that may borrow.
    pub credits: Vec<Credit>,
}

/// The section `credit`: what one tenant may borrow.
#[derive(Clone, Debug, PartialEq)]
pub struct Credit {
    /// The platform's name of the tenant.
    pub tenant: String,
    /// Maximum that the tenant may owe, as time of its quota of the whole fleet.
    pub credit_limit: Duration,
    /// Time within which a loan is repaid.
    pub term: Duration,
    /// Time after the term at which an unpaid loan is written off.
    pub write_off: Duration,
    /// Part of the quota that the tenant always keeps, in thousandths.
    pub floor: u32,
    /// Names of the classes for which loans are made.
    pub classes: Vec<String>,
    /// Maximum number of requests that all proxies together lend per second.
    pub rate: u64,
    /// Positions in the model's windows; nothing is lent during these.
    pub not_during: Vec<usize>,
}

/// Minimum number of exchanges during a lease, so that a lost one does not end it.
const EXCHANGES_OF_LEASE: u32 = 3;

/// `partial`: some of the files could not be read, so a missing section may be defined there.
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
        let label = "no members to lend quota among";
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

/// Reports a credit without the section `lending`, which has no effect.
fn check_no_credits(sections: &[Section], faults: &mut Vec<Diagnostic>) {
    if let Some(first) = sections_of(sections, "credit").next() {
        let message = "a section credit requires a section lending";
        let fault = Diagnostic::error("missing", first.span, message)
            .label("has no effect without lending");
        faults.push(fault.help("add a section lending { ... }, which may be empty"));
    }
}

fn too_many_credits(sections: &[Section]) -> Option<Diagnostic> {
    let first = sections_of(sections, "credit").nth(CREDITS_LIMIT)?;
    let number = sections_of(sections, "credit").count();
    let message = format!("there are {number} sections credit; the maximum is {CREDITS_LIMIT}");
    let fault = Diagnostic::error("many-credits", first.span, message).label("limit exceeded here");
    Some(fault.help("keep a section credit only for tenants that need to borrow"))
}

fn check_lease(section: &Section, lending: &Lending, faults: &mut Vec<Diagnostic>) {
    let (lease, step) = (lending.lease, lending.exchange_interval);
    if step * EXCHANGES_OF_LEASE <= lease {
        return;
    }
    let Some(at) = first_set(section, ["step", "lease"]) else {
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
        "set step to at most {}, or lease to at least {}",
        format_time(most),
        format_time(least)
    );
    let fault = Diagnostic::error("cross-check", at.span, message);
    faults.push(
        fault
            .label("a single late exchange would end the lease")
            .help(help),
    );
}

/// The first of two settings that is set; `None` if the section has invalid lines.
fn first_set<'a>(section: &'a Section, keywords: [&str; 2]) -> Option<&'a Setting> {
    keywords
        .into_iter()
        .find_map(|keyword| section.setting(keyword))
        .filter(|_| !section.partial)
}

/// Reports a credit whose term plus write-off exceeds `longest`.
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
    let at = first_set(credit, ["term", "write-off"]).map_or(credit.span, |setting| setting.span);
    let (all, most) = (format_time(term + write_off), format_time(longest));
    let message = format!(
        "term ({}) and write-off ({}) of the credit {} add up to {all}, but longest is {most}",
        format_time(term),
        format_time(write_off),
        credit.name
    );
    let fault = Diagnostic::error("cross-check", at, message).label("above longest");
    let fault = fault.help(format!(
        "reduce term or write-off, or set `longest {all}` in the section lending"
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
    let owner = format!("the credit {}", section.name);
    for keyword in ["line", "class", "rate"] {
        require_directive(section, keyword, &owner, faults);
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
        // Rounded up, so that the tenant keeps at least the configured share.
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
            let message = format!("the rate {rate} is not per second");
            let fault = Diagnostic::error("bad-value", at.span, message)
                .label("the rate of a credit must be per second");
            faults.push(fault.help("write it as requests per second, for example 100/s"));
            None
        }
        _ => Some(u64::from(rate.number)),
    }
}

/// Positions of the windows in which nothing is lent. `None` if one of them is not defined, since the credit would lend at
/// times when it must not.
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
