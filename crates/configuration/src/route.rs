//! Routes: their conditions, their outcome, and the linear search for the first route whose conditions hold.

use crate::calendar::{Moment, Window};
use crate::source::Span;
use ipnet::IpNet;
use std::fmt;
use std::net::IpAddr;
use std::ops::RangeInclusive;
use std::time::Duration;

/// The priority of a request in its pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Low priority.
    Low,
    /// Normal priority.
    #[default]
    Normal,
    /// High priority, which may use the whole reserve of the pool.
    High,
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Priority::Low => "low",
            Priority::Normal => "normal",
            Priority::High => "high",
        })
    }
}

/// Conditions for a request, all of which must hold. A list holds if one of its values matches, an empty list always.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Conditions {
    /// Names of classes.
    pub classes: Vec<String>,
    /// Names of tenants.
    pub tenants: Vec<String>,
    /// Ranges of groups.
    pub groups: Vec<RangeInclusive<u32>>,
    /// Prefixes of statements, normalized by [`fold_case`].
    pub statements: Vec<String>,
    /// Networks of clients.
    pub networks: Vec<IpNet>,
    /// Positions of windows in the model.
    pub during: Vec<usize>,
}

/// How a request is handled; the default is the handling without routes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Outcome {
    /// Name of the pool that the request counts against.
    pub pool: Option<String>,
    /// Name of the class as which the request is handled.
    pub as_class: Option<String>,
    /// A shorter deadline.
    pub deadline: Option<Duration>,
    /// Priority in the pool.
    pub priority: Priority,
    /// A lower attempt limit.
    pub attempt_limit: Option<u16>,
    /// The request is rejected; with a time, the client receives it as Retry-After.
    pub reject: Option<Option<Duration>>,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut words = Vec::new();
        if let Some(after) = &self.reject {
            words.push(match after {
                Some(after) => {
                    format!(
                        "refused, with a Retry-After of {}",
                        crate::value::format_time(*after)
                    )
                }
                None => "refused".to_owned(),
            });
        }
        words.extend(self.pool.as_ref().map(|pool| format!("pool {pool}")));
        words.extend(
            self.as_class
                .as_ref()
                .map(|class| format!("as class {class}")),
        );
        words.extend(
            self.deadline
                .map(|span| format!("deadline {}", crate::value::format_time(span))),
        );
        if self.priority != Priority::Normal {
            words.push(format!("priority {}", self.priority));
        }
        words.extend(self.attempt_limit.map(|tries| format!("tries {tries}")));
        if words.is_empty() {
            words.push("default handling".to_owned());
        }
        f.write_str(&words.join(", "))
    }
}

/// A section `route`.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// Place of the section.
    pub span: Span,
    /// Conditions of the route.
    pub conditions: Conditions,
    /// How requests are handled for which the conditions hold.
    pub outcome: Outcome,
}

/// The properties of a request that routes check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request<'a> {
    /// Name of the class.
    pub class: &'a str,
    /// Name of the tenant; empty if the request has none.
    pub tenant: &'a str,
    /// The group of record servers.
    pub group: u32,
    /// The statement as it was sent.
    pub statement: &'a [u8],
    /// The client's address.
    pub client: IpAddr,
    /// Time of arrival.
    pub at: Moment,
}

/// Normalizes a prefix of statements for comparison: without leading blanks, in lower case.
pub fn fold_case(text: &str) -> String {
    text.trim_start_matches(|c: char| c.is_ascii_whitespace())
        .to_ascii_lowercase()
}

/// Whether a statement begins with a prefix normalized by [`fold_case`], ignoring leading blanks and letter case.
pub fn starts_with_folded(statement: &[u8], prefix: &str) -> bool {
    let text = statement.trim_ascii_start();
    let prefix = prefix.as_bytes();
    text.len() >= prefix.len()
        && text
            .iter()
            .zip(prefix)
            .all(|(a, b)| a.to_ascii_lowercase() == *b)
}

/// An address as a number; IPv4 addresses are mapped into IPv6.
pub fn address_number(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(v4) => u128::from(v4.to_ipv6_mapped()),
        IpAddr::V6(v6) => u128::from(v6),
    }
}

/// A network as the number of its first address and the length of its prefix in bits.
pub fn network_prefix(network: &IpNet) -> (u128, u8) {
    match network {
        IpNet::V4(net) => (address_number(net.network().into()), net.prefix_len() + 96),
        IpNet::V6(net) => (u128::from(net.network()), net.prefix_len()),
    }
}

/// The bit mask of a prefix of this length.
pub fn prefix_mask(length: u8) -> u128 {
    u128::MAX.checked_shl(128 - u32::from(length)).unwrap_or(0)
}

/// The directive of the first condition that does not hold; `None` if all hold.
pub fn first_unmet_condition(
    conditions: &Conditions,
    windows: &[Window],
    request: &Request<'_>,
) -> Option<&'static str> {
    let Conditions {
        classes,
        tenants,
        groups,
        statements,
        networks,
        during,
    } = conditions;
    let among = |names: &[String], name: &str| names.is_empty() || names.iter().any(|n| n == name);
    let client = address_number(request.client);
    let inside = |network: &IpNet| {
        let (first, length) = network_prefix(network);
        client & prefix_mask(length) == first
    };
    let held = |window: &usize| windows.get(*window).is_some_and(|w| w.contains(request.at));
    if !among(classes, request.class) {
        Some("class")
    } else if !among(tenants, request.tenant) {
        Some("tenant")
    } else if !groups.is_empty() && !groups.iter().any(|range| range.contains(&request.group)) {
        Some("group")
    } else if !networks.is_empty() && !networks.iter().any(inside) {
        Some("network")
    } else if !statements.is_empty()
        && !statements
            .iter()
            .any(|p| starts_with_folded(request.statement, p))
    {
        Some("statement")
    } else if !during.is_empty() && !during.iter().any(held) {
        Some("during")
    } else {
        None
    }
}

/// The position of the first route whose conditions hold, by linear search.
pub fn find_first(routes: &[Route], windows: &[Window], request: &Request<'_>) -> Option<usize> {
    routes
        .iter()
        .position(|route| first_unmet_condition(&route.conditions, windows, request).is_none())
}
