//! The settings' JSON, checked and converted to the module's settings.

use crate::error::SettingsError;
use crate::schema::{
    RawAllowed, RawClass, RawEffect, RawMode, RawPrices, RawRules, RawScope, RawSettings,
    RawTenant, RawVia, RawWeights, RawWorthBy,
};
use dewrun_balancer::{
    Class, DeduplicationScope, EffectClass, Objective, Permissions, Prices, ReportField, ReportVia,
    Rules, Settings, Tenant, WeightKind,
};

/// Classes are numbered by a byte.
const MAX_CLASSES: usize = 256;
/// Tenants are numbered by two bytes.
const MAX_TENANTS: usize = 65_536;
/// Values of a load report.
const MAX_REPORT_FIELDS: usize = 4;
/// Retries as a fraction of requests.
const RETRY_RATIO: f64 = 0.1;

/// Reads the settings of an instance. The error names the key that cannot be used.
///
/// # Errors
///
/// If the text is not JSON, or a key is missing or has a value that cannot be used.
pub fn parse_settings(json: &[u8]) -> Result<Settings, SettingsError> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let raw: RawSettings =
        serde_path_to_error::deserialize(&mut reader).map_err(|error| SettingsError::Key {
            key: error.path().to_string(),
            source: error.into_inner(),
        })?;
    reader.end().map_err(SettingsError::TrailingText)?;
    check(&raw)?;
    Ok(convert(raw))
}

/// Checks what cannot be told from one key alone.
fn check(raw: &RawSettings) -> Result<(), SettingsError> {
    let (zone, tier) = (usize::from(raw.az), raw.stage as usize);
    let faults = [
        (raw.classes.is_empty(), "Classes: it is empty"),
        (
            raw.classes.len() > MAX_CLASSES,
            "Classes: it has more than 256 entries",
        ),
        (
            raw.tenants.len() > MAX_TENANTS,
            "Tenants: it has more than 65536 entries",
        ),
        (
            raw.report.fields.len() > MAX_REPORT_FIELDS,
            "Report.Fields: it has more than 4 entries",
        ),
        (
            !raw.zones.is_empty() && zone >= raw.zones.len(),
            "Az: there is no such zone in Zones",
        ),
        (
            !raw.stages.is_empty() && tier >= raw.stages.len(),
            "Stage: there is no such tier in Stages",
        ),
    ];
    match faults.into_iter().find(|(is_fault, _)| *is_fault) {
        Some((_, fault)) => Err(SettingsError::Contradiction(fault)),
        None => Ok(()),
    }
}

fn convert(raw: RawSettings) -> Settings {
    Settings {
        rank: raw.rank,
        fleet_size: raw.fleet_size,
        zone: raw.az,
        zones: raw.zones,
        tier: raw.stage,
        tier_names: raw.stages,
        machine_kinds: raw.machine_types,
        service: raw.kind_of_service,
        // The sites that speak this wire have calls of some hundred milliseconds.
        has_long_requests: true,
        retry_ratio: RETRY_RATIO,
        passes_deadline: raw.family_info.passes_deadline,
        has_key_affinity: raw.family_info.warm_keys,
        clients_mark_retries: raw.clients.marks_retry,
        must_subscribe: matches!(raw.membership_mode, RawMode::Subscribe),
        is_value_by_work: matches!(raw.worth_by, RawWorthBy::Work),
        over_quota_weight: raw.over_share_worth,
        tick_ms: raw.tick,
        weight_kind: match raw.weights {
            RawWeights::Off => WeightKind::Off,
            RawWeights::Nominal => WeightKind::Nominal,
            RawWeights::Rough => WeightKind::Rough,
            RawWeights::Live => WeightKind::Live,
        },
        report_fields: raw
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
        permissions: permissions(&raw.allowed),
        prices: prices(&raw.prices),
        objective: Objective {
            total: raw.objective_mix.whole,
            worst_window: raw.objective_mix.worst_window,
            worst_class: raw.objective_mix.worst_class,
            worst_tenant: raw.objective_mix.worst_tenant,
            availability: raw.objective_mix.nines,
            availability_target_nines: raw.objective_mix.full_at_nines,
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
            RawEffect::Repeatable => EffectClass::Idempotent,
            RawEffect::ByKey => EffectClass::Keyed,
            RawEffect::Once => EffectClass::NonIdempotent,
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

fn permissions(raw: &RawAllowed) -> Permissions {
    Permissions {
        cancel: raw.cancelling,
        probe: raw.probing,
        parallel: raw.parallel_tries,
        peers: raw.peers,
        retry_after: raw.retry_after,
        max_retry_after_ms: raw.max_retry_after,
        max_attempts: raw.max_attempts,
        max_pending_requests: raw.open_cap,
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
        list_entries: raw.membership_mode,
        fleet: raw.fleet,
        migrations: raw.moves,
        origin_fetches: raw.origin,
        peer_bytes: raw.peer,
    }
}
