//! What is known of each member, and all that is counted of it. A change of a member moves the counts, so that an event costs
//! as much as it changes, however many the roster has.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::roster::Known;
use crate::standing::Heads;
use crate::swim::{Id, Views};
use crate::view::Status;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Sighting {
    pub status: Status,
    pub since: Duration,
    pub id: Option<Id>,
    /// When a datagram of its own last came.
    pub heard: Option<Duration>,
}

/// What a member became.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Change {
    /// Its status, or its process.
    pub news: bool,
    pub back: bool,
    /// It says another version of the roster, and did not before.
    pub differs: bool,
}

/// The members of the roster but oneself.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Seen {
    members: BTreeMap<u32, Sighting>,
    counts: Counted,
}

/// Follows from the members and the roster alone.
#[derive(Clone, Debug, Default, PartialEq)]
struct Counted {
    fleet: Heads,
    regions: BTreeMap<String, Heads>,
    /// Who is heard, in order; and who of them is suspected.
    heard: Vec<u32>,
    suspected: BTreeSet<u32>,
    downs: BTreeSet<Id>,
    differing: usize,
    /// The hash of `downs`, until they change.
    hash: Option<Views>,
}

pub(crate) fn is_heard(status: Status) -> bool {
    matches!(status, Status::Alive | Status::Suspect)
}

impl Counted {
    fn of(roster: &Known, me: u32, members: &BTreeMap<u32, Sighting>) -> Self {
        let mut counts = Self::default();
        for (number, member) in &roster.members {
            counts.regions.entry(member.region.clone()).or_default();
            for heads in counts.heads(&member.region) {
                heads.of += 1;
                if *number == me {
                    heads.me = true;
                    heads.heard += 1;
                }
            }
            if let Some(sighting) = members.get(number) {
                counts.moved(roster, *number, sighting, true);
            }
        }
        counts
    }

    /// Of the fleet, and of the region.
    fn heads(&mut self, region: &str) -> impl Iterator<Item = &mut Heads> {
        std::iter::once(&mut self.fleet).chain(self.regions.get_mut(region))
    }

    /// Counts a member in, or out.
    fn moved(&mut self, roster: &Known, number: u32, sighting: &Sighting, into: bool) {
        let Some(member) = roster.members.get(&number) else {
            return;
        };
        let status = sighting.status;
        for heads in self.heads(&member.region) {
            let count = match status {
                Status::Alive => &mut heads.heard,
                Status::Suspect => &mut heads.suspect,
                Status::Left => &mut heads.left,
                Status::Down | Status::NeverHeard => continue,
            };
            *count = if into { *count + 1 } else { *count - 1 };
        }
        if is_heard(status) {
            match (into, self.heard.binary_search(&number)) {
                (true, Err(at)) => self.heard.insert(at, number),
                (false, Ok(at)) => drop(self.heard.remove(at)),
                _ => {}
            }
            if sighting.id.is_some_and(|id| id.roster != roster.version) {
                self.differing = if into {
                    self.differing + 1
                } else {
                    self.differing - 1
                };
            }
        }
        if status == Status::Suspect {
            if into {
                self.suspected.insert(number);
            } else {
                self.suspected.remove(&number);
            }
        }
        if let (Status::Down | Status::Left, Some(id)) = (status, sighting.id) {
            self.hash = None;
            if into {
                self.downs.insert(id);
            } else {
                self.downs.remove(&id);
            }
        }
    }
}

impl Seen {
    /// Brings the members into line with the roster; gives the processes of those who are no longer in it.
    pub fn fit(&mut self, now: Duration, roster: &Known, me: u32) -> Vec<Id> {
        let gone = self
            .members
            .iter()
            .filter(|(number, _)| !roster.members.contains_key(number));
        let gone = gone.filter_map(|(_, sighting)| sighting.id).collect();
        self.members
            .retain(|number, _| roster.members.contains_key(number));
        for number in roster.members.keys().filter(|number| **number != me) {
            let new = Sighting {
                status: Status::NeverHeard,
                since: now,
                id: None,
                heard: None,
            };
            self.members.entry(*number).or_insert(new);
        }
        self.counts = Counted::of(roster, me, &self.members);
        gone
    }

    /// Takes over what a process of a member is; nothing if it is no member.
    pub fn take(
        &mut self,
        now: Duration,
        roster: &Known,
        id: Id,
        status: Status,
    ) -> Option<Change> {
        let sighting = self.members.get_mut(&id.number)?;
        let was = *sighting;
        if was.id == Some(id) && was.status == status {
            return Some(Change::default());
        }
        sighting.id = Some(id);
        let news = status != was.status || was.id.is_some_and(|was| was.start != id.start);
        if news {
            (sighting.status, sighting.since) = (status, now);
        }
        let is = *sighting;
        self.counts.moved(roster, id.number, &was, false);
        self.counts.moved(roster, id.number, &is, true);
        let back = news && is_heard(status) && !is_heard(was.status);
        let differs =
            was.id.is_none_or(|was| was.roster != id.roster) && id.roster != roster.version;
        Some(Change {
            news,
            back,
            differs,
        })
    }

    pub fn get(&self, number: u32) -> Option<&Sighting> {
        self.members.get(&number)
    }

    pub fn iter(&self) -> impl Iterator<Item = (u32, &Sighting)> {
        self.members
            .iter()
            .map(|(number, sighting)| (*number, sighting))
    }

    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// A datagram of its own came.
    pub fn heard_of(&mut self, number: u32, now: Duration) {
        if let Some(sighting) = self.members.get_mut(&number) {
            sighting.heard = Some(now);
        }
    }

    /// Nobody is held for having been silent while this process was.
    pub fn suspect_anew(&mut self, now: Duration) {
        for number in &self.counts.suspected {
            if let Some(sighting) = self.members.get_mut(number) {
                sighting.since = now;
            }
        }
    }

    pub fn heads(&self) -> Heads {
        self.counts.fleet
    }

    pub fn regions(&self) -> &BTreeMap<String, Heads> {
        &self.counts.regions
    }

    /// In the order of their numbers.
    pub fn others(&self) -> &[u32] {
        &self.counts.heard
    }

    pub fn suspected(&self) -> impl Iterator<Item = (u32, Duration)> + '_ {
        let since = |number: &u32| {
            self.members
                .get(number)
                .map(|sighting| (*number, sighting.since))
        };
        self.counts.suspected.iter().filter_map(since)
    }

    /// Members heard that say another version of the roster.
    pub fn differing(&self) -> usize {
        self.counts.differing
    }

    /// Who is down, as it is told to another whose view differs.
    pub fn downs(&self) -> &BTreeSet<Id> {
        &self.counts.downs
    }

    pub fn downs_hash(&mut self) -> &Views {
        let counts = &mut self.counts;
        counts
            .hash
            .get_or_insert_with(|| Views::hash(&counts.downs))
    }

    /// What is counted is what a count of all gives.
    pub fn adds_up(&self, roster: &Known, me: u32) -> bool {
        let hash = self.counts.hash.clone();
        let anew = Counted {
            hash,
            ..Counted::of(roster, me, &self.members)
        };
        anew == self.counts
            && anew
                .hash
                .is_none_or(|hash| hash == Views::hash(&anew.downs))
    }
}
