//! The stages of a rollout: the stage in which each member begins to run the new version, and the regions whose majorities a
//! stage requires.

use crate::messages::Proposal;
use crate::peer::Peer;
use std::collections::BTreeMap;

/// Maximum number of regions in a rollout, since a stage number is stored in a byte.
pub const MAX_REGIONS: usize = 200;
/// The first stage, in which only the canary runs the new version.
const CANARY_STAGE: usize = 1;
/// The stage in which the rest of the first region begins to run the new version.
const FIRST_REGION_STAGE: usize = 2;

/// Number of stages: one for the canary, one for each region, and one for the members held back for comparison.
pub(crate) fn stage_count(proposal: &Proposal) -> usize {
    proposal.order.len() + 2
}

/// Regions whose majorities a stage requires: the region that entered before, then the region that enters with this stage.
pub(crate) fn quorum_regions(proposal: &Proposal, stage: usize) -> Vec<&String> {
    let last = proposal.order.len().saturating_sub(1);
    let enters = stage.saturating_sub(2).min(last);
    let entered_before = stage.saturating_sub(3).min(last);
    let mut regions: Vec<&String> = [entered_before, enters]
        .iter()
        .filter_map(|&at| proposal.order.get(at))
        .collect();
    regions.dedup();
    regions
}

/// The stage in which each member begins to run the new version. The key is the name of the member.
pub(crate) fn entry_stages<'a>(proposal: &Proposal, peers: &'a [Peer]) -> BTreeMap<&'a str, u8> {
    let mut regions: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
    for peer in peers {
        regions.entry(&peer.region).or_default().push(&peer.name);
    }
    let mut entries = BTreeMap::new();
    for (at, region) in proposal.order.iter().enumerate() {
        let mut names = regions.remove(region.as_str()).unwrap_or_default();
        names.sort_unstable();
        let canaries = if at == 0 {
            usize::from(proposal.canary.max(1))
        } else {
            0
        };
        let last = names.len().saturating_sub(1);
        for (place, name) in names.into_iter().enumerate() {
            // The last member of each region is held back for comparison, unless no other member would enter with the region.
            let held_back = place == last && last > canaries;
            let stage = if place < canaries {
                CANARY_STAGE
            } else if held_back {
                stage_count(proposal)
            } else {
                at + FIRST_REGION_STAGE
            };
            entries.extend(u8::try_from(stage).map(|stage| (name, stage)));
        }
    }
    entries
}

/// The stage in which a member begins to run the new version; `None` if it is not in the roster.
pub(crate) fn entry_stage(proposal: &Proposal, peers: &[Peer], name: &str) -> Option<u8> {
    entry_stages(proposal, peers).get(name).copied()
}

/// The members that enter with this stage and can be compared within their region: they are reachable, and so is another
/// member of their region that enters in a later stage.
pub(crate) fn comparable_entrants<'a>(
    proposal: &Proposal,
    peers: &'a [Peer],
    stage: u8,
) -> Vec<&'a str> {
    let entries = entry_stages(proposal, peers);
    let entry = |peer: &Peer| entries.get(peer.name.as_str()).copied();
    let has_former_version = |region: &str| {
        peers.iter().any(|peer| {
            peer.region == region && peer.reachable && entry(peer).is_some_and(|at| at > stage)
        })
    };
    peers
        .iter()
        .filter(|peer| peer.reachable && entry(peer) == Some(stage))
        .filter(|peer| has_former_version(&peer.region))
        .map(|peer| peer.name.as_str())
        .collect()
}
