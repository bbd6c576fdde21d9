//! The records of a batch: events, endpoint lists, and the start and stop of an instance.

use crate::error::{FieldError, FrameError};
use crate::frame::{Header, Reader, BATCH_HEADER};
use dewrun_balancer::{EndpointInfo, EndpointState, Event, ListKind, Outcome, Report};

/// Size of an entry in an endpoint list.
const ENTRY_BYTES: usize = 22;
/// Number of slots in which endpoint lists are stored.
pub(crate) const LIST_SLOTS: usize = 16;
/// Code of a record with an endpoint list, the highest code of all records.
const ENDPOINT_LIST_CODE: u8 = 10;

/// One record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// The start of an instance.
    Provision {
        /// Number of the instance.
        instance: u32,
        /// Seed of the random numbers of the instance.
        seed: u64,
        /// Settings of the instance as JSON.
        settings_json: &'a [u8],
    },
    /// The kill of an instance.
    Halt {
        /// Number of the instance.
        instance: u32,
    },
    /// An endpoint list, to be stored in a slot until events refer to it.
    EndpointList {
        /// Slot of the list, below 16.
        slot: u8,
        /// Endpoints of the list, in the order of the frame.
        entries: Vec<EndpointInfo>,
    },
    /// A change of the endpoints, whose entries are in a stored list.
    EndpointsChanged {
        /// Number of the instance that receives the event.
        instance: u32,
        /// Whether the list is complete, cached or a delta, or could not be fetched.
        kind: ListKind,
        /// Version of the list.
        version: u32,
        /// Slot of the list. It is ignored if the list could not be fetched.
        slot: u8,
    },
    /// Any other event.
    Event {
        /// Number of the instance that receives the event.
        instance: u32,
        /// Event in the terms of the balancer.
        event: Event<'a>,
    },
}

impl<'a> Reader<'a> {
    fn report(&mut self) -> Result<Report, FieldError> {
        let n = self.u8()?;
        let mut report = Report::default();
        for i in 0..n as usize {
            let value = self.f32()?;
            if let Some(slot) = report.values.get_mut(i) {
                *slot = value;
                report.len += 1;
            }
        }
        Ok(report)
    }

    fn outcome(&mut self) -> Result<Outcome, FieldError> {
        Ok(match self.u16()? {
            0 => Outcome::Ok,
            255 => Outcome::Error,
            254 => Outcome::Full,
            253 => Outcome::Timeout,
            252 => Outcome::ConnectFailed,
            251 => Outcome::Reset,
            250 => Outcome::Cancelled,
            249 => Outcome::NotSent,
            other => return Err(FieldError::UnknownOutcome(other)),
        })
    }

    fn entry(&mut self) -> Result<EndpointInfo, FieldError> {
        let (id, zone, kind, cell) = (self.u32()?, self.u16()?, self.u8()?, self.u16()?);
        let state = match self.u8()? {
            2 => EndpointState::Ready,
            0 => EndpointState::Draining,
            1 => EndpointState::Removed,
            other => return Err(FieldError::UnknownState(other)),
        };
        let (weight, started) = (f64::from(self.f32()?), self.f64()?);
        let started_at = (started != 0.0).then_some(started);
        Ok(EndpointInfo {
            id,
            zone,
            kind,
            cell,
            state,
            weight,
            started_at,
        })
    }

    fn endpoint_list(&mut self) -> Result<Record<'a>, FieldError> {
        let slot = self.u8()?;
        if usize::from(slot) >= LIST_SLOTS {
            return Err(FieldError::InvalidListSlot(slot));
        }
        let n = self.u32()? as usize;
        let Some(bytes) = n
            .checked_mul(ENTRY_BYTES)
            .filter(|size| *size <= self.bytes.len())
        else {
            return Err(FieldError::TruncatedList { entries: n });
        };
        let mut list_reader = Reader {
            bytes: self.take(bytes)?,
        };
        let entries = (0..n)
            .map(|_| list_reader.entry())
            .collect::<Result<_, _>>()?;
        Ok(Record::EndpointList { slot, entries })
    }

    fn request(&mut self) -> Result<Event<'a>, FieldError> {
        let (id, key) = (self.u64()?, self.u64()?);
        let (tenant, class) = (self.u16()?, self.u8()?);
        let (hint, flags, ttl_ms) = (self.f64()?, self.u8()?, self.f64()?);
        let (is_client_retry, write) = (flags & 2 != 0, flags & 4 != 0);
        let (key, hint_ms) = ((key != 0).then_some(key), (flags & 1 != 0).then_some(hint));
        Ok(Event::Request {
            id,
            key,
            cell: None,
            class,
            tenant,
            hint_ms,
            is_client_retry,
            write,
            ttl_ms,
        })
    }

    fn attempt_outcome(&mut self) -> Result<Event<'a>, FieldError> {
        let (request, attempt, endpoint) = (self.u64()?, self.u8()?, self.u32()?);
        let (outcome, latency_ms) = (self.outcome()?, self.f64()?);
        let (ended, report) = (self.u8()? != 0, self.report()?);
        Ok(Event::Outcome {
            request,
            attempt,
            endpoint,
            outcome,
            latency_ms,
            ended,
            report,
        })
    }

    fn provision(&mut self, instance: u32) -> Result<Record<'a>, FieldError> {
        let seed = self.u64()?;
        let n = self.u32()? as usize;
        let settings_json = self.take(n)?;
        Ok(Record::Provision {
            instance,
            seed,
            settings_json,
        })
    }

    fn list_kind(&mut self) -> Result<ListKind, FieldError> {
        match self.u8()? {
            0 => Ok(ListKind::Delta),
            1 => Ok(ListKind::Full),
            2 => Ok(ListKind::Cached),
            3 => Ok(ListKind::Failed),
            other => Err(FieldError::UnknownListKind(other)),
        }
    }

    fn endpoints_changed(&mut self, instance: u32) -> Result<Record<'a>, FieldError> {
        let kind = self.list_kind()?;
        let (version, slot) = (self.u32()?, self.u8()?);
        if kind != ListKind::Failed && usize::from(slot) >= LIST_SLOTS {
            return Err(FieldError::InvalidListSlot(slot));
        }
        Ok(Record::EndpointsChanged {
            instance,
            kind,
            version,
            slot,
        })
    }

    fn first_byte(&mut self) -> Result<Event<'a>, FieldError> {
        let (request, attempt) = (self.u64()?, self.u8()?);
        let (latency_ms, endpoint) = (self.f64()?, self.u32()?);
        Ok(Event::FirstByte {
            request,
            attempt,
            endpoint,
            latency_ms,
        })
    }

    fn probe_result(&mut self) -> Result<Event<'a>, FieldError> {
        let (endpoint, latency_ms) = (self.u32()?, self.f64()?);
        let (outcome, report) = (self.outcome()?, self.report()?);
        Ok(Event::ProbeResult {
            endpoint,
            outcome,
            latency_ms,
            report,
        })
    }

    fn message(&mut self) -> Result<Event<'a>, FieldError> {
        let from = self.u16()?;
        let n = usize::from(self.u16()?);
        let bytes = self.take(n)?;
        Ok(Event::Message { from, bytes })
    }

    fn record(&mut self) -> Result<Record<'a>, FieldError> {
        let code = self.u8()?;
        if code == ENDPOINT_LIST_CODE {
            return self.endpoint_list();
        }
        if code > ENDPOINT_LIST_CODE {
            return Err(FieldError::UnknownEvent(code));
        }
        let instance = self.u32()?;
        let event = match code {
            0 => return self.provision(instance),
            1 => return self.endpoints_changed(instance),
            2 => self.request()?,
            3 => self.first_byte()?,
            4 => self.attempt_outcome()?,
            5 => Event::ClientDisconnected {
                request: self.u64()?,
            },
            6 => Event::Timer { token: self.u64()? },
            7 => self.probe_result()?,
            8 => self.message()?,
            _ => return Ok(Record::Halt { instance }),
        };
        Ok(Record::Event { instance, event })
    }
}

/// Parses all records of a batch. `body` is the frame without its header.
///
/// # Errors
///
/// Returns an error if the records do not fill the body exactly, or if a record is malformed.
pub fn parse_records<'a>(header: &Header, body: &'a [u8]) -> Result<Vec<Record<'a>>, FrameError> {
    if body.len() + BATCH_HEADER != header.size as usize {
        return Err(FrameError::WrongSize {
            size: header.size,
            bytes: body.len() + BATCH_HEADER,
        });
    }
    let mut reader = Reader { bytes: body };
    let mut records = Vec::new();
    for index in 0..header.records {
        let record = reader.record();
        records.push(record.map_err(|source| FrameError::Record { index, source })?);
    }
    match reader.bytes.len() {
        0 => Ok(records),
        bytes => Err(FrameError::TrailingBytes { bytes }),
    }
}
