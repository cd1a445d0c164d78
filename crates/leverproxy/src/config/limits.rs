//! Divides the process's file descriptors and memory among clients, record servers and all other uses, from the limits of
//! the platform, the operators' file and the system.

use super::platform_file::ProcessLimits;
use super::ConfigError;
use configuration::model::Model;

/// Limits on descriptors and memory by use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum client connections.
    pub clients: usize,
    /// Above this many client connections, an idle connection is closed after [`super::ClientLimits::idle`].
    pub crowded: usize,
    /// Above this many client connections, an idle connection is closed after [`super::ClientLimits::idle`], and after two
    /// seconds at the latest.
    pub packed: usize,
    /// Maximum connections to record servers.
    pub upstream: usize,
    /// Maximum bytes of incompletely received commands, over all clients.
    pub unfinished: usize,
    /// Bytes of requests and their answers, over all clients, above which reading from clients is held back.
    pub requests: usize,
    /// Maximum bytes of large answers that are not sent yet, over all clients.
    pub unsent_answers: usize,
    /// Maximum memory of the whole process, in bytes.
    pub memory: usize,
}

impl Limits {
    /// The limits that remain while another process of the same proxy holds this many connections (to clients, to record
    /// servers). At least a quarter of each limit remains, so that the new process of a hot restart can serve.
    pub fn remaining_after(self, (clients, upstream): (usize, usize)) -> Limits {
        let remaining = |limit: usize, used: usize| limit.saturating_sub(used).max(limit / 4);
        Limits {
            clients: remaining(self.clients, clients),
            upstream: remaining(self.upstream, upstream),
            ..self
        }
    }

    /// The limits on memory while two processes of the same proxy run: each has half.
    pub fn with_half_the_memory(self) -> Limits {
        Limits {
            unfinished: self.unfinished / 2,
            requests: self.requests / 2,
            unsent_answers: self.unsent_answers / 2,
            ..self
        }
    }
}

/// Divisor of the memory for unsent large answers; the default for incompletely received commands is the same.
const UNSENT_ANSWERS_SHARE: usize = 8;
/// Divisor of the memory for requests and their answers. Buffers may take twice the bytes that are counted in them.
const REQUESTS_SHARE: usize = 4;
/// Descriptors reserved for uses other than connections of clients and record servers:
///
/// - the standard streams (3) and epoll;
/// - the sockets that wake the event loop (2, and a copy for each of four signals and five threads);
/// - the clients' listener, and a connection that is accepted only to be rejected;
/// - two watches while discovery changes its address;
/// - hot restart: a listener, four links, and one connection that is rejected;
/// - the fleet's socket;
/// - files that are open briefly: the load, a configuration, the state file with its lock and its folder.
const RESERVED_DESCRIPTORS: usize = 32;
/// Maximum connections from balancers that have sent no request, in addition to the limit of clients.
pub const MAX_BALANCER_CONNECTIONS: usize = 16;
/// Descriptors reserved for the operators' control socket, and for health checks in addition to their listeners' connection
/// limits.
const HEALTH_RESERVE: usize = 10;
const DEFAULT_SOCKETS: usize = 1_024;
const DEFAULT_MEMORY_MB: usize = 128;
const MIN_MEMORY_MB: usize = 16;
const MIN_SOCKETS: usize = 64;

/// Divides the smallest of the totals that the platform, the operators' file and the system (`open_files`) allow.
pub(super) fn divide(
    allowed: &ProcessLimits,
    model: &Model,
    has_admin: bool,
    open_files: Option<usize>,
) -> Result<Limits, ConfigError> {
    let (sockets, memory) = allowed_totals(allowed, model)?;
    let (reserved, for_checks) = reserved_descriptors(model, has_admin);
    if reserved + MIN_SOCKETS / 2 > sockets {
        let problem =
            format!("{sockets} descriptors are too few: the health listeners alone take {for_checks}; raise this limit, or lower their `connections`");
        return Err(ConfigError::new("limits.sockets", problem));
    }
    let sockets = open_files.map_or(sockets, |most| within_system_limit(most, sockets, reserved));
    let shared = sockets - reserved;
    let operators = &model.limits;
    // A request occupies a client connection for its whole duration, and a record server connection for part of it.
    let clients = operators.clients.of(shared);
    Ok(Limits {
        clients,
        crowded: operators.crowded.of(sockets),
        packed: operators.packed.of(sockets),
        upstream: shared - clients,
        unfinished: operators.unfinished.of(memory),
        requests: memory / REQUESTS_SHARE,
        unsent_answers: memory / UNSENT_ANSWERS_SHARE,
        memory,
    })
}

/// The total number of descriptors and bytes of memory.
fn allowed_totals(allowed: &ProcessLimits, model: &Model) -> Result<(usize, usize), ConfigError> {
    let sockets = allowed.sockets.unwrap_or(DEFAULT_SOCKETS);
    let memory_mb = allowed.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    if memory_mb < MIN_MEMORY_MB {
        return Err(ConfigError::new(
            "limits.memory_mb",
            format!("{memory_mb} MiB is below the minimum of {MIN_MEMORY_MB} MiB"),
        ));
    }
    if sockets < MIN_SOCKETS {
        return Err(ConfigError::new(
            "limits.sockets",
            format!("{sockets} is below the minimum of {MIN_SOCKETS} descriptors"),
        ));
    }
    let operators = &model.limits;
    let memory = memory_mb << 20;
    let stated_memory = operators.memory.and_then(|own| usize::try_from(own).ok());
    Ok((
        operators.sockets.map_or(sockets, |own| own.min(sockets)),
        stated_memory.map_or(memory, |own| own.min(memory)),
    ))
}

/// The number of descriptors reserved for uses other than clients and record servers, and how many of them are for health
/// checks.
fn reserved_descriptors(model: &Model, has_admin: bool) -> (usize, usize) {
    let listeners: usize = model.health.iter().map(|h| h.connections + 1).sum();
    let has_balancers = model.balancers.iter().any(|b| !b.networks.is_empty());
    let for_balancers = if has_balancers {
        MAX_BALANCER_CONNECTIONS
    } else {
        0
    };
    let for_checks = listeners + for_balancers;
    let for_admin = if has_admin {
        crate::control::admin::MAX_CONNECTIONS + 1
    } else {
        0
    };
    let for_health = if for_checks > 0 { HEALTH_RESERVE } else { 0 };
    let reserved = RESERVED_DESCRIPTORS + for_admin + for_checks + for_health;
    (reserved, for_checks)
}

/// The number of descriptors to divide if the system allows this process only `open_files`.
///
/// Clients must reach their own limit before the system's: otherwise they would use up the descriptors that discovery and
/// record servers need.
fn within_system_limit(open_files: usize, sockets: usize, reserved: usize) -> usize {
    if open_files >= sockets {
        return sockets;
    }
    let advice =
        "Raise the limit (`ulimit -n`, `LimitNOFILE=`), or set `sockets` to no more than the limit allows.";
    if open_files < reserved + MIN_SOCKETS / 2 {
        log::warn!(advice; "configuration: the system allows {open_files} open files, too few to reserve any besides those of clients");
        return sockets;
    }
    log::warn!(advice; "configuration: the system allows {open_files} open files, fewer than the limit of {sockets} sockets");
    open_files
}
