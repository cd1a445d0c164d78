//! Quota: whether a request is beyond what its tenant may ask, or borrowed, as the module should know. Refuses nothing.

use crate::cluster::members::Members;
use crate::cluster::quota_lending::QuotaLending;
use crate::cluster::usage;
use crate::pipeline::admit::OpenRequest;
use crate::request::Answer;
use ::quota::{Counts, Mark};
use membership::Fact;
use platform_settings::{Decoded, Names};
use routing::{Arrival, QuotaStatus};
use std::fmt;
use std::time::{Duration, Instant};

/// How often what others say is looked at, while there are others: a lender's own traffic comes first within a second.
pub const LOOK: Duration = Duration::from_millis(250);

#[derive(Default)]
pub struct Quota {
    account: ::quota::Quota,
    /// In the order of the tenant ids.
    names: Vec<String>,
    /// In requests a second over all proxies, likewise.
    quotas: Vec<f64>,
    classes: Vec<String>,
    started: Option<Instant>,
    told: Option<Instant>,
    /// Loans over the fleet, where the operators' file has them.
    pub lending: Option<QuotaLending>,
}

impl Quota {
    /// From now on by these; a tenant keeps what is known of it by its name.
    pub fn configure(&mut self, platform: &Decoded, now: Instant) {
        let Decoded {
            settings,
            names:
                Names {
                    tenants: names,
                    classes,
                    ..
                },
            ..
        } = platform;
        let quotas: Vec<f64> = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s)
            .collect();
        self.quotas.clone_from(&quotas);
        let worths = settings
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .collect();
        let settings = ::quota::Settings {
            proxies: settings.router_count,
            quotas,
            worths,
        };
        let former = |at: usize| {
            self.names
                .iter()
                .position(|name| names.get(at) == Some(name))
        };
        self.account.configure(&settings, former);
        self.names.clone_from(names);
        self.classes.clone_from(classes);
        self.rule(now);
    }

    /// Loans go by the quotas as they now are.
    pub fn rule(&mut self, now: Instant) {
        let Quota {
            lending,
            names,
            quotas,
            ..
        } = self;
        if let Some(lending) = lending {
            lending.update_rules(
                names.iter().map(String::as_str).zip(quotas.iter().copied()),
                now,
            );
        }
    }

    fn since(&mut self, now: Instant) -> Duration {
        now.saturating_duration_since(*self.started.get_or_insert(now))
    }

    /// `named`: the client has said whose request it is.
    pub fn mark(&mut self, arrival: &mut Arrival, named: bool, now: Instant) {
        if !named {
            return;
        }
        let (since, tenant, class) = (
            self.since(now),
            arrival.tenant.0.into(),
            arrival.class.0.into(),
        );
        arrival.quota_status =
            match self
                .account
                .asked(since, tenant, class, arrival.is_client_retry)
            {
                Mark::Free | Mark::Within => QuotaStatus::WithinQuota,
                Mark::Beyond if self.lent(arrival, now) => QuotaStatus::Borrowed,
                // Who repays does not borrow for it.
                Mark::Withheld | Mark::Beyond => QuotaStatus::OverQuota,
            };
    }

    fn lent(&mut self, arrival: &Arrival, now: Instant) -> bool {
        let class = self.classes.get(usize::from(arrival.class.0));
        let stand = self.names.get(usize::from(arrival.tenant.0));
        let (Some(lending), Some(class), Some(stand)) = (&mut self.lending, class, stand) else {
            return false;
        };
        lending.may_borrow(stand, class, now)
    }

    /// How a request ended; none: its client has left. A loan that nothing was tried for is given back.
    pub fn ended(&mut self, open: &OpenRequest, answer: Option<&Answer>, now: Instant) {
        let Some(lending) = &mut self.lending else {
            return;
        };
        let tried = open.attempts() > 0;
        match open.standing {
            QuotaStatus::WithinQuota if answer.is_some() => {
                lending
                    .record_within_quota(!tried && matches!(answer, Some(Answer::Refused(_))), now);
            }
            QuotaStatus::Borrowed if !tried => {
                if let Some(stand) = self.names.get(usize::from(open.tenant.0)) {
                    lending.give_back(stand);
                }
            }
            _ => {}
        }
    }

    /// What another proxy has said.
    pub fn heard(&mut self, fact: &Fact, now: Instant) {
        if let Some(lending) = &mut self.lending {
            lending.receive(fact, now);
        }
    }

    /// There are no others any more: this proxy judges by itself, and nothing is lent.
    pub fn alone(&mut self) {
        self.account.heard(None);
        self.lending = None;
    }

    /// What loans have to say goes out.
    pub fn flush(&mut self, members: &mut Members, now: Instant) {
        if let Some(lending) = &mut self.lending {
            lending.flush(members, now);
        }
    }

    /// With others about: one account with them, and loans.
    pub fn look(&mut self, members: &mut Members, now: Instant) {
        let since = self.since(now);
        if self
            .told
            .is_none_or(|told| now.saturating_duration_since(told) >= usage::pace(members))
        {
            self.told = Some(now);
            usage::say(members, &self.names, self.account.rates(since), now);
        }
        self.account
            .heard(usage::others(members, &self.names, now).as_ref());
        let begun = self
            .lending
            .as_mut()
            .is_some_and(|lending| lending.poll(members, now));
        if begun {
            self.rule(now);
        }
        let Quota {
            account,
            names,
            lending,
            ..
        } = self;
        let Some(lending) = lending else { return };
        for (at, stand) in names.iter().enumerate() {
            let (quota, used) = (account.rate_of(at), account.used(at));
            // What it has done without is known when the next share is set.
            let former = lending.withheld(stand);
            let withheld = account.withhold(since, at, former);
            let share = lending.repay(stand, withheld, quota, used, now);
            if share != former {
                account.withhold(since, at, share);
            }
        }
    }
}

/// A line for each tenant that has asked; nothing where no quotas hold.
impl fmt::Display for Quota {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let asked = |counts: &Counts| counts.within + counts.beyond > 0;
        for (name, counts) in self
            .names
            .iter()
            .zip(self.account.counts())
            .filter(|(_, c)| asked(c))
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
