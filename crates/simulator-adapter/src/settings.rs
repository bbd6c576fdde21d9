//! Parsing of settings: the JSON is checked and converted to the settings of the balancer.

use crate::error::SettingsError;
use crate::schema::{
    RawClass, RawDeduplicationScope, RawEffectClass, RawMembershipMode, RawPermissions, RawPrices,
    RawReportVia, RawRules, RawSettings, RawTenant, RawValueBy, RawWeightKind,
};
use dewrun_balancer::{
    Class, DeduplicationScope, EffectClass, Objective, Permissions, Prices, ReportField, ReportVia,
    Rules, Settings, Tenant, WeightKind,
};

/// Request classes are numbered by one byte.
const MAX_CLASSES: usize = 256;
/// Tenants are numbered by two bytes.
const MAX_TENANTS: usize = 65_536;
/// Number of values in a load report.
const MAX_REPORT_FIELDS: usize = 4;
/// Retry budget as a fraction of the requests.
const RETRY_RATIO: f64 = 0.1;

/// Parses the settings of an instance.
///
/// # Errors
///
/// Returns an error that names the key if a key is missing or its value is invalid, and an error if
/// the text is not JSON.
pub fn parse_settings(json: &[u8]) -> Result<Settings, SettingsError> {
    let mut reader = serde_json::Deserializer::from_slice(json);
    let raw: RawSettings =
        serde_path_to_error::deserialize(&mut reader).map_err(|error| SettingsError::Key {
            key: error.path().to_string(),
            source: error.into_inner(),
        })?;
    reader.end().map_err(SettingsError::TrailingText)?;
    check_consistency(&raw)?;
    Ok(convert(raw))
}

/// Checks the lengths of lists and the constraints between keys.
fn check_consistency(raw: &RawSettings) -> Result<(), SettingsError> {
    let (zone, tier) = (usize::from(raw.zone), raw.tier as usize);
    let checks = [
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
            !raw.tier_names.is_empty() && tier >= raw.tier_names.len(),
            "Stage: there is no such tier in Stages",
        ),
    ];
    match checks.into_iter().find(|(is_violated, _)| *is_violated) {
        Some((_, message)) => Err(SettingsError::Inconsistent(message)),
        None => Ok(()),
    }
}

fn convert(raw: RawSettings) -> Settings {
    Settings {
        rank: raw.rank,
        fleet_size: raw.fleet_size,
        zone: raw.zone,
        zones: raw.zones,
        tier: raw.tier,
        tier_names: raw.tier_names,
        machine_kinds: raw.machine_kinds,
        service: raw.service,
        // Requests at the sites that use this wire format take some hundred milliseconds.
        has_long_requests: true,
        retry_ratio: RETRY_RATIO,
        passes_deadline: raw.service_info.passes_deadline,
        has_key_affinity: raw.service_info.has_key_affinity,
        clients_mark_retries: raw.clients.mark_retries,
        must_subscribe: matches!(raw.membership_mode, RawMembershipMode::Subscribe),
        is_value_by_work: matches!(raw.value_by, RawValueBy::Work),
        over_quota_weight: raw.over_quota_weight,
        tick_ms: raw.tick_ms,
        weight_kind: match raw.weight_kind {
            RawWeightKind::Off => WeightKind::Off,
            RawWeightKind::Nominal => WeightKind::Nominal,
            RawWeightKind::Rough => WeightKind::Rough,
            RawWeightKind::Live => WeightKind::Live,
        },
        report_fields: raw
            .report
            .fields
            .iter()
            .map(|name| report_field(name))
            .collect(),
        report_via: match raw.report.via {
            RawReportVia::Inline => ReportVia::Inline,
            RawReportVia::Probe => ReportVia::Probe,
            RawReportVia::Off => ReportVia::Off,
        },
        classes: raw.classes.into_iter().map(class).collect(),
        tenants: raw.tenants.into_iter().map(tenant).collect(),
        rules: rules(&raw.rules),
        permissions: permissions(&raw.permissions),
        prices: prices(&raw.prices),
        objective: Objective {
            total: raw.objective.total,
            worst_window: raw.objective.worst_window,
            worst_class: raw.objective.worst_class,
            worst_tenant: raw.objective.worst_tenant,
            availability: raw.objective.availability,
            availability_target_nines: raw.objective.availability_target_nines,
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
        latency_objective_ms: raw.latency_objective_ms,
        latency_objective_stretch: raw.latency_objective_stretch,
        deadline_ms: raw.deadline_ms,
        priority_weight: raw.priority_weight,
        late_fraction: raw.late_fraction,
        effect: match raw.effect {
            RawEffectClass::Idempotent => EffectClass::Idempotent,
            RawEffectClass::Keyed => EffectClass::Keyed,
            RawEffectClass::NonIdempotent => EffectClass::NonIdempotent,
        },
        scope: match raw.scope {
            RawDeduplicationScope::All => DeduplicationScope::All,
            RawDeduplicationScope::Zone => DeduplicationScope::Zone,
            RawDeduplicationScope::Cell => DeduplicationScope::Cell,
        },
        window_ms: raw.window_ms,
        streaming: raw.streaming,
    }
}

fn tenant(raw: RawTenant) -> Tenant {
    Tenant {
        name: raw.name,
        quota_per_s: raw.quota_per_s,
        fraction: raw.fraction,
    }
}

fn rules(raw: &RawRules) -> Rules {
    Rules {
        answer_grace_ms: raw.answer_grace_ms,
        drain_grace_ms: raw.drain_grace_ms,
        poll_within_ms: raw.poll_within_ms,
        slow_start_from: raw.slow_start_from,
        slow_start_ms: raw.slow_start_ms,
        overload_multiple: raw.overload_multiple,
        overload_ms: raw.overload_ms,
    }
}

fn permissions(raw: &RawPermissions) -> Permissions {
    Permissions {
        cancel: raw.cancel,
        probe: raw.probe,
        parallel: raw.parallel,
        peers: raw.peers,
        retry_after: raw.retry_after,
        max_retry_after_ms: raw.max_retry_after_ms,
        max_attempts: raw.max_attempts,
        max_pending_requests: raw.max_pending_requests,
        idle_close_ms: raw.idle_close_ms,
        connect_timeout_ms: raw.connect_timeout_ms,
        streams_per_connection: raw.streams_per_connection,
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
        list_entries: raw.list_entries,
        fleet: raw.fleet,
        migrations: raw.migrations,
        origin_fetches: raw.origin_fetches,
        peer_bytes: raw.peer_bytes,
    }
}
