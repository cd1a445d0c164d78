//! How many of a tenant's requests are within its quota, without which: their marks, dealt out anew.

use rand::Rng;
use rustc_hash::FxHashMap;
use simulation_engine::streams::{Stream, Streams};

/// Marks that lie in a tenant's bag. One in so many requests draws its own, and what is drawn is so many requests late.
const BAG: usize = 64;

/// Each first try puts its true mark into its tenant's bag and draws one: as many come out as went in.
pub struct Lots {
    draws: Stream,
    bags: Vec<Vec<bool>>,
    /// By request that is not over: its repeats keep its mark.
    dealt: FxHashMap<u64, bool>,
}

impl Lots {
    pub fn new(tenants: usize, streams: &Streams) -> Lots {
        let bags = vec![Vec::with_capacity(BAG); tenants];
        Lots {
            draws: streams.stream("lots", 0),
            bags,
            dealt: FxHashMap::default(),
        }
    }

    /// For a try of this request, whose true mark is `within`.
    pub fn draw(&mut self, request: u64, tenant: usize, within: bool) -> bool {
        let Lots { draws, bags, dealt } = self;
        let Some(bag) = bags.get_mut(tenant) else {
            return within;
        };
        *dealt.entry(request).or_insert_with(|| {
            if bag.len() < BAG {
                bag.push(within);
                return within;
            }
            std::mem::replace(&mut bag[draws.random_range(0..BAG)], within)
        })
    }

    pub fn settled(&mut self, request: u64) {
        self.dealt.remove(&request);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn as_many_marks_come_out_as_go_in_and_not_the_same() {
        let mut lots = Lots::new(1, &Streams::new(1));
        let truth = |request: u64| request.is_multiple_of(5);
        let (mut within, mut hits) = (0_u64, 0);
        for request in 0..10_000 {
            let drawn = lots.draw(request, 0, truth(request));
            assert_eq!(
                lots.draw(request, 0, truth(request)),
                drawn,
                "a repeat keeps its mark"
            );
            lots.settled(request);
            (within, hits) = (
                within + u64::from(drawn),
                hits + u64::from(drawn && truth(request)),
            );
        }
        assert!(within.abs_diff(2_000) <= BAG as u64, "{within}");
        // A fifth of them by chance.
        assert!(hits < 500, "{hits}");
    }
}
