//! The other proxies of the fleet: members, staged rollouts, quota lending, usage reports and sites.

pub mod members;
pub mod quota_lending;
pub mod rollout;
pub mod sites;
pub(crate) mod usage;
