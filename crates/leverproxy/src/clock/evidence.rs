//! How far true time may be ahead of the process's clock, which was read once and may have been wrong then.
//!
//! The reasoning is in `docs/design/wall-clock.md`. Only one direction is kept: a clock that is behind lets old data
//! pass for fresh, while one that is ahead only asks for more than is needed.

use routing::{ServerId, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// All machines read one clock, give or take this.
pub const CLOCKS_APART: Duration = Duration::from_secs(1);
/// A system clock that is this little ahead has not been stepped.
const STEP: Duration = Duration::from_millis(50);
/// One server's word, which nobody else supports, counts for so long.
const DOUBT: Duration = Duration::from_secs(2);
/// For so long it is kept for others to agree with.
const HINT_KEPT: Duration = Duration::from_secs(10);
/// So many agreeing words of one server prove as much as those of two.
const WORDS_OF_ONE: u32 = 3;
/// So many words of primaries in a row take back what they contradict.
const CONTRADICTIONS: u32 = 3;
/// Leads are rounded up to whole multiples of this, so that needs do not change with each answer.
const GRAIN: Duration = Duration::from_millis(10);
/// Machines that are kept in step differ by about this much: no contradiction.
const JITTER: Duration = Duration::from_millis(20);
/// A load report may be as old as this when it is told.
pub const REPORT_AGE: Duration = Duration::from_secs(5);

/// A position that a record server told. No truthful one lies ahead of true time.
#[derive(Clone, Copy, Debug)]
pub struct Told {
    pub server: ServerId,
    pub position: Time,
    /// Of a primary, whose position is its present: it was told no earlier than this, by the process's clock.
    pub present_since: Option<Time>,
}

/// A server's word that is not supported yet.
#[derive(Clone, Copy, Debug)]
struct Hint {
    lead: Duration,
    words: u32,
    at: Time,
}

/// Words of primaries that contradict the lead that counts, one after another.
#[derive(Clone, Copy, Debug, Default)]
struct Contradiction {
    words: u32,
    /// The most that all of them allow.
    most: Duration,
}

#[derive(Debug, Default)]
pub struct Evidence {
    /// Supported by two witnesses.
    proven: Duration,
    /// What the system's clock says now, and what it said when primaries contradicted it.
    system: Duration,
    refuted: Option<Duration>,
    hints: BTreeMap<ServerId, Hint>,
    /// Of an unsupported word, and until when it counts.
    doubt: Option<(Duration, Time)>,
    contradiction: Contradiction,
}

impl Evidence {
    /// How far the system's clock is ahead now.
    pub fn system(&mut self, lead: Duration) {
        self.system = if lead > STEP { lead } else { Duration::ZERO };
        if self
            .refuted
            .is_some_and(|refuted| lead.abs_diff(refuted) > STEP)
        {
            self.refuted = None;
        }
    }

    pub fn told(&mut self, told: Told, now: Time) {
        let Told {
            server,
            position,
            present_since,
        } = told;
        let lead = rounded(position.since(now));
        if lead > self.proven {
            self.leads(server, lead, now);
        }
        if let Some(since) = present_since {
            self.allows(lead, rounded(position.since(since)));
        }
    }

    /// The position of a client's last write. A client may say anything: alone it proves nothing.
    pub fn written(&mut self, position: Time, now: Time) {
        let lead = rounded(position.since(now));
        if lead > self.proven
            && (self.system_supports(lead) || self.hinted(lead, None, now).is_some())
        {
            self.prove(lead);
        }
    }

    /// The most that true time is taken to be ahead; needs for fresh data go by it.
    pub fn lead(&self, now: Time) -> Duration {
        let doubt = self
            .doubt
            .filter(|(_, until)| now < *until)
            .map_or(Duration::ZERO, |(lead, _)| lead);
        self.standing().max(doubt)
    }

    /// No position beyond this is believed.
    pub fn latest(&self, now: Time) -> Time {
        now.plus(self.proven).plus(CLOCKS_APART)
    }

    /// The lead that counts until it is contradicted.
    fn standing(&self) -> Duration {
        let system = if self.refuted.is_some() {
            Duration::ZERO
        } else {
            self.system
        };
        self.proven.max(system)
    }

    /// A server's position is ahead of all that is proven.
    fn leads(&mut self, server: ServerId, lead: Duration, now: Time) {
        let before = self
            .hints
            .get(&server)
            .filter(|hint| recent(hint, now) && agree(hint.lead, lead));
        let words = before.map_or(0, |hint| hint.words) + 1;
        let other = self.hinted(lead, Some(server), now);
        if words >= WORDS_OF_ONE || other.is_some() || self.system_supports(lead) {
            return self.prove(lead.max(other.unwrap_or_default()));
        }
        self.hints.retain(|_, hint| recent(hint, now));
        self.hints.insert(
            server,
            Hint {
                lead,
                words,
                at: now,
            },
        );
        let doubt = self
            .doubt
            .filter(|(_, until)| now < *until)
            .map_or(lead, |(before, _)| before.max(lead));
        self.doubt = Some((doubt, now.plus(DOUBT)));
    }

    /// The lead that another server has told, if it agrees.
    fn hinted(&self, lead: Duration, but: Option<ServerId>, now: Time) -> Option<Duration> {
        let others = self
            .hints
            .iter()
            .filter(|(server, _)| Some(**server) != but);
        let agreeing = others.filter(|(_, hint)| recent(hint, now) && agree(hint.lead, lead));
        agreeing.map(|(_, hint)| hint.lead).max()
    }

    fn system_supports(&self, lead: Duration) -> bool {
        !self.system.is_zero() && self.refuted.is_none() && agree(self.system, lead)
    }

    fn prove(&mut self, lead: Duration) {
        log::warn!(
            "clock: this process's clock is {} ms behind that of record servers",
            lead.as_millis()
        );
        (self.proven, self.doubt, self.contradiction) = (lead, None, Contradiction::default());
        self.hints.clear();
    }

    /// A primary's word: true time is this much ahead at least and at most.
    fn allows(&mut self, least: Duration, most: Duration) {
        let standing = self.standing();
        if standing <= most + JITTER {
            // One that leaves too much open supports nothing.
            if agree(least, most) {
                self.contradiction = Contradiction::default();
            }
            return;
        }
        let Contradiction {
            words,
            most: before,
        } = &mut self.contradiction;
        (*words, *before) = (*words + 1, most.max(*before));
        if *words < CONTRADICTIONS {
            return;
        }
        let most = *before;
        self.contradiction = Contradiction::default();
        self.proven = self.proven.min(most);
        if self.system > most {
            self.refuted = Some(self.system);
        }
        log::info!(
            "clock: primaries allow a lead of {} ms; what was beyond it is dropped",
            most.as_millis()
        );
    }
}

/// Up to the next multiple of the grain.
fn rounded(lead: Duration) -> Duration {
    match lead.subsec_nanos() % GRAIN.subsec_nanos() {
        0 => lead,
        over => lead.saturating_add(GRAIN - Duration::from_nanos(over.into())),
    }
}

fn agree(a: Duration, b: Duration) -> bool {
    a.abs_diff(b) <= CLOCKS_APART
}

fn recent(hint: &Hint, now: Time) -> bool {
    now.since(hint.at) < HINT_KEPT
}
