//! The sections `discovery` and `listener`.

use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::values::{network_of, sections_of, Values};
use ipnet::IpNet;
use std::net::SocketAddr;
use std::time::Duration;

/// The section `discovery`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Discovery {
    /// Address of the discovery service.
    pub address: Option<SocketAddr>,
    /// Time without data after which a watch is replaced.
    pub max_watch_silence: Duration,
}

/// A section `listener`: where clients connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listener {
    /// Its name.
    pub name: String,
    /// The address to listen on.
    pub address: Option<SocketAddr>,
    /// Networks of balancers that send a PROXY header with the client's address.
    pub proxy_protocol_networks: Vec<IpNet>,
}

pub(super) fn discovery(sections: &[Section]) -> Discovery {
    let v = Values::of_single(sections, "discovery");
    Discovery {
        address: v.address("address"),
        max_watch_silence: v.time("watch-silence").unwrap_or_default(),
    }
}

pub(super) fn listeners(sections: &[Section], faults: &mut Vec<Diagnostic>) -> Vec<Listener> {
    for section in sections_of(sections, "listener").skip(1) {
        let message = "only one section listener is supported";
        let fault = Diagnostic::error("many-listeners", section.span, message);
        faults.push(fault.label("remove this section"));
    }
    for section in sections_of(sections, "listener") {
        if !section.partial && section.setting("address").is_none() {
            let fault = Diagnostic::error("missing", section.span, "the listener has no address");
            faults.push(fault.label("address is missing here"));
        }
    }
    sections_of(sections, "listener")
        .map(|section| {
            let v = Values::of(section);
            Listener {
                name: section.name.clone(),
                address: v.address("address"),
                proxy_protocol_networks: v.collect("proxy-from", network_of),
            }
        })
        .collect()
}
