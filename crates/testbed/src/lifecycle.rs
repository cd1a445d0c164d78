//! Starting, killing, restarting and replacing proxies.

use crate::planted_violation::PlantedViolation;
use crate::process::{Fault, Process};
use crate::{members, Setup, Testbed};
use invariant_checkers::Rule;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::sync::Arc;

impl Testbed {
    pub(crate) fn plant(&mut self, proxy: usize, rule: Rule) -> Result<(), Fault> {
        let (history, addresses) = (self.history.clone(), Arc::clone(&self.addresses));
        let at = &mut self.proxies[proxy];
        let planted = PlantedViolation {
            rule,
            proxy,
            history,
            addresses,
            list: at.list.address,
        };
        at.address = Some(self.runtime.block_on(planted.open())?);
        at.clients.set_target(at.address);
        Ok(())
    }

    pub(crate) fn spawn(&mut self, proxy: usize) -> Result<(), Fault> {
        let plan = self.plan(proxy, "127.0.0.1:0")?;
        self.proxies[proxy].process = Some(Process::start(&plan)?);
        Ok(())
    }

    pub(crate) fn ready(&mut self, proxy: usize) -> Result<(), Fault> {
        let at = &mut self.proxies[proxy];
        let Some(process) = at.process.as_mut() else {
            return Err(Fault::new("the proxy has no process"));
        };
        let named = |fault: Fault| Fault {
            problem: format!("proxy {proxy}: {}", fault.problem),
            ..fault
        };
        let mut address = |text: &str| -> Result<Option<SocketAddr>, Fault> {
            let (_, line) = process.wait_for_line(text, 0).map_err(named)?;
            Ok(line.rsplit(' ').next().and_then(|word| word.parse().ok()))
        };
        at.address = address(": serving on ")?;
        if self.setup.admin {
            at.admin = address("answering calls on ")?;
        }
        at.clients.set_target(at.address);
        if self
            .setup
            .members
            .as_ref()
            .is_some_and(|members| members.includes(proxy))
        {
            let heard = address(members::LISTENING_LINE)?;
            self.set_datagram_target(proxy, heard);
        }
        Ok(())
    }

    /// Kills the proxy's process with SIGKILL; its open attempts end with it.
    pub fn kill(&mut self, proxy: usize) {
        self.history.proxy_killed(proxy);
        let at = &mut self.proxies[proxy];
        if let Some(mut process) = at.process.take() {
            process.kill();
        }
        at.clients.set_target(None);
        // The kernel has reset the proxy's connections, so those of the clients are reset too.
        at.clients.reset();
        self.set_datagram_target(proxy, None);
    }

    /// Starts a new process of the proxy under its name, with the configured endpoint list, and waits until it is ready.
    pub fn restart(&mut self, proxy: usize) -> Result<(), Fault> {
        self.spawn(proxy)?;
        self.ready(proxy)?;
        self.history.proxy_up(proxy);
        Ok(())
    }

    /// Changes the setup, writes the proxy's files and sends SIGHUP.
    pub fn reload(&mut self, proxy: usize, change: impl FnOnce(&mut Setup)) -> Result<(), Fault> {
        self.place_files(proxy, change)?;
        self.signal(proxy, Signal::HUP);
        Ok(())
    }

    /// Changes the setup and writes the proxy's files, without a reload.
    pub fn place_files(
        &mut self,
        proxy: usize,
        change: impl FnOnce(&mut Setup),
    ) -> Result<(), Fault> {
        change(&mut self.setup);
        self.configure(proxy)
    }

    /// Starts a second process of a proxy with the same address and folder, as in a hot restart.
    pub fn start_new_process(&self, proxy: usize) -> Result<Process, Fault> {
        let address = self.proxies[proxy]
            .address
            .map(|a| a.to_string())
            .unwrap_or_default();
        Process::start(&self.plan(proxy, &address)?)
    }

    /// Sends SIGTERM to the old process, replaces it by the new one, and returns the old one's exit code.
    pub fn replace_process(
        &mut self,
        proxy: usize,
        new_process: Process,
    ) -> Result<Option<i32>, Fault> {
        self.signal(proxy, Signal::TERM);
        let old_process = self.proxies[proxy].process.replace(new_process);
        self.ready(proxy)?;
        Ok(old_process.and_then(|mut old_process| old_process.wait()))
    }

    /// Sends a signal to a proxy's process, if it has one.
    pub fn signal(&mut self, proxy: usize, signal: Signal) {
        if let Some(process) = &mut self.proxies[proxy].process {
            process.signal(signal);
        }
    }
}
