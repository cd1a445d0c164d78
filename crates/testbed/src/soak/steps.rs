//! Executes the steps of a soak run.

use super::clients::crowd;
use super::plan::{ExtraSignal, PlannedStep, ReloadSeries, Restart, Step, Trouble, UpgradeFault};
use super::process_state::handles_signals;
use super::{checks, sleep_until, Breach, ConnectionEnd, Run};
use crate::process::Fault;
use rustix::process::Signal;
use server_model::catalog;
use server_model::site::{ServerFault, ServerIndex};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// More connections than a proxy has descriptors.
const IDLE_CLIENTS: usize = 300;
/// An invalid operators' file, which every proxy rejects.
const BROKEN_FILE: &str = "route marker {\n nonsense\n";
/// Number of pairs of a valid and an invalid file in a burst.
const BURST: usize = 4;
/// Log line of a process that accepts clients.
const SERVING_LINE: &str = ": serving on ";
/// Time within which clients detect that a process was killed.
const END_NOTICE: Duration = Duration::from_millis(50);
/// Interval at which the end of a process is polled.
const END_POLL: Duration = Duration::from_millis(5);
/// Interval at which the signal handlers of a process are polled.
const HANDLER_POLL: Duration = Duration::from_micros(100);

impl Run {
    pub(super) fn play_step(&mut self, planned: &PlannedStep) -> Result<(), Fault> {
        let (proxy, pause) = (planned.proxy, planned.pause);
        match &planned.step {
            Step::Restart(restart) => {
                let other = restart.with.filter(|other| *other != proxy);
                let proxies: Vec<usize> = [Some(proxy), other].into_iter().flatten().collect();
                self.restart(&proxies, restart)
            }
            Step::Reload(series) => self.reload_series(proxy, *series, pause),
            Step::Upgrade(fault) => self.upgrade(proxy, *fault, pause),
            Step::Kill => {
                self.kill(proxy);
                self.start_proxy(proxy)
            }
            Step::InterruptedStart(signal) => self.interrupt_start(proxy, *signal, pause),
            Step::Crowd(length) => {
                let address = self.context(proxy).address;
                let idle = self.testbed.wait(crowd(address, IDLE_CLIENTS));
                self.log(format!("{} idle clients of proxy {proxy}", idle.len()));
                std::thread::sleep(*length);
                drop(idle);
                Ok(())
            }
        }
    }

    /// Restarts proxies: clients continue on open connections from SIGTERM to SIGKILL, which comes as early as the platform allows.
    fn restart(&mut self, proxies: &[usize], restart: &Restart) -> Result<(), Fault> {
        let crowds = self.open_idle_clients(proxies, restart.crowded);
        let held: Vec<_> = proxies
            .iter()
            .map(|at| self.hold_connections(*at))
            .collect();
        let began = Instant::now();
        let terminated = began + Restart::LEAD;
        let mut signals: Vec<(Instant, Signal)> = restart
            .signals
            .iter()
            .map(|(at, signal)| (began + *at, signal_of(*signal)))
            .collect();
        signals.push((terminated, Signal::TERM));
        signals.sort_by_key(|(at, _)| *at);
        for (at, signal) in signals {
            sleep_until(at);
            proxies.iter().for_each(|proxy| self.send(*proxy, signal));
        }
        sleep_until(terminated + restart.new_connections);
        for proxy in proxies {
            self.testbed.history.proxy_down(*proxy);
        }
        let kill_at = terminated + self.plan.kill_after();
        for (proxy, held) in proxies.iter().zip(held) {
            self.await_end(*proxy, terminated, kill_at, held);
        }
        drop(crowds);
        sleep_until(kill_at);
        proxies
            .iter()
            .try_for_each(|proxy| self.start_proxy(*proxy))
    }

    fn open_idle_clients(&self, proxies: &[usize], wanted: bool) -> Vec<TcpStream> {
        let crowded = proxies.iter().filter(|_| wanted);
        crowded
            .flat_map(|proxy| {
                self.testbed
                    .wait(crowd(self.context(*proxy).address, IDLE_CLIENTS))
            })
            .collect()
    }

    /// Waits until the process ends by itself, or kills it at `kill_at`.
    fn await_end(
        &mut self,
        proxy: usize,
        terminated: Instant,
        kill_at: Instant,
        held: Vec<JoinHandle<ConnectionEnd>>,
    ) {
        if self.wait_for_end(proxy, kill_at) {
            self.report.ended.push(terminated.elapsed());
            self.log(format!("proxy {proxy} has ended"));
            // Its last answers are read before anything else.
            self.join_held(proxy, held);
            self.testbed.proxies[proxy].process = None;
            self.testbed.proxies[proxy].clients.set_target(None);
        } else {
            self.check_owed(proxy);
            self.kill(proxy);
            self.join_held(proxy, held);
        }
    }

    /// Sends a signal during a start. After SIGHUP the process must serve, after SIGTERM it must end; then it is started again.
    fn interrupt_start(
        &mut self,
        proxy: usize,
        signal: ExtraSignal,
        pause: Duration,
    ) -> Result<(), Fault> {
        self.kill(proxy);
        let began = Instant::now();
        self.testbed.spawn(proxy)?;
        self.wait_for_handlers(proxy, began + checks::READY_BOUND);
        std::thread::sleep(pause / 10);
        self.send(proxy, signal_of(signal));
        if signal == ExtraSignal::Terminate {
            if !self.check_ended(proxy, Instant::now() + self.plan.kill_after()) {
                self.kill(proxy);
            }
            return self.start_proxy(proxy);
        }
        self.testbed.ready(proxy)?;
        self.testbed.history.proxy_up(proxy);
        self.expected_versions[proxy] = self.version;
        self.check_ready(proxy, began.elapsed(), checks::READY_BOUND);
        self.check_file(proxy, checks::RELOAD_BOUND);
        Ok(())
    }

    /// Waits until the process has installed its signal handlers; before that, the signals end any process.
    fn wait_for_handlers(&mut self, proxy: usize, until: Instant) {
        let signals = [Signal::HUP.as_raw(), Signal::TERM.as_raw()];
        let process = self.testbed.proxies[proxy].process.as_ref();
        let number = process.map_or(0, |process| process.number());
        while !handles_signals(number, &signals) && Instant::now() < until {
            std::thread::sleep(HANDLER_POLL);
        }
    }

    /// Checks that the process ends by itself before `until`, and returns whether it did.
    pub fn check_ended(&mut self, proxy: usize, until: Instant) -> bool {
        let ended = self.wait_for_end(proxy, until);
        if !ended {
            self.breach(Breach::NotEnded { proxy });
        }
        ended
    }

    /// Waits for the process to end by itself, and returns whether it did before `until`.
    fn wait_for_end(&mut self, proxy: usize, until: Instant) -> bool {
        loop {
            let process = self.testbed.proxies[proxy].process.as_mut();
            if process.is_none_or(|process| process.has_ended()) {
                return true;
            }
            if Instant::now() >= until {
                return false;
            }
            std::thread::sleep(END_POLL);
        }
    }

    fn kill(&mut self, proxy: usize) {
        self.count("KILL");
        self.log(format!("SIGKILL to proxy {proxy}"));
        self.testbed.kill(proxy);
    }

    fn start_proxy(&mut self, proxy: usize) -> Result<(), Fault> {
        let began = Instant::now();
        self.testbed.restart(proxy)?;
        self.expected_versions[proxy] = self.version;
        self.check_ready(proxy, began.elapsed(), checks::READY_BOUND);
        Ok(())
    }

    /// Runs a series of files and reloads, then checks that the last valid file is in force.
    fn reload_series(
        &mut self,
        proxy: usize,
        series: ReloadSeries,
        pause: Duration,
    ) -> Result<(), Fault> {
        match series {
            ReloadSeries::Twice => {
                self.reload(proxy)?;
                std::thread::sleep(pause / 10);
                self.send(proxy, Signal::HUP);
            }
            ReloadSeries::TwoFiles => {
                self.reload(proxy)?;
                std::thread::sleep(pause);
                self.reload(proxy)?;
            }
            ReloadSeries::BrokenThenSound => {
                self.reload_broken(proxy)?;
                std::thread::sleep(pause);
                self.reload(proxy)?;
            }
            ReloadSeries::Burst => {
                for _ in 0..BURST {
                    self.reload(proxy)?;
                    self.reload_broken(proxy)?;
                    std::thread::sleep(pause / 10);
                }
                self.reload(proxy)?;
            }
        }
        self.check_file(proxy, checks::RELOAD_BOUND);
        Ok(())
    }

    fn reload_broken(&mut self, proxy: usize) -> Result<(), Fault> {
        self.log(format!("an invalid file for proxy {proxy}"));
        let broken = BROKEN_FILE.to_owned();
        self.testbed
            .place_files(proxy, |setup| setup.operators = broken)?;
        self.send(proxy, Signal::HUP);
        Ok(())
    }

    /// Writes a new valid file and sends SIGHUP.
    fn reload(&mut self, proxy: usize) -> Result<(), Fault> {
        self.place_next_file(proxy)?;
        self.send(proxy, Signal::HUP);
        Ok(())
    }

    /// Writes a new valid file, which must be in force after the next SIGHUP.
    pub fn place_next_file(&mut self, proxy: usize) -> Result<(), Fault> {
        self.version += 1;
        self.log(format!("file {} for proxy {proxy}", self.version));
        self.expected_versions[proxy] = self.version;
        let text = checks::operators_file(self.version);
        self.testbed
            .place_files(proxy, |setup| setup.operators = text)
    }

    fn upgrade(&mut self, proxy: usize, fault: UpgradeFault, pause: Duration) -> Result<(), Fault> {
        let held = self.hold_connections(proxy);
        std::thread::sleep(pause);
        let mut new_process = self.testbed.start_new_process(proxy)?;
        std::thread::sleep(pause);
        match fault {
            UpgradeFault::None => {}
            UpgradeFault::Reload => self.send(proxy, Signal::HUP),
            UpgradeFault::NewKilled => {
                self.count("KILL");
                self.log(format!("SIGKILL to the new process of proxy {proxy}"));
                self.testbed.history.second_process_dies(proxy);
                new_process.kill();
                // Gives clients the time to detect its end.
                std::thread::sleep(END_NOTICE);
                let had_served = new_process.has_logged(SERVING_LINE);
                self.testbed.history.second_process_died(had_served);
                new_process = self.testbed.start_new_process(proxy)?;
            }
            UpgradeFault::OldKilled => self.kill(proxy),
            UpgradeFault::OldTerminated => self.send(proxy, Signal::TERM),
        }
        let began = Instant::now();
        new_process.wait_for_line(SERVING_LINE, 0)?;
        self.check_ready(proxy, began.elapsed(), checks::READY_BOUND);
        self.send(proxy, Signal::TERM);
        let terminated = Instant::now();
        if self.check_ended(proxy, terminated + self.plan.kill_after()) {
            self.report.ended.push(terminated.elapsed());
        } else {
            self.check_owed(proxy);
        }
        self.join_held(proxy, held);
        self.testbed.proxies[proxy].process = Some(new_process);
        self.testbed.ready(proxy)?;
        self.testbed.history.proxy_up(proxy);
        self.expected_versions[proxy] = self.version;
        self.check_file(proxy, checks::RELOAD_BOUND);
        Ok(())
    }

    fn send(&mut self, proxy: usize, signal: Signal) {
        let name = match signal {
            Signal::HUP => "HUP",
            Signal::TERM => "TERM",
            _ => "other",
        };
        self.count(name);
        self.log(format!("SIG{name} to proxy {proxy}"));
        self.testbed.signal(proxy, signal);
    }

    fn count(&mut self, name: &'static str) {
        *self.report.signals.entry(name).or_default() += 1;
    }

    pub(super) fn begin_trouble(&mut self, trouble: Trouble) {
        let server = self.last_member_of_first_group();
        let history = &self.testbed.history;
        match trouble {
            Trouble::DiscoverySilent => {
                history.set_list_silent(true);
                self.for_each_discovery_link(|list| list.cut());
            }
            Trouble::DiscoveryDown => history.list(catalog::Event::Down(true)),
            Trouble::ServerDrains => history.inject_fault(ServerFault::Drain(server)),
            Trouble::ServerHangs => history.inject_fault(ServerFault::Hang { server, on: true }),
            Trouble::ServersReset => self.reset_server_links(),
            Trouble::ServerStartsCold => history.inject_fault(ServerFault::Crash(server)),
        }
    }

    pub(super) fn end_trouble(&mut self, trouble: Trouble) {
        let history = &self.testbed.history;
        match trouble {
            Trouble::DiscoverySilent => {
                self.for_each_discovery_link(|list| list.heal());
                history.set_list_silent(false);
            }
            Trouble::DiscoveryDown => history.list(catalog::Event::Down(false)),
            Trouble::ServersReset => self.reset_server_links(),
            Trouble::ServerDrains | Trouble::ServerHangs | Trouble::ServerStartsCold => {
                self.restore_servers();
            }
        }
    }

    fn for_each_discovery_link(&self, act: impl Fn(&crate::link::Link)) {
        self.testbed
            .proxies
            .iter()
            .for_each(|proxy| act(&proxy.list));
    }

    fn reset_server_links(&self) {
        let all: Vec<usize> = (0..self.plan.proxies).collect();
        let links = self.testbed.links(&all, None);
        links.iter().for_each(|link| link.reset());
    }

    /// The last member of the first group, which is a replica unless it has been promoted.
    fn last_member_of_first_group(&self) -> ServerIndex {
        let state = self.testbed.history.lock();
        let members = state.site.members(0);
        let primary = state.site.primary(0);
        let replica = members
            .iter()
            .rev()
            .find(|server| Some(**server) != primary);
        replica.or(members.last()).copied().unwrap_or(0)
    }

    /// Restores all members of the first group to service.
    fn restore_servers(&self) {
        let members = self.testbed.history.lock().site.members(0).to_vec();
        for server in members {
            let history = &self.testbed.history;
            history.inject_fault(ServerFault::Hang { server, on: false });
            if !history.lock().site.runs(server) {
                history.inject_fault(ServerFault::Start(server));
            }
        }
    }
}

fn signal_of(signal: ExtraSignal) -> Signal {
    match signal {
        ExtraSignal::Reload => Signal::HUP,
        ExtraSignal::Terminate => Signal::TERM,
    }
}
