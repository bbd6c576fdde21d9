//! Durations and sizes: numbers with a unit.

use std::time::Duration;

/// The smallest duration unit, which bounds most durations of a file from below.
pub(crate) const MILLISECOND: Duration = Duration::from_millis(1);
/// The maximum of most durations of a file.
pub(crate) const HOUR: Duration = Duration::from_secs(3_600);

/// Parses a duration: a number with `ms`, `s`, `m` or `h`.
pub(crate) fn parse_duration(text: &str) -> Option<Duration> {
    let (number, unit) = split_unit(text)?;
    let seconds = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return None,
    };
    // Rounded up to microseconds, so that 250 ms are not 249.999999 ms.
    Duration::try_from_secs_f64(number * seconds)
        .ok()
        .map(|d| Duration::from_micros((d.as_nanos() as u64).div_ceil(1_000)))
}

/// Parses a size: a number with `B`, `KiB`, `MiB` or `GiB`.
pub(crate) fn parse_bytes(text: &str) -> Option<u64> {
    let (number, unit) = split_unit(text)?;
    let factor = match unit {
        "B" => 1.0,
        "KiB" => 1024.0,
        "MiB" => 1024.0 * 1024.0,
        "GiB" => 1024.0 * 1024.0 * 1024.0,
        _ => return None,
    };
    Some((number * factor) as u64)
}

/// Splits a text into its number and its unit.
fn split_unit(text: &str) -> Option<(f64, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let number: f64 = text[..end].parse().ok()?;
    Some((number, text[end..].trim_start()))
}

#[cfg(test)]
mod tests;
