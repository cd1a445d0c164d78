//! The typed, resolved model, with the place of every value, and the checks between values.

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

/// All sections, checked, with defaults where none is stated.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Limits of the process and of its clients.
    pub limits: Limits,
    /// Discovery.
    pub discovery: Discovery,
    /// Where clients connect.
    pub listeners: Vec<Listener>,
    /// Seconds east of UTC.
    pub offset: i32,
    /// Windows of time by their names.
    pub named_windows: Vec<NamedWindow>,
    /// In the order of `named_windows`.
    pub windows: Vec<Window>,
    /// Bounds on parts of the requests.
    pub pools: Vec<Pool>,
    /// Bounds on classes.
    pub classes: Vec<Class>,
    /// Routes, in the order in which they are asked.
    pub routes: Vec<Route>,
    /// Settings of the decision module.
    pub policy: Policy,
    /// The log.
    pub logging: Logging,
    /// Where checks are answered.
    pub health: Vec<Health>,
    /// Who checks.
    pub balancers: Vec<Balancer>,
    /// When the proxy counts as degraded.
    pub availability: Availability,
    /// The end of the process is announced to the balancers first.
    pub announce_end: bool,
    /// For this long after SIGTERM connections are still accepted.
    pub accept_after_stop: Option<Duration>,
    /// The operators' socket.
    pub control_socket: Option<PathBuf>,
    /// The other proxies; none: nobody listens for them.
    pub members: Option<Members>,
    /// Staged rollouts of the operators' file.
    pub rollout: Option<Rollout>,
    /// State that outlives the process.
    pub persistence: Option<Persistence>,
    /// Who may borrow; none: nothing is lent.
    pub quota_lending: Option<Lending>,
    /// When a site counts as lost and as back; none: sites are not watched.
    pub sites: Option<Sites>,
}

impl Default for Model {
    /// What counts where there is no operators' file.
    fn default() -> Model {
        build(&[], false, &mut Vec::new())
    }
}

/// The model of the sections; what contradicts or is missing goes to `faults`. `partial`: some of the files could not be
/// read, so that a name which is missing may stand there.
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
