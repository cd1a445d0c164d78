//! A group of a primary and its replicas: elections, replication and the position of each member.
//!
//! Positions are times: a member's position is the time up to which it has all commits. A replica receives each commit
//! with a delay and applies it with one thread, which long queries block. When the primary is lost, the group takes no
//! writes until the failure is detected and the replica with the highest position takes over.
//!
//! A primary that falls silent (its process hangs) keeps its role until its failure is detected. Its commits in that
//! time are not shipped: they are lost when another member takes over, and shipped if it recovers before.
//!
//! A partition splits a group into two sides. The side without the primary treats it as lost and elects its own. With
//! `quorum`, only a side with a majority of the members may elect, and a primary on the minority side steps down after
//! `give_up`. Without `quorum`, both sides have a primary until the partition heals: then the primary elected last
//! stays, and the commits of the other one since the split are lost.

use crate::Micros;
use std::cmp::Reverse;
use std::collections::VecDeque;

/// Size of a group and its replication times, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Number of members at the start.
    pub members: usize,
    /// Delay until a commit reaches a replica.
    pub ship: Micros,
    /// Time that the apply thread needs per commit.
    pub apply: Micros,
    /// Time until a lost primary is detected.
    pub give_up: Micros,
    /// Time from the detection until a replica takes over.
    pub take_over: Micros,
    /// Time that a draining primary needs to hand over.
    pub hand_over: Micros,
    /// Whether a primary requires a majority of the members.
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
    /// Hands over its role if it is primary, and is not eligible in elections.
    leaving: bool,
    side: usize,
    /// Commits that are not applied yet, as (commit time, time at which it is applied).
    pending: VecDeque<(Micros, Micros)>,
    /// Time until which the apply thread is busy.
    busy: Micros,
    /// Lower bound of the position: all commits up to this time are applied.
    applied: Micros,
}

/// Input to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event<'a> {
    /// A member that is primary commits a write.
    Commit(usize),
    /// A long query blocks a member's apply thread.
    Hold {
        /// The member.
        member: usize,
        /// Duration of the query.
        span: Micros,
    },
    /// A member dies or is cut off from the others.
    Lose(usize),
    /// A member sends nothing to the others any more, though it may continue to work.
    Silence(usize),
    /// A member is back, with the data that it had.
    Return(usize),
    /// A new member joins from an old copy of the data; it gets the highest index.
    Join {
        /// Age of the copy.
        copy_age: Micros,
    },
    /// A member hands over if it is primary, and is not elected until it returns.
    Leave(usize),
    /// A partition separates these members from the others.
    Split(&'a [usize]),
    /// The partition heals.
    Meet,
    /// A time requested with [`Action::DueAt`] is reached.
    Due,
}

/// Output of a group for its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Requests [`Event::Due`] at this time.
    DueAt(Micros),
    /// This member becomes a primary.
    Primary(usize),
    /// A side of the group stops taking writes.
    Vacant,
    /// Commits on one side after a point in time are lost.
    Lost {
        /// The member that committed it.
        member: usize,
        /// Commits after this time are lost.
        after: Micros,
    },
}

/// One side of a partition; without a partition, side 0 is the whole group.
#[derive(Clone, Copy, Debug, Default)]
struct Side {
    primary: Option<usize>,
    /// Time of the next election.
    election: Option<Micros>,
    steps_down: Option<Micros>,
    /// End of the log while there is no primary.
    log_end: Micros,
    /// Time of the last commit; commit times are unique and increase.
    last_commit: Micros,
    /// Time at which its primary took over.
    since: Micros,
    /// Time at which its primary fell silent.
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
    /// Commits of a silent primary that have not been shipped.
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

    /// Number of members that ever belonged to the group, including those that are gone.
    pub fn members(&self) -> usize {
        self.members.len()
    }

    /// The primary; if there are two, the one elected last.
    pub fn primary(&self) -> Option<usize> {
        let candidates = self.sides.iter().filter(|s| s.primary.is_some());
        candidates.max_by_key(|s| s.since).and_then(|s| s.primary)
    }

    /// Whether a member considers itself the primary.
    pub fn is_primary(&self, member: usize) -> bool {
        self.sides.iter().any(|s| s.primary == Some(member))
    }

    /// Time up to which a member has all commits. It never decreases.
    pub fn position(&mut self, member: usize, now: Micros) -> Micros {
        let Some(state) = self.members.get_mut(member) else {
            return 0;
        };
        let side = &self.sides[state.side];
        // Without a primary, the log does not advance.
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
                // Everything before the commit that is being applied.
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

    /// Time of the last commit: the time of its event, or later if another commit already had that time.
    pub fn last_commit(&self) -> Micros {
        self.last_commit
    }

    /// Applies an event and appends the resulting actions.
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

    /// Sends a commit to the replicas of a side.
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
        // Records each member's position before the log stops advancing.
        (0..self.members.len())
            .filter(|m| *m != member)
            .for_each(|m| _ = self.position(m, now));
        if self.sides[side].silent.is_none() {
            self.sides[side].silent = Some(now);
            actions.push(Action::DueAt(now + self.settings.give_up));
        }
    }

    /// Replaces a silent primary: its commits since it fell silent are lost.
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

    /// Ends the side's log now and schedules an election.
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

    /// Schedules the missed commits of a member; the time for it grows with its distance from the end of the log.
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
        // Records each member's position before the log forks.
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
        // Commits in transit between the sides do not arrive until the partition heals.
        for state in self.members.iter_mut().filter(|m| m.side != with) {
            state.pending.clear();
        }
        actions.push(Action::DueAt(until));
        self.check_quorum(0, now, actions);
        self.check_quorum(1, now, actions);
    }

    /// Number of members of a side that are not gone.
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

    /// Schedules the step-down of a primary without a quorum, or cancels it when the quorum is back.
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
            // The side with the longer log; its election continues.
            (None, None) => usize::from(self.sides[1].log_end > self.sides[0].log_end),
        };
        let other = 1 - kept;
        if let Some(old) = self.sides[other].primary.take() {
            // It was the primary on its own side only.
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
        // Of equals the first, so that all proxies and runs see the same result.
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
