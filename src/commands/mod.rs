//! The commands of the program, each in its own module.

pub mod check;
pub mod fleet;
pub mod serve;
