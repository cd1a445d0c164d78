//! Member configuration of the proxies, and faults of the datagrams between them.

use crate::datagrams::{DatagramFaults, DatagramLink};
use crate::discovery::zone;
use crate::process::{Fault, EVENT_TIMEOUT};
use crate::{Setup, Testbed};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rustc_hash::FxHashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::runtime::Handle;

/// Key: sending and receiving proxy.
pub type DatagramLinks = FxHashMap<(usize, usize), DatagramLink>;

/// The file of datagram keys in a proxy's folder.
pub const KEY_FILE: &str = "members.key";
/// Log line of a proxy whose member socket is open; the address follows.
pub const LISTENING_LINE: &str = "members: heard on ";
/// A proxy's own address in its own roster, to which nothing is sent.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";
/// Interval between two reads of a proxy's metrics.
const METRIC_POLL: Duration = Duration::from_millis(20);

/// Settings of the members: all proxies on one roster.
#[derive(Clone, Debug)]
pub struct Members {
    /// The version of the roster.
    pub version: u64,
    /// Further lines of the `members` section.
    pub settings: String,
    /// Numbers of the keys in the key file, in order.
    pub keys: Vec<u64>,
    /// Proxies on the roster; empty: all. Other proxies have no roster and exchange no messages.
    pub roster: Vec<usize>,
    /// Region of each proxy; proxies beyond the end use their place.
    pub regions: Vec<String>,
}

impl Default for Members {
    fn default() -> Members {
        Members {
            version: 1,
            settings: "period 100ms".to_owned(),
            keys: vec![1],
            roster: Vec::new(),
            regions: Vec::new(),
        }
    }
}

impl Members {
    /// Whether a proxy is on the roster.
    pub fn includes(&self, proxy: usize) -> bool {
        self.roster.is_empty() || self.roster.contains(&proxy)
    }

    /// Contents of the key file. A key number gives the same key for all proxies.
    pub fn key_file(&self, seed: u64) -> String {
        let key = |number: &u64| {
            let mut draws = Xoshiro256PlusPlus::seed_from_u64(seed ^ number << 32);
            (0..4)
                .map(|_| format!("{:016x}", draws.random::<u64>()))
                .collect::<String>()
                + "\n"
        };
        self.keys.iter().map(key).collect()
    }
}

/// Opens a relay for each ordered pair of proxies.
pub(crate) fn datagram_links(
    on: &Handle,
    proxies: usize,
    seed: u64,
) -> Result<DatagramLinks, Fault> {
    let pairs = (0..proxies).flat_map(|from| (0..proxies).map(move |to| (from, to)));
    let open = |(from, to): (usize, usize)| {
        let seed = seed.wrapping_add((from as u64) << 40 | (to as u64) << 20 | 1);
        Ok(((from, to), DatagramLink::open(on, seed)?))
    };
    pairs.filter(|(from, to)| from != to).map(open).collect()
}

/// The `members` section of a proxy's operators' file.
pub(crate) fn section(
    setup: &Setup,
    datagram_links: &DatagramLinks,
    proxy: usize,
    folder: &Path,
) -> String {
    let Some(members) = setup
        .members
        .as_ref()
        .filter(|members| members.includes(proxy))
    else {
        return String::new();
    };
    let mut text = format!(
        "members {{\n version {}\n listen 127.0.0.1:0\n key-file {}\n",
        members.version,
        folder.join(KEY_FILE).display()
    );
    for line in members.settings.lines() {
        text += &format!(" {}\n", line.trim());
    }
    text += "}\n";
    for member in (0..setup.clients.proxies).filter(|member| members.includes(*member)) {
        let address = datagram_links
            .get(&(proxy, member))
            .map_or_else(|| UNUSED_ADDRESS.to_owned(), |t| t.address.to_string());
        let region = region(setup, members, member);
        // Writing to a string cannot fail.
        _ = write!(
            text,
            "member n{member} {{\n address {address}\n region {region}\n}}\n"
        );
    }
    text
}

fn region(setup: &Setup, members: &Members, member: usize) -> String {
    let place = || zone((member % setup.site.places.max(1)) as u16);
    members.regions.get(member).cloned().unwrap_or_else(place)
}

impl Testbed {
    pub(crate) fn region(&self, member: usize) -> String {
        self.setup
            .members
            .as_ref()
            .map_or_else(String::new, |members| region(&self.setup, members, member))
    }

    /// The datagram link from one proxy to another; a fault without [`Setup::members`].
    pub fn datagram_link(&self, from: usize, to: usize) -> Result<DatagramLink, Fault> {
        let link = self.datagram_links.get(&(from, to)).cloned();
        link.ok_or_else(|| {
            Fault::new(format!(
                "no datagram link from proxy {from} to proxy {to}: set Setup::members"
            ))
        })
    }

    /// All datagram links, each with its sending and receiving proxy.
    pub fn datagram_links(&self) -> impl Iterator<Item = ((usize, usize), &DatagramLink)> {
        self.datagram_links.iter().map(|(pair, link)| (*pair, link))
    }

    /// Cuts all datagrams between these groups. Proxies in none of the groups stay connected to all.
    pub fn partition(&self, groups: &[&[usize]]) {
        let of = |proxy: usize| groups.iter().position(|group| group.contains(&proxy));
        for ((from, to), link) in self.datagram_links() {
            if let (Some(here), Some(there)) = (of(from), of(to)) {
                if here != there {
                    link.cut();
                }
            }
        }
    }

    /// Cuts the datagrams from `to` to `from`, so that they pass in one direction only.
    pub fn one_way(&self, from: usize, to: usize) -> Result<(), Fault> {
        self.datagram_link(to, from)?.cut();
        Ok(())
    }

    /// Sets the same faults on all datagram links.
    pub fn set_datagram_faults(&self, faults: impl Into<DatagramFaults>) {
        let faults = faults.into();
        self.datagram_links().for_each(|(_, link)| link.set(faults));
    }

    /// Removes the faults of all datagram links.
    pub fn heal_datagrams(&self) {
        self.set_datagram_faults(DatagramFaults::default());
    }

    /// Sets the address to which the datagrams of all others to a proxy are forwarded.
    pub fn set_datagram_target(&self, to: usize, target: Option<SocketAddr>) {
        for ((_, hears), link) in self.datagram_links() {
            if hears == to {
                link.set_target(target);
            }
        }
    }

    /// Reads a proxy's metric until it satisfies `is`, and returns its value; needs [`Setup::admin`].
    pub fn metric_until(
        &self,
        proxy: usize,
        name: &str,
        mut is: impl FnMut(u64) -> bool,
    ) -> Result<u64, Fault> {
        let until = Instant::now() + EVENT_TIMEOUT;
        loop {
            let figures = self.metrics(proxy);
            let value = figures
                .as_ref()
                .ok()
                .and_then(|figures| figures.get(name).copied());
            if let Some(value) = value.filter(|value| is(*value)) {
                return Ok(value);
            }
            if Instant::now() >= until {
                let figures = figures?;
                let mut lines: Vec<_> = figures
                    .iter()
                    .map(|(name, n)| format!("{name} {n}"))
                    .collect();
                lines.sort();
                let value =
                    value.map_or_else(|| "not exported".to_owned(), |value| value.to_string());
                let problem =
                    format!("metrics of proxy {proxy}: {name} is {value}, timed out waiting for the expected value");
                return Err(Fault {
                    problem,
                    lines,
                    code: None,
                });
            }
            std::thread::sleep(METRIC_POLL);
        }
    }
}
