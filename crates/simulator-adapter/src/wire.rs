//! The frame codec of the bench's wire (dialect quartz-a7c8) and the parsing of settings.
//!
//! Nothing here decides anything. Frames are big-endian and unpadded; every read is checked against
//! the frame's end, so a malformed frame is an error and never a wrong event or a large allocation.

use dewrun_balancer::*;
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use std::fmt;

/// Bytes in the header of a batch.
pub const BATCH_HEADER: usize = 20;
/// Bytes in the header of a reply.
pub const REPLY_HEADER: usize = 12;
const ENTRY: usize = 22;
const LISTS: usize = 16;

/// Why a frame cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Malformed(pub String);

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "malformed frame: {}", self.0)
    }
}

impl std::error::Error for Malformed {}

fn malformed<T>(why: impl Into<String>) -> Result<T, Malformed> {
    Err(Malformed(why.into()))
}

/// The header of a batch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Header {
    /// How many records follow.
    pub records: u32,
    /// Size of the whole frame.
    pub size: u32,
    /// The clock.
    pub now: Millis,
    /// The number of the batch.
    pub batch: u32,
}

impl Header {
    /// Reads a header and checks that its size and count can go together.
    pub fn parse(bytes: &[u8; BATCH_HEADER]) -> Result<Header, Malformed> {
        let mut r = Reader { bytes };
        let header = Header {
            records: r.u32()?,
            size: r.u32()?,
            now: r.f64()?,
            batch: r.u32()?,
        };
        let body = (header.size as usize).checked_sub(BATCH_HEADER);
        match body {
            None => malformed(format!("length {} is shorter than a header", header.size)),
            Some(body) if header.records as usize > body => malformed(format!(
                "{} records cannot fit in {body} bytes",
                header.records
            )),
            Some(_) if !header.now.is_finite() => malformed("the clock is not a number"),
            Some(_) => Ok(header),
        }
    }
}

/// One record of a batch.
#[derive(Clone, Debug, PartialEq)]
pub enum Record<'a> {
    /// An instance starts.
    Provision {
        /// The instance.
        instance: u32,
        /// Its seed.
        seed: u64,
        /// Its settings, as JSON.
        conf: &'a [u8],
    },
    /// An instance is killed.
    Halt {
        /// The instance.
        instance: u32,
    },
    /// A list of endpoints, to be kept under a number.
    Manifest {
        /// The number.
        buffer: u8,
        /// The entries.
        entries: Vec<EndpointInfo>,
    },
    /// News of the endpoints: the entries stand in the list of that number.
    EndpointsChanged {
        /// The instance.
        instance: u32,
        /// How to read the list.
        kind: ListKind,
        /// The version of the list.
        version: u32,
        /// The number of the list.
        buffer: u8,
    },
    /// Any other event.
    Event {
        /// The instance.
        instance: u32,
        /// The event.
        event: Event<'a>,
    },
}

struct Reader<'a> {
    bytes: &'a [u8],
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], Malformed> {
        if n > self.bytes.len() {
            return malformed(format!("a field of {n} bytes runs past the end"));
        }
        let (head, tail) = self.bytes.split_at(n);
        self.bytes = tail;
        Ok(head)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Malformed> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    fn u8(&mut self) -> Result<u8, Malformed> {
        Ok(self.array::<1>()?[0])
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

    fn f64(&mut self) -> Result<f64, Malformed> {
        Ok(f64::from_be_bytes(self.array()?))
    }

    fn report(&mut self) -> Result<Report, Malformed> {
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

    fn outcome(&mut self) -> Result<Outcome, Malformed> {
        Ok(match self.u16()? {
            0 => Outcome::Ok,
            255 => Outcome::Error,
            254 => Outcome::Full,
            253 => Outcome::Timeout,
            252 => Outcome::ConnectFailed,
            251 => Outcome::Reset,
            250 => Outcome::Cancelled,
            249 => Outcome::NotSent,
            other => return malformed(format!("unknown outcome {other}")),
        })
    }

    fn entry(&mut self) -> Result<EndpointInfo, Malformed> {
        let (id, zone, kind, cell) = (self.u32()?, self.u16()?, self.u8()?, self.u16()?);
        let state = match self.u8()? {
            2 => EndpointState::Ready,
            0 => EndpointState::Draining,
            1 => EndpointState::Gone,
            other => return malformed(format!("unknown backend state {other}")),
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

    fn manifest(&mut self) -> Result<Record<'a>, Malformed> {
        let buffer = self.u8()?;
        if usize::from(buffer) >= LISTS {
            return malformed(format!("list number {buffer}"));
        }
        let n = self.u32()? as usize;
        let Some(bytes) = n
            .checked_mul(ENTRY)
            .filter(|size| *size <= self.bytes.len())
        else {
            return malformed(format!("a list of {n} entries runs past the end"));
        };
        let mut inner = Reader {
            bytes: self.take(bytes)?,
        };
        let entries = (0..n).map(|_| inner.entry()).collect::<Result<_, _>>()?;
        Ok(Record::Manifest { buffer, entries })
    }

    fn request(&mut self) -> Result<Event<'a>, Malformed> {
        let (id, key) = (self.u64()?, self.u64()?);
        let (tenant, class) = (self.u16()?, self.u8()?);
        let (hint, flags, ttl_ms) = (self.f64()?, self.u8()?, self.f64()?);
        let (repeat, write) = (flags & 2 != 0, flags & 4 != 0);
        let (key, hint_ms) = ((key != 0).then_some(key), (flags & 1 != 0).then_some(hint));
        Ok(Event::Request {
            id,
            key,
            cell: None,
            class,
            tenant,
            hint_ms,
            repeat,
            write,
            ttl_ms,
        })
    }

    fn returned(&mut self) -> Result<Event<'a>, Malformed> {
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

    fn record(&mut self) -> Result<Record<'a>, Malformed> {
        let code = self.u8()?;
        if code == 10 {
            return self.manifest();
        }
        if code > 10 {
            return malformed(format!("unknown event code {code}"));
        }
        let instance = self.u32()?;
        let event = match code {
            0 => {
                let seed = self.u64()?;
                let n = self.u32()? as usize;
                return Ok(Record::Provision {
                    instance,
                    seed,
                    conf: self.take(n)?,
                });
            }
            1 => {
                let kind = match self.u8()? {
                    0 => ListKind::Delta,
                    1 => ListKind::Full,
                    2 => ListKind::Cached,
                    3 => ListKind::Failed,
                    other => return malformed(format!("unknown list form {other}")),
                };
                let (version, buffer) = (self.u32()?, self.u8()?);
                if kind != ListKind::Failed && usize::from(buffer) >= LISTS {
                    return malformed(format!("list number {buffer}"));
                }
                return Ok(Record::EndpointsChanged {
                    instance,
                    kind,
                    version,
                    buffer,
                });
            }
            2 => self.request()?,
            3 => {
                let (request, attempt) = (self.u64()?, self.u8()?);
                let (latency_ms, endpoint) = (self.f64()?, self.u32()?);
                Event::FirstByte {
                    request,
                    attempt,
                    endpoint,
                    latency_ms,
                }
            }
            4 => self.returned()?,
            5 => Event::ClientGone {
                request: self.u64()?,
            },
            6 => Event::Timer { token: self.u64()? },
            7 => {
                let (endpoint, latency_ms) = (self.u32()?, self.f64()?);
                let (outcome, report) = (self.outcome()?, self.report()?);
                Event::ProbeResult {
                    endpoint,
                    outcome,
                    latency_ms,
                    report,
                }
            }
            8 => {
                let from = self.u16()?;
                let n = usize::from(self.u16()?);
                Event::Message {
                    from,
                    bytes: self.take(n)?,
                }
            }
            _ => return Ok(Record::Halt { instance }),
        };
        Ok(Record::Event { instance, event })
    }
}

/// Reads all records of a batch. `body` is the frame without its header.
pub fn parse_records<'a>(header: &Header, body: &'a [u8]) -> Result<Vec<Record<'a>>, Malformed> {
    if body.len() + BATCH_HEADER != header.size as usize {
        return malformed(format!(
            "length {} but {} bytes",
            header.size,
            body.len() + BATCH_HEADER
        ));
    }
    let mut reader = Reader { bytes: body };
    let mut out = Vec::new();
    for _ in 0..header.records {
        out.push(reader.record()?);
    }
    if !reader.bytes.is_empty() {
        return malformed(format!(
            "{} bytes after the last record",
            reader.bytes.len()
        ));
    }
    Ok(out)
}

/// Builds one reply frame.
#[derive(Debug, Default)]
pub struct Reply {
    bytes: Vec<u8>,
    records: u32,
}

impl Reply {
    /// Starts an empty reply, keeping the buffer of the last one.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.bytes.resize(REPLY_HEADER, 0);
        self.records = 0;
    }

    fn start(&mut self, code: u8, instance: u32) -> &mut Vec<u8> {
        self.records += 1;
        self.bytes.push(code);
        self.bytes.extend(instance.to_be_bytes());
        &mut self.bytes
    }

    fn counted(&mut self, code: u8, instance: u32, bytes: &[u8]) {
        let bytes = &bytes[..bytes.len().min(usize::from(u16::MAX))];
        let out = self.start(code, instance);
        out.extend((bytes.len() as u16).to_be_bytes());
        out.extend(bytes);
    }

    fn with_request(&mut self, code: u8, instance: u32, request: RequestId) -> &mut Vec<u8> {
        let out = self.start(code, instance);
        out.extend(request.to_be_bytes());
        out
    }

    /// Says that the decision code of an instance failed.
    pub fn fatal(&mut self, instance: u32, text: &str) {
        self.counted(73, instance, text.as_bytes());
    }

    /// Appends one action of an instance.
    pub fn action(&mut self, instance: u32, action: &Action) {
        match action {
            Action::Send {
                request,
                endpoint,
                timeout_ms,
                ..
            } => {
                let out = self.with_request(64, instance, *request);
                out.extend(endpoint.to_be_bytes());
                out.extend(timeout_ms.to_be_bytes());
            }
            Action::Reject {
                request,
                retry_after_ms,
                ..
            } => {
                self.with_request(65, instance, *request)
                    .extend(retry_after_ms.to_be_bytes());
            }
            Action::Fail { request, .. } => {
                self.with_request(66, instance, *request);
            }
            Action::Cancel { request, attempt } => {
                self.with_request(67, instance, *request).push(*attempt)
            }
            Action::SetTimer { after_ms, token } => {
                let out = self.start(68, instance);
                out.extend(after_ms.to_be_bytes());
                out.extend(token.to_be_bytes());
            }
            Action::Probe { endpoint } => self.start(69, instance).extend(endpoint.to_be_bytes()),
            Action::CloseIdle { endpoint } => {
                self.start(70, instance).extend(endpoint.to_be_bytes())
            }
            Action::Message { to, bytes } => {
                let out = self.start(71, instance);
                out.extend(to.unwrap_or(u32::MAX).to_be_bytes());
                out.extend((bytes.len() as u16).to_be_bytes());
                out.extend(bytes);
            }
            // Its form has no word for it.
            Action::StatusChanged { .. } => {}
            Action::Log(text) => self.counted(72, instance, text.as_bytes()),
            Action::Subscribe { on } => self.start(74, instance).push(u8::from(*on)),
            Action::Fetch => {
                self.start(75, instance);
            }
        }
    }

    /// Fills in the header and gives the whole frame.
    pub fn finish(&mut self, batch: u32) -> &[u8] {
        let size = self.bytes.len() as u32;
        self.bytes[0..4].copy_from_slice(&size.to_be_bytes());
        self.bytes[4..8].copy_from_slice(&self.records.to_be_bytes());
        self.bytes[8..12].copy_from_slice(&batch.to_be_bytes());
        &self.bytes
    }
}

// ---- settings ----

/// Reads a number and checks it, so that the error is raised where its key is known.
fn number<'de, D: Deserializer<'de>>(
    from: D,
    ok: fn(f64) -> bool,
    must: &str,
) -> Result<f64, D::Error> {
    let value = f64::deserialize(from)?;
    match value.is_finite() && ok(value) {
        true => Ok(value),
        false => Err(D::Error::custom(format!(
            "{value} is no use: it must be {must}"
        ))),
    }
}

fn not_negative<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    number(from, |v| v >= 0.0, "0 or more")
}

fn positive<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    number(from, |v| v > 0.0, "above 0")
}

fn part<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    number(from, |v| (0.0..=1.0).contains(&v), "from 0 to 1")
}

fn positive_part<'de, D: Deserializer<'de>>(from: D) -> Result<f64, D::Error> {
    number(from, |v| v > 0.0 && v <= 1.0, "above 0, and 1 at most")
}

fn count<'de, D: Deserializer<'de>>(from: D) -> Result<u32, D::Error> {
    match u32::deserialize(from)? {
        0 => Err(D::Error::custom("0 is no use: it must be above 0")),
        n => Ok(n),
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawClass {
    #[serde(default)]
    name: String,
    #[serde(deserialize_with = "positive")]
    aim: f64,
    #[serde(default, deserialize_with = "not_negative")]
    aim_stretch: f64,
    #[serde(deserialize_with = "positive")]
    hard_limit: f64,
    effect: RawEffect,
    #[serde(default)]
    key_scope: RawScope,
    #[serde(default, deserialize_with = "not_negative")]
    window: f64,
    #[serde(default, deserialize_with = "part")]
    late_worth: f64,
    #[serde(default = "one", deserialize_with = "not_negative")]
    points: f64,
    #[serde(default)]
    streaming: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawEffect {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawTenant {
    #[serde(default)]
    name: String,
    #[serde(default = "unlimited", deserialize_with = "not_negative")]
    allowance_per_s: f64,
    #[serde(default = "one", deserialize_with = "part")]
    fraction: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawRules {
    #[serde(default, deserialize_with = "not_negative")]
    grace_to_answer: f64,
    #[serde(deserialize_with = "not_negative")]
    drain_grace: f64,
    #[serde(default = "unlimited", deserialize_with = "positive")]
    ask_within: f64,
    #[serde(deserialize_with = "positive_part")]
    cold_from: f64,
    #[serde(deserialize_with = "not_negative")]
    cold: f64,
    #[serde(deserialize_with = "positive")]
    fall_multiple: f64,
    #[serde(deserialize_with = "not_negative")]
    fall: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawAllowed {
    #[serde(default)]
    cancelling: bool,
    #[serde(default)]
    probing: bool,
    #[serde(default)]
    parallel_tries: bool,
    #[serde(default)]
    peers: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default, deserialize_with = "not_negative")]
    max_retry_after: f64,
    #[serde(deserialize_with = "count")]
    max_attempts: u32,
    #[serde(default = "most", deserialize_with = "count")]
    open_cap: u32,
    #[serde(default = "unlimited", deserialize_with = "positive")]
    idle_close: f64,
    #[serde(default = "unlimited", deserialize_with = "positive")]
    connect_timeout: f64,
    #[serde(default = "single", deserialize_with = "count")]
    streams_per_conn: u32,
    #[serde(default = "unlimited", deserialize_with = "positive")]
    cpu_us_per_s: f64,
    #[serde(default, deserialize_with = "not_negative")]
    cpu_us_per_request: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawClients {
    marks_retry: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawPrices {
    #[serde(deserialize_with = "not_negative")]
    cross_zone: f64,
    #[serde(deserialize_with = "not_negative")]
    waste: f64,
    #[serde(deserialize_with = "not_negative")]
    late_fail: f64,
    #[serde(deserialize_with = "not_negative")]
    probe: f64,
    #[serde(deserialize_with = "not_negative")]
    connection: f64,
    #[serde(deserialize_with = "not_negative")]
    handshake: f64,
    #[serde(deserialize_with = "not_negative")]
    membership_mode: f64,
    #[serde(deserialize_with = "not_negative")]
    fleet: f64,
    #[serde(deserialize_with = "not_negative")]
    moves: f64,
    #[serde(deserialize_with = "not_negative")]
    origin: f64,
    #[serde(deserialize_with = "not_negative")]
    peer: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawObjective {
    #[serde(deserialize_with = "not_negative")]
    whole: f64,
    #[serde(deserialize_with = "not_negative")]
    worst_class: f64,
    #[serde(deserialize_with = "not_negative")]
    worst_tenant: f64,
    #[serde(deserialize_with = "not_negative")]
    worst_window: f64,
    #[serde(deserialize_with = "not_negative")]
    nines: f64,
    #[serde(deserialize_with = "positive")]
    full_at_nines: f64,
}

impl Default for RawObjective {
    fn default() -> RawObjective {
        RawObjective {
            whole: 1.0,
            worst_class: 0.0,
            worst_tenant: 0.0,
            worst_window: 0.0,
            nines: 0.0,
            full_at_nines: 3.0,
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawVia {
    #[default]
    Off,
    Inline,
    OnProbe,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawReport {
    fields: Vec<String>,
    via: RawVia,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct RawFamily {
    passes_deadline: bool,
    warm_keys: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawWeights {
    #[default]
    Off,
    Nominal,
    Rough,
    Live,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawMode {
    Automatic,
    Subscribe,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawWorthBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct RawSettings {
    #[serde(default)]
    rank: u32,
    #[serde(default = "single", deserialize_with = "count")]
    fleet_size: u32,
    #[serde(default)]
    az: u16,
    #[serde(default)]
    zones: Vec<String>,
    #[serde(default)]
    stage: u32,
    #[serde(default)]
    stages: Vec<String>,
    #[serde(default)]
    machine_types: Vec<String>,
    #[serde(default)]
    kind_of_service: String,
    #[serde(default)]
    family_info: RawFamily,
    membership_mode: RawMode,
    #[serde(default)]
    worth_by: RawWorthBy,
    #[serde(default = "one", deserialize_with = "part")]
    over_share_worth: f64,
    #[serde(default = "one", deserialize_with = "positive")]
    tick: f64,
    #[serde(default)]
    weights: RawWeights,
    #[serde(default)]
    report: RawReport,
    classes: Vec<RawClass>,
    #[serde(default)]
    tenants: Vec<RawTenant>,
    #[serde(default)]
    clients: RawClients,
    rules: RawRules,
    allowed: RawAllowed,
    #[serde(default)]
    prices: RawPrices,
    #[serde(default)]
    objective_mix: RawObjective,
}

fn one() -> f64 {
    1.0
}

fn single() -> u32 {
    1
}

fn most() -> u32 {
    u32::MAX
}

fn unlimited() -> f64 {
    f64::MAX
}

/// Reads the settings of an instance. The error names the key that cannot be used.
pub fn parse_settings(json: &[u8]) -> Result<Settings, String> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let raw: RawSettings = serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| format!("settings: {}: {}", e.path(), e.inner()))?;
    reader.end().map_err(|e| format!("settings: {e}"))?;
    check(&raw)?;
    Ok(convert(raw))
}

/// What cannot be told from one key alone.
fn check(raw: &RawSettings) -> Result<(), String> {
    let need = |ok: bool, what: &str| {
        if ok {
            Ok(())
        } else {
            Err(format!("settings: {what}"))
        }
    };
    need(!raw.classes.is_empty(), "Classes: it is empty")?;
    need(
        raw.classes.len() <= 256,
        "Classes: it has more than 256 entries",
    )?;
    need(
        raw.tenants.len() <= 65_536,
        "Tenants: it has more than 65536 entries",
    )?;
    need(
        raw.report.fields.len() <= 4,
        "Report.Fields: it has more than 4 entries",
    )?;
    let zone = usize::from(raw.az);
    need(
        raw.zones.is_empty() || zone < raw.zones.len(),
        "Az: there is no such zone in Zones",
    )?;
    let stage = raw.stage as usize;
    need(
        raw.stages.is_empty() || stage < raw.stages.len(),
        "Stage: there is no such tier in Stages",
    )
}

fn convert(raw: RawSettings) -> Settings {
    Settings {
        rank: raw.rank,
        fleet_size: raw.fleet_size,
        zone: raw.az,
        zones: raw.zones,
        stage: raw.stage,
        stages: raw.stages,
        machine_kinds: raw.machine_types,
        service: raw.kind_of_service,
        // The sites that speak this wire have calls of some hundred milliseconds.
        has_long_requests: true,
        retry_ratio: 0.1,
        passes_deadline: raw.family_info.passes_deadline,
        warm_keys: raw.family_info.warm_keys,
        marks_retry: raw.clients.marks_retry,
        must_subscribe: matches!(raw.membership_mode, RawMode::Subscribe),
        weight_by_work: matches!(raw.worth_by, RawWorthBy::Work),
        over_quota_weight: raw.over_share_worth,
        tick_ms: raw.tick,
        weights: match raw.weights {
            RawWeights::Off => Weights::Off,
            RawWeights::Nominal => Weights::Nominal,
            RawWeights::Rough => Weights::Rough,
            RawWeights::Live => Weights::Live,
        },
        report: raw
            .report
            .fields
            .iter()
            .map(|name| report_field(name))
            .collect(),
        report_via: match raw.report.via {
            RawVia::Inline => ReportVia::Inline,
            RawVia::OnProbe => ReportVia::Probe,
            RawVia::Off => ReportVia::Off,
        },
        classes: raw.classes.into_iter().map(class).collect(),
        tenants: raw.tenants.into_iter().map(tenant).collect(),
        rules: rules(&raw.rules),
        allowed: allowed(&raw.allowed),
        prices: prices(&raw.prices),
        objective: Objective {
            whole: raw.objective_mix.whole,
            worst_window: raw.objective_mix.worst_window,
            worst_class: raw.objective_mix.worst_class,
            worst_tenant: raw.objective_mix.worst_tenant,
            nines: raw.objective_mix.nines,
            full_at_nines: raw.objective_mix.full_at_nines,
        },
    }
}

fn report_field(name: &str) -> ReportField {
    match name {
        "active" => ReportField::Active,
        "waiting" => ReportField::Waiting,
        "cpu" => ReportField::Cpu,
        "avg_ms" => ReportField::LatencyMs,
        "rps" => ReportField::PerSecond,
        "err_rps" => ReportField::ErrorsPerSecond,
        _ => ReportField::Unknown,
    }
}

fn class(raw: RawClass) -> Class {
    Class {
        name: raw.name,
        latency_objective_ms: raw.aim,
        latency_objective_stretch: raw.aim_stretch,
        deadline_ms: raw.hard_limit,
        priority_weight: raw.points,
        late_fraction: raw.late_worth,
        effect: match raw.effect {
            RawEffect::Repeatable => EffectClass::Repeatable,
            RawEffect::ByKey => EffectClass::Keyed,
            RawEffect::Once => EffectClass::Once,
        },
        scope: match raw.key_scope {
            RawScope::All => DeduplicationScope::All,
            RawScope::Zone => DeduplicationScope::Zone,
            RawScope::Cell => DeduplicationScope::Cell,
        },
        window_ms: raw.window,
        streaming: raw.streaming,
    }
}

fn tenant(raw: RawTenant) -> Tenant {
    Tenant {
        name: raw.name,
        quota_per_s: raw.allowance_per_s,
        fraction: raw.fraction,
    }
}

fn rules(raw: &RawRules) -> Rules {
    Rules {
        answer_grace_ms: raw.grace_to_answer,
        drain_grace_ms: raw.drain_grace,
        poll_within_ms: raw.ask_within,
        slow_start_from: raw.cold_from,
        slow_start_ms: raw.cold,
        overload_multiple: raw.fall_multiple,
        overload_ms: raw.fall,
    }
}

fn allowed(raw: &RawAllowed) -> Allowed {
    Allowed {
        cancel: raw.cancelling,
        probe: raw.probing,
        parallel: raw.parallel_tries,
        peers: raw.peers,
        retry_after: raw.retry_after,
        max_retry_after_ms: raw.max_retry_after,
        max_attempts: raw.max_attempts,
        max_open: raw.open_cap,
        idle_close_ms: raw.idle_close,
        connect_timeout_ms: raw.connect_timeout,
        streams_per_connection: raw.streams_per_conn,
        cpu_us_per_s: raw.cpu_us_per_s,
        cpu_us_per_request: raw.cpu_us_per_request,
    }
}

fn prices(raw: &RawPrices) -> Prices {
    Prices {
        cross_zone: raw.cross_zone,
        waste: raw.waste,
        late_fail: raw.late_fail,
        probe: raw.probe,
        connection: raw.connection,
        handshake: raw.handshake,
        list_lines: raw.membership_mode,
        fleet: raw.fleet,
        moves: raw.moves,
        origin: raw.origin,
        peer: raw.peer,
    }
}
