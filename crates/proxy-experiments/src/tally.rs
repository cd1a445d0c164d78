//! The books of a run: goodput as a whole and of its worst parts, latencies, and what happened when.

use crate::play::fleet::Loans;
use crate::scenario::{Scenario, Weights, SECOND};
use hdrhistogram::serialization::{Deserializer, Serializer, V2Serializer};
use hdrhistogram::Histogram;
use invariant_checkers::cold::Peak;
use invariant_checkers::Rule;
use serde::{Deserialize, Serialize};
use server_model::clients::{RequestOutcome, Settled};
use server_model::Micros;
use std::collections::BTreeMap;

/// Latencies are kept up to a minute, with two significant digits.
const HIGHEST: u64 = 60 * SECOND;
const DIGITS: u8 = 2;

/// The span over which a run is at its worst.
const WORST: usize = 10;

/// A histogram of latencies in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HIGHEST, DIGITS)
        .unwrap_or_else(|_| Histogram::new(DIGITS).expect("digits"))
}

/// A part of the books: one second, one class, one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// Weight that was asked for.
    pub worth: f64,
    /// Weight that was earned.
    pub earned: f64,
    /// Weight earned if the tenant's account counts what is served.
    #[serde(default)]
    pub counted: f64,
    /// Requests.
    pub asked: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client left.
    pub left: u64,
}

impl Part {
    fn add(&mut self, settled: &Settled) {
        self.worth += settled.priority_weight;
        self.earned += settled.earned;
        self.counted += settled.counted;
        self.asked += 1;
        match settled.outcome {
            RequestOutcome::Served => self.served += 1,
            RequestOutcome::Rejected => self.refused += 1,
            RequestOutcome::Failed => self.failed += 1,
            RequestOutcome::Abandoned => self.left += 1,
        }
    }

    /// None: nothing was asked for.
    pub fn goodput(&self) -> Option<f64> {
        (self.worth > 0.0).then(|| self.earned / self.worth)
    }
}

/// Latencies in the form in which they are stored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Packed(String);

impl Packed {
    /// The stored form of a histogram.
    pub fn of(histogram: &Histogram<u64>) -> Packed {
        use base64::Engine;
        let mut bytes = Vec::new();
        // Into memory; a histogram always fits.
        _ = V2Serializer::new().serialize(histogram, &mut bytes);
        Packed(base64::engine::general_purpose::STANDARD.encode(bytes))
    }

    /// The histogram; none: the text can't be read.
    pub fn open(&self) -> Option<Histogram<u64>> {
        use base64::Engine;
        let bytes = base64::engine::general_purpose::STANDARD
            .decode(&self.0)
            .ok()?;
        Deserializer::new().deserialize(&mut bytes.as_slice()).ok()
    }
}

/// Something that happened, for time-lines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// When.
    pub at: Micros,
    /// What happened.
    pub what: String,
}

/// What came of a run. The same scenario, policy and seed give the same, bit for bit.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Outcomes {
    /// The weighed mix of the four below.
    pub score: f64,
    /// Worth answered within its aim, and less for late, over the worth asked for.
    pub goodput: f64,
    /// Goodput of the worst ten seconds.
    pub worst_span: f64,
    /// Goodput and its worst span, if a tenant's account is drawn on by what is served, whichever of its requests that is.
    #[serde(default)]
    pub by_count: (f64, f64),
    /// Goodput of the worst class.
    pub worst_kind: f64,
    /// Goodput of the worst tenant.
    pub worst_tenant: f64,
    /// The whole run.
    pub whole: Part,
    /// By second, by class, by tenant and by group, in the scenario's order.
    pub seconds: Vec<Part>,
    /// By class.
    pub kinds: Vec<Part>,
    /// By tenant.
    pub tenants: Vec<Part>,
    /// By group.
    pub groups: Vec<Part>,
    /// Latencies of what was served, by class, in microseconds from the first try.
    pub latencies: Vec<Packed>,
    /// Tries of clients.
    pub tries: u64,
    /// Attempts of proxies.
    pub attempts: u64,
    /// Attempts that a server rejected untouched.
    pub misses: u64,
    /// Probes.
    pub probes: u64,
    /// Connections made.
    pub dials: u64,
    /// Writes that took effect, and those of them that were undone when the groups met again or another took over.
    pub applied: u64,
    /// Writes that were undone.
    pub undone: u64,
    /// The fullest time of each cold start.
    #[serde(default)]
    pub cold: Vec<Peak>,
    /// Of each that had one, the fullest time in which over two thirds came from proxies that had been told of the start.
    #[serde(default)]
    pub cold_told: Vec<Peak>,
    /// How often each rule was broken.
    pub broken: BTreeMap<Rule, u64>,
    /// What happened, for time-lines.
    pub marks: Vec<Mark>,
    /// By tenant, where proxies talk.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub loans: Vec<Loans>,
    /// Steps of the engine.
    pub steps: u64,
}

impl Outcomes {
    /// How often any rule was broken.
    pub fn rules_broken(&self) -> u64 {
        self.broken.values().sum()
    }
}

/// Adds up the outcomes of a run.
#[derive(Debug)]
pub struct Tally {
    out: Outcomes,
    latencies: Vec<Histogram<u64>>,
    weights: Weights,
}

/// Marks of one run; later ones are not kept.
const MARKS: usize = 2_000;

impl Tally {
    /// An empty tally for a scenario.
    pub fn new(scenario: &Scenario) -> Tally {
        let clients = &scenario.clients;
        let seconds = (clients.length / SECOND + 1) as usize;
        let out = Outcomes {
            seconds: vec![Part::default(); seconds],
            kinds: vec![Part::default(); clients.classes.len()],
            tenants: vec![Part::default(); clients.tenants.len()],
            groups: vec![Part::default(); clients.groups as usize],
            ..Outcomes::default()
        };
        let latencies = clients.classes.iter().map(|_| histogram()).collect();
        Tally {
            out,
            latencies,
            weights: scenario.weights,
        }
    }

    /// The counts, for whoever drives the run.
    pub fn counts(&mut self) -> &mut Outcomes {
        &mut self.out
    }

    /// Notes something that happened.
    pub fn mark(&mut self, at: Micros, what: impl Into<String>) {
        if self.out.marks.len() < MARKS {
            self.out.marks.push(Mark {
                at,
                what: what.into(),
            });
        }
    }

    /// Counts a request that is over.
    pub fn settled(&mut self, settled: &Settled) {
        self.out.whole.add(settled);
        let second = (settled.sent_at / SECOND) as usize;
        for (parts, at) in [
            (&mut self.out.seconds, second),
            (&mut self.out.kinds, settled.class),
            (&mut self.out.tenants, settled.tenant),
            (&mut self.out.groups, settled.group as usize),
        ] {
            if let Some(part) = parts.get_mut(at) {
                part.add(settled);
            }
        }
        if let (Some(took), Some(latencies)) =
            (settled.latency, self.latencies.get_mut(settled.class))
        {
            latencies.saturating_record(took.max(1));
        }
    }

    /// The outcomes, once the run is over.
    pub fn close(self, broken: BTreeMap<Rule, u64>) -> Outcomes {
        let Tally {
            mut out,
            latencies,
            weights,
        } = self;
        out.broken = broken;
        out.latencies = latencies.iter().map(Packed::of).collect();
        // Where nothing was asked for nothing was missed.
        out.goodput = out.whole.goodput().unwrap_or(1.0);
        let least =
            |parts: &mut dyn Iterator<Item = Option<f64>>| parts.flatten().fold(1.0, f64::min);
        out.worst_kind = least(&mut out.kinds.iter().map(Part::goodput));
        out.worst_tenant = match out.tenants.len() {
            0 => out.goodput,
            _ => least(&mut out.tenants.iter().map(Part::goodput)),
        };
        let window = |parts: &[Part], of: fn(&Part) -> f64| {
            let (worth, earned) = parts
                .iter()
                .fold((0.0, 0.0), |(w, e), p| (w + p.worth, e + of(p)));
            (worth > 0.0).then(|| earned / worth)
        };
        let worst = |of: fn(&Part) -> f64| match out.seconds.len() {
            n if n <= WORST => window(&[out.whole], of).unwrap_or(1.0),
            _ => least(&mut out.seconds.windows(WORST).map(|parts| window(parts, of))),
        };
        out.worst_span = worst(|part| part.earned);
        out.by_count = (
            window(&[out.whole], |part| part.counted).unwrap_or(1.0),
            worst(|part| part.counted),
        );
        out.score = weights.whole * out.goodput
            + weights.worst_span * out.worst_span
            + weights.worst_kind * out.worst_kind
            + weights.worst_tenant * out.worst_tenant;
        out
    }
}
