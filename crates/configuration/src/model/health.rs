//! Sections `health`.

use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::values::{sections_of, Values};
use std::net::SocketAddr;
use std::time::Duration;

/// A section `health`: an address on which balancers' health checks are answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Health {
    /// Its name.
    pub name: String,
    /// `http`, `agent` or `grpc`.
    pub protocol: &'static str,
    /// The address to listen on.
    pub address: SocketAddr,
    /// Set of HTTP statuses: `plain`, `drain-is-404` or `overload-is-429`.
    pub statuses: &'static str,
    /// An agent check begins with a line of the balancer, which is read before the answer is sent.
    pub expects_text: bool,
    /// The answer to an agent check includes `maxconn`.
    pub maxconn: bool,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Time within which a check must be complete and its answer read.
    pub check_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

pub(super) fn health(sections: &[Section], faults: &mut Vec<Diagnostic>) -> Vec<Health> {
    let mut listeners: Vec<Health> = Vec::new();
    for section in sections_of(sections, "health") {
        let v = Values::of(section);
        let Some(address) = v.address("address") else {
            if !section.partial {
                let message = "the health listener has no address";
                let fault = Diagnostic::error("missing", section.span, message);
                faults.push(fault.label("address is missing here"));
            }
            continue;
        };
        check_protocol(section, v.choice("protocol"), faults);
        check_address(section, address, &listeners, faults);
        listeners.push(Health {
            name: section.name.clone(),
            protocol: v.choice("protocol"),
            address,
            statuses: v.choice("statuses"),
            expects_text: v.is_yes("expects-text"),
            maxconn: v.is_yes("maxconn"),
            connections: v.bounded_count("connections").unwrap_or(1),
            check_timeout: v.time("patience").unwrap_or_default(),
            idle_timeout: v.time("idle").unwrap_or_default(),
        });
    }
    listeners
}

/// Reports a directive that has no effect with this protocol.
fn check_protocol(section: &Section, protocol: &str, faults: &mut Vec<Diagnostic>) {
    let without_effect: &[&str] = match protocol {
        "agent" => &["statuses", "idle"],
        "grpc" => &["statuses", "idle", "expects-text", "maxconn"],
        _ => &["expects-text", "maxconn"],
    };
    let stated = without_effect
        .iter()
        .find_map(|keyword| section.setting(keyword));
    if let Some(setting) = stated {
        let message = format!(
            "{} has no meaning for the protocol {protocol}",
            setting.spec.keyword
        );
        let fault = Diagnostic::error("cross-check", setting.span, message);
        faults.push(fault.label("has no effect"));
    }
}

/// Reports an address on which another section listens. Port 0 selects a free port, so it can be used repeatedly.
fn check_address(
    section: &Section,
    address: SocketAddr,
    others: &[Health],
    faults: &mut Vec<Diagnostic>,
) {
    let other = others
        .iter()
        .find(|h| h.address == address && address.port() != 0);
    if let Some(other) = other {
        let message = format!(
            "the address {address} is already used by the health listener {}",
            other.name
        );
        let fault = Diagnostic::error("cross-check", section.span, message);
        faults.push(fault.label("duplicate address"));
    }
}
