//! One request beyond its quota: whether it is lent to, and what comes back of it.

use super::*;

impl Core {
    /// A request of that cost (a thousandth of a request each) beyond the quota of a stand: is it lent?
    pub fn ask(
        &mut self,
        now: Duration,
        stand: &str,
        class: &str,
        cost: Milli,
        actions: &mut Vec<Action>,
    ) -> Verdict {
        let verdict = self.decide(now, number(stand), stand, class, cost);
        self.save(now, actions);
        match verdict {
            Ok(()) => Verdict::Borrowed,
            Err(reason) => Verdict::No(reason),
        }
    }

    pub(super) fn decide(
        &mut self,
        now: Duration,
        key: u32,
        name: &str,
        class: &str,
        cost: Milli,
    ) -> Result<(), Reason> {
        let rule = match self.rules.by.get(&key) {
            Some((named, rule)) if named == name => rule.clone(),
            _ => return Err(Reason::NoRule),
        };
        if !rule.classes.iter().any(|named| named == class) {
            return Err(Reason::Class);
        }
        if self.kept.founders.is_empty() {
            return Err(Reason::Alone);
        }
        if !self.stands.contains_key(&key) && !self.open_row(now, key) {
            return Err(Reason::Crowded);
        }
        let reserved = if self.stored {
            self.saved.rows.get(&key).map_or(0, |row| row.lent)
        } else {
            Milli::MAX
        };
        let guards = self.guards;
        let share = (self.share(key) << 10) / WHOLE;
        let rate = (rule.rate_most.saturating_mul(share) >> 10).max(cost);
        let Some(known) = self.stands.get_mut(&key) else {
            return Err(Reason::Crowded);
        };
        known.asked = known.asked.saturating_add(cost);
        let known_owed = known.loans.owed();
        let checks = [
            (self.closed.contains(&key), Reason::Closed),
            (self.short, Reason::Short),
            (!self.lend, Reason::View),
            (now >= self.lease_until, Reason::Alone),
            (known.loans.in_default(now, rule.term), Reason::Default),
            (
                guards.part && known_owed.saturating_add(cost) > known.part,
                Reason::Line,
            ),
            (
                guards.reserve && known.loans.lent.saturating_add(cost) > reserved,
                Reason::Unsaved,
            ),
        ];
        if let Some((_, reason)) = checks.into_iter().find(|(no, _)| *no) {
            if reason == Reason::Unsaved {
                self.reserve(key);
            }
            return Err(reason);
        }
        if !known.loans.rate(now, cost, rate) {
            return Err(Reason::Rate);
        }
        known.loans.lend(now, cost, rule.term);
        self.reserve(key);
        Ok(())
    }

    /// The thousandths of its quota here (`quota` a second) that a stand does without now, of which it uses `used` thousandths.
    /// What was lent here comes first; what others ask for is withheld besides.
    pub fn withhold(&mut self, now: Duration, stand: &str, quota: Milli, used: u32) -> u32 {
        let key = number(stand);
        let Some((_, rule)) = self.rules.by.get(&key) else {
            return 0;
        };
        let help = self.help.share(now, key, rule);
        let Some(known) = self.stands.get_mut(&key) else {
            return help;
        };
        known.quota = Some(quota);
        known
            .loans
            .withhold(now, rule, quota, used, self.short)
            .max(help)
    }

    /// So much of a stand's quota was withheld: returns what of it was owed here. The rest is for others that ask.
    pub fn repay(&mut self, now: Duration, stand: &str, amount: Milli) -> Milli {
        let key = number(stand);
        let paid = self.give_back(stand, amount);
        self.help.pay(now, key, amount - paid);
        paid
    }

    /// Of what was lent, so much was not used after all.
    pub fn give_back(&mut self, stand: &str, amount: Milli) -> Milli {
        let Some(known) = self.stands.get_mut(&number(stand)) else {
            return 0;
        };
        let paid = known.loans.repay(amount);
        self.dirty |= paid > 0 && known.loans.owed() == 0;
        paid
    }
}
