//! Configuration files, environment and command line of a proxy.

use crate::process::{Fault, Plan};
use crate::{discovery, members, settings, Setup, Testbed};
use std::path::PathBuf;

/// Placeholder in the operators' file for the proxy's own folder.
pub const FOLDER: &str = "{folder}";

/// Raises the event-loop lag at which a proxy reports reduced availability to balancers: on a machine busy with tests loops are late.
const LATE_LOOP: &str = "availability {\n lag 1s\n}\n";

impl Testbed {
    pub(crate) fn place(&self, proxy: usize) -> u16 {
        (proxy % self.setup.site.places.max(1)) as u16
    }

    /// Sets the program that the proxy's next process runs.
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

    /// Writes the files of a proxy for its next start or reload.
    pub(crate) fn configure(&self, proxy: usize) -> Result<(), Fault> {
        let at = &self.proxies[proxy];
        let (index, records) = {
            let inner = self.history.lock();
            (inner.list.index(), inner.list.records().collect::<Vec<_>>())
        };
        let known = discovery::listing(
            &self.history,
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
        // Replaced by a rename, as the proxy may be reading the former file.
        let write = |name: &str, text: String| {
            let part = folder.join(format!("{name}.part"));
            std::fs::write(&part, text)
                .and_then(|()| std::fs::rename(&part, folder.join(name)))
                .map_err(|e| Fault::new(format!("{name} of proxy {proxy}: {e}")))
        };
        write("config.json", config.to_string())?;
        let section = members::section(&self.setup, &self.datagram_links, proxy, folder);
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
            std::fs::set_permissions(folder.join(members::KEY_FILE), owner).map_err(|e| {
                Fault::new(format!(
                    "cannot set the permissions of proxy {proxy}'s key file: {e}"
                ))
            })?;
        }
        let temporary = folder.join("tmp");
        std::fs::create_dir_all(&temporary).map_err(|e| {
            Fault::new(format!(
                "cannot create a temporary folder for proxy {proxy}: {e}"
            ))
        })
    }

    /// Writes a proxy's files and returns the plan of its process; `listen`: address on which to serve clients.
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
        let program =
            program.ok_or_else(|| Fault::new("no proxy program is set in Setup::programs"))?;
        let log = self
            .setup
            .logs
            .as_ref()
            .map(|folder| folder.join(format!("n{proxy}.log")));
        Ok(Plan {
            program,
            arguments: vec!["serve".to_owned()],
            variables,
            files: self.setup.sockets,
            log,
        })
    }
}
