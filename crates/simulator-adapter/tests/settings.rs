//! Parsing of settings: every key is read, absent keys get their defaults, and errors name the key.

use dewrun_balancer::*;
use dewrun_simulator_adapter::parse_settings;
use serde_json::{json, Value};

/// Returns settings in which every key has a value other than its default.
fn full_settings() -> Value {
    json!({
        "Allowed": {"Cancelling": true, "ConnectTimeout": 251.0, "CpuUsPerRequest": 12.5, "CpuUsPerS": 4977748,
            "IdleClose": 30000.0, "MaxAttempts": 6, "MaxRetryAfter": 2000.0, "OpenCap": 124443,
            "ParallelTries": true, "Peers": true, "Probing": true, "RetryAfter": true, "StreamsPerConn": 7},
        "Az": 1,
        "Classes": [
            {"Aim": 1500.0, "AimStretch": 2.5, "Effect": "repeatable", "HardLimit": 4000.0, "KeyScope": "all",
                "LateWorth": 0.2, "Name": "look", "Points": 2.0, "Streaming": true, "Window": 5000.0},
            {"Aim": 2500.0, "Effect": "by_key", "HardLimit": 6000.0, "KeyScope": "cell", "Name": "book",
                "Window": 10000.0},
            {"Aim": 1.0, "Effect": "once", "HardLimit": 2.0, "KeyScope": "zone"}],
        "Clients": {"MarksRetry": true},
        "FamilyInfo": {"PassesDeadline": true, "WarmKeys": true},
        "FleetSize": 10,
        "KindOfService": "chain",
        "MachineTypes": ["fast", "slow"],
        "MembershipMode": "subscribe",
        "ObjectiveMix": {"FullAtNines": 4.0, "Nines": 0.2, "Whole": 0.5, "WorstClass": 0.11, "WorstTenant": 0.12,
            "WorstWindow": 0.13},
        "OverShareWorth": 0.05,
        "Prices": {"Connection": 0.01, "CrossZone": 0.02, "Fleet": 0.03, "Handshake": 0.04, "LateFail": 0.05,
            "MembershipMode": 0.06, "Moves": 0.07, "Origin": 0.08, "Peer": 0.09, "Probe": 0.1, "Waste": 0.11},
        "Rank": 3,
        "Report": {"Fields": ["active", "waiting", "cpu", "heat"], "Via": "on_probe"},
        "Rules": {"AskWithin": 10000.0, "Cold": 18000.0, "ColdFrom": 0.16, "DrainGrace": 500.0, "Fall": 3000.0,
            "FallMultiple": 2.5, "GraceToAnswer": 20.0},
        "Stage": 1,
        "Stages": ["front", "back"],
        "Tenants": [{"AllowancePerS": 55.0, "Fraction": 0.25, "Name": "tiles"}],
        "Tick": 5.0,
        "Weights": "live",
        "WorthBy": "work",
        "Zones": ["north", "south"],
        "UnknownKey": {"Of": [1, 2]},
    })
}

/// Returns settings with the required keys alone.
fn minimal_settings() -> Value {
    json!({
        "Allowed": {"MaxAttempts": 5},
        "Classes": [{"Aim": 1000, "HardLimit": 4000, "Effect": "repeatable"}],
        "MembershipMode": "automatic",
        "Rules": {"DrainGrace": 250, "ColdFrom": 0.3, "Cold": 8000, "FallMultiple": 3, "Fall": 3000},
    })
}

fn parse(json: &Value) -> Result<Settings, String> {
    parse_settings(json.to_string().as_bytes()).map_err(|error| error.to_string())
}

/// Guards against an endpoint with an infinite weight, at which every selection of an endpoint
/// panics. It occurred if `Cold` was a negative zero and the clock of an endpoint put its start in
/// the future.
#[test]
fn a_negative_zero_is_read_as_zero() {
    let mut json = minimal_settings();
    json["Rules"]["Cold"] = json!(-0.0);
    let settings = parse(&json).expect("settings");
    assert_eq!(settings.rules.slow_start_ms.to_bits(), 0.0_f64.to_bits());
}

#[test]
fn every_key_is_read() {
    let class = |name: &str, effect, scope| Class {
        name: name.into(),
        latency_objective_ms: 2_500.0,
        latency_objective_stretch: 0.0,
        deadline_ms: 6_000.0,
        priority_weight: 1.0,
        late_fraction: 0.0,
        effect,
        scope,
        window_ms: 10_000.0,
        streaming: false,
    };
    let look = Class {
        latency_objective_ms: 1_500.0,
        latency_objective_stretch: 2.5,
        deadline_ms: 4_000.0,
        priority_weight: 2.0,
        late_fraction: 0.2,
        window_ms: 5_000.0,
        streaming: true,
        ..class("look", EffectClass::Idempotent, DeduplicationScope::All)
    };
    let once = Class {
        latency_objective_ms: 1.0,
        deadline_ms: 2.0,
        window_ms: 0.0,
        ..class("", EffectClass::NonIdempotent, DeduplicationScope::Zone)
    };
    let expected = Settings {
        rank: 3,
        fleet_size: 10,
        zone: 1,
        zones: vec!["north".into(), "south".into()],
        tier: 1,
        tier_names: vec!["front".into(), "back".into()],
        machine_kinds: vec!["fast".into(), "slow".into()],
        service: "chain".into(),
        has_long_requests: true,
        retry_ratio: 0.1,
        passes_deadline: true,
        has_key_affinity: true,
        clients_mark_retries: true,
        must_subscribe: true,
        is_value_by_work: true,
        over_quota_weight: 0.05,
        tick_ms: 5.0,
        weight_kind: WeightKind::Live,
        report_fields: vec![
            ReportField::Active,
            ReportField::Waiting,
            ReportField::Cpu,
            ReportField::Unknown,
        ],
        report_via: ReportVia::Probe,
        classes: vec![
            look,
            class("book", EffectClass::Keyed, DeduplicationScope::Cell),
            once,
        ],
        tenants: vec![Tenant {
            name: "tiles".into(),
            quota_per_s: 55.0,
            fraction: 0.25,
        }],
        rules: Rules {
            answer_grace_ms: 20.0,
            drain_grace_ms: 500.0,
            poll_within_ms: 10_000.0,
            slow_start_from: 0.16,
            slow_start_ms: 18_000.0,
            overload_multiple: 2.5,
            overload_ms: 3_000.0,
        },
        permissions: Permissions {
            cancel: true,
            probe: true,
            parallel: true,
            peers: true,
            retry_after: true,
            max_retry_after_ms: 2_000.0,
            max_attempts: 6,
            max_pending_requests: 124_443,
            idle_close_ms: 30_000.0,
            connect_timeout_ms: 251.0,
            streams_per_connection: 7,
            cpu_us_per_s: 4_977_748.0,
            cpu_us_per_request: 12.5,
        },
        prices: Prices {
            connection: 0.01,
            cross_zone: 0.02,
            fleet: 0.03,
            handshake: 0.04,
            late_fail: 0.05,
            list_entries: 0.06,
            migrations: 0.07,
            origin_fetches: 0.08,
            peer_bytes: 0.09,
            probe: 0.1,
            waste: 0.11,
        },
        objective: Objective {
            total: 0.5,
            worst_window: 0.13,
            worst_class: 0.11,
            worst_tenant: 0.12,
            availability: 0.2,
            availability_target_nines: 4.0,
        },
    };
    assert_eq!(parse(&full_settings()), Ok(expected));
}

#[test]
fn absent_keys_mean_no_feature_no_price_and_no_limit() {
    let s = parse(&minimal_settings()).expect("valid settings");
    assert_eq!((s.rank, s.fleet_size, s.zone, s.tier), (0, 1, 0, 0));
    assert!(
        !s.passes_deadline
            && !s.has_key_affinity
            && !s.clients_mark_retries
            && !s.is_value_by_work
            && !s.must_subscribe
    );
    assert!(
        !s.permissions.cancel
            && !s.permissions.probe
            && !s.permissions.parallel
            && !s.permissions.peers
    );
    assert_eq!(
        (
            s.permissions.cpu_us_per_request,
            s.permissions.idle_close_ms
        ),
        (0.0, f64::MAX)
    );
    assert_eq!(
        (s.prices, s.report_via, s.weight_kind),
        (Prices::default(), ReportVia::Off, WeightKind::Off)
    );
    assert_eq!(
        (
            s.classes[0].priority_weight,
            s.classes[0].late_fraction,
            s.classes[0].latency_objective_stretch
        ),
        (1.0, 0.0, 0.0)
    );
    assert_eq!(
        (
            s.objective.total,
            s.objective.availability,
            s.over_quota_weight
        ),
        (1.0, 0.0, 1.0)
    );
    assert_eq!(s.rules.poll_within_ms, f64::MAX);
}

/// Returns the value at the path of a key as errors write it, such as `Classes[0].Aim`.
fn value_at<'a>(json: &'a mut Value, key: &str) -> &'a mut Value {
    let pointer = format!("/{}", key.replace(['.', '['], "/").replace(']', ""));
    json.pointer_mut(&pointer)
        .unwrap_or_else(|| panic!("no {pointer}"))
}

/// Collects the path and value of every key whose value is neither a list nor an object.
fn collect_leaves(json: &Value, path: &str, out: &mut Vec<(String, Value)>) {
    match json {
        Value::Object(map) => {
            for (key, value) in map.iter().filter(|(key, _)| *key != "UnknownKey") {
                let dot = if path.is_empty() { "" } else { "." };
                collect_leaves(value, &format!("{path}{dot}{key}"), out);
            }
        }
        Value::Array(list) => {
            for (i, value) in list.iter().enumerate() {
                collect_leaves(value, &format!("{path}[{i}]"), out);
            }
        }
        value => out.push((path.to_string(), value.clone())),
    }
}

#[test]
fn the_error_of_a_value_of_the_wrong_type_or_sign_names_its_key() {
    let mut all = Vec::new();
    collect_leaves(&full_settings(), "", &mut all);
    assert!(all.len() > 70);
    for (key, value) in all {
        // No key accepts an object or null, and no number may be negative or a string.
        let mut invalid_values = vec![json!({"no": "use"}), Value::Null];
        if value.is_number() {
            invalid_values.extend([json!(-1), json!("1")]);
        }
        for invalid in invalid_values {
            let mut json = full_settings();
            *value_at(&mut json, &key) = invalid.clone();
            let error = parse(&json).expect_err(&format!("{key} = {invalid}"));
            assert!(
                error.contains(&format!(" {key}: ")),
                "{key} = {invalid}: {error}"
            );
        }
    }
}

#[test]
fn the_error_of_a_value_out_of_range_names_its_key() {
    let cases = [
        ("Allowed.MaxAttempts", json!(0)),
        ("Allowed.StreamsPerConn", json!(0)),
        ("Az", json!(2)),
        ("Classes", json!([])),
        ("Classes[0].Aim", json!(0)),
        ("Classes[0].LateWorth", json!(1.1)),
        ("Classes[1].Effect", json!("maybe")),
        ("Classes[1].KeyScope", json!("town")),
        ("FleetSize", json!(0)),
        ("ObjectiveMix.FullAtNines", json!(0)),
        ("Report.Fields", json!(["cpu", "cpu", "cpu", "cpu", "cpu"])),
        ("Rules.ColdFrom", json!(0)),
        ("Rules.ColdFrom", json!(1.01)),
        ("Rules.FallMultiple", json!(0)),
        ("Stage", json!(2)),
        ("Tenants[0].Fraction", json!(1.5)),
        ("Tick", json!(0)),
    ];
    for (key, invalid) in cases {
        let mut json = full_settings();
        *value_at(&mut json, key) = invalid.clone();
        let error = parse(&json).expect_err(&format!("{key} = {invalid}"));
        assert!(
            error.contains(&format!(" {key}: ")),
            "{key} = {invalid}: {error}"
        );
    }
    let with_infinity = full_settings().to_string().replace("10000.0", "1e999");
    assert!(
        parse_settings(with_infinity.as_bytes()).is_err(),
        "an infinite number"
    );
    let empty = parse_settings(b"{}").map_err(|error| error.to_string());
    assert!(empty.is_err_and(|e| e.contains("MembershipMode") || e.contains("missing field")));
    assert!(
        parse_settings(format!("{} x", full_settings()).as_bytes()).is_err(),
        "text after the settings"
    );
}
