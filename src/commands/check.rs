//! `dewrun check`: tells every fault of an operator's file, and of the files of members that it
//! names.

use super::serve::folder_of;
use crate::net::installation::fault_lines;
use crate::net::io::print_error;
use dewrun_config::{read_members, Installation, Membership};
use std::path::Path;
use std::process::ExitCode;

/// There is no file to check.
const EXIT_NO_FILE: u8 = 2;

/// Checks a file and prints what is wrong with it, a line for each fault.
pub fn run(file: &Path) -> ExitCode {
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => {
            print_error(format!("{}: {e}", file.display()));
            return ExitCode::from(EXIT_NO_FILE);
        }
    };
    let faults = faults_of(file, &text);
    if faults.is_empty() {
        println!("{}: good", file.display());
        return ExitCode::SUCCESS;
    }
    println!("{}", faults.join("\n"));
    ExitCode::FAILURE
}

fn faults_of(file: &Path, text: &str) -> Vec<String> {
    let installation = match Installation::parse(text) {
        Ok(installation) => installation,
        Err(faults) => return fault_lines(file, &faults),
    };
    let folder = folder_of(file);
    let member_files = installation
        .pools
        .iter()
        .filter_map(|pool| match &pool.membership {
            Membership::File(members) => Some(folder.join(members)),
            _ => None,
        });
    member_files
        .flat_map(|file| faults_of_members(&file))
        .collect()
}

fn faults_of_members(file: &Path) -> Vec<String> {
    match std::fs::read_to_string(file) {
        Err(e) => vec![format!("{}: {e}", file.display())],
        Ok(text) => match read_members(&text) {
            Ok(_) => Vec::new(),
            Err(faults) => fault_lines(file, &faults),
        },
    }
}
