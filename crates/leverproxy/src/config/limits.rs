//! How the process's file descriptors and memory are divided among clients, record servers and everything else.

use super::platform_file::ProcessLimits;
use super::ConfigError;
use configuration::model::Model;

/// The descriptors and the memory that each part may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Connections of clients.
    pub clients: usize,
    /// From this many client connections on, an idle one is closed after [`super::ClientLimits::idle`].
    pub crowded: usize,
    /// From this many client connections on, an idle one is closed at once.
    pub packed: usize,
    /// Connections to record servers.
    pub upstream: usize,
    /// Bytes of commands that have not arrived in full, over all clients.
    pub unfinished: usize,
    /// Bytes of large answers that wait for their clients, over all clients.
    pub unsent_answers: usize,
    /// Bytes of memory of the whole process.
    pub memory: usize,
}

impl Limits {
    /// What is left beside another process of the same proxy that holds this many connections (clients, record servers).
    /// A quarter is always left, so that a hot restart does not leave the new process without any.
    pub fn remaining_after(self, (clients, upstream): (usize, usize)) -> Limits {
        let left = |all: usize, used: usize| all.saturating_sub(used).max(all / 4);
        Limits {
            clients: left(self.clients, clients),
            upstream: left(self.upstream, upstream),
            ..self
        }
    }
}

/// The part of the memory for large answers on their way is one in so many, as for unfinished commands.
const UNSENT_ANSWERS_SHARE: usize = 8;
/// Descriptors kept for what serves no client: the standard streams (3), epoll, what wakes the loop (2, and a copy for
/// each of four signals and five threads), the listener and a connection that is accepted to be rejected, two watches
/// while discovery moves, the next process (a listener, four links, and one rejected), the fleet's socket, and files for a
/// moment (the load, a configuration, the state file with its lock and its folder).
const RESERVED_DESCRIPTORS: usize = 32;
/// Most connections of balancers that have sent no request, beside the limit of clients.
pub const MAX_BALANCER_CONNECTIONS: usize = 16;
/// Descriptors kept for the operators' socket and beside the health checks' own number.
const HEALTH_RESERVE: usize = 10;
const DEFAULT_SOCKETS: usize = 1_024;
const DEFAULT_MEMORY_MB: usize = 128;
const MIN_MEMORY_MB: usize = 16;
const MIN_SOCKETS: usize = 64;

/// Divides what the platform allows, or less where the operators' file or the system (`open_files`) allows less.
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
            format!("{sockets} are too few for the health listeners, which take {for_checks}");
        return Err(ConfigError::new("limits.sockets", problem));
    }
    let sockets = open_files.map_or(sockets, |most| within_system_limit(most, sockets, reserved));
    let shared = sockets - reserved;
    let operators = &model.limits;
    // A request takes a client's connection for all its time and a record server's for a part of it.
    let clients = operators.clients.of(shared);
    Ok(Limits {
        clients,
        crowded: operators.crowded.of(sockets),
        packed: operators.packed.of(sockets),
        upstream: shared - clients,
        unfinished: operators.unfinished.of(memory),
        unsent_answers: memory / UNSENT_ANSWERS_SHARE,
        memory,
    })
}

/// Descriptors and bytes of memory in all.
fn allowed_totals(allowed: &ProcessLimits, model: &Model) -> Result<(usize, usize), ConfigError> {
    let sockets = allowed.sockets.unwrap_or(DEFAULT_SOCKETS);
    let memory_mb = allowed.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
    if memory_mb < MIN_MEMORY_MB {
        return Err(ConfigError::new(
            "limits.memory_mb",
            format!("{memory_mb} is under {MIN_MEMORY_MB}"),
        ));
    }
    if sockets < MIN_SOCKETS {
        return Err(ConfigError::new(
            "limits.sockets",
            format!("{sockets} is under {MIN_SOCKETS}"),
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

/// Descriptors that are neither clients' nor record servers', and how many of them health checks take.
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

/// The descriptors to divide where the system allows this process only `most`.
///
/// Without it clients would fill up what discovery and record servers need: clients' part has to be used up before the
/// system's limit is reached.
fn within_system_limit(most: usize, sockets: usize, reserved: usize) -> usize {
    if most >= sockets {
        return sockets;
    }
    let advice =
        "Raise the limit (`ulimit -n`, `LimitNOFILE=`), or state no more `sockets` than it allows.";
    if most < reserved + MIN_SOCKETS / 2 {
        log::warn!(advice; "configuration: {most} open files are allowed, too few to keep any from clients");
        return sockets;
    }
    log::warn!(advice; "configuration: {most} open files are allowed, fewer than {sockets} sockets");
    most
}
