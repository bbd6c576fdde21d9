//! Simulated fleets.

mod catch_up;
mod convergence;
