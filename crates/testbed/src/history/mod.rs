//! The totally ordered history of a run: the models of record servers, discovery and clients, and the checker of requests,
//! attempts and answers. The testbed's sockets deliver events one at a time and receive the models' responses.

mod messages;
mod outcomes;
mod own_attempts;
mod requests;
mod state;

pub use messages::{ClientTask, ServerReply};
pub use outcomes::{ClassAccount, Outcomes, LATE};
pub use own_attempts::{Departure, SentAfterLeave};
pub use state::State;

use crate::process::{self, Fault};
use invariant_checkers::{Checker, Final, Rule};
use server_model::catalog::{self, Record};
use server_model::clients::{self, ClientAttempt, ClientAttemptId, Consistency};
use server_model::site::{self, ServerFault, ServerIndex, Status};
use server_model::Micros;
use state::{TimerKind, DEATH_NOTICE_US};
use std::cmp::Reverse;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot, watch, Notify};

/// The history and its clock.
#[derive(Clone)]
pub struct History {
    state: Arc<Mutex<State>>,
    /// Start of the clients' load, also as Unix time; the history's clock stays at 0 until then.
    start: Arc<OnceLock<(Instant, Duration)>>,
    sooner: Arc<Notify>,
    changed: Arc<watch::Sender<u64>>,
}

/// Channels on which the testbed's sockets wait.
pub struct Outputs {
    /// New servers, which need a listener.
    pub new_servers: mpsc::UnboundedReceiver<ServerIndex>,
    /// Attempts that clients have to make.
    pub client_tasks: mpsc::UnboundedReceiver<ClientTask>,
}

impl History {
    /// Creates the models at time 0. `attempts` and `drain_grace` are the platform's bounds, which the checker enforces.
    pub fn new(
        site: site::Settings,
        list: catalog::Settings,
        clients: clients::Settings,
        max_attempts: u16,
        drain_grace: Duration,
        seed: u64,
    ) -> (History, Outputs) {
        let (new_servers, servers) = mpsc::unbounded_channel();
        let (client_tasks, tasks) = mpsc::unbounded_channel();
        let checker = Checker::new(max_attempts, drain_grace.as_micros() as Micros);
        let state = State::new(
            (site, list, clients),
            checker,
            seed,
            (new_servers, client_tasks),
        );
        let history = History {
            state: Arc::new(Mutex::new(state)),
            start: Arc::default(),
            sooner: Arc::new(Notify::new()),
            changed: Arc::new(watch::Sender::new(0)),
        };
        (
            history,
            Outputs {
                new_servers: servers,
                client_tasks: tasks,
            },
        )
    }

    /// Microseconds since [`History::begin`]; 0 before.
    pub fn now(&self) -> Micros {
        self.start
            .get()
            .map_or(0, |(start, _)| start.elapsed().as_micros() as Micros)
    }

    /// Converts a time of the model to Unix time; 0, which means long ago, stays 0.
    pub fn unix(&self, at: Micros) -> Duration {
        let epoch = self.start.get().filter(|_| at > 0).map(|(_, epoch)| *epoch);
        epoch.map_or(Duration::ZERO, |epoch| epoch + Duration::from_micros(at))
    }

    fn with<R>(&self, act: impl FnOnce(&mut State, Micros) -> R) -> R {
        let mut state = process::lock(&self.state);
        let before = state.timers.peek().map(|Reverse((at, _))| *at);
        let did = act(&mut state, self.now());
        if state.timers.peek().map(|Reverse((at, _))| *at) != before {
            self.sooner.notify_one();
        }
        drop(state);
        self.changed.send_modify(|n| *n += 1);
        did
    }

    /// Outcomes of each class's requests so far.
    pub fn accounts(&self) -> Vec<ClassAccount> {
        self.lock().accounts.clone()
    }

    /// Locks the state for reading.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        process::lock(&self.state)
    }

    /// Waits until a condition on the state holds; a fault after the testbed's event timeout.
    pub async fn until(&self, what: &str, mut is: impl FnMut(&State) -> bool) -> Result<(), Fault> {
        let mut changed = self.changed.subscribe();
        let waited = tokio::time::timeout(crate::process::EVENT_TIMEOUT, async {
            while !is(&self.lock()) {
                if changed.changed().await.is_err() {
                    break;
                }
            }
        });
        waited
            .await
            .map_err(|_| Fault::new(format!("timed out waiting for: {what}")))
    }

    /// Runs due timers until the testbed ends.
    pub async fn run(self) {
        loop {
            let due = self.with(|state, now| {
                state.due(now);
                state.timers.peek().map(|Reverse((at, _))| *at)
            });
            let wait = due.map_or(Duration::from_secs(1), |at| {
                Duration::from_micros(at.saturating_sub(self.now()))
            });
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.sooner.notified() => {}
            }
        }
    }

    /// Starts the clock and the clients' load.
    pub fn begin(&self) {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        _ = self.start.set((Instant::now(), unix));
        self.with(|state, now| state.clients(clients::Event::Start, now));
    }

    /// Starts or ends a fault of a record server or of the network between places.
    pub fn inject_fault(&self, trouble: ServerFault) {
        self.with(|state, now| state.site(site::Event::Fault(trouble), now));
    }

    /// Multiplies the request rate of a tenant, or of all.
    pub fn surge(&self, tenant: Option<usize>, times: f64) {
        self.with(|state, now| state.clients(clients::Event::Surge { tenant, times }, now));
    }

    // ---- Record servers ----

    /// Handles a connection attempt; returns whether the server accepts it.
    pub fn dial(&self, server: ServerIndex) -> bool {
        self.with(|state, now| {
            let mut actions = Vec::new();
            let up = state.site.dial(server, now, &mut actions);
            state.rejected_connections += u64::from(!up && state.site.runs(server));
            state.apply_site_actions(actions, now);
            up
        })
    }

    /// A connection that [`History::dial`] accepted has ended.
    pub fn hang_up(&self, server: ServerIndex) {
        self.with(|state, _| state.site.hang_up(server));
    }

    /// Handles a request that a server has received in full; none: no client has sent a request with this id.
    pub fn request(
        &self,
        server: ServerIndex,
        id: ClientAttemptId,
    ) -> Option<oneshot::Receiver<ServerReply>> {
        self.with(|state, now| state.request(server, id, now))
    }

    /// Handles a health check that has reached a server; the receiver gets the load report, or none if the answer has none.
    pub fn probe(&self, server: ServerIndex) -> oneshot::Receiver<Option<site::LoadReport>> {
        self.with(|state, now| {
            let (send, reply) = oneshot::channel();
            state.next += 1;
            let exchange = state.next;
            state.probes.insert(exchange, send);
            state.probed += 1;
            state.site(site::Event::Probe { exchange, server }, now);
            reply
        })
    }

    /// Subscribes to the number of a server's crashes.
    pub fn watch_deaths(&self, server: ServerIndex) -> watch::Receiver<u64> {
        self.lock().deaths[server as usize].subscribe()
    }

    // ---- Discovery ----

    /// Passes an event to the model of discovery.
    pub fn list(&self, event: catalog::Event) {
        self.with(|state, now| state.list(event, now));
    }

    /// Opens a proxy's watch of the list; an earlier watch of the same proxy ends.
    pub fn watch(&self, proxy: usize, after: u64) -> mpsc::UnboundedReceiver<catalog::Action> {
        self.with(|state, now| {
            let (send, updates) = mpsc::unbounded_channel();
            state.watchers.insert(proxy, send);
            state.list(
                catalog::Event::Watch {
                    caller: proxy,
                    after,
                },
                now,
            );
            updates
        })
    }

    /// Records that the list has been sent to a proxy.
    pub fn notified(&self, proxy: usize, records: &[Record]) {
        self.with(|state, now| {
            let news = records
                .iter()
                .map(|record| (proxy, record.server, record.status != Status::Ready));
            match &mut state.held_notifications {
                Some(held) => held.extend(news),
                None => news.for_each(|(proxy, server, leaving)| {
                    state.checker.notified(proxy, server, leaving, now);
                }),
            }
        });
    }

    /// Sets whether the links to discovery hold back its updates. Held updates count as received once the links pass them,
    /// which has to be within the time that the platform gives a proxy to detect a silent watch.
    pub fn set_list_silent(&self, silent: bool) {
        self.with(|state, now| {
            if silent {
                state.held_notifications.get_or_insert_default();
                return;
            }
            for (proxy, server, leaving) in state.held_notifications.take().unwrap_or_default() {
                state.checker.notified(proxy, server, leaving, now);
            }
        });
    }

    // ---- Clients ----

    /// Records that a client sends an attempt now, from which on the proxy has to answer. Returns the time left.
    pub fn start_attempt(&self, asked: &ClientAttempt, until: Micros) -> Duration {
        self.with(|state, now| {
            if state.open.contains_key(&asked.id) {
                let class = &state.classes[asked.class];
                let write = class.consistency == Consistency::Write;
                state.checker.client_sends(
                    asked.id,
                    asked.request,
                    class.idempotency,
                    write,
                    asked.proxy,
                    until,
                );
            }
            Duration::from_micros(until.saturating_sub(now))
        })
    }

    /// Records a served attempt; `exchange`: the server's answer that the value identifies, none if no server made the value.
    pub fn served(&self, id: ClientAttemptId, exchange: Option<u64>) {
        self.with(|state, now| {
            let made = exchange
                .and_then(|e| state.made.get(&e))
                .filter(|(of, ..)| *of == id)
                .copied();
            match made {
                None => state.checker.report_violation(Rule::Phantom),
                Some((_, _, true)) => state.checker.report_violation(Rule::Stale),
                Some(_) => {}
            }
            let commit = made.map_or(0, |(_, commit, _)| commit);
            state.answered(id, Final::Served, clients::Answer::Served { commit }, now);
        });
    }

    /// Records that the proxy rejected the attempt before it ran.
    pub fn rejected(&self, id: ClientAttemptId, retry_after: Option<Duration>) {
        let retry_after = retry_after.map(|d| d.as_micros() as Micros);
        self.with(|state, now| {
            state.answered(
                id,
                Final::Rejected,
                clients::Answer::Rejected { retry_after },
                now,
            );
        });
    }

    /// Records that the proxy answered with another error.
    pub fn failed(&self, id: ClientAttemptId) {
        self.with(|state, now| state.answered(id, Final::Failed, clients::Answer::Failed, now));
    }

    /// Counts an answer without a request, or to another request.
    pub fn report_violation(&self, rule: Rule) {
        self.with(|state, _| state.checker.report_violation(rule));
    }

    /// Records a failed connection to the proxy, or one that ended without an answer (`reached`).
    pub fn connection_lost(&self, id: ClientAttemptId, reached: bool) {
        self.with(|state, now| state.connection_lost(id, reached, now));
    }

    /// Counts a request that was sent again because it crossed the proxy's close of an idle connection.
    pub fn retried_after_close(&self) {
        self.with(|state, _| state.resent_after_close += 1);
    }

    /// Records that a proxy is being killed: its open attempts need no answer.
    pub fn proxy_killed(&self, proxy: usize) {
        self.with(|state, now| {
            state.down.insert(proxy);
            let mut held: Vec<ClientAttemptId> = state
                .open
                .iter()
                .filter(|(_, o)| o.asked.proxy == proxy)
                .map(|(id, _)| *id)
                .collect();
            held.sort_unstable();
            for id in held {
                state.checker.proxy_dies(id);
                state.open.remove(&id);
                let answer = clients::Answer::ConnectionLost { reached: true };
                state.clients(clients::Event::Answered(id, answer), now);
            }
            state.set_timer(now + DEATH_NOTICE_US, TimerKind::ProxyDownDetected(proxy));
        });
    }

    /// Records that a proxy has ended by itself; clients stop using it at once.
    pub fn proxy_down(&self, proxy: usize) {
        self.with(|state, now| state.clients(clients::Event::Proxy { proxy, up: false }, now));
    }

    /// Records that a proxy serves again; clients use it at once.
    pub fn proxy_up(&self, proxy: usize) {
        self.with(|state, now| {
            state.down.remove(&proxy);
            state.clients(clients::Event::Proxy { proxy, up: true }, now);
        });
    }

    /// Waits until all requests are settled; clients send requests until the length of the load is over.
    pub async fn finished(&self, length: Duration) -> Result<(), Fault> {
        let length = length.as_micros() as Micros;
        let left = Duration::from_micros(length.saturating_sub(self.now()));
        tokio::time::sleep(left).await;
        self.until("every request is settled", |state| {
            state.clients.open() == 0
        })
        .await
    }

    /// Ends the run and returns its outcomes.
    pub fn close(&self) -> Outcomes {
        self.with(|state, _| state.close())
    }
}
