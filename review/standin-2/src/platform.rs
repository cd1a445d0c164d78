//! The platform: settings, and proxies started with the deploy file's command.

use crate::client::{Answer, Client};
use crate::record::Record;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// The values of the settings that differ between the cases.
pub struct Settings {
    /// `FamilyInfo.TokenMode`.
    pub tokens: &'static str,
    /// `FamilyInfo.Behind`.
    pub behind: &'static str,
    pub memory_mb: usize,
    pub sockets: usize,
    /// Two classes of writes with a key, in place of the one that must never run twice: the group drops a repeat of
    /// `confirm-ride` for [`SHORT_WINDOW_MS`], and one of `partner-ride` for five times as long.
    pub keyed: bool,
    /// The text of the operators' file, if there is one.
    pub operators: Option<&'static str>,
}

/// For how long the group drops a repeat of a `confirm-ride` with a key.
pub const SHORT_WINDOW_MS: u64 = 700;

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            tokens: "client",
            behind: "reject",
            memory_mb: 192,
            sockets: 1_024,
            keyed: false,
            operators: None,
        }
    }
}

impl Settings {
    /// The settings object: the classes, tenants and limits of the wire page's example.
    fn json(&self) -> String {
        let Settings { tokens, behind, .. } = self;
        let write = |name: &str, effect: &str, group: &str, window_ms: u64| {
            format!(
                r#"{{"Deadline":3000000,"Effect":"{effect}","GoalTime":1000000,"Group":"{group}","Importance":3.0,"LateValue":0.5,"Name":"{name}","Streaming":false,"Window":{}}}"#,
                window_ms * 1000
            )
        };
        let (writes, needs, bounds) = if self.keyed {
            let short = write("confirm-ride", "keyed", "cell", SHORT_WINDOW_MS);
            let long = write("partner-ride", "keyed", "cell", 5 * SHORT_WINDOW_MS);
            (format!("{short},{long}"), r#","update","update""#, ",0,0")
        } else {
            (
                write("confirm-ride", "unsafe", "all", 5_000),
                r#","update""#,
                ",0",
            )
        };
        format!(
            r#"{{"Balancers":3,"Me":0,"MyZone":0,"Zones":["thamel-office","lalitpur-office"],"HostTypes":["std-4core"],
"Classes":[
{{"Deadline":500000,"Effect":"safe","GoalTime":200000,"Group":"all","Importance":1.0,"LateValue":0.0,"Name":"nearby-cabs","Streaming":false,"Window":5000000}},
{{"Deadline":1200000,"Effect":"safe","GoalTime":300000,"Group":"all","Importance":2.0,"LateValue":0.2,"Name":"my-booking","Streaming":false,"Window":5000000}},
{{"Deadline":750000,"Effect":"safe","GoalTime":250000,"Group":"all","Importance":2.0,"LateValue":0.0,"Name":"trip-history","Streaming":false,"Window":5000000}},
{writes}],
"Realms":[{{"Name":"ratna-park","QuotaPerS":268.0,"Share":0.54}},{{"Name":"koteshwor","QuotaPerS":139.0,"Share":0.28}},{{"Name":"patan-dhoka","QuotaPerS":89.0,"Share":0.18}}],
"OverShareWorth":0.05,"RegistryMode":"on_request","WeightKind":"nominal","WorthBy":"request",
"Clients":{{"MarksRetry":true}},"DomainType":"replicas","Granularity":5000,"Layers":["booking-db"],"Tier":0,
"FamilyInfo":{{"Behind":"{behind}","CountedFrom":0,"HoldsFor":0,"NeedsByClass":["recent","own_writes","loose"{needs}],"Positions":true,"RoleListed":"off","StalenessBound":[3000000,0,0{bounds}],"Synchronous":false,"TokenMode":"{tokens}"}},
"LoadReport":{{"Fields":["x0","x1","backlog"],"How":"on_probe"}},
"PolicyLimits":{{"CpuUsPerRequest":0.0,"CpuUsPerS":97483,"DialTimeout":250000,"Keepalive":30000000,"MaxOpen":24370,"MaxRetryAfter":2000000,"MayCancel":true,"MayTell":false,"Probing":true,"RetryAfter":true,"SecondCopies":true,"StreamsPerConn":1,"TryLimit":8}},
"Prices":{{"Connection":0.0,"CrossZone":0.01,"Handshake":0.0,"LateFail":0.042,"Probe":0.02,"Waste":0.022}},
"Rules":{{"AskWithin":10000000,"GraceToAnswer":20000,"OverloadFactor":2.0,"StartCapacity":0.15,"StopSendingWithin":500000,"TipAfter":1500000,"WarmAfter":18000000}},
"ScoreParts":{{"Whole":0.35,"WorstClass":0.2,"WorstTenant":0.1,"WorstWindow":0.35}}}}"#
        )
    }
}

/// A machine of one proxy: its addresses, its configuration and its folder for temporary files.
pub struct Machine {
    root: PathBuf,
    folder: PathBuf,
    pub listen: SocketAddr,
    discovery: SocketAddr,
    settings: Settings,
    known: String,
    record: Record,
    started: usize,
}

impl Machine {
    pub fn new(
        root: &Path,
        settings: Settings,
        discovery: SocketAddr,
        known: String,
        record: &Record,
    ) -> io::Result<Machine> {
        let name = format!("leverproxy-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder)?;
        Ok(Machine {
            root: root.to_owned(),
            folder,
            listen: free_address()?,
            discovery,
            settings,
            known,
            record: record.clone(),
            started: 0,
        })
    }

    /// Starts the deploy file's `run`.
    pub fn start(&mut self) -> io::Result<Proxy> {
        self.started += 1;
        let number = self.started;
        let admin = free_address()?;
        let config = self.folder.join(format!("config-{number}.json"));
        let temporary = self.folder.join("tmp");
        fs::create_dir_all(&temporary)?;
        let Settings {
            memory_mb, sockets, ..
        } = self.settings;
        let text = format!(
            r#"{{"name":"n0","listen":"{}","admin":"{admin}","discovery":"{}","seed":"8c1f30d27a5be96{number}","limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},"known":{},"settings":{}}}"#,
            self.listen,
            self.discovery,
            self.known,
            self.settings.json()
        );
        fs::write(&config, text)?;
        let log = self.folder.join(format!("log-{number}.txt"));
        let file = fs::File::create(&log)?;
        let operators = self.folder.join("operators.conf");
        fs::write(&operators, self.settings.operators.unwrap_or_default())?;
        let operators = self
            .settings
            .operators
            .map_or(String::new(), |_| operators.display().to_string());
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(run_command(&self.root)?)
            .current_dir(&self.root)
            .env("LB_CONFIG", &config)
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", self.listen.to_string())
            .env("LB_DISCOVERY", self.discovery.to_string())
            .env("LB_ADMIN", admin.to_string())
            .env("TMPDIR", &temporary)
            .env("RUST_LOG", "info")
            .env("LB_OPERATORS", operators)
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()?;
        let guard = guard(child.id())?;
        RUNNING
            .lock()
            .unwrap_or_else(|e| e.into_inner())
            .push(child.id());
        self.record
            .line(format!("platform: process {number} started, admin {admin}"));
        Ok(Proxy {
            child,
            guard,
            number,
            admin,
            listen: self.listen,
            log,
            record: self.record.clone(),
        })
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.folder);
    }
}

/// The deploy file's command for one proxy.
fn run_command(root: &Path) -> io::Result<String> {
    let text = fs::read_to_string(root.join("deploy/balancer.toml"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \""));
    let command = line.and_then(|line| line.split('"').next());
    command
        .map(str::to_owned)
        .ok_or_else(|| io::Error::other("the deploy file has no run"))
}

/// A shell that kills the process with this id once this program has ended, in whatever way: then its input ends.
fn guard(pid: u32) -> io::Result<Child> {
    Command::new("/bin/sh")
        .arg("-c")
        .arg(format!("read -r _; kill -KILL {pid}"))
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
}

/// Process ids of the proxies that have not been killed.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all proxies, for an end of this program that drops nothing.
pub fn kill_all() {
    for pid in RUNNING.lock().unwrap_or_else(|e| e.into_inner()).iter() {
        let command = format!("kill -KILL {pid}");
        _ = Command::new("/bin/sh").arg("-c").arg(command).status();
    }
}

fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// A running process of the proxy. It is killed when dropped.
pub struct Proxy {
    child: Child,
    guard: Child,
    pub number: usize,
    admin: SocketAddr,
    listen: SocketAddr,
    log: PathBuf,
    record: Record,
}

impl Proxy {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process says yes on its second address and answers an empty query.
    pub fn wait_ready(&mut self, span: Duration) -> io::Result<()> {
        let end = Instant::now() + span;
        while Instant::now() < end {
            if let Some(status) = self.exited() {
                return Err(io::Error::other(format!("the proxy has ended: {status}")));
            }
            let yes = self
                .call("GET", "/api/ready", "")
                .is_ok_and(|answer| answer.starts_with("HTTP/1.1 2"));
            let answers =
                yes && Client::connect(self.listen).is_ok_and(|mut c| c.ask("") == Answer::Empty);
            if answers {
                self.record
                    .line(format!("platform: process {} says yes", self.number));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(io::Error::other("the proxy is not ready"))
    }

    pub fn call(&self, method: &str, path: &str, body: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.admin, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        write!(
            stream,
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.admin,
            body.len()
        )?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer)
    }

    /// Sends a signal by its name, through the shell's own `kill`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        self.record
            .line(format!("platform: {name} to process {}", self.number));
        let command = format!("kill -{name} {}", self.pid());
        Command::new("/bin/sh").arg("-c").arg(command).status()?;
        Ok(())
    }

    pub fn exited(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Resident memory, in MiB.
    pub fn resident_mb(&self) -> f64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb: Option<f64> = line.and_then(|l| l.trim().split(' ').next()?.parse().ok());
        kb.unwrap_or(0.0) / 1024.0
    }

    pub fn kill(&mut self) {
        // The guard first: the id may belong to another process once the proxy is gone.
        _ = self.guard.kill();
        _ = self.guard.wait();
        _ = self.child.kill();
        _ = self.child.wait();
        let pid = self.pid();
        let mut running = RUNNING.lock().unwrap_or_else(|e| e.into_inner());
        running.retain(|known| *known != pid);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.kill();
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        for line in log.lines().take(40) {
            self.record.line(format!("log {}: {line}", self.number));
        }
    }
}
