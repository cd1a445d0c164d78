//! Which proposal a proxy goes by, how far it has come, and what it runs. Each proxy moves itself; nobody leads.

use crate::evidence::Verdict;
use crate::words::{self, Halted, Hash, Proposal, Ready, Why, Word, HALTS};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Regions of one rollout; stages are counted in a byte.
pub const REGIONS: usize = 200;

/// A member of the roster, oneself too.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    pub name: String,
    pub region: String,
    pub start: Option<u64>,
    pub heard: bool,
    /// It went of its own will.
    pub left: bool,
}

/// What is known at a moment.
pub struct Sight<'a> {
    pub peers: &'a [Peer],
    /// Regions to which a change may be promoted now.
    pub promote: &'a BTreeSet<String>,
    /// The last word of each other member that has not lapsed.
    pub words: &'a BTreeMap<String, Word>,
    pub proposals: &'a [Proposal],
    pub halts: &'a [Halted],
    pub verdict: Verdict,
}

/// What is without effect in a test that wants to see it missed.
#[cfg(test)]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Guard {
    Quorum,
    Roster,
    Permission,
    HaltWins,
    Remembers,
    OneAtATime,
    Consent,
    /// One that starts anew and anew is told from one that does not.
    Crash,
    /// Nobody votes past a member that has not shown itself.
    Settled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    Idle,
    Proposed,
    Canary,
    /// The region of that place in the order.
    Region(usize),
    Whole,
    Halted(Why),
    Returned,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Current {
    pub proposal: Proposal,
    /// Quorums seen: 1 is that for the canary.
    pub reached: u8,
    pub votes: u8,
    pub ready: Ready,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    me: String,
    dark: Duration,
    base: Hash,
    current: Option<Current>,
    halts: Vec<Halted>,
    /// Since when it runs the new version and may not promote.
    cut_off: Option<Duration>,
    /// Members that are not heard, and since when.
    unheard: BTreeMap<String, Duration>,
    /// It has seen for itself that it may run what it runs; a restart forgets that.
    seen: bool,
    #[cfg(test)]
    pub without: Option<Guard>,
}

/// A quorum's permission to look over `$self.without` in tests only.
macro_rules! guard {
    ($self:ident, $guard:ident) => {{
        #[cfg(test)]
        let on = $self.without != Some(Guard::$guard);
        #[cfg(not(test))]
        let on = true;
        on
    }};
}
pub(crate) use guard;

impl Machine {
    /// `base`: what runs while nothing new does.
    pub fn new(me: &str, base: Hash, dark: Duration) -> Self {
        Self {
            me: me.to_owned(),
            dark,
            base,
            current: None,
            halts: Vec::new(),
            cut_off: None,
            unheard: BTreeMap::new(),
            seen: false,
            #[cfg(test)]
            without: None,
        }
    }

    /// What an earlier process left. How far it had come counts as its votes only: it runs nothing new before it has
    /// seen a quorum again.
    pub(crate) fn restore(&mut self, stored: words::Stored) {
        if guard!(self, Remembers) {
            self.merge(&stored.halts);
        }
        self.current = stored
            .proposal
            .filter(|p| p.order.len() <= REGIONS)
            .map(|proposal| {
                // No file says more stages than there are, unless it was changed.
                let reached =
                    u8::try_from(stages(&proposal)).map_or(0, |all| stored.reached.min(all));
                Current {
                    proposal,
                    reached,
                    votes: reached,
                    ready: Ready::NotYet,
                }
            });
        self.seen = false;
    }

    pub(crate) fn stored(&self) -> words::Stored {
        words::Stored {
            base: self.base,
            proposal: self.current.as_ref().map(|c| c.proposal.clone()),
            reached: self.current.as_ref().map_or(0, |c| c.reached),
            halts: self.halts.clone(),
        }
    }

    pub fn current(&self) -> Option<&Current> {
        self.current.as_ref()
    }

    pub fn halts(&self) -> &[Halted] {
        &self.halts
    }

    pub fn base(&self) -> Hash {
        self.base
    }

    /// The greatest epoch that is known.
    pub fn epoch(&self) -> u64 {
        let halted = self.halts.iter().map(|h| h.epoch).max();
        self.current
            .as_ref()
            .map(|c| c.proposal.epoch)
            .max(halted)
            .unwrap_or_default()
    }

    /// The halt of a proposal. One of the same file by a later epoch is an operator's new word, and is not halted by
    /// what was before it.
    pub fn halt_of(&self, p: &Proposal) -> Option<&Halted> {
        self.halts
            .iter()
            .find(|h| h.epoch == p.epoch || (h.hash == p.hash && h.epoch > p.epoch))
    }

    pub fn halted(&self) -> Option<&Halted> {
        self.current
            .as_ref()
            .and_then(|c| self.halt_of(&c.proposal))
    }

    pub fn phase(&self) -> Phase {
        let Some(current) = &self.current else {
            return Phase::Idle;
        };
        match (self.halted(), current.reached) {
            (
                Some(Halted {
                    why: Why::Return, ..
                }),
                _,
            ) => Phase::Returned,
            (Some(halted), _) => Phase::Halted(halted.why),
            (None, 0) => Phase::Proposed,
            (None, 1) => Phase::Canary,
            (None, n) if usize::from(n) == stages(&current.proposal) => Phase::Whole,
            (None, n) => Phase::Region(usize::from(n) - 2),
        }
    }

    pub fn under_way(&self) -> bool {
        matches!(
            self.phase(),
            Phase::Proposed | Phase::Canary | Phase::Region(_)
        )
    }

    /// Whether the new version runs here, once it can.
    pub fn new_here(&self, peers: &[Peer]) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        let may = self.halted().is_none() || !guard!(self, HaltWins);
        may && self.seen
            && current.ready == Ready::Yes
            && entry(&current.proposal, peers, &self.me).is_some_and(|at| current.reached >= at)
    }

    pub fn runs(&self, peers: &[Peer]) -> Hash {
        match &self.current {
            Some(current) if self.new_here(peers) => current.proposal.hash,
            _ => self.base,
        }
    }

    pub fn set_ready(&mut self, hash: Hash, ready: Ready) {
        if let Some(current) = self.current.as_mut().filter(|c| c.proposal.hash == hash) {
            current.ready = ready;
        }
    }

    /// Anyone may, at any time.
    pub fn halt(&mut self, why: Why) -> bool {
        let Some(current) = &self.current else {
            return false;
        };
        if self.halted().is_some() {
            return false;
        }
        let Proposal { epoch, hash, .. } = current.proposal;
        let by = words::name(&self.me);
        self.merge(&[Halted {
            epoch,
            hash,
            by,
            why,
        }]);
        true
    }

    fn merge(&mut self, heard: &[Halted]) {
        for halted in heard {
            if !self
                .halts
                .iter()
                .any(|h| h.epoch == halted.epoch && h.hash == halted.hash)
            {
                // All of them have to fit into one fact, whatever name another gave.
                self.halts.push(Halted {
                    by: words::name(&halted.by),
                    ..halted.clone()
                });
            }
        }
        self.halts.sort_by(|a, b| b.cmp(a));
        self.halts.truncate(HALTS);
    }

    /// Takes a proposal that is greater than what it goes by.
    pub fn adopt(&mut self, proposal: &Proposal) {
        let former = self.current.as_ref();
        if former.is_some_and(|c| c.proposal.rank() >= proposal.rank())
            || proposal.order.len() > REGIONS
        {
            return;
        }
        if self.phase() == Phase::Whole && self.seen {
            self.base = former.map_or(self.base, |c| c.proposal.hash);
        }
        self.current = Some(Current {
            proposal: proposal.clone(),
            reached: 0,
            votes: 0,
            ready: Ready::NotYet,
        });
        (self.cut_off, self.seen) = (None, false);
    }

    pub fn step(&mut self, now: Duration, sight: &Sight<'_>) {
        self.merge(sight.halts);
        for proposal in sight.proposals {
            self.adopt(proposal);
        }
        if self.under_way() {
            if let Verdict::Harm(why) = sight.verdict {
                self.halt(why);
            }
        }
        self.mind_unheard(now, sight);
        let before = self.current.as_ref().map(|c| c.reached);
        self.climb(sight);
        self.mind_cut(now, sight);
        // What was judged is the stage before; the next one has yet to show itself.
        let same = before == self.current.as_ref().map(|c| c.reached);
        let votes = self.votes(
            sight,
            if same {
                sight.verdict
            } else {
                Verdict::TooLittle
            },
            now,
        );
        if let Some(current) = &mut self.current {
            current.votes = votes;
        }
    }

    fn mind_unheard(&mut self, now: Duration, sight: &Sight<'_>) {
        self.unheard
            .retain(|name, _| sight.peers.iter().any(|p| p.name == *name && !p.heard));
        for peer in sight.peers.iter().filter(|p| !p.heard) {
            self.unheard.entry(peer.name.clone()).or_insert(now);
        }
    }

    /// Goes as far as there are quorums.
    fn climb(&mut self, sight: &Sight<'_>) {
        if guard!(self, HaltWins) && self.halted().is_some() {
            return;
        }
        let Some(mut current) = self.current.take() else {
            return;
        };
        let stages = stages(&current.proposal);
        if !self.seen
            && current.reached > 0
            && self.quorum(&current, usize::from(current.reached), sight)
        {
            self.seen = true;
        }
        while (self.seen || current.reached == 0)
            && usize::from(current.reached) < stages
            && self.quorum(&current, usize::from(current.reached) + 1, sight)
        {
            current.reached += 1;
            current.votes = current.votes.max(current.reached);
            self.seen = true;
        }
        self.current = Some(current);
    }

    fn quorum(&self, current: &Current, stage: usize, sight: &Sight<'_>) -> bool {
        let p = &current.proposal;
        let regions = regions(p, stage);
        if guard!(self, Permission) && !regions.last().is_some_and(|r| sight.promote.contains(*r)) {
            return false;
        }
        let votes = |peer: &&Peer| {
            let votes = if peer.name == self.me {
                current.votes
            } else {
                sight
                    .words
                    .get(&peer.name)
                    .filter(|w| w.of(p))
                    .map_or(0, |w| w.votes)
            };
            usize::from(votes) >= stage
        };
        let roster = guard!(self, Roster);
        let enough = |of: &dyn Fn(&&Peer) -> bool| {
            let of = || sight.peers.iter().filter(of).filter(|p| roster || p.heard);
            of().filter(votes).count() * 2 > of().count() || !guard!(self, Quorum)
        };
        regions
            .iter()
            .all(|region| enough(&|p| p.region == **region))
            && (stage > 1 || enough(&|_| true))
    }

    /// One that runs the new version and is cut off can't hear a halt: it goes back by itself.
    fn mind_cut(&mut self, now: Duration, sight: &Sight<'_>) {
        let cut = self.under_way()
            && self.new_here(sight.peers)
            && sight
                .peers
                .iter()
                .find(|p| p.name == self.me)
                .is_some_and(|p| !sight.promote.contains(&p.region));
        self.cut_off = if cut {
            self.cut_off.or(Some(now))
        } else {
            None
        };
        let over = self
            .cut_off
            .is_some_and(|since| now.saturating_sub(since) >= self.dark);
        if over && guard!(self, OneAtATime) {
            self.halt(Why::CutOff);
        }
    }

    fn votes(&self, sight: &Sight<'_>, verdict: Verdict, now: Duration) -> u8 {
        let Some(current) = &self.current else {
            return 0;
        };
        if self.halted().is_some() {
            return 0;
        }
        let next = usize::from(current.reached) + 1;
        let may = match current.reached {
            0 => self.clear(now, current, sight),
            _ if next > stages(&current.proposal) => false,
            _ => verdict == Verdict::Clean || !guard!(self, Consent),
        };
        if may && self.seen_or_first(current) && self.able(current, next, sight) {
            current.reached + 1
        } else {
            current.reached
        }
    }

    fn seen_or_first(&self, current: &Current) -> bool {
        self.seen || current.reached == 0
    }

    /// No other new version can be running any more.
    fn clear(&self, now: Duration, current: &Current, sight: &Sight<'_>) -> bool {
        let p = &current.proposal;
        let goes_by = |peer: &Peer| {
            peer.name == self.me || sight.words.get(&peer.name).is_some_and(|w| w.of(p))
        };
        let gone_back = |peer: &Peer| {
            self.unheard
                .get(&peer.name)
                .is_some_and(|since| now.saturating_sub(*since) >= self.dark * 2)
        };
        !guard!(self, OneAtATime) || sight.peers.iter().all(|p| goes_by(p) || gone_back(p))
    }

    /// Nobody that would have to run it has said that it can't, and all heard of those that enter have said they can.
    fn able(&self, current: &Current, stage: usize, sight: &Sight<'_>) -> bool {
        let p = &current.proposal;
        let entries = entries(p, sight.peers);
        sight.peers.iter().all(|peer| {
            if entries
                .get(peer.name.as_str())
                .is_none_or(|at| usize::from(*at) > stage)
            {
                return true;
            }
            if peer.name == self.me {
                return current.ready == Ready::Yes;
            }
            match sight
                .words
                .get(&peer.name)
                .filter(|w| w.of(p))
                .map(|w| &w.ready)
            {
                Some(Ready::Yes) => true,
                Some(_) => false,
                None => !peer.heard,
            }
        })
    }

    pub fn word(&self, peers: &[Peer]) -> Option<Word> {
        let current = self.current.as_ref()?;
        let p = &current.proposal;
        Some(Word {
            epoch: p.epoch,
            hash: p.hash,
            proposer: p.proposer.clone(),
            votes: if self.halted().is_some() {
                0
            } else {
                current.votes
            },
            reached: current.reached,
            new: self.new_here(peers),
            ready: current.ready.clone(),
        })
    }
}

/// Quorums until the whole: the canary, each region, and the end.
pub fn stages(p: &Proposal) -> usize {
    p.order.len() + 2
}

/// Regions whose majority is asked: that which ran last and that which enters, which is the last here.
fn regions(p: &Proposal, stage: usize) -> Vec<&String> {
    let last = p.order.len().saturating_sub(1);
    let enters = stage.saturating_sub(2).min(last);
    let ran = stage.saturating_sub(3).min(last);
    let mut regions: Vec<&String> = [ran, enters]
        .iter()
        .filter_map(|&at| p.order.get(at))
        .collect();
    regions.dedup();
    regions
}

/// The quorum with which each member begins to run the new version, by name.
pub fn entries<'a>(p: &Proposal, peers: &'a [Peer]) -> BTreeMap<&'a str, u8> {
    let mut regions: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for peer in peers {
        regions.entry(&peer.region).or_default().push(&peer.name);
    }
    let mut entries = BTreeMap::new();
    for (at, region) in p.order.iter().enumerate() {
        let mut names = regions.remove(region.as_str()).unwrap_or_default();
        names.sort_unstable();
        let canaries = if at == 0 {
            usize::from(p.canary.max(1))
        } else {
            0
        };
        let length = names.len();
        for (place, name) in names.into_iter().enumerate() {
            let stage = if place < canaries {
                1
            } else if place + 1 == length && length > canaries + 1 {
                // The last of each region stays behind to compare with, unless it is the only one to come.
                stages(p)
            } else {
                at + 2
            };
            entries.extend(u8::try_from(stage).map(|stage| (name, stage)));
        }
    }
    entries
}

pub fn entry(p: &Proposal, peers: &[Peer], name: &str) -> Option<u8> {
    entries(p, peers).get(name).copied()
}
