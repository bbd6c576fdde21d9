//! What the platform tells a proxy: `NODE_CONFIG` and the environment.

use crate::net::discovery::EndpointList;
use dewrun_balancer::Settings;
use dewrun_simulator_adapter::parse_settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

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
pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let path = env("NODE_CONFIG").ok_or("NODE_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    parse(&text, env).map_err(|e| format!("{path}: {e}"))
}

/// Reads the file again and gives its address of discovery. Now the file goes before the
/// environment, which can't have changed.
pub fn reload(env: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, String> {
    #[derive(Deserialize)]
    struct Changed {
        discovery: SocketAddr,
    }
    let path = env("NODE_CONFIG").ok_or("NODE_CONFIG is not set")?;
    let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
    let changed: Changed = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
    Ok(changed.discovery)
}

fn parse(text: &[u8], env: impl Fn(&str) -> Option<String>) -> Result<Config, String> {
    let raw: Raw = serde_json::from_slice(text).map_err(|e| e.to_string())?;
    let optional = |variable: &str, key: &str, own: Option<String>| {
        let text = env(variable).filter(|text| !text.is_empty()).or(own);
        let read = |text: String| {
            text.parse()
                .map_err(|_| format!("{key}: {text:?} is not an address"))
        };
        text.map(read).transpose()
    };
    let address = |variable: &str, key: &str, own: Option<String>| -> Result<SocketAddr, String> {
        optional(variable, key, own)?.ok_or(format!("{key}: it is missing"))
    };
    let number = env("NODE_INHERITED_FD").filter(|text| !text.is_empty());
    let read = |text: String| {
        let number = text.parse().ok().filter(|number| *number >= 0);
        number.ok_or(format!("NODE_INHERITED_FD: {text:?} is not a descriptor"))
    };
    let seed = u64::from_str_radix(&raw.seed, 16);
    Ok(Config {
        inherited: number.map(read).transpose()?,
        control: optional("NODE_CONTROL", "control", raw.control)?,
        listen: address("NODE_LISTEN", "listen", raw.listen)?,
        discovery: address("NODE_DISCOVERY", "discovery", raw.discovery)?,
        seed: seed.map_err(|_| format!("seed: {:?} is not a number in hexadecimal", raw.seed))?,
        sockets: raw.limits.sockets.unwrap_or(USUAL_SOCKETS),
        memory_mb: raw.limits.memory_mb.unwrap_or(USUAL_MEMORY_MB),
        known: raw.known,
        settings: parse_settings(raw.settings.to_string().as_bytes())
            .map_err(|error| error.to_string())?,
    })
}
