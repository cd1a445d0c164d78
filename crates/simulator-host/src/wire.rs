//! Frames of the wire: big-endian, no padding. See the record layouts in `decode` and `encode`.

use routing::{
    Action, Arrival, AttemptNo, ClassId, Endpoint, EndpointState, GroupId, KindId, Outcome,
    QuotaStatus, RequestId, ServerId, SessionKey, SessionPosition, TenantId, Time, TimerToken,
    ZoneId,
};
use std::fmt;
use std::time::Duration;

/// What is wrong with a frame, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed {
    /// Byte after the batch header.
    pub offset: usize,
    /// Code of the record being read; 0 outside of records.
    pub code: u8,
    pub what: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "malformed frame at byte {} (record code {}): {}",
            self.offset, self.code, self.what
        )
    }
}

impl std::error::Error for Malformed {}

pub const BATCH_HEADER: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    pub clock: Time,
    pub bytes: u32,
    pub records: u32,
}

pub fn batch_header(raw: [u8; BATCH_HEADER]) -> BatchHeader {
    let [a, b, c, d, e, f, g, h, i, j, k, l, m, n, o, p] = raw;
    BatchHeader {
        clock: Time::from_micros(u64::from_be_bytes([a, b, c, d, e, f, g, h])),
        bytes: u32::from_be_bytes([i, j, k, l]),
        records: u32::from_be_bytes([m, n, o, p]),
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Delta,
    Full,
    Cached,
    Failed,
}

/// One record as it stands on the wire.
#[derive(Debug, PartialEq)]
pub enum Record<'a> {
    Spawn {
        inst: u16,
        seed: u64,
        conf: &'a [u8],
    },
    Page {
        number: u32,
        entries: Vec<Endpoint>,
    },
    Directory {
        inst: u16,
        kind: ListKind,
        page: u32,
    },
    Incoming {
        inst: u16,
        arrival: Arrival,
    },
    Probed {
        inst: u16,
        server: ServerId,
        ok: bool,
        elapsed: Duration,
        gauge: Vec<f32>,
    },
    Established {
        inst: u16,
    },
    Memo {
        inst: u16,
    },
    Ended(Ended),
    Stop {
        inst: u16,
    },
    Left {
        inst: u16,
        id: RequestId,
    },
    Alarm {
        inst: u16,
        token: TimerToken,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    pub inst: u16,
    pub id: RequestId,
    pub attempt: AttemptNo,
    pub server: ServerId,
    pub outcome: Outcome,
    pub elapsed: Duration,
    pub last: bool,
    pub metadata: u32,
}

pub struct Reader<'a> {
    body: &'a [u8],
    at: usize,
    code: u8,
}

impl<'a> Reader<'a> {
    pub fn new(body: &'a [u8]) -> Self {
        Reader {
            body,
            at: 0,
            code: 0,
        }
    }

    pub fn fault(&self, what: impl Into<String>) -> Malformed {
        Malformed {
            offset: self.at,
            code: self.code,
            what: what.into(),
        }
    }

    pub fn at_end(&self) -> bool {
        self.at == self.body.len()
    }

    fn bytes(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        let left = self.body.len() - self.at;
        if n > left {
            return Err(self.fault(format!("{n} bytes wanted, {left} left")));
        }
        let taken = &self.body[self.at..self.at + n];
        self.at += n;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut raw = [0; N];
        raw.copy_from_slice(self.bytes(N)?);
        Ok(raw)
    }

    fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    fn u16(&mut self) -> Result<u16, Malformed> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    fn u32(&mut self) -> Result<u32, Malformed> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, Malformed> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f32, Malformed> {
        Ok(f32::from_be_bytes(self.array()?))
    }

    fn gauge(&mut self) -> Result<Vec<f32>, Malformed> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }

    fn entry(&mut self) -> Result<Endpoint, Malformed> {
        let server = ServerId(self.u32()?);
        let zone = ZoneId(self.u16()?);
        let kind = KindId(self.u16()?);
        let group = GroupId(self.u16()?.into());
        let primary = self.f32()? == 1.0;
        let listed = match self.u8()? {
            0 => EndpointState::Removed,
            1 => EndpointState::Ready,
            2 => EndpointState::Draining,
            other => return Err(self.fault(format!("unknown server condition {other}"))),
        };
        let _share = self.f32()?;
        let started = Time::from_micros(self.u64()?);
        Ok(Endpoint {
            server,
            group,
            zone,
            kind,
            state: listed,
            primary,
            started,
        })
    }

    pub fn record(&mut self) -> Result<Record<'a>, Malformed> {
        self.code = 0;
        let code = self.u8()?;
        self.code = code;
        Ok(match code {
            1 => {
                let inst = self.u16()?;
                let seed = self.u64()?;
                let n = self.u32()? as usize;
                Record::Spawn {
                    inst,
                    seed,
                    conf: self.bytes(n)?,
                }
            }
            2 => {
                let inst = self.u16()?;
                let kind = match self.u8()? {
                    0 => ListKind::Delta,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => return Err(self.fault(format!("unknown kind of list {other}"))),
                };
                let _version = self.u32()?;
                Record::Directory {
                    inst,
                    kind,
                    page: self.u32()?,
                }
            }
            3 => Record::Stop { inst: self.u16()? },
            4 => {
                let inst = self.u16()?;
                let _sender = self.u16()?;
                let n = self.u16()?.into();
                self.bytes(n)?;
                Record::Memo { inst }
            }
            5 => Record::Alarm {
                inst: self.u16()?,
                token: TimerToken(self.u32()?),
            },
            6 => self.incoming()?,
            7 => {
                let inst = self.u16()?;
                let server = ServerId(self.u32()?);
                let ok = self.u16()? == 200;
                let elapsed = Duration::from_micros(self.u32()?.into());
                Record::Probed {
                    inst,
                    server,
                    ok,
                    elapsed,
                    gauge: self.gauge()?,
                }
            }
            8 => self.report_back()?,
            9 => Record::Left {
                inst: self.u16()?,
                id: RequestId(self.u64()?),
            },
            10 => {
                let number = self.u32()?;
                let n = self.u32()? as usize;
                if n > (self.body.len() - self.at) / 27 {
                    return Err(self.fault(format!("{n} list entries overrun the frame")));
                }
                let entries = (0..n).map(|_| self.entry()).collect::<Result<_, _>>()?;
                Record::Page { number, entries }
            }
            11 => {
                let inst = self.u16()?;
                self.bytes(8 + 2 + 4 + 4)?;
                Record::Established { inst }
            }
            other => return Err(self.fault(format!("unknown record code {other}"))),
        })
    }

    fn incoming(&mut self) -> Result<Record<'a>, Malformed> {
        let inst = self.u16()?;
        let id = RequestId(self.u64()?);
        let tenant = TenantId(self.u16()?);
        let class = ClassId(self.u16()?);
        let attrs = self.u8()?;
        let session = Some(self.u64()?).filter(|&key| key != 0).map(SessionKey);
        let time_left = Duration::from_micros(self.u32()?.into());
        // Rounding an age up keeps the write that it points at in the past of the true commit at most
        // by less than a microsecond, so the age is rounded down: a later commit asks for more.
        let wrote_ms = self.f32()?;
        let micros = (f64::from(wrote_ms) * 1e3) as u64;
        let wrote = (wrote_ms > 0.0).then_some(SessionPosition::Ago(Duration::from_micros(micros)));
        let set = self.f32()?;
        let group = GroupId(if set >= 0.0 { set as u32 } else { u32::MAX });
        let _work = self.u32()?;
        let repeated = attrs & 2 != 0;
        let arrival = Arrival {
            id,
            class,
            tenant,
            group,
            session,
            time_left,
            session_position: wrote,
            is_client_retry: repeated,
            quota_status: QuotaStatus::WithinQuota,
            shed_fraction: 0.0,
            attempt_limit: None,
        };
        Ok(Record::Incoming { inst, arrival })
    }

    fn report_back(&mut self) -> Result<Record<'a>, Malformed> {
        let inst = self.u16()?;
        let id = RequestId(self.u64()?);
        let attempt = AttemptNo(self.u16()?);
        let server = ServerId(self.u32()?);
        let outcome = match self.u16()? {
            200 => Outcome::Ok,
            404 => Outcome::Misdirected,
            410 => Outcome::NotSent,
            499 => Outcome::Cancelled,
            500 => Outcome::Failed,
            502 => Outcome::ConnectFailed,
            503 => Outcome::Rejected,
            504 => Outcome::TimedOut,
            598 => Outcome::Reset,
            other => return Err(self.fault(format!("unknown outcome {other}"))),
        };
        let elapsed = Duration::from_micros(self.u32()?.into());
        let last = self.u8()? != 0;
        let metadata = self.u32()?;
        self.gauge()?;
        Ok(Record::Ended(Ended {
            inst,
            id,
            attempt,
            server,
            outcome,
            elapsed,
            last,
            metadata,
        }))
    }
}

/// The records of one reply.
#[derive(Default)]
pub struct Reply {
    records: u32,
    body: Vec<u8>,
}

/// Whole microseconds; the router's spans may be finer.
fn wire_span(span: Duration) -> u32 {
    u32::try_from(span.as_micros()).unwrap_or(u32::MAX)
}

/// A timer rounds up: one that came before its time would find nothing due.
fn wire_delay(span: Duration) -> u32 {
    u32::try_from(span.as_nanos().div_ceil(1_000)).unwrap_or(u32::MAX)
}

impl Reply {
    fn start(&mut self, code: u8, inst: u16) {
        self.records += 1;
        self.body.push(code);
        self.body.extend(inst.to_be_bytes());
    }

    pub fn push(&mut self, inst: u16, action: &Action) {
        match *action {
            Action::Send {
                id,
                server,
                timeout,
                ..
            } => {
                self.start(65, inst);
                self.body.extend(id.0.to_be_bytes());
                self.body.extend(server.0.to_be_bytes());
                // Longer than any client waits means the same on the wire, whose field is signed.
                self.body
                    .extend(wire_span(timeout).min(i32::MAX as u32).to_be_bytes());
            }
            Action::Reject { id, retry_after } => {
                self.start(66, inst);
                self.body.extend(id.0.to_be_bytes());
                self.body
                    .extend(retry_after.map_or(0, wire_span).to_be_bytes());
            }
            Action::Fail { id } => {
                self.start(67, inst);
                self.body.extend(id.0.to_be_bytes());
            }
            Action::Cancel { id, attempt } => {
                self.start(68, inst);
                self.body.extend(id.0.to_be_bytes());
                self.body.extend(attempt.0.to_be_bytes());
            }
            Action::Timer { after, token } => {
                self.start(69, inst);
                self.body.extend(wire_delay(after).to_be_bytes());
                self.body.extend(token.0.to_be_bytes());
            }
            Action::Probe { server } => {
                self.start(70, inst);
                self.body.extend(server.0.to_be_bytes());
            }
            Action::Subscribe => {
                self.start(75, inst);
                self.body.push(1);
            }
        }
    }

    /// The finished frame; the reply is empty afterwards.
    pub fn frame(&mut self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.body.len());
        out.extend(self.records.to_be_bytes());
        out.extend((self.body.len() as u32).to_be_bytes());
        out.append(&mut self.body);
        self.records = 0;
        out
    }
}
