//! What one proxy of a fleet knows of its tenants' quotas: its own account, what others see, and its loans.

use quota::{OtherProxies, QuotaMeter, RequestStatus};
use quota_lending::{
    Action as Asked, Config, Decision, Lender, Notice, Rules, Shortage, SHORTAGE_LASTS,
};
use routing::{Action, Arrival, QuotaStatus, RequestId, Settings, Time};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

/// A proxy looks at its loans, and at what it refused, this often.
pub const LOOK: Duration = Duration::from_millis(250);
/// What another sees counts for so long after it was last heard, unless it is known to be dead.
const LASTS: Duration = Duration::from_secs(60);
/// A loan is for one request.
const ONE: u64 = 1000;

/// What a proxy says to all others.
#[derive(Clone, Debug)]
pub enum Said {
    /// Requests a second of each tenant that come to it.
    Rates(Vec<f64>),
    /// Those within their quotas have no room.
    Short,
    Loans {
        kind: u8,
        key: Vec<u8>,
        body: Vec<u8>,
    },
}

#[derive(Clone, Debug)]
pub struct Word {
    pub from: usize,
    /// Of its process.
    pub start: u64,
    pub at: Time,
    pub said: Said,
}

/// What a proxy is told of its fleet when it starts.
#[derive(Clone, Debug)]
pub struct Place {
    pub number: usize,
    pub start: u64,
    pub names: Arc<[String]>,
    pub tenants: Arc<[String]>,
    pub classes: Arc<[String]>,
    pub rules: Rules,
    pub longest: Duration,
    pub lease: Duration,
    pub every: Duration,
    pub dead: Duration,
    /// Room is short when so many are refused in a look, and more than this part of those asked.
    pub short_least: u64,
    pub short_part: f64,
}

/// Requests of one tenant so far, in one proxy or in all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Stand {
    pub within: u64,
    pub borrowed: u64,
    pub beyond: u64,
    /// Of those within, those that were refused before any attempt.
    pub refused: u64,
    /// Of those beyond and not lent, likewise.
    pub turned: u64,
    /// Loans that were given back unused; repaid; written off: thousandths.
    pub back: u64,
    pub repaid: u64,
    pub written_off: u64,
}

impl Stand {
    pub fn add(&mut self, other: &Stand) {
        let Stand {
            within,
            borrowed,
            beyond,
            refused,
            turned,
            back,
            repaid,
            written_off,
        } = other;
        self.within += within;
        self.borrowed += borrowed;
        self.beyond += beyond;
        self.refused += refused;
        self.turned += turned;
        self.back += back;
        self.repaid += repaid;
        self.written_off += written_off;
    }
}

struct Other {
    start: u64,
    heard: Time,
    rates: Vec<f64>,
}

/// Its part in a fleet.
struct Talking {
    place: Place,
    core: Lender,
    others: BTreeMap<usize, Other>,
    /// Those that were up, and whether it may lend, as the core was told last.
    view: Option<(bool, Vec<(usize, u64)>)>,
    timer: Option<(Time, u64)>,
    /// On its way to the file, and what the file has.
    saving: Option<(u64, Vec<u8>)>,
    file: Option<Vec<u8>>,
    out: Vec<Said>,
    told: Option<Time>,
    /// Room is short until then, by its own eyes and by others' word.
    short: Time,
    shortage: Shortage,
    /// Of what was withheld, less than a thousandth.
    rest: Vec<f64>,
    /// What each lane of this process owed and had lent and repaid when it began.
    began: Vec<(u64, u64)>,
}

pub struct Member {
    quota: QuotaMeter,
    stands: Vec<Stand>,
    /// Requests that no attempt was made for.
    waiting: FxHashMap<RequestId, (usize, QuotaStatus)>,
    talking: Option<Box<Talking>>,
}

impl Member {
    pub fn new(settings: &Settings) -> Member {
        let quotas: Vec<f64> = settings
            .tenants
            .iter()
            .map(|tenant| tenant.quota_per_s)
            .collect();
        let stands = vec![Stand::default(); quotas.len()];
        let worths = settings
            .classes
            .iter()
            .map(|class| class.priority_weight)
            .collect();
        let quota = QuotaMeter::new(&quota::Settings {
            proxies: settings.router_count,
            quotas,
            priority_weights: worths,
        });
        Member {
            quota,
            stands,
            waiting: FxHashMap::default(),
            talking: None,
        }
    }

    /// From now on it is one of a fleet. `file`: what a former life left.
    pub fn join(&mut self, now: Time, place: Place, file: Option<Vec<u8>>) {
        let mut config = Config::new(&place.names[place.number], place.start, true);
        (config.longest, config.lease) = (place.longest, place.lease);
        let mut core = Lender::new(&config, now.0, file.as_deref());
        let mut out = Vec::new();
        core.handle(
            now.0,
            quota_lending::Event::Rules(place.rules.clone()),
            &mut out,
        );
        let books = place
            .tenants
            .iter()
            .map(|name| core.totals(now.0, name).unwrap_or_default());
        let began = books.map(|book| (book.lent, book.repaid)).collect();
        let shortage = Shortage::new(place.short_least as u32, place.short_part);
        let mut talking = Talking {
            rest: vec![0.0; place.tenants.len()],
            place,
            core,
            others: BTreeMap::new(),
            view: None,
            timer: Some((now, 0)),
            saving: None,
            file,
            out: Vec::new(),
            told: None,
            short: Time::ZERO,
            shortage,
            began,
        };
        talking.asked(now, out, &mut self.stands);
        self.talking = Some(Box::new(talking));
    }

    pub fn arrived(&mut self, now: Time, arrival: &Arrival) -> QuotaStatus {
        let tenant = usize::from(arrival.tenant.0);
        let mark = self.quota.record_request(
            now.0,
            tenant,
            arrival.class.0.into(),
            arrival.is_client_retry,
        );
        let Some(talking) = self.talking.as_mut().filter(|_| tenant < self.stands.len()) else {
            return if matches!(mark, RequestStatus::Unlimited | RequestStatus::Within) {
                QuotaStatus::WithinQuota
            } else {
                QuotaStatus::OverQuota
            };
        };
        let standing = match mark {
            RequestStatus::Unlimited | RequestStatus::Within => QuotaStatus::WithinQuota,
            RequestStatus::Over if talking.lends(now, tenant, arrival, &mut self.stands) => {
                QuotaStatus::Borrowed
            }
            RequestStatus::Withheld | RequestStatus::Over => QuotaStatus::OverQuota,
        };
        let stand = &mut self.stands[tenant];
        match standing {
            QuotaStatus::Borrowed => stand.borrowed += 1,
            QuotaStatus::OverQuota => stand.beyond += 1,
            QuotaStatus::WithinQuota => {
                // A repeat is no request more, and takes nothing.
                stand.within += u64::from(!arrival.is_client_retry);
            }
        }
        self.waiting.insert(arrival.id, (tenant, standing));
        standing
    }

    /// What the module has made of it.
    pub fn did(&mut self, now: Time, action: &Action) {
        match action {
            Action::Send { id, .. } => {
                let standing = self.waiting.remove(id).map(|(_, standing)| standing);
                if let (Some(talking), Some(QuotaStatus::WithinQuota)) =
                    (&mut self.talking, standing)
                {
                    talking.shortage.record_end(now.0, false);
                }
            }
            Action::Reject { id, .. } => self.ended(now, *id, true),
            Action::Fail { id } => self.ended(now, *id, false),
            _ => {}
        }
    }

    /// A request is over. One that was lent and not used is given back.
    pub fn ended(&mut self, now: Time, id: RequestId, refused: bool) {
        let Some((tenant, standing)) = self.waiting.remove(&id) else {
            return;
        };
        let (Some(talking), stand) = (&mut self.talking, &mut self.stands[tenant]) else {
            return;
        };
        match standing {
            QuotaStatus::Borrowed => {
                stand.back += talking.core.give_back(&talking.place.tenants[tenant], ONE)
            }
            QuotaStatus::OverQuota => stand.turned += u64::from(refused),
            QuotaStatus::WithinQuota if refused => {
                stand.refused += 1;
                talking.shortage.record_end(now.0, true);
            }
            QuotaStatus::WithinQuota => {}
        }
    }

    pub fn hear(&mut self, now: Time, word: &Word) {
        if let Some(talking) = &mut self.talking {
            talking.hear(now, word, &mut self.stands);
        }
    }

    /// Every [`LOOK`]; what it says goes to `out`.
    pub fn look(&mut self, now: Time, out: &mut Vec<Said>) {
        let Some(talking) = &mut self.talking else {
            return;
        };
        talking.look(now, &mut self.quota, &mut self.stands);
        out.append(&mut talking.out);
    }

    /// Of its process; 0: it is of no fleet.
    pub fn start(&self) -> u64 {
        self.talking
            .as_ref()
            .map_or(0, |talking| talking.place.start)
    }

    pub fn stands(&self) -> &[Stand] {
        &self.stands
    }

    /// What the tenant owes here.
    pub fn owes(&self, now: Time, tenant: usize) -> u64 {
        let book = self
            .talking
            .as_ref()
            .and_then(|t| t.core.totals(now.0, &t.place.tenants[tenant]));
        book.map_or(0, |book| book.owed)
    }

    /// Whether its book says what was seen of it: all that was lent and repaid since it began, and nothing lost.
    pub fn balances(&self, now: Time, tenant: usize) -> bool {
        let Some(talking) = &self.talking else {
            return true;
        };
        let Some(book) = talking.core.totals(now.0, &talking.place.tenants[tenant]) else {
            return true;
        };
        let (stand, (lent, repaid)) = (&self.stands[tenant], talking.began[tenant]);
        book.lent == book.repaid + book.written_off + book.owed
            && book.lent == lent.wrapping_add(stand.borrowed * ONE)
            && book.repaid == repaid.wrapping_add(stand.back + stand.repaid)
    }

    /// What its file has, for the next life.
    pub fn file(&self) -> Option<Vec<u8>> {
        self.talking
            .as_ref()
            .and_then(|talking| talking.file.clone())
    }
}

impl Talking {
    fn lends(&mut self, now: Time, tenant: usize, arrival: &Arrival, stands: &mut [Stand]) -> bool {
        let (stand, class) = (
            &self.place.tenants[tenant],
            &self.place.classes[usize::from(arrival.class.0)],
        );
        let mut asked = Vec::new();
        let verdict = self.core.decide(now.0, stand, class, ONE, &mut asked);
        self.asked(now, asked, stands);
        verdict == Decision::Borrowed
    }

    /// What the core asks for.
    fn asked(&mut self, now: Time, asked: Vec<Asked>, stands: &mut [Stand]) {
        for action in asked {
            match action {
                Asked::Publish {
                    kind, key, body, ..
                } => self.out.push(Said::Loans { kind, key, body }),
                Asked::Save { sequence, bytes } => self.saving = Some((sequence, bytes)),
                Asked::Timer { after, token } => self.timer = Some((now.plus(after), token)),
                Asked::Notice(Notice::WrittenOff { tenant, amount }) => {
                    let tenant = self.place.tenants.iter().position(|name| *name == tenant);
                    tenant
                        .and_then(|at| stands.get_mut(at))
                        .into_iter()
                        .for_each(|s| s.written_off += amount);
                }
                Asked::Notice(Notice::AccountLost) => {
                    // The lane begins anew: as if it had lent that much less.
                    for (began, stand) in self.began.iter_mut().zip(stands.iter()) {
                        let lent = (stand.borrowed * ONE).wrapping_neg();
                        *began = (lent, (stand.back + stand.repaid).wrapping_neg());
                    }
                }
                Asked::Notice(_) => {}
            }
        }
    }

    fn handle(&mut self, now: Time, event: quota_lending::Event<'_>, stands: &mut [Stand]) {
        let mut asked = Vec::new();
        self.core.handle(now.0, event, &mut asked);
        self.asked(now, asked, stands);
    }

    fn hear(&mut self, now: Time, word: &Word, stands: &mut [Stand]) {
        let fresh = Other {
            start: word.start,
            heard: word.at,
            rates: Vec::new(),
        };
        let other = self.others.entry(word.from).or_insert(fresh);
        if word.start < other.start {
            return;
        }
        if word.start > other.start {
            (other.start, other.rates) = (word.start, Vec::new());
        }
        let newer = word.at >= other.heard;
        other.heard = other.heard.max(word.at);
        match &word.said {
            Said::Rates(rates) if newer => other.rates.clone_from(rates),
            Said::Rates(_) => {}
            Said::Short => self.short = self.short.max(word.at.plus(SHORTAGE_LASTS)),
            Said::Loans { kind, key, body } => {
                let source = self.place.names[word.from].clone();
                let (start, kind, age) = (word.start, *kind, now.since(word.at));
                let event = quota_lending::Event::Message {
                    source: &source,
                    incarnation: start,
                    kind,
                    key,
                    body,
                    age,
                };
                let repaid = |core: &Lender, name: &String| {
                    core.totals(now.0, name).map_or(0, |book| book.repaid)
                };
                let names = self
                    .place
                    .tenants
                    .iter()
                    .filter(|_| kind == quota_lending::messages::REPAYMENT_REPORT);
                let before: Vec<u64> = names.map(|name| repaid(&self.core, name)).collect();
                self.handle(now, event, stands);
                // Others may have paid for it.
                for ((stand, name), before) in
                    stands.iter_mut().zip(self.place.tenants.iter()).zip(before)
                {
                    stand.repaid += repaid(&self.core, name).saturating_sub(before);
                }
            }
        }
    }

    fn look(&mut self, now: Time, quota: &mut QuotaMeter, stands: &mut [Stand]) {
        if let Some((sequence, bytes)) = self.saving.take() {
            self.file = Some(bytes);
            self.handle(now, quota_lending::Event::Saved(sequence), stands);
        }
        self.who_is_there(now, quota, stands);
        let own = self.shortage.is_in_shortage(now.0);
        if own {
            self.out.push(Said::Short);
        }
        self.handle(
            now,
            quota_lending::Event::Shortage(own || now < self.short),
            stands,
        );
        if let Some((_, token)) = self.timer.take_if(|(at, _)| *at <= now) {
            self.handle(now, quota_lending::Event::Timer(token), stands);
        }
        for (tenant, name) in self.place.tenants.iter().enumerate() {
            let (rate, used) = (
                quota.local_quota(tenant) * 1000.0,
                quota.utilization(tenant) * 1000.0,
            );
            let share = self
                .core
                .withhold(now.0, name, rate as u64, used.min(1e6) as u32);
            let withheld = quota.withhold(now.0, tenant, f64::from(share) / 1000.0);
            self.rest[tenant] += withheld * ONE as f64;
            let whole = self.rest[tenant].floor();
            self.rest[tenant] -= whole;
            stands[tenant].repaid += self.core.repay(now.0, name, whole as u64);
        }
        if self
            .told
            .is_none_or(|told| now.since(told) >= self.place.every)
        {
            self.told = Some(now);
            self.out.push(Said::Rates(quota.rates(now.0).collect()));
        }
    }

    /// Most of the fleet is heard: then it may lend, and who is not heard is dead.
    fn who_is_there(&mut self, now: Time, quota: &mut QuotaMeter, stands: &mut [Stand]) {
        let dead = self.place.dead;
        let heard = |other: &Other| now.since(other.heard) < dead;
        let up: Vec<(usize, u64)> = self
            .others
            .iter()
            .filter(|(_, o)| heard(o))
            .map(|(at, o)| (*at, o.start))
            .collect();
        let most = (up.len() + 1) * 2 > self.place.names.len();
        self.others
            .retain(|_, other| heard(other) || (!most && now.since(other.heard) < LASTS));
        let mut others = OtherProxies {
            proxies: 0,
            rates: vec![0.0; self.place.tenants.len()],
        };
        for other in self.others.values().filter(|other| !other.rates.is_empty()) {
            others.proxies += 1;
            others
                .rates
                .iter_mut()
                .zip(&other.rates)
                .for_each(|(sum, rate)| *sum += rate);
        }
        quota.set_other_proxies(Some(&others).filter(|others| others.proxies > 0));
        let view = (most, up);
        if self.view.as_ref() != Some(&view) {
            let names = self.place.names.clone();
            let member = |(at, start): &(usize, u64)| quota_lending::Member {
                name: names[*at].clone(),
                incarnation: *start,
                up: true,
            };
            let members: Vec<_> = view.1.iter().map(member).collect();
            self.view = Some(view);
            let event = quota_lending::Event::Membership {
                may_lend: most,
                roster: &names,
                members: &members,
            };
            self.handle(now, event, stands);
        }
    }
}
