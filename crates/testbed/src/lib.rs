//! Runs several proxy processes on loopback with simulated record servers, discovery and clients, injects faults into the
//! links between them, and records a history of all events.
//!
//! A [`Testbed`] starts from a [`Setup`]: it opens record servers, discovery and a relay for each link, and starts the
//! proxies. The caller kills, stops and restarts proxies, cuts links, injects server faults, starts the clients, waits for
//! events, and finally reads the outcomes and the violated rules. See `docs/design/testbed.md`.
#![forbid(unsafe_code)]

pub mod accounts;
mod admin;
mod configure;
pub mod datagrams;
pub mod discovery;
pub mod fake_member;
pub mod foreign;
pub mod history;
mod lifecycle;
pub mod link;
mod load_generator;
pub mod members;
pub mod planted_violation;
pub mod process;
mod server_opener;
pub mod servers;
pub mod settings;
mod setup;
pub mod soak;
pub mod wire;

pub use configure::FOLDER;
pub use server_opener::Links;
pub use setup::Setup;

use discovery::Addresses;
use foreign::ForeignRequests;
use history::{History, Outcomes, Outputs};
use link::Link;
use load_generator::LoadGenerator;
use members::DatagramLinks;
use process::{Fault, Folder, Process};
use server_model::site::{self, ServerIndex};
use server_opener::ServerOpener;
use servers::AnswerSettings;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;

/// A proxy: its process, if one runs, and its links to clients and discovery.
pub struct Proxy {
    /// The running process; none between a kill and the restart.
    pub process: Option<Process>,
    /// Link from the clients to the proxy.
    pub clients: Link,
    /// Link from the proxy to discovery.
    pub list: Link,
    /// Address on which the proxy serves clients.
    pub address: Option<SocketAddr>,
    /// The admin address, with [`Setup::admin`].
    pub admin: Option<SocketAddr>,
    folder: Folder,
}

/// A running fleet with its clients, servers and links. Dropping it kills every process.
pub struct Testbed {
    /// The models and the record of all events.
    pub history: History,
    /// The proxies, indexed by their number.
    pub proxies: Vec<Proxy>,
    /// Requests of clients outside the model.
    pub foreign: Arc<ForeignRequests>,
    setup: Setup,
    links: Arc<watch::Sender<Links>>,
    addresses: Arc<watch::Sender<Addresses>>,
    datagram_links: DatagramLinks,
    load: LoadGenerator,
    /// Declared last, so that it is dropped after all tasks that run on it.
    runtime: Runtime,
}

impl Testbed {
    /// Starts all parts and waits until they are ready; clients send no requests yet. If one part fails to start, all others are stopped.
    pub fn start(setup: Setup) -> Result<Testbed, Fault> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build();
        let runtime = runtime
            .map_err(|e| Fault::new(format!("the testbed's runtime cannot be started: {e}")))?;
        let (history, outputs) = history_of(&setup);
        let links = Arc::new(watch::Sender::new(Links::default()));
        let addresses = Arc::new(watch::Sender::new(Addresses::default()));
        let number = setup.clients.proxies;
        let servers = history.lock().site.servers();
        runtime.spawn(history.clone().run());
        let foreign = Arc::new(ForeignRequests::new(setup.foreign_answers));
        let opener = ServerOpener {
            history: history.clone(),
            links: Arc::clone(&links),
            addresses: Arc::clone(&addresses),
            number,
            answers: AnswerSettings {
                endless_answers: setup.endless_answers,
                foreign: Arc::clone(&foreign),
            },
        };
        runtime.block_on(open_servers(&opener, servers))?;
        runtime.spawn(open_new_servers(opener, outputs.new_servers));
        let proxies = (0..number)
            .map(|proxy| Proxy::new(&runtime, &setup, &history, &addresses, proxy))
            .collect::<Result<Vec<Proxy>, Fault>>()?;
        let client_addresses = proxies.iter().map(|p| p.clients.address).collect();
        let load = {
            let _on = runtime.enter();
            let (history, clients) = (history.clone(), setup.clients.clone());
            LoadGenerator::new(
                history,
                clients,
                setup.slack,
                client_addresses,
                outputs.client_tasks,
            )
        };
        let datagram_links = match setup.members {
            Some(_) => members::datagram_links(runtime.handle(), number, setup.seed)?,
            None => DatagramLinks::default(),
        };
        let mut testbed = Testbed {
            history,
            proxies,
            foreign,
            setup,
            links,
            addresses,
            datagram_links,
            load,
            runtime,
        };
        testbed.start_proxies()?;
        Ok(testbed)
    }

    fn start_proxies(&mut self) -> Result<(), Fault> {
        let number = self.proxies.len();
        if let Some(rule) = self.setup.planted_violation {
            return (0..number).try_for_each(|proxy| self.plant(proxy, rule));
        }
        (0..number).try_for_each(|proxy| self.spawn(proxy))?;
        (0..number).try_for_each(|proxy| self.ready(proxy))
    }

    /// Folder of a proxy's files.
    pub fn folder(&self, proxy: usize) -> &std::path::Path {
        self.proxies[proxy].folder.path()
    }

    /// The links from these proxies to the servers at `place`; none: to all servers.
    pub fn links(&self, proxies: &[usize], place: Option<u16>) -> Vec<Link> {
        let inner = self.history.lock();
        let wanted = |server| place.is_none_or(|place| inner.site.place(server) == place);
        let links = self.links.borrow();
        let found = links
            .iter()
            .filter(|((p, s), _)| proxies.contains(p) && wanted(*s));
        found.map(|(_, link)| link.clone()).collect()
    }

    /// The link from a proxy to a server, once the server is known.
    pub fn link(&self, proxy: usize, server: ServerIndex) -> Option<Link> {
        self.links.borrow().get(&(proxy, server)).cloned()
    }

    /// Runs a future on the testbed's runtime and waits for its result.
    pub fn wait<F: std::future::Future>(&self, what: F) -> F::Output {
        self.runtime.block_on(what)
    }

    /// Waits until a condition on the history holds; an error after [`process::EVENT_TIMEOUT`].
    pub fn until(&self, what: &str, is: impl FnMut(&history::State) -> bool) -> Result<(), Fault> {
        self.wait(self.history.until(what, is))
    }

    /// Waits until all requests are settled, and returns the outcomes.
    pub fn finish(self) -> Result<Outcomes, Fault> {
        let length = Duration::from_micros(self.setup.clients.length);
        self.wait(self.history.finished(length))?;
        self.load.close();
        let dials = self.links.borrow().values().map(Link::accepted).sum();
        Ok(Outcomes {
            dials,
            ..self.history.close()
        })
    }
}

fn history_of(setup: &Setup) -> (History, Outputs) {
    let platform = &setup.platform;
    let grace = Duration::from_micros(platform.drain_grace);
    let site = site::Settings {
        checks: platform.checks,
        ..setup.site.clone()
    };
    let clients = setup.clients.clone();
    History::new(site, setup.list, clients, platform.tries, grace, setup.seed)
}

async fn open_servers(opener: &ServerOpener, servers: Range<ServerIndex>) -> Result<(), Fault> {
    for server in servers {
        opener.open(server).await?;
    }
    Ok(())
}

async fn open_new_servers(opener: ServerOpener, mut new: UnboundedReceiver<ServerIndex>) {
    while let Some(server) = new.recv().await {
        // If no port is available, the server stays unreachable.
        _ = opener.open(server).await;
    }
}

impl Proxy {
    /// Creates the folder and the links, without a process.
    fn new(
        runtime: &Runtime,
        setup: &Setup,
        history: &History,
        addresses: &Arc<watch::Sender<Addresses>>,
        proxy: usize,
    ) -> Result<Proxy, Fault> {
        let service = discovery::open(history.clone(), proxy, Arc::clone(addresses));
        let service = runtime.block_on(service)?;
        let seed = setup.seed.wrapping_add((proxy as u64) << 32);
        let folder = Folder::new()
            .map_err(|e| Fault::new(format!("cannot create a folder for proxy {proxy}: {e}")))?;
        Ok(Proxy {
            process: None,
            clients: Link::open(runtime.handle(), None, seed)?,
            list: Link::open(runtime.handle(), Some(service), seed ^ 1)?,
            address: None,
            admin: None,
            folder,
        })
    }
}
