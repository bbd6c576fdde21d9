//! Leases: what the grantor grants ([`Grants`]), what a process holds ([`Holder`]), and how a total
//! is divided by demand ([`divide`]).
//!
//! A lease ends for its holder before it ends for its grantor. A holder that was suspended finds
//! its lease expired when it wakes; a grantor that is replaced leaves behind leases that its
//! successor waits out.

mod adjustment;
mod division;
mod grants;
mod holder;
mod total;

pub use division::{divide, WeightedDemand};
pub use grants::{Decision, GrantedSum, GrantorContext, Grants};
pub use holder::{Grant, Holder, LeaseState, NumberedRequest};
pub use total::Total;
