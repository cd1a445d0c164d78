//! Decodes the records of a batch.

use super::fault::{FrameFault, MalformedFrame};
use super::record::{
    endpoint_state, outcome, update_kind, AttemptEndedRecord, ProbeEndedRecord, Record,
};
use routing::{
    Arrival, AttemptNumber, ClassId, Endpoint, GroupId, MachineTypeId, QuotaStatus, RequestId,
    ServerId, SessionKey, SessionPosition, TenantId, Time, TimerToken, ZoneId,
};
use std::time::Duration;

/// Length of an endpoint on the wire in bytes.
const ENDPOINT_LEN: usize = 27;
/// Bit of a request's attributes: the client marks the request as a retry.
const IS_CLIENT_RETRY: u8 = 2;
/// Status of a probe that was answered.
const PROBE_OK: u16 = 200;

/// Reads records in sequence.
pub struct Reader<'a> {
    body: &'a [u8],
    offset: usize,
    /// Code of the record being read; 0 outside of records.
    code: u8,
}

impl<'a> Reader<'a> {
    /// Creates a reader of the records of a batch, without its header.
    pub fn new(body: &'a [u8]) -> Self {
        Reader {
            body,
            offset: 0,
            code: 0,
        }
    }

    /// The error for a fault at the current offset.
    pub fn malformed(&self, fault: FrameFault) -> MalformedFrame {
        MalformedFrame {
            offset: self.offset,
            code: self.code,
            fault,
        }
    }

    /// Whether all bytes have been read.
    pub fn is_at_end(&self) -> bool {
        self.offset == self.body.len()
    }

    /// Reads the next record.
    ///
    /// # Errors
    /// If the frame ends inside the record, or the record has a code or a value that the wire format does not define.
    pub fn record(&mut self) -> Result<Record<'a>, MalformedFrame> {
        self.code = 0;
        let code = self.u8()?;
        self.code = code;
        match code {
            1 => self.spawn(),
            2 => self.endpoint_update(),
            3 => Ok(Record::Stop {
                instance: self.u16()?,
            }),
            4 => self.peer_message(),
            5 => Ok(Record::Timer {
                instance: self.u16()?,
                token: TimerToken(self.u32()?),
            }),
            6 => self.request_arrived(),
            7 => self.probe_ended(),
            8 => self.attempt_ended(),
            9 => Ok(Record::ClientLeft {
                instance: self.u16()?,
                id: RequestId(self.u64()?),
            }),
            10 => self.page(),
            11 => self.stream_opened(),
            other => Err(self.malformed(FrameFault::UnknownRecord(other))),
        }
    }

    fn spawn(&mut self) -> Result<Record<'a>, MalformedFrame> {
        let instance = self.u16()?;
        let seed = self.u64()?;
        let length = self.u32()? as usize;
        Ok(Record::Spawn {
            instance,
            seed,
            settings: self.bytes(length)?,
        })
    }

    fn endpoint_update(&mut self) -> Result<Record<'a>, MalformedFrame> {
        let instance = self.u16()?;
        let code = self.u8()?;
        let kind =
            update_kind(code).ok_or_else(|| self.malformed(FrameFault::UnknownUpdateKind(code)))?;
        let _version = self.u32()?;
        Ok(Record::EndpointUpdate {
            instance,
            kind,
            page: self.u32()?,
        })
    }

    fn peer_message(&mut self) -> Result<Record<'a>, MalformedFrame> {
        let instance = self.u16()?;
        let _sender = self.u16()?;
        let length = self.u16()?.into();
        self.bytes(length)?;
        Ok(Record::PeerMessage { instance })
    }

    fn stream_opened(&mut self) -> Result<Record<'a>, MalformedFrame> {
        let instance = self.u16()?;
        self.bytes(8 + 2 + 4 + 4)?;
        Ok(Record::StreamOpened { instance })
    }

    fn probe_ended(&mut self) -> Result<Record<'a>, MalformedFrame> {
        Ok(Record::ProbeEnded(ProbeEndedRecord {
            instance: self.u16()?,
            server: ServerId(self.u32()?),
            ok: self.u16()? == PROBE_OK,
            elapsed: self.span()?,
            figures: self.figures()?,
        }))
    }

    fn page(&mut self) -> Result<Record<'a>, MalformedFrame> {
        let number = self.u32()?;
        let count = self.u32()? as usize;
        // Guards against allocating memory for a count that no frame of this length can hold.
        if count > (self.body.len() - self.offset) / ENDPOINT_LEN {
            return Err(self.malformed(FrameFault::PageOverrun(count)));
        }
        let entries = (0..count)
            .map(|_| self.endpoint())
            .collect::<Result<_, _>>()?;
        Ok(Record::Page { number, entries })
    }

    fn endpoint(&mut self) -> Result<Endpoint, MalformedFrame> {
        let server = ServerId(self.u32()?);
        let zone = ZoneId(self.u16()?);
        let machine_type = MachineTypeId(self.u16()?);
        let group = GroupId(self.u16()?.into());
        let primary = self.f32()? == 1.0;
        let code = self.u8()?;
        let state = endpoint_state(code)
            .ok_or_else(|| self.malformed(FrameFault::UnknownServerState(code)))?;
        let _share = self.f32()?;
        let started = Time::from_micros(self.u64()?);
        Ok(Endpoint {
            server,
            group,
            zone,
            machine_type,
            state,
            primary,
            started,
        })
    }

    fn request_arrived(&mut self) -> Result<Record<'a>, MalformedFrame> {
        let instance = self.u16()?;
        let id = RequestId(self.u64()?);
        let tenant = TenantId(self.u16()?);
        let class = ClassId(self.u16()?);
        let attributes = self.u8()?;
        let session = Some(self.u64()?).filter(|&key| key != 0).map(SessionKey);
        let time_left = self.span()?;
        let session_position = session_position(self.f32()?);
        let group = group(self.f32()?);
        let _work = self.u32()?;
        let arrival = Arrival {
            id,
            class,
            client_class: None,
            tenant,
            group,
            session,
            time_left,
            session_position,
            is_client_retry: attributes & IS_CLIENT_RETRY != 0,
            quota_status: QuotaStatus::WithinQuota,
            shed_fraction: 0.0,
            attempt_limit: None,
        };
        Ok(Record::RequestArrived { instance, arrival })
    }

    fn attempt_ended(&mut self) -> Result<Record<'a>, MalformedFrame> {
        let instance = self.u16()?;
        let id = RequestId(self.u64()?);
        let attempt = AttemptNumber(self.u16()?);
        let server = ServerId(self.u32()?);
        let code = self.u16()?;
        let outcome =
            outcome(code).ok_or_else(|| self.malformed(FrameFault::UnknownOutcome(code)))?;
        let elapsed = self.span()?;
        let request_finished = self.u8()? != 0;
        let metadata = self.u32()?;
        self.figures()?;
        Ok(Record::AttemptEnded(AttemptEndedRecord {
            instance,
            id,
            attempt,
            server,
            outcome,
            elapsed,
            request_finished,
            metadata,
        }))
    }

    fn figures(&mut self) -> Result<Vec<f32>, MalformedFrame> {
        let count = self.u8()?;
        (0..count).map(|_| self.f32()).collect()
    }

    fn span(&mut self) -> Result<Duration, MalformedFrame> {
        Ok(Duration::from_micros(self.u32()?.into()))
    }

    fn u8(&mut self) -> Result<u8, MalformedFrame> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    fn u16(&mut self) -> Result<u16, MalformedFrame> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, MalformedFrame> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, MalformedFrame> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, MalformedFrame> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], MalformedFrame> {
        let mut raw = [0; N];
        raw.copy_from_slice(self.bytes(N)?);
        Ok(raw)
    }

    fn bytes(&mut self, wanted: usize) -> Result<&'a [u8], MalformedFrame> {
        let left = self.body.len() - self.offset;
        if wanted > left {
            return Err(self.malformed(FrameFault::Truncated { wanted, left }));
        }
        let taken = &self.body[self.offset..self.offset + wanted];
        self.offset += wanted;
        Ok(taken)
    }
}

/// Decodes the age of the session's last write, in milliseconds; zero: none. Rounded down: a larger age would refer to
/// a commit before the true one, and the read would not see the write.
fn session_position(age_ms: f32) -> Option<SessionPosition> {
    let micros = (f64::from(age_ms) * 1e3) as u64;
    (age_ms > 0.0).then_some(SessionPosition::Ago(Duration::from_micros(micros)))
}

/// Decodes a group; a negative number means no group and becomes an id that no listed group has.
fn group(number: f32) -> GroupId {
    GroupId(if number >= 0.0 {
        number as u32
    } else {
        u32::MAX
    })
}
