//! Further clients of a soak run, outside of the model: they hold connections until the end of a process, leave or cancel
//! during a request, or only occupy descriptors.

use super::plan::GROUPS;
use crate::history::{Departure, History};
use crate::load_generator::statement;
use crate::servers::exchange;
use crate::wire::{Connection, Reply};
use rand::{Rng, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use server_model::clients::{ClientAttempt, ClientAttemptId, Settings};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Maximum number of requests in one write on a held connection.
const MAX_PIPELINED: usize = 3;
/// The longest pause between requests of a held connection, in milliseconds.
const MAX_PAUSE_MS: u64 = 40;
/// Maximum time from a request until its client leaves or cancels, in milliseconds.
const MAX_STAY_MS: u64 = 12;
/// The longest pause between two leaving clients of one proxy, in milliseconds.
const MAX_VISIT_PAUSE_MS: u64 = 60;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Context that all clients of a proxy share.
#[derive(Clone)]
pub struct ClientContext {
    /// History that records the clients' actions.
    pub history: History,
    /// Classes of the requests.
    pub settings: Arc<Settings>,
    /// Index of the proxy.
    pub proxy: usize,
    /// Address of the proxy.
    pub address: SocketAddr,
    /// Time that clients wait beyond the deadline that they announce.
    pub slack: Duration,
}

impl ClientContext {
    fn draw_attempt(&self, rng: &mut impl Rng) -> (ClientAttempt, u64) {
        let class = rng.random_range(0..self.settings.classes.len());
        let wait = Duration::from_micros(self.settings.classes[class].deadline);
        let group = rng.random_range(0..GROUPS as u32);
        self.history.own_attempt(class, self.proxy, group, wait)
    }

    /// Records that the request is sent now, and returns its statement.
    fn begin(&self, (asked, until): &(ClientAttempt, u64)) -> String {
        let left = self.history.start_attempt(asked, *until);
        let wait = left.saturating_sub(self.slack);
        statement(&self.history, &self.settings, asked, wait)
    }

    fn settle(&self, id: ClientAttemptId, reply: &Reply) {
        match (&reply.value, reply.refused()) {
            (Some(value), _) => self.history.served(id, exchange(value, id)),
            (None, true) => self.history.rejected(id, reply.retry_after()),
            (None, false) => self.history.failed(id),
        }
    }
}

/// How a held connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// After a complete message, or before any message.
    Whole,
    /// Within a message.
    Cut,
    /// With its process, which was killed.
    Killed,
}

/// Sends requests on a connection, some of them pipelined, until it ends; some clients stay idle instead.
pub async fn hold(context: ClientContext, mut connection: Connection, seed: u64) -> ConnectionEnd {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    let rests = rng.random_bool(0.25);
    while ask_pipelined(&context, &mut connection, &mut rng).await {
        if rests {
            // Without a request, the next event can only be the end of the connection.
            _ = connection.reply().await;
            break;
        }
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..=MAX_PAUSE_MS))).await;
    }
    if context.history.is_down(context.proxy) {
        ConnectionEnd::Killed
    } else if connection.holds_part_of_a_message() {
        ConnectionEnd::Cut
    } else {
        ConnectionEnd::Whole
    }
}

/// Sends a batch of requests and reads their replies; returns whether the connection continues.
async fn ask_pipelined(
    context: &ClientContext,
    connection: &mut Connection,
    rng: &mut impl Rng,
) -> bool {
    let number = rng.random_range(1..=MAX_PIPELINED);
    let attempts: Vec<_> = (0..number).map(|_| context.draw_attempt(rng)).collect();
    let queries: Vec<String> = attempts.iter().map(|a| context.begin(a)).collect();
    let mut goes_on = connection.send_all(&queries).await.is_ok();
    for (asked, _) in attempts {
        // Answers from before a failed write can still be read.
        match connection.reply().await {
            Ok(reply) => {
                context.settle(asked.id, &reply);
                goes_on &= !reply.fatal;
            }
            Err(_) => {
                context.history.closed_unanswered(asked.id);
                goes_on = false;
            }
        }
    }
    goes_on
}

/// Runs clients that leave or cancel during a request, one after another, until stopped.
pub async fn visit(context: ClientContext, mut stop: watch::Receiver<bool>, seed: u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed);
    loop {
        let pause = Duration::from_millis(rng.random_range(0..=MAX_VISIT_PAUSE_MS));
        let stopped = tokio::time::timeout(pause, stop.wait_for(|stop| *stop))
            .await
            .is_ok();
        if stopped {
            return;
        }
        ask_and_leave(&context, &mut rng).await;
    }
}

async fn ask_and_leave(context: &ClientContext, rng: &mut impl Rng) {
    let stay = Duration::from_millis(rng.random_range(0..=MAX_STAY_MS));
    let cancels = rng.random_bool(0.5);
    let Ok(mut connection) = Connection::open(context.address).await else {
        return;
    };
    let attempt = context.draw_attempt(rng);
    let id = attempt.0.id;
    let query = context.begin(&attempt);
    if connection.send(&query).await.is_err() {
        return context.history.closed_unanswered(id);
    }
    match tokio::time::timeout(stay, connection.reply()).await {
        Ok(Ok(reply)) => context.settle(id, &reply),
        Ok(Err(_)) => context.history.closed_unanswered(id),
        Err(_) if cancels => {
            // The proxy may continue until it has received the cancellation.
            if connection.cancel(context.address).await.is_ok() {
                context.history.client_left(id, Departure::Cancelled);
            }
            if let Ok(reply) = connection.reply().await {
                context.settle(id, &reply);
            }
        }
        Err(_) => {
            drop(connection);
            context.history.client_left(id, Departure::Closed);
        }
    }
}

/// Opens connections on which nothing is sent.
pub async fn crowd(address: SocketAddr, number: usize) -> Vec<TcpStream> {
    let dials = (0..number).map(|_| {
        tokio::spawn(tokio::time::timeout(
            CONNECT_TIMEOUT,
            TcpStream::connect(address),
        ))
    });
    let mut open = Vec::new();
    for dial in dials.collect::<Vec<_>>() {
        if let Ok(Ok(Ok(stream))) = dial.await {
            open.push(stream);
        }
    }
    open
}
