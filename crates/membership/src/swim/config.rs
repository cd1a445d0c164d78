//! Settings of `foca`.

use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, PeriodicParams};

/// Size of a SWIM packet: a datagram of 1,200 bytes without the byte of its kind.
const PACKET_BYTES: usize = 1199;

/// Inputs of the settings of `foca`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SwimConfig {
    pub probe_period: Duration,
    pub suspicion_timeout: Duration,
    pub indirect_probes: usize,
    pub gossip_fanout: usize,
    pub roster_size: usize,
}

fn at_least_one(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

impl SwimConfig {
    pub fn foca(self) -> Config {
        // Each update is sent often enough that it reaches all members: the number of bits of the roster's size, plus a
        // half against loss.
        let bits = usize::BITS - self.roster_size.leading_zeros();
        Config {
            probe_period: self.probe_period,
            probe_rtt: self.probe_period * 2 / 5,
            num_indirect_probes: at_least_one(self.indirect_probes),
            max_transmissions: NonZeroU8::new(4 + 3 * bits as u8 / 2).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: self.suspicion_timeout,
            // Down members are never removed: members outside the roster are filtered out before, so their number is
            // bounded.
            remove_down_after: None,
            max_packet_size: at_least_one(PACKET_BYTES),
            notify_down_members: true,
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(PeriodicParams {
                frequency: self.probe_period / 2,
                num_members: at_least_one(self.gossip_fanout),
            }),
        }
    }
}
