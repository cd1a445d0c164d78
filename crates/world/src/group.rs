//! A primary and its replicas: who is primary, and how far each has the log.
//!
//! Positions are times: a member stands at the time up to which it has all commits. A replica gets each commit a
//! little late and applies it with one thread; long queries hold that thread. When the primary is lost, the group
//! takes no writes until it is given up and a replica, the one that has most of the log, takes over.

use crate::Micros;
use std::collections::VecDeque;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    pub members: usize,
    /// The log's way to a replica.
    pub ship: Micros,
    /// A commit's work for the thread that applies it.
    pub apply: Micros,
    /// A lost primary is given up after this, and a replica takes over so much later.
    pub give_up: Micros,
    pub take_over: Micros,
    /// A primary that drains hands over within this.
    pub hand_over: Micros,
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
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Member {
    gone: bool,
    /// Commits on their way or waiting for the thread: which, and when it is applied.
    pending: VecDeque<(Micros, Micros)>,
    /// The thread is busy until then.
    busy: Micros,
    /// All up to here is applied, whatever else is known.
    applied: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// The primary commits a write.
    Commit,
    /// A long query holds a member's thread.
    Hold { member: usize, span: Micros },
    /// A member dies, hangs or is cut off from the others.
    Lose(usize),
    /// It is back, with what it had.
    Return(usize),
    /// The primary is to hand over.
    HandOver,
    /// A time that was asked for.
    Due,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// [`Event::Due`] is wanted then.
    DueAt(Micros),
    /// From now on that member is the primary.
    Primary(usize),
    /// From now on the group takes no writes.
    Vacant,
}

#[derive(Clone, Debug)]
pub struct Group {
    set: Settings,
    members: Vec<Member>,
    primary: Option<usize>,
    /// When a replica takes over, and the log's end until then.
    election: Option<Micros>,
    log_end: Micros,
    /// Commits in the order of their times: none shares its time with another.
    last_commit: Micros,
}

impl Group {
    pub fn new(set: Settings) -> Group {
        let members = vec![Member::default(); set.members];
        let primary = (set.members > 0).then_some(0);
        Group { set, members, primary, election: None, log_end: 0, last_commit: 0 }
    }

    pub fn primary(&self) -> Option<usize> {
        self.primary
    }

    /// Up to when a member has all commits. It never goes back.
    pub fn position(&mut self, member: usize, now: Micros) -> Micros {
        // Without a primary the log stands still.
        let end = if self.primary.is_some() { now } else { self.log_end };
        let (ship, is_primary) = (self.set.ship, self.primary == Some(member));
        let Some(state) = self.members.get_mut(member) else { return 0 };
        if is_primary {
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
            state.applied = state.applied.max(end.saturating_sub(ship));
        }
        state.applied
    }

    /// The commit's time, which is the event's own unless another has it already.
    pub fn last_commit(&self) -> Micros {
        self.last_commit
    }

    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Commit => self.commit(now),
            Event::Hold { member, span } => {
                if let Some(state) = self.members.get_mut(member) {
                    state.busy = state.busy.max(now) + span;
                }
            }
            Event::Lose(member) => self.lose(member, now, actions),
            Event::Return(member) => self.come_back(member, now, actions),
            Event::HandOver => {
                if self.primary.is_some() {
                    self.vacate(now, now + self.set.hand_over, actions);
                }
            }
            Event::Due => self.elect(now, actions),
        }
    }

    fn commit(&mut self, now: Micros) {
        let Some(primary) = self.primary else { return };
        self.last_commit = now.max(self.last_commit + 1);
        let (commit, ship, apply) = (self.last_commit, self.set.ship, self.set.apply);
        for (at, state) in self.members.iter_mut().enumerate() {
            if at != primary && !state.gone {
                state.busy = state.busy.max(commit + ship) + apply;
                state.pending.push_back((commit, state.busy));
            }
        }
    }

    fn lose(&mut self, member: usize, now: Micros, actions: &mut Vec<Action>) {
        let position = self.position(member, now);
        let Some(state) = self.members.get_mut(member) else { return };
        if std::mem::replace(&mut state.gone, true) {
            return;
        }
        state.applied = position;
        state.pending.clear();
        if self.primary == Some(member) {
            self.vacate(now, now + self.set.give_up + self.set.take_over, actions);
        }
    }

    fn vacate(&mut self, now: Micros, until: Micros, actions: &mut Vec<Action>) {
        if let Some(state) = self.primary.take().and_then(|old| self.members.get_mut(old)) {
            state.applied = now;
        }
        self.log_end = now;
        self.election = Some(until);
        actions.extend([Action::Vacant, Action::DueAt(until)]);
    }

    fn come_back(&mut self, member: usize, now: Micros, actions: &mut Vec<Action>) {
        let commits = self.last_commit;
        let Some(state) = self.members.get_mut(member).filter(|m| m.gone) else { return };
        state.gone = false;
        // It has to apply what was committed meanwhile; how much that is shows in its distance from the end.
        let missed = commits.saturating_sub(state.applied);
        if missed > 0 {
            state.busy = now + self.set.ship + (missed / 8).max(self.set.apply);
            state.pending.push_back((commits, state.busy));
        }
        if self.primary.is_none() && self.election.is_none() {
            self.election = Some(now + self.set.take_over);
            actions.push(Action::DueAt(now + self.set.take_over));
        }
    }

    fn elect(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if self.election.is_none_or(|at| at > now) {
            return;
        }
        self.election = None;
        let standing: Vec<usize> = (0..self.members.len()).filter(|m| !self.members[*m].gone).collect();
        // Of equals the first: every proxy and every run must see the same.
        let best = standing.into_iter().max_by_key(|m| (self.position(*m, now), Reverse(*m)));
        let Some(best) = best else { return };
        let state = &mut self.members[best];
        state.pending.clear();
        self.primary = Some(best);
        self.last_commit = self.last_commit.max(self.log_end);
        actions.push(Action::Primary(best));
    }
}

use std::cmp::Reverse;
