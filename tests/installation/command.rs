//! The command line, and the effect of the platform's environment variables with an operator's file.

use super::*;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> (Option<i32>, String, String) {
    let mut command = Command::new(DEWRUN);
    for name in ["NODE_CONFIG", "NODE_LISTEN", "NODE_DISCOVERY", "NODE_NAME"] {
        command.env_remove(name);
    }
    let Output {
        status,
        stdout,
        stderr,
    } = command.args(arguments).output().expect("it runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    (status.code(), text(stdout), text(stderr))
}

#[test]
fn the_example_configuration_is_valid() {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/deploy/example.toml");
    let (code, out, err) = run(&["check", example]);
    assert_eq!(code, Some(0), "{out}{err}");
    assert!(out.ends_with("example.toml: good\n"), "{out}");
}

#[test]
fn check_reports_every_fault_with_its_position_and_sets_the_exit_code() {
    let folder = Folder::new();
    let good = file(free_address(), &pool(&[free_address()]));
    let path = |file: &std::path::Path| file.to_str().expect("a path").to_string();
    let file = path(&folder.put("good.toml", &good));
    assert_eq!(run(&["check", &file]).0, Some(0));
    let bad = good
        .replace("warm_up", "warmup")
        .replace("pool = \"main\"", "pool = \"mian\"")
        + "[[pool]]\nname = \"main\"\nfile = \"m.json\"\n";
    let file = path(&folder.put("bad.toml", &bad));
    let (code, out, _) = run(&["check", &file]);
    assert_eq!(code, Some(1));
    let place = |text: &str| {
        bad[..bad.find(text).expect("the text")]
            .matches('\n')
            .count()
            + 1
    };
    for (line, text) in [
        (place("warmup"), "1: pool[0].warmup: unknown key"),
        (
            place("\"mian\""),
            "8: route[0].pool: there is no pool named \"mian\"",
        ),
        (
            place("file = "),
            "8: pool[1].name: the name \"main\" is already used at pool[0]",
        ),
    ] {
        // The duplicate name is one line above the `file` key by which its pool is found.
        let line = if text.contains("twice") || text.contains("already") {
            line - 1
        } else {
            line
        };
        assert!(
            out.contains(&format!("bad.toml:{line}:{text}")),
            "{line}:{text} in\n{out}"
        );
    }
    assert_eq!(out.lines().count(), 3, "{out}");
    // Member files are checked too.
    let with_members = good.replace("members = [", "file = \"m.json\" #");
    let file = path(&folder.put("files.toml", &with_members));
    assert!(matches!(run(&["check", &file]), (Some(1), out, _) if out.contains("m.json")));
    folder.put("m.json", r#"{"members": ["127.0.0.1:1", "127.0.0.1:1"]}"#);
    assert!(
        matches!(run(&["check", &file]), (Some(1), out, _) if out.contains("m.json:1:1: members[1]"))
    );
    folder.put("m.json", r#"{"members": ["127.0.0.1:1"]}"#);
    assert_eq!(run(&["check", &file]).0, Some(0));
    let (code, _, err) = run(&["check", &path(&folder.path("none.toml"))]);
    assert!(code == Some(2) && err.contains("none.toml"), "{err}");
}

#[test]
fn help_version_and_wrong_usage_follow_command_line_conventions() {
    let (code, out, _) = run(&["--version"]);
    assert_eq!(
        (code, out.trim()),
        (Some(0), concat!("dewrun ", env!("CARGO_PKG_VERSION")))
    );
    for arguments in [
        &["--help"][..],
        &["help"],
        &["serve", "--help"],
        &["check", "--help"],
    ] {
        let (code, out, _) = run(arguments);
        assert!(
            code == Some(0) && out.contains("Usage: dewrun"),
            "{arguments:?}: {out}"
        );
    }
    for arguments in [
        &["serve"][..],
        &["serve", "--listen", "127.0.0.1:1"],
        &["serve", "--backend", "127.0.0.1:1"],
        &["serve", "--listen", "here", "--backend", "127.0.0.1:1"],
        &[
            "serve",
            "--config",
            "a",
            "--listen",
            "127.0.0.1:1",
            "--backend",
            "127.0.0.1:1",
        ],
        &["check"],
        &["sevre"],
        &["--unknown"],
    ] {
        let (code, _, err) = run(arguments);
        assert!(
            code == Some(2) && err.contains("--help"),
            "{arguments:?}: {err}"
        );
    }
}

#[test]
fn a_failed_start_reports_its_reason() {
    let (_taken, address) = listen();
    let endpoint = free_address().to_string();
    let (code, _, err) = run(&[
        "serve",
        "--listen",
        &address.to_string(),
        "--backend",
        &endpoint,
    ]);
    assert!(
        code == Some(1) && err.contains(&address.to_string()),
        "{err}"
    );
    let folder = Folder::new();
    let file = folder.put("bad.toml", "[[listner]]\n");
    let (code, _, err) = run(&["serve", "--config", file.to_str().expect("a path")]);
    assert!(
        code == Some(1) && err.contains("bad.toml:1:3: listner: unknown key"),
        "{err}"
    );
    assert!(
        err.contains("pool: is missing"),
        "all faults are reported at once: {err}"
    );
    // Without arguments the program runs on the platform and needs the platform's configuration file.
    let (code, _, err) = run(&[]);
    assert!(
        code == Some(1) && err.contains("NODE_CONFIG is not set"),
        "{err}"
    );
}

#[test]
fn addresses_alone_configure_a_proxy_and_sigterm_ends_it_gracefully() {
    let endpoints = [endpoint_returning(ok("one")), endpoint_returning(ok("two"))];
    let address = free_address();
    let [a, b] = endpoints.each_ref().map(|b| b.address.to_string());
    let arguments = [
        "serve",
        "--listen",
        &address.to_string(),
        "--backend",
        &a,
        &b,
    ];
    let mut daemon = Daemon::start(DEWRUN, &arguments, &[]);
    daemon.wait_until_listening(address);
    let all: Vec<_> = (0..40)
        .map(|_| try_call(address, &get("/")).expect("a response").body)
        .collect();
    assert!(
        all.contains(&b"one".to_vec()) && all.contains(&b"two".to_vec()),
        "both endpoints are in use"
    );
    daemon.signal("-HUP");
    daemon.wait_for_log("there is no file to read again");
    daemon.signal("-TERM");
    assert!(daemon.wait().success());
}

#[test]
fn platform_variables_override_addresses_but_never_replace_the_file() {
    let endpoint = endpoint_returning(ok("hello"));
    let folder = Folder::new();
    let (file_address, override_address) = (free_address(), free_address());
    let file = folder.put(
        "dewrun.toml",
        &file(file_address, &pool(&[endpoint.address])),
    );
    let arguments = ["serve", "--config", file.to_str().expect("a path")];
    let variables = [
        ("NODE_LISTEN", override_address.to_string()),
        ("NODE_NAME", "n7".into()),
        ("NODE_CONFIG", "nowhere".into()),
    ];
    let variables: Vec<(&str, &str)> = variables.iter().map(|(n, v)| (*n, v.as_str())).collect();
    let mut daemon = Daemon::start(DEWRUN, &arguments, &variables);
    daemon.wait_until_listening(override_address);
    let response = try_call(override_address, &get("/")).expect("a response");
    assert_eq!(
        (response.status(), response.header("via")),
        (200, Some("1.1 n7"))
    );
    assert!(
        TcpStream::connect(file_address).is_err(),
        "there is no listener at the address in the file"
    );
    daemon.wait_for_log("NODE_CONFIG is ignored");
    let mut wrong = Daemon::start(DEWRUN, &arguments, &[("NODE_LISTEN", "here")]);
    assert_eq!(wrong.wait().code(), Some(1));
    wrong.wait_for_log("NODE_LISTEN: \"here\" is not an address");
}
