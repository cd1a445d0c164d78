//! What this proxy keeps and says: nothing is said that the file does not have.

use super::*;

impl Core {
    pub(super) fn head(&self) -> Head {
        let kept = &self.saved;
        Head {
            founders: digest(&kept.founders),
            memory: kept.memory,
            lane: kept.lane,
            life: self.life,
        }
    }

    pub(super) fn beat(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let beat = self.beats.back().map_or(1, |(beat, _)| beat + 1);
        self.beats.push_back((beat, now));
        while self.beats.len() > 1 && self.beats[0].1 + self.lease <= now {
            self.beats.pop_front();
        }
        let (mut founders, mut others) = (Vec::new(), Vec::new());
        for (lane, known) in &self.lanes {
            let voted = self.kept.votes.contains_key(lane) && self.guards.frozen;
            if voted || known.last.1 == 0 || now.saturating_sub(known.heard) > self.lease {
                continue;
            }
            let echo = mark(known.last.0, known.last.1);
            match self.saved.founders.binary_search(lane) {
                Ok(at) => founders.push((at as u8, echo)),
                Err(_) => others.push((*lane, echo)),
            }
        }
        others.truncate(8);
        let pulse = Pulse {
            head: self.head(),
            ripe: self.ripe(now),
            beat,
            founders,
            others,
        };
        self.tell(said::PULSE, vec![], encode(&pulse), self.lease, actions);
    }

    /// Asks for a file when something is to be kept; without one it is kept as it is.
    pub(super) fn save(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if !self.dirty || self.saving.is_some() {
            return;
        }
        self.dirty = false;
        for (key, known) in &self.stands {
            if let Some(row) = self.kept.rows.get_mut(key) {
                row.lent = row.lent.max(known.loans.lent);
                row.repaid = known.loans.repaid;
                row.written_off = known.loans.written_off;
            }
        }
        if !self.stored {
            self.saved = self.kept.clone();
            self.tell_kept(now, actions);
            return;
        }
        self.sequence += 1;
        if let Some(bytes) = self.kept.write(&self.name) {
            self.saving = Some((self.sequence, self.kept.clone()));
            actions.push(Action::Save {
                sequence: self.sequence,
                bytes,
            });
        }
    }

    /// Says what the file has: nothing that is said can be forgotten.
    pub(super) fn tell_kept(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let head = self.head();
        if self.saved.founders.is_empty()
            || (self.saved.lane, self.saved.memory) != (self.kept.lane, self.kept.memory)
        {
            return;
        }
        let lasts = self.row_lasts();
        let least = self
            .saved
            .founders
            .iter()
            .map(|id| id.from)
            .min()
            .unwrap_or(0);
        let members = self
            .saved
            .founders
            .iter()
            .map(|id| (id.name, id.from - least))
            .collect();
        let founded = encode(&said::Founded {
            head,
            least,
            members,
        });
        let mut says = Vec::new();
        for (stand, row) in &self.saved.rows {
            let mut row = row.clone();
            if let (Some(now), Some(known)) = (self.kept.rows.get(stand), self.stands.get(stand)) {
                (row.line, row.demand) = (now.line, known.demand);
            }
            let said = encode(&said::SaidRow { head, row });
            says.push((said::ROW, stand.to_le_bytes().to_vec(), said));
        }
        let stands: BTreeSet<u32> = self.saved.seen.keys().map(|(_, stand)| *stand).collect();
        for stand in stands.into_iter().take(STANDS) {
            let (mut founders, mut others) = (Vec::new(), Vec::new());
            for ((lane, _), given) in self.saved.seen.iter().filter(|((_, of), _)| *of == stand) {
                match self.saved.founders.binary_search(lane) {
                    Ok(at) => founders.push((at as u8, *given)),
                    Err(_) => others.push((*lane, *given)),
                }
            }
            others.truncate(4);
            let said = encode(&said::Witness {
                head,
                founders,
                others,
            });
            says.push((said::WITNESS, stand.to_le_bytes().to_vec(), said));
        }
        let asked = self.claims.iter().filter(|(_, until)| **until > now);
        let votes = asked.filter_map(|(lane, _)| Some((*lane, self.saved.votes.get(lane)?)));
        for (lane, vote) in votes.take(VOTES_SAID) {
            let said = encode(&said::SaidVote {
                head,
                lane,
                vote: vote.clone(),
            });
            says.push((said::VOTE, key(lane), said));
        }
        says.push((said::FOUNDED, vec![], founded));
        for (kind, key, said) in says {
            self.tell_if_due(now, (kind, key), said, lasts, actions);
        }
    }

    /// What has changed at once; what has not a step later, and then the more seldom the longer it stands, once a lease at
    /// least: what is lost on its way comes again soon, and what is known to all does not fill the spread.
    pub(super) fn tell_if_due(
        &mut self,
        now: Duration,
        of: (u8, Vec<u8>),
        body: Option<Vec<u8>>,
        lasts: Duration,
        actions: &mut Vec<Action>,
    ) {
        let mut first = now;
        if let (Some((former, since, last)), Some(body)) = (self.said.get(&of), &body) {
            if former == body {
                if now
                    < *last
                        + last
                            .saturating_sub(*since)
                            .clamp(self.step.min(self.lease), self.lease)
                {
                    return;
                }
                first = *since;
            }
        }
        let (kind, key) = of.clone();
        if let Some(body) = &body {
            self.said.insert(of, (body.clone(), first, now));
        }
        self.tell(kind, key, body, lasts, actions);
    }

    pub(super) fn tell(
        &self,
        kind: u8,
        key: Vec<u8>,
        body: Option<Vec<u8>>,
        lasts: Duration,
        actions: &mut Vec<Action>,
    ) {
        actions.push(match body {
            Some(body) => Action::Tell {
                kind,
                key,
                body,
                lasts,
            },
            None => Action::Notice(Notice::Unsaid(kind)),
        });
    }
}

pub(super) fn key(lane: Id) -> Vec<u8> {
    let mut key = lane.name.to_le_bytes().to_vec();
    key.extend(lane.from.to_le_bytes());
    key
}
