//! Record servers in two buildings as visible to proxies: primaries, positions and reachability.

use crate::script::{Behaviour, PLACES};
use crate::Time;
use std::ops::Range;
use std::time::Duration;

/// Members per group; half of them are in each building.
const MEMBERS: u32 = 4;
/// Time from the loss of a primary until another member takes over.
const ELECTION_TIME: Duration = Duration::from_secs(5);
/// Delay until the endpoint list drops a dead server or lists a recovered one.
const LIST_DELAY: Duration = Duration::from_secs(6);
/// Replication delay.
const REPLICATION_DELAY: Duration = Duration::from_millis(8);

/// Reachability of a server from a proxy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Reach {
    /// Requests and responses are lost; connections can't be opened.
    Nothing,
    /// The server is reachable and behaves like this.
    Servers(Behaviour),
}

#[derive(Debug)]
struct Group {
    behaviour: Behaviour,
    primary: Option<u32>,
    /// Time at which another member takes over.
    election: Option<Time>,
    /// End of the log while the group takes no writes.
    log_end: Time,
}

/// The record servers of two buildings.
#[derive(Debug)]
pub struct World {
    groups: Vec<Group>,
    /// Whether the link is up, by proxy and building.
    links: Vec<Vec<bool>>,
    powered: Vec<bool>,
    hung: Vec<bool>,
    /// Start of the cut between the buildings; `None` while they are connected.
    apart: Option<Time>,
    /// Pending updates of the endpoint list as (time, server, listed).
    list: Vec<(Time, u32, bool)>,
}

impl World {
    /// All servers and links are up.
    pub fn new(groups: u32, proxies: usize) -> World {
        let places = usize::from(PLACES);
        let group = |number: u32| Group {
            behaviour: Behaviour::Answer(1.0),
            // Primaries are distributed over both buildings.
            primary: Some(number * MEMBERS + number % u32::from(PLACES)),
            election: None,
            log_end: Time::ZERO,
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

    /// Indices of the servers of a group.
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

    /// Primary of a group; `None` while the group takes no writes.
    pub fn primary(&self, group: u32) -> Option<u32> {
        self.groups[group as usize]
            .primary
            .filter(|_| self.takes_writes(group))
    }

    /// Whether the group takes writes.
    fn takes_writes(&self, group: u32) -> bool {
        matches!(self.groups[group as usize].behaviour, Behaviour::Answer(_))
    }

    /// Position that a server reports.
    pub fn position(&self, server: u32, now: Time) -> Time {
        let group = &self.groups[self.group(server) as usize];
        let Some(primary) = group
            .primary
            .filter(|_| self.takes_writes(self.group(server)))
        else {
            return group.log_end;
        };
        let separated_since = self
            .apart
            .filter(|_| self.place(primary) != self.place(server));
        if primary == server {
            now
        } else {
            separated_since
                .unwrap_or(now)
                .saturating_sub(REPLICATION_DELAY)
        }
    }

    /// Reachability of a server from a proxy.
    pub fn reach(&self, proxy: usize, server: u32) -> Reach {
        let place = usize::from(self.place(server));
        if !self.links[proxy][place] || !self.powered[place] {
            Reach::Nothing
        } else if self.hung[place] {
            Reach::Servers(Behaviour::Silent)
        } else {
            Reach::Servers(self.groups[self.group(server) as usize].behaviour)
        }
    }

    /// Sets the behaviour of a group.
    pub fn set_group(&mut self, group: u32, behaviour: Behaviour, now: Time) {
        let group = &mut self.groups[group as usize];
        (group.behaviour, group.log_end) = (behaviour, now);
    }

    /// Restores or cuts the link from a proxy to a building.
    pub fn link(&mut self, proxy: usize, place: u16, up: bool) {
        self.links[proxy][usize::from(place)] = up;
    }

    /// Cuts or restores the link between the buildings.
    pub fn apart(&mut self, apart: bool, now: Time) {
        self.apart = apart.then_some(now);
    }

    /// Sets whether the servers of a building hang.
    pub fn hang(&mut self, place: u16, hung: bool) {
        self.hung[usize::from(place)] = hung;
    }

    /// Cuts or restores the power of a building.
    pub fn power(&mut self, place: u16, on: bool, now: Time) {
        self.powered[usize::from(place)] = on;
        for server in (0..self.servers()).filter(|s| s % u32::from(PLACES) == u32::from(place)) {
            self.list.push((now + LIST_DELAY, server, on));
            let group = &mut self.groups[(server / MEMBERS) as usize];
            if !on && group.primary == Some(server) {
                (group.primary, group.election, group.log_end) =
                    (None, Some(now + ELECTION_TIME), now);
            }
        }
    }

    /// Completes due elections and returns the due list updates as (server, listed).
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
            .map(|(_, server, listed)| (server, listed))
            .collect()
    }
}
