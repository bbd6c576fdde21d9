//! The schema of the settings' JSON as the platform writes it. The platform's names of keys and
//! values occur only here; keys without an explicit name are the fields in PascalCase.
//!
//! | platform | balancer |
//! | --- | --- |
//! | `Aim`, `AimStretch` | `latency_objective_ms`, `latency_objective_stretch` |
//! | `HardLimit` | `deadline_ms` |
//! | `Points`, `LateWorth` | `priority_weight`, `late_fraction` |
//! | `Effect`: `repeatable`, `by_key`, `once` | `EffectClass`: `Idempotent`, `Keyed`, `NonIdempotent` |
//! | `KeyScope`, `Window` | `DeduplicationScope`, `window_ms` |
//! | `AllowancePerS`, `OverShareWorth` | `quota_per_s`, `over_quota_weight` |
//! | `AskWithin` | `poll_within_ms` |
//! | `ColdFrom`, `Cold` | `slow_start_from`, `slow_start_ms` |
//! | `FallMultiple`, `Fall` | `overload_multiple`, `overload_ms` |
//! | `Az`, `Stage` | `zone`, `tier` |
//! | `MembershipMode` | `must_subscribe` |
//! | `WorthBy` | `is_value_by_work` |

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// Deserializes a number and checks its range, so that the error is raised where its key is known.
/// A negative zero becomes 0, because a division by a negative zero gives the wrong sign.
fn number<'de, D: Deserializer<'de>>(
    deserializer: D,
    is_in_range: fn(f64) -> bool,
    range: &str,
) -> Result<f64, D::Error> {
    let value = f64::deserialize(deserializer)?;
    match value.is_finite() && is_in_range(value) {
        true => Ok(value + 0.0),
        false => Err(D::Error::custom(format!(
            "{value} is out of range: it must be {range}"
        ))),
    }
}

fn not_negative<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    number(deserializer, |v| v >= 0.0, "0 or more")
}

fn positive<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    number(deserializer, |v| v > 0.0, "above 0")
}

fn fraction<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    number(deserializer, |v| (0.0..=1.0).contains(&v), "from 0 to 1")
}

fn positive_fraction<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    number(
        deserializer,
        |v| v > 0.0 && v <= 1.0,
        "above 0, and 1 at most",
    )
}

fn count<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    match u32::deserialize(deserializer)? {
        0 => Err(D::Error::custom("0 is out of range: it must be above 0")),
        n => Ok(n),
    }
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct RawClass {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(rename = "Aim", deserialize_with = "positive")]
    pub(crate) latency_objective_ms: f64,
    #[serde(rename = "AimStretch", default, deserialize_with = "not_negative")]
    pub(crate) latency_objective_stretch: f64,
    #[serde(rename = "HardLimit", deserialize_with = "positive")]
    pub(crate) deadline_ms: f64,
    pub(crate) effect: RawEffectClass,
    #[serde(rename = "KeyScope", default)]
    pub(crate) scope: RawDeduplicationScope,
    #[serde(rename = "Window", default, deserialize_with = "not_negative")]
    pub(crate) window_ms: f64,
    #[serde(rename = "LateWorth", default, deserialize_with = "fraction")]
    pub(crate) late_fraction: f64,
    #[serde(rename = "Points", default = "one", deserialize_with = "not_negative")]
    pub(crate) priority_weight: f64,
    #[serde(default)]
    pub(crate) streaming: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawEffectClass {
    #[serde(rename = "repeatable")]
    Idempotent,
    #[serde(rename = "by_key")]
    Keyed,
    #[serde(rename = "once")]
    NonIdempotent,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawDeduplicationScope {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct RawTenant {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(
        rename = "AllowancePerS",
        default = "unlimited",
        deserialize_with = "not_negative"
    )]
    pub(crate) quota_per_s: f64,
    #[serde(default = "one", deserialize_with = "fraction")]
    pub(crate) fraction: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct RawRules {
    #[serde(rename = "GraceToAnswer", default, deserialize_with = "not_negative")]
    pub(crate) answer_grace_ms: f64,
    #[serde(rename = "DrainGrace", deserialize_with = "not_negative")]
    pub(crate) drain_grace_ms: f64,
    #[serde(
        rename = "AskWithin",
        default = "unlimited",
        deserialize_with = "positive"
    )]
    pub(crate) poll_within_ms: f64,
    #[serde(rename = "ColdFrom", deserialize_with = "positive_fraction")]
    pub(crate) slow_start_from: f64,
    #[serde(rename = "Cold", deserialize_with = "not_negative")]
    pub(crate) slow_start_ms: f64,
    #[serde(rename = "FallMultiple", deserialize_with = "positive")]
    pub(crate) overload_multiple: f64,
    #[serde(rename = "Fall", deserialize_with = "not_negative")]
    pub(crate) overload_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct RawPermissions {
    #[serde(rename = "Cancelling", default)]
    pub(crate) cancel: bool,
    #[serde(rename = "Probing", default)]
    pub(crate) probe: bool,
    #[serde(rename = "ParallelTries", default)]
    pub(crate) parallel: bool,
    #[serde(default)]
    pub(crate) peers: bool,
    #[serde(default)]
    pub(crate) retry_after: bool,
    #[serde(rename = "MaxRetryAfter", default, deserialize_with = "not_negative")]
    pub(crate) max_retry_after_ms: f64,
    #[serde(deserialize_with = "count")]
    pub(crate) max_attempts: u32,
    #[serde(rename = "OpenCap", default = "max_count", deserialize_with = "count")]
    pub(crate) max_pending_requests: u32,
    #[serde(
        rename = "IdleClose",
        default = "unlimited",
        deserialize_with = "positive"
    )]
    pub(crate) idle_close_ms: f64,
    #[serde(
        rename = "ConnectTimeout",
        default = "unlimited",
        deserialize_with = "positive"
    )]
    pub(crate) connect_timeout_ms: f64,
    #[serde(
        rename = "StreamsPerConn",
        default = "single",
        deserialize_with = "count"
    )]
    pub(crate) streams_per_connection: u32,
    #[serde(default = "unlimited", deserialize_with = "positive")]
    pub(crate) cpu_us_per_s: f64,
    #[serde(default, deserialize_with = "not_negative")]
    pub(crate) cpu_us_per_request: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawClients {
    #[serde(rename = "MarksRetry")]
    pub(crate) mark_retries: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawPrices {
    #[serde(deserialize_with = "not_negative")]
    pub(crate) cross_zone: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) waste: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) late_fail: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) probe: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) connection: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) handshake: f64,
    #[serde(rename = "MembershipMode", deserialize_with = "not_negative")]
    pub(crate) list_entries: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) fleet: f64,
    #[serde(rename = "Moves", deserialize_with = "not_negative")]
    pub(crate) migrations: f64,
    #[serde(rename = "Origin", deserialize_with = "not_negative")]
    pub(crate) origin_fetches: f64,
    #[serde(rename = "Peer", deserialize_with = "not_negative")]
    pub(crate) peer_bytes: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawObjective {
    #[serde(rename = "Whole", deserialize_with = "not_negative")]
    pub(crate) total: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) worst_class: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) worst_tenant: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) worst_window: f64,
    #[serde(rename = "Nines", deserialize_with = "not_negative")]
    pub(crate) availability: f64,
    #[serde(rename = "FullAtNines", deserialize_with = "positive")]
    pub(crate) availability_target_nines: f64,
}

impl Default for RawObjective {
    fn default() -> RawObjective {
        RawObjective {
            total: 1.0,
            worst_class: 0.0,
            worst_tenant: 0.0,
            worst_window: 0.0,
            availability: 0.0,
            availability_target_nines: 3.0,
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawReportVia {
    #[default]
    Off,
    Inline,
    #[serde(rename = "on_probe")]
    Probe,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawReport {
    pub(crate) fields: Vec<String>,
    pub(crate) via: RawReportVia,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawServiceInfo {
    pub(crate) passes_deadline: bool,
    #[serde(rename = "WarmKeys")]
    pub(crate) has_key_affinity: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawWeightKind {
    #[default]
    Off,
    Nominal,
    Rough,
    Live,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawMembershipMode {
    Automatic,
    Subscribe,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawValueBy {
    #[default]
    Request,
    Work,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct RawSettings {
    #[serde(default)]
    pub(crate) rank: u32,
    #[serde(default = "single", deserialize_with = "count")]
    pub(crate) fleet_size: u32,
    #[serde(rename = "Az", default)]
    pub(crate) zone: u16,
    #[serde(default)]
    pub(crate) zones: Vec<String>,
    #[serde(rename = "Stage", default)]
    pub(crate) tier: u32,
    #[serde(rename = "Stages", default)]
    pub(crate) tier_names: Vec<String>,
    #[serde(rename = "MachineTypes", default)]
    pub(crate) machine_kinds: Vec<String>,
    #[serde(rename = "KindOfService", default)]
    pub(crate) service: String,
    #[serde(rename = "FamilyInfo", default)]
    pub(crate) service_info: RawServiceInfo,
    pub(crate) membership_mode: RawMembershipMode,
    #[serde(rename = "WorthBy", default)]
    pub(crate) value_by: RawValueBy,
    #[serde(
        rename = "OverShareWorth",
        default = "one",
        deserialize_with = "fraction"
    )]
    pub(crate) over_quota_weight: f64,
    #[serde(rename = "Tick", default = "one", deserialize_with = "positive")]
    pub(crate) tick_ms: f64,
    #[serde(rename = "Weights", default)]
    pub(crate) weight_kind: RawWeightKind,
    #[serde(default)]
    pub(crate) report: RawReport,
    pub(crate) classes: Vec<RawClass>,
    #[serde(default)]
    pub(crate) tenants: Vec<RawTenant>,
    #[serde(default)]
    pub(crate) clients: RawClients,
    pub(crate) rules: RawRules,
    #[serde(rename = "Allowed")]
    pub(crate) permissions: RawPermissions,
    #[serde(default)]
    pub(crate) prices: RawPrices,
    #[serde(rename = "ObjectiveMix", default)]
    pub(crate) objective: RawObjective,
}

fn one() -> f64 {
    1.0
}

fn single() -> u32 {
    1
}

fn max_count() -> u32 {
    u32::MAX
}

fn unlimited() -> f64 {
    f64::MAX
}
