//! Tokens that identify the owner of a descriptor.

use super::slab::{Key, GENERATIONS};

/// The owner of a descriptor. epoll carries the token as 64 bits: kind, generation and index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Token {
    /// The clients' listener.
    Listener,
    /// The pipe through which signals and other threads wake the event loop.
    Commands,
    /// A watch on the endpoint list.
    Discovery(Key),
    /// A client.
    Client(Key),
    /// A connection to a record server.
    Upstream(Key),
    /// A listener for balancers' health checks, with its index.
    HealthListener(u16),
    /// A balancer's health check.
    Health(Key),
    /// The listener of the control socket.
    ControlSocketListener,
    /// An operator's connection to the control socket.
    ControlSocket(Key),
    /// The listener of the admin API.
    AdminListener,
    /// A call to the admin API.
    Admin(Key),
    /// The listener for the next process of a hot restart.
    HotRestartListener,
    /// A connection to another process of this proxy.
    HotRestart(Key),
    /// The socket for datagrams of other proxies.
    Datagrams,
}

impl Token {
    /// Whether the token belongs to health checks or to the admin API.
    pub(super) fn is_operational(self) -> bool {
        matches!(
            self,
            Token::Health(_) | Token::HealthListener(_) | Token::Admin(_) | Token::AdminListener
        )
    }

    pub(super) fn encode(self) -> u64 {
        let (kind, key) = match self {
            Token::Listener => (0, None),
            Token::Commands => (1, None),
            Token::Discovery(key) => (2, Some(key)),
            Token::Client(key) => (3, Some(key)),
            Token::Upstream(key) => (4, Some(key)),
            Token::HealthListener(position) => (5, Some(position_key(position))),
            Token::Health(key) => (6, Some(key)),
            Token::ControlSocketListener => (7, None),
            Token::ControlSocket(key) => (8, Some(key)),
            Token::AdminListener => (9, None),
            Token::Admin(key) => (10, Some(key)),
            Token::HotRestartListener => (11, None),
            Token::HotRestart(key) => (12, Some(key)),
            Token::Datagrams => (13, None),
        };
        let key = key.map_or(0, |key| {
            u64::from(key.generation) << 32 | u64::from(key.index)
        });
        kind << 56 | key
    }

    pub(super) fn decode(raw: u64) -> Option<Token> {
        let key = Key {
            index: raw as u32,
            generation: (raw >> 32) as u32 % GENERATIONS,
        };
        Some(match raw >> 56 {
            0 => Token::Listener,
            1 => Token::Commands,
            2 => Token::Discovery(key),
            3 => Token::Client(key),
            4 => Token::Upstream(key),
            5 => Token::HealthListener(raw as u16),
            6 => Token::Health(key),
            7 => Token::ControlSocketListener,
            8 => Token::ControlSocket(key),
            9 => Token::AdminListener,
            10 => Token::Admin(key),
            11 => Token::HotRestartListener,
            12 => Token::HotRestart(key),
            13 => Token::Datagrams,
            _ => return None,
        })
    }
}

fn position_key(position: u16) -> Key {
    Key {
        index: position.into(),
        generation: 0,
    }
}
