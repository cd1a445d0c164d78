//! Sections `members` and `member`: the roster of the fleet, and how its proxies detect one another.

use super::required::require_directive;
use crate::check::{Section, Setting};
use crate::diagnostic::Diagnostic;
use crate::schema::{MEMBERS_LIMIT, MEMBER_NAME_LIMIT};
use crate::values::{sections_of, Values};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The section `members`: the fleet that this proxy belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Members {
    /// Version of the roster, which operators increase with each change.
    pub version: u64,
    /// UDP address on which this proxy receives messages of the others.
    pub listen: SocketAddr,
    /// The file with the fleet's keys.
    pub key_file: PathBuf,
    /// Interval at which each member probes another one.
    pub period: Duration,
    /// How long a member that does not answer may still refute that it is down.
    pub suspicion: Duration,
    /// All members, including this proxy, in the order of the file.
    pub roster: Vec<Member>,
}

/// The section `member`: one proxy of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The platform's name for the proxy.
    pub name: String,
    /// UDP address on which the member receives messages.
    pub address: SocketAddr,
    /// Region of the member in a rollout; empty if it has none.
    pub region: String,
}

/// `partial`: some of the files could not be read, so a missing section may be defined there.
pub(super) fn members(
    sections: &[Section],
    partial: bool,
    faults: &mut Vec<Diagnostic>,
) -> Option<Members> {
    let stated: Vec<&Section> = sections_of(sections, "member").collect();
    let Some(section) = sections_of(sections, "members").next() else {
        if let Some(first) = stated.first().filter(|_| !partial) {
            let message = "a section member requires a section members";
            let fault = Diagnostic::error("missing", first.span, message)
                .label("has no effect without members");
            let help = "add a section members { ... } with version, listen and key-file";
            faults.push(fault.help(help));
        }
        return None;
    };
    if stated.is_empty() && !partial {
        let fault = Diagnostic::error(
            "missing",
            section.span,
            "the section members has an empty roster",
        );
        let help = "add a section member NAME { ... } for each proxy, including this one";
        faults.push(fault.label("no section member is defined").help(help));
    }
    if let Some(first) = stated.get(MEMBERS_LIMIT) {
        let number = stated.len();
        let message = format!("there are {number} sections member; the maximum is {MEMBERS_LIMIT}");
        faults.push(
            Diagnostic::error("many-members", first.span, message).label("limit exceeded here"),
        );
        return None;
    }
    let roster = parse_members(&stated, faults);
    for keyword in ["version", "listen", "key-file"] {
        require_directive(section, keyword, "the section members", faults);
    }
    let v = Values::of(section);
    Some(Members {
        version: v.count("version")?,
        listen: v.address("listen")?,
        key_file: v.path("key-file")?,
        period: v.time("period").unwrap_or_default(),
        suspicion: v.time("suspicion").unwrap_or_default(),
        roster,
    })
}

fn parse_members(stated: &[&Section], faults: &mut Vec<Diagnostic>) -> Vec<Member> {
    let mut roster = Vec::with_capacity(stated.len());
    let mut addresses: HashMap<SocketAddr, &Section> = HashMap::new();
    for section in stated {
        check_name(section, faults);
        let owner = format!("the member {}", section.name);
        require_directive(section, "address", &owner, faults);
        let v = Values::of(section);
        let (Some(address), Some(setting)) = (v.address("address"), section.setting("address"))
        else {
            continue;
        };
        if address.port() == 0 || address.ip().is_unspecified() {
            let message = format!("{address} is not an address that messages can be sent to");
            let fault = Diagnostic::error("bad-value", setting.span, message)
                .label("port 0 or unspecified address");
            faults.push(
                fault.help("set the address and port on which the other members reach this one"),
            );
        } else if let Some(other) = addresses.get(&address) {
            faults.push(repeated_address(address, setting, other));
        } else {
            addresses.insert(address, section);
        }
        roster.push(Member {
            name: section.name.clone(),
            address,
            region: v.name("region").unwrap_or_default(),
        });
    }
    roster
}

fn check_name(section: &Section, faults: &mut Vec<Diagnostic>) {
    let length = section.name.len();
    if length > MEMBER_NAME_LIMIT {
        let message =
            format!("the name of a member has {length} bytes; the maximum is {MEMBER_NAME_LIMIT}");
        faults
            .push(Diagnostic::error("section-name", section.span, message).label("name too long"));
    }
}

fn repeated_address(address: SocketAddr, setting: &Setting, other: &Section) -> Diagnostic {
    let message = format!(
        "the address {address} is already used by the member {}",
        other.name
    );
    let fault = Diagnostic::error("cross-check", setting.span, message).label("duplicate address");
    match other.setting("address") {
        Some(first) => fault.related(first.span, "first used here"),
        None => fault,
    }
}
