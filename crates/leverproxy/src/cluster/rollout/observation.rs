//! Input of the rollout core: peers, regions that may promote, published facts and traffic counts.

use super::{Rollout, FIRST_FACT_KIND};
use crate::cluster::members::Members;
use crate::observability::counters::Counters;
use crate::observability::goodput::Totals;
use ::rollout::{ClassCounts, Observation, Peer, PeerFact, FACT_KINDS};
use membership::{GuardedOperation, Status};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

impl Rollout {
    pub(super) fn observation(
        &self,
        members: &Members,
        counters: &Counters,
        now: Instant,
    ) -> Observation {
        Observation {
            peers: self.peers(members, now),
            promotable_regions: promotable_regions(members, now),
            facts: (0..FACT_KINDS)
                .flat_map(|kind| peer_facts(members, kind, now))
                .collect(),
            class_counts: class_counts(counters),
            total_counts: integer_counts(0, counters.goodput.total()),
        }
    }

    fn peers(&self, members: &Members, now: Instant) -> Vec<Peer> {
        let view = members.view(now);
        let observed: BTreeMap<&str, _> = view
            .members
            .iter()
            .map(|member| (member.name.as_str(), member))
            .collect();
        let peer = |(name, region): (String, String)| {
            let is_self = name == self.name;
            let mut peer = Peer {
                incarnation: is_self.then(|| members.incarnation()),
                reachable: is_self,
                left: false,
                name,
                region,
            };
            if let Some(member) = observed.get(peer.name.as_str()) {
                peer.incarnation = member.incarnation;
                peer.reachable = matches!(member.status, Status::Alive | Status::Suspect);
                peer.left = member.status == Status::Left;
            }
            peer
        };
        members.regions().into_iter().map(peer).collect()
    }
}

fn promotable_regions(members: &Members, now: Instant) -> BTreeSet<String> {
    let regions: BTreeSet<String> = members
        .regions()
        .into_iter()
        .map(|(_, region)| region)
        .collect();
    regions
        .into_iter()
        .filter(|region| {
            members
                .check_operation(GuardedOperation::Promote, Some(region), now)
                .is_ok()
        })
        .collect()
}

fn peer_facts(members: &Members, kind: u8, now: Instant) -> Vec<PeerFact> {
    members
        .facts(FIRST_FACT_KIND + kind, now)
        .into_iter()
        .map(|fact| PeerFact {
            source: fact.source,
            incarnation: fact.incarnation,
            kind,
            body: fact.body,
        })
        .collect()
}

fn class_counts(counters: &Counters) -> Vec<ClassCounts> {
    // Several classes in the settings can have the same name.
    let mut sums: BTreeMap<u32, Totals> = BTreeMap::new();
    for (class, more) in counters.goodput.classes() {
        let sum = sums
            .entry(membership::member_id(counters.class_name(class)))
            .or_default();
        (sum.requested, sum.lost) = (sum.requested + more.requested, sum.lost + more.lost);
    }
    sums.into_iter()
        .map(|(class, sum)| integer_counts(class, sum))
        .collect()
}

/// Converts the totals to integers. The totals are cumulative, so a truncated fraction is included in a later report.
fn integer_counts(class: u32, sum: Totals) -> ClassCounts {
    ClassCounts {
        class,
        offered: sum.requested as u64,
        lost: sum.lost as u64,
    }
}
