//! Shares of the load among proxies, and weighted selection.

use super::Settings;
use crate::account::Account;

pub(super) fn accounts(settings: &Settings) -> Vec<Account> {
    settings
        .tenants
        .iter()
        .map(|t| Account::new(t.quota).with_credit(t.credit.clone()))
        .collect()
}

/// Relative share of the requests per proxy.
pub(super) fn proxy_parts(settings: &Settings) -> Vec<f64> {
    let mut parts: Vec<f64> = (0..settings.proxies)
        .map(|n| ((n + 1) as f64).powf(-settings.proxy_skew))
        .collect();
    let busy = settings.busy_proxies.min(parts.len());
    if busy > 0 && busy < parts.len() {
        let (first, others) = parts.split_at_mut(busy);
        for (some, carry) in [
            (first, settings.busy_proxies_share),
            (others, 1.0 - settings.busy_proxies_share),
        ] {
            let sum: f64 = some.iter().sum();
            some.iter_mut().for_each(|part| *part *= carry / sum);
        }
    }
    parts
}

/// Index selected by `u`, from 0 to 1, in cumulative sums of shares.
pub(super) fn pick(sums: &[f64], u: f64) -> usize {
    let all = sums.last().copied().unwrap_or(0.0);
    sums.partition_point(|sum| *sum <= u * all)
        .min(sums.len().saturating_sub(1))
}

/// Pseudo-random number in [0, 1) that is determined by the seed.
pub fn hash_fraction(seed: u64) -> f64 {
    let z = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((z ^ (z >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}
