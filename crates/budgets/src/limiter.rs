//! What spends a share at one process: a token bucket for a rate, a counter for requests in flight.
//! Both check the lease's expiry each time, as the process may have been suspended since the last.

mod in_flight;
mod token_bucket;

pub use in_flight::InFlightLimit;
pub use token_bucket::{RateLimit, TokenBucket};
