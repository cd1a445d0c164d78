//! Differences between policies over seeds, and how sure they are.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// A difference of paired runs.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Difference {
    /// The mean over the pairs.
    pub mean: f64,
    /// Where the mean lies with 95% confidence, by the bootstrap over seeds.
    pub low: f64,
    /// The upper end of the confidence interval.
    pub high: f64,
    /// The mean over the standard deviation of the pairs (Cohen's d for pairs); 0 where they don't scatter.
    pub effect: f64,
    /// Number of pairs.
    pub pairs: usize,
}

/// What a difference says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// Better, with 95% confidence.
    Better,
    /// Worse, with 95% confidence.
    Worse,
    /// Neither can be told.
    CantTell,
}

impl Verdict {
    /// The verdict in words.
    pub fn name(self) -> &'static str {
        match self {
            Verdict::Better => "better",
            Verdict::Worse => "worse",
            Verdict::CantTell => "can't tell",
        }
    }
}

impl Difference {
    /// What the confidence interval says.
    pub fn verdict(&self) -> Verdict {
        match self {
            d if d.low > 0.0 => Verdict::Better,
            d if d.high < 0.0 => Verdict::Worse,
            _ => Verdict::CantTell,
        }
    }
}

impl std::fmt::Display for Difference {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:+.4} [{:+.4}, {:+.4}]", self.mean, self.low, self.high)
    }
}

const RESAMPLES: usize = 4_000;

/// Of pairs by seed: `new` less `old`. One pair tells nothing of its spread.
pub fn paired(old: &[f64], new: &[f64]) -> Option<Difference> {
    let pairs: Vec<f64> = old.iter().zip(new).map(|(a, b)| b - a).collect();
    if pairs.len() < 2 || old.len() != new.len() {
        return None;
    }
    let mut rng = StdRng::seed_from_u64(1);
    let mut means: Vec<f64> = (0..RESAMPLES)
        .map(|_| {
            (0..pairs.len())
                .map(|_| pairs[rng.random_range(0..pairs.len())])
                .sum::<f64>()
                / pairs.len() as f64
        })
        .collect();
    means.sort_by(f64::total_cmp);
    let at = |part: f64| means[((RESAMPLES - 1) as f64 * part) as usize];
    let (mean, deviation) = moments(&pairs);
    let effect = if deviation > 0.0 {
        mean / deviation
    } else {
        0.0
    };
    Some(Difference {
        mean,
        low: at(0.025),
        high: at(0.975),
        effect,
        pairs: pairs.len(),
    })
}

/// Mean and standard deviation.
pub fn moments(of: &[f64]) -> (f64, f64) {
    let number = of.len().max(1) as f64;
    let mean = of.iter().sum::<f64>() / number;
    let squares: f64 = of.iter().map(|x| (x - mean).powi(2)).sum();
    (mean, (squares / (number - 1.0).max(1.0)).sqrt())
}

/// Spearman's rank correlation; none of fewer than three pairs, or where one side is all alike.
pub fn rank_correlation(a: &[f64], b: &[f64]) -> Option<f64> {
    if a.len() != b.len() || a.len() < 3 {
        return None;
    }
    let (a, b) = (ranks(a), ranks(b));
    let ((mean_a, dev_a), (mean_b, dev_b)) = (moments(&a), moments(&b));
    if dev_a == 0.0 || dev_b == 0.0 {
        return None;
    }
    let together: f64 = a
        .iter()
        .zip(&b)
        .map(|(x, y)| (x - mean_a) * (y - mean_b))
        .sum();
    Some(together / (a.len() as f64 - 1.0) / dev_a / dev_b)
}

/// From 1; equals share the mean of their ranks.
fn ranks(of: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..of.len()).collect();
    order.sort_by(|x, y| of[*x].total_cmp(&of[*y]));
    let mut ranks = vec![0.0; of.len()];
    let mut at = 0;
    while at < order.len() {
        let alike = order[at..]
            .iter()
            .take_while(|i| of[**i] == of[order[at]])
            .count();
        let rank = at as f64 + (alike as f64 + 1.0) / 2.0;
        order[at..at + alike].iter().for_each(|i| ranks[*i] = rank);
        at += alike;
    }
    ranks
}
