//! The fewest servers, and how they are split over groups and buildings, that keep the aims through the loss of a
//! building or of a quarter of the servers.
//!
//! A program of whole numbers gives the first guess: each group's work has to fit into what is left of it after each
//! loss, its writes into one server. Queues, elections, cold starts and repeats are not in it, so the guess is then
//! played: where a loss is not borne, the group that suffers most gets a server more; where all are, servers are taken
//! away one by one as long as they still are. What is found is a plan of which no group can spare a server alone.

use crate::play::play;
use crate::policy::Policy;
use crate::scenario::{FaultKind, Scenario, ScheduledFault, Target, SECOND};
use crate::tally::Part;
use good_lp::{
    constraint, microlp, variable, variables, Expression, Solution, SolverModel, Variable,
};
use std::collections::BTreeMap;
use std::fmt;

/// What has to be kept.
#[derive(Clone, Debug)]
pub struct Aims {
    /// Goodput from the loss to half a minute after.
    pub goodput: f64,
    /// Of a server's cores, the part that the first guess lets work take.
    pub load: f64,
    /// The seeds of the runs.
    pub seeds: Vec<u64>,
    /// The policy that routes.
    pub policy: Policy,
    /// Members of one group at the most.
    pub most: usize,
}

/// A loss that has to be borne.
#[derive(Clone, Debug, PartialEq)]
pub enum Loss {
    /// None.
    Nothing,
    /// All servers of a building.
    Place(u16),
    /// This part of all servers.
    Share(f64),
}

impl fmt::Display for Loss {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Loss::Nothing => f.write_str("nothing lost"),
            Loss::Place(place) => write!(f, "building {place} lost"),
            Loss::Share(part) => write!(f, "{:.0}% of the servers lost", part * 100.0),
        }
    }
}

/// Servers of each group.
pub type Sizes = Vec<usize>;

/// What a plan comes to under a loss.
#[derive(Clone, Debug)]
pub struct Judged {
    /// The loss.
    pub loss: Loss,
    /// Goodput over all groups.
    pub goodput: f64,
    /// Goodput by group.
    pub groups: Vec<f64>,
}

impl Judged {
    /// The group that fares worst.
    fn worst(&self) -> usize {
        (0..self.groups.len())
            .min_by(|a, b| self.groups[*a].total_cmp(&self.groups[*b]))
            .unwrap_or(0)
    }
}

/// How many servers each group needs.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The first guess, by load alone.
    pub guess: Sizes,
    /// The sizes found.
    pub sizes: Sizes,
    /// What they come to under each loss.
    pub judged: Vec<Judged>,
    /// Of each group: with a server fewer, which loss is not borne, and what it comes to.
    pub binding: Vec<Option<(Loss, f64)>>,
    /// How many runs were played.
    pub played: usize,
}

impl Plan {
    /// Servers in all.
    pub fn servers(&self) -> usize {
        self.sizes.iter().sum()
    }
}

/// How a group's servers stand in the buildings: in each in turn.
pub fn in_place(size: usize, place: usize, places: usize) -> usize {
    (0..size).filter(|member| member % places == place).count()
}

/// Work of each group, and its writes' part, in cores.
fn demands(scenario: &Scenario) -> Vec<(f64, f64)> {
    let clients = &scenario.clients;
    let weight = |n: usize| ((n + 1) as f64).powf(-clients.group_skew);
    let weights: f64 = (0..scenario.site.groups).map(weight).sum();
    let shares: f64 = clients.classes.iter().map(|k| k.share).sum();
    let highest = clients
        .profile
        .iter()
        .map(|(_, times)| *times)
        .fold(1.0, f64::max);
    let per_s = clients.requests_per_s * highest;
    let work = |writes: bool| -> f64 {
        let counted = clients
            .classes
            .iter()
            .filter(|k| !writes || k.consistency == server_model::clients::Consistency::Write);
        counted
            .map(|k| k.share / shares.max(1e-9) * k.work.mean / 1e6)
            .sum::<f64>()
    };
    let (all, writes) = (work(false), work(true));
    (0..scenario.site.groups)
        .map(|n| {
            let rate = per_s * weight(n) / weights.max(1e-9);
            (rate * all, rate * writes)
        })
        .collect()
}

/// Why there is no plan.
#[derive(Clone, Debug, PartialEq)]
pub struct NoPlan(pub String);

/// The least numbers that bear each loss by work alone.
pub fn guess(scenario: &Scenario, aims: &Aims, losses: &[Loss]) -> Result<Sizes, NoPlan> {
    let cores = scenario.site.server.cores;
    let places = scenario.site.places.max(1);
    let bears = cores * aims.load;
    let demands = demands(scenario);
    for (group, (_, writes)) in demands.iter().enumerate() {
        if *writes > bears {
            return Err(NoPlan(format!(
                "group {group}'s writes take {writes:.1} cores, and one primary bears {bears:.1}: no number of servers helps"
            )));
        }
    }
    let mut problem = variables!();
    // By group and building, so that a loss of one can be stated.
    let servers: Vec<Vec<Variable>> = demands
        .iter()
        .map(|_| {
            (0..places)
                .map(|_| problem.add(variable().integer().min(0)))
                .collect()
        })
        .collect();
    let all: Expression = servers.iter().flatten().sum();
    let mut model = problem.minimise(all).using(microlp);
    for (group, (work, _)) in demands.iter().enumerate() {
        let of = &servers[group];
        let total: Expression = of.iter().sum();
        // A primary, and somebody to take over.
        model = model.with(constraint!(total.clone() >= 2.0));
        model = model.with(constraint!(total.clone() <= aims.most as f64));
        model = model.with(constraint!(total.clone() * bears >= *work));
        for loss in losses {
            match loss {
                Loss::Nothing => {}
                Loss::Place(place) => {
                    let left: Expression = of
                        .iter()
                        .enumerate()
                        .filter(|(at, _)| *at != usize::from(*place))
                        .map(|(_, v)| *v)
                        .sum();
                    model = model.with(constraint!(left.clone() * bears >= *work));
                    model = model.with(constraint!(left >= 1.0));
                }
                // By chance more than its part of one group can be struck: one more of each.
                Loss::Share(part) => {
                    model = model.with(constraint!(
                        total.clone() * (1.0 - part) - 1.0 >= *work / bears
                    ));
                }
            }
        }
        // Members stand in the buildings in turn, the first one in the first.
        for pair in of.windows(2) {
            model = model.with(constraint!(pair[0] - pair[1] >= 0.0));
            model = model.with(constraint!(pair[0] - pair[1] <= 1.0));
        }
        if let (Some(first), Some(last)) = (of.first(), of.last()) {
            model = model.with(constraint!(*first - *last <= 1.0));
        }
    }
    let solution = model.solve().map_err(|error| {
        NoPlan(format!(
            "no split of at most {} servers a group bears it: {error}",
            aims.most
        ))
    })?;
    let size = |of: &Vec<Variable>| of.iter().map(|v| solution.value(*v).round() as usize).sum();
    Ok(servers.iter().map(size).collect())
}

/// The losses that a plan has to bear.
pub fn losses(scenario: &Scenario) -> Vec<Loss> {
    let mut losses = vec![Loss::Nothing, Loss::Share(0.25)];
    if scenario.site.places > 1 {
        losses.extend((0..scenario.site.places as u16).map(Loss::Place));
    }
    losses
}

/// When the loss comes, and how long it is looked at.
const AT: u64 = 10 * SECOND;
const LOOKED_AT: u64 = 30 * SECOND;

fn day(scenario: &Scenario, sizes: &Sizes, loss: &Loss) -> Scenario {
    let mut day = scenario.clone();
    day.site.sizes = sizes.clone();
    day.clients.length = AT + LOOKED_AT;
    let target = match loss {
        Loss::Nothing => None,
        Loss::Place(place) => Some(Target::Place(*place)),
        Loss::Share(part) => Some(Target::Share(*part)),
    };
    day.faults.extend(target.map(|target| ScheduledFault {
        name: "loss".into(),
        at: AT,
        // For good.
        span: 10 * LOOKED_AT,
        what: FaultKind::Die,
        targets: vec![target],
    }));
    day
}

/// Plays every loss over all seeds; the time before it does not count.
fn judge(
    scenario: &Scenario,
    sizes: &Sizes,
    aims: &Aims,
    losses: &[Loss],
    threads: usize,
) -> Vec<Judged> {
    let cells: Vec<(usize, u64)> = (0..losses.len())
        .flat_map(|l| aims.seeds.iter().map(move |s| (l, *s)))
        .collect();
    let next = std::sync::atomic::AtomicUsize::new(0);
    let results: std::sync::Mutex<BTreeMap<usize, (Part, Vec<Part>)>> = Default::default();
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, cells.len().max(1)) {
            scope.spawn(|| loop {
                let at = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                let Some((loss, seed)) = cells.get(at) else {
                    return;
                };
                let outcomes = play(&day(scenario, sizes, &losses[*loss]), &aims.policy, *seed);
                let mut after = Part::default();
                for second in outcomes.seconds.iter().skip((AT / SECOND) as usize) {
                    after.worth += second.worth;
                    after.earned += second.earned;
                }
                if let Ok(mut results) = results.lock() {
                    results.insert(at, (after, outcomes.groups));
                }
            });
        }
    });
    let results = results.into_inner().unwrap_or_default();
    let mut judged = Vec::new();
    for (at, loss) in losses.iter().enumerate() {
        let mut whole = Part::default();
        let mut groups = vec![Part::default(); sizes.len()];
        for (cell, (after, of)) in &results {
            if cells[*cell].0 != at {
                continue;
            }
            whole.worth += after.worth;
            whole.earned += after.earned;
            for (sum, part) in groups.iter_mut().zip(of) {
                sum.worth += part.worth;
                sum.earned += part.earned;
            }
        }
        judged.push(Judged {
            loss: loss.clone(),
            goodput: whole.goodput().unwrap_or(1.0),
            groups: groups.iter().map(|g| g.goodput().unwrap_or(1.0)).collect(),
        });
    }
    judged
}

/// The loss that is borne worst.
fn worst(judged: &[Judged]) -> Option<&Judged> {
    judged.iter().min_by(|a, b| a.goodput.total_cmp(&b.goodput))
}

/// `say` hears of each step.
pub fn plan(
    scenario: &Scenario,
    aims: &Aims,
    threads: usize,
    say: &dyn Fn(&str),
) -> Result<Plan, NoPlan> {
    let losses = losses(scenario);
    let first = guess(scenario, aims, &losses)?;
    say(&format!(
        "by work alone: {first:?}, {} servers",
        first.iter().sum::<usize>()
    ));
    let mut played = 0;
    let mut look = |sizes: &Sizes| {
        played += 1;
        judge(scenario, sizes, aims, &losses, threads)
    };
    let mut sizes = first.clone();
    let mut judged = look(&sizes);
    while let Some(w) = worst(&judged).filter(|w| w.goodput < aims.goodput) {
        let group = w.worst();
        if sizes[group] >= aims.most {
            return Err(NoPlan(format!(
                "group {group} has {} servers and still comes to {:.3} with {}",
                sizes[group], w.groups[group], w.loss
            )));
        }
        say(&format!(
            "{sizes:?}: {:.4} with {}; one more for group {group}",
            w.goodput, w.loss
        ));
        sizes[group] += 1;
        judged = look(&sizes);
    }
    // From those that have most to spare.
    let mut binding: Vec<Option<(Loss, f64)>> = vec![None; sizes.len()];
    loop {
        let mut open: Vec<usize> = (0..sizes.len())
            .filter(|g| binding[*g].is_none() && sizes[*g] > 2)
            .collect();
        open.sort_by_key(|g| std::cmp::Reverse(sizes[*g]));
        let Some(group) = open.first().copied() else {
            break;
        };
        let mut fewer = sizes.clone();
        fewer[group] -= 1;
        let without = look(&fewer);
        match worst(&without).filter(|w| w.goodput < aims.goodput) {
            Some(w) => {
                say(&format!(
                    "{fewer:?}: {:.4} with {}; group {group} can spare none",
                    w.goodput, w.loss
                ));
                binding[group] = Some((w.loss.clone(), w.goodput));
            }
            None => {
                say(&format!("{fewer:?} bears all losses"));
                (sizes, judged) = (fewer, without);
                // What could not be spared before may be needed even more now: those stay as they were found.
            }
        }
    }
    Ok(Plan {
        guess: first,
        sizes,
        judged,
        binding,
        played,
    })
}
