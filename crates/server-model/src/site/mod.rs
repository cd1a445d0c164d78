//! All record servers of a deployment: machines, groups and faults.
//!
//! The driver supplies time, faults, and the requests and probes that have reached a server; the site returns responses
//! and timers. It does not depend on networks, proxies or endpoint lists, so that it runs on virtual time as well as
//! behind real sockets.

mod events;
mod faults;
mod settings;

pub use events::{
    Action, Answer, Event, LoadReport, Operation, ResponseMetadata, ServerFault, ServerIndex,
    Status, TimerOwner,
};
pub use settings::Settings;

use crate::group::{self, Group};
use crate::server::{self, Server};
use crate::Micros;
use rustc_hash::FxHashMap;

#[derive(Debug)]
struct Machine {
    server: Server,
    group: u32,
    member: usize,
    place: u16,
    status: Status,
    /// Start time; 0: before the run.
    started: Micros,
    connections: usize,
    report: Option<(Micros, LoadReport)>,
}

/// All record servers of a deployment.
#[derive(Debug)]
pub struct Site {
    settings: Settings,
    machines: Vec<Machine>,
    groups: Vec<Group>,
    /// Servers by group and by member index.
    members: Vec<Vec<ServerIndex>>,
    /// Key of the write, by exchange, for writes in progress.
    writes: FxHashMap<u64, u64>,
    split: Option<u16>,
    scratch: Vec<server::Action>,
    /// Identifier of the last background job.
    background_jobs: u64,
}

/// Identifiers from here on belong to background jobs rather than requests.
const BACKGROUND_JOBS: u64 = 1 << 63;

impl Site {
    /// Site whose servers all run and are warm.
    pub fn new(settings: Settings) -> Site {
        let (mut machines, mut members, mut groups) = (Vec::new(), Vec::new(), Vec::new());
        for group in 0..settings.groups {
            let size = settings.size(group);
            let first = machines.len() as ServerIndex;
            members.push((first..first + size as ServerIndex).collect());
            groups.push(Group::new(group::Settings {
                members: size,
                ..settings.group
            }));
            machines.extend((0..size).map(|member| Machine {
                server: Server::new(settings.server),
                group: group as u32,
                member,
                place: (member % settings.places.max(1)) as u16,
                status: Status::Ready,
                started: 0,
                connections: 0,
                report: None,
            }));
        }
        Site {
            settings,
            machines,
            groups,
            members,
            writes: FxHashMap::default(),
            split: None,
            scratch: Vec::new(),
            background_jobs: BACKGROUND_JOBS,
        }
    }

    /// Indices of all servers that ever existed.
    pub fn servers(&self) -> std::ops::Range<ServerIndex> {
        0..self.machines.len() as ServerIndex
    }

    /// Number of groups.
    pub fn groups(&self) -> u32 {
        self.groups.len() as u32
    }

    /// Present and former members of a group, in the order in which they joined.
    pub fn members(&self, group: u32) -> &[ServerIndex] {
        self.members.get(group as usize).map_or(&[], Vec::as_slice)
    }

    /// The server's group.
    pub fn group(&self, server: ServerIndex) -> u32 {
        self.machine(server).map_or(0, |m| m.group)
    }

    /// The server's building.
    pub fn place(&self, server: ServerIndex) -> u16 {
        self.machine(server).map_or(0, |m| m.place)
    }

    /// The server's present state.
    pub fn status(&self, server: ServerIndex) -> Status {
        self.machine(server).map_or(Status::Gone, |m| m.status)
    }

    /// Start time of the server; 0: before the run.
    pub fn started(&self, server: ServerIndex) -> Micros {
        self.machine(server).map_or(0, |m| m.started)
    }

    /// The group's primary; if there are two, the one elected last.
    pub fn primary(&self, group: u32) -> Option<ServerIndex> {
        let member = self.groups.get(group as usize)?.primary()?;
        self.members(group).get(member).copied()
    }

    /// Whether the server considers itself the primary.
    pub fn is_primary(&self, server: ServerIndex) -> bool {
        self.machine(server)
            .is_some_and(|m| self.groups[m.group as usize].is_primary(m.member))
    }

    /// Time up to which the server has all commits.
    pub fn position(&mut self, server: ServerIndex, now: Micros) -> Micros {
        let Some(machine) = self.machines.get(server as usize) else {
            return 0;
        };
        self.groups[machine.group as usize].position(machine.member, now)
    }

    /// Whether the server's process runs; it may hang nevertheless.
    pub fn runs(&self, server: ServerIndex) -> bool {
        self.machine(server).is_some_and(|m| m.server.up())
    }

    /// Whether the server would answer a request.
    pub fn answers(&self, server: ServerIndex) -> bool {
        self.machine(server)
            .is_some_and(|m| m.server.up() && !m.server.hung() && m.status == Status::Ready)
    }

    /// Number of running and waiting requests of the server.
    pub fn held(&self, server: ServerIndex) -> usize {
        self.machine(server).map_or(0, |m| m.server.held())
    }

    /// Present capacity of the server as a fraction of its full capacity.
    pub fn capacity(&self, server: ServerIndex, now: Micros) -> f64 {
        self.machine(server).map_or(0.0, |m| m.server.capacity(now))
    }

    /// Whether the server can take `more` work; a cold one must keep the fraction `spare` of its budget free.
    pub fn has_capacity_for(
        &self,
        server: ServerIndex,
        now: Micros,
        more: f64,
        spare: f64,
    ) -> bool {
        self.machine(server)
            .is_some_and(|m| m.server.has_capacity_for(now, more, spare))
    }

    fn machine(&self, server: ServerIndex) -> Option<&Machine> {
        self.machines.get(server as usize)
    }

    /// Opens a connection to a server and returns whether it is accepted. A hanging server accepts connections.
    pub fn dial(&mut self, server: ServerIndex, now: Micros, actions: &mut Vec<Action>) -> bool {
        let limit = self.settings.connections;
        let Some(machine) = self.machines.get_mut(server as usize) else {
            return false;
        };
        if !machine.server.up() || machine.connections >= limit {
            return false;
        }
        machine.connections += 1;
        self.background_work(server, self.settings.dial_work, now, actions);
        true
    }

    /// Records the end of a connection to a server.
    pub fn hang_up(&mut self, server: ServerIndex) {
        if let Some(machine) = self.machines.get_mut(server as usize) {
            machine.connections = machine.connections.saturating_sub(1);
        }
    }

    /// Applies an event and appends the resulting actions.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Request {
                exchange,
                server,
                operation,
            } => self.request(exchange, server, operation, now, actions),
            Event::Probe { exchange, server } => self.probe(exchange, server, now, actions),
            Event::Timer(TimerOwner::Server { server, number }) => {
                self.work(server, server::Event::Wake { number }, now, actions)
            }
            Event::Timer(TimerOwner::Group(group)) => {
                self.replicate(group, group::Event::Due, now, actions)
            }
            Event::Fault(fault) => self.inject_fault(fault, now, actions),
        }
    }

    fn request(
        &mut self,
        exchange: u64,
        server: ServerIndex,
        operation: Operation,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(machine) = self.machines.get(server as usize).filter(|m| m.server.up()) else {
            return actions.push(Action::Answer {
                exchange,
                answer: Answer::Unreachable,
                metadata: None,
            });
        };
        let (group, member, hung) = (
            machine.group as usize,
            machine.member,
            machine.server.hung(),
        );
        if machine.status != Status::Ready {
            let metadata = Some(self.metadata(server, now));
            return actions.push(Action::Answer {
                exchange,
                answer: Answer::Rejected,
                metadata,
            });
        }
        let primary = self.groups[group].is_primary(member);
        let misdirected = match operation.write {
            Some(_) => !primary,
            None => {
                self.settings.checks
                    && operation.min_position > 0
                    && self.groups[group].position(member, now) < operation.min_position
            }
        };
        if misdirected && !hung {
            let metadata = Some(self.metadata(server, now));
            return actions.push(Action::Answer {
                exchange,
                answer: Answer::Misdirected,
                metadata,
            });
        }
        if let Some(key) = operation.write {
            self.writes.insert(exchange, key);
        }
        self.work(
            server,
            server::Event::Arrive {
                id: exchange,
                work: operation.work,
            },
            now,
            actions,
        );
    }

    fn metadata(&mut self, server: ServerIndex, now: Micros) -> ResponseMetadata {
        ResponseMetadata {
            primary: self.is_primary(server),
            position: self.position(server, now),
        }
    }

    fn probe(
        &mut self,
        exchange: u64,
        server: ServerIndex,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        if !self.runs(server) {
            return actions.push(Action::LoadReport {
                exchange,
                report: None,
            });
        }
        self.background_work(server, self.settings.probe_work, now, actions);
        if self.machines[server as usize].server.hung() {
            return;
        }
        let every = self.settings.report_every;
        let known = self.machines[server as usize]
            .report
            .filter(|(at, _)| now < at + every);
        let report = match known {
            Some((_, report)) => report,
            None => {
                let ResponseMetadata { primary, position } = self.metadata(server, now);
                let machine = &mut self.machines[server as usize];
                let (queued, in_flight) = (machine.server.waiting(), machine.server.held());
                let report = LoadReport {
                    position,
                    primary,
                    queued,
                    in_flight,
                };
                machine.report = Some((now, report));
                report
            }
        };
        actions.push(Action::LoadReport {
            exchange,
            report: Some(report),
        });
    }

    /// Adds work that has no waiting client.
    fn background_work(
        &mut self,
        server: ServerIndex,
        work: Micros,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        if work > 0 {
            self.background_jobs += 1;
            self.work(
                server,
                server::Event::Arrive {
                    id: self.background_jobs,
                    work,
                },
                now,
                actions,
            );
        }
    }

    fn work(
        &mut self,
        server: ServerIndex,
        event: server::Event,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let mut server_actions = std::mem::take(&mut self.scratch);
        if let Some(machine) = self.machines.get_mut(server as usize) {
            machine.server.handle(now, event, &mut server_actions);
        }
        for action in server_actions.drain(..) {
            match action {
                server::Action::WakeAt(at, number) => {
                    actions.push(Action::SetTimer(at, TimerOwner::Server { server, number }));
                }
                server::Action::Collapsed => {
                    actions.push(Action::Collapsed(server));
                    self.mark_gone(server, now, actions);
                }
                // Background jobs have no waiting client.
                server::Action::Done(id)
                | server::Action::Unanswered(id)
                | server::Action::Full(id)
                | server::Action::Lost(id)
                    if id >= BACKGROUND_JOBS => {}
                server::Action::Done(exchange) => self.done(exchange, server, true, now, actions),
                server::Action::Unanswered(exchange) => {
                    self.done(exchange, server, false, now, actions)
                }
                server::Action::Full(exchange) => {
                    self.writes.remove(&exchange);
                    let metadata = Some(self.metadata(server, now));
                    actions.push(Action::Answer {
                        exchange,
                        answer: Answer::Rejected,
                        metadata,
                    });
                }
                server::Action::Lost(exchange) => {
                    self.writes.remove(&exchange);
                    actions.push(Action::Answer {
                        exchange,
                        answer: Answer::Reset,
                        metadata: None,
                    });
                }
            }
        }
        self.scratch = server_actions;
    }

    /// Completes a request. A write takes effect if its server is still the primary, even if no response is sent.
    fn done(
        &mut self,
        exchange: u64,
        server: ServerIndex,
        answered: bool,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let machine = &self.machines[server as usize];
        let (group, member) = (machine.group, machine.member);
        let mut metadata = self.metadata(server, now);
        let mut answer = Answer::Ok;
        if let Some(key) = self.writes.remove(&exchange) {
            if metadata.primary {
                self.replicate(group, group::Event::Commit(member), now, actions);
                metadata.position = self.groups[group as usize].last_commit();
                actions.push(Action::Applied {
                    key,
                    at: metadata.position,
                });
            } else {
                // The server has lost the primary role since the write arrived.
                answer = Answer::Failed;
            }
        }
        if answered {
            actions.push(Action::Answer {
                exchange,
                answer,
                metadata: Some(metadata),
            });
        }
    }

    fn replicate(
        &mut self,
        group: u32,
        event: group::Event<'_>,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        let Some(state) = self.groups.get_mut(group as usize) else {
            return;
        };
        let mut server_actions = Vec::new();
        state.handle(now, event, &mut server_actions);
        let members = &self.members[group as usize];
        actions.extend(server_actions.into_iter().map(|action| match action {
            group::Action::DueAt(at) => Action::SetTimer(at, TimerOwner::Group(group)),
            group::Action::Primary(member) => Action::Primary {
                group,
                server: members[member],
            },
            group::Action::Vacant => Action::Vacant { group },
            group::Action::Lost { member, after } => Action::Undone {
                server: members[member],
                after,
            },
        }));
    }
}
