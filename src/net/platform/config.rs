//! What the platform tells a proxy: `NODE_CONFIG` and the environment.

use super::error::{ConfigError, ConfigFault};
use crate::net::discovery::EndpointList;
use dewrun_balancer::Settings;
use dewrun_simulator_adapter::parse_settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The variable that names the configuration.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";

/// Descriptors a process may hold, and its memory, where the configuration does not say.
const USUAL_SOCKETS: usize = 1_024;
const USUAL_MEMORY_MB: usize = 192;

/// All that a proxy knows at its start.
pub struct Config {
    /// Where callers connect.
    pub listen: SocketAddr,
    /// The descriptor of the socket on which callers are listened to, where the platform holds it.
    pub inherited: Option<i32>,
    /// Where whoever runs this proxy calls it, if anybody does.
    pub control: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// For the module's random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Memory that the process may hold.
    pub memory_mb: usize,
    /// The backends as this proxy had them last.
    pub known: EndpointList,
    /// The module's settings.
    pub settings: Settings,
}

#[derive(Deserialize)]
struct Raw {
    listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    seed: String,
    #[serde(default)]
    limits: RawLimits,
    #[serde(default)]
    known: EndpointList,
    settings: Value,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct RawLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Reads the file that `NODE_CONFIG` names. An address in the environment goes before the file's.
///
/// # Errors
///
/// If the variable is not set, or the file can't be read or used.
pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let (path, text) = read(&env)?;
    parse(&text, env).map_err(|source| ConfigError::Faulty { path, source })
}

/// Reads the file again and gives its address of discovery. Now the file goes before the
/// environment, which can't have changed.
///
/// # Errors
///
/// As those of [`load`].
pub fn reload(env: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, ConfigError> {
    #[derive(Deserialize)]
    struct Changed {
        discovery: SocketAddr,
    }
    let (path, text) = read(&env)?;
    let changed: Changed = serde_json::from_slice(&text).map_err(|source| ConfigError::Faulty {
        path,
        source: source.into(),
    })?;
    Ok(changed.discovery)
}

/// The path and the content of the configuration.
fn read(env: impl Fn(&str) -> Option<String>) -> Result<(String, Vec<u8>), ConfigError> {
    let path = env(CONFIG_VARIABLE).ok_or(ConfigError::NotNamed)?;
    match std::fs::read(&path) {
        Ok(text) => Ok((path, text)),
        Err(source) => Err(ConfigError::Unreadable { path, source }),
    }
}

pub(super) fn parse(
    text: &[u8],
    env: impl Fn(&str) -> Option<String>,
) -> Result<Config, ConfigFault> {
    let raw: Raw = serde_json::from_slice(text)?;
    let set = |variable: &str| env(variable).filter(|text| !text.is_empty());
    let address = |variable: &str, key: &'static str, listed: Option<String>| {
        let text = set(variable).or(listed);
        text.map(|text| parse_address(key, text)).transpose()
    };
    let required =
        |key| move |address: Option<SocketAddr>| address.ok_or(ConfigFault::Missing { key });
    Ok(Config {
        inherited: set("NODE_INHERITED_FD").map(parse_descriptor).transpose()?,
        control: address("NODE_CONTROL", "control", raw.control)?,
        listen: address("NODE_LISTEN", "listen", raw.listen).and_then(required("listen"))?,
        discovery: address("NODE_DISCOVERY", "discovery", raw.discovery)
            .and_then(required("discovery"))?,
        seed: parse_seed(raw.seed)?,
        sockets: raw.limits.sockets.unwrap_or(USUAL_SOCKETS),
        memory_mb: raw.limits.memory_mb.unwrap_or(USUAL_MEMORY_MB),
        known: raw.known,
        settings: parse_settings(raw.settings.to_string().as_bytes())?,
    })
}

fn parse_address(key: &'static str, text: String) -> Result<SocketAddr, ConfigFault> {
    text.parse().map_err(|_| ConfigFault::Address { key, text })
}

fn parse_descriptor(text: String) -> Result<i32, ConfigFault> {
    let number = text.parse().ok().filter(|number| *number >= 0);
    number.ok_or(ConfigFault::Descriptor { text })
}

fn parse_seed(text: String) -> Result<u64, ConfigFault> {
    u64::from_str_radix(&text, 16).map_err(|_| ConfigFault::Seed { text })
}
