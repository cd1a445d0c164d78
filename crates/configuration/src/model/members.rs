//! The members of a fleet: how its proxies reach one another, and which they are.

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
    /// Of the roster; raised with each change of it.
    pub version: u64,
    /// Where this proxy hears the others.
    pub listen: SocketAddr,
    /// The file with the fleet's keys.
    pub key_file: PathBuf,
    /// Each member asks another one this often.
    pub period: Duration,
    /// For how long a member may deny its death.
    pub suspicion: Duration,
    /// In the order of the file, this proxy among them.
    pub roster: Vec<Member>,
}

/// The section `member`: one proxy of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The platform's name for the proxy.
    pub name: String,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// The part of a rollout that it belongs to; may be empty.
    pub region: String,
}

/// `partial`: some of the files could not be read, so that sections which are missing may stand there.
pub(super) fn members(
    sections: &[Section],
    partial: bool,
    faults: &mut Vec<Diagnostic>,
) -> Option<Members> {
    let stated: Vec<&Section> = sections_of(sections, "member").collect();
    let Some(section) = sections_of(sections, "members").next() else {
        if let Some(first) = stated.first().filter(|_| !partial) {
            let message = "a member is stated, but no section members";
            let fault = Diagnostic::error("missing", first.span, message).label("has no effect");
            let help = "write a section members { ... } with version, listen and key-file";
            faults.push(fault.help(help));
        }
        return None;
    };
    if stated.is_empty() && !partial {
        let fault = Diagnostic::error("missing", section.span, "the roster is empty");
        let help = "write a section member NAME { ... } for each proxy, this one too";
        faults.push(fault.label("has no members").help(help));
    }
    if let Some(first) = stated.get(MEMBERS_LIMIT) {
        let number = stated.len();
        let message = format!("there are {number} members; at most {MEMBERS_LIMIT} are allowed");
        faults.push(Diagnostic::error("many-members", first.span, message).label("one too many"));
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
        let whose = format!("the member {}", section.name);
        require_directive(section, "address", &whose, faults);
        let v = Values::of(section);
        let (Some(address), Some(setting)) = (v.address("address"), section.setting("address"))
        else {
            continue;
        };
        if address.port() == 0 || address.ip().is_unspecified() {
            let message = format!("nothing can be sent to {address}");
            let fault =
                Diagnostic::error("bad-value", setting.span, message).label("of no single place");
            faults.push(fault.help("state the address and port at which the others reach it"));
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
            format!("a member's name has {length} bytes; at most {MEMBER_NAME_LIMIT} are allowed");
        faults.push(Diagnostic::error("section-name", section.span, message).label("too long"));
    }
}

fn repeated_address(address: SocketAddr, setting: &Setting, other: &Section) -> Diagnostic {
    let message = format!("the address {address} is that of the member {}", other.name);
    let fault = Diagnostic::error("cross-check", setting.span, message).label("a second one there");
    match other.setting("address") {
        Some(first) => fault.related(first.span, "first stated here"),
        None => fault,
    }
}
