//! The commands of the program, one module each.

pub mod check;
pub mod fleet;
pub mod serve;
