//! Soak runs: proxies under load are restarted, reloaded and replaced as by operators; a seed determines each run.

mod checks;
mod clients;
pub mod plan;
pub mod process_state;
mod report;
mod steps;

pub use checks::READY_BOUND;
pub use clients::ConnectionEnd;
pub use report::{Breach, Report};

use crate::process::Fault;
use crate::wire::Connection;
use crate::{Setup, Testbed};
use clients::ClientContext;
use plan::{Plan, PlannedStep, GROUPS, GROUP_MEMBERS, SOCKETS};
use process_state::ProcessState;
use server_model::clients::Settings;
use server_model::{group, site};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Length of the clients' load, longer than the steps of any run.
const LOAD_LENGTH: Duration = Duration::from_secs(600);
/// Time of undisturbed load before the first step and after each step.
const BETWEEN_STEPS: Duration = Duration::from_millis(300);
/// Number of connections that clients hold until the end of a process.
const HELD_CONNECTIONS: u64 = 8;

/// A soak run in progress.
pub struct Run {
    plan: Plan,
    testbed: Testbed,
    settings: Arc<Settings>,
    /// Number of the operators' file that was written last.
    version: u64,
    /// Number of the file that must be in force, indexed by proxy.
    expected_versions: Vec<u64>,
    /// Resources of each proxy's process when it was first ready.
    first_states: Vec<ProcessState>,
    stop_visitors: watch::Sender<bool>,
    visitors: Vec<JoinHandle<()>>,
    report: Report,
}

/// Runs the plan of a seed. `lateness`: as in [`Plan::draw`].
pub fn play(seed: u64, lateness: Duration) -> Report {
    let plan = Plan::draw(seed, lateness);
    let steps = plan.steps.clone();
    let mut run = match Run::start(plan) {
        Ok(run) => run,
        Err(fault) => {
            return Report {
                seed,
                breaches: vec![Breach::Fault(fault.to_string())],
                ..Report::default()
            }
        }
    };
    for step in &steps {
        if let Err(fault) = run.step(step) {
            run.breach(Breach::Fault(fault.to_string()));
            break;
        }
    }
    run.finish()
}

impl Run {
    /// Starts the fleet and its clients.
    pub fn start(plan: Plan) -> Result<Run, Fault> {
        let setup = setup(&plan)?;
        let settings = Arc::new(setup.clients.clone());
        let testbed = Testbed::start(setup)?;
        let mut run = Run {
            settings,
            version: 0,
            expected_versions: vec![0; plan.proxies],
            first_states: Vec::new(),
            stop_visitors: watch::Sender::new(false),
            visitors: Vec::new(),
            report: Report {
                seed: plan.seed,
                ..Report::default()
            },
            plan,
            testbed,
        };
        run.first_states = (0..run.plan.proxies)
            .map(|proxy| run.settled_state_of(proxy))
            .collect::<Result<_, Fault>>()?;
        run.testbed.history.set_allowed_lateness(run.plan.lateness);
        run.testbed.history.begin();
        run.start_visitors();
        std::thread::sleep(BETWEEN_STEPS);
        Ok(run)
    }

    /// The fleet of the run.
    pub fn testbed(&mut self) -> &mut Testbed {
        &mut self.testbed
    }

    fn step(&mut self, planned: &PlannedStep) -> Result<(), Fault> {
        self.log(format!("{planned:?}"));
        let troubles = &planned.troubles;
        troubles
            .iter()
            .for_each(|trouble| self.begin_trouble(*trouble));
        self.play_step(planned)?;
        troubles
            .iter()
            .for_each(|trouble| self.end_trouble(*trouble));
        std::thread::sleep(BETWEEN_STEPS);
        Ok(())
    }

    /// Stops the clients, waits for all answers, and runs the final checks.
    pub fn finish(mut self) -> Report {
        self.testbed.history.surge(None, 0.0);
        self.stop_visitors.send_replace(true);
        for visitor in std::mem::take(&mut self.visitors) {
            _ = self.testbed.wait(visitor);
        }
        let settled = self
            .testbed
            .wait(self.testbed.history.finished(Duration::ZERO));
        if let Err(fault) = settled {
            self.breach(Breach::Fault(fault.to_string()));
        }
        self.testbed.load.close();
        (0..self.plan.proxies).for_each(|proxy| self.check_left_behind(proxy));
        self.testbed.history.check_closed_unanswered();
        for sent in self.testbed.history.sent_after_leave() {
            self.breach(Breach::SentAfterLeave(sent));
        }
        let outcomes = self.testbed.history.close();
        for (rule, times) in &outcomes.broken {
            self.breach(Breach::Rule(*rule, *times));
        }
        self.report.found = outcomes.found.clone();
        self.report.late = outcomes.late();
        self.report.requests = self.testbed.history.lock().checker.asked;
        self.report
    }

    pub(crate) fn breach(&mut self, breach: Breach) {
        self.log(format!("breach: {breach}"));
        self.report.breaches.push(breach);
    }

    /// Breaches so far.
    pub fn breaches(&self) -> &[Breach] {
        &self.report.breaches
    }

    fn log(&mut self, what: String) {
        self.report
            .timeline
            .push((self.testbed.history.now(), what));
    }

    fn start_visitors(&mut self) {
        for proxy in 0..self.plan.proxies {
            let context = ClientContext {
                address: self.testbed.proxies[proxy].clients.address,
                ..self.context(proxy)
            };
            let seed = self.plan.seed ^ (proxy as u64) << 16;
            let visits = clients::visit(context, self.stop_visitors.subscribe(), seed);
            self.visitors.push(self.testbed.runtime.spawn(visits));
        }
    }

    /// Context of clients that connect to the process directly, so that no relay hides its end from them.
    fn context(&self, proxy: usize) -> ClientContext {
        let at = &self.testbed.proxies[proxy];
        ClientContext {
            history: self.testbed.history.clone(),
            settings: Arc::clone(&self.settings),
            proxy,
            address: at.address.unwrap_or(at.clients.address),
            slack: self.plan.slack,
        }
    }

    /// Opens held connections to the current process; all are open on return.
    fn hold_connections(&self, proxy: usize) -> Vec<JoinHandle<ConnectionEnd>> {
        let context = self.context(proxy);
        let open = |_| self.testbed.wait(Connection::open(context.address)).ok();
        let connections: Vec<Connection> = (0..HELD_CONNECTIONS).filter_map(open).collect();
        (0..)
            .zip(connections)
            .map(|(number, connection)| {
                let seed = self.plan.seed ^ number << 24 ^ self.report.timeline.len() as u64;
                let held = clients::hold(context.clone(), connection, seed);
                self.testbed.runtime.spawn(held)
            })
            .collect()
    }

    /// Holds one connection to this address until it ends, as a client of the proxy, and checks its end.
    pub fn check_held_connection(&mut self, proxy: usize, address: SocketAddr) {
        let connection = self.testbed.wait(Connection::open(address));
        let held = connection.ok().map(|connection| {
            let held = clients::hold(self.context(proxy), connection, self.plan.seed);
            self.testbed.runtime.spawn(held)
        });
        self.join_held(proxy, held.into_iter().collect());
    }

    /// Waits until the held connections have ended, and checks how.
    fn join_held(&mut self, proxy: usize, held: Vec<JoinHandle<ConnectionEnd>>) {
        let cut = held
            .into_iter()
            .filter_map(|connection| self.testbed.wait(connection).ok())
            .filter(|end| *end == ConnectionEnd::Cut)
            .count();
        if cut > 0 {
            self.breach(Breach::AnswerCut {
                proxy,
                connections: cut,
            });
        }
    }
}

fn setup(plan: &Plan) -> Result<Setup, Fault> {
    let site = site::Settings {
        groups: GROUPS,
        group: group::Settings {
            members: GROUP_MEMBERS,
            ..group::Settings::default()
        },
        ..site::Settings::default()
    };
    let mut setup = Setup::new(site, plan.clients(LOAD_LENGTH))?;
    setup.seed = plan.seed;
    setup.list.late = 50_000;
    setup.slack = plan.slack;
    setup.sockets = SOCKETS;
    // Hot restarts need this.
    setup.admin = true;
    setup.operators = checks::operators_file(0);
    Ok(setup)
}

/// Sleeps until `then`.
fn sleep_until(then: Instant) {
    std::thread::sleep(then.saturating_duration_since(Instant::now()));
}
