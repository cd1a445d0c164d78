//! Settings of a testbed.

use crate::foreign::ForeignAnswers;
use crate::members::Members;
use crate::process::{self, Fault};
use invariant_checkers::Rule;
use server_model::platform::Platform;
use server_model::{catalog, clients, site};
use std::path::PathBuf;
use std::time::Duration;

/// Environment variable with an existing folder for proxies' logs, if the setup names no other.
const LOGS_VARIABLE: &str = "TESTBED_LOGS";

/// Environment variable with the proxy program to start, in place of the one built in the caller's folder.
const PROGRAM_VARIABLE: &str = "TESTBED_PROGRAM";

/// Settings of a testbed.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The record servers.
    pub site: site::Settings,
    /// Discovery.
    pub list: catalog::Settings,
    /// The clients, and the number of proxies.
    pub clients: clients::Settings,
    /// Platform settings of the proxies.
    pub platform: Platform,
    /// Seed of all random draws.
    pub seed: u64,
    /// Proxy programs, assigned to the proxies in turn.
    pub programs: Vec<PathBuf>,
    /// The operators' file, the same for all proxies except for `FOLDER`.
    pub operators: String,
    /// Membership of the proxies; none: disabled. The relays between the members are opened only at the start.
    pub members: Option<Members>,
    /// Whether proxies have an admin address.
    pub admin: bool,
    /// Whether proxies get an endpoint list in their configuration.
    pub known: bool,
    /// Folder for proxies' logs, one file each.
    pub logs: Option<PathBuf>,
    /// Replaces the programs by proxies that violate this rule.
    pub planted_violation: Option<Rule>,
    /// Limit of open descriptors of each proxy.
    pub sockets: u64,
    /// Memory limit in each proxy's configuration, in MB.
    pub memory_mb: u64,
    /// One in this many answers to reads begins and never ends, while its connection stays open; 0: none.
    pub endless_answers: u64,
    /// Answers to requests of clients outside the model.
    pub foreign_answers: ForeignAnswers,
    /// Time that clients wait beyond the deadline that they announce: on a busy machine, an answer given in time may arrive
    /// late by as much.
    pub slack: Duration,
}

impl Setup {
    /// Uses the proxy program in `TESTBED_PROGRAM`, or the one built in the caller's folder.
    pub fn new(site: site::Settings, clients: clients::Settings) -> Result<Setup, Fault> {
        Ok(Setup {
            site,
            list: catalog::Settings::default(),
            clients,
            platform: Platform::default(),
            seed: 1,
            programs: vec![match std::env::var_os(PROGRAM_VARIABLE) {
                Some(path) => path.into(),
                None => process::built("leverproxy")?,
            }],
            operators: String::new(),
            members: None,
            admin: false,
            known: true,
            logs: std::env::var_os(LOGS_VARIABLE).map(PathBuf::from),
            planted_violation: None,
            sockets: 1_024,
            memory_mb: 192,
            endless_answers: 0,
            foreign_answers: ForeignAnswers::default(),
            slack: Duration::ZERO,
        })
    }
}
