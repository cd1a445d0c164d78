//! Canary analysis: compares the loss rates of the new and the previous version in the same windows with an anytime-valid
//! sequential test (testing by betting). A stage is clean only if the evidence from each member that entered with it is
//! sufficient and not suspicious.

use crate::bettor::Bettor;
use crate::member_evidence::{MemberEvidence, MemberFigures};
use crate::messages::{HaltReason, TrafficCounts, MAX_CLASSES};
use crate::series::Series;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Wealth of the bet on harm in total from which the end of the soak time alone is not enough to advance.
const SUSPICIOUS_WEALTH: f64 = 2.0;
/// Like `SUSPICIOUS_WEALTH`, for one class.
const SUSPICIOUS_CLASS_WEALTH: f64 = 8.0;
/// Like `SUSPICIOUS_WEALTH`, for one member. The threshold is at least `SUSPICIOUS_WEALTH_PER_MEMBER` times the number of
/// members that entered with the stage.
const SUSPICIOUS_MEMBER_WEALTH: f64 = 8.0;
const SUSPICIOUS_WEALTH_PER_MEMBER: f64 = 2.0;
/// Bounds of the canary analysis.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceLimits {
    /// The smallest increase of the loss rate that must be detected, as a fraction of the offered weight.
    pub min_harm: f64,
    /// Upper bound on the probability that the test ever halts a version that does no harm.
    pub error_probability: f64,
    /// How long a stage runs before it can count as clean although harm is not excluded by the test.
    pub soak_time: Duration,
    /// Minimum weight that each version must be offered in a window.
    pub min_window_demand: u64,
    /// Minimum weight that the new version must be offered in a stage.
    pub min_stage_demand: u64,
    /// Maximum age of the last window; older evidence is not used.
    pub max_age: Duration,
}

/// The verdict on the current stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The new version does harm.
    Harm(HaltReason),
    /// Harm of `min_harm` or more is excluded, or the soak time has ended without a sign of harm.
    Clean,
    /// Harm is neither shown nor excluded, and the soak time has not ended.
    Soaking,
    /// There is too little traffic for a comparison, or not on both versions.
    InsufficientTraffic,
    /// A member that entered with this stage was not compared in enough windows.
    MemberEvidenceMissing,
    /// The soak time has ended or harm is excluded in total, but there is a sign of harm.
    Inconclusive,
    /// The evidence is clean, but a proxy of the stage is missing or has not reported that it runs the version.
    MembersMissing,
}

/// The traffic counts of one proxy.
#[derive(Clone, Debug)]
pub struct ReportedCounts<'a> {
    /// Name of the proxy that reported the counts.
    pub name: &'a str,
    /// Region of the proxy.
    pub region: &'a str,
    /// Incarnation of the proxy that counted.
    pub incarnation: u64,
    /// The reported counts.
    pub counts: TrafficCounts,
}

/// Figures of the canary analysis, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EvidenceSummary {
    /// Number of windows that were compared.
    pub windows: u64,
    /// Wealth of the bet on harm. At 2/`error_probability` the version is halted.
    pub harm_wealth: f64,
    /// Wealth of the bet against harm. At 1/`error_probability` harm is excluded.
    pub safety_wealth: f64,
}

/// The evidence about one rollout, as collected by one proxy.
#[derive(Clone, Debug)]
pub struct Evidence {
    limits: EvidenceLimits,
    total: Series,
    classes: BTreeMap<u32, Series>,
    /// Incarnation and last counts of each proxy. The key is the name of the proxy.
    last_counts: BTreeMap<String, (u64, TrafficCounts)>,
    /// Bets against harm of `min_harm` or more in this stage.
    safety: Bettor,
    stage_demand: u64,
    /// Evidence from each member that reported counts of the new version in this stage. The key is the name of the member.
    stage_members: BTreeMap<String, MemberEvidence>,
    windows: u64,
    last_window: Option<Duration>,
    stage_began: Duration,
}

impl Evidence {
    /// Evidence without any counts, for a stage that begins at `now`.
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

    /// Begins a stage with its own soak time and demand. The wealth of the bet on harm is kept, so that the error probability
    /// holds for all stages together.
    pub fn start_stage(&mut self, now: Duration) {
        self.safety = Bettor::default();
        self.stage_demand = 0;
        self.stage_members.clear();
        self.stage_began = now;
        self.last_window = None;
    }

    /// Adds the current reports of all proxies and closes the windows that have enough demand. A report without new counts
    /// has no effect.
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
        // Determined from the last report of each proxy, whatever its age, so that a late report does not make a region appear
        // to run a single version.
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

    /// Adds the increase since the last report of the same process under the same version.
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

    /// The verdict at `now`. `entrants` are the members that enter with this stage and can be compared in their region.
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

    /// Whether the soak time has passed since the stage began and since each of the entrants was first compared.
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

    /// The reason for a halt, if harm is shown. Half of the error probability is assigned to the total and half to all classes
    /// together.
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

    /// Name and figures of each member that ran the new version in this stage.
    pub fn stage_members(&self) -> impl Iterator<Item = (&str, MemberFigures)> {
        self.stage_members
            .iter()
            .map(|(name, member)| (name.as_str(), member.figures()))
    }

    /// Summary for operators.
    pub fn summary(&self) -> EvidenceSummary {
        EvidenceSummary {
            windows: self.windows,
            harm_wealth: self.total.harm_wealth(),
            safety_wealth: self.safety.wealth(),
        }
    }
}

/// Whether there is a sign of harm at any of the entrants, regardless of the reports of the others.
fn is_suspicious(entrants: &[&MemberEvidence]) -> bool {
    let scaled = SUSPICIOUS_WEALTH_PER_MEMBER * entrants.len() as f64;
    let threshold = scaled.max(SUSPICIOUS_MEMBER_WEALTH);
    entrants
        .iter()
        .any(|member| member.harm_wealth() >= threshold)
}
