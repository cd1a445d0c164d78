//! Which requests are beyond their tenant's quota, as far as one of many proxies can tell by itself.
//!
//! A quota is in requests a second over all proxies. A proxy does not know which part of all requests it sees, so
//! that part is estimated from the tenants themselves: the rate of one that keeps to its quota, over that quota, is
//! never above the part. The middle of these ratios can't be moved by one tenant, and one that is far above it is
//! beyond. Where that tells nothing the part is taken as larger rather than smaller: what is within and marked as
//! beyond loses its whole worth when room is short, while what is beyond and not marked costs little.
//!
//! Proxies that hear each other say how much of each tenant's traffic they see ([`Quota::rates`], [`Quota::heard`]). Then the
//! part is told by tenant, and all parts together are the quota: one account over the fleet, as late as the words are.
//!
//! A loan that is repaid is quota that a tenant does without: [`Quota::withhold`].
//!
//! Plain data in, plain data out; time is an argument and never goes back.

use std::time::Duration;

/// Time since an origin of the caller's.
pub type Time = Duration;

/// Rates go by the requests of about this long.
const MEMORY: Duration = Duration::from_secs(3);
/// The part is judged anew this often: often against the memory, seldom against requests.
const JUDGED_EVERY: Duration = Duration::from_millis(500);
/// Within this the part is forgotten: a quiet minute does not make it smaller.
const HELD: Duration = Duration::from_secs(60);
/// Fewer requests than these in memory tell nothing of a rate: their number scatters by a quarter by itself.
const ENOUGH: f64 = 16.0;
/// A ratio stands out from here on, in times of the middle one: tenants use their quotas unequally, and one that
/// uses all of its own among others that use half is within.
const STANDS_OUT: f64 = 2.0;
/// A bucket holds what comes within this: what a quota of requests a second is stated by.
const DEPTH: Duration = Duration::from_secs(1);
/// And so many deviations of a Poisson stream over that time, and requests, which no rate explains.
const DEVIATIONS: f64 = 3.0;
const SPARE: f64 = 3.0;
/// Of the bucket, what those that are worth nothing leave to others; those worth less than the middle leave a share of it.
const LEFT: f64 = 0.5;
/// Where others tell of what they see, each proxy has this much of its even part beside what it sees: a tenant that was
/// never seen here is not wholly beyond with its first requests.
const PRIOR: f64 = 0.1;

#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// That share the quotas; 0 counts as 1.
    pub proxies: u32,
    /// By tenant, in requests a second over all proxies; 0: all that it asks counts in full.
    pub quotas: Vec<f64>,
    /// By class: what a request is worth, in any unit. One of a class that is not stated leaves nothing.
    pub worths: Vec<f64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mark {
    /// No quota holds for it.
    Free,
    Within,
    /// Within its quota, but of the share that its tenant does without: it repays, and is no cause to borrow.
    Withheld,
    Beyond,
}

/// What the others of a fleet see.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Others {
    /// Proxies of whom it is told.
    pub proxies: u32,
    /// By tenant, in requests a second, of all of them together.
    pub rates: Vec<f64>,
}

/// What a tenant has asked so far, repeats included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub within: u64,
    pub beyond: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tenant {
    quota: f64,
    /// Requests in memory, at the time of the last judgement and since.
    recent: f64,
    /// What is left in the bucket, and since when; none: it was never used, and is full.
    left: Option<(f64, Time)>,
    /// What would be left if nothing were withheld, at the same time.
    whole: f64,
    /// Requests a second, as last judged; and what others see.
    rate: f64,
    others: f64,
    /// The share of its quota that it does without, since when that was last counted.
    withheld: f64,
    counted: Time,
    counts: Counts,
}

impl Tenant {
    /// As it stands at this rate.
    fn bucket(&self, now: Time, rate: f64) -> Bucket {
        let usual = rate * DEPTH.as_secs_f64();
        let depth = usual + DEVIATIONS * usual.sqrt() + SPARE;
        let Some((left, since)) = self.left else {
            return Bucket {
                left: depth,
                whole: depth,
                depth,
            };
        };
        let more = rate * now.saturating_sub(since).as_secs_f64();
        let left = (left + more * (1.0 - self.withheld)).min(depth);
        Bucket {
            left,
            whole: (self.whole + more).min(depth),
            depth,
        }
    }
}

/// What is left, what would be if nothing were withheld, and what it holds.
struct Bucket {
    left: f64,
    whole: f64,
    depth: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Quota {
    proxies: u32,
    tenants: Vec<Tenant>,
    /// By class: the share of a bucket that it leaves to dearer ones.
    leaves: Vec<f64>,
    started: Option<Time>,
    judged: Time,
    /// The part of the fleet's requests that this proxy is taken to see; none: nothing tells yet.
    part: Option<f64>,
    /// Proxies that tell of what they see; none: the part is estimated.
    told: Option<u32>,
}

impl Quota {
    pub fn new(settings: &Settings) -> Quota {
        let mut quota = Quota::default();
        quota.configure(settings, Some);
        quota
    }

    /// From now on by these. `former` tells which of the tenants so far one is: it keeps what is known of it.
    pub fn configure(&mut self, settings: &Settings, former: impl Fn(usize) -> Option<usize>) {
        let known = std::mem::take(&mut self.tenants);
        let tenant = |(at, quota): (usize, &f64)| {
            let quota = if quota.is_finite() {
                quota.max(0.0)
            } else {
                0.0
            };
            let known = former(at)
                .and_then(|at| known.get(at))
                .copied()
                .unwrap_or_default();
            Tenant { quota, ..known }
        };
        self.tenants = settings.quotas.iter().enumerate().map(tenant).collect();
        let mut sorted = settings.worths.clone();
        sorted.sort_by(f64::total_cmp);
        // Not the dearest: this knows no work, and of two dear classes the dearer often takes the more of it.
        let middle = sorted
            .get(sorted.len().saturating_sub(1) / 2)
            .map_or(0.0, |m| m.max(f64::MIN_POSITIVE));
        let leaves = |worth: &f64| LEFT * (1.0 - worth / middle).clamp(0.0, 1.0);
        self.leaves = settings.worths.iter().map(leaves).collect();
        if std::mem::replace(&mut self.proxies, settings.proxies.max(1)) != self.proxies {
            self.part = None;
        }
    }

    /// A request of this tenant and class has come. A repeat takes nothing: the quota is of requests, not of tries. It
    /// is what a first try would be now.
    pub fn asked(&mut self, now: Time, tenant: usize, class: usize, repeated: bool) -> Mark {
        if self.tenants.get(tenant).is_none_or(|t| t.quota <= 0.0) {
            return Mark::Free;
        }
        self.look(now);
        let rate = self.rate_of(tenant);
        let Some(tenant) = self.tenants.get_mut(tenant) else {
            return Mark::Free;
        };
        let Bucket { left, whole, depth } = tenant.bucket(now, rate);
        let leaves = self.leaves.get(class).copied().unwrap_or(0.0);
        let least = if repeated {
            depth / 2.0
        } else {
            1.0 + leaves * depth
        };
        let (within, owed) = (left >= least, whole >= least);
        let taken = if repeated { 0.0 } else { 1.0 };
        tenant.left = Some((if within { left - taken } else { left }, now));
        // Who is within takes of both, or the two would drift apart and those beyond would find the rest.
        tenant.whole = if within || owed { whole - taken } else { whole };
        tenant.recent += if repeated { 0.0 } else { 1.0 };
        if within {
            tenant.counts.within += 1;
            Mark::Within
        } else {
            tenant.counts.beyond += 1;
            if owed {
                Mark::Withheld
            } else {
                Mark::Beyond
            }
        }
    }

    /// The part of all quotas that counts here. As long as nothing tells, all of it: what is beyond a whole quota
    /// here is so wherever the rest goes.
    pub fn part(&self) -> f64 {
        let least = 1.0 / f64::from(self.proxies.max(1));
        self.part.unwrap_or(1.0).clamp(least, 1.0)
    }

    /// Of what comes here, in requests a second by tenant: what others are to be told.
    pub fn rates(&mut self, now: Time) -> impl Iterator<Item = f64> + '_ {
        self.look(now);
        self.tenants.iter().map(|tenant| tenant.rate)
    }

    /// What others see. None: nobody tells, and the part is estimated again.
    pub fn heard(&mut self, others: Option<&Others>) {
        self.told = others.map(|others| others.proxies);
        let rates = others.map_or(&[][..], |others| &others.rates);
        for (at, tenant) in self.tenants.iter_mut().enumerate() {
            tenant.others = rates
                .get(at)
                .copied()
                .filter(|r| r.is_finite())
                .unwrap_or(0.0)
                .max(0.0);
        }
    }

    /// Requests a second that count as within here.
    pub fn rate_of(&self, tenant: usize) -> f64 {
        let Some(t) = self.tenants.get(tenant) else {
            return 0.0;
        };
        let part = self.told.map_or(self.part(), |others| {
            let proxies = f64::from(others) + 1.0;
            let prior = PRIOR * t.quota / proxies;
            (t.rate + prior) / (t.rate + t.others + prior * proxies)
        });
        t.quota * part.clamp(0.0, 1.0)
    }

    /// The share of that which a tenant uses.
    pub fn used(&self, tenant: usize) -> f64 {
        let rate = self.tenants.get(tenant).map_or(0.0, |t| t.rate);
        rate / self.rate_of(tenant).max(f64::MIN_POSITIVE)
    }

    /// From now on a tenant does without this share of its quota here. Returns the requests that it has done without
    /// since this was last said.
    pub fn withhold(&mut self, now: Time, tenant: usize, share: f64) -> f64 {
        let rate = self.rate_of(tenant);
        let Some(t) = self.tenants.get_mut(tenant) else {
            return 0.0;
        };
        // What was filled so far was filled at the former share.
        let Bucket { left, whole, .. } = t.bucket(now, rate);
        (t.left, t.whole) = (t.left.map(|_| (left, now)), whole);
        let before = t.withheld * rate * now.saturating_sub(t.counted).as_secs_f64();
        (t.withheld, t.counted) = (
            if share.is_finite() {
                share.clamp(0.0, 1.0)
            } else {
                0.0
            },
            now,
        );
        before
    }

    pub fn counts(&self) -> impl Iterator<Item = Counts> + '_ {
        self.tenants.iter().map(|tenant| tenant.counts)
    }

    fn look(&mut self, now: Time) {
        let started = *self.started.get_or_insert(now);
        if now.saturating_sub(self.judged.max(started)) >= JUDGED_EVERY {
            self.judge(now, started);
        }
    }

    /// Upwards at once, since requests that move here from another proxy raise all ratios and are within;
    /// downwards slowly.
    fn judge(&mut self, now: Time, started: Time) {
        let seconds = |span: Time| span.as_secs_f64();
        let age = seconds(now.saturating_sub(started)) / seconds(MEMORY);
        // Of a stream that began so long ago, as much is in memory.
        let span = seconds(MEMORY) * (1.0 - (-age).exp());
        let quotas = self
            .tenants
            .iter()
            .filter(|t| t.quota > 0.0 && t.recent >= ENOUGH);
        let mut ratios: Vec<f64> = quotas.map(|t| t.recent / span / t.quota).collect();
        ratios.sort_by(f64::total_cmp);
        // One alone has no others to stand out from.
        let middle = ratios
            .get(ratios.len().saturating_sub(1) / 2)
            .filter(|_| ratios.len() > 1);
        let usual = middle.and_then(|m| ratios.iter().rfind(|ratio| **ratio <= STANDS_OUT * m));
        let since = seconds(now.saturating_sub(self.judged.max(started)));
        if let Some(&seen) = usual {
            let held = self.part.unwrap_or(0.0);
            self.part =
                Some(seen.max(held + (seen - held) * (1.0 - (-since / seconds(HELD)).exp())));
        }
        let kept = (-since / seconds(MEMORY)).exp();
        for tenant in &mut self.tenants {
            tenant.rate = tenant.recent / span;
            tenant.recent *= kept;
        }
        self.judged = now;
    }
}
