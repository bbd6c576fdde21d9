//! A generator of the events of a deployment with a few instances. Its settings and events are
//! drawn from one seed. A simple model of the endpoints determines the outcomes of attempts: some
//! endpoints are slow, some fail, some refuse connections, and each phase has another fault.

use crate::adapter::{Batch, ReplyRecord};
use crate::random::Random;
use std::collections::BTreeMap;

const INSTANCES: u32 = 3;
/// Number of batches in a phase with one fault.
const PHASE_BATCHES: usize = 60;

const OUTCOME_OK: u16 = 0;
const OUTCOME_ERROR: u16 = 255;
const OUTCOME_FULL: u16 = 254;
const OUTCOME_TIMEOUT: u16 = 253;
const OUTCOME_CONNECT_FAILED: u16 = 252;
const OUTCOME_RESET: u16 = 251;
const OUTCOME_CANCELLED: u16 = 250;
const OUTCOME_NOT_SENT: u16 = 249;

const STATE_DRAINING: u8 = 0;
const STATE_REMOVED: u8 = 1;
const STATE_READY: u8 = 2;

const LIST_DELTA: u8 = 0;
const LIST_FULL: u8 = 1;
const LIST_CACHED: u8 = 2;
const LIST_FAILED: u8 = 3;

/// An endpoint of the model.
#[derive(Clone)]
struct Endpoint {
    id: u32,
    zone: u16,
    cell: u16,
    state: u8,
    weight: f32,
    started_ms: f64,
    latency_ms: f64,
    error_rate: f64,
    refuses_connections: bool,
    hangs: bool,
}

/// An attempt in flight.
struct Attempt {
    instance: u32,
    request: u64,
    number: u8,
    endpoint: u32,
    sent_ms: f64,
    ends_ms: f64,
    outcome: u16,
}

/// A request of a client.
struct Request {
    instance: u32,
    attempts: u8,
    deadline_at_ms: f64,
    is_over: bool,
}

/// A deployment and the state of its endpoints, requests and timers.
pub struct Deployment {
    random: Random,
    settings: String,
    classes: usize,
    tenants: usize,
    zones: usize,
    load_per_batch: f64,
    batch: usize,
    now_ms: f64,
    next_request: u64,
    next_endpoint: u32,
    endpoints: Vec<Endpoint>,
    attempts: Vec<Attempt>,
    requests: BTreeMap<u64, Request>,
    timers: Vec<(f64, u32, u64)>,
    version: u32,
}

impl Deployment {
    /// Draws the settings and the endpoints of a deployment.
    pub fn new(seed: u64) -> Deployment {
        let mut random = Random::new(seed);
        let (classes, tenants, zones) = (1 + random.below(4), random.below(4), 1 + random.below(3));
        let settings = settings(&mut random, classes, tenants, zones);
        let load_per_batch = *random.one_of(&[0.3, 1.0, 4.0, 12.0]);
        let count = 1 + random.below(40);
        let mut deployment = Deployment {
            random,
            settings,
            classes,
            tenants,
            zones,
            load_per_batch,
            batch: 0,
            now_ms: 1_000.0,
            next_request: 1,
            next_endpoint: 1,
            endpoints: Vec::new(),
            attempts: Vec::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            version: 1,
        };
        for _ in 0..count {
            deployment.add_endpoint(0.0);
        }
        deployment
    }

    fn add_endpoint(&mut self, started_ms: f64) {
        let id = self.next_endpoint;
        self.next_endpoint += 1;
        self.endpoints.push(Endpoint {
            id: id.wrapping_mul(0x9E37_79B1),
            zone: self.random.below(self.zones) as u16,
            cell: (id / 4) as u16,
            state: STATE_READY,
            weight: *self
                .random
                .one_of(&[1.0, 1.0, 1.0, 2.0, 0.5, 0.0, f32::NAN]),
            started_ms,
            latency_ms: 20.0 + 300.0 * self.random.fraction(),
            error_rate: 0.01,
            refuses_connections: false,
            hangs: false,
        });
    }

    /// Advances the clock and returns the events that are due.
    pub fn next_batch(&mut self) -> Batch {
        let mut records = Vec::new();
        if self.batch == 0 {
            self.provision_all(&mut records);
        }
        self.now_ms += *self.random.one_of(&[0.0, 1.0, 5.0, 10.0, 25.0, 60.0]);
        if self.random.chance(0.01) {
            self.now_ms += 4_000.0;
        }
        if self.batch % PHASE_BATCHES == PHASE_BATCHES - 1 {
            self.change_phase(&mut records);
        }
        self.end_attempts(&mut records);
        self.fire_timers(&mut records);
        self.disconnect_clients(&mut records);
        self.send_requests(&mut records);
        self.rare_events(&mut records);
        self.batch += 1;
        Batch {
            now_ms: self.now_ms,
            records,
        }
    }

    /// Applies one record of the reply to the model.
    pub fn apply_record(&mut self, instance: u32, record: &ReplyRecord) {
        match record {
            ReplyRecord::Send {
                request,
                endpoint,
                timeout_ms,
            } => {
                self.begin_attempt(instance, *request, *endpoint, *timeout_ms);
            }
            ReplyRecord::Reject { request } | ReplyRecord::Fail { request } => {
                if let Some(request) = self.requests.get_mut(request) {
                    request.is_over = true;
                }
            }
            ReplyRecord::Cancel { request, attempt } => self.cancel(*request, *attempt),
            ReplyRecord::SetTimer { after_ms, token } => {
                self.timers.push((self.now_ms + after_ms, instance, *token))
            }
            ReplyRecord::Log | ReplyRecord::Other => {}
        }
    }

    fn provision_all(&mut self, records: &mut Vec<Vec<u8>>) {
        for instance in 0..INSTANCES {
            let mut record = vec![0];
            record.extend(instance.to_be_bytes());
            record.extend(self.random.bits().to_be_bytes());
            record.extend((self.settings.len() as u32).to_be_bytes());
            record.extend(self.settings.as_bytes());
            records.push(record);
        }
        self.push_list(LIST_CACHED, self.endpoints.clone(), records);
    }

    /// Appends an endpoint list in a random slot, and the change event for all instances.
    fn push_list(&mut self, kind: u8, endpoints: Vec<Endpoint>, records: &mut Vec<Vec<u8>>) {
        let slot = self.random.below(16) as u8;
        let mut list = vec![10, slot];
        list.extend((endpoints.len() as u32).to_be_bytes());
        for endpoint in &endpoints {
            list.extend(endpoint.id.to_be_bytes());
            list.extend(endpoint.zone.to_be_bytes());
            list.push(0);
            list.extend(endpoint.cell.to_be_bytes());
            list.push(endpoint.state);
            list.extend(endpoint.weight.to_be_bytes());
            list.extend(endpoint.started_ms.to_be_bytes());
        }
        records.push(list);
        self.version += 1;
        for instance in 0..INSTANCES {
            records.push(self.endpoints_changed(instance, kind, slot));
        }
    }

    fn endpoints_changed(&self, instance: u32, kind: u8, slot: u8) -> Vec<u8> {
        let mut record = vec![1];
        record.extend(instance.to_be_bytes());
        record.push(kind);
        record.extend(self.version.to_be_bytes());
        record.push(slot);
        record
    }

    /// Draws another fault, and appends the events of discovery that follow from it.
    fn change_phase(&mut self, records: &mut Vec<Vec<u8>>) {
        for endpoint in &mut self.endpoints {
            (
                endpoint.error_rate,
                endpoint.refuses_connections,
                endpoint.hangs,
            ) = (0.01, false, false);
        }
        let count = self.endpoints.len();
        let several = 1 + self.random.below(count.div_ceil(3));
        let start = self.random.below(count);
        let chosen: Vec<usize> = (start..start + several).map(|at| at % count).collect();
        match self.random.below(8) {
            0 => chosen
                .iter()
                .for_each(|at| self.endpoints[*at].error_rate = 0.7),
            1 => chosen
                .iter()
                .for_each(|at| self.endpoints[*at].refuses_connections = true),
            2 => chosen
                .iter()
                .for_each(|at| self.endpoints[*at].hangs = true),
            3 => chosen
                .iter()
                .for_each(|at| self.endpoints[*at].latency_ms *= 4.0),
            4 => self.restart_endpoints(&chosen, records),
            5 => self.drain_endpoints(&chosen, records),
            6 => self.replace_endpoints(records),
            _ => (0..INSTANCES).for_each(|instance| {
                records.push(self.endpoints_changed(instance, LIST_FAILED, 200))
            }),
        }
    }

    fn restart_endpoints(&mut self, chosen: &[usize], records: &mut Vec<Vec<u8>>) {
        for at in chosen {
            self.endpoints[*at].started_ms = self.now_ms;
            self.endpoints[*at].state = STATE_READY;
        }
        let changed = chosen
            .iter()
            .map(|at| self.endpoints[*at].clone())
            .collect();
        self.push_list(LIST_DELTA, changed, records);
    }

    fn drain_endpoints(&mut self, chosen: &[usize], records: &mut Vec<Vec<u8>>) {
        for at in chosen {
            let is_ready = self.endpoints[*at].state == STATE_READY;
            self.endpoints[*at].state = if is_ready {
                STATE_DRAINING
            } else {
                STATE_REMOVED
            };
        }
        let changed = chosen
            .iter()
            .map(|at| self.endpoints[*at].clone())
            .collect();
        self.push_list(LIST_DELTA, changed, records);
        self.endpoints
            .retain(|endpoint| endpoint.state != STATE_REMOVED);
        if self.endpoints.is_empty() {
            self.add_endpoint(self.now_ms);
        }
    }

    fn replace_endpoints(&mut self, records: &mut Vec<Vec<u8>>) {
        let kept = self.endpoints.len().div_ceil(2);
        self.endpoints.truncate(kept);
        for _ in 0..1 + self.random.below(10) {
            self.add_endpoint(self.now_ms);
        }
        let all = self.endpoints.clone();
        self.push_list(LIST_FULL, all, records);
    }

    fn begin_attempt(&mut self, instance: u32, request: u64, id: u32, timeout_ms: f64) {
        let Some(state) = self.requests.get_mut(&request) else {
            return;
        };
        let number = state.attempts;
        state.attempts += 1;
        let remaining_ms = state.deadline_at_ms - self.now_ms;
        let timeout_ms = if timeout_ms > 0.0 {
            timeout_ms.min(remaining_ms)
        } else {
            remaining_ms
        };
        let (outcome, took_ms) = self.draw_outcome(id, timeout_ms);
        let (sent_ms, ends_ms) = (self.now_ms, self.now_ms + took_ms);
        self.attempts.push(Attempt {
            instance,
            request,
            number,
            endpoint: id,
            sent_ms,
            ends_ms,
            outcome,
        });
    }

    fn draw_outcome(&mut self, id: u32, timeout_ms: f64) -> (u16, f64) {
        let fraction = self.random.fraction();
        let Some(endpoint) = self.endpoints.iter().find(|endpoint| endpoint.id == id) else {
            return (OUTCOME_CONNECT_FAILED, 2.0);
        };
        if endpoint.refuses_connections {
            return (OUTCOME_CONNECT_FAILED, 1.0 + fraction);
        }
        let took_ms = endpoint.latency_ms * (0.5 + 1.5 * fraction * fraction);
        if endpoint.hangs || took_ms > timeout_ms {
            return (OUTCOME_TIMEOUT, timeout_ms.max(0.0));
        }
        if self.random.chance(endpoint.error_rate) {
            let outcomes = [OUTCOME_ERROR, OUTCOME_FULL, OUTCOME_RESET, OUTCOME_NOT_SENT];
            return (*self.random.one_of(&outcomes), took_ms / 3.0);
        }
        (OUTCOME_OK, took_ms)
    }

    fn cancel(&mut self, request: u64, number: u8) {
        let now_ms = self.now_ms;
        let attempt = self
            .attempts
            .iter_mut()
            .find(|a| a.request == request && a.number == number);
        if let Some(attempt) = attempt {
            (attempt.outcome, attempt.ends_ms) = (OUTCOME_CANCELLED, now_ms);
        }
    }

    fn end_attempts(&mut self, records: &mut Vec<Vec<u8>>) {
        let now_ms = self.now_ms;
        let (ended, in_flight) = std::mem::take(&mut self.attempts)
            .into_iter()
            .partition(|a| a.ends_ms <= now_ms);
        self.attempts = in_flight;
        for attempt in ended {
            let request = self.requests.get_mut(&attempt.request);
            let ended = attempt.outcome == OUTCOME_OK
                || request.as_ref().is_none_or(|request| request.is_over);
            if let Some(request) = request {
                request.is_over |= ended;
            }
            if attempt.outcome == OUTCOME_OK && self.random.chance(0.1) {
                records.push(first_byte(&attempt));
            }
            // The balancer replaces a latency that is not a number by its own measurement.
            let took_ms = if self.random.chance(0.005) {
                f64::NAN
            } else {
                attempt.ends_ms - attempt.sent_ms
            };
            records.push(attempt_outcome(
                &attempt,
                took_ms,
                ended,
                self.random.below(6),
            ));
        }
    }

    fn fire_timers(&mut self, records: &mut Vec<Vec<u8>>) {
        let now_ms = self.now_ms;
        let (due, later) = std::mem::take(&mut self.timers)
            .into_iter()
            .partition(|timer| timer.0 <= now_ms);
        self.timers = later;
        let due: Vec<(f64, u32, u64)> = due;
        for (_, instance, token) in due {
            let mut record = vec![6];
            record.extend(instance.to_be_bytes());
            record.extend(token.to_be_bytes());
            records.push(record);
        }
    }

    /// Disconnects clients whose deadline has passed, and a few others early.
    fn disconnect_clients(&mut self, records: &mut Vec<Vec<u8>>) {
        let now_ms = self.now_ms;
        let random = &mut self.random;
        for (id, request) in &mut self.requests {
            let disconnects = now_ms > request.deadline_at_ms + 20.0 || random.chance(0.001);
            if !request.is_over && disconnects {
                request.is_over = true;
                let mut record = vec![5];
                record.extend(request.instance.to_be_bytes());
                record.extend(id.to_be_bytes());
                records.push(record);
            }
        }
        let attempts = &self.attempts;
        self.requests
            .retain(|id, request| !request.is_over || attempts.iter().any(|a| a.request == *id));
    }

    fn send_requests(&mut self, records: &mut Vec<Vec<u8>>) {
        let burst = if self.random.chance(0.05) { 5.0 } else { 1.0 };
        let count = (self.load_per_batch * burst * 2.0 * self.random.fraction()).round() as usize;
        for _ in 0..count {
            let id = self.next_request;
            self.next_request += 1;
            let instance = self.random.below(INSTANCES as usize) as u32;
            let ttl_ms = *self.random.one_of(&[3.0, 60.0, 400.0, 1_500.0, 4_000.0]);
            // Some requests name a class or a tenant that the settings do not have.
            let class = if self.random.chance(0.01) {
                9
            } else {
                self.random.below(self.classes) as u8
            };
            let tenant = self.random.below(self.tenants + 1) as u16;
            let request = Request {
                instance,
                attempts: 0,
                deadline_at_ms: self.now_ms + ttl_ms,
                is_over: false,
            };
            self.requests.insert(id, request);
            let mut record = vec![2];
            record.extend(instance.to_be_bytes());
            record.extend(id.to_be_bytes());
            record.extend((self.random.below(9) as u64).to_be_bytes());
            record.extend(tenant.to_be_bytes());
            record.push(class);
            record.extend(12f64.to_be_bytes());
            record.push(self.random.below(8) as u8);
            record.extend(ttl_ms.to_be_bytes());
            records.push(record);
        }
    }

    /// Appends events that the balancer ignores, and sometimes replaces an instance.
    fn rare_events(&mut self, records: &mut Vec<Vec<u8>>) {
        if self.random.chance(0.02) {
            let mut record = vec![7];
            record.extend(0u32.to_be_bytes());
            record.extend(self.endpoints[0].id.to_be_bytes());
            record.extend(1.5f64.to_be_bytes());
            record.extend(OUTCOME_OK.to_be_bytes());
            record.push(0);
            records.push(record);
        }
        if self.random.chance(0.02) {
            let mut record = vec![8];
            record.extend(1u32.to_be_bytes());
            record.extend([0, 2, 0, 2, b'h', b'i']);
            records.push(record);
        }
        if self.random.chance(0.003) {
            self.attempts.retain(|attempt| attempt.instance != 2);
            self.requests.retain(|_, request| request.instance != 2);
            self.timers.retain(|timer| timer.1 != 2);
            let mut halt = vec![9];
            halt.extend(2u32.to_be_bytes());
            records.push(halt);
            let mut provision = vec![0];
            provision.extend(2u32.to_be_bytes());
            provision.extend(self.random.bits().to_be_bytes());
            provision.extend((self.settings.len() as u32).to_be_bytes());
            provision.extend(self.settings.as_bytes());
            records.push(provision);
            let all = self.endpoints.clone();
            self.push_list(LIST_FULL, all, records);
        }
    }
}

fn first_byte(attempt: &Attempt) -> Vec<u8> {
    let mut record = vec![3];
    record.extend(attempt.instance.to_be_bytes());
    record.extend(attempt.request.to_be_bytes());
    record.push(attempt.number);
    record.extend(5f64.to_be_bytes());
    record.extend(attempt.endpoint.to_be_bytes());
    record
}

fn attempt_outcome(attempt: &Attempt, took_ms: f64, ended: bool, values: usize) -> Vec<u8> {
    let mut record = vec![4];
    record.extend(attempt.instance.to_be_bytes());
    record.extend(attempt.request.to_be_bytes());
    record.push(attempt.number);
    record.extend(attempt.endpoint.to_be_bytes());
    record.extend(attempt.outcome.to_be_bytes());
    record.extend(took_ms.to_be_bytes());
    record.push(u8::from(ended));
    record.push(values as u8);
    (0..values).for_each(|value| record.extend((value as f32).to_be_bytes()));
    record
}

/// Draws the settings of a deployment, in the JSON of the platform.
fn settings(random: &mut Random, classes: usize, tenants: usize, zones: usize) -> String {
    let class = |random: &mut Random, at: usize| {
        format!(
            r#"{{"Name":"c{at}","Aim":{},"HardLimit":4000,"Effect":"{}","KeyScope":"{}","Window":{},"Points":{},
            "LateWorth":0.2}}"#,
            random.one_of(&[150, 400, 1_500]),
            random.one_of(&["repeatable", "by_key", "once"]),
            random.one_of(&["all", "zone", "cell"]),
            random.one_of(&[200, 2_000, 9_000]),
            random.one_of(&["1.0", "0.5", "4.0"]),
        )
    };
    let classes: Vec<String> = (0..classes).map(|at| class(random, at)).collect();
    let tenant = |random: &mut Random| {
        let per_second = random.one_of(&["0.5", "5", "80"]);
        format!(r#"{{"Name":"t","AllowancePerS":{per_second},"Fraction":0.3}}"#)
    };
    let tenants: Vec<String> = (0..tenants).map(|_| tenant(random)).collect();
    let fleet_size = *random.one_of(&[1, 3, 20, 200]);
    format!(
        r#"{{"Classes":[{}],"Tenants":[{}],"Zones":[{}],"Az":{},"Stage":{},"FleetSize":{fleet_size},"Rank":{},
        "MembershipMode":"{}","OverShareWorth":0.05,"Tick":{},"FamilyInfo":{{"PassesDeadline":true}},
        "Rules":{{"GraceToAnswer":20,"DrainGrace":250,"AskWithin":{},"ColdFrom":{},"Cold":{},"FallMultiple":{},
        "Fall":3000}},"Allowed":{{"MaxAttempts":{},"Cancelling":{},"RetryAfter":{},"MaxRetryAfter":2000,
        "ConnectTimeout":250}},"Prices":{{"CrossZone":{}}},
        "ObjectiveMix":{{"Whole":0.6,"WorstClass":{},"WorstWindow":0.1,"WorstTenant":0.1}}}}"#,
        classes.join(","),
        tenants.join(","),
        vec!["\"z\""; zones].join(","),
        random.below(zones),
        random.below(3),
        random.below(fleet_size),
        random.one_of(&["automatic", "subscribe"]),
        random.one_of(&["1", "5"]),
        random.one_of(&["2000", "10000"]),
        random.one_of(&["0.1", "0.3", "1.0"]),
        random.one_of(&["0", "2000", "8000"]),
        random.one_of(&["1.5", "3"]),
        1 + random.below(5),
        random.one_of(&["true", "false"]),
        random.one_of(&["true", "false"]),
        random.one_of(&["0.0", "0.01"]),
        random.one_of(&["0.0", "0.2"]),
    )
}
