//! Tests with simulated fleets.

mod catch_up;
mod convergence;
