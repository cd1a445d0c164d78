//! One request of a region, for people to read.

use super::{Space, V4};
use crate::calendar::Moment;
use crate::ranges::{Dimension, Ranges, Region};
use crate::route::{self, Request};
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// A request in full, as `explain` takes it.
#[derive(Clone, Debug, PartialEq)]
pub struct Example {
    /// The class's name.
    pub class: String,
    /// The tenant's name.
    pub tenant: String,
    /// The group.
    pub group: u32,
    /// The statement.
    pub statement: Vec<u8>,
    /// The client's address.
    pub client: IpAddr,
    /// When it comes.
    pub at: Moment,
    /// Seconds east of UTC in which the time is shown.
    pub offset: i32,
}

impl Example {
    /// The request as routes see it.
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
    /// Some request of a region.
    pub fn example(&self, region: &Region) -> Option<Example> {
        let point = region.example()?;
        let named =
            |names: &[String], at: u128| names.get(at as usize).cloned().unwrap_or_default();
        // An everyday address where the region has one.
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
            None => self.unused("another"),
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
    fn unused(&self, name: &str) -> String {
        let mut name = name.to_owned();
        while self.class_number.contains_key(&name) {
            name.push('-');
        }
        name
    }
}
