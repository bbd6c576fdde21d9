//! What can be wrong with a path, a pattern or a list of rules. Operators see the texts.

use thiserror::Error;

/// Why a path has no normal form. A request with such a path is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// The path does not begin with a slash.
    #[error("the path does not begin with a slash")]
    NotAbsolute,
    /// A `%` is not followed by two hexadecimal digits.
    #[error("the path has a malformed escape")]
    InvalidEscape,
    /// The path has a control byte, plain or escaped, a space, a backslash, or a byte beyond ASCII.
    #[error("the path has a byte that may not stand in one")]
    InvalidByte,
    /// `..` leads out of the root.
    #[error("the path leads out of the root")]
    AboveRoot,
    /// A dot segment has parameters (`..;x`): some servers read it as a dot segment, others as a
    /// name.
    #[error("the path has a dot segment with parameters")]
    DotSegmentParameters,
}

/// Why a text is not a pattern.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PatternError {
    /// The host is not a name, an address or `*.suffix`.
    #[error("not a host: a name, an address or *.suffix without a port")]
    Host,
    /// The path has no normal form.
    #[error(transparent)]
    Path(PathError),
    /// The path is not in its normal form, which is given here.
    #[error("the path must be in its normal form, {0:?}")]
    NotNormalized(String),
    /// A `*` is not the whole last segment.
    #[error("a * can only be the whole last segment, as in /files/*")]
    MisplacedWildcard,
    /// A parameter's braces do not hold a name, or do not fill the segment.
    #[error("a parameter is a whole segment {{name}} of letters, digits and _")]
    Parameter,
    /// Two parameters have this name.
    #[error("the parameter {0:?} stands twice")]
    DuplicateParameter(String),
}

/// Two rules that could match the same request, neither of them more specific.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("rules {first} and {second} fit the same requests and neither is more specific")]
pub struct RuleConflict {
    /// The index of the earlier rule.
    pub first: usize,
    /// The index of the later rule.
    pub second: usize,
}
