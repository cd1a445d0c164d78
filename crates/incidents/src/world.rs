//! Record servers in two buildings, as far as proxies can see them: who is primary, how far each has the log, who
//! reaches whom.

use crate::script::{Servers, PLACES};
use crate::Time;
use std::ops::Range;
use std::time::Duration;

/// Of each group, half of them in each building.
const MEMBERS: u32 = 4;
/// A lost primary is given up and another takes over after this.
const ELECTION: Duration = Duration::from_secs(5);
/// The list drops what is dead, and takes up what is back, after this.
const LIST_LATE: Duration = Duration::from_secs(6);
/// The log's way to a replica.
const SHIP: Duration = Duration::from_millis(8);

/// What a proxy's request to a server meets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// Neither request nor answer passes; connections don't come up.
    Nothing,
    /// Both pass, and the servers behave so.
    Servers(Servers),
}

#[derive(Debug)]
struct Group {
    servers: Servers,
    primary: Option<u32>,
    /// Another takes over then.
    election: Option<Time>,
    /// Where the log ends, while nobody adds to it.
    stands: Time,
}

/// The record servers of two buildings.
#[derive(Debug)]
pub struct World {
    groups: Vec<Group>,
    /// By proxy and building.
    links: Vec<Vec<bool>>,
    powered: Vec<bool>,
    hung: Vec<bool>,
    /// Since when the buildings can't hear each other.
    apart: Option<Time>,
    /// What the list is going to say, when, of which server.
    list: Vec<(Time, u32, bool)>,
}

impl World {
    /// All servers up, all links standing.
    pub fn new(groups: u32, proxies: usize) -> World {
        let places = usize::from(PLACES);
        let group = |number: u32| Group {
            servers: Servers::Answer(1.0),
            // Primaries stand in either building.
            primary: Some(number * MEMBERS + number % u32::from(PLACES)),
            election: None,
            stands: Time::ZERO,
        };
        World {
            groups: (0..groups).map(group).collect(),
            links: vec![vec![true; places]; proxies],
            powered: vec![true; places],
            hung: vec![false; places],
            apart: None,
            list: Vec::new(),
        }
    }

    /// Number of groups.
    pub fn groups(&self) -> u32 {
        self.groups.len() as u32
    }

    /// Number of servers.
    pub fn servers(&self) -> u32 {
        self.groups() * MEMBERS
    }

    /// The servers of a group.
    pub fn members(&self, group: u32) -> Range<u32> {
        group * MEMBERS..(group + 1) * MEMBERS
    }

    /// A server's building.
    pub fn place(&self, server: u32) -> u16 {
        (server % u32::from(PLACES)) as u16
    }

    /// A server's group.
    pub fn group(&self, server: u32) -> u32 {
        server / MEMBERS
    }

    /// The group's primary; none while it takes no writes.
    pub fn primary(&self, group: u32) -> Option<u32> {
        self.groups[group as usize]
            .primary
            .filter(|_| self.writes(group))
    }

    /// Whether somebody adds to the group's log.
    fn writes(&self, group: u32) -> bool {
        matches!(self.groups[group as usize].servers, Servers::Answer(_))
    }

    /// What a server tells of how far it has the log.
    pub fn position(&self, server: u32, now: Time) -> Time {
        let group = &self.groups[self.group(server) as usize];
        let Some(primary) = group.primary.filter(|_| self.writes(self.group(server))) else {
            return group.stands;
        };
        let parted = self
            .apart
            .filter(|_| self.place(primary) != self.place(server));
        if primary == server {
            now
        } else {
            parted.unwrap_or(now).saturating_sub(SHIP)
        }
    }

    /// What a proxy's request to a server meets.
    pub fn reach(&self, proxy: usize, server: u32) -> Reach {
        let place = usize::from(self.place(server));
        if !self.links[proxy][place] || !self.powered[place] {
            Reach::Nothing
        } else if self.hung[place] {
            Reach::Servers(Servers::Silent)
        } else {
            Reach::Servers(self.groups[self.group(server) as usize].servers)
        }
    }

    /// A group behaves so from now on.
    pub fn set_group(&mut self, group: u32, servers: Servers, now: Time) {
        let group = &mut self.groups[group as usize];
        (group.servers, group.stands) = (servers, now);
    }

    /// Sets up or cuts the link from a proxy to a building.
    pub fn link(&mut self, proxy: usize, place: u16, up: bool) {
        self.links[proxy][usize::from(place)] = up;
    }

    /// Cuts or heals the link between the buildings.
    pub fn apart(&mut self, apart: bool, now: Time) {
        self.apart = apart.then_some(now);
    }

    /// The servers of a building hang, or no longer do.
    pub fn hang(&mut self, place: u16, hung: bool) {
        self.hung[usize::from(place)] = hung;
    }

    /// Cuts or restores the power of a building.
    pub fn power(&mut self, place: u16, on: bool, now: Time) {
        self.powered[usize::from(place)] = on;
        for server in (0..self.servers()).filter(|s| s % u32::from(PLACES) == u32::from(place)) {
            self.list.push((now + LIST_LATE, server, on));
            let group = &mut self.groups[(server / MEMBERS) as usize];
            if !on && group.primary == Some(server) {
                (group.primary, group.election, group.stands) = (None, Some(now + ELECTION), now);
            }
        }
    }

    /// Elections that are over, and what the list says now.
    pub fn step(&mut self, now: Time) -> Vec<(u32, bool)> {
        for (number, group) in self.groups.iter_mut().enumerate() {
            if group.election.is_some_and(|at| at <= now) {
                let mut members = number as u32 * MEMBERS..(number as u32 + 1) * MEMBERS;
                group.election = None;
                group.primary = members.find(|m| self.powered[(m % u32::from(PLACES)) as usize]);
            }
        }
        let (due, later): (Vec<_>, Vec<_>) = self.list.drain(..).partition(|(at, ..)| *at <= now);
        self.list = later;
        due.into_iter()
            .map(|(_, server, there)| (server, there))
            .collect()
    }
}
