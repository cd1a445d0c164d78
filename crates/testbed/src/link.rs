//! A TCP relay for each link, with injected faults.

use crate::process::Fault;
use rand::Rng;
use rand::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::watch;

/// How bytes are forwarded in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Flow {
    #[default]
    /// Forwarded at once.
    Passes,
    /// No bytes are forwarded. They are held until the link is healed, as TCP would retransmit them.
    Cut,
    /// Each piece is delayed by a random time within these bounds.
    Late(Duration, Duration),
    /// A share of the pieces is lost once, and so delayed by a retransmission.
    Lossy {
        /// Share of lost pieces, from 0 to 1.
        part: f64,
        /// The delay that stands for the retransmission.
        resend: Duration,
    },
    /// Bytes are forwarded in small pieces with pauses between them.
    Trickles {
        /// Size of a piece, in bytes.
        bytes: usize,
        /// Pause after each piece.
        gap: Duration,
    },
}

/// Treatment of new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Entry {
    #[default]
    /// Connected to the target.
    Open,
    /// Reset at once.
    Refused,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct State {
    /// Directions from the connecting to the accepting side, and back.
    there: Flow,
    back: Flow,
    entry: Entry,
    /// Number of resets of all connections so far.
    resets: u64,
    target: Option<SocketAddr>,
}

#[derive(Clone, Debug)]
/// A TCP relay between two parts of the testbed.
pub struct Link {
    /// Where the dialling side connects.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    /// Number of accepted connections, and of open ones.
    counts: Arc<watch::Sender<(u64, u64)>>,
}

impl Link {
    /// Opens a relay on its own port; without a target it resets connections.
    pub fn open(on: &Handle, target: Option<SocketAddr>, seed: u64) -> Result<Link, Fault> {
        let bound = std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| {
            listener.set_nonblocking(true)?;
            let address = listener.local_addr()?;
            let _on = on.enter();
            Ok((TcpListener::from_std(listener)?, address))
        });
        let (listener, address) =
            bound.map_err(|e| Fault::new(format!("cannot bind a port for a link: {e}")))?;
        let state = Arc::new(watch::Sender::new(State {
            target,
            ..State::default()
        }));
        let counts = Arc::new(watch::Sender::new((0, 0)));
        let link = Link {
            address,
            state,
            counts,
        };
        on.spawn(link.clone().serve(listener, seed));
        Ok(link)
    }

    /// Sets the address to which new connections are relayed; none: they are reset.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.state.send_modify(|state| state.target = target);
    }

    /// Sets the fault of each direction.
    pub fn set(&self, there: Flow, back: Flow) {
        self.state
            .send_modify(|state| (state.there, state.back) = (there, back));
    }

    /// Holds all bytes in both directions.
    pub fn cut(&self) {
        self.set(Flow::Cut, Flow::Cut);
    }

    /// Resets new connections.
    pub fn refuse(&self) {
        self.state.send_modify(|state| state.entry = Entry::Refused);
    }

    /// Removes all faults; held bytes are forwarded now.
    pub fn heal(&self) {
        self.state.send_modify(|s| {
            (s.there, s.back, s.entry) = (Flow::Passes, Flow::Passes, Entry::Open)
        });
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }

    /// Number of connections accepted so far.
    pub fn accepted(&self) -> u64 {
        self.counts.borrow().0
    }

    /// Number of open connections.
    pub fn connections(&self) -> u64 {
        self.counts.borrow().1
    }

    /// Waits until `number` connections have been accepted.
    pub async fn wait_for_accepted(&self, number: u64) {
        _ = self
            .counts
            .subscribe()
            .wait_for(|(accepted, _)| *accepted >= number)
            .await;
    }

    /// Waits until `number` connections are open.
    pub async fn wait_for_open(&self, number: u64) {
        _ = self
            .counts
            .subscribe()
            .wait_for(|(_, open)| *open == number)
            .await;
    }

    async fn serve(self, listener: TcpListener, seed: u64) {
        let mut number = 0;
        while let Ok((near, _)) = listener.accept().await {
            number += 1;
            self.counts
                .send_modify(|(accepted, open)| (*accepted, *open) = (*accepted + 1, *open + 1));
            let link = self.clone();
            tokio::spawn(async move {
                link.carry(near, seed.wrapping_add(number << 1)).await;
                link.counts.send_modify(|(_, open)| *open -= 1);
            });
        }
    }

    async fn carry(&self, near: TcpStream, seed: u64) {
        _ = near.set_nodelay(true);
        let now = *self.state.borrow();
        let target = now.target.filter(|_| now.entry == Entry::Open);
        let far = match target {
            Some(target) => TcpStream::connect(target).await.ok(),
            None => None,
        };
        let Some(far) = far else { return reset(&near) };
        _ = far.set_nodelay(true);
        let mut watched = self.state.subscribe();
        let resets_at_start = now.resets;
        let there = pump(&near, &far, self.state.subscribe(), |s| s.there, seed);
        let back = pump(&far, &near, self.state.subscribe(), |s| s.back, seed | 1);
        let whole = tokio::select! {
            both = async { tokio::try_join!(there, back) } => both.is_ok(),
            _ = watched.wait_for(|s| s.resets > resets_at_start) => false,
        };
        if !whole {
            reset(&near);
            reset(&far);
        }
    }
}

/// Sets the connection to be closed with a reset.
pub fn reset(stream: &TcpStream) {
    _ = rustix::net::sockopt::set_socket_linger(stream, Some(Duration::ZERO));
}

/// Waits for bytes and reads those available; returns 0 at the end of the stream.
pub async fn read(from: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
        from.readable().await?;
        match from.try_read(bytes) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            read => return read,
        }
    }
}

/// Writes all bytes.
pub async fn write_all(to: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(bytes) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            written => bytes = &bytes[written?..],
        }
    }
    Ok(())
}

/// Relays one direction until its end, which it forwards.
async fn pump(
    from: &TcpStream,
    to: &TcpStream,
    mut state: watch::Receiver<State>,
    flow: fn(&State) -> Flow,
    seed: u64,
) -> io::Result<()> {
    let gone = |_| io::Error::from(io::ErrorKind::NotConnected);
    let mut draws = Xoshiro256PlusPlus::seed_from_u64(seed);
    let mut bytes = vec![0; 16 << 10];
    loop {
        let read = read(from, &mut bytes).await;
        state
            .wait_for(|s| flow(s) != Flow::Cut)
            .await
            .map_err(gone)?;
        let n = read?;
        if n == 0 {
            return Ok(rustix::net::shutdown(to, rustix::net::Shutdown::Write)?);
        }
        let (mut piece, mut gap) = (n, Duration::ZERO);
        let now = flow(&state.borrow());
        match now {
            Flow::Passes | Flow::Cut => {}
            Flow::Late(least, most) => {
                tokio::time::sleep(least + most.saturating_sub(least).mul_f64(draws.random()))
                    .await;
            }
            Flow::Lossy { part, resend } => {
                if draws.random::<f64>() < part {
                    tokio::time::sleep(resend).await;
                }
            }
            Flow::Trickles {
                bytes,
                gap: between,
            } => (piece, gap) = (bytes.max(1), between),
        }
        for part in bytes[..n].chunks(piece) {
            // A cut during a piece holds its rest.
            state
                .wait_for(|s| flow(s) != Flow::Cut)
                .await
                .map_err(gone)?;
            write_all(to, part).await?;
            if !gap.is_zero() {
                tokio::time::sleep(gap).await;
            }
        }
    }
}
