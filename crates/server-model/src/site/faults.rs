//! Faults of record servers, and operations on them.

use super::{Action, Machine, ServerFault, ServerIndex, Site, Status};
use crate::server::{self, Server};
use crate::{group, Micros};

impl Site {
    /// Marks a dead machine as gone and removes it from its group's replication.
    pub(super) fn mark_gone(
        &mut self,
        server: ServerIndex,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(machine) = self.machines.get_mut(server as usize) else {
            return;
        };
        (machine.connections, machine.report, machine.status) = (0, None, Status::Gone);
        let (group, member) = (machine.group, machine.member);
        self.replicate(group, group::Event::Lose(member), now, actions);
        actions.push(Action::Changed(server));
    }

    pub(super) fn inject_fault(
        &mut self,
        fault: ServerFault,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        match fault {
            ServerFault::Crash(server) | ServerFault::Retire(server) => {
                if self.runs(server) {
                    self.work(server, server::Event::Die, now, actions);
                    self.mark_gone(server, now, actions);
                }
            }
            ServerFault::Start(server) => {
                let Some(machine) = self
                    .machines
                    .get_mut(server as usize)
                    .filter(|m| !m.server.up())
                else {
                    return;
                };
                (machine.status, machine.started) = (Status::Ready, now);
                let (group, member) = (machine.group, machine.member);
                self.work(server, server::Event::Start, now, actions);
                self.replicate(group, group::Event::Return(member), now, actions);
                actions.push(Action::Changed(server));
            }
            ServerFault::Hang { server, on } => {
                let Some(machine) = self.machines.get(server as usize).filter(|m| m.server.up())
                else {
                    return;
                };
                let (group, member) = (machine.group, machine.member);
                self.work(server, server::Event::Hang(on), now, actions);
                let event = if on {
                    group::Event::Silence(member)
                } else {
                    group::Event::Return(member)
                };
                self.replicate(group, event, now, actions);
            }
            ServerFault::Slow { server, times } => {
                self.work(server, server::Event::Slow(times), now, actions);
            }
            ServerFault::HoldReplication { server, span } => {
                let Some(machine) = self.machine(server) else {
                    return;
                };
                let (group, member) = (machine.group, machine.member);
                self.replicate(group, group::Event::Hold { member, span }, now, actions);
            }
            ServerFault::Drain(server) => {
                let Some(machine) = self.machines.get_mut(server as usize) else {
                    return;
                };
                if machine.status != Status::Ready {
                    return;
                }
                machine.status = Status::Draining;
                let (group, member) = (machine.group, machine.member);
                self.replicate(group, group::Event::Leave(member), now, actions);
                actions.push(Action::Changed(server));
            }
            ServerFault::Join { group, place } => self.join(group, place, now, actions),
            ServerFault::Partition(place) => {
                if self.split.replace(place).is_none() {
                    for group in 0..self.groups() {
                        let away = self.away(group, place);
                        self.replicate(group, group::Event::Split(&away), now, actions);
                    }
                }
            }
            ServerFault::HealPartition => {
                if self.split.take().is_some() {
                    for group in 0..self.groups() {
                        self.replicate(group, group::Event::Meet, now, actions);
                    }
                }
            }
        }
    }

    pub(super) fn away(&self, group: u32, place: u16) -> Vec<usize> {
        let members = self.members(group).iter().enumerate();
        members
            .filter(|(_, server)| self.place(**server) == place)
            .map(|(member, _)| member)
            .collect()
    }

    pub(super) fn join(&mut self, group: u32, place: u16, now: Micros, actions: &mut Vec<Action>) {
        if group >= self.groups() {
            return;
        }
        let server = self.machines.len() as ServerIndex;
        let members = &mut self.members[group as usize];
        members.push(server);
        self.machines.push(Machine {
            server: Server::new(self.settings.server),
            group,
            member: members.len() - 1,
            place,
            status: Status::Ready,
            started: now,
            connections: 0,
            report: None,
        });
        self.work(server, server::Event::Start, now, actions);
        let copy_age = self.settings.copy_age;
        self.replicate(group, group::Event::Join { copy_age }, now, actions);
        actions.push(Action::Changed(server));
    }
}
