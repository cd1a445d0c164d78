//! Canary analysis: the loss rates of the new and the former version, compared in the same windows by a sequential test that is
//! valid at any time (testing by betting). A stage is clean only if each member that entered with it has shown that itself.

use crate::bettor::Bettor;
use crate::member_evidence::{MemberEvidence, MemberFigures};
use crate::messages::{HaltReason, TrafficCounts, MAX_CLASSES};
use crate::series::Series;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Wealth of harm in total with which the end of the soak time is not enough to advance.
const SUSPICIOUS_WEALTH: f64 = 2.0;
/// The same for one class.
const SUSPICIOUS_CLASS_WEALTH: f64 = 8.0;
/// The same for one member, and at least so many times the number of members that entered with the stage.
const SUSPICIOUS_MEMBER_WEALTH: f64 = 8.0;
const SUSPICIOUS_WEALTH_PER_MEMBER: f64 = 2.0;
/// Bounds of the canary analysis.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceLimits {
    /// The least harm that has to be found, as a part of the offered weight.
    pub min_harm: f64,
    /// The probability that this test ever halts a version that does no harm.
    pub error_probability: f64,
    /// How long a stage runs before it counts as clean without proof.
    pub soak_time: Duration,
    /// Weight that both versions have to be offered in a window.
    pub min_window_demand: u64,
    /// Weight that the new version has to be offered in a stage.
    pub min_stage_demand: u64,
    /// Without a window for so long there is no evidence.
    pub max_age: Duration,
}

/// What the evidence says of the current stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The new version does harm.
    Harm(HaltReason),
    /// Harm of the least size is excluded, or the soak time is over without a sign of harm.
    Clean,
    /// Nothing is shown yet, and the soak time is not over.
    Soaking,
    /// Too little traffic to compare, or not on both versions.
    InsufficientTraffic,
    /// A member that entered with this stage was not compared often enough.
    MemberEvidenceMissing,
    /// The soak time is over, harm is not shown, and there is a sign of it.
    Inconclusive,
    /// No harm is shown, but a proxy of the stage is missing or has not reported that it runs the version.
    MembersMissing,
}

/// The traffic counts of one proxy.
#[derive(Clone, Debug)]
pub struct ReportedCounts<'a> {
    /// Name of the proxy.
    pub name: &'a str,
    /// Its region.
    pub region: &'a str,
    /// The incarnation that counted.
    pub incarnation: u64,
    /// The counts.
    pub counts: TrafficCounts,
}

/// Figures of the evidence, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceSummary {
    /// Windows that were compared.
    pub windows: u64,
    /// Wealth of the bet on harm; with 2/error the version is halted.
    pub harm_wealth: f64,
    /// Wealth of the bet against harm; with 1/error the stage is clean.
    pub safety_wealth: f64,
}

/// The evidence of one rollout as one proxy sees it.
#[derive(Clone, Debug)]
pub struct Evidence {
    limits: EvidenceLimits,
    total: Series,
    classes: BTreeMap<u32, Series>,
    /// The last counts of each proxy, with its incarnation.
    last_counts: BTreeMap<String, (u64, TrafficCounts)>,
    /// Bets against harm of the least size or more, in this stage.
    safety: Bettor,
    stage_demand: u64,
    /// Of each member that reported counts of the new version in this stage, by name.
    stage_members: BTreeMap<String, MemberEvidence>,
    windows: u64,
    last_window: Option<Duration>,
    stage_began: Duration,
}

impl Evidence {
    /// No evidence yet.
    pub fn new(limits: EvidenceLimits, now: Duration) -> Self {
        Self {
            limits,
            total: Series::default(),
            classes: BTreeMap::new(),
            last_counts: BTreeMap::new(),
            safety: Bettor::default(),
            stage_demand: 0,
            stage_members: BTreeMap::new(),
            windows: 0,
            last_window: None,
            stage_began: now,
        }
    }

    /// Begins a stage with a soak time and traffic of its own. The wealth of harm stays, so that all stages together have the one
    /// error probability.
    pub fn start_stage(&mut self, now: Duration) {
        self.safety = Bettor::default();
        self.stage_demand = 0;
        self.stage_members.clear();
        self.stage_began = now;
        self.last_window = None;
    }

    /// Takes what all proxies report now. Reports without new counts change nothing.
    pub fn observe<'a>(
        &mut self,
        now: Duration,
        reports: impl Iterator<Item = ReportedCounts<'a>>,
    ) {
        let mut versions: BTreeMap<String, BTreeSet<bool>> = BTreeMap::new();
        for report in reports {
            let region_versions = versions.entry(report.region.to_owned()).or_default();
            region_versions.insert(report.counts.runs_new);
            self.add_report(report);
        }
        // By the last reports, however old: a late one does not make a region run one version alone.
        let runs_both =
            |(region, runs_new): (String, BTreeSet<bool>)| (runs_new.len() > 1).then_some(region);
        let mixed_regions: BTreeSet<String> = versions.into_iter().filter_map(runs_both).collect();
        let min_demand = self.limits.min_window_demand;
        if let Some(difference) = self.total.close_window(min_demand, &mixed_regions) {
            let min_harm = self.limits.min_harm;
            self.safety.bet((min_harm - difference) / (1.0 + min_harm));
            self.windows += 1;
            self.last_window = Some(now);
        }
        for series in self.classes.values_mut() {
            series.close_window(min_demand, &mixed_regions);
        }
        for member in self.stage_members.values_mut() {
            member.close_window(now, min_demand, &mixed_regions);
        }
    }

    /// Adds what has come since the last report of the same process under the same version.
    fn add_report(&mut self, report: ReportedCounts<'_>) {
        let ReportedCounts {
            name,
            region,
            incarnation,
            counts,
        } = report;
        let last = self
            .last_counts
            .insert(name.to_owned(), (incarnation, counts.clone()));
        let comparable = last.filter(|(last_incarnation, last)| {
            *last_incarnation == incarnation
                && last.generation == counts.generation
                && last.runs_new == counts.runs_new
                && last.epoch == counts.epoch
        });
        let Some((_, last)) = comparable else { return };
        let total = counts.total.since(last.total);
        self.total.add((name, region), counts.runs_new, total);
        if counts.runs_new {
            self.stage_demand = self.stage_demand.saturating_add(total.offered);
            self.stage_members
                .entry(name.to_owned())
                .or_insert_with(|| MemberEvidence::new(region))
                .add_new(name, total);
        } else {
            for member in self.stage_members.values_mut() {
                member.add_old(name, region, total);
            }
        }
        for class in &counts.classes {
            let Some(last) = last.classes.iter().find(|c| c.class == class.class) else {
                continue;
            };
            if self.classes.contains_key(&class.class) || self.classes.len() < MAX_CLASSES {
                let series = self.classes.entry(class.class).or_default();
                series.add((name, region), counts.runs_new, class.since(*last));
            }
        }
    }

    /// What the evidence says at `now`. `entrants`: the members that enter with this stage and can be compared in their region.
    pub fn verdict(&self, now: Duration, entrants: &[&str]) -> Verdict {
        let limits = &self.limits;
        if let Some(reason) = self.harm() {
            return Verdict::Harm(reason);
        }
        let stale = self
            .last_window
            .is_none_or(|at| now.saturating_sub(at) > limits.max_age);
        if stale || self.stage_demand < limits.min_stage_demand {
            return Verdict::InsufficientTraffic;
        }
        let entrants: Option<Vec<&MemberEvidence>> = entrants
            .iter()
            .map(|name| self.stage_members.get(*name))
            .collect();
        let Some(entrants) = entrants else {
            return Verdict::MemberEvidenceMissing;
        };
        let harm_is_excluded = self.safety.wealth() >= 1.0 / limits.error_probability;
        if !harm_is_excluded && !self.has_soaked(now, &entrants) {
            return Verdict::Soaking;
        }
        if !entrants.iter().all(|member| member.is_sufficient()) {
            return Verdict::MemberEvidenceMissing;
        }
        if is_suspicious(&entrants) || !harm_is_excluded && self.is_suspicious() {
            Verdict::Inconclusive
        } else {
            Verdict::Clean
        }
    }

    /// Whether the soak time is over since the stage began and since each of these members was first compared.
    fn has_soaked(&self, now: Duration, entrants: &[&MemberEvidence]) -> bool {
        let began = entrants
            .iter()
            .map(|member| member.first_window())
            .try_fold(self.stage_began, |began, first| Some(began.max(first?)));
        began.is_some_and(|began| now.saturating_sub(began) >= self.limits.soak_time)
    }

    fn is_suspicious(&self) -> bool {
        self.total.harm_wealth() >= SUSPICIOUS_WEALTH
            || self.any_class_reaches(SUSPICIOUS_CLASS_WEALTH)
    }

    /// Half of the error probability goes to the total, half to all classes together.
    fn harm(&self) -> Option<HaltReason> {
        let error = self.limits.error_probability;
        if self.total.harm_wealth() >= 2.0 / error {
            return Some(HaltReason::Loss);
        }
        let class_threshold = 2.0 * MAX_CLASSES as f64 / error;
        self.any_class_reaches(class_threshold)
            .then_some(HaltReason::ClassLoss)
    }

    fn any_class_reaches(&self, wealth: f64) -> bool {
        self.classes
            .values()
            .any(|series| series.harm_wealth() >= wealth)
    }

    /// What each member has shown of the new version in this stage, by name.
    pub fn stage_members(&self) -> impl Iterator<Item = (&str, MemberFigures)> {
        self.stage_members
            .iter()
            .map(|(name, member)| (name.as_str(), member.figures()))
    }

    /// Figures for operators.
    pub fn summary(&self) -> EvidenceSummary {
        EvidenceSummary {
            windows: self.windows,
            harm_wealth: self.total.harm_wealth(),
            safety_wealth: self.safety.wealth(),
        }
    }
}

/// Whether the version seems to do harm at one of these members, whatever others report.
fn is_suspicious(entrants: &[&MemberEvidence]) -> bool {
    let scaled = SUSPICIOUS_WEALTH_PER_MEMBER * entrants.len() as f64;
    let threshold = scaled.max(SUSPICIOUS_MEMBER_WEALTH);
    entrants
        .iter()
        .any(|member| member.harm_wealth() >= threshold)
}
