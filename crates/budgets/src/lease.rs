//! Leases: the grantor's record of grants ([`Grants`]), a process's own lease ([`Holder`]), and the
//! division of a total by demand ([`divide`]).
//!
//! A lease expires at its holder before it expires at its grantor. A holder that was suspended
//! finds its lease expired when it resumes. A new grantor waits until the leases of the previous
//! grantor have expired.

mod adjustment;
mod division;
mod grants;
mod holder;
mod total;

pub use division::{divide, WeightedDemand};
pub use grants::{Decision, GrantedSum, GrantorContext, Grants};
pub use holder::{Grant, Holder, LeaseState, NumberedRequest};
pub use total::Total;
