//! Quota stage: determines whether a request is within its tenant's quota, over it, or borrowed. It does not reject
//! requests; the decision module does.

use std::fmt;
use std::time::{Duration, Instant};

use ::quota::{Counts, QuotaMeter, RequestStatus, Settings};
use membership::Fact;
use platform_settings::{Names, PlatformSettings};
use routing::{Arrival, QuotaStatus};

use crate::cluster::members::Members;
use crate::cluster::quota_lending::QuotaLending;
use crate::cluster::usage;
use crate::pipeline::admit::OpenRequest;
use crate::request::Answer;

/// Interval of [`Quota::poll`] in a fleet: well below the second within which a lender's own traffic has to get its
/// capacity back.
pub const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The quota stage.
#[derive(Default)]
pub struct Quota {
    meter: QuotaMeter,
    /// Names of tenants, by tenant id.
    names: Vec<String>,
    /// Quotas by tenant id, in requests per second over all proxies.
    quotas: Vec<f64>,
    /// Names of classes, by class id.
    classes: Vec<String>,
    /// Time zero of the meter: the first request or the first poll.
    origin: Option<Instant>,
    rates_published_at: Option<Instant>,
    /// Quota lending within the fleet, if the operators' file configures it.
    pub lending: Option<QuotaLending>,
}

impl Quota {
    /// Applies the platform's settings. Tenants are matched by name and keep their state.
    pub fn configure(&mut self, platform: &PlatformSettings, now: Instant) {
        let PlatformSettings {
            settings,
            names: Names {
                tenants, classes, ..
            },
            ..
        } = platform;
        self.quotas = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s)
            .collect();
        let meter_settings = Settings {
            proxies: settings.router_count,
            quotas: self.quotas.clone(),
            priority_weights: settings
                .classes
                .iter()
                .map(|class| class.priority_weight)
                .collect(),
        };
        let previous = |index: usize| {
            self.names
                .iter()
                .position(|name| tenants.get(index) == Some(name))
        };
        self.meter.configure(&meter_settings, previous);
        self.names.clone_from(tenants);
        self.classes.clone_from(classes);
        self.update_lending_rules(now);
    }

    /// Computes the lending rules from the current quotas.
    pub fn update_lending_rules(&mut self, now: Instant) {
        if let Some(lending) = &mut self.lending {
            let names = self.names.iter().map(String::as_str);
            lending.update_rules(names.zip(self.quotas.iter().copied()), now);
        }
    }

    fn since_origin(&mut self, now: Instant) -> Duration {
        now.saturating_duration_since(*self.origin.get_or_insert(now))
    }

    /// Sets the quota status of a request. `tenant_given`: the request names its tenant.
    pub fn set_status(&mut self, arrival: &mut Arrival, tenant_given: bool, now: Instant) {
        if !tenant_given {
            return;
        }
        let since_origin = self.since_origin(now);
        let status = self.meter.record_request(
            since_origin,
            arrival.tenant.0.into(),
            arrival.class.0.into(),
            arrival.is_client_retry,
        );
        arrival.quota_status = match status {
            RequestStatus::Unlimited | RequestStatus::Within => QuotaStatus::WithinQuota,
            RequestStatus::Over if self.may_borrow(arrival, now) => QuotaStatus::Borrowed,
            // Withheld quota repays a loan, so such a request must not borrow.
            RequestStatus::Withheld | RequestStatus::Over => QuotaStatus::OverQuota,
        };
    }

    fn may_borrow(&mut self, arrival: &Arrival, now: Instant) -> bool {
        let class = self.classes.get(usize::from(arrival.class.0));
        let tenant = self.names.get(usize::from(arrival.tenant.0));
        let (Some(lending), Some(class), Some(tenant)) = (&mut self.lending, class, tenant) else {
            return false;
        };
        lending.may_borrow(tenant, class, now)
    }

    /// A request has ended. `answer`: none if the client has left. If a borrowed request had no attempt, its loan is
    /// cancelled.
    pub fn record_end(&mut self, open: &OpenRequest, answer: Option<&Answer>, now: Instant) {
        let Some(lending) = &mut self.lending else {
            return;
        };
        let attempted = open.attempts() > 0;
        match open.quota_status {
            QuotaStatus::WithinQuota if answer.is_some() => {
                let rejected = matches!(answer, Some(Answer::Rejected(_)));
                lending.record_within_quota(!attempted && rejected, now);
            }
            QuotaStatus::Borrowed if !attempted => {
                if let Some(tenant) = self.names.get(usize::from(open.tenant.0)) {
                    lending.cancel_loan(tenant);
                }
            }
            _ => {}
        }
    }

    /// Handles a message from another proxy.
    pub fn receive(&mut self, fact: &Fact, now: Instant) {
        if let Some(lending) = &mut self.lending {
            lending.receive(fact, now);
        }
    }

    /// This proxy has left the fleet: its share of each tenant's traffic is estimated, and quota is not lent any more.
    pub fn leave_fleet(&mut self) {
        self.meter.set_other_proxies(None);
        self.lending = None;
    }

    /// Publishes the lender's queued messages.
    pub fn flush(&mut self, members: &mut Members, now: Instant) {
        if let Some(lending) = &mut self.lending {
            lending.flush(members, now);
        }
    }

    /// Exchanges usage rates with the other proxies, and polls the lender.
    pub fn poll(&mut self, members: &mut Members, now: Instant) {
        let since_origin = self.since_origin(now);
        self.publish_rates(members, since_origin, now);
        let others = usage::other_proxies(members, &self.names, now);
        self.meter.set_other_proxies(others.as_ref());
        let lender_started = self
            .lending
            .as_mut()
            .is_some_and(|lending| lending.poll(members, now));
        if lender_started {
            self.update_lending_rules(now);
        }
        self.withhold(since_origin, now);
    }

    fn publish_rates(&mut self, members: &mut Members, since_origin: Duration, now: Instant) {
        let is_due = self
            .rates_published_at
            .is_none_or(|at| now.saturating_duration_since(at) >= usage::publish_interval(members));
        if is_due {
            self.rates_published_at = Some(now);
            let rates = self.meter.rates(since_origin);
            usage::publish(members, &self.names, rates, now);
        }
    }

    /// Withholds quota from tenants that have to repay loans. Setting a fraction returns the amount withheld since the last
    /// call.
    fn withhold(&mut self, since_origin: Duration, now: Instant) {
        let Some(lending) = &mut self.lending else {
            return;
        };
        for (index, tenant) in self.names.iter().enumerate() {
            let (quota, used) = (self.meter.local_quota(index), self.meter.utilization(index));
            let previous = lending.withheld(tenant);
            let withheld = self.meter.withhold(since_origin, index, previous);
            let withheld_fraction = lending.repay(tenant, withheld, quota, used, now);
            if withheld_fraction != previous {
                self.meter.withhold(since_origin, index, withheld_fraction);
            }
        }
    }
}

/// Formats a line for each tenant that had requests; empty if there are no quotas.
impl fmt::Display for Quota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let has_requests = |counts: &Counts| counts.within + counts.beyond > 0;
        for (name, counts) in self
            .names
            .iter()
            .zip(self.meter.counts())
            .filter(|(_, counts)| has_requests(counts))
        {
            write!(
                f,
                "\ntenant {name}: within its quota {}, beyond {}",
                counts.within, counts.beyond
            )?;
        }
        Ok(())
    }
}
