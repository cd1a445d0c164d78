//! Network between proxies and servers: delay by building, jitter, losses with retransmission, and cuts.

use crate::Micros;
use rand::Rng;

/// Delays and losses of the network, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// One-way delay inside a building.
    pub within: Micros,
    /// One-way delay between two buildings.
    pub between: Micros,
    /// Maximum jitter, as a fraction of the one-way delay.
    pub jitter: f64,
    /// Probability, from 0 to 1, that a transmission is lost; each further loss doubles the retransmission delay.
    pub loss: f64,
    /// Delay until the first retransmission of a lost message.
    pub resend: Micros,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            within: 300,
            between: 600,
            jitter: 0.1,
            loss: 0.0,
            resend: 200_000,
        }
    }
}

/// End of a cut: a whole building or a single proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All proxies and servers in a building.
    Place(u16),
    /// One proxy.
    Proxy(usize),
}

/// Source or destination of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The building.
    pub place: u16,
    /// Index of the proxy; `None` for a server.
    pub proxy: Option<usize>,
}

impl Location {
    fn is_at(self, end: End) -> bool {
        match end {
            End::Place(place) => self.place == place,
            End::Proxy(proxy) => self.proxy == Some(proxy),
        }
    }
}

/// The network between proxies and servers.
#[derive(Clone, Debug)]
pub struct Network {
    set: Settings,
    /// Blocked directions as (from, to). A cut in both directions takes two entries.
    cuts: Vec<(End, End)>,
    /// Additional loss probability during a fault, from 0 to 1.
    extra_loss: f64,
}

/// Maximum number of retransmissions of a message; the last one always arrives.
const MAX_RESENDS: u32 = 6;

impl Network {
    /// A network without cuts.
    pub fn new(set: Settings) -> Network {
        Network {
            set,
            cuts: Vec::new(),
            extra_loss: 0.0,
        }
    }

    /// Cuts one direction. Equal cuts accumulate: each one has to be healed.
    pub fn cut(&mut self, from: End, to: End) {
        self.cuts.push((from, to));
    }

    /// Removes one cut with these ends.
    pub fn heal(&mut self, from: End, to: End) {
        if let Some(at) = self.cuts.iter().position(|cut| *cut == (from, to)) {
            self.cuts.swap_remove(at);
        }
    }

    /// Sets the additional loss probability; 0 ends it.
    pub fn set_extra_loss(&mut self, loss: f64) {
        self.extra_loss = loss.clamp(0.0, 1.0);
    }

    /// Whether no cut blocks this direction.
    pub fn passes(&self, from: Location, to: Location) -> bool {
        !self
            .cuts
            .iter()
            .any(|(a, b)| from.is_at(*a) && to.is_at(*b))
    }

    /// One-way delay of a message; `None` if a cut blocks it.
    pub fn one_way(&self, from: Location, to: Location, random: &mut impl Rng) -> Option<Micros> {
        if !self.passes(from, to) {
            return None;
        }
        let way = if from.place == to.place {
            self.set.within
        } else {
            self.set.between
        };
        let jitter = (way as f64 * self.set.jitter * random.random::<f64>()) as Micros;
        let mut took = way + jitter;
        let loss = (self.set.loss + self.extra_loss).min(1.0);
        // Without losses, no random number is drawn for them.
        if loss > 0.0 {
            for time in 0..MAX_RESENDS {
                if random.random::<f64>() >= loss {
                    break;
                }
                took += self.set.resend << time;
            }
        }
        Some(took)
    }
}
