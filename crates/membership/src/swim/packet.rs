//! Inspection of SWIM packets: their headers, and their updates without members outside the roster.

use foca::{Codec, Member, Message, PostcardCodec};

use crate::process_id::ProcessId;

/// Information from a packet for the core, in addition to the effects of the packet on `foca`.
#[derive(Debug, Default)]
pub(crate) struct PacketSummary {
    /// The member that acknowledged a probe of this process, directly or through another member.
    pub acked: Option<u32>,
    /// Number of updates about members that are not in the roster.
    pub unknown_members: usize,
    /// The incarnation that the packet is addressed to, if it is later than this process's.
    pub later_incarnation: Option<u64>,
}

/// Why a packet is dropped.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum PacketError {
    /// The packet cannot be decoded.
    Malformed,
    /// The packet names a different sender than its envelope.
    SenderMismatch,
}

/// The third member that an indirect probe concerns, if the message belongs to one.
pub(super) fn subject_of(message: &Message<ProcessId>) -> Option<u32> {
    match message {
        Message::PingReq { target, .. } | Message::IndirectAck { target, .. } => {
            Some(target.member)
        }
        Message::IndirectPing { origin, .. } | Message::ForwardedAck { origin, .. } => {
            Some(origin.member)
        }
        _ => None,
    }
}

/// The updates after a packet's header without unknown members (`None` if there are no unknown members), and the number
/// of updates removed. `foca` would probe unknown members, which have no address here, and then report them down to
/// others. `foca` documents the layout: a count of two bytes, then the members.
pub(super) fn known_members(
    rest: &[u8],
    mut known: impl FnMut(&Member<ProcessId>) -> bool,
) -> Option<(Option<Vec<u8>>, usize)> {
    if rest.is_empty() {
        return Some((None, 0));
    }
    let (count, mut rest) = rest.split_first_chunk::<2>()?;
    let count = u16::from_be_bytes(*count);
    let mut kept = vec![0, 0];
    let mut kept_count: u16 = 0;
    for _ in 0..count {
        let before = rest;
        let member: Member<ProcessId> =
            Codec::<ProcessId>::decode_member(&mut PostcardCodec, &mut rest).ok()?;
        if known(&member) {
            kept.extend_from_slice(&before[..before.len() - rest.len()]);
            kept_count += 1;
        }
    }
    if !rest.is_empty() {
        return None;
    }
    kept[..2].copy_from_slice(&kept_count.to_be_bytes());
    let unknown = usize::from(count - kept_count);
    Some(((unknown > 0).then_some(kept), unknown))
}
