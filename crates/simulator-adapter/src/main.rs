//! The simulator adapter: reads frames from standard input and writes replies to standard output
//! until the input ends.

#![forbid(unsafe_code)]

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match dewrun_simulator_adapter::run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dewrun-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
