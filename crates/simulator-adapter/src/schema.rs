//! The settings' JSON as the platform writes it. Its names stand here and nowhere else; the keys are
//! these fields in PascalCase.
//!
//! | platform | decision module |
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

/// Reads a number and checks it, so that the error is raised where its key is known. A negative zero
/// becomes 0: a division by it has the wrong sign.
fn number<'de, D: Deserializer<'de>>(
    from: D,
    ok: fn(f64) -> bool,
    must: &str,
) -> Result<f64, D::Error> {
    let value = f64::deserialize(from)?;
    match value.is_finite() && ok(value) {
        true => Ok(value + 0.0),
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
pub(crate) struct RawClass {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(deserialize_with = "positive")]
    pub(crate) aim: f64,
    #[serde(default, deserialize_with = "not_negative")]
    pub(crate) aim_stretch: f64,
    #[serde(deserialize_with = "positive")]
    pub(crate) hard_limit: f64,
    pub(crate) effect: RawEffect,
    #[serde(default)]
    pub(crate) key_scope: RawScope,
    #[serde(default, deserialize_with = "not_negative")]
    pub(crate) window: f64,
    #[serde(default, deserialize_with = "part")]
    pub(crate) late_worth: f64,
    #[serde(default = "one", deserialize_with = "not_negative")]
    pub(crate) points: f64,
    #[serde(default)]
    pub(crate) streaming: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawEffect {
    Repeatable,
    ByKey,
    Once,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawScope {
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
    #[serde(default = "unlimited", deserialize_with = "not_negative")]
    pub(crate) allowance_per_s: f64,
    #[serde(default = "one", deserialize_with = "part")]
    pub(crate) fraction: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct RawRules {
    #[serde(default, deserialize_with = "not_negative")]
    pub(crate) grace_to_answer: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) drain_grace: f64,
    #[serde(default = "unlimited", deserialize_with = "positive")]
    pub(crate) ask_within: f64,
    #[serde(deserialize_with = "positive_part")]
    pub(crate) cold_from: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) cold: f64,
    #[serde(deserialize_with = "positive")]
    pub(crate) fall_multiple: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) fall: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub(crate) struct RawAllowed {
    #[serde(default)]
    pub(crate) cancelling: bool,
    #[serde(default)]
    pub(crate) probing: bool,
    #[serde(default)]
    pub(crate) parallel_tries: bool,
    #[serde(default)]
    pub(crate) peers: bool,
    #[serde(default)]
    pub(crate) retry_after: bool,
    #[serde(default, deserialize_with = "not_negative")]
    pub(crate) max_retry_after: f64,
    #[serde(deserialize_with = "count")]
    pub(crate) max_attempts: u32,
    #[serde(default = "most", deserialize_with = "count")]
    pub(crate) open_cap: u32,
    #[serde(default = "unlimited", deserialize_with = "positive")]
    pub(crate) idle_close: f64,
    #[serde(default = "unlimited", deserialize_with = "positive")]
    pub(crate) connect_timeout: f64,
    #[serde(default = "single", deserialize_with = "count")]
    pub(crate) streams_per_conn: u32,
    #[serde(default = "unlimited", deserialize_with = "positive")]
    pub(crate) cpu_us_per_s: f64,
    #[serde(default, deserialize_with = "not_negative")]
    pub(crate) cpu_us_per_request: f64,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawClients {
    pub(crate) marks_retry: bool,
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
    #[serde(deserialize_with = "not_negative")]
    pub(crate) membership_mode: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) fleet: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) moves: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) origin: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) peer: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawObjective {
    #[serde(deserialize_with = "not_negative")]
    pub(crate) whole: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) worst_class: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) worst_tenant: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) worst_window: f64,
    #[serde(deserialize_with = "not_negative")]
    pub(crate) nines: f64,
    #[serde(deserialize_with = "positive")]
    pub(crate) full_at_nines: f64,
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
pub(crate) enum RawVia {
    #[default]
    Off,
    Inline,
    OnProbe,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawReport {
    pub(crate) fields: Vec<String>,
    pub(crate) via: RawVia,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub(crate) struct RawFamily {
    pub(crate) passes_deadline: bool,
    pub(crate) warm_keys: bool,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawWeights {
    #[default]
    Off,
    Nominal,
    Rough,
    Live,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawMode {
    Automatic,
    Subscribe,
}

#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RawWorthBy {
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
    #[serde(default)]
    pub(crate) az: u16,
    #[serde(default)]
    pub(crate) zones: Vec<String>,
    #[serde(default)]
    pub(crate) stage: u32,
    #[serde(default)]
    pub(crate) stages: Vec<String>,
    #[serde(default)]
    pub(crate) machine_types: Vec<String>,
    #[serde(default)]
    pub(crate) kind_of_service: String,
    #[serde(default)]
    pub(crate) family_info: RawFamily,
    pub(crate) membership_mode: RawMode,
    #[serde(default)]
    pub(crate) worth_by: RawWorthBy,
    #[serde(default = "one", deserialize_with = "part")]
    pub(crate) over_share_worth: f64,
    #[serde(default = "one", deserialize_with = "positive")]
    pub(crate) tick: f64,
    #[serde(default)]
    pub(crate) weights: RawWeights,
    #[serde(default)]
    pub(crate) report: RawReport,
    pub(crate) classes: Vec<RawClass>,
    #[serde(default)]
    pub(crate) tenants: Vec<RawTenant>,
    #[serde(default)]
    pub(crate) clients: RawClients,
    pub(crate) rules: RawRules,
    pub(crate) allowed: RawAllowed,
    #[serde(default)]
    pub(crate) prices: RawPrices,
    #[serde(default)]
    pub(crate) objective_mix: RawObjective,
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
