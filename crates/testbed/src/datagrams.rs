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
const LONGEST: usize = 1 << 16;
/// Maximum number of datagrams of a link that are delayed at a time; further ones are dropped.
const WAITING_MOST: usize = 4_096;

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
    pub came: u64,
    /// Forwarded, duplicates included.
    pub passed: u64,
    /// Dropped by a cut.
    pub cut: u64,
    /// Dropped by the share of losses.
    pub lost: u64,
    /// Dropped because the link has no target.
    pub unknown: u64,
    /// Dropped because too many were delayed already.
    pub over: u64,
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
        self.cut + self.lost + self.unknown + self.over + self.failed
    }

    /// Whether each received and duplicated datagram is forwarded, dropped or waiting.
    pub fn add_up(&self) -> bool {
        self.came + self.doubled == self.passed + self.dropped() + self.waiting
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct State {
    way: DatagramFaults,
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
    pub fn set(&self, way: impl Into<DatagramFaults>) {
        let way = way.into();
        self.change(|state| state.way = way);
    }

    fn change(&self, to: impl FnOnce(&mut State)) {
        self.state.send_modify(|state| {
            to(state);
            state.cuts += u64::from(state.way.flow == Flow::Cut);
        });
    }

    /// Drops all datagrams until healed; the shares stay set.
    pub fn cut(&self) {
        self.change(|state| state.way.flow = Flow::Cut);
    }

    /// Removes all faults; held datagrams are sent now.
    pub fn heal(&self) {
        self.set(DatagramFaults::default());
    }

    /// The faults set at present.
    pub fn way(&self) -> DatagramFaults {
        self.state.borrow().way
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
    fn draw(draws: &mut impl Rng, way: &DatagramFaults) -> DrawnFaults {
        let mut falls = |share: f64| draws.random::<f64>() < share;
        let (lost, doubled) = (falls(way.lost), falls(way.doubled));
        let (reordered, corrupted) = (falls(way.reordered), falls(way.corrupted));
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

enum Woken {
    Otherwise,
    Due,
    Came(usize),
}

impl Relay {
    async fn serve(mut self) {
        let mut bytes = vec![0; LONGEST];
        let mut state = self.link.state.subscribe();
        loop {
            let next = self.late.keys().next().map(|(at, _)| *at);
            let due = async {
                match next {
                    Some(at) => sleep_until(at).await,
                    None => pending().await,
                }
            };
            let woken = tokio::select! {
                // The relay holds a link handle itself, so this does not fail.
                _ = state.changed() => Woken::Otherwise,
                () = due => Woken::Due,
                // An error concerns a datagram that was sent, not one received.
                came = self.socket.recv_from(&mut bytes) => came.map_or(Woken::Otherwise, |(n, _)| Woken::Came(n)),
            };
            self.follow();
            match woken {
                Woken::Otherwise => {}
                Woken::Due => self.due(),
                Woken::Came(n) => self.came(&bytes[..n]),
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
    fn follow(&mut self) {
        let State { way, cuts, .. } = *self.link.state.borrow();
        if cuts > self.cuts {
            self.cuts = cuts;
            let late = std::mem::take(&mut self.late).into_values();
            self.counts.cut += late
                .chain(self.held.take())
                .map(|piece| piece.copies())
                .sum::<u64>();
        }
        if way.reordered <= 0.0 {
            if let Some(piece) = self.held.take() {
                self.sets_out(piece);
            }
        }
    }

    fn due(&mut self) {
        while let Some(first) = self.late.first_entry() {
            if first.key().0 > Instant::now() {
                break;
            }
            let piece = first.remove();
            self.go(&piece);
        }
    }

    fn came(&mut self, bytes: &[u8]) {
        self.counts.came += 1;
        let way = self.link.way();
        let fate = DrawnFaults::draw(&mut self.draws, &way);
        if way.flow == Flow::Cut {
            self.counts.cut += 1;
            return;
        }
        if fate.lost {
            self.counts.lost += 1;
            return;
        }
        let mut bytes = bytes.to_vec();
        if fate.corrupted && !bytes.is_empty() {
            let bit = fate.bit % (bytes.len() as u64 * 8);
            bytes[(bit / 8) as usize] ^= 1 << (bit % 8);
            self.counts.corrupted += 1;
        }
        self.counts.doubled += u64::from(fate.doubled);
        let later = match way.flow {
            Flow::Late(least, most) => Some(least + most.saturating_sub(least).mul_f64(fate.late)),
            Flow::Passes | Flow::Cut => None,
        };
        let piece = QueuedDatagram {
            bytes,
            twice: fate.doubled,
            later,
        };
        // A held datagram is sent after this one, so this one is not held, whatever was drawn for it.
        match self.held.take() {
            None if fate.reordered => self.held = Some(piece),
            before => {
                self.sets_out(piece);
                if let Some(before) = before {
                    self.counts.reordered += 1;
                    self.sets_out(before);
                }
            }
        }
    }

    fn sets_out(&mut self, piece: QueuedDatagram) {
        let Some(later) = piece.later else {
            return self.go(&piece);
        };
        if self.late.len() >= WAITING_MOST {
            self.counts.over += piece.copies();
            return;
        }
        self.counts.late += piece.copies();
        self.late
            .insert((Instant::now() + later, self.counts.late), piece);
    }

    fn go(&mut self, piece: &QueuedDatagram) {
        // The state stays locked while sending, so that a cut waits for it and no datagram is sent afterwards.
        let state = self.link.state.borrow();
        for _ in 0..piece.copies() {
            let count = match state.target {
                _ if state.way.flow == Flow::Cut => &mut self.counts.cut,
                None => &mut self.counts.unknown,
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
