//! Local enforcement of a share: a token bucket for rates and a counter for requests in flight.
//! Both check the lease's expiry on every use, because the process may have been suspended since
//! the last one.

mod in_flight;
mod token_bucket;

pub use in_flight::InFlightLimit;
pub use token_bucket::{RateLimit, TokenBucket};
