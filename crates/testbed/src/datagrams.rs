//! A relay for the datagrams from one proxy to another, with injected faults.

use crate::process::{Fault, EVENT_TIMEOUT};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rustix::net::{sendto, SendFlags};
use std::collections::BTreeMap;
use std::future::pending;
use std::net::{SocketAddr, UdpSocket as Bound};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::sync::watch;
use tokio::time::{sleep_until, Instant};

/// Buffer size in bytes, above the longest possible datagram.
const BUFFER_SIZE: usize = 1 << 16;
/// Maximum number of datagrams of a link that are delayed at a time; further ones are dropped.
const MAX_DELAYED: usize = 4_096;

/// How datagrams are forwarded.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Flow {
    #[default]
    /// Forwarded at once.
    Passes,
    /// All are dropped, delayed and held ones included.
    Cut,
    /// Each is delayed by a random time within these bounds, so the order may change.
    Late(Duration, Duration),
}

/// Faults of a datagram link. Shares are of all received datagrams, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    /// Treatment of all datagrams.
    pub flow: Flow,
    /// Share that is dropped.
    pub lost: f64,
    /// Share that is sent twice.
    pub doubled: f64,
    /// Share that is held and sent after the next one.
    pub reordered: f64,
    /// Share that is sent with one bit flipped.
    pub corrupted: f64,
}

impl From<Flow> for DatagramFaults {
    fn from(flow: Flow) -> DatagramFaults {
        DatagramFaults {
            flow,
            ..DatagramFaults::default()
        }
    }
}

/// Numbers of datagrams of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Received from the sender.
    pub received: u64,
    /// Forwarded, duplicates included.
    pub passed: u64,
    /// Dropped by a cut.
    pub cut: u64,
    /// Dropped by the share of losses.
    pub lost: u64,
    /// Dropped because the link has no target.
    pub without_target: u64,
    /// Dropped because too many were delayed already.
    pub over_limit: u64,
    /// Not accepted by the operating system.
    pub failed: u64,
    /// Sent twice.
    pub doubled: u64,
    /// Delayed, duplicates included.
    pub late: u64,
    /// Sent behind a later one.
    pub reordered: u64,
    /// Sent with one bit flipped.
    pub corrupted: u64,
    /// Delayed or held at present.
    pub waiting: u64,
}

impl Counts {
    /// Total number of dropped datagrams.
    pub fn dropped(&self) -> u64 {
        self.cut + self.lost + self.without_target + self.over_limit + self.failed
    }

    /// Whether each received and duplicated datagram is forwarded, dropped or waiting.
    pub fn is_consistent(&self) -> bool {
        self.received + self.doubled == self.passed + self.dropped() + self.waiting
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    faults: DatagramFaults,
    /// Number of cuts so far, so that the relay applies a cut that is healed before the relay observes it.
    cuts: u64,
    target: Option<SocketAddr>,
}

/// One direction between two proxies.
#[derive(Clone, Debug)]
pub struct DatagramLink {
    /// Address to which the sender sends.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    counts: Arc<watch::Sender<Counts>>,
}

impl DatagramLink {
    /// Opens a relay on its own port, without a target.
    pub fn open(on: &Handle, seed: u64) -> Result<DatagramLink, Fault> {
        let bound = Bound::bind("127.0.0.1:0").and_then(|socket| {
            socket.set_nonblocking(true)?;
            let address = socket.local_addr()?;
            let _on = on.enter();
            Ok((UdpSocket::from_std(socket)?, address))
        });
        let (socket, address) = bound
            .map_err(|e| Fault::new(format!("cannot bind a port for a datagram relay: {e}")))?;
        let link = DatagramLink {
            address,
            state: Arc::default(),
            counts: Arc::default(),
        };
        let relay = Relay {
            socket,
            link: link.clone(),
            draws: Xoshiro256PlusPlus::seed_from_u64(seed),
            held: None,
            late: BTreeMap::new(),
            counts: Counts::default(),
            cuts: 0,
        };
        on.spawn(relay.serve());
        Ok(link)
    }

    /// Sets the address to which datagrams are forwarded; none: they are dropped.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.state.send_modify(|state| state.target = target);
    }

    /// Sets the faults of datagrams received from now on. After a cut has returned, no datagram is forwarded until it is healed.
    pub fn set(&self, faults: impl Into<DatagramFaults>) {
        let faults = faults.into();
        self.change(|state| state.faults = faults);
    }

    fn change(&self, to: impl FnOnce(&mut State)) {
        self.state.send_modify(|state| {
            to(state);
            state.cuts += u64::from(state.faults.flow == Flow::Cut);
        });
    }

    /// Drops all datagrams until healed; the shares stay set.
    pub fn cut(&self) {
        self.change(|state| state.faults.flow = Flow::Cut);
    }

    /// Removes all faults; held datagrams are sent now.
    pub fn heal(&self) {
        self.set(DatagramFaults::default());
    }

    /// The faults set at present.
    pub fn faults(&self) -> DatagramFaults {
        self.state.borrow().faults
    }

    /// The counts so far.
    pub fn counts(&self) -> Counts {
        *self.counts.borrow()
    }

    /// Waits until the counts satisfy `is`, and returns them.
    pub async fn until(&self, is: impl FnMut(&Counts) -> bool) -> Result<Counts, Fault> {
        let mut watched = self.counts.subscribe();
        // The sender lives as long as this handle, so this can only fail by a timeout.
        let found = tokio::time::timeout(EVENT_TIMEOUT, watched.wait_for(is)).await;
        let found = found.ok().and_then(|seen| seen.ok().map(|counts| *counts));
        found.ok_or_else(|| {
            Fault::new(format!(
                "the expected datagram counts were not reached in time: {:?}",
                self.counts()
            ))
        })
    }
}

/// Random faults of one datagram.
struct DrawnFaults {
    lost: bool,
    doubled: bool,
    reordered: bool,
    corrupted: bool,
    /// The flipped bit, modulo the number of bits, and the delay as a fraction of its range.
    bit: u64,
    late: f64,
}

impl DrawnFaults {
    /// Always makes the same draws in the same order, so that a datagram's faults do not depend on the settings for earlier ones.
    fn draw(draws: &mut impl Rng, faults: &DatagramFaults) -> DrawnFaults {
        let mut falls = |share: f64| draws.random::<f64>() < share;
        let (lost, doubled) = (falls(faults.lost), falls(faults.doubled));
        let (reordered, corrupted) = (falls(faults.reordered), falls(faults.corrupted));
        DrawnFaults {
            lost,
            doubled,
            reordered,
            corrupted,
            bit: draws.random(),
            late: draws.random(),
        }
    }
}

/// A datagram to be sent once or twice, with its delay.
struct QueuedDatagram {
    bytes: Vec<u8>,
    twice: bool,
    later: Option<Duration>,
}

impl QueuedDatagram {
    fn copies(&self) -> u64 {
        1 + u64::from(self.twice)
    }
}

struct Relay {
    socket: UdpSocket,
    link: DatagramLink,
    draws: Xoshiro256PlusPlus,
    held: Option<QueuedDatagram>,
    /// Delayed datagrams. Key: time to send, and a sequence number.
    late: BTreeMap<(Instant, u64), QueuedDatagram>,
    counts: Counts,
    /// Number of cuts that have been applied.
    cuts: u64,
}

enum WakeReason {
    Other,
    Due,
    Received(usize),
}

impl Relay {
    async fn serve(mut self) {
        let mut bytes = vec![0; BUFFER_SIZE];
        let mut state = self.link.state.subscribe();
        loop {
            let next = self.late.keys().next().map(|(at, _)| *at);
            let due = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            let wake_reason = tokio::select! {
                // The relay holds a link handle itself, so this does not fail.
                _ = state.changed() => WakeReason::Other,
                () = due => WakeReason::Due,
                // An error concerns a datagram that was sent, not one received.
                came = self.socket.recv_from(&mut bytes) => came.map_or(WakeReason::Other, |(n, _)| WakeReason::Received(n)),
            };
            self.apply_settings();
            match wake_reason {
                WakeReason::Other => {}
                WakeReason::Due => self.send_due(),
                WakeReason::Received(n) => self.handle_datagram(&bytes[..n]),
            }
            self.counts.waiting = self
                .late
                .values()
                .chain(self.held.as_ref())
                .map(QueuedDatagram::copies)
                .sum();
            self.link.counts.send_replace(self.counts);
        }
    }

    /// Applies changed settings before any datagram is handled.
    fn apply_settings(&mut self) {
        let State { faults, cuts, .. } = *self.link.state.borrow();
        if cuts > self.cuts {
            self.cuts = cuts;
            let late = std::mem::take(&mut self.late).into_values();
            self.counts.cut += late
                .chain(self.held.take())
                .map(|piece| piece.copies())
                .sum::<u64>();
        }
        if faults.reordered <= 0.0 {
            if let Some(piece) = self.held.take() {
                self.schedule(piece);
            }
        }
    }

    fn send_due(&mut self) {
        while let Some(first) = self.late.first_entry() {
            if first.key().0 > Instant::now() {
                break;
            }
            let piece = first.remove();
            self.forward(&piece);
        }
    }

    fn handle_datagram(&mut self, bytes: &[u8]) {
        self.counts.received += 1;
        let faults = self.link.faults();
        let drawn = DrawnFaults::draw(&mut self.draws, &faults);
        if faults.flow == Flow::Cut {
            self.counts.cut += 1;
            return;
        }
        if drawn.lost {
            self.counts.lost += 1;
            return;
        }
        let mut bytes = bytes.to_vec();
        if drawn.corrupted && !bytes.is_empty() {
            let bit = drawn.bit % (bytes.len() as u64 * 8);
            bytes[(bit / 8) as usize] ^= 1 << (bit % 8);
            self.counts.corrupted += 1;
        }
        self.counts.doubled += u64::from(drawn.doubled);
        let later = match faults.flow {
            Flow::Late(least, most) => Some(least + most.saturating_sub(least).mul_f64(drawn.late)),
            Flow::Passes | Flow::Cut => None,
        };
        let piece = QueuedDatagram {
            bytes,
            twice: drawn.doubled,
            later,
        };
        // A held datagram is sent after this one, so this one is not held, whatever was drawn for it.
        match self.held.take() {
            None if drawn.reordered => self.held = Some(piece),
            before => {
                self.schedule(piece);
                if let Some(before) = before {
                    self.counts.reordered += 1;
                    self.schedule(before);
                }
            }
        }
    }

    fn schedule(&mut self, piece: QueuedDatagram) {
        let Some(later) = piece.later else {
            return self.forward(&piece);
        };
        if self.late.len() >= MAX_DELAYED {
            self.counts.over_limit += piece.copies();
            return;
        }
        self.counts.late += piece.copies();
        self.late
            .insert((Instant::now() + later, self.counts.late), piece);
    }

    fn forward(&mut self, piece: &QueuedDatagram) {
        // The state stays locked while sending, so that a cut waits for it and no datagram is sent afterwards.
        let state = self.link.state.borrow();
        for _ in 0..piece.copies() {
            let count = match state.target {
                _ if state.faults.flow == Flow::Cut => &mut self.counts.cut,
                None => &mut self.counts.without_target,
                Some(target) => {
                    match sendto(&self.socket, &piece.bytes, SendFlags::DONTWAIT, &target) {
                        Ok(_) => &mut self.counts.passed,
                        Err(_) => &mut self.counts.failed,
                    }
                }
            };
            *count += 1;
        }
    }
}
