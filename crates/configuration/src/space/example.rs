//! Example requests of a region, for people to read.

use super::{Space, V4};
use crate::calendar::Moment;
use crate::ranges::{Dimension, Ranges, Region};
use crate::route::{self, Request};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// A complete request, in the form that `explain` accepts.
#[derive(Clone, Debug, PartialEq)]
pub struct Example {
    /// Name of the class.
    pub class: String,
    /// Name of the tenant; empty if the request has none.
    pub tenant: String,
    /// The group of record servers.
    pub group: u32,
    /// The statement.
    pub statement: Vec<u8>,
    /// The client's address.
    pub client: IpAddr,
    /// Time of arrival.
    pub at: Moment,
    /// Offset from UTC of the time that is shown, in seconds, positive to the east.
    pub offset: i32,
}

impl Example {
    /// The properties of the request that routes check.
    pub fn request(&self) -> Request<'_> {
        Request {
            class: &self.class,
            tenant: &self.tenant,
            group: self.group,
            statement: &self.statement,
            client: self.client,
            at: self.at,
        }
    }
}

impl fmt::Display for Example {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "class={}", self.class)?;
        if !self.tenant.is_empty() {
            write!(f, ",tenant={}", self.tenant)?;
        }
        write!(f, ",group={},network={}", self.group, self.client)?;
        write!(f, ",at={}", self.at.local(self.offset))?;
        if !self.statement.is_empty() {
            write!(f, ",statement={}", String::from_utf8_lossy(&self.statement))?;
        }
        Ok(())
    }
}

impl Space {
    /// A request of a region; `None` if the region is empty.
    pub fn example(&self, region: &Region) -> Option<Example> {
        let point = region.example()?;
        let named =
            |names: &[String], at: u128| names.get(at as usize).cloned().unwrap_or_default();
        // Prefers the local address, then an IPv4 address, if the region contains one.
        let network = region.dimension(Dimension::Network);
        let v4 = network.and(&Ranges::one(V4.0, V4.1));
        let local = route::address_number(IpAddr::V4(Ipv4Addr::LOCALHOST));
        let client = match (network.contains(local), v4.first()) {
            (true, _) => local,
            (false, Some(first)) => first,
            (false, None) => point[Dimension::Network as usize],
        };
        let client = match Ipv6Addr::from(client).to_ipv4_mapped() {
            Some(v4) => IpAddr::V4(v4),
            None => IpAddr::V6(client.into()),
        };
        let class = match self.names.classes.get(point[0] as usize) {
            Some(name) => name.clone(),
            None => self.unused_class_name("another"),
        };
        Some(Example {
            class,
            tenant: named(&self.names.tenants, point[1]),
            group: u32::try_from(point[2]).unwrap_or_default(),
            statement: self
                .bounds
                .get(point[3] as usize)
                .cloned()
                .unwrap_or_default(),
            client,
            at: self.pieces.example(region.dimension(Dimension::Time))?,
            offset: self.offset,
        })
    }

    /// A name that no class has.
    fn unused_class_name(&self, name: &str) -> String {
        let mut name = name.to_owned();
        while self.class_number.contains_key(&name) {
            name.push('-');
        }
        name
    }
}
