//! Compares what the program prints with golden files of an earlier build.

use dewrun_test_support::{assert_golden, Folder};
use std::fmt::Write as _;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const DEWRUN: &str = env!("CARGO_BIN_EXE_dewrun");

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

/// Runs the program in a folder of golden files, so that it prints paths as they are passed here.
fn run(folder: &str, arguments: &[&str], variables: &[(&str, &str)]) -> String {
    let mut command = Command::new(DEWRUN);
    for name in [
        "NODE_CONFIG",
        "NODE_LISTEN",
        "NODE_DISCOVERY",
        "NODE_CONTROL",
        "NODE_INHERITED_FD",
        "NODE_NAME",
    ] {
        command.env_remove(name);
    }
    command
        .current_dir(golden(folder))
        .args(arguments)
        .envs(variables.iter().copied());
    let Output {
        status,
        stdout,
        stderr,
    } = command.output().expect("running the program");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    format!(
        "exit code {:?}\n--- out\n{}--- err\n{}",
        status.code(),
        text(stdout),
        text(stderr)
    )
}

/// Returns the sorted names of the files in a golden folder with this ending.
fn files_of(folder: &str, ending: &str) -> Vec<String> {
    let entries = std::fs::read_dir(golden(folder))
        .expect("the folder")
        .flatten();
    let mut names: Vec<String> = entries
        .map(|entry| entry.file_name().to_string_lossy().into_owned())
        .collect();
    names.retain(|name| name.ends_with(ending));
    names.sort();
    names
}

#[test]
fn check_prints_the_same_errors_for_invalid_files() {
    let files = files_of("check", ".toml");
    assert!(files.len() >= 12, "{files:?}");
    let mut text = String::new();
    for file in files {
        let _ = writeln!(
            text,
            "===== {file}\n{}",
            run("check", &["check", &file], &[])
        );
    }
    let _ = writeln!(
        text,
        "===== a file that is not there\n{}",
        run("check", &["check", "none.toml"], &[])
    );
    assert_golden(&golden("check.txt"), &text);
}

#[test]
fn an_invalid_platform_configuration_prints_the_same_errors() {
    let files = files_of("platform", ".json");
    assert!(files.len() >= 8, "{files:?}");
    let mut text = String::new();
    for file in files {
        let _ = writeln!(
            text,
            "===== {file}\n{}",
            run("platform", &[], &[("NODE_CONFIG", &file)])
        );
    }
    let _ = writeln!(
        text,
        "===== a file that is not there\n{}",
        run("platform", &[], &[("NODE_CONFIG", "none.json")])
    );
    let _ = writeln!(text, "===== no file\n{}", run("platform", &[], &[]));
    let inherited = [("NODE_CONFIG", "good.txt"), ("NODE_INHERITED_FD", "-3")];
    let _ = writeln!(
        text,
        "===== a bad descriptor\n{}",
        run("platform", &[], &inherited)
    );
    assert_golden(&golden("platform.txt"), &text);
}

/// Runs the fleet commands of the shell against a fleet with one process.
#[test]
fn fleet_commands_print_the_same_text() {
    let folder = Folder::new();
    let [fleet, listener, backend] = [(); 3].map(|()| dewrun_test_support::free_addresses(1)[0]);
    let file = format!(
        "[instance]\nname = \"i0\"\nsite = \"west\"\n[fleet]\nname = \"prairie\"\naddress = \"{fleet}\"\nmembers = [\"{fleet}\"]\n\
         [[listener]]\nname = \"public\"\naddress = \"{listener}\"\n[[pool]]\nname = \"shop\"\nmembers = [\"{backend}\"]\n\
         [[tenant]]\nname = \"acme\"\n[[budget]]\nname = \"acme\"\ntenant = \"acme\"\nrate = 200.0\nfloor = 10.0\n\
         [[route]]\npool = \"shop\"\n"
    );
    let path = folder.put("dewrun.toml", &file);
    let mut daemon = dewrun_test_support::Daemon::start(
        DEWRUN,
        &["serve", "--config", path.to_str().expect("a path")],
        &[],
    );
    daemon.wait_until_listening(listener);
    daemon.wait_for_log("is now the grantor of the budgets");
    daemon.wait_for_log("listens at");
    let at = fleet.to_string();
    let member = format!("shop/{backend}");
    let mut text = String::new();
    let mut print = |what: &str, arguments: &[&str]| {
        let printed = run("check", arguments, &[("USER", "ann")]);
        let printed = printed
            .replace(&at, "FLEET")
            .replace(&backend.to_string(), "BACKEND");
        let (exit_code, printed) = printed.split_once('\n').expect("lines");
        let printed = format!("{exit_code}\n{}", mask_figures(printed));
        let _ = writeln!(text, "===== {what}\n{printed}");
    };
    print(
        "status as JSON",
        &["fleet", "status", "--at", &at, "--json"],
    );
    print("no orders", &["fleet", "orders", "--at", &at]);
    print("a drain", &["fleet", "drain", &member, "--at", &at]);
    print(
        "a drain of a member that is not listed",
        &["fleet", "drain", "shop/nobody", "--at", &at],
    );
    print(
        "orders as JSON",
        &["fleet", "orders", "--at", &at, "--json"],
    );
    print("no difference", &["fleet", "diff", &at, &at]);
    print("a return", &["fleet", "return", &member, "--at", &at]);
    assert_golden(&golden("fleet.txt"), &text);
}

/// Replaces numbers, which differ between runs, and `null`, which stands for a value that is not
/// known yet, by `N`.
fn mask_figures(text: &str) -> String {
    let is_word_char = |c: char| c.is_ascii_alphanumeric() || c == '.';
    let mut masked = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(is_word_char) {
        let (before, from) = rest.split_at(start);
        let (word, after) = from.split_at(from.find(|c| !is_word_char(c)).unwrap_or(from.len()));
        let is_figure = word != "i0" && word.contains(|c: char| c.is_ascii_digit());
        masked += before;
        masked += if is_figure || word == "null" {
            "N"
        } else {
            word
        };
        rest = after;
    }
    masked + rest
}
