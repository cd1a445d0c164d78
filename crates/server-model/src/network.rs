//! The way between proxies and servers: delay by place, jitter, losses that cost a resend, and cuts.

use crate::Micros;
use rand::Rng;

/// Delays and losses of the network, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// One way inside a building, and from one to another.
    pub within: Micros,
    /// One way from one building to another.
    pub between: Micros,
    /// The most that a message is late, as a part of its way.
    pub jitter: f64,
    /// Part of the messages that are lost once, and what it takes to send one again; twice lost takes twice that more.
    pub loss: f64,
    /// Time until a lost message is sent again.
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

/// One of those that a cut can part: all of a place, or a proxy alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// All that stands in a building.
    Place(u16),
    /// One proxy.
    Proxy(usize),
}

/// Where a message starts or ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Spot {
    /// The building.
    pub place: u16,
    /// If it is a proxy.
    pub proxy: Option<usize>,
}

impl Spot {
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
    /// What can't pass, from one end to another. A cut both ways is two of these.
    cuts: Vec<(End, End)>,
    /// Further loss, while there is a trouble that brings it.
    extra_loss: f64,
}

/// However often a message is lost, it is sent again so often.
const RESENDS: u32 = 6;

impl Network {
    /// A network without cuts.
    pub fn new(set: Settings) -> Network {
        Network {
            set,
            cuts: Vec::new(),
            extra_loss: 0.0,
        }
    }

    /// Cuts one direction. Cuts of one kind add up: each has to be healed.
    pub fn cut(&mut self, from: End, to: End) {
        self.cuts.push((from, to));
    }

    /// Undoes one cut of that kind.
    pub fn heal(&mut self, from: End, to: End) {
        if let Some(at) = self.cuts.iter().position(|cut| *cut == (from, to)) {
            self.cuts.swap_remove(at);
        }
    }

    /// Adds to the part of the messages that are lost; 0: no longer.
    pub fn set_extra_loss(&mut self, loss: f64) {
        self.extra_loss = loss.clamp(0.0, 1.0);
    }

    /// No cut stands between.
    pub fn passes(&self, from: Spot, to: Spot) -> bool {
        !self
            .cuts
            .iter()
            .any(|(a, b)| from.is_at(*a) && to.is_at(*b))
    }

    /// What a message takes; none: it does not come through.
    pub fn one_way(&self, from: Spot, to: Spot, random: &mut impl Rng) -> Option<Micros> {
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
        // Without losses no number is drawn for them.
        if loss > 0.0 {
            for time in 0..RESENDS {
                if random.random::<f64>() >= loss {
                    break;
                }
                took += self.set.resend << time;
            }
        }
        Some(took)
    }
}
