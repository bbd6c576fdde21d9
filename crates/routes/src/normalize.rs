//! The normal forms of paths and hosts that matching uses.

use crate::error::PathError;
use std::borrow::Cow;

/// The maximum number of digits of a port.
const MAX_PORT_DIGITS: usize = 5;

/// Returns the normal form of a path without a query (RFC 3986, 6.2.2). The path must be forwarded
/// in this form.
///
/// - Escapes of unreserved characters are decoded (`%41` to `A`, `%2e` to `.`). All others are kept
///   with upper-case digits, so that `%2F` and `%5C` do not separate segments.
/// - Dot segments are removed after escapes are decoded.
/// - Consecutive slashes are merged. A trailing slash is significant and kept.
/// - Case is kept.
///
/// # Errors
///
/// Returns a [`PathError`] if servers could interpret the path in different ways.
pub fn normalize_path(path: &str) -> Result<Cow<'_, str>, PathError> {
    let bytes = path.as_bytes();
    if bytes.first() != Some(&b'/') {
        return Err(PathError::NotAbsolute);
    }
    if is_normalized(bytes) {
        return Ok(Cow::Borrowed(path));
    }
    let decoded = decode_unreserved(bytes)?;
    remove_dot_segments(&decoded).map(Cow::Owned)
}

/// Returns whether a path is certainly in its normal form. The check is quick and returns false for
/// some normal paths.
fn is_normalized(path: &[u8]) -> bool {
    let is_plain = |byte: &u8| byte.is_ascii_graphic() && !matches!(byte, b'%' | b'\\');
    let is_suspicious = |pair: &[u8]| pair[0] == b'/' && matches!(pair[1], b'/' | b'.');
    path.iter().all(is_plain) && !path.windows(2).any(is_suspicious)
}

/// Removes dot segments and empty segments from a path that begins with a slash.
fn remove_dot_segments(path: &str) -> Result<String, PathError> {
    let mut segments: Vec<&str> = Vec::new();
    let mut ends_in_slash = false;
    for segment in path[1..].split('/') {
        ends_in_slash = matches!(segment, "" | "." | "..");
        match segment {
            "" | "." => {}
            ".." => {
                segments.pop().ok_or(PathError::AboveRoot)?;
            }
            name if name.starts_with(".;") || name.starts_with("..;") => {
                return Err(PathError::DotSegmentParameters);
            }
            name => segments.push(name),
        }
    }
    let mut normalized = String::with_capacity(path.len());
    for segment in &segments {
        normalized.push('/');
        normalized.push_str(segment);
    }
    if ends_in_slash || segments.is_empty() {
        normalized.push('/');
    }
    Ok(normalized)
}

/// Decodes the escapes of unreserved characters, and writes the other escapes in upper case.
fn decode_unreserved(path: &[u8]) -> Result<String, PathError> {
    let mut decoded = String::with_capacity(path.len());
    let mut at = 0;
    while let Some(byte) = path.get(at) {
        at += 1;
        match byte {
            b'%' => {
                let value = (hex_digit(path, at)? * 16 + hex_digit(path, at + 1)?) as u8;
                at += 2;
                if value.is_ascii_control() {
                    return Err(PathError::InvalidByte);
                }
                if value.is_ascii_alphanumeric() || b"-._~".contains(&value) {
                    decoded.push(char::from(value));
                } else {
                    decoded.push_str(&format!("%{value:02X}"));
                }
            }
            b'\\' => return Err(PathError::InvalidByte),
            byte if byte.is_ascii_graphic() => decoded.push(char::from(*byte)),
            _ => return Err(PathError::InvalidByte),
        }
    }
    Ok(decoded)
}

fn hex_digit(bytes: &[u8], at: usize) -> Result<u32, PathError> {
    bytes
        .get(at)
        .and_then(|byte| char::from(*byte).to_digit(16))
        .ok_or(PathError::InvalidEscape)
}

/// Returns the normal form of a host: in lower case, without a port and without a trailing dot.
///
/// Returns `None` if the text is not a host: if it is empty, or has bytes that occur in no name and
/// no address (RFC 3986, 3.2.2).
pub fn normalize_host(host: &str) -> Option<Cow<'_, str>> {
    let name = strip_port(host)?;
    let name = name.strip_suffix('.').unwrap_or(name);
    let is_host_byte = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~[]:".contains(&byte);
    if name.is_empty() || name == "[]" || !name.bytes().all(is_host_byte) {
        return None;
    }
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        Some(Cow::Owned(name.to_ascii_lowercase()))
    } else {
        Some(Cow::Borrowed(name))
    }
}

/// Returns a host without its port; `None` if the name or address is followed by something other
/// than a port.
fn strip_port(host: &str) -> Option<&str> {
    if let Some(address) = host.strip_prefix('[') {
        let end = address.find(']')?;
        let port = &address[end + 1..];
        return (port.is_empty() || is_port(port)).then(|| &host[..end + 2]);
    }
    match host.find(':') {
        Some(at) if is_port(&host[at..]) => Some(&host[..at]),
        Some(_) => None,
        None => Some(host),
    }
}

/// Returns whether a text consists of a colon and a port, which may be empty.
fn is_port(text: &str) -> bool {
    text.strip_prefix(':').is_some_and(|digits| {
        digits.len() <= MAX_PORT_DIGITS && digits.bytes().all(|byte| byte.is_ascii_digit())
    })
}
