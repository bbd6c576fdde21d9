//! Durations and sizes: numbers with a unit.

use std::time::Duration;

pub(crate) const MILLISECOND: Duration = Duration::from_millis(1);
/// The longest that most durations of a file may be.
pub(crate) const HOUR: Duration = Duration::from_secs(3_600);

/// Reads a duration: a number with `ms`, `s`, `m` or `h`.
pub(crate) fn duration(text: &str) -> Option<Duration> {
    let (number, unit) = number_and_unit(text)?;
    let seconds = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3_600.0,
        _ => return None,
    };
    // Rounded, so that 250 ms are not 249.999999.
    Duration::try_from_secs_f64(number * seconds)
        .ok()
        .map(|d| Duration::from_micros((d.as_nanos() as u64).div_ceil(1_000)))
}

/// Reads a size: a number with `B`, `KiB`, `MiB` or `GiB`.
pub(crate) fn bytes(text: &str) -> Option<u64> {
    let (number, unit) = number_and_unit(text)?;
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
fn number_and_unit(text: &str) -> Option<(f64, &str)> {
    let end = text
        .find(|c: char| !c.is_ascii_digit() && c != '.')
        .unwrap_or(text.len());
    let number: f64 = text[..end].parse().ok()?;
    Some((number, text[end..].trim_start()))
}

#[cfg(test)]
mod tests;
