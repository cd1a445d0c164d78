//! Main loop: reads a batch, passes each record to the router of its instance, and writes a reply. Instances share only
//! the pages of endpoints.

use crate::instance::Instance;
use crate::wire::{batch_header, FrameFault, MalformedFrame, Reader, Record, Reply, UpdateKind};
use crate::wire::{BatchHeader, BATCH_HEADER_LEN};
use routing::{Action, Endpoint, EndpointUpdate, Event, Time};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use thiserror::Error;

/// Reason why the host stops. The simulator has to be restarted.
#[derive(Debug, Error)]
pub enum HostError {
    /// Input cannot be read or output cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A batch violates the wire format.
    #[error(transparent)]
    MalformedFrame(#[from] MalformedFrame),
    /// The input ends inside a batch header.
    #[error("input ends {got} bytes into a batch header")]
    TruncatedHeader {
        /// Bytes of the header that were received.
        got: usize,
    },
    /// The input ends inside a batch.
    #[error("input ends {got} bytes into a batch of {expected}")]
    TruncatedBatch {
        /// Bytes of the records that were received.
        got: usize,
        /// Length of the records in bytes, from the header.
        expected: u32,
    },
}

/// The routers of one simulation.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u16, Instance>,
    pages: BTreeMap<u32, Vec<Endpoint>>,
    actions: Vec<Action>,
    reply: Reply,
}

impl Host {
    /// Handles one batch of `records` records at `now` and returns the reply frame.
    ///
    /// # Errors
    /// If the batch violates the wire format. Records before the malformed one have been handled.
    pub fn handle_batch(
        &mut self,
        now: Time,
        records: u32,
        body: &[u8],
    ) -> Result<Vec<u8>, MalformedFrame> {
        let mut reader = Reader::new(body);
        for _ in 0..records {
            let record = reader.record()?;
            self.handle_record(now, record)
                .map_err(|fault| reader.malformed(fault))?;
        }
        if !reader.is_at_end() {
            return Err(reader.malformed(FrameFault::TrailingBytes));
        }
        Ok(self.reply.frame())
    }

    fn handle_record(&mut self, now: Time, record: Record) -> Result<(), FrameFault> {
        match record {
            Record::Spawn {
                instance,
                seed,
                settings,
            } => self.spawn(now, instance, seed, settings)?,
            Record::Stop { instance } => self.stop(instance),
            Record::Page { number, entries } => _ = self.pages.insert(number, entries),
            Record::EndpointUpdate {
                instance,
                kind,
                page,
            } => {
                let update = self.endpoint_update(kind, page)?;
                self.handle(now, instance, |_| Event::Endpoints(update));
            }
            Record::RequestArrived { instance, arrival } => {
                self.handle(now, instance, |instance| {
                    instance.request_arrived(arrival, now)
                })
            }
            Record::ProbeEnded(record) => self.handle(now, record.instance, |instance| {
                instance.probe_ended(&record)
            }),
            Record::AttemptEnded(record) => self.handle(now, record.instance, |instance| {
                instance.attempt_ended(record)
            }),
            Record::ClientLeft { instance, id } => {
                self.handle(now, instance, |_| Event::ClientLeft(id));
            }
            Record::Timer { instance, token } => {
                self.handle(now, instance, |_| Event::Timer(token));
            }
            Record::StreamOpened { instance } | Record::PeerMessage { instance } => {
                self.ignore(instance);
            }
        }
        Ok(())
    }

    fn spawn(
        &mut self,
        now: Time,
        instance: u16,
        seed: u64,
        settings: &[u8],
    ) -> Result<(), FrameFault> {
        let platform = platform_settings::decode(settings)?;
        self.instances
            .insert(instance, Instance::new(platform, seed, now));
        Ok(())
    }

    fn stop(&mut self, instance: u16) {
        if self.instances.remove(&instance).is_none() {
            eprintln!("simulator-host: stop requested for unknown instance {instance}");
        }
    }

    /// Ignores streams and messages between routers, which are not used.
    fn ignore(&self, instance: u16) {
        if !self.instances.contains_key(&instance) {
            report_unknown(instance);
        }
    }

    fn endpoint_update(&self, kind: UpdateKind, page: u32) -> Result<EndpointUpdate, FrameFault> {
        let entries = || {
            let entries = self.pages.get(&page).cloned();
            entries.ok_or(FrameFault::UnknownPage)
        };
        Ok(match kind {
            UpdateKind::Changes => EndpointUpdate::Changes(entries()?),
            UpdateKind::Snapshot => EndpointUpdate::Snapshot(entries()?),
            UpdateKind::Cached => EndpointUpdate::Cached(entries()?),
            UpdateKind::Failed => EndpointUpdate::Failed,
        })
    }

    /// Passes an event to an instance's router and appends its actions to the reply.
    fn handle(&mut self, now: Time, id: u16, event: impl FnOnce(&mut Instance) -> Event) {
        let Some(instance) = self.instances.get_mut(&id) else {
            return report_unknown(id);
        };
        let event = event(instance);
        instance.router.handle(now, event, &mut self.actions);
        for action in self.actions.drain(..) {
            self.reply.push(id, &action);
        }
    }
}

fn report_unknown(instance: u16) {
    eprintln!("simulator-host: ignoring event for unknown instance {instance}");
}

/// Reads batches and writes replies until the input ends at a frame boundary.
///
/// # Errors
/// If the input ends inside a frame, violates the wire format, or input or output fail.
pub fn run(mut input: impl Read, mut output: impl Write) -> Result<(), HostError> {
    let mut host = Host::default();
    let mut body = Vec::new();
    while let Some(header) = read_header(&mut input)? {
        read_body(&mut input, header.bytes, &mut body)?;
        output.write_all(&host.handle_batch(header.clock, header.records, &body)?)?;
        output.flush()?;
    }
    Ok(())
}

/// Reads a batch header; none at the end of the input.
fn read_header(input: &mut impl Read) -> Result<Option<BatchHeader>, HostError> {
    let mut header = [0; BATCH_HEADER_LEN];
    match read_up_to(input, &mut header)? {
        0 => Ok(None),
        BATCH_HEADER_LEN => Ok(Some(batch_header(header))),
        got => Err(HostError::TruncatedHeader { got }),
    }
}

fn read_body(input: &mut impl Read, expected: u32, body: &mut Vec<u8>) -> Result<(), HostError> {
    body.clear();
    let got = input.by_ref().take(expected.into()).read_to_end(body)?;
    if got < expected as usize {
        return Err(HostError::TruncatedBatch { got, expected });
    }
    Ok(())
}

/// Reads until `buffer` is full or the input ends; returns the number of bytes read.
fn read_up_to(input: &mut impl Read, buffer: &mut [u8]) -> io::Result<usize> {
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
