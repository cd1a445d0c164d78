//! Cooperation with the other proxies of the fleet: membership, staged rollouts, quota lending and usage rates; also site
//! failover.

pub mod members;
pub mod quota_lending;
pub mod rollout;
pub mod sites;
pub(crate) mod usage;
