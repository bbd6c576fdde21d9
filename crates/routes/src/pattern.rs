//! Hosts and paths: their one normal form, and the patterns that match it.

use std::borrow::Cow;
use std::fmt;

/// Why a path has no normal form. A request with such a path is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// It does not begin with a slash.
    NotAbsolute,
    /// A `%` without two hexadecimal digits behind it.
    BadEscape,
    /// A control byte, plain or escaped, a space, a backslash, or a byte beyond ASCII.
    BadByte,
    /// `..` leads out of the root.
    AboveRoot,
    /// A dot segment with parameters (`..;x`), which some servers read as a dot segment and others
    /// as a name.
    DotParameters,
}

impl fmt::Display for PathFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PathFault::NotAbsolute => "the path does not begin with a slash",
            PathFault::BadEscape => "the path has a malformed escape",
            PathFault::BadByte => "the path has a byte that may not stand in one",
            PathFault::AboveRoot => "the path leads out of the root",
            PathFault::DotParameters => "the path has a dot segment with parameters",
        })
    }
}

impl std::error::Error for PathFault {}

/// A path in its one normal form (RFC 3986, 6.2.2), without a query. What was matched is what must
/// be passed on, so the caller sends on what this gives, never the original.
///
/// - Escapes of unreserved characters are resolved (`%41` is `A`, `%2e` is `.`); all others stay,
///   with capital digits. So `%2F` and `%5C` stay part of their segment and never become a border.
/// - Dot segments are removed, after escapes were resolved. One that leads above the root is a
///   fault.
/// - Slashes that follow each other count as one. A slash at the end stays and is of meaning.
/// - Case is kept.
pub fn normalise(path: &str) -> Result<Cow<'_, str>, PathFault> {
    let bytes = path.as_bytes();
    if bytes.first() != Some(&b'/') {
        return Err(PathFault::NotAbsolute);
    }
    let plain = |b: &u8| b.is_ascii_graphic() && !matches!(b, b'%' | b'\\');
    let bordered = |pair: &[u8]| pair[0] == b'/' && matches!(pair[1], b'/' | b'.');
    if bytes.iter().all(plain) && !bytes.windows(2).any(bordered) {
        return Ok(Cow::Borrowed(path));
    }
    let decoded = decode(bytes)?;
    let mut kept: Vec<&str> = Vec::new();
    let mut ends_in_slash = false;
    for segment in decoded[1..].split('/') {
        ends_in_slash = matches!(segment, "" | "." | "..");
        match segment {
            "" | "." => {}
            ".." => {
                kept.pop().ok_or(PathFault::AboveRoot)?;
            }
            other if other.starts_with(".;") || other.starts_with("..;") => {
                return Err(PathFault::DotParameters);
            }
            other => kept.push(other),
        }
    }
    let mut whole = String::with_capacity(decoded.len());
    for segment in &kept {
        whole.push('/');
        whole.push_str(segment);
    }
    if ends_in_slash || kept.is_empty() {
        whole.push('/');
    }
    Ok(Cow::Owned(whole))
}

/// Resolves the escapes of unreserved characters and writes the others in capitals.
fn decode(bytes: &[u8]) -> Result<String, PathFault> {
    let digit = |at: usize| {
        bytes
            .get(at)
            .and_then(|b| char::from(*b).to_digit(16))
            .ok_or(PathFault::BadEscape)
    };
    let mut decoded = String::with_capacity(bytes.len());
    let mut at = 0;
    while let Some(byte) = bytes.get(at) {
        at += 1;
        match byte {
            b'%' => {
                let value = (digit(at)? * 16 + digit(at + 1)?) as u8;
                at += 2;
                if value.is_ascii_control() {
                    return Err(PathFault::BadByte);
                }
                if value.is_ascii_alphanumeric() || b"-._~".contains(&value) {
                    decoded.push(char::from(value));
                } else {
                    decoded.push_str(&format!("%{value:02X}"));
                }
            }
            b'\\' => return Err(PathFault::BadByte),
            byte if byte.is_ascii_graphic() => decoded.push(char::from(*byte)),
            _ => return Err(PathFault::BadByte),
        }
    }
    Ok(decoded)
}

/// A host in its normal form: lower case, with no port and no dot at the end. `None` if it is none:
/// empty, or with bytes that stand in no name and no address (RFC 3986, 3.2.2).
pub fn normalise_host(host: &str) -> Option<Cow<'_, str>> {
    let name = match host.strip_prefix('[') {
        Some(rest) => {
            let end = rest.find(']')?;
            let port = &rest[end + 1..];
            if !port.is_empty() && !is_port(port) {
                return None;
            }
            &host[..end + 2]
        }
        None => match host.find(':') {
            Some(at) if is_port(&host[at..]) => &host[..at],
            Some(_) => return None,
            None => host,
        },
    };
    let name = name.strip_suffix('.').unwrap_or(name);
    let fits = |b: u8| b.is_ascii_alphanumeric() || b"-._~[]:".contains(&b);
    if name.is_empty() || name == "[]" || !name.bytes().all(fits) {
        return None;
    }
    Some(match name.bytes().any(|b| b.is_ascii_uppercase()) {
        true => Cow::Owned(name.to_ascii_lowercase()),
        false => Cow::Borrowed(name),
    })
}

/// A colon and a port; the port may be left out.
fn is_port(text: &str) -> bool {
    let digits = &text[1..];
    text.starts_with(':') && digits.len() <= 5 && digits.bytes().all(|b| b.is_ascii_digit())
}

/// Why a pattern is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PatternFault {
    /// The host is no name, no address and not `*.suffix`.
    Host,
    /// The path has no normal form.
    Path(PathFault),
    /// The path is not in its normal form, which is this.
    NotNormal(String),
    /// A `*` stands elsewhere than as the whole last segment.
    Star,
    /// A parameter's braces do not hold a name, or do not fill the segment.
    Parameter,
    /// A parameter's name stands twice.
    Twice(String),
}

impl fmt::Display for PatternFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PatternFault::Host => {
                f.write_str("not a host: a name, an address or *.suffix without a port")
            }
            PatternFault::Path(why) => why.fmt(f),
            PatternFault::NotNormal(normal) => {
                write!(f, "the path must be in its normal form, {normal:?}")
            }
            PatternFault::Star => {
                f.write_str("a * can only be the whole last segment, as in /files/*")
            }
            PatternFault::Parameter => {
                f.write_str("a parameter is a whole segment {name} of letters, digits and _")
            }
            PatternFault::Twice(name) => write!(f, "the parameter {name:?} stands twice"),
        }
    }
}

impl std::error::Error for PatternFault {}

/// Which hosts a rule takes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HostPattern {
    /// Every host, also a request that names none.
    Any,
    /// This one, in its normal form.
    Exact(String),
    /// Every host that ends in a dot and this, in its normal form; not this itself.
    Suffix(String),
}

impl HostPattern {
    /// Reads `name`, `*.suffix` or `*`.
    pub fn parse(text: &str) -> Result<HostPattern, PatternFault> {
        let name = |text: &str| {
            let name = normalise_host(text).ok_or(PatternFault::Host)?;
            let same_length = name.len() == text.trim_end_matches('.').len();
            same_length
                .then(|| name.into_owned())
                .ok_or(PatternFault::Host)
        };
        match (text, text.strip_prefix("*.")) {
            ("*", _) => Ok(HostPattern::Any),
            (_, Some(suffix)) if !suffix.starts_with('[') => Ok(HostPattern::Suffix(name(suffix)?)),
            (_, Some(_)) => Err(PatternFault::Host),
            (exact, None) => Ok(HostPattern::Exact(name(exact)?)),
        }
    }
}

/// One segment of a path pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// This text.
    Literal(String),
    /// Any one segment that is not empty, under this name.
    Parameter(String),
}

/// Which paths a rule takes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern {
    /// Its segments from the root.
    pub segments: Vec<Segment>,
    /// Whether further segments may follow.
    pub prefix: bool,
}

impl PathPattern {
    /// Reads `/a/b` (this path), `/a/*` (`/a` and all below it, at the border of a segment) or
    /// `/a/{name}/b`.
    pub fn parse(text: &str) -> Result<PathPattern, PatternFault> {
        let (path, prefix) = match text.strip_suffix("/*") {
            Some(path) => (path, true),
            None => (text, false),
        };
        let unbraced: String = path.chars().filter(|c| !matches!(c, '{' | '}')).collect();
        // Braces only name: what is left must be normal. The root of everything is the empty
        // prefix.
        if !(prefix && unbraced.is_empty()) {
            let normal = normalise(&unbraced).map_err(PatternFault::Path)?;
            let wanted = if prefix {
                format!("{}/*", normal.trim_end_matches('/'))
            } else {
                normal.to_string()
            };
            if normal != unbraced || (prefix && path.ends_with('/')) {
                return Err(PatternFault::NotNormal(wanted));
            }
        }
        let mut segments = Vec::new();
        for part in path.split('/').skip(1) {
            let inner = part
                .strip_prefix('{')
                .and_then(|rest| rest.strip_suffix('}'));
            segments.push(match inner {
                Some(name) if is_name(name) => {
                    let same =
                        |s: &Segment| matches!(s, Segment::Parameter(other) if other == name);
                    if segments.iter().any(same) {
                        return Err(PatternFault::Twice(name.to_string()));
                    }
                    Segment::Parameter(name.to_string())
                }
                _ if part.contains(['{', '}']) => return Err(PatternFault::Parameter),
                _ if part.contains('*') => return Err(PatternFault::Star),
                _ => Segment::Literal(part.to_string()),
            });
        }
        Ok(PathPattern { segments, prefix })
    }

    /// The names of its parameters, from the left.
    pub fn parameters(&self) -> impl Iterator<Item = &str> {
        self.segments.iter().filter_map(|segment| match segment {
            Segment::Parameter(name) => Some(name.as_str()),
            Segment::Literal(_) => None,
        })
    }
}

fn is_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_')
}
