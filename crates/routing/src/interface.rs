//! The interface of the decision module: settings, events, actions and ids.
//!
//! Plain data only. Whatever is decided is decided in `decide.rs`.

use std::time::Duration;

/// The decisions' constants as one type, so that they can be varied: each by its name, with the value that counts.
macro_rules! tuning {
    ($($(#[$doc:meta])* $name:ident: $value:expr,)*) => {
        #[derive(Clone, Copy, Debug, PartialEq)]
        pub struct Tuning {
            $($(#[$doc])* pub $name: f64,)*
        }

        impl Default for Tuning {
            fn default() -> Tuning {
                Tuning { $($name: $value,)* }
            }
        }

        impl Tuning {
            pub const NAMES: &'static [&'static str] = &[$(stringify!($name),)*];

            pub fn get(&self, name: &str) -> Option<f64> {
                match name {
                    $(stringify!($name) => Some(self.$name),)*
                    _ => None,
                }
            }

            /// False: there is none of that name.
            pub fn set(&mut self, name: &str, value: f64) -> bool {
                match name {
                    $(stringify!($name) => self.$name = value,)*
                    _ => return false,
                }
                true
            }
        }
    };
}
pub(crate) use tuning;

/// An instant on the router's clock, as the time since an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(pub Duration);

impl Time {
    /// The origin; where an instant may be absent it stands for that.
    pub const ZERO: Time = Time(Duration::ZERO);
    pub const MAX: Time = Time(Duration::MAX);

    pub const fn from_micros(since_origin: u64) -> Time {
        Time(Duration::from_micros(since_origin))
    }

    pub fn plus(self, span: Duration) -> Time {
        Time(self.0.saturating_add(span))
    }

    pub fn minus(self, span: Duration) -> Time {
        Time(self.0.saturating_sub(span))
    }

    /// How long ago `earlier` was; zero if it lies ahead.
    pub fn since(self, earlier: Time) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

macro_rules! id {
    ($(#[$doc:meta] $name:ident($inner:ty);)*) => {$(
        #[$doc]
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

id! {
    /// A member of a group: a primary or a replica.
    ServerId(u32);
    /// Members that hold the same data.
    GroupId(u32);
    /// A client's request, as named by the gateway.
    RequestId(u64);
    /// The session that a write or a read of its own writes belongs to.
    SessionKey(u64);
    /// Position in `Settings::classes`.
    ClassId(u16);
    /// Position in `Settings::tenants`.
    TenantId(u16);
    /// A place; crossing from one to another may cost.
    ZoneId(u16);
    /// A kind of machine.
    KindId(u16);
    /// The attempts of one request count from 0 in the order sent.
    AttemptNo(u16);
    /// Returned with a timer.
    TimerToken(u32);
}

/// What a class of request needs of the data that answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// Only the primary takes it.
    Write,
    /// Must see everything committed before it arrived.
    Strong,
    /// Must see what its session has written.
    ReadYourWrites,
    /// Data no older than this when it is sent.
    BoundedStaleness(Duration),
    /// Any member may answer.
    Eventual,
}

/// Where the duplicates of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Group,
}

/// What a repetition of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    Idempotent,
    Keyed {
        scope: DeduplicationScope,
        window: Duration,
    },
    NonIdempotent,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    pub consistency: Consistency,
    pub idempotency: Idempotency,
    /// Answers within this earn the full worth.
    pub latency_objective: Duration,
    pub deadline: Duration,
    pub priority_weight: f64,
    /// Share of the worth that a late answer earns.
    pub late_weight_fraction: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests a second over all routers that count in full.
    pub quota_per_s: f64,
}

/// What a replica does with a read that it is too far behind for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StalenessCheck {
    /// Answers from what it has: the router alone keeps reads fresh.
    #[default]
    None,
    /// Turns it away untouched.
    Reject,
    /// Waits this long to catch up, then turns it away untouched.
    Wait(Duration),
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    pub router_count: u32,
    /// Its number among them, from 0.
    pub router_index: u32,
    pub zone: ZoneId,
    pub classes: Vec<Class>,
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's quota, as a share of the usual.
    pub over_quota_weight_fraction: f64,
    pub staleness_check: StalenessCheck,
    /// The session's last write comes with the request (else remembered by the router).
    pub clients_carry_session_position: bool,
    /// The list must be asked for.
    pub endpoints_are_polled: bool,
    /// It has to be asked for within this; what has changed counts as told then.
    pub max_poll_interval: Duration,
    pub may_probe: bool,
    pub may_cancel: bool,
    pub may_hedge: bool,
    pub may_send_retry_after: bool,
    pub max_retry_after: Duration,
    /// Attempts allowed for a request; 0: no limit.
    pub attempt_limit: u16,
    /// Sends to a draining or removed server stop within this.
    pub drain_grace: Duration,
    /// Removal without a drain does not bind.
    pub soft_removal: bool,
    /// A starting server has at least this share of its capacity ...
    pub initial_capacity_fraction: f64,
    /// ... and all of it after this.
    pub warm_up_duration: Duration,
    /// More than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... for this long, from all routers together, makes it collapse.
    pub overload_duration: Duration,
    /// An idle connection is closed after this.
    pub idle_timeout: Duration,
}

/// A server's word on itself. Absent where the deployment does not report it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// All commits up to this instant are applied (rounded towards the past).
    pub position: Option<Time>,
    pub primary: Option<bool>,
    pub in_flight: Option<f64>,
    pub queued: Option<f64>,
}

/// What came with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    pub primary: Option<bool>,
    /// For a write that went through, its commit; else the position of the server.
    pub position: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    /// Answered with an error; may have taken effect.
    Failed,
    /// Turned away unseen: full or draining.
    Rejected,
    TimedOut,
    ConnectFailed,
    /// The connection broke with the attempt out.
    Reset,
    Cancelled,
    /// Never left: too late, ended, or over the limit.
    NotSent,
    /// Turned away untouched: not the primary, or too far behind.
    Misdirected,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointState {
    #[default]
    Ready,
    Draining,
    Removed,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    pub server: ServerId,
    pub group: GroupId,
    pub zone: ZoneId,
    pub kind: KindId,
    pub state: EndpointState,
    /// The list believes it to be the primary.
    pub primary: bool,
    /// Latest start; zero: long ago.
    pub started: Time,
}

#[derive(Clone, Debug, PartialEq)]
pub enum EndpointUpdate {
    Changes(Vec<Endpoint>),
    Snapshot(Vec<Endpoint>),
    /// The complete list as this router last held it, perhaps long ago.
    Cached(Vec<Endpoint>),
    /// A request for the list failed or the subscription broke.
    Failed,
}

/// How a session's last write is named: what a read of the session must see.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionPosition {
    /// So long before the arrival.
    Ago(Duration),
    /// By its position, on the clock that positions are told by, however the router's own is set.
    At(Time),
}

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Arrival {
    pub id: RequestId,
    pub class: ClassId,
    pub tenant: TenantId,
    pub group: GroupId,
    pub session: Option<SessionKey>,
    /// Until the client gives up this try.
    pub time_left: Duration,
    /// The session's last write, where carried.
    pub session_position: Option<SessionPosition>,
    /// The client says that it repeats itself.
    pub is_client_retry: bool,
    /// Whether its tenant may ask so much.
    pub quota_status: QuotaStatus,
    /// Attempts allowed for it, where that is fewer than the settings allow.
    pub attempt_limit: Option<u16>,
    /// The part of its kind that is to be refused whatever room there seems to be, from 0 (none) to 1 (all).
    pub shed_fraction: f64,
}

/// Where a request stands in its tenant's quota, the best first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum QuotaStatus {
    #[default]
    WithinQuota,
    /// Beyond it, and to be repaid.
    Borrowed,
    OverQuota,
}

impl QuotaStatus {
    /// How far beyond, from 0 to 1: a loan is halfway, so what it counts for is as far from the one as from the other.
    pub fn over_quota_fraction(self) -> f64 {
        match self {
            QuotaStatus::WithinQuota => 0.0,
            QuotaStatus::Borrowed => 0.5,
            QuotaStatus::OverQuota => 1.0,
        }
    }
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnded {
    pub id: RequestId,
    pub attempt: AttemptNo,
    pub server: ServerId,
    pub outcome: Outcome,
    pub elapsed: Duration,
    /// The request needs no further answer.
    pub request_finished: bool,
    pub metadata: ResponseMetadata,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    Endpoints(EndpointUpdate),
    RequestArrived(Arrival),
    AttemptEnded(AttemptEnded),
    ProbeEnded {
        server: ServerId,
        ok: bool,
        elapsed: Duration,
        report: LoadReport,
    },
    /// The client left.
    ClientLeft(RequestId),
    Timer(TimerToken),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send {
        id: RequestId,
        server: ServerId,
        /// The answer is waited for no longer than this.
        timeout: Duration,
        /// The attempt may not begin later than this: whoever has to dial first drops it then, unsent.
        begin_within: Duration,
    },
    Cancel {
        id: RequestId,
        attempt: AttemptNo,
    },
    /// Final answer: nothing ran that a repeat could double.
    Reject {
        id: RequestId,
        retry_after: Option<Duration>,
    },
    /// Final answer: no promise.
    Fail {
        id: RequestId,
    },
    Probe {
        server: ServerId,
    },
    Timer {
        after: Duration,
        token: TimerToken,
    },
    Subscribe,
}
