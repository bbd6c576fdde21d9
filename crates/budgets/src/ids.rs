//! Identifiers of processes, incarnations, terms and budgets, as used in messages.

use serde::{Deserialize, Serialize};

/// The address of a process as a number, computed in the same way by all processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessId(pub u64);

/// The unique random number of one run of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// One term of a grantor. A grantor that lost its majority, however briefly, needs a new epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Epoch {
    /// The term number: greater than every number that the candidate knew when it chose this one.
    pub number: u64,
    /// The process that is candidate or grantor in this term.
    pub process: ProcessId,
    /// The incarnation of that process.
    pub incarnation: Incarnation,
}

/// The key of a budget in messages: a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BudgetKey(pub u64);
