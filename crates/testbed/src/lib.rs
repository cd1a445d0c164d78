//! Several processes of the proxy on loopback, the systems that they serve, faults between any two of them, and a
//! ledger that knows the truth.
//!
//! A [`Rig`] is made of a [`Setup`]: it opens record servers, the list's service and a relay for each link, and starts
//! the proxies. Whoever holds it kills, stops and restarts them, cuts links, brings troubles to servers, lets clients
//! ask, waits for events, and at last reads what came of it and which rules were broken. `docs/design/rig.md`.
#![forbid(unsafe_code)]

pub mod books;
pub mod datagrams;
pub mod discovery;
pub mod ghost;
pub mod link;
mod load;
pub mod members;
pub mod misrule;
pub mod process;
pub mod servers;
pub mod settings;
pub mod truth;
pub mod wire;

use discovery::Addresses;
use invariant_checkers::Rule;
use link::Link;
use load::Load;
use members::{Members, Talks};
use misrule::Misrule;
use process::{Fault, Folder, Plan, Process};
use rustix::process::Signal;
use server_model::catalog;
use server_model::clients;
use server_model::platform::Platform;
use server_model::site::{self, ServerIndex};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Runtime;
use tokio::sync::watch;
use truth::{Outcomes, Truth};

/// What is put up.
#[derive(Clone, Debug)]
pub struct Setup {
    pub site: site::Settings,
    pub list: catalog::Settings,
    pub clients: clients::Settings,
    pub platform: Platform,
    pub seed: u64,
    /// The proxy; of several builds, each proxy takes the next in turn.
    pub programs: Vec<PathBuf>,
    /// The operators' file, the same for all but for `FOLDER`.
    pub operators: String,
    /// Proxies that tell each other of themselves by datagrams; the relays between them are opened at the start alone.
    pub members: Option<Members>,
    /// Whether proxies have a second address.
    pub admin: bool,
    /// Whether they are handed a list at their start.
    pub known: bool,
    /// Where proxies' logs go, one file each.
    pub logs: Option<PathBuf>,
    /// In place of programs, proxies that break this rule.
    pub misrule: Option<Rule>,
    /// Descriptors and memory of each proxy.
    pub sockets: u64,
    pub memory_mb: u64,
    /// How much longer clients wait than they tell the proxy: how late a machine that is busy with other things may
    /// make an answer that was given in time.
    pub slack: Duration,
}

impl Setup {
    /// With the proxy that was built beside the caller.
    pub fn new(site: site::Settings, clients: clients::Settings) -> Result<Setup, Fault> {
        Ok(Setup {
            site,
            list: catalog::Settings::default(),
            clients,
            platform: Platform::default(),
            seed: 1,
            programs: vec![process::built("leverproxy")?],
            operators: String::new(),
            members: None,
            admin: false,
            known: true,
            logs: None,
            misrule: None,
            sockets: 1_024,
            memory_mb: 192,
            slack: Duration::ZERO,
        })
    }
}

/// One proxy: its process, while it has one, and the links on both sides of it.
pub struct Proxy {
    pub process: Option<Process>,
    /// From its clients to it, and from it to the list's service.
    pub clients: Link,
    pub list: Link,
    /// Where it serves, and where its second address is.
    pub address: Option<SocketAddr>,
    pub admin: Option<SocketAddr>,
    folder: Folder,
}

pub struct Rig {
    pub truth: Truth,
    pub proxies: Vec<Proxy>,
    setup: Setup,
    links: Arc<watch::Sender<Links>>,
    addresses: Arc<watch::Sender<Addresses>>,
    talks: Talks,
    load: Load,
    /// Ends last: all faces live on it.
    runtime: Runtime,
}

/// By proxy and server.
pub type Links = rustc_hash::FxHashMap<(usize, ServerIndex), Link>;

/// In the operators' file: the proxy's own folder.
pub const FOLDER: &str = "{folder}";

/// A machine that is busy with tests makes loops late, and a proxy says so to its balancers: no trial is about that.
const LATE_LOOP: &str = "availability {\n lag 1s\n}\n";

impl Rig {
    /// Everything is up when it returns, and no client asks yet. What can't be started ends all the rest.
    pub fn start(setup: Setup) -> Result<Rig, Fault> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| Fault::new(format!("no threads for the rig: {e}")))?;
        let Setup {
            site,
            list,
            clients,
            platform,
            seed,
            ..
        } = &setup;
        let grace = Duration::from_micros(platform.drain_grace);
        let site = site::Settings {
            checks: platform.checks,
            ..site.clone()
        };
        let (truth, faces) = Truth::new(site, *list, clients.clone(), platform.tries, grace, *seed);
        let links = Arc::new(watch::Sender::new(Links::default()));
        let addresses = Arc::new(watch::Sender::new(Addresses::default()));
        let number = setup.clients.proxies;
        let (servers, clock) = (truth.look().site.servers(), truth.clone());
        runtime.spawn(clock.run());
        let maker = Maker {
            truth: truth.clone(),
            links: Arc::clone(&links),
            addresses: Arc::clone(&addresses),
            number,
        };
        runtime.block_on(async {
            for server in servers {
                maker.open(server).await?;
            }
            Ok::<(), Fault>(())
        })?;
        let mut born = faces.born;
        runtime.spawn(async move {
            while let Some(server) = born.recv().await {
                // Without a port it is one that nobody reaches.
                _ = maker.open(server).await;
            }
        });
        let mut proxies = Vec::new();
        for proxy in 0..number {
            let service = runtime.block_on(discovery::open(
                truth.clone(),
                proxy,
                Arc::clone(&addresses),
            ))?;
            let seed = seed.wrapping_add((proxy as u64) << 32);
            let folder = Folder::new()
                .map_err(|e| Fault::new(format!("no folder for proxy {proxy}: {e}")))?;
            proxies.push(Proxy {
                process: None,
                clients: Link::open(runtime.handle(), None, seed)?,
                list: Link::open(runtime.handle(), Some(service), seed ^ 1)?,
                address: None,
                admin: None,
                folder,
            });
        }
        let doors = proxies.iter().map(|p| p.clients.address).collect();
        let load = {
            let _on = runtime.enter();
            Load::new(
                truth.clone(),
                setup.clients.clone(),
                setup.slack,
                doors,
                faces.errands,
            )
        };
        let talks = match setup.members {
            Some(_) => members::talks(runtime.handle(), number, setup.seed)?,
            None => Talks::default(),
        };
        let mut rig = Rig {
            truth,
            proxies,
            setup,
            links,
            addresses,
            talks,
            load,
            runtime,
        };
        if let Some(rule) = rig.setup.misrule {
            for proxy in 0..number {
                rig.plant(proxy, rule)?;
            }
            return Ok(rig);
        }
        for proxy in 0..number {
            rig.spawn(proxy)?;
        }
        for proxy in 0..number {
            rig.ready(proxy)?;
        }
        Ok(rig)
    }

    fn place(&self, proxy: usize) -> u16 {
        (proxy % self.setup.site.places.max(1)) as u16
    }

    /// The proxy's next process, or its heir, is of this build.
    pub fn set_program(&mut self, proxy: usize, program: PathBuf) {
        let number = self.setup.clients.proxies;
        let mut each: Vec<_> = self
            .setup
            .programs
            .iter()
            .cycle()
            .take(number)
            .cloned()
            .collect();
        if let Some(place) = each.get_mut(proxy) {
            *place = program;
        }
        self.setup.programs = each;
    }

    /// The files of a proxy, as they are for its next start.
    fn configure(&self, proxy: usize) -> Result<(), Fault> {
        let at = &self.proxies[proxy];
        let (index, records) = {
            let inner = self.truth.look();
            (inner.list.index(), inner.list.records().collect::<Vec<_>>())
        };
        let known = discovery::listing(
            &self.truth,
            &self.addresses.borrow(),
            proxy,
            index,
            true,
            &records,
        );
        let Setup {
            site,
            clients,
            platform,
            seed,
            ..
        } = &self.setup;
        let config = serde_json::json!({
            "name": format!("n{proxy}"),
            "listen": "127.0.0.1:0",
            "discovery": at.list.address.to_string(),
            "seed": format!("{:016x}", seed.wrapping_mul(0x9e37_79b9).wrapping_add(proxy as u64 + 1)),
            "limits": {"cores": 1.0, "memory_mb": self.setup.memory_mb, "sockets": self.setup.sockets},
            "known": if self.setup.known { known } else { serde_json::json!({}) },
            "settings": settings::settings(site, clients, platform, proxy, self.place(proxy)),
        });
        let folder = at.folder.path();
        let write = |name: &str, text: String| {
            std::fs::write(folder.join(name), text)
                .map_err(|e| Fault::new(format!("{name} of proxy {proxy}: {e}")))
        };
        write("config.json", config.to_string())?;
        let section = members::section(&self.setup, &self.talks, proxy, folder);
        let operators = self
            .setup
            .operators
            .replace(FOLDER, &folder.display().to_string());
        write(
            "operators.conf",
            format!("{operators}\n{LATE_LOOP}{section}"),
        )?;
        if let Some(members) = &self.setup.members {
            write(members::KEY_FILE, members.key_file(*seed))?;
            let owner = std::os::unix::fs::PermissionsExt::from_mode(0o600);
            std::fs::set_permissions(folder.join(members::KEY_FILE), owner)
                .map_err(|e| Fault::new(format!("the key file of proxy {proxy}: {e}")))?;
        }
        let temporary = folder.join("tmp");
        std::fs::create_dir_all(&temporary)
            .map_err(|e| Fault::new(format!("a folder for proxy {proxy}: {e}")))
    }

    /// What starts a proxy; `listen`: where its clients are to find it.
    pub fn plan(&self, proxy: usize, listen: &str) -> Result<Plan, Fault> {
        self.configure(proxy)?;
        let folder = self.proxies[proxy].folder.path();
        let path = |name: &str| folder.join(name).display().to_string();
        let mut variables = vec![
            ("LB_CONFIG".to_owned(), path("config.json")),
            ("LB_OPERATORS".to_owned(), path("operators.conf")),
            ("LB_LISTEN".to_owned(), listen.to_owned()),
            ("TMPDIR".to_owned(), path("tmp")),
        ];
        if self.setup.admin {
            variables.push(("LB_ADMIN".to_owned(), "127.0.0.1:0".to_owned()));
        }
        let programs = &self.setup.programs;
        let program = programs.get(proxy % programs.len().max(1)).cloned();
        let program = program.ok_or_else(|| Fault::new("the rig is told of no program"))?;
        let log = self
            .setup
            .logs
            .as_ref()
            .map(|folder| folder.join(format!("n{proxy}.log")));
        Ok(Plan {
            program,
            words: vec!["serve".to_owned()],
            variables,
            files: self.setup.sockets,
            log,
        })
    }

    fn plant(&mut self, proxy: usize, rule: Rule) -> Result<(), Fault> {
        let (truth, addresses) = (self.truth.clone(), Arc::clone(&self.addresses));
        let at = &mut self.proxies[proxy];
        let planted = Misrule {
            rule,
            proxy,
            truth,
            addresses,
            list: at.list.address,
        };
        at.address = Some(self.runtime.block_on(planted.open())?);
        at.clients.lead_to(at.address);
        Ok(())
    }

    fn spawn(&mut self, proxy: usize) -> Result<(), Fault> {
        let plan = self.plan(proxy, "127.0.0.1:0")?;
        self.proxies[proxy].process = Some(Process::start(&plan)?);
        Ok(())
    }

    fn ready(&mut self, proxy: usize) -> Result<(), Fault> {
        let at = &mut self.proxies[proxy];
        let Some(process) = at.process.as_mut() else {
            return Err(Fault::new("it was not started"));
        };
        let named = |fault: Fault| Fault {
            problem: format!("proxy {proxy}: {}", fault.problem),
            ..fault
        };
        let mut address = |words: &str| -> Result<Option<SocketAddr>, Fault> {
            let (_, line) = process.line(words, 0).map_err(named)?;
            Ok(line.rsplit(' ').next().and_then(|word| word.parse().ok()))
        };
        at.address = address(": serving on ")?;
        if self.setup.admin {
            at.admin = address("answering calls on ")?;
        }
        at.clients.lead_to(at.address);
        if self
            .setup
            .members
            .as_ref()
            .is_some_and(|members| members.lists(proxy))
        {
            let heard = address(members::HEARD)?;
            self.lead_talk(proxy, heard);
        }
        Ok(())
    }

    /// Kill -9: what it holds dies with it.
    pub fn kill(&mut self, proxy: usize) {
        self.truth.killed(proxy);
        let at = &mut self.proxies[proxy];
        if let Some(mut process) = at.process.take() {
            process.kill();
        }
        at.clients.lead_to(None);
        // Whatever was open to it has been reset by the kernel.
        at.clients.reset();
        self.lead_talk(proxy, None);
    }

    /// It starts again under its name, from nothing but an old list.
    pub fn restart(&mut self, proxy: usize) -> Result<(), Fault> {
        self.spawn(proxy)?;
        self.ready(proxy)?;
        self.truth.back(proxy);
        Ok(())
    }

    /// New files for a proxy, of a setup that was changed, and the word to read them.
    pub fn reload(&mut self, proxy: usize, change: impl FnOnce(&mut Setup)) -> Result<(), Fault> {
        change(&mut self.setup);
        self.configure(proxy)?;
        self.signal(proxy, Signal::HUP);
        Ok(())
    }

    /// Another process beside a proxy's own, for the same clients and in the same folder, as in an upgrade.
    pub fn heir(&self, proxy: usize) -> Result<Process, Fault> {
        let address = self.proxies[proxy]
            .address
            .map(|a| a.to_string())
            .unwrap_or_default();
        Process::start(&self.plan(proxy, &address)?)
    }

    /// The heir takes its elder's place in the rig, and the elder is told to end.
    pub fn succeed(&mut self, proxy: usize, heir: Process) -> Result<Option<i32>, Fault> {
        self.signal(proxy, Signal::TERM);
        let elder = self.proxies[proxy].process.replace(heir);
        self.ready(proxy)?;
        Ok(elder.and_then(|mut elder| elder.wait()))
    }

    /// What a proxy's second address tells of itself.
    pub fn figures(&self, proxy: usize) -> Result<rustc_hash::FxHashMap<String, u64>, Fault> {
        let fault = |e: std::io::Error| Fault::new(format!("figures of proxy {proxy}: {e}"));
        let admin = self.proxies[proxy]
            .admin
            .ok_or_else(|| Fault::new("it has no second address"))?;
        let mut text = String::new();
        let mut stream = std::net::TcpStream::connect(admin).map_err(fault)?;
        // A proxy that stands still takes the call and never answers.
        stream
            .set_read_timeout(Some(process::PATIENCE))
            .map_err(fault)?;
        stream
            .write_all(b"GET /api/telemetry HTTP/1.1\r\nHost: rig\r\n\r\n")
            .map_err(fault)?;
        stream.read_to_string(&mut text).map_err(fault)?;
        let lines = text.lines().filter(|line| line.starts_with("lb_"));
        let pairs = lines.filter_map(|line| line.rsplit_once(' '));
        Ok(pairs
            .filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?)))
            .collect())
    }

    /// What an operator says of a record server at the second address: it is taken out, or called back. Gives the answer's
    /// words; a no is a fault.
    pub fn hand(&self, proxy: usize, server: &str, out: bool) -> Result<String, Fault> {
        let fault = |e: std::io::Error| Fault::new(format!("a call to proxy {proxy}: {e}"));
        let admin = self.proxies[proxy]
            .admin
            .ok_or_else(|| Fault::new("it has no second address"))?;
        let word = if out { "exclude" } else { "include" };
        let body = format!("{{\"target\":\"{server}\"}}");
        let head = format!(
            "POST /api/{word} HTTP/1.1\r\nHost: rig\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        let mut stream = std::net::TcpStream::connect(admin).map_err(fault)?;
        stream
            .set_read_timeout(Some(process::PATIENCE))
            .map_err(fault)?;
        stream.write_all((head + &body).as_bytes()).map_err(fault)?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).map_err(fault)?;
        match answer.split_once("\r\n\r\n") {
            Some((head, text)) if head.starts_with("HTTP/1.1 200") => Ok(text.trim().to_owned()),
            _ => Err(Fault::new(format!(
                "proxy {proxy} says to {word} {server}: {answer}"
            ))),
        }
    }

    /// Where a proxy's files are.
    pub fn folder(&self, proxy: usize) -> &std::path::Path {
        self.proxies[proxy].folder.path()
    }

    pub fn signal(&mut self, proxy: usize, signal: Signal) {
        if let Some(process) = &mut self.proxies[proxy].process {
            process.signal(signal);
        }
    }

    /// The links from these proxies to the servers of a place, or to all.
    pub fn links(&self, proxies: &[usize], place: Option<u16>) -> Vec<Link> {
        let inner = self.truth.look();
        let wanted = |server| place.is_none_or(|place| inner.site.place(server) == place);
        let links = self.links.borrow();
        let found = links
            .iter()
            .filter(|((p, s), _)| proxies.contains(p) && wanted(*s));
        found.map(|(_, link)| link.clone()).collect()
    }

    pub fn link(&self, proxy: usize, server: ServerIndex) -> Option<Link> {
        self.links.borrow().get(&(proxy, server)).cloned()
    }

    /// Runs something that waits on the rig's own threads.
    pub fn wait<F: std::future::Future>(&self, what: F) -> F::Output {
        self.runtime.block_on(what)
    }

    pub fn until(&self, what: &str, is: impl FnMut(&truth::Inner) -> bool) -> Result<(), Fault> {
        self.wait(self.truth.until(what, is))
    }

    /// Waits for all answers, and gives the books.
    pub fn finish(self) -> Result<Outcomes, Fault> {
        let length = Duration::from_micros(self.setup.clients.length);
        self.wait(self.truth.finished(length))?;
        self.load.close();
        let dials = self.links.borrow().values().map(Link::taken).sum();
        Ok(Outcomes {
            dials,
            ..self.truth.close()
        })
    }
}

struct Maker {
    truth: Truth,
    links: Arc<watch::Sender<Links>>,
    addresses: Arc<watch::Sender<Addresses>>,
    number: usize,
}

impl Maker {
    /// A server's listener, and a link to it from each proxy.
    async fn open(&self, server: ServerIndex) -> Result<(), Fault> {
        let address = servers::open(self.truth.clone(), server).await?;
        let on = tokio::runtime::Handle::current();
        for proxy in 0..self.number {
            let link = Link::open(&on, Some(address), u64::from(server) << 20 | proxy as u64)?;
            self.addresses
                .send_modify(|a| _ = a.insert((proxy, server), link.address));
            self.links
                .send_modify(|l| _ = l.insert((proxy, server), link));
        }
        Ok(())
    }
}
