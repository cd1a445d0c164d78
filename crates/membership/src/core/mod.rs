//! The core: `Core::handle` dispatches events; each concern of the core has its own file here.

mod failure_detection;
mod gossip;
mod heartbeat;
mod operations;
mod status;
mod view_exchange;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_10::rngs::StdRng;
use rand_10::SeedableRng;

use crate::anti_entropy::AntiEntropy;
use crate::config::Config;
use crate::event::{Action, Event};
use crate::facts::{FactId, FactStore};
use crate::incarnation::IncarnationClock;
use crate::observations::Observations;
use crate::process_id::ProcessId;
use crate::quorum::{QuorumState, QuorumTracker};
use crate::roster::{member_id, IndexedRoster, Roster, RosterError};
use crate::swim::{PacketError, Swim, SwimConfig, SWIM_KIND};
use crate::view::{Counters, Status};

/// Maximum size of a datagram in bytes.
pub const DATAGRAM_BYTES: usize = 1200;
/// Maximum number of datagrams in reply to one datagram.
const MAX_REPLY_DATAGRAMS: usize = 4;
/// The first byte of a datagram about facts.
const FACTS_KIND: u8 = 2;
/// The first byte of a datagram about the members that are down.
const VIEWS_KIND: u8 = 3;
/// Number of members that a process announces itself to at its start, and in each probe period while no member is
/// reachable.
const JOIN_ANNOUNCEMENTS: usize = 3;
/// Number of heartbeats, after the start and after a member became reachable, in which other members receive requests for
/// the members they know.
const DISCOVERY_HEARTBEATS: u64 = 10;
/// Makes the random numbers of the core independent of those of SWIM, which has the same seed.
const CORE_SEED_SALT: u64 = 0x6d65_6d62;

/// A process of the fleet, with its view of the other members and their facts.
pub struct Core {
    own_id: u32,
    incarnation: IncarnationClock,
    config: Config,
    roster: IndexedRoster,
    swim: Swim,
    facts: FactStore,
    rng: StdRng,
    observations: Observations,
    /// The members that `foca` held after the last event, in its order, which rarely changes.
    last_members: Vec<(ProcessId, Status)>,
    fleet_quorum: QuorumTracker,
    region_quorums: BTreeMap<String, QuorumTracker>,
    reported_state: QuorumState,
    self_suspicion: Option<SelfSuspicion>,
    /// Time of the last ack to a probe of this process.
    last_ack: Duration,
    /// Facts to send to other members, with the number of heartbeats in which they are still to be sent.
    facts_to_gossip: BTreeMap<FactId, u8>,
    /// Members that became reachable again and are to receive all digests.
    rejoined: BTreeSet<u32>,
    anti_entropy: AntiEntropy,
    /// Number of reply datagrams since the last heartbeat.
    replies_sent: usize,
    next_heartbeat: Option<Duration>,
    heartbeats: u64,
    /// Members that are alive here and down elsewhere under an earlier identity, with the time of the ping to each.
    disputed: BTreeMap<u32, Option<Duration>>,
    /// Number of the heartbeat until which views are compared with each heartbeat.
    compare_views_until: u64,
    /// Number of the heartbeat until which requests for the known members are sent.
    discover_until: u64,
    timer_due: Option<Duration>,
    timer_token: u64,
    has_left: bool,
    /// Whether another process of this name takes over (hot restart).
    handed_over: bool,
    counters: Counters,
}

/// State of a process that does not trust its view, because it was paused or no member acknowledges its probes.
#[derive(Clone, Debug)]
struct SelfSuspicion {
    since: Duration,
    /// Members that have acknowledged a probe since.
    acked: BTreeSet<u32>,
}

impl SelfSuspicion {
    fn since(now: Duration) -> Self {
        Self {
            since: now,
            acked: BTreeSet::new(),
        }
    }
}

impl Core {
    /// Creates a core that waits for `Event::Start`. Fails if the roster is inconsistent or lacks this process.
    pub fn new(config: Config, seed: u64) -> Result<Self, RosterError> {
        let roster = IndexedRoster::new(&config.name, config.roster.clone())?;
        let own_id = member_id(&config.name);
        let id = ProcessId {
            member: own_id,
            incarnation: config.incarnation,
            rejoins: 0,
            roster_version: roster.version,
        };
        let swim = Swim::new(id, swim_config(&config, &roster), seed);
        let mut core = Self {
            own_id,
            incarnation: IncarnationClock::new(config.incarnation, config.settle_time),
            swim,
            facts: FactStore::new(own_id, config.incarnation, config.fact_limits),
            rng: StdRng::seed_from_u64(seed ^ CORE_SEED_SALT),
            observations: Observations::default(),
            last_members: Vec::new(),
            fleet_quorum: QuorumTracker::default(),
            region_quorums: BTreeMap::new(),
            reported_state: QuorumState::Alone,
            self_suspicion: None,
            last_ack: Duration::ZERO,
            facts_to_gossip: BTreeMap::new(),
            rejoined: BTreeSet::new(),
            anti_entropy: AntiEntropy::new(config.probe_period * 2),
            replies_sent: 0,
            next_heartbeat: None,
            heartbeats: 0,
            disputed: BTreeMap::new(),
            compare_views_until: 0,
            discover_until: DISCOVERY_HEARTBEATS,
            timer_due: None,
            timer_token: 0,
            has_left: false,
            handed_over: false,
            counters: Counters::default(),
            config,
            roster,
        };
        core.apply_roster(Duration::ZERO);
        Ok(core)
    }

    /// Adjusts the observations and the quorums to the roster.
    fn apply_roster(&mut self, now: Duration) {
        for id in self
            .observations
            .apply_roster(now, &self.roster, self.own_id)
        {
            self.swim.remove_member(now, id);
        }
        self.last_members.clear();
        self.swim.changed = true;
        let members = &self.roster.members;
        self.region_quorums
            .retain(|region, _| members.values().any(|member| member.region == *region));
        for member in members.values() {
            self.region_quorums
                .entry(member.region.clone())
                .or_default();
        }
    }

    /// Handles an event at `now`, the time since a fixed origin. Events after `Event::Leave` are ignored.
    pub fn handle(&mut self, now: Duration, event: Event<'_>, actions: &mut Vec<Action>) {
        if self.has_left {
            return;
        }
        self.detect_pause(now);
        let roster_event = matches!(event, Event::Roster(_));
        match event {
            Event::Start => self.start(now),
            Event::Datagram {
                from,
                incarnation,
                bytes,
            } => self.receive_datagram(now, from, incarnation, bytes, actions),
            Event::Timer(token) => self.timer_fired(token),
            Event::Roster(roster) => self.replace_roster(now, roster, actions),
            Event::Leave => self.leave(now),
            Event::HandedOver(handed_over) => self.handed_over = handed_over,
            Event::Publish {
                kind,
                key,
                body,
                ttl,
            } => match self.facts.publish(now, kind, key, body, ttl) {
                Ok(id) => self.queue_for_gossip(id),
                Err(error) => actions.push(Action::PublishRejected(error)),
            },
        }
        self.run_due(now, roster_event, actions);
    }

    /// Runs the timers that are due, and reports the changes caused by the event and the timers.
    fn run_due(&mut self, now: Duration, roster_event: bool, actions: &mut Vec<Action>) {
        self.swim.run_timers(now);
        let heartbeat = self.next_heartbeat.is_some_and(|due| due <= now);
        if heartbeat {
            self.on_heartbeat(now);
        }
        let member_changed = self.observe_members(now, actions);
        debug_assert!(!heartbeat || self.observations_are_current());
        // Most datagrams change no member, so quorums are not updated after each of them.
        if heartbeat || member_changed || roster_event {
            self.update_quorum(now, actions);
        }
        self.flush(actions);
        self.counters.errors = self.swim.errors;
        if !self.has_left {
            self.arm_timer(now, actions);
        }
    }

    fn start(&mut self, now: Duration) {
        if self.next_heartbeat.is_none() {
            self.next_heartbeat = Some(now + self.config.probe_period / 2);
            self.announce_to_unreachable(now, JOIN_ANNOUNCEMENTS);
        }
    }

    /// Only the last token counts: a later timer replaces an earlier one.
    fn timer_fired(&mut self, token: u64) {
        if token == self.timer_token {
            self.timer_due = None;
        }
    }

    fn next_due(&self) -> Option<Duration> {
        self.swim
            .next_due()
            .into_iter()
            .chain(self.next_heartbeat)
            .min()
    }

    fn arm_timer(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let due = self.next_due();
        if due != self.timer_due {
            self.timer_due = due;
            if let Some(due) = due {
                self.timer_token += 1;
                actions.push(Action::Timer {
                    after: due.saturating_sub(now),
                    token: self.timer_token,
                });
            }
        }
    }

    fn receive_datagram(
        &mut self,
        now: Duration,
        from: &str,
        incarnation: u64,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        let from = member_id(from);
        let Some(observed) = self.observations.get(from) else {
            self.counters.unknown_members += 1;
            return;
        };
        if observed
            .process
            .is_some_and(|process| process.incarnation > incarnation)
        {
            self.counters.earlier_incarnations += 1;
            return;
        }
        let result = match bytes.split_first() {
            _ if bytes.len() > DATAGRAM_BYTES => Err(PacketError::Malformed),
            Some((&SWIM_KIND, packet)) => {
                self.receive_swim(now, (from, incarnation), packet, actions)
            }
            Some((&FACTS_KIND, packet)) => self.receive_facts(now, from, packet, actions),
            Some((&VIEWS_KIND, packet)) => self.receive_view(now, from, packet),
            _ => Err(PacketError::Malformed),
        };
        match result {
            Ok(()) => self.observations.record_datagram(from, now),
            Err(PacketError::Malformed) => self.counters.malformed += 1,
            Err(PacketError::SenderMismatch) => self.counters.sender_mismatches += 1,
        }
    }

    fn replace_roster(&mut self, now: Duration, roster: Roster, actions: &mut Vec<Action>) {
        match IndexedRoster::new(&self.config.name, roster) {
            Ok(known) => {
                self.roster = known;
                self.apply_roster(now);
                let swim_config = swim_config(&self.config, &self.roster);
                self.swim
                    .change_roster(now, self.roster.version, swim_config);
            }
            Err(error) => {
                self.counters.rosters_rejected += 1;
                actions.push(Action::RosterRejected(error));
            }
        }
    }

    fn enqueue(&mut self, to: u32, bytes: Vec<u8>) {
        self.swim.outbox.push((to, bytes));
    }

    /// Turns queued datagrams into actions. Addresses are taken from this process's roster: behind relays they differ
    /// between members.
    fn flush(&mut self, actions: &mut Vec<Action>) {
        for (to, bytes) in self.swim.outbox.drain(..) {
            if let Some(member) = self.roster.members.get(&to) {
                actions.push(Action::Send {
                    to: member.name.clone(),
                    address: member.address,
                    bytes,
                });
            }
        }
    }
}

fn swim_config(config: &Config, roster: &IndexedRoster) -> SwimConfig {
    SwimConfig {
        probe_period: config.probe_period,
        suspicion_timeout: config.suspicion_timeout,
        indirect_probes: config.indirect_probes,
        gossip_fanout: config.gossip_fanout,
        roster_size: roster.members.len(),
    }
}
