//! Election of the grantor by a majority of the voters, for a limited term.
//!
//! A voter promises its vote to one candidate for [`vote_hold`]. A candidate with the votes of a
//! majority is the grantor for [`leadership_ttl`], measured from sending the vote requests. Any two
//! majorities share a voter, so there are never two grantors. Nothing is persisted: a restarted
//! voter or a new grantor waits until every promise that a predecessor may have made has expired.
//!
//! [`vote_hold`]: crate::LeaseDurations::vote_hold
//! [`leadership_ttl`]: crate::LeaseDurations::leadership_ttl

mod leadership;
mod voter;

pub use leadership::{ActiveTerm, Leadership, Term, Vote};
pub use voter::{Voter, VoterState};
