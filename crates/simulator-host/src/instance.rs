//! One router with the parts that the simulator leaves to its host: quotas, and the meaning of the figures in reports.

use crate::wire::{AttemptEndedRecord, ProbeEndedRecord};
use platform_settings::{load_report, PlatformSettings, ReportField};
use quota::{QuotaMeter, RequestStatus};
use routing::{
    Arrival, AttemptEnded, Event, LoadReport, Outcome, QuotaStatus, ResponseMetadata, Router, Time,
};
use std::time::Duration;

pub(crate) struct Instance {
    pub(crate) router: Router,
    quota: QuotaMeter,
    report_fields: Vec<ReportField>,
    position_origin: Time,
}

impl Instance {
    pub(crate) fn new(platform: PlatformSettings, seed: u64, now: Time) -> Instance {
        let settings = platform.settings;
        let quota = QuotaMeter::new(&quota::Settings {
            proxies: settings.router_count,
            quotas: settings
                .tenants
                .iter()
                .map(|tenant| tenant.quota_per_s)
                .collect(),
            priority_weights: Vec::new(),
        });
        Instance {
            router: Router::new(settings, seed, now),
            quota,
            report_fields: platform.report_fields,
            position_origin: platform.position_origin,
        }
    }

    /// Counts the request against its tenant's quota, and marks it if it is over the quota.
    pub(crate) fn request_arrived(&mut self, mut arrival: Arrival, now: Time) -> Event {
        let status = self.quota.record_request(
            now.since(Time::ZERO),
            arrival.tenant.0.into(),
            arrival.class.0.into(),
            arrival.is_client_retry,
        );
        if status == RequestStatus::Over {
            arrival.quota_status = QuotaStatus::OverQuota;
        }
        Event::RequestArrived(arrival)
    }

    pub(crate) fn probe_ended(&self, record: &ProbeEndedRecord) -> Event {
        Event::ProbeEnded {
            server: record.server,
            ok: record.ok,
            elapsed: record.elapsed,
            report: self.report(&record.figures),
        }
    }

    /// Figures are 32-bit floats. A position is decreased by one step to undo any rounding up.
    fn report(&self, figures: &[f32]) -> LoadReport {
        let round_down = |(&field, &value): (&ReportField, &f32)| match field {
            ReportField::Position if value > 0.0 => {
                (field, f32::from_bits(value.to_bits() - 1).into())
            }
            _ => (field, value.into()),
        };
        let values = self.report_fields.iter().zip(figures).map(round_down);
        load_report(self.position_origin, values)
    }

    pub(crate) fn attempt_ended(&self, record: AttemptEndedRecord) -> Event {
        let is_answered = matches!(
            record.outcome,
            Outcome::Ok | Outcome::Misdirected | Outcome::Rejected | Outcome::Failed
        );
        Event::AttemptEnded(AttemptEnded {
            id: record.id,
            attempt: record.attempt,
            server: record.server,
            outcome: record.outcome,
            elapsed: record.elapsed,
            request_finished: record.request_finished,
            metadata: if is_answered {
                self.metadata(record.metadata)
            } else {
                ResponseMetadata::default()
            },
        })
    }

    fn metadata(&self, raw: u32) -> ResponseMetadata {
        let primary = match raw & 3 {
            1 => Some(true),
            2 => Some(false),
            _ => None,
        };
        let ms = u64::from(raw >> 2);
        let position = self.position_origin.plus(Duration::from_millis(ms));
        ResponseMetadata {
            primary,
            position: (ms > 0).then_some(position),
        }
    }
}
