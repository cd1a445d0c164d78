//! The loop: a batch in, every instance's router in turn, a reply out. Instances share nothing.

use crate::wire::{batch_header, ListKind, Malformed, Reader, Record, Reply, BATCH_HEADER};
use platform_settings::{self as conf, Field};
use quota::{QuotaMeter, RequestStatus};
use routing::{
    Action, AttemptEnded, Endpoint, EndpointUpdate, Event, LoadReport, Outcome, QuotaStatus,
    ResponseMetadata, Router, Time,
};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::time::Duration;

struct Instance {
    router: Router,
    quota: QuotaMeter,
    fields: Vec<Field>,
    zero: Time,
}

#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    pages: BTreeMap<u32, Vec<Endpoint>>,
    actions: Vec<Action>,
    reply: Reply,
}

/// Figures come as 32-bit floats: for a position a step down undoes any rounding up.
fn report(fields: &[Field], zero: Time, gauge: &[f32]) -> LoadReport {
    let exact = |(&field, &value): (&Field, &f32)| match field {
        Field::Position if value > 0.0 => (field, f32::from_bits(value.to_bits() - 1).into()),
        _ => (field, value.into()),
    };
    conf::report(zero, fields.iter().zip(gauge).map(exact))
}

fn metadata(zero: Time, raw: u32) -> ResponseMetadata {
    let primary = match raw & 3 {
        1 => Some(true),
        2 => Some(false),
        _ => None,
    };
    let ms = u64::from(raw >> 2);
    ResponseMetadata {
        primary,
        position: (ms > 0).then_some(zero.plus(Duration::from_millis(ms))),
    }
}

impl Host {
    /// Plays one batch and returns the reply frame.
    pub fn batch(&mut self, now: Time, records: u32, body: &[u8]) -> Result<Vec<u8>, Malformed> {
        let mut reader = Reader::new(body);
        for _ in 0..records {
            let record = reader.record()?;
            let (inst, event) = match record {
                Record::Spawn { inst, seed, conf } => {
                    let decoded = conf::decode(conf)
                        .map_err(|e| reader.fault(format!("settings are not sound: {e}")))?;
                    let quotas = decoded
                        .settings
                        .tenants
                        .iter()
                        .map(|tenant| tenant.quota_per_s)
                        .collect();
                    let proxies = decoded.settings.router_count;
                    let quota = QuotaMeter::new(&quota::Settings {
                        proxies,
                        quotas,
                        priority_weights: Vec::new(),
                    });
                    let router = Router::new(decoded.settings, seed, now);
                    let (fields, zero) = (decoded.fields, decoded.zero);
                    self.instances.insert(
                        inst,
                        Instance {
                            router,
                            quota,
                            fields,
                            zero,
                        },
                    );
                    continue;
                }
                Record::Stop { inst } => {
                    if self.instances.remove(&inst).is_none() {
                        eprintln!("simulator-host: stop for unknown instance {inst}");
                    }
                    continue;
                }
                Record::Page { number, entries } => {
                    self.pages.insert(number, entries);
                    continue;
                }
                Record::Directory { inst, kind, page } => {
                    let entries = || {
                        let page = self.pages.get(&page).cloned();
                        page.ok_or_else(|| reader.fault("a list that was never sent"))
                    };
                    let news = match kind {
                        ListKind::Delta => EndpointUpdate::Changes(entries()?),
                        ListKind::Full => EndpointUpdate::Snapshot(entries()?),
                        ListKind::Cached => EndpointUpdate::Cached(entries()?),
                        ListKind::Failed => EndpointUpdate::Failed,
                    };
                    (inst, Event::Endpoints(news))
                }
                Record::Incoming { inst, mut arrival } => {
                    if let Some(instance) = self.instances.get_mut(&inst) {
                        let (now, tenant) = (now.since(Time::ZERO), arrival.tenant.0.into());
                        let mark = instance.quota.record_request(
                            now,
                            tenant,
                            arrival.class.0.into(),
                            arrival.is_client_retry,
                        );
                        if mark == RequestStatus::Over {
                            arrival.quota_status = QuotaStatus::OverQuota;
                        }
                    }
                    (inst, Event::RequestArrived(arrival))
                }
                Record::Probed {
                    inst,
                    server,
                    ok,
                    elapsed,
                    gauge,
                } => {
                    let report = match self.instances.get(&inst) {
                        Some(i) => report(&i.fields, i.zero, &gauge),
                        None => LoadReport::default(),
                    };
                    (
                        inst,
                        Event::ProbeEnded {
                            server,
                            ok,
                            elapsed,
                            report,
                        },
                    )
                }
                Record::Ended(e) => {
                    let zero = self.instances.get(&e.inst).map_or(Time::ZERO, |i| i.zero);
                    let metadata = match e.outcome {
                        Outcome::Ok
                        | Outcome::Misdirected
                        | Outcome::Rejected
                        | Outcome::Failed => metadata(zero, e.metadata),
                        _ => ResponseMetadata::default(),
                    };
                    let ended = AttemptEnded {
                        id: e.id,
                        attempt: e.attempt,
                        server: e.server,
                        outcome: e.outcome,
                        elapsed: e.elapsed,
                        request_finished: e.last,
                        metadata,
                    };
                    (e.inst, Event::AttemptEnded(ended))
                }
                Record::Left { inst, id } => (inst, Event::ClientLeft(id)),
                Record::Alarm { inst, token } => (inst, Event::Timer(token)),
                // Streams and messages between routers are not used.
                Record::Established { inst } | Record::Memo { inst } => {
                    if !self.instances.contains_key(&inst) {
                        eprintln!("simulator-host: event for unknown instance {inst}");
                    }
                    continue;
                }
            };
            let Some(instance) = self.instances.get_mut(&inst) else {
                eprintln!("simulator-host: event for unknown instance {inst}");
                continue;
            };
            instance.router.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                self.reply.push(inst, &action);
            }
        }
        if !reader.at_end() {
            return Err(reader.fault("bytes after the last record"));
        }
        Ok(self.reply.frame())
    }
}

/// Reads batches until the input ends at a frame boundary.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), Box<dyn std::error::Error>> {
    let mut host = Host::default();
    let mut body = Vec::new();
    loop {
        let mut header = [0; BATCH_HEADER];
        let got = fill(&mut input, &mut header)?;
        if got == 0 {
            return Ok(());
        }
        if got < BATCH_HEADER {
            return Err(format!("input ends {got} bytes into a batch header").into());
        }
        let header = batch_header(header);
        body.clear();
        let got = input
            .by_ref()
            .take(header.bytes.into())
            .read_to_end(&mut body)?;
        if got < header.bytes as usize {
            return Err(format!("input ends {got} bytes into a batch of {}", header.bytes).into());
        }
        output.write_all(&host.batch(header.clock, header.records, &body)?)?;
        output.flush()?;
    }
}

/// Reads until `buffer` is full or the input ends; how many bytes came.
fn fill(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < buffer.len() {
        match input.read(&mut buffer[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}
