//! Identifiers in messages: processes, their incarnations, terms of the grantor, and budgets.

use serde::{Deserialize, Serialize};

/// The address of a process, as a number that all processes compute alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId(pub u64);

/// One run of a process, from start to end: a random number that no other run of any process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One term of a grantor. A grantor that lost its majority, if only for a moment, needs another
/// epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch {
    /// Rises from term to term, as far as the candidate knew when it chose the number.
    pub number: u64,
    /// The process whose term it is.
    pub process: ProcessId,
    /// The incarnation of that process.
    pub incarnation: Incarnation,
}

/// A budget in messages: the hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BudgetKey(pub u64);
