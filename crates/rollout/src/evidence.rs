//! New against old, the lost part of the worth asked for, side by side in the same windows, by a test that may be looked at at any time.
//!
//! A bettor stakes a part of its wealth on each window. Where the null holds its wealth is a supermartingale that began
//! at 1, so by Ville's inequality it ever reaches 1/error with a chance of `error` at most, however often one looks and
//! whenever one stops. No crate that is kept does this; it is little enough to be here.

use crate::words::{Class, Counts, Why, CLASSES};
use std::collections::BTreeMap;
use std::time::Duration;

/// Parts of the wealth staked, one bettor each; the wealth is their mean.
const STAKES: [f64; 3] = [0.25, 0.5, 0.95];
/// Wealth at which the end of the soak is not enough to go on, in total and for a class.
const SIGN: f64 = 2.0;
const CLASS_SIGN: f64 = 8.0;
/// A proxy weighs at most so many times the median of its side.
const CLIP: u64 = 2;

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The least harm that has to be found, as a part of worth.
    pub least_harm: f64,
    /// The chance that a version that does no harm is ever halted by this test.
    pub error: f64,
    pub soak: Duration,
    /// Worth that both sides have to be asked for in a window that counts.
    pub window_least: u64,
    /// Worth that the new version has to be asked for in a stage.
    pub stage_least: u64,
    /// Evidence older than that is none.
    pub fresh: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    Harm(Why),
    /// A harm of more than the least is excluded, or the soak is over without a sign of harm.
    Clean,
    Soaking,
    TooLittle,
    /// Neither harm nor its absence is shown yet, and there is a sign of harm.
    Doubtful,
    /// No harm is shown, and a proxy of the stage is missing or has not said that it runs it.
    Missing,
}

#[derive(Clone, Debug, Default)]
struct Bettor([f64; STAKES.len()]);

impl Bettor {
    /// `gain`: in [-1, 1], of a mean of 0 or less where the null holds.
    fn bet(&mut self, gain: f64) {
        for (log, stake) in self.0.iter_mut().zip(STAKES) {
            *log += (stake * gain.clamp(-1.0, 1.0)).ln_1p();
        }
    }

    fn wealth(&self) -> f64 {
        self.0.iter().map(|log| log.exp()).sum::<f64>() / STAKES.len() as f64
    }
}

/// What has come of one side since the last bet, by proxy.
type Side = BTreeMap<String, Class>;

/// Old and new.
type Sides = [Side; 2];

#[derive(Clone, Debug, Default)]
struct Series {
    harm: Bettor,
    /// By region: what regions differ in is no harm of a version, so that proxies of one are compared.
    regions: BTreeMap<String, Sides>,
}

impl Series {
    fn add(&mut self, (who, region): (&str, &str), new: bool, more: Class) {
        let side = &mut self.regions.entry(region.to_owned()).or_default()[usize::from(new)];
        let sum = side.entry(who.to_owned()).or_default();
        // What others say may be any number.
        sum.asked = sum.asked.saturating_add(more.asked);
        sum.lost = sum.lost.saturating_add(more.lost);
    }

    /// The difference, once enough has been asked of both sides. That depends on what was asked, never on what was lost.
    fn window(&mut self, least: u64) -> Option<f64> {
        let both = |sides: &&Sides| sides.iter().all(|side| asked(side) > 0);
        let mut strata: Vec<Sides> = self.regions.values().filter(both).cloned().collect();
        if strata.is_empty() {
            // Regions of one proxy each: there is nothing else to compare with.
            let mut all = Sides::default();
            for (sides, sum) in self
                .regions
                .values()
                .flat_map(|sides| sides.iter().zip(0..))
            {
                let more = sides.iter().map(|(name, class)| (name.clone(), *class));
                if let Some(all) = all.get_mut::<usize>(sum) {
                    all.extend(more);
                }
            }
            strata.push(all);
        }
        let all = |side: usize| total(strata.iter().map(|sides| asked(&sides[side])));
        if [0, 1].into_iter().any(|side| all(side) < least.max(1)) {
            return None;
        }
        let (mut weights, mut sum) = (0.0, 0.0);
        for [old, new] in &strata {
            let weight = asked(old).min(asked(new)) as f64;
            weights += weight;
            sum += weight * (rate(new) - rate(old));
        }
        self.regions.clear();
        let difference = sum / f64::max(weights, 1.0);
        self.harm.bet(difference);
        Some(difference)
    }
}

fn asked(side: &Side) -> u64 {
    total(side.values().map(|c| c.asked))
}

fn total(parts: impl Iterator<Item = u64>) -> u64 {
    parts.fold(0, u64::saturating_add)
}

fn rate(side: &Side) -> f64 {
    let mut asked: Vec<u64> = side.values().map(|c| c.asked).filter(|&n| n > 0).collect();
    asked.sort_unstable();
    let most = asked
        .get(asked.len() / 2)
        .copied()
        .unwrap_or(1)
        .saturating_mul(CLIP);
    let (mut weights, mut sum) = (0.0, 0.0);
    for class in side.values().filter(|c| c.asked > 0) {
        let weight = class.asked.min(most) as f64;
        weights += weight;
        // Of a whole window: fractions of worth may be told a little late. So a side's part is within [0, 1].
        sum += weight * (class.lost.min(class.asked) as f64 / class.asked as f64);
    }
    if weights > 0.0 {
        sum / weights
    } else {
        0.0
    }
}

/// The evidence of one rollout, as one proxy sees it.
#[derive(Clone, Debug)]
pub struct Evidence {
    limits: Limits,
    total: Series,
    classes: BTreeMap<u32, Series>,
    /// What each said last, with the start of its process.
    last: BTreeMap<String, (u64, Counts)>,
    /// Against a harm of the least or more, in this stage.
    safe: Bettor,
    stage_asked: u64,
    windows: u64,
    counted: Option<Duration>,
    since: Duration,
}

impl Evidence {
    pub fn new(limits: Limits, now: Duration) -> Self {
        Self {
            limits,
            total: Series::default(),
            classes: BTreeMap::new(),
            last: BTreeMap::new(),
            safe: Bettor::default(),
            stage_asked: 0,
            windows: 0,
            counted: None,
            since: now,
        }
    }

    /// Another stage: its soak and its traffic begin anew; the wealth of harm does not, so that all stages together
    /// have the one error.
    pub fn stage(&mut self, now: Duration) {
        (self.safe, self.stage_asked, self.since, self.counted) = (Bettor::default(), 0, now, None);
    }

    /// What is said now: name and region, start of the process, counts. A look without news counts for nothing.
    pub fn look<'a>(
        &mut self,
        now: Duration,
        said: impl Iterator<Item = (&'a str, &'a str, u64, Counts)>,
    ) {
        for (name, region, start, counts) in said {
            let before = self.last.insert(name.to_owned(), (start, counts.clone()));
            let Some((_, before)) = before.filter(|(s, c)| {
                *s == start
                    && c.turn == counts.turn
                    && c.new == counts.new
                    && c.epoch == counts.epoch
            }) else {
                continue;
            };
            let total = counts.total.since(before.total);
            self.total.add((name, region), counts.new, total);
            self.stage_asked =
                self.stage_asked
                    .saturating_add(if counts.new { total.asked } else { 0 });
            for class in &counts.classes {
                let Some(was) = before.classes.iter().find(|c| c.class == class.class) else {
                    continue;
                };
                if self.classes.contains_key(&class.class) || self.classes.len() < CLASSES {
                    self.classes.entry(class.class).or_default().add(
                        (name, region),
                        counts.new,
                        class.since(*was),
                    );
                }
            }
        }
        let least = self.limits.window_least;
        if let Some(difference) = self.total.window(least) {
            let harm = self.limits.least_harm;
            self.safe.bet((harm - difference) / (1.0 + harm));
            self.windows += 1;
            self.counted = Some(now);
        }
        for series in self.classes.values_mut() {
            series.window(least);
        }
    }

    pub fn verdict(&self, now: Duration) -> Verdict {
        let Limits {
            error,
            soak,
            stage_least,
            fresh,
            ..
        } = self.limits;
        let each = 2.0 * CLASSES as f64 / error;
        if self.total.harm.wealth() >= 2.0 / error {
            return Verdict::Harm(Why::Loss);
        }
        if self.classes.values().any(|s| s.harm.wealth() >= each) {
            return Verdict::Harm(Why::Class);
        }
        let stale = self.counted.is_none_or(|at| now.saturating_sub(at) > fresh);
        if stale || self.stage_asked < stage_least {
            return Verdict::TooLittle;
        }
        if self.safe.wealth() >= 1.0 / error {
            return Verdict::Clean;
        }
        if now.saturating_sub(self.since) < soak {
            return Verdict::Soaking;
        }
        let sign = self.total.harm.wealth() >= SIGN
            || self.classes.values().any(|s| s.harm.wealth() >= CLASS_SIGN);
        if sign {
            Verdict::Doubtful
        } else {
            Verdict::Clean
        }
    }

    /// Windows that counted, the wealth of harm and that against it.
    pub fn figures(&self) -> (u64, f64, f64) {
        (self.windows, self.total.harm.wealth(), self.safe.wealth())
    }
}
