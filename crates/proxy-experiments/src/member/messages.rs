//! What proxies of a fleet send to each other, and what each knows of its fleet at its start.

use quota_lending::Rules;
use routing::Time;
use std::sync::Arc;
use std::time::Duration;

/// What a proxy sends to all others.
#[derive(Clone, Debug)]
pub enum Message {
    /// Requests a second of each tenant that come to it.
    Rates(Vec<f64>),
    /// Requests within their quotas are rejected for want of capacity.
    CapacityShortage,
    /// A fact of its loans.
    LoanFact {
        /// As `quota_lending` numbers kinds of facts.
        kind: u8,
        /// Names the fact among those of its kind.
        key: Vec<u8>,
        /// The encoded fact.
        body: Vec<u8>,
    },
}

/// A message on its way between two proxies.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The proxy that sent it.
    pub sender: usize,
    /// Of its process.
    pub start: u64,
    /// When it was sent.
    pub sent_at: Time,
    /// What it says.
    pub message: Message,
}

/// What a proxy is told of its fleet when it starts.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Its number.
    pub proxy: usize,
    /// The start time of its process, which names its incarnation.
    pub start: u64,
    /// The names of all proxies.
    pub names: Arc<[String]>,
    /// The names of the tenants.
    pub tenants: Arc<[String]>,
    /// The names of the classes.
    pub classes: Arc<[String]>,
    /// Who may borrow what.
    pub rules: Rules,
    /// The longest that a request takes.
    pub longest: Duration,
    /// How long a lease of a lane lasts.
    pub lease: Duration,
    /// How often rates are sent to the others.
    pub announce_every: Duration,
    /// A proxy that was not heard for so long counts as dead.
    pub dead_after: Duration,
    /// Room is short when so many are refused in a look, and more than this part of those asked.
    pub short_least: u64,
    /// The part of the requests of a tick.
    pub short_part: f64,
}
