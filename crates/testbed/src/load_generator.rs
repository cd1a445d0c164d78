//! Sends the requests of the modelled clients to the proxies over sockets.

use crate::history::{ClientTask, History};
use crate::process::lock;
use crate::servers::exchange;
use crate::wire::{Connection, Idle};
use invariant_checkers::Rule;
use server_model::clients::{ClientAttempt, Consistency, Settings};
use server_model::Micros;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;

/// Idle connections, indexed by proxy.
type Pools = Arc<Vec<Mutex<Vec<Connection>>>>;

pub struct LoadGenerator {
    pools: Pools,
    history: History,
}

/// SQL statement of a client's attempt, with its request fields in a comment.
pub fn statement(
    history: &History,
    set: &Settings,
    asked: &ClientAttempt,
    wait: Duration,
) -> String {
    let class = &set.classes[asked.class];
    let mut comment = format!("id={:016x},c={}", asked.id, class.name);
    if let Some(tenant) = set.tenants.get(asked.tenant) {
        comment += &format!(",t={}", tenant.name);
    }
    comment += &format!(",d={},cluster={}", wait.as_millis(), asked.group);
    if asked.last_write > 0 {
        comment += &format!(
            ",after={}",
            history.unix(asked.last_write).as_micros().div_ceil(1_000)
        );
    }
    if asked.is_retry {
        comment += ",r=1";
    }
    let key = asked.session;
    match class.consistency {
        Consistency::Write => {
            format!(
                "INSERT INTO items (id, doc) VALUES ('{key:016x}', '\\x9f03') RETURNING doc /* {comment} */"
            )
        }
        _ => format!("SELECT doc FROM items WHERE id = '{key:016x}' /* {comment} */"),
    }
}

impl LoadGenerator {
    /// `proxies`: address of each proxy for clients; `slack`: time that clients wait beyond the deadline that they announce.
    pub fn new(
        history: History,
        set: Settings,
        slack: Duration,
        proxies: Vec<SocketAddr>,
        mut client_tasks: mpsc::UnboundedReceiver<ClientTask>,
    ) -> LoadGenerator {
        let pools: Pools = Arc::new(proxies.iter().map(|_| Mutex::default()).collect());
        let load = LoadGenerator {
            pools: Arc::clone(&pools),
            history: history.clone(),
        };
        let set = Arc::new(set);
        tokio::spawn(async move {
            while let Some(task) = client_tasks.recv().await {
                let (history, pools, set) = (history.clone(), Arc::clone(&pools), Arc::clone(&set));
                let address = proxies[task.asked.proxy];
                tokio::spawn(async move {
                    let ClientTask {
                        asked,
                        until,
                        cancelled,
                    } = task;
                    tokio::select! {
                        // A client that gives up closes its connection.
                        _ = cancelled => {}
                        () = ask(&history, &set, &pools, address, &asked, (until, slack)) => {}
                    }
                });
            }
        });
        load
    }

    /// Checks that no idle connection has received a further answer.
    pub fn close(&self) {
        for pool in self.pools.iter() {
            lock(pool).drain(..).for_each(|mut connection| {
                if connection.idle() == Idle::UnrequestedAnswer {
                    self.history.report_violation(Rule::AnsweredTwice);
                }
            });
        }
    }
}

/// Takes a usable idle connection from the pool.
fn pooled(history: &History, pool: &Mutex<Vec<Connection>>) -> Option<Connection> {
    loop {
        let mut connection = lock(pool).pop()?;
        match connection.idle() {
            Idle::Usable => return Some(connection),
            Idle::Closed => {}
            Idle::UnrequestedAnswer => history.report_violation(Rule::AnsweredTwice),
        }
    }
}

async fn ask(
    history: &History,
    set: &Settings,
    pools: &Pools,
    address: SocketAddr,
    asked: &ClientAttempt,
    (until, slack): (Micros, Duration),
) {
    let pool = &pools[asked.proxy];
    let mut text = None;
    for again in [false, true] {
        let used = if again { None } else { pooled(history, pool) };
        let reused = used.is_some();
        let connection = match used {
            Some(connection) => Ok(connection),
            None => Connection::open(address).await,
        };
        // Also after a close that crossed the request: a front load balancer would have chosen another proxy.
        let Ok(mut connection) = connection else {
            return history.connection_lost(asked.id, false);
        };
        // The attempt's time counts from its scheduled start, so connecting is part of it.
        let text = text.get_or_insert_with(|| {
            statement(
                history,
                set,
                asked,
                history.start_attempt(asked, until).saturating_sub(slack),
            )
        });
        match connection.ask(text).await {
            Ok(reply) => {
                if !reply.fatal {
                    lock(pool).push(connection);
                }
                return match (&reply.value, reply.refused()) {
                    (Some(value), _) => history.served(asked.id, exchange(value, asked.id)),
                    (None, true) => history.rejected(asked.id, reply.retry_after()),
                    (None, false) => history.failed(asked.id),
                };
            }
            // The proxy's close of an idle connection has crossed the request, which is sent once more on a new connection.
            Err(_) if reused => history.retried_after_close(),
            Err(_) => return history.connection_lost(asked.id, true),
        }
    }
}
