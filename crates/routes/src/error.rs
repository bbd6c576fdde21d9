//! The errors of paths, patterns and lists of rules. The texts are shown to operators.

use thiserror::Error;

/// A reason why a path has no normal form. A request with such a path is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PathError {
    /// The path does not begin with a slash.
    #[error("the path does not begin with a slash")]
    NotAbsolute,
    /// A `%` is not followed by two hexadecimal digits.
    #[error("the path has a malformed escape")]
    InvalidEscape,
    /// The path has a control byte, literal or escaped, a space, a backslash, or a byte beyond
    /// ASCII.
    #[error("the path has a byte that is not allowed in a path")]
    InvalidByte,
    /// A `..` segment leads above the root.
    #[error("the path leads above the root")]
    AboveRoot,
    /// A dot segment has parameters (`..;x`): some servers interpret it as a dot segment, others as
    /// a name.
    #[error("the path has a dot segment with parameters")]
    DotSegmentParameters,
}

/// A reason why a text is not a pattern.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PatternError {
    /// The host is not a name, an address or `*.suffix`.
    #[error("not a host: a name, an address or *.suffix without a port")]
    Host,
    /// The path has no normal form.
    #[error(transparent)]
    Path(PathError),
    /// The path is not in its normal form; the value is the normal form.
    #[error("the path must be in its normal form, {0:?}")]
    NotNormalized(String),
    /// A `*` is not the complete last segment.
    #[error("a * must be the complete last segment, as in /files/*")]
    MisplacedWildcard,
    /// The braces of a parameter do not enclose a name, or are only a part of the segment.
    #[error("a parameter must be a complete segment {{name}} of letters, digits and _")]
    Parameter,
    /// Two parameters have this name.
    #[error("the parameter {0:?} is used twice")]
    DuplicateParameter(String),
}

/// Two rules that could match the same request and are equally specific.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("rules {first} and {second} match the same requests and neither is more specific")]
pub struct RuleConflict {
    /// The index of the earlier rule.
    pub first: usize,
    /// The index of the later rule.
    pub second: usize,
}
