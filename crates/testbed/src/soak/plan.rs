//! The plan of a soak run, drawn from one seed.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use server_model::clients::{Consistency, Idempotency, RequestClass, Settings};
use server_model::law::{Law, Work};
use server_model::Micros;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Number of groups of record servers.
pub const GROUPS: usize = 2;
/// Number of members of each group.
pub const GROUP_MEMBERS: usize = 3;
/// Limit of open descriptors of each proxy.
pub const SOCKETS: u64 = 256;
/// Minimum time that the platform leaves a proxy for its longest deadline at a planned restart.
const MIN_DEADLINE: Duration = Duration::from_secs(3);
/// Time that clients wait beyond the deadline that they announce, on an idle machine.
const SLACK: Duration = Duration::from_millis(300);
/// Time that the platform adds to deadline and slack before it kills.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// Maximum number of faults during one step.
const MAX_TROUBLES: usize = 2;
const MILLISECOND: Micros = 1_000;

/// A signal in addition to those of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExtraSignal {
    /// SIGHUP.
    Reload,
    /// SIGTERM.
    Terminate,
}

/// A planned restart.
#[derive(Clone, Debug)]
pub struct Restart {
    /// Time for which clients still open connections after SIGTERM.
    pub new_connections: Duration,
    /// Signals besides SIGTERM, with their times since the step's beginning, in order.
    pub signals: Vec<(Duration, ExtraSignal)>,
    /// Another proxy that is restarted at the same time.
    pub with: Option<usize>,
    /// Whether idle clients occupy all descriptors meanwhile.
    pub crowded: bool,
}

/// Kind of a series of reloads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadSeries {
    /// Two signals for one file.
    Twice,
    /// A new file for each of two signals.
    TwoFiles,
    /// An invalid file, then a valid one.
    BrokenThenSound,
    /// Many signals and files at once, some invalid; the last is valid.
    Burst,
}

/// Event during an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpgradeFault {
    /// Nothing.
    None,
    /// SIGHUP to the old process.
    Reload,
    /// The new process is killed; another follows.
    NewKilled,
    /// The old process is killed.
    OldKilled,
    /// SIGTERM to the old process before the new one serves.
    OldTerminated,
}

/// One step of a run.
#[derive(Clone, Debug)]
pub enum Step {
    /// SIGTERM while clients continue, then SIGKILL and a start.
    Restart(Restart),
    /// A series of SIGHUP.
    Reload(ReloadSeries),
    /// A new process takes over.
    Upgrade(UpgradeFault),
    /// SIGKILL and a start.
    Kill,
    /// SIGKILL and a start that is interrupted by this signal.
    InterruptedStart(ExtraSignal),
    /// Idle clients occupy all descriptors for this time.
    Crowd(Duration),
}

/// A fault during a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Discovery sends nothing.
    DiscoverySilent,
    /// Discovery rejects every call.
    DiscoveryDown,
    /// A record server drains; another takes its place.
    ServerDrains,
    /// A record server hangs.
    ServerHangs,
    /// Connections to record servers are reset.
    ServersReset,
    /// A record server crashes and restarts cold.
    ServerStartsCold,
}

/// A step, its proxy, and the faults during it.
#[derive(Clone, Debug)]
pub struct PlannedStep {
    /// The proxy.
    pub proxy: usize,
    /// The step.
    pub step: Step,
    /// A pause within the step.
    pub pause: Duration,
    /// Faults during the step.
    pub troubles: Vec<Trouble>,
}

/// Plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the plan.
    pub seed: u64,
    /// Lateness that a busy machine may add to timed actions of the proxies.
    pub lateness: Duration,
    /// Time that clients wait beyond the deadline that they announce.
    pub slack: Duration,
    /// Number of proxies.
    pub proxies: usize,
    /// Request rate of all clients, per second.
    pub requests_per_s: f64,
    /// The classes of requests.
    pub classes: Vec<RequestClass>,
    /// The steps, in order.
    pub steps: Vec<PlannedStep>,
}

impl Plan {
    /// Draws a plan. `lateness`: lateness that a busy machine may add to timed actions of the proxies.
    pub fn draw(seed: u64, lateness: Duration) -> Plan {
        let slack = SLACK + lateness;
        let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
        let proxies = rng.random_range(2..=6);
        let classes = draw_classes(&mut rng, slack);
        let mut steps = vec![
            Step::Restart(draw_restart(&mut rng, proxies)),
            Step::Restart(draw_restart(&mut rng, proxies)),
            Step::Reload(draw_series(&mut rng)),
            Step::Reload(draw_series(&mut rng)),
            Step::Upgrade(draw_upgrade_fault(&mut rng)),
            Step::Upgrade(draw_upgrade_fault(&mut rng)),
        ];
        if rng.random_bool(0.5) {
            steps.push(Step::Kill);
        }
        if rng.random_bool(0.7) {
            let signal = draw_signal(&mut rng, 0.5);
            steps.push(Step::InterruptedStart(signal));
        }
        if rng.random_bool(1.0 / 3.0) {
            steps.push(Step::Crowd(millis(&mut rng, 500..=2_000)));
        }
        rand::seq::SliceRandom::shuffle(&mut steps[..], &mut rng);
        let steps = steps
            .into_iter()
            .map(|step| draw_step(&mut rng, proxies, step))
            .collect();
        Plan {
            seed,
            lateness,
            slack,
            proxies,
            requests_per_s: rng.random_range(60.0..400.0),
            classes,
            steps,
        }
    }

    /// Earliest time after SIGTERM at which the platform sends SIGKILL.
    pub fn kill_after(&self) -> Duration {
        let longest = self.classes.iter().map(|class| class.deadline).max();
        Duration::from_micros(longest.unwrap_or(0)).max(MIN_DEADLINE) + KILL_MARGIN
    }

    /// Settings of the clients' load, for a run of this length.
    pub fn clients(&self, length: Duration) -> Settings {
        Settings {
            classes: self.classes.clone(),
            tenants: Vec::new(),
            over_quota_weight_fraction: 1.0,
            requests_per_s: self.requests_per_s,
            profile: Vec::new(),
            length: length.as_micros() as Micros,
            proxies: self.proxies,
            groups: GROUPS as u32,
            proxy_skew: 0.0,
            busy_proxies: 0,
            busy_proxies_share: 0.0,
            group_skew: 0.0,
            sessions: 20,
            read_after_write_share: 0.5,
            read_after_write_span: 400 * MILLISECOND,
            max_retries: 1,
            retry_wait: 100 * MILLISECOND,
            obeys_retry_after: true,
            marks_retries: true,
            patience: (1.0, 1.0),
        }
    }
}

fn millis(rng: &mut impl Rng, range: RangeInclusive<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

fn draw_classes(rng: &mut impl Rng, slack: Duration) -> Vec<RequestClass> {
    let window = rng.random_range(500..=4_000) * MILLISECOND;
    let work = rng.random_range(2_000.0..8_000.0);
    let kinds = [
        ("any", Consistency::Eventual, Idempotency::Idempotent, 4.0),
        (
            "mine",
            Consistency::ReadYourWrites,
            Idempotency::Idempotent,
            2.0,
        ),
        (
            "recent",
            Consistency::BoundedStaleness(500 * MILLISECOND),
            Idempotency::Idempotent,
            1.0,
        ),
        ("pay", Consistency::Write, Idempotency::Keyed(window), 1.5),
        ("book", Consistency::Write, Idempotency::NonIdempotent, 1.5),
    ];
    kinds
        .into_iter()
        .map(|(name, consistency, idempotency, share)| {
            let told = rng.random_range(700..=3_700) * MILLISECOND;
            let deadline = told + slack.as_micros() as Micros;
            RequestClass {
                name: name.into(),
                consistency,
                idempotency,
                share,
                work: Work::new(Law::Fixed, work),
                latency_objective: deadline / 2,
                deadline,
                priority_weight: 1.0,
                late_weight_fraction: 0.5,
            }
        })
        .collect()
}

/// `reloads`: probability of SIGHUP.
fn draw_signal(rng: &mut impl Rng, reloads: f64) -> ExtraSignal {
    if rng.random_bool(reloads) {
        ExtraSignal::Reload
    } else {
        ExtraSignal::Terminate
    }
}

fn draw_restart(rng: &mut impl Rng, proxies: usize) -> Restart {
    let number = rng.random_range(0..=3);
    let mut signals: Vec<(Duration, ExtraSignal)> = (0..number)
        .map(|_| {
            let at = millis(rng, 0..=80);
            let reloads = if at < Restart::LEAD { 1.0 } else { 0.7 };
            (at, draw_signal(rng, reloads))
        })
        .collect();
    signals.sort_by_key(|(at, _)| *at);
    Restart {
        new_connections: millis(rng, 200..=400),
        signals,
        with: Some(rng.random_range(0..proxies)).filter(|_| proxies > 2 && rng.random_bool(0.4)),
        crowded: rng.random_bool(1.0 / 6.0),
    }
}

impl Restart {
    /// Time from the beginning of the step to SIGTERM.
    pub const LEAD: Duration = Duration::from_millis(20);
}

fn draw_series(rng: &mut impl Rng) -> ReloadSeries {
    let series = [
        ReloadSeries::Twice,
        ReloadSeries::TwoFiles,
        ReloadSeries::BrokenThenSound,
        ReloadSeries::Burst,
    ];
    *series.choose(rng).unwrap_or(&ReloadSeries::Twice)
}

fn draw_upgrade_fault(rng: &mut impl Rng) -> UpgradeFault {
    let faults = [
        UpgradeFault::None,
        UpgradeFault::Reload,
        UpgradeFault::NewKilled,
        UpgradeFault::OldKilled,
        UpgradeFault::OldTerminated,
    ];
    *faults.choose(rng).unwrap_or(&UpgradeFault::None)
}

fn draw_step(rng: &mut impl Rng, proxies: usize, step: Step) -> PlannedStep {
    let all = [
        Trouble::DiscoverySilent,
        Trouble::DiscoveryDown,
        Trouble::ServerDrains,
        Trouble::ServerHangs,
        Trouble::ServersReset,
        Trouble::ServerStartsCold,
    ];
    let number = rng.random_range(0..=MAX_TROUBLES);
    let mut troubles: Vec<Trouble> = all.choose_multiple(rng, number).copied().collect();
    let is_crowd = matches!(&step, Step::Crowd(_));
    if is_crowd && rng.random_bool(0.5) && !troubles.contains(&Trouble::DiscoveryDown) {
        troubles.push(Trouble::DiscoveryDown);
    }
    PlannedStep {
        proxy: rng.random_range(0..proxies),
        step,
        pause: millis(rng, 0..=30),
        troubles,
    }
}
