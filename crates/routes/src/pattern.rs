//! Host and path patterns.

use crate::error::PatternError;
use crate::normalize::{normalize_host, normalize_path};

/// The hosts that a rule matches.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum HostPattern {
    /// Matches every host, and requests without a host.
    Any,
    /// Matches this host, in its normal form.
    Exact(String),
    /// Matches every host that ends in a dot and this suffix, in its normal form, but not the
    /// suffix itself.
    Suffix(String),
}

impl HostPattern {
    /// Parses `name`, `*.suffix` or `*`.
    ///
    /// # Errors
    ///
    /// Returns [`PatternError::Host`] if the text is none of these.
    pub fn parse(text: &str) -> Result<HostPattern, PatternError> {
        match (text, text.strip_prefix("*.")) {
            ("*", _) => Ok(HostPattern::Any),
            (_, Some(suffix)) if !suffix.starts_with('[') => {
                Ok(HostPattern::Suffix(parse_host_name(suffix)?))
            }
            (_, Some(_)) => Err(PatternError::Host),
            (exact, None) => Ok(HostPattern::Exact(parse_host_name(exact)?)),
        }
    }
}

/// Returns the normal form of a host. A host with a port is an error.
fn parse_host_name(text: &str) -> Result<String, PatternError> {
    let name = normalize_host(text).ok_or(PatternError::Host)?;
    let has_port = name.len() != text.trim_end_matches('.').len();
    if has_port {
        return Err(PatternError::Host);
    }
    Ok(name.into_owned())
}

/// A segment of a path pattern.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Segment {
    /// Matches exactly this text.
    Literal(String),
    /// Matches any non-empty segment, and binds it to this name.
    Parameter(String),
}

/// The paths that a rule matches.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern {
    /// The segments from the root.
    pub segments: Vec<Segment>,
    /// Whether further segments may follow.
    pub prefix: bool,
}

impl PathPattern {
    /// Parses `/a/b` (this path), `/a/*` (`/a` and every path below it) or `/a/{name}/b`.
    ///
    /// # Errors
    ///
    /// Returns a [`PatternError`] if the path is not in its normal form, or if its parameters or
    /// its `*` are malformed.
    pub fn parse(text: &str) -> Result<PathPattern, PatternError> {
        let (path, prefix) = match text.strip_suffix("/*") {
            Some(path) => (path, true),
            None => (text, false),
        };
        check_normalized(path, prefix)?;
        let mut segments = Vec::new();
        for part in path.split('/').skip(1) {
            let segment = parse_segment(part)?;
            if let Segment::Parameter(name) = &segment {
                if segments.contains(&segment) {
                    return Err(PatternError::DuplicateParameter(name.clone()));
                }
            }
            segments.push(segment);
        }
        Ok(PathPattern { segments, prefix })
    }

    /// Returns the names of the parameters, from left to right.
    pub fn parameters(&self) -> impl Iterator<Item = &str> {
        self.segments.iter().filter_map(|segment| match segment {
            Segment::Parameter(name) => Some(name.as_str()),
            Segment::Literal(_) => None,
        })
    }
}

/// Checks that a pattern's path, apart from the braces of parameters, is in its normal form.
fn check_normalized(path: &str, prefix: bool) -> Result<(), PatternError> {
    let unbraced: String = path.chars().filter(|c| !matches!(c, '{' | '}')).collect();
    // The prefix `/*` of all paths is empty after its `/*` is stripped.
    if prefix && unbraced.is_empty() {
        return Ok(());
    }
    let normalized = normalize_path(&unbraced).map_err(PatternError::Path)?;
    if normalized == unbraced && !(prefix && path.ends_with('/')) {
        return Ok(());
    }
    Err(PatternError::NotNormalized(if prefix {
        format!("{}/*", normalized.trim_end_matches('/'))
    } else {
        normalized.into_owned()
    }))
}

fn parse_segment(text: &str) -> Result<Segment, PatternError> {
    let braced = text
        .strip_prefix('{')
        .and_then(|rest| rest.strip_suffix('}'));
    match braced {
        Some(name) if is_parameter_name(name) => Ok(Segment::Parameter(name.to_string())),
        _ if text.contains(['{', '}']) => Err(PatternError::Parameter),
        _ if text.contains('*') => Err(PatternError::MisplacedWildcard),
        _ => Ok(Segment::Literal(text.to_string())),
    }
}

fn is_parameter_name(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_')
}
