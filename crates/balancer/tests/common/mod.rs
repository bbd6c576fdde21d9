//! A minimal proxy for tests, which passes events to a balancer and records its actions.
#![allow(dead_code)] // each test file uses a part

use dewrun_balancer::Balancer;
use dewrun_balancer::*;

/// Returns a class with a latency objective of 1 s and a deadline of 4 s.
pub fn class(effect: EffectClass, scope: DeduplicationScope) -> Class {
    Class {
        name: String::new(),
        latency_objective_ms: 1_000.0,
        latency_objective_stretch: 0.0,
        deadline_ms: 4_000.0,
        priority_weight: 1.0,
        late_fraction: 0.2,
        effect,
        scope,
        window_ms: 2_000.0,
        streaming: false,
    }
}

/// Returns an objective without weights for tenants and availability.
pub fn objective(total: f64, worst_window: f64, worst_class: f64) -> Objective {
    Objective {
        total,
        worst_window,
        worst_class,
        worst_tenant: 0.0,
        availability: 0.0,
        availability_target_nines: 3.0,
    }
}

/// Returns a tenant with a quota in requests per second.
pub fn tenant(quota_per_s: f64) -> Tenant {
    Tenant {
        name: String::new(),
        quota_per_s,
        fraction: 0.5,
    }
}

/// Returns settings for one process with one idempotent class and no tenants.
pub fn settings() -> Settings {
    Settings {
        rank: 0,
        fleet_size: 1,
        zone: 0,
        tier: 0,
        tier_names: ["front", "middle", "back"].map(String::from).to_vec(),
        zones: Vec::new(),
        machine_kinds: Vec::new(),
        service: "chain".into(),
        has_long_requests: true,
        retry_ratio: 0.1,
        passes_deadline: true,
        has_key_affinity: false,
        clients_mark_retries: false,
        must_subscribe: false,
        is_value_by_work: false,
        over_quota_weight: 0.05,
        tick_ms: 5.0,
        weight_kind: WeightKind::Off,
        report_fields: Vec::new(),
        report_via: ReportVia::Off,
        classes: vec![class(EffectClass::Idempotent, DeduplicationScope::All)],
        tenants: Vec::new(),
        rules: Rules {
            answer_grace_ms: 20.0,
            drain_grace_ms: 250.0,
            poll_within_ms: 10_000.0,
            slow_start_from: 0.3,
            slow_start_ms: 8_000.0,
            overload_multiple: 3.0,
            overload_ms: 3_000.0,
        },
        permissions: Permissions {
            cancel: true,
            probe: false,
            parallel: false,
            retry_after: true,
            max_retry_after_ms: 2_000.0,
            max_attempts: 5,
            max_pending_requests: 1_000,
            peers: false,
            idle_close_ms: 30_000.0,
            connect_timeout_ms: 250.0,
            streams_per_connection: 1,
            cpu_us_per_s: 500_000.0,
            cpu_us_per_request: 0.0,
        },
        prices: Prices::default(),
        objective: objective(0.7, 0.2, 0.1),
    }
}

/// Returns a warm, ready endpoint of zone 0 and cell `id / 4`.
pub fn endpoint(id: EndpointId) -> EndpointInfo {
    EndpointInfo {
        id,
        zone: 0,
        kind: 0,
        cell: (id / 4) as u16,
        state: EndpointState::Ready,
        weight: 1.0,
        started_at: None,
    }
}

/// Returns `n` ready endpoints with ids from 1.
pub fn endpoints(n: u32) -> Vec<EndpointInfo> {
    (1..=n).map(endpoint).collect()
}

/// An attempt that the balancer sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub request: RequestId,
    pub attempt: u8,
    pub to: EndpointId,
    pub at: Millis,
    pub timeout_ms: Millis,
}

/// Returns the arrival of a request without a key or a work hint.
pub fn request(id: RequestId, class: u8, tenant: u16, ttl_ms: Millis) -> Event<'static> {
    Event::Request {
        id,
        key: None,
        cell: None,
        class,
        tenant,
        hint_ms: None,
        is_client_retry: false,
        write: false,
        ttl_ms,
    }
}

/// Returns the end of an attempt without a load report.
pub fn ended_as(
    request: RequestId,
    attempt: u8,
    endpoint: EndpointId,
    outcome: Outcome,
    latency_ms: Millis,
    ended: bool,
) -> Event<'static> {
    Event::Outcome {
        request,
        attempt,
        endpoint,
        outcome,
        latency_ms,
        ended,
        report: Report::default(),
    }
}

/// Passes events to one balancer and numbers the attempts of its requests.
pub struct Proxy {
    pub balancer: Balancer,
    pub now: Millis,
    /// Actions of the last event.
    pub last: Vec<Action>,
    attempts: std::collections::BTreeMap<RequestId, u8>,
    next_request: RequestId,
}

impl Proxy {
    pub fn new(settings: Settings, list: &[EndpointInfo]) -> Proxy {
        Proxy::seeded(settings, 7, list)
    }

    pub fn seeded(settings: Settings, seed: u64, list: &[EndpointInfo]) -> Proxy {
        let mut proxy = Proxy {
            balancer: Balancer::new(settings, seed),
            now: 1_000.0,
            last: Vec::new(),
            attempts: Default::default(),
            next_request: 1,
        };
        proxy.list(ListKind::Cached, list);
        proxy
    }

    pub fn event(&mut self, event: Event<'_>) -> &[Action] {
        self.last.clear();
        self.balancer.handle(self.now, event, &mut self.last);
        &self.last
    }

    pub fn list(&mut self, kind: ListKind, endpoints: &[EndpointInfo]) {
        self.event(Event::EndpointsChanged {
            kind,
            version: 1,
            endpoints,
        });
    }

    /// Returns the attempt that the last event started, if any.
    pub fn sent(&mut self) -> Option<Sent> {
        let now = self.now;
        let (request, to, timeout_ms) = self.last.iter().find_map(|a| match a {
            Action::Send {
                request,
                endpoint,
                timeout_ms,
                ..
            } => Some((*request, *endpoint, *timeout_ms)),
            _ => None,
        })?;
        let count = self.attempts.entry(request).or_default();
        *count += 1;
        Some(Sent {
            request,
            attempt: *count - 1,
            to,
            at: now,
            timeout_ms,
        })
    }

    /// Passes in a new request. Returns its attempt if it was admitted.
    pub fn request(&mut self, class: u8, tenant: u16, ttl_ms: Millis) -> Option<Sent> {
        let id = self.next_request;
        self.next_request += 1;
        self.event(request(id, class, tenant, ttl_ms));
        self.sent()
    }

    /// Ends an attempt now. Returns the next attempt of the request, if any.
    pub fn end(&mut self, sent: Sent, outcome: Outcome) -> Option<Sent> {
        let latency_ms = self.now - sent.at;
        let ended = outcome == Outcome::Ok;
        self.event(ended_as(
            sent.request,
            sent.attempt,
            sent.to,
            outcome,
            latency_ms,
            ended,
        ));
        self.sent()
    }

    pub fn is_rejected(&self) -> bool {
        self.last.iter().any(|a| matches!(a, Action::Reject { .. }))
    }

    pub fn has_failed(&self) -> bool {
        self.last.iter().any(|a| matches!(a, Action::Fail { .. }))
    }

    /// Sends `rounds` rounds of `width` concurrent requests, whose attempts end with `outcome`
    /// after `latency` milliseconds.
    pub fn rounds(&mut self, rounds: usize, width: usize, latency: Millis, outcome: Outcome) {
        for _ in 0..rounds {
            let mut in_flight: Vec<Sent> = (0..width)
                .filter_map(|_| self.request(0, 0, 4_000.0))
                .collect();
            self.now += latency;
            while let Some(sent) = in_flight.pop() {
                in_flight.extend(self.end(sent, outcome).filter(|_| outcome != Outcome::Ok));
            }
        }
    }

    /// Returns how many of `n` concurrent requests are admitted. They are served in time
    /// afterwards.
    pub fn admitted(&mut self, n: usize) -> usize {
        let in_flight: Vec<Sent> = (0..n).filter_map(|_| self.request(0, 0, 4_000.0)).collect();
        self.now += 100.0;
        in_flight.iter().for_each(|sent| {
            self.end(*sent, Outcome::Ok);
        });
        in_flight.len()
    }
}
