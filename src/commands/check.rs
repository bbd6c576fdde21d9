//! `dewrun check`: prints all faults of an operator's file, and of the member files that it names.

use super::serve::parent_directory;
use crate::net::installation::fault_lines;
use crate::net::io::print_error;
use dewrun_config::{read_members, Installation, Membership};
use std::path::Path;
use std::process::ExitCode;

/// The exit code if the file can't be read.
const EXIT_UNREADABLE_FILE: u8 = 2;

/// Checks a file and prints its faults, one line each.
pub fn run(file: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            print_error(format!("{}: {e}", file.display()));
            return ExitCode::from(EXIT_UNREADABLE_FILE);
        }
    };
    let faults = check_file(file, &text);
    if faults.is_empty() {
        println!("{}: good", file.display());
        return ExitCode::SUCCESS;
    }
    println!("{}", faults.join("\n"));
    ExitCode::FAILURE
}

fn check_file(file: &Path, text: &str) -> Vec<String> {
    let installation = match Installation::parse(text) {
        Ok(installation) => installation,
        Err(faults) => return fault_lines(file, &faults),
    };
    let directory = parent_directory(file);
    let member_files = installation
        .pools
        .iter()
        .filter_map(|pool| match &pool.membership {
            Membership::File(members) => Some(directory.join(members)),
            _ => None,
        });
    member_files.flat_map(|file| check_members(&file)).collect()
}

fn check_members(file: &Path) -> Vec<String> {
    match std::fs::read_to_string(file) {
        Err(e) => vec![format!("{}: {e}", file.display())],
        Ok(text) => match read_members(&text) {
            Ok(_) => Vec::new(),
            Err(faults) => fault_lines(file, &faults),
        },
    }
}
