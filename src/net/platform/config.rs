//! The configuration that the platform gives a proxy: the file that `NODE_CONFIG` names, and
//! environment variables.

use super::error::{ConfigError, ConfigFault};
use crate::net::discovery::EndpointList;
use dewrun_balancer::Settings;
use dewrun_simulator_adapter::parse_settings;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// The environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "NODE_CONFIG";

/// The limits of descriptors and memory that apply if the configuration has none.
const DEFAULT_SOCKETS: usize = 1_024;
const DEFAULT_MEMORY_MB: usize = 192;

/// The configuration of a proxy at its start.
pub struct Config {
    /// The address on which clients connect.
    pub listen: SocketAddr,
    /// The descriptor of the clients' listening socket, if the platform hands one down.
    pub inherited: Option<i32>,
    /// The admin address, if there is one.
    pub control: Option<SocketAddr>,
    /// The address of service discovery.
    pub discovery: SocketAddr,
    /// The seed of the balancer's random numbers.
    pub seed: u64,
    /// The maximum number of file descriptors of the process.
    pub sockets: usize,
    /// The maximum memory of the process, in MiB.
    pub memory_mb: usize,
    /// The endpoint list that this proxy last had.
    pub known: EndpointList,
    /// The balancer's settings.
    pub settings: Settings,
}

#[derive(Deserialize)]
struct ConfigFile {
    listen: Option<String>,
    discovery: Option<String>,
    control: Option<String>,
    seed: String,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    known: EndpointList,
    settings: Value,
}

#[derive(Default, Deserialize)]
#[serde(default)]
struct FileLimits {
    sockets: Option<usize>,
    memory_mb: Option<usize>,
}

/// Reads the file that `NODE_CONFIG` names. An address in the environment overrides that of the
/// file.
///
/// # Errors
///
/// If the variable is not set, the file can't be read, or a value is invalid.
pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
    let (path, text) = read(&env)?;
    parse(&text, env).map_err(|source| ConfigError::Faulty { path, source })
}

/// Reads the file again and returns its address of discovery. At a reload the file overrides the
/// environment, which can't have changed.
///
/// # Errors
///
/// The same as those of [`load`].
pub fn reload(env: impl Fn(&str) -> Option<String>) -> Result<SocketAddr, ConfigError> {
    #[derive(Deserialize)]
    struct ReloadableConfig {
        discovery: SocketAddr,
    }
    let (path, text) = read(&env)?;
    let reloaded: ReloadableConfig =
        serde_json::from_slice(&text).map_err(|source| ConfigError::Faulty {
            path,
            source: source.into(),
        })?;
    Ok(reloaded.discovery)
}

/// Returns the path and the content of the configuration file.
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
    let file: ConfigFile = serde_json::from_slice(text)?;
    let variable_value = |variable: &str| env(variable).filter(|text| !text.is_empty());
    let address = |variable: &str, key: &'static str, file_value: Option<String>| {
        let text = variable_value(variable).or(file_value);
        text.map(|text| parse_address(key, text)).transpose()
    };
    let required =
        |key| move |address: Option<SocketAddr>| address.ok_or(ConfigFault::Missing { key });
    Ok(Config {
        inherited: variable_value("NODE_INHERITED_FD")
            .map(parse_descriptor)
            .transpose()?,
        control: address("NODE_CONTROL", "control", file.control)?,
        listen: address("NODE_LISTEN", "listen", file.listen).and_then(required("listen"))?,
        discovery: address("NODE_DISCOVERY", "discovery", file.discovery)
            .and_then(required("discovery"))?,
        seed: parse_seed(file.seed)?,
        sockets: file.limits.sockets.unwrap_or(DEFAULT_SOCKETS),
        memory_mb: file.limits.memory_mb.unwrap_or(DEFAULT_MEMORY_MB),
        known: file.known,
        settings: parse_settings(file.settings.to_string().as_bytes())?,
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
