//! What the proxy can tell of itself: the availability model, fed by the stages and the loop, and put into the words
//! of the health codecs.

use crate::clock::Clock;
use crate::cluster::sites::{self, Sites};
use crate::request::{Answer, Done, Verdict};
use crate::upstream::Sign;
use availability::{
    AttemptOutcome, Availability, Condition, Event, LinkState, Load, Reason, RejectionCause,
    Report, Settings,
};
use routing::{
    Arrival, Endpoint, EndpointState, EndpointUpdate, GroupId, RequestId, ServerId, Time,
};
use site_failover::Event as SiteEvent;
use std::time::{Duration, Instant};
use wire_admin::Figures;
use wire_health::Status;

/// The proxy's load is taken this often, and its memory, which costs a system call more, this often.
pub const LOOK: Duration = Duration::from_millis(100);
const MEMORY_LOOK: Duration = Duration::from_secs(1);
/// Whoever checks a proxy that drains may come again after this.
const DRAIN_COME_BACK: Duration = Duration::from_secs(5);
/// Rates are averages over about this many seconds.
const RATE_SPAN: f64 = 5.0;

/// Parts of its limits that the proxy uses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    pub clients: usize,
    pub clients_limit: usize,
    pub upstream: usize,
    pub upstream_limit: usize,
    pub open: usize,
    pub memory_limit: usize,
}

pub struct Monitor {
    model: Availability,
    /// Where the operators' file asks for it.
    sites: Option<Sites>,
    /// Names of the places that the platform knows.
    zones: Vec<String>,
    start: Instant,
    /// The longest that the loop has been busy since the last look.
    lag: Duration,
    usage: Usage,
    memory: f64,
    memory_at: Option<Instant>,
    /// CPU time used up to the last look, and the part of a core that it came to.
    cpu_used: Duration,
    cpu: f64,
    looked: Instant,
    answered: u64,
    failed: u64,
    answered_per_s: f64,
    failed_per_s: f64,
}

impl Monitor {
    pub fn new(
        settings: Settings,
        sites: Option<site_failover::Settings>,
        zones: Vec<String>,
        now: Instant,
    ) -> Monitor {
        Monitor {
            model: Availability::new(settings, Duration::ZERO),
            sites: sites.map(Sites::new),
            zones,
            start: now,
            lag: Duration::ZERO,
            usage: Usage::default(),
            memory: 0.0,
            memory_at: None,
            cpu_used: Clock::cpu(),
            cpu: 0.0,
            looked: now,
            answered: 0,
            failed: 0,
            answered_per_s: 0.0,
            failed_per_s: 0.0,
        }
    }

    pub fn event(&mut self, now: Instant, event: Event) {
        self.model
            .handle(now.saturating_duration_since(self.start), event);
    }

    fn of_sites(&mut self, now: Instant, event: SiteEvent) {
        if let Some(sites) = &mut self.sites {
            let zones = &self.zones;
            sites.handle(now.saturating_duration_since(self.start), event, |place| {
                zone(zones, place).to_owned()
            });
        }
    }

    /// The watch on the list stands, or is lost. With it all that it says has been told.
    pub fn list(&mut self, heard: bool, now: Instant) {
        self.of_sites(now, SiteEvent::ListUpdated { connected: heard });
    }

    /// An operator's word on servers, beside what becomes of the list by it.
    pub fn hands(&mut self, news: &EndpointUpdate, now: Instant) {
        let EndpointUpdate::Changes(entries) = news else {
            return;
        };
        for entry in entries {
            let out = entry.state != EndpointState::Ready;
            self.of_sites(
                now,
                SiteEvent::ManualExclusion {
                    server: entry.server.0,
                    excluded: out,
                },
            );
        }
    }

    /// What requests are worth and may ask, where sites are told of.
    pub fn configure(&mut self, settings: &routing::Settings) {
        if let Some(sites) = &mut self.sites {
            sites.configure(settings);
        }
    }

    /// A request as the module is to hear of it; the part of its kind that is to be refused for a lost site.
    pub fn arrived(&mut self, arrival: &Arrival, now: Instant) -> f64 {
        self.asked(arrival.group, now);
        let since = now.saturating_duration_since(self.start);
        self.sites
            .as_mut()
            .map_or(0.0, |sites| sites.record_request(since, arrival))
    }

    /// An attempt is made for a request, or it is over; `refused`: for want of room.
    pub fn settled(&mut self, id: RequestId, refused: bool) {
        if let Some(sites) = &mut self.sites {
            sites.plan().record_outcome(id.0, refused);
        }
    }

    /// A request has been taken in.
    fn asked(&mut self, group: GroupId, now: Instant) {
        self.event(now, Event::RequestArrived { group: group.0 });
    }

    /// Its client has left.
    pub fn left(&mut self, id: RequestId, group: GroupId, now: Instant) {
        if let Some(sites) = &mut self.sites {
            sites.plan().forget_request(id.0);
        }
        self.event(now, Event::ClientLeft { group: group.0 });
    }

    /// An exchange with a record server has begun; a probe is of no group.
    pub fn sent(&mut self, group: Option<GroupId>, server: ServerId, now: Instant) {
        if let Some(group) = group {
            self.event(now, Event::AttemptSent { group: group.0 });
        }
        self.event(now, Event::ExchangeStarted { server: server.0 });
    }

    pub fn ended(&mut self, done: &Done, now: Instant) {
        let how = match done.verdict {
            // It has answered, whatever it said.
            Verdict::Served(_) | Verdict::Reported(_) | Verdict::Failed | Verdict::Spoilt => {
                AttemptOutcome::Answered
            }
            Verdict::Miss | Verdict::Full => AttemptOutcome::Rejected,
            Verdict::ConnectFailed | Verdict::Reset | Verdict::TimedOut => AttemptOutcome::Failed,
            Verdict::Cancelled | Verdict::NeverSent => AttemptOutcome::Cancelled,
        };
        if let Some(group) = done.group {
            self.event(
                now,
                Event::AttemptEnded {
                    group: group.0,
                    outcome: how,
                    elapsed: done.elapsed,
                },
            );
        }
        let server = done.server.0;
        let sign = match done.verdict {
            // One whose time was over before it was written got no connection.
            Verdict::ConnectFailed => Some(SiteEvent::ConnectFailed { server }),
            Verdict::Reset => Some(SiteEvent::Reset { server }),
            Verdict::TimedOut => Some(SiteEvent::TimedOut { server }),
            Verdict::Cancelled | Verdict::NeverSent => None,
            _ => Some(SiteEvent::Answered { server }),
        };
        if let Some(sign) = sign {
            self.of_sites(now, sign);
        }
        if let Some(sites) = &mut self.sites {
            sites.record_end(now.saturating_duration_since(self.start), done);
        }
        // Of an exchange that never got a connection its dial has told.
        let word = matches!(how, AttemptOutcome::Answered | AttemptOutcome::Rejected)
            || done.verdict == Verdict::Reset;
        self.event(
            now,
            Event::ExchangeEnded {
                server: done.server.0,
                contact: word,
            },
        );
    }

    /// What an answer or a report tells of its server; positions are Unix times.
    pub fn told(
        &mut self,
        server: ServerId,
        position: Option<Time>,
        primary: Option<bool>,
        clock: &Clock,
        now: Instant,
    ) {
        let (unix, here) = (clock.unix(now), now.saturating_duration_since(self.start));
        let position = position.map(|at| (here + at.since(unix)).saturating_sub(unix.since(at)));
        self.event(
            now,
            Event::RoleReported {
                server: server.0,
                position,
                primary,
            },
        );
    }

    pub fn sign(&mut self, sign: Sign, now: Instant) {
        let event = match sign {
            Sign::Dials(server) => Event::DialStarted { server: server.0 },
            Sign::Word(server) => Event::Contact { server: server.0 },
        };
        self.event(now, event);
    }

    /// The list's word on servers, and on those that it names no more.
    pub fn listed(
        &mut self,
        entries: &[Endpoint],
        gone: impl Iterator<Item = ServerId>,
        now: Instant,
    ) {
        for entry in entries {
            let (server, place, group) = (entry.server.0, entry.zone.0, entry.group.0);
            let there = entry.state != EndpointState::Removed;
            self.event(
                now,
                Event::Endpoint {
                    server,
                    site: place,
                    group,
                    listed: there,
                },
            );
            self.of_sites(now, sites::endpoint_event(entry));
        }
        for server in gone {
            self.event(
                now,
                Event::Endpoint {
                    server: server.0,
                    site: 0,
                    group: 0,
                    listed: false,
                },
            );
            self.of_sites(now, sites::removal_event(server));
        }
    }

    /// A record server that should be dialled to see whether its machine is there; only balancers ask for what that
    /// tells.
    pub fn knock(&self, may: impl Fn(ServerId) -> bool) -> Option<ServerId> {
        self.model
            .server_to_dial(|server| may(ServerId(server)))
            .map(ServerId)
    }

    /// A request had its final answer, of the module or of a record server.
    pub fn answered(&mut self, group: GroupId, write: bool, answer: &Answer, now: Instant) {
        let group = group.0;
        if write && !matches!(answer, Answer::Rejected(_)) {
            self.event(
                now,
                Event::WriteEnded {
                    group,
                    served: matches!(answer, Answer::Served(_)),
                },
            );
        }
        self.answered += 1;
        match answer {
            Answer::Served(_) => self.event(now, Event::RequestServed { group }),
            Answer::Refused(_) => self.event(
                now,
                Event::RequestRejected {
                    group,
                    cause: RejectionCause::Servers,
                },
            ),
            Answer::Failed => {
                self.failed += 1;
                self.event(now, Event::RequestFailed { group });
            }
            Answer::Cancelled | Answer::Rejected(_) => {}
        }
    }

    /// The loop has worked for so long before it could wait again, or came so late.
    pub fn busy(&mut self, span: Duration) {
        self.lag = self.lag.max(span);
    }

    /// Takes the proxy's load.
    pub fn look(&mut self, usage: Usage, now: Instant) {
        self.usage = usage;
        if self
            .memory_at
            .is_none_or(|at| now.saturating_duration_since(at) >= MEMORY_LOOK)
        {
            self.memory_at = Some(now);
            self.memory = part(resident(), usage.memory_limit);
        }
        let span = now
            .saturating_duration_since(self.looked)
            .as_secs_f64()
            .max(1e-3);
        let used = Clock::cpu();
        let smooth = (-span / RATE_SPAN).exp();
        let mix = |old: f64, new: f64| old * smooth + new * (1.0 - smooth);
        self.cpu = mix(
            self.cpu,
            used.saturating_sub(self.cpu_used).as_secs_f64() / span,
        );
        self.answered_per_s = mix(
            self.answered_per_s,
            std::mem::take(&mut self.answered) as f64 / span,
        );
        self.failed_per_s = mix(
            self.failed_per_s,
            std::mem::take(&mut self.failed) as f64 / span,
        );
        (self.cpu_used, self.looked) = (used, now);
        let descriptors = part(usage.clients, usage.clients_limit)
            .max(part(usage.upstream, usage.upstream_limit));
        let load = Load {
            lag: std::mem::take(&mut self.lag),
            open: part(usage.open, usage.clients_limit),
            descriptors,
            memory: self.memory,
        };
        self.event(now, Event::Load(load));
        if self.sites.is_some() {
            self.of_sites(now, SiteEvent::LoopLag(load.lag));
            let links: Vec<(u16, LinkState)> = self.model.links().collect();
            for (site, link) in links {
                self.of_sites(
                    now,
                    SiteEvent::LinkCut {
                        site,
                        cut: link == LinkState::Cut,
                    },
                );
            }
            self.of_sites(now, SiteEvent::Tick);
        }
    }

    /// What is told of sites, at the control socket and among the figures.
    pub fn site_lines(&self, now: Instant) -> String {
        let now = now.saturating_duration_since(self.start);
        self.sites.as_ref().map_or(String::new(), |sites| {
            sites.lines(now, |p| self.zone(p).to_owned())
        })
    }

    /// The answer to who asks for sites, or for one by its name.
    pub fn site_table(&self, named: Option<&str>, names: [&[String]; 2], now: Instant) -> String {
        let now = now.saturating_duration_since(self.start);
        match &self.sites {
            Some(sites) => sites.table(now, named, |place| self.zone(place).to_owned(), names),
            None => "error: the operators' file has no section sites\n".into(),
        }
    }

    pub fn site_figures(&self, now: Instant, figures: &mut Figures) {
        if let Some(sites) = &self.sites {
            sites.figures(
                now.saturating_duration_since(self.start),
                figures,
                |place| self.zone(place).to_owned(),
            );
        }
    }

    pub fn report(&self) -> &Report {
        self.model.report()
    }

    pub fn status(&self) -> Status {
        let report = self.model.report();
        let Load {
            open,
            descriptors,
            memory,
            ..
        } = report.load;
        let groups = self
            .model
            .groups()
            .map(|(group, state)| wire_health::Group {
                group,
                condition: state.condition.name(),
                serves: !matches!(state.condition, Condition::Hung | Condition::Dead),
            });
        Status {
            state: report.state,
            weight: report.weight,
            reason: self.reason(report),
            room: u32::try_from(self.usage.clients_limit)
                .ok()
                .filter(|limit| *limit > 0),
            retry_after: if report.state.serves() {
                Duration::from_secs(1)
            } else {
                DRAIN_COME_BACK
            },
            load: wire_health::Load {
                cpu: self.cpu,
                memory,
                application: open.max(descriptors).max(memory),
                requests_per_s: self.answered_per_s,
                errors_per_s: self.failed_per_s,
                open,
                descriptors,
            },
            groups: groups.collect(),
            links: self
                .links()
                .map(|(place, link)| (place.to_owned(), link.name()))
                .collect(),
        }
    }

    fn links(&self) -> impl Iterator<Item = (&str, LinkState)> {
        self.model
            .links()
            .map(|(place, link)| (self.zone(place), link))
    }

    fn zone(&self, place: u16) -> &str {
        zone(&self.zones, place)
    }

    fn reason(&self, report: &Report) -> String {
        match report.reason {
            Reason::None => String::new(),
            Reason::Lag => "the loop is late".into(),
            Reason::Open => "many requests are open".into(),
            Reason::Descriptors => "few descriptors are left".into(),
            Reason::Memory => "little memory is left".into(),
            Reason::Group(group) => format!("group {group} does not answer"),
            Reason::Primary(group) => format!("group {group} takes no writes"),
            Reason::Link(place) => format!("the link to {} is cut", self.zone(place)),
            Reason::Servers => "record servers refuse or fail".into(),
            Reason::Slow => format!(
                "record servers take {:.1} times as long as usual",
                report.slowness
            ),
        }
    }

    /// Lines for whoever asks at the control socket.
    pub fn lines(&self) -> String {
        let status = self.status();
        let mut out = format!(
            "state {}\nweight {}\nreason {}\nclients {} of {}\nupstream {} of {}\nopen {}\ncpu {:.2}\nmemory {:.2}\n",
            status.state.name(),
            status.weight,
            if status.reason.is_empty() { "none" } else { &status.reason },
            self.usage.clients,
            self.usage.clients_limit,
            self.usage.upstream,
            self.usage.upstream_limit,
            self.usage.open,
            self.cpu,
            status.load.memory,
        );
        for group in &status.groups {
            out.push_str(&format!("group {} {}\n", group.group, group.condition));
        }
        for (place, link) in &status.links {
            out.push_str(&format!("link {place} {link}\n"));
        }
        out
    }
}

fn zone(zones: &[String], place: u16) -> &str {
    zones
        .get(usize::from(place))
        .map_or("a place without a name", String::as_str)
}

fn part(used: usize, limit: usize) -> f64 {
    used as f64 / limit.max(1) as f64
}

/// Bytes of memory that the process holds, without what it only maps from files; 0 where the system does not tell.
fn resident() -> usize {
    const PAGE: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let mut pages = text
        .split(' ')
        .skip(1)
        .map(|pages| pages.parse::<usize>().unwrap_or(0));
    let (resident, shared) = (pages.next().unwrap_or(0), pages.next().unwrap_or(0));
    resident.saturating_sub(shared) * PAGE
}
