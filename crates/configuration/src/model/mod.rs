//! Builds the typed model of the sections, with references resolved, and checks values against one another.

mod balancer;
mod entries;
mod health;
mod lending;
mod limits;
mod listener;
mod members;
mod persistence;
mod policy;
mod pool;
mod required;
mod rollout;
mod route;
mod sites;
mod window;

pub use balancer::{Availability, Balancer};
pub use entries::{entries, Entry, Origin};
pub use health::Health;
pub use lending::{Credit, Lending};
pub use limits::Limits;
pub use listener::{Discovery, Listener};
pub use members::{Member, Members};
pub use persistence::Persistence;
pub use policy::{Logging, Policy};
pub use pool::{Class, Pool};
pub use rollout::Rollout;
pub use sites::Sites;
pub use window::NamedWindow;

use crate::calendar::Window;
use crate::check::Section;
use crate::diagnostic::Diagnostic;
use crate::route::Route;
use crate::values::Values;
use std::path::PathBuf;
use std::time::Duration;

/// All sections, checked, with defaults for values that are not set.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Limits of the process and of its clients.
    pub limits: Limits,
    /// Discovery of the record servers.
    pub discovery: Discovery,
    /// Addresses to which clients connect.
    pub listeners: Vec<Listener>,
    /// Offset of local time from UTC in seconds, positive to the east.
    pub offset: i32,
    /// Windows of time with their names and conditions.
    pub named_windows: Vec<NamedWindow>,
    /// The compiled windows, in the order of `named_windows`.
    pub windows: Vec<Window>,
    /// Pools, each of which limits a part of the requests.
    pub pools: Vec<Pool>,
    /// Stricter limits for classes.
    pub classes: Vec<Class>,
    /// Routes, in the order in which they are checked.
    pub routes: Vec<Route>,
    /// Settings of the decision module.
    pub policy: Policy,
    /// The log.
    pub logging: Logging,
    /// Addresses on which balancers' health checks are answered.
    pub health: Vec<Health>,
    /// Balancers that check this proxy.
    pub balancers: Vec<Balancer>,
    /// When the proxy reports itself as degraded.
    pub availability: Availability,
    /// On SIGTERM, the drain is announced to the balancers before the listener closes.
    pub announce_end: bool,
    /// How long connections are still accepted after SIGTERM.
    pub accept_after_stop: Option<Duration>,
    /// Path of the control socket.
    pub control_socket: Option<PathBuf>,
    /// The fleet's members; `None`: the proxy does not listen for others.
    pub members: Option<Members>,
    /// Staged rollouts of the operators' file.
    pub rollout: Option<Rollout>,
    /// State that survives the process.
    pub persistence: Option<Persistence>,
    /// Quota lending; `None`: nothing is lent.
    pub quota_lending: Option<Lending>,
    /// Detection of lost sites; `None`: sites are not watched.
    pub sites: Option<Sites>,
}

impl Default for Model {
    /// The model without an operators' file.
    fn default() -> Model {
        build(&[], false, &mut Vec::new())
    }
}

/// Builds the model of the sections. Reports contradictory and missing values to `faults`. `partial`: some of the files
/// could not be read, so a missing name may be defined there.
pub fn build(sections: &[Section], partial: bool, faults: &mut Vec<Diagnostic>) -> Model {
    let limits = limits::limits(sections, faults);
    let listeners = listener::listeners(sections, faults);
    let offset = window::offset(sections);
    let (named_windows, windows) = window::windows(sections, offset, faults);
    let pools = pool::pools(sections, faults);
    let classes = pool::classes(sections);
    let routes = route::routes(sections, &named_windows, &pools, &classes, partial, faults);
    let health = health::health(sections, faults);
    let balancers = balancer::balancers(sections);
    let drain = balancer::drain(sections, &balancers, faults);
    Model {
        limits,
        discovery: listener::discovery(sections),
        listeners,
        offset,
        windows,
        pools,
        classes,
        routes,
        policy: policy::policy(sections),
        logging: policy::logging(sections),
        health,
        balancers,
        availability: balancer::availability(sections),
        announce_end: drain.announce_end,
        accept_after_stop: drain.accept_after_stop,
        control_socket: Values::of_single(sections, "control").path("socket"),
        members: members::members(sections, partial, faults),
        rollout: rollout::rollout(sections, partial, faults),
        persistence: persistence::persistence(sections, faults),
        quota_lending: lending::lending(sections, &named_windows, partial, faults),
        sites: sites::sites(sections),
        named_windows,
    }
}
