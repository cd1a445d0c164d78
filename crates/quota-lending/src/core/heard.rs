//! What others say, taken in: facts of their pulses, founders, rows, witnesses and votes.

use super::*;

impl Core {
    /// None: not of this version, not whole, or nothing that a proxy says.
    #[allow(clippy::too_many_arguments)] // The parts of one fact.
    pub(super) fn fact(
        &mut self,
        now: Duration,
        source: u32,
        start: u64,
        kind: u8,
        key: &[u8],
        body: &[u8],
        age: Duration,
    ) -> Option<()> {
        if key.len() > KEY_BYTES {
            return None;
        }
        let founder = |id: &Id| id.name == source;
        // Before the first view nobody is known.
        if !self.roster.is_empty()
            && !self.roster.contains(&source)
            && !self.kept.founders.iter().any(founder)
        {
            self.unkept = Some(NotKept::Stranger);
            return Some(());
        }
        let stand = || Some(u32::from_le_bytes(key.try_into().ok()?));
        match kind {
            said::PULSE => {
                let pulse: Pulse = decode(body)?;
                if pulse.head.life == start {
                    self.pulse(now, source, pulse, age);
                }
            }
            said::FOUNDED => self.founded(decode(body)?),
            said::ROW => {
                let (said, stand): (said::SaidRow, u32) = (decode(body)?, stand()?);
                if self.same(&said.head) {
                    let lane = Id {
                        name: source,
                        from: said.head.lane,
                    };
                    return self.row(now, lane, stand, said.row, age);
                }
            }
            said::WITNESS => {
                let (said, stand): (said::Witness, u32) = (decode(body)?, stand()?);
                if self.same(&said.head) {
                    self.witness(source, said, stand);
                }
            }
            said::CLAIM => {
                let said: said::Claim = decode(body)?;
                if self.same(&said.head) {
                    if self.claims.len() < LANES {
                        self.claims.insert(said.lane, now + self.hold);
                    }
                    self.vote(
                        now,
                        said.lane,
                        Id {
                            name: source,
                            from: said.head.lane,
                        },
                    );
                }
            }
            said::VOTE => {
                let said: said::SaidVote = decode(body)?;
                if self.same(&said.head) {
                    self.voted(source, said);
                }
            }
            said::ASKS => {
                let asks: said::Asks = decode(body)?;
                if self.same(&asks.head) {
                    self.help
                        .heard(source, asks, now + self.lease.saturating_sub(age));
                }
            }
            said::PAID => {
                let paid: said::Paid = decode(body)?;
                if self.same(&paid.head) {
                    self.paid(source, start, paid);
                }
            }
            _ => {}
        }
        Some(())
    }

    /// Others have withheld for what was lent here.
    pub(super) fn paid(&mut self, source: u32, life: u64, paid: said::Paid) {
        for (stand, amount) in self.help.got(self.me, source, life, paid) {
            if let Some(known) = self.stands.get_mut(&stand) {
                self.dirty |= known.loans.repay(amount) > 0 && known.loans.owed() == 0;
            }
        }
    }

    pub(super) fn witness(&mut self, source: u32, said: said::Witness, stand: u32) {
        let founders = said.founders.into_iter();
        let named = founders
            .filter_map(|(at, given)| Some((*self.kept.founders.get(usize::from(at))?, given)));
        let all: Vec<(Id, Given)> = named.chain(said.others).collect();
        let Some(peer) = self.heard(source, &said.head) else {
            return;
        };
        for (lane, given) in all {
            // What is not kept of its word is one witness less: a gift may not count then, never count twice.
            if peer.seen.len() < ROWS || peer.seen.contains_key(&(lane, stand)) {
                let seen = peer.seen.entry((lane, stand)).or_default();
                *seen = (*seen).max(given);
            }
        }
        self.firm();
    }

    pub(super) fn voted(&mut self, source: u32, said: said::SaidVote) {
        let once = self.guards.once;
        let Some(peer) = self.heard(source, &said.head) else {
            return;
        };
        if peer.votes.len() >= VOTES {
            return;
        }
        if once {
            peer.votes.entry(said.lane).or_insert(said.vote);
        } else {
            peer.votes.insert(said.lane, said.vote);
        }
    }

    /// Of the same founders?
    pub(super) fn same(&self, head: &Head) -> bool {
        head.founders != 0 && head.founders == digest(&self.kept.founders)
    }

    /// The peer, if this is of its last life known; a later one starts anew unless it kept its memory.
    pub(super) fn heard(&mut self, source: u32, head: &Head) -> Option<&mut Peer> {
        if !self.peers.contains_key(&source) && self.peers.len() >= LANES {
            return None;
        }
        let peer = self.peers.entry(source).or_default();
        if head.life < peer.life {
            return None;
        }
        if head.memory != peer.memory {
            *peer = Peer {
                memory: head.memory,
                ..Peer::default()
            };
        }
        peer.life = head.life;
        peer.lane = head.lane;
        Some(peer)
    }

    pub(super) fn pulse(&mut self, now: Duration, source: u32, pulse: Pulse, age: Duration) {
        let mine = self.lane();
        let at = self
            .kept
            .founders
            .binary_search(&mine)
            .ok()
            .filter(|_| self.same(&pulse.head));
        let own = |(founder, _): &&(u8, u32)| at == Some(usize::from(*founder));
        let echo = pulse.founders.iter().find(own).map(|(_, mark)| *mark);
        let echo = echo.or(pulse
            .others
            .iter()
            .find(|(id, _)| *id == mine)
            .map(|(_, mark)| *mark));
        let life = self.life;
        let said = echo.and_then(|echo| {
            self.beats
                .iter()
                .rfind(|(beat, _)| mark(life, *beat) == echo)
        });
        let said = said.map(|(_, at)| *at);
        let (until, lease) = (now + self.lease.saturating_sub(age), self.lease);
        let Some(peer) = self.heard(source, &pulse.head) else {
            return;
        };
        if age < lease {
            peer.until = until;
            peer.fresh = pulse.head.founders == 0 && pulse.ripe;
        }
        peer.echoed = peer.echoed.max(said);
        let lane = Id {
            name: source,
            from: pulse.head.lane,
        };
        if self.has_room(now, lane) {
            let known = self.lanes.entry(lane).or_default();
            if (pulse.head.life, pulse.beat) > known.last {
                known.last = (pulse.head.life, pulse.beat);
                known.heard = now;
            }
        }
        if self.kept.votes.contains_key(&lane) {
            // It lives and does not know yet.
            self.claims.insert(lane, now + self.hold);
        }
    }

    pub(super) fn founded(&mut self, founded: said::Founded) {
        if !self.kept.founders.is_empty()
            || founded.members.is_empty()
            || founded.members.len() > FOUNDERS
        {
            return;
        }
        let id = |(name, more): &(u32, u64)| Id {
            name: *name,
            from: founded.least.saturating_add(*more),
        };
        let founders: Vec<Id> = founded.members.iter().map(id).collect();
        if !founders.is_sorted_by(|a, b| a.name < b.name)
            || digest(&founders) != founded.head.founders
        {
            return;
        }
        self.kept.founders = founders;
        if !self.guards.memory {
            let of = self
                .kept
                .founders
                .iter()
                .find(|id| id.name == self.me)
                .map(|id| id.from);
            self.kept.memory = of.unwrap_or(self.kept.memory);
            self.kept.lane = self.kept.memory;
        }
        self.dirty = true;
    }

    /// None: together with what is known, more receivers than any lane gives to. A part of it must not be kept: without the
    /// rest the lane seems to have given less, and whoever takes it over would hold again what others have. So nothing of it
    /// is, as if it had been lost on its way. But this proxy may have witnessed as great a sum of other gifts of that lane, and
    /// for who heard only these that would make them count: so from now on it says that the lane's row is untrue.
    pub(super) fn row(
        &mut self,
        now: Duration,
        lane: Id,
        stand: u32,
        row: Row,
        age: Duration,
    ) -> Option<()> {
        if !self.has_room(now, lane) {
            return Some(());
        }
        let until = now + self.row_lasts().saturating_sub(age);
        let frozen = self.kept.votes.contains_key(&lane) && self.guards.frozen;
        let known = self.lanes.entry(lane).or_default();
        if !known.rows.contains_key(&stand) && known.rows.len() >= STANDS {
            return Some(());
        }
        let (mine, held) = known.rows.entry(stand).or_default();
        let kept = mine.receivers_with(&row) <= RECEIVERS;
        if kept {
            mine.merge(&row);
            *held = (*held).max(until);
        }
        let given = if kept { mine.given() } else { Given::UNTRUE };
        let seen = self
            .kept
            .seen
            .get(&(lane, stand))
            .copied()
            .unwrap_or_default();
        let room = self.kept.seen.len() < ROWS || self.kept.seen.contains_key(&(lane, stand));
        if given > seen && !frozen && room {
            self.kept.seen.insert((lane, stand), given);
            self.dirty = true;
        }
        if !self.kept.rows.contains_key(&stand) && self.rules.by.contains_key(&stand) {
            // So that all know the line that this proxy's rules say.
            self.open_row(now, stand);
        }
        self.firm();
        kept.then_some(())
    }

    /// Whether there is room for what is said of a lane. Of one name the lane that was heard the longest ago makes room, if all
    /// that it lent is over and it holds nothing: as if its rows had been lost on their way.
    pub(super) fn has_room(&mut self, now: Duration, lane: Id) -> bool {
        if self.lanes.contains_key(&lane) {
            return true;
        }
        let of_name = Id {
            name: lane.name,
            from: 0,
        }..=Id {
            name: lane.name,
            from: u64::MAX,
        };
        let lives: Vec<(Duration, Id)> = self
            .lanes
            .range(of_name)
            .map(|(id, known)| (known.heard, *id))
            .collect();
        if lives.len() >= LIVES {
            let idle = |id: Id| self.silent(now, id) && !self.worth(id);
            let Some((_, oldest)) = lives.into_iter().filter(|(_, id)| idle(*id)).min() else {
                self.unkept = Some(NotKept::Lives);
                return false;
            };
            self.lanes.remove(&oldest);
        }
        if self.lanes.len() >= LANES {
            self.unkept = Some(NotKept::Full);
            return false;
        }
        true
    }
}
