//! A primary and its replicas: who is primary, and how far each has the log.
//!
//! Positions are times: a member stands at the time up to which it has all commits. A replica gets each commit a
//! little late and applies it with one thread; long queries hold that thread. When the primary is lost, the group
//! takes no writes until it is given up and a replica, the one that has most of the log, takes over.
//!
//! A primary that falls silent (its process hangs) keeps its role until it is given up. What it commits meanwhile reaches
//! nobody; it is lost when another takes over, and shipped when it comes to itself before.
//!
//! A group may be split in two sides that can't hear each other. The side without the primary gives it up like a lost
//! one and elects its own; with a quorum only a side with most members may, and a primary on the lesser side steps down
//! when it has heard nobody for as long as it takes to give one up. Without, both sides have one until they meet again:
//! then the younger stays, and what the older committed meanwhile is lost.

use crate::Micros;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// The size of a group and the times of its replication, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Members at the start.
    pub members: usize,
    /// The log's way to a replica.
    pub ship: Micros,
    /// A commit's work for the thread that applies it.
    pub apply: Micros,
    /// A lost primary is given up after this, and a replica takes over so much later.
    pub give_up: Micros,
    /// How much later a replica takes over.
    pub take_over: Micros,
    /// A primary that drains hands over within this.
    pub hand_over: Micros,
    /// Only most of the members together have a primary.
    pub quorum: bool,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            members: 5,
            ship: 8_000,
            apply: 4_000,
            give_up: 2_000_000,
            take_over: 2_500_000,
            hand_over: 500_000,
            quorum: true,
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Member {
    gone: bool,
    /// Wants to be rid of its role, and takes none.
    leaving: bool,
    side: usize,
    /// Commits on their way or waiting for the thread: which, and when it is applied.
    pending: VecDeque<(Micros, Micros)>,
    /// The thread is busy until then.
    busy: Micros,
    /// All up to here is applied, whatever else is known.
    applied: Micros,
}

/// What happens to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// A member that is primary commits a write.
    Commit(usize),
    /// A long query holds a member's thread.
    Hold {
        /// The member.
        member: usize,
        /// For how long.
        span: Micros,
    },
    /// A member dies, hangs or is cut off from the others.
    Lose(usize),
    /// A member is heard of no more, though it may go on working.
    Silence(usize),
    /// It is back, with what it had.
    Return(usize),
    /// A new member comes, from a copy that is so old; it is the last one from now on.
    Join {
        /// How old the copy is.
        copy_age: Micros,
    },
    /// A member is to hand over if it is primary, and never takes over any more.
    Leave(usize),
    /// These members can't hear the others from now on.
    Split(&'a [usize]),
    /// All hear each other again.
    Meet,
    /// A time that was asked for.
    Due,
}

/// What follows for whoever drives the group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// [`Event::Due`] is wanted then.
    DueAt(Micros),
    /// From now on that member is a primary.
    Primary(usize),
    /// From now on a side of the group takes no writes.
    Vacant,
    /// What was committed on one side after that time is lost.
    Lost {
        /// The member that committed it.
        member: usize,
        /// Commits after this time are lost.
        after: Micros,
    },
}

/// One side of a group: all of it, unless it is split.
#[derive(Clone, Copy, Debug, Default)]
struct Side {
    primary: Option<usize>,
    /// When a replica takes over, and when a primary steps down that hears too few.
    election: Option<Micros>,
    steps_down: Option<Micros>,
    /// Where the log ends while there is no primary.
    log_end: Micros,
    /// Commits in the order of their times: none shares its time with another.
    last_commit: Micros,
    /// When its primary took over.
    since: Micros,
    /// Since when its primary is silent.
    silent: Option<Micros>,
}

/// A primary and its replicas.
#[derive(Clone, Debug)]
pub struct Group {
    settings: Settings,
    members: Vec<Member>,
    sides: [Side; 2],
    split_at: Option<Micros>,
    last_commit: Micros,
    /// Commits of a silent primary, which nobody has heard of.
    unshipped: Vec<Micros>,
}

impl Group {
    /// A group whose first member is the primary.
    pub fn new(settings: Settings) -> Group {
        let members = vec![Member::default(); settings.members];
        let side = Side {
            primary: (settings.members > 0).then_some(0),
            ..Side::default()
        };
        Group {
            settings,
            members,
            sides: [side, Side::default()],
            split_at: None,
            last_commit: 0,
            unshipped: Vec::new(),
        }
    }

    /// How many members there have been, those that are gone included.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// The primary; of two the younger.
    pub fn primary(&self) -> Option<usize> {
        let candidates = self.sides.iter().filter(|s| s.primary.is_some());
        candidates.max_by_key(|s| s.since).and_then(|s| s.primary)
    }

    /// Whether a member takes itself for the primary.
    pub fn is_primary(&self, member: usize) -> bool {
        self.sides.iter().any(|s| s.primary == Some(member))
    }

    /// Up to when a member has all commits. It never goes back.
    pub fn position(&mut self, member: usize, now: Micros) -> Micros {
        let Some(state) = self.members.get_mut(member) else {
            return 0;
        };
        let side = &self.sides[state.side];
        // Without a primary the log stands still.
        let end = if side.primary.is_some() {
            side.silent.unwrap_or(now)
        } else {
            side.log_end
        };
        if side.primary == Some(member) {
            return now;
        }
        while let Some(&(commit, done)) = state.pending.front() {
            if done > now {
                // Everything before the commit that it is at.
                state.applied = state.applied.max(commit - 1);
                return state.applied;
            }
            state.applied = state.applied.max(commit);
            state.pending.pop_front();
        }
        if !state.gone && state.busy <= now {
            state.applied = state.applied.max(end.saturating_sub(self.settings.ship));
        }
        state.applied
    }

    /// The commit's time, which is the event's own unless another has it already.
    pub fn last_commit(&self) -> Micros {
        self.last_commit
    }

    /// Applies an event and appends what follows from it.
    pub fn handle(&mut self, now: Micros, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::Commit(member) => self.commit(member, now),
            Event::Hold { member, span } => {
                if let Some(state) = self.members.get_mut(member) {
                    state.busy = state.busy.max(now) + span;
                }
            }
            Event::Lose(member) => self.lose(member, now, actions),
            Event::Silence(member) => self.silence(member, now, actions),
            Event::Return(member) => self.member_returned(member, now, actions),
            Event::Join { copy_age } => self.join(copy_age, now, actions),
            Event::Leave(member) => self.leave(member, now, actions),
            Event::Split(away) => self.split(away, now, actions),
            Event::Meet => self.meet(now, actions),
            Event::Due => self.due(now, actions),
        }
    }

    fn commit(&mut self, primary: usize, now: Micros) {
        let Some(at) = self.sides.iter().position(|s| s.primary == Some(primary)) else {
            return;
        };
        let side = &mut self.sides[at];
        side.last_commit = now.max(side.last_commit + 1);
        let commit = side.last_commit;
        self.last_commit = self.last_commit.max(commit);
        if side.silent.is_some() {
            return self.unshipped.push(commit);
        }
        self.ship(at, primary, commit, commit);
    }

    /// A commit goes to the replicas of a side.
    fn ship(&mut self, at: usize, primary: usize, commit: Micros, now: Micros) {
        let Settings { ship, apply, .. } = self.settings;
        for (member, state) in self.members.iter_mut().enumerate() {
            if member != primary && !state.gone && state.side == at {
                state.busy = state.busy.max(now + ship) + apply;
                state.pending.push_back((commit, state.busy));
            }
        }
    }

    fn silence(&mut self, member: usize, now: Micros, actions: &mut Vec<Action>) {
        let Some(state) = self.members.get(member).filter(|m| !m.gone) else {
            return;
        };
        let side = state.side;
        if self.sides[side].primary != Some(member) {
            return self.lose(member, now, actions);
        }
        // How far each had it before the log stood still.
        (0..self.members.len())
            .filter(|m| *m != member)
            .for_each(|m| _ = self.position(m, now));
        if self.sides[side].silent.is_none() {
            self.sides[side].silent = Some(now);
            actions.push(Action::DueAt(now + self.settings.give_up));
        }
    }

    /// A silent primary is heard of no more by anybody: what it committed since is lost.
    fn give_up(&mut self, side: usize, now: Micros, actions: &mut Vec<Action>) {
        let (Some(since), Some(member)) = (self.sides[side].silent, self.sides[side].primary)
        else {
            return;
        };
        self.vacate(side, now, now + self.settings.take_over, actions);
        self.sides[side].log_end = since;
        self.members[member].gone = true;
        if !self.unshipped.is_empty() {
            self.unshipped.clear();
            actions.push(Action::Lost {
                member,
                after: since,
            });
        }
    }

    fn lose(&mut self, member: usize, now: Micros, actions: &mut Vec<Action>) {
        let position = self.position(member, now);
        let Some(state) = self.members.get_mut(member) else {
            return;
        };
        if std::mem::replace(&mut state.gone, true) {
            return;
        }
        state.applied = position;
        state.pending.clear();
        let side = state.side;
        if self.sides[side].primary == Some(member) {
            if let Some(since) = self.sides[side]
                .silent
                .filter(|_| !self.unshipped.is_empty())
            {
                self.unshipped.clear();
                actions.push(Action::Lost {
                    member,
                    after: since,
                });
            }
            self.vacate(
                side,
                now,
                now + self.settings.give_up + self.settings.take_over,
                actions,
            );
        }
        self.check_quorum(side, now, actions);
    }

    /// The side's log ends here, and somebody takes over then.
    fn vacate(&mut self, side: usize, now: Micros, until: Micros, actions: &mut Vec<Action>) {
        if let Some(state) = self.sides[side]
            .primary
            .take()
            .and_then(|old| self.members.get_mut(old))
        {
            state.applied = now;
        }
        let side = &mut self.sides[side];
        (side.log_end, side.election, side.steps_down) =
            (side.silent.unwrap_or(now), Some(until), None);
        side.silent = None;
        actions.extend([Action::Vacant, Action::DueAt(until)]);
    }

    fn member_returned(&mut self, member: usize, now: Micros, actions: &mut Vec<Action>) {
        let Some(state) = self.members.get_mut(member) else {
            return;
        };
        let at = state.side;
        if self.sides[at].primary == Some(member) && self.sides[at].silent.take().is_some() {
            let unshipped = std::mem::take(&mut self.unshipped);
            return unshipped
                .into_iter()
                .for_each(|commit| self.ship(at, member, commit, now));
        }
        if !state.gone {
            return;
        }
        (state.gone, state.leaving) = (false, false);
        let side = state.side;
        self.catch_up(member, now);
        self.call_election(side, now, actions);
        self.check_quorum(side, now, actions);
    }

    /// It has to apply what was committed meanwhile; how much that is shows in its distance from the end.
    fn catch_up(&mut self, member: usize, now: Micros) {
        let (ship, apply) = (self.settings.ship, self.settings.apply);
        let Some(state) = self.members.get_mut(member) else {
            return;
        };
        let commits = self.sides[state.side].last_commit;
        let missed = commits.saturating_sub(state.applied);
        if missed > 0 {
            state.busy = now + ship + (missed / 8).max(apply);
            state.pending.push_back((commits, state.busy));
        }
    }

    fn call_election(&mut self, side: usize, now: Micros, actions: &mut Vec<Action>) {
        let side = &mut self.sides[side];
        if side.primary.is_none() && side.election.is_none() {
            side.election = Some(now + self.settings.take_over);
            actions.push(Action::DueAt(now + self.settings.take_over));
        }
    }

    fn join(&mut self, copy_age: Micros, now: Micros, actions: &mut Vec<Action>) {
        self.members.push(Member {
            applied: now.saturating_sub(copy_age),
            ..Member::default()
        });
        self.catch_up(self.members.len() - 1, now);
        self.call_election(0, now, actions);
    }

    fn leave(&mut self, member: usize, now: Micros, actions: &mut Vec<Action>) {
        let Some(state) = self.members.get_mut(member) else {
            return;
        };
        state.leaving = true;
        let side = state.side;
        if self.sides[side].primary == Some(member) {
            self.vacate(side, now, now + self.settings.hand_over, actions);
        }
    }

    fn split(&mut self, away: &[usize], now: Micros, actions: &mut Vec<Action>) {
        if self.split_at.is_some() {
            return;
        }
        // Where everybody stands before the log goes two ways.
        (0..self.members.len()).for_each(|m| _ = self.position(m, now));
        self.split_at = Some(now);
        let whole = self.sides[0];
        for member in away {
            if let Some(state) = self.members.get_mut(*member) {
                state.side = 1;
            }
        }
        let with = whole.primary.map_or(0, |p| self.members[p].side);
        let until = now + self.settings.give_up + self.settings.take_over;
        let without = Side {
            primary: None,
            election: Some(until),
            steps_down: None,
            log_end: now,
            ..whole
        };
        self.sides = if with == 0 {
            [whole, without]
        } else {
            [without, whole]
        };
        // What is on its way between the sides is lost to those that it was for, until they meet.
        for state in self.members.iter_mut().filter(|m| m.side != with) {
            state.pending.clear();
        }
        actions.push(Action::DueAt(until));
        self.check_quorum(0, now, actions);
        self.check_quorum(1, now, actions);
    }

    /// Members of a side that stand.
    fn candidates(&self, side: usize) -> usize {
        self.members
            .iter()
            .filter(|m| m.side == side && !m.gone)
            .count()
    }

    fn is_quorum(&self, side: usize) -> bool {
        !self.settings.quorum
            || self.candidates(side) * 2 > self.members.iter().filter(|m| !m.leaving).count()
    }

    /// A primary that hears too few has so long to hear more.
    fn check_quorum(&mut self, side: usize, now: Micros, actions: &mut Vec<Action>) {
        if self.split_at.is_none() || self.sides[side].primary.is_none() || self.is_quorum(side) {
            self.sides[side].steps_down = None;
        } else if self.sides[side].steps_down.is_none() {
            self.sides[side].steps_down = Some(now + self.settings.give_up);
            actions.push(Action::DueAt(now + self.settings.give_up));
        }
    }

    fn meet(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some(split_at) = self.split_at.take() else {
            return;
        };
        (0..self.members.len()).for_each(|m| _ = self.position(m, now));
        let kept = match (self.sides[0].primary, self.sides[1].primary) {
            (Some(_), Some(_)) => usize::from(self.sides[1].since > self.sides[0].since),
            (None, Some(_)) => 1,
            (Some(_), None) => 0,
            // The side whose log goes further; its election goes on.
            (None, None) => usize::from(self.sides[1].log_end > self.sides[0].log_end),
        };
        let other = 1 - kept;
        if let Some(old) = self.sides[other].primary.take() {
            // It was primary to nobody but those who could not know better.
            let state = &mut self.members[old];
            state.applied = state.applied.max(now);
            if self.sides[other].last_commit > split_at {
                actions.push(Action::Lost {
                    member: old,
                    after: split_at,
                });
            }
        }
        let mut side = self.sides[kept];
        side.last_commit = side.last_commit.max(self.sides[other].last_commit);
        side.steps_down = None;
        self.sides = [side, Side::default()];
        for at in 0..self.members.len() {
            let changed = self.members[at].side == other;
            self.members[at].side = 0;
            if changed && !self.members[at].gone {
                self.members[at].pending.clear();
                self.catch_up(at, now);
            }
        }
        self.call_election(0, now, actions);
    }

    fn due(&mut self, now: Micros, actions: &mut Vec<Action>) {
        for side in 0..self.sides.len() {
            if self.sides[side]
                .silent
                .is_some_and(|at| at + self.settings.give_up <= now)
            {
                self.give_up(side, now, actions);
            }
            if self.sides[side].steps_down.is_some_and(|at| at <= now) {
                let until = now + self.settings.give_up + self.settings.take_over;
                self.vacate(side, now, until, actions);
            }
            if self.sides[side].election.is_some_and(|at| at <= now) {
                self.elect(side, now, actions);
            }
        }
    }

    fn elect(&mut self, side: usize, now: Micros, actions: &mut Vec<Action>) {
        self.sides[side].election = None;
        let split = self.split_at.is_some();
        if split && !self.is_quorum(side) {
            return;
        }
        let may = |m: &Member| m.side == side && !m.gone && !m.leaving;
        let candidates: Vec<usize> = (0..self.members.len())
            .filter(|m| may(&self.members[*m]))
            .collect();
        // Of equals the first: every proxy and every run must see the same.
        let best = candidates
            .into_iter()
            .max_by_key(|m| (self.position(*m, now), Reverse(*m)));
        let Some(best) = best else { return };
        self.members[best].pending.clear();
        let side = &mut self.sides[side];
        (side.primary, side.since) = (Some(best), now);
        side.last_commit = side.last_commit.max(side.log_end);
        actions.push(Action::Primary(best));
    }
}
