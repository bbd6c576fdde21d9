//! Member files.

use dewrun_config::*;

#[test]
fn toml_and_json_give_the_same_members() {
    let toml = "members = [\n\"127.0.0.1:1\",\n\
        { name = \"b\", address = \"[::1]:2\", draining = true, weight = 2, cell = 3, started_ms = 5 },\n]";
    let json = r#" {"members": ["127.0.0.1:1",
        {"name": "b", "address": "[::1]:2", "draining": true, "weight": 2, "cell": 3, "started_ms": 5}]}"#;
    let (toml, json) = (read_members(toml), read_members(json));
    assert_eq!(toml, json);
    let members = toml.expect("members");
    assert_eq!(
        (members[0].name.as_str(), members[0].weight),
        ("127.0.0.1:1", 1.0)
    );
    assert_eq!(
        (
            members[1].name.as_str(),
            members[1].draining,
            members[1].cell
        ),
        ("b", true, 3)
    );
}

#[test]
fn a_truncated_or_empty_file_is_rejected() {
    let complete = r#"{"members": [{"name": "a", "address": "127.0.0.1:1"}, {"name": "b", "address": "127.0.0.1:2"}]}"#;
    assert!(read_members(complete).is_ok());
    for cut in 0..complete.len() {
        assert!(
            read_members(&complete[..cut]).is_err(),
            "{}",
            &complete[..cut]
        );
    }
    for text in [
        "",
        " \n",
        "members = []",
        r#"{"members": []}"#,
        "members = 5",
        "[[member]]",
        "members = [7]",
    ] {
        assert!(read_members(text).is_err(), "{text}");
    }
}

#[test]
fn faults_of_members_are_reported_with_their_positions() {
    for (text, path, expected) in [
        ("members = [\"127.0.0.1:1\",\n\"127.0.0.1:1\"]", "members[1]", "the name"),
        (
            "members = [{ name = \"a\", address = \"127.0.0.1:1\" },\n{ name = \"b\", address = \"127.0.0.1:1\" }]",
            "members[1]",
            "the address",
        ),
        ("members = [\n{ name = \"a\" }]", "members[0]", "address is missing"),
        ("members = [\n{ address = \"here\" }]", "members[0].address", "is not an address"),
        ("members = [\n{ address = \"127.0.0.1:1\", wieght = 1 }]", "members[0].wieght", "unknown key"),
        ("members = [\n{ address = \"127.0.0.1:1\", weight = 0 }]", "members[0].weight", "must be a number"),
    ] {
        let faults = read_members(text).expect_err(text);
        assert_eq!((faults.len(), faults[0].line, faults[0].path.as_str()), (1, 2, path), "{text}");
        assert!(faults[0].text.contains(expected), "{}", faults[0]);
    }
}
