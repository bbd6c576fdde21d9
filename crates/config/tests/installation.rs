//! The operator's file: the meaning of a valid file, and the faults of invalid ones with their
//! positions.

use dewrun_config::*;
use std::time::Duration;

const VALID: &str = r#"
[instance]
name = "edge-1"
fleet_size = 4
rank = 2

[log]
format = "json"
lines_per_s = 50

[limits]
kept_body = "32KiB"
sockets = 512

[[listener]]
name = "public"
address = "127.0.0.1:8080"
trusted = ["10.0.0.0/8", "::1"]

[[pool]]
name = "shop"
members = ["127.0.0.1:9001", { name = "b", address = "127.0.0.1:9002", weight = 2.5 }]

[[pool]]
name = "files"
file = "files.json"
warm_up = "0s"
repeats = 0.1

[[class]]
name = "order"
effect = "keyed"
window = "10s"
scope = "cell"
aim = "500ms"
deadline = "5s"
worth = 3

[[tenant]]
name = "acme"
rate = 100

[[route]]
host = "*.shop.example"
path = "/orders/{account}/*"
methods = ["POST"]
headers = { X-Beta = "1", X-Any = "*" }
class = "order"
pool = "shop"
tenant = { parameter = "account" }
timeout = "2s"

[[route]]
pool = "files"
tenant = { fixed = "acme" }
"#;

#[test]
fn a_valid_file_is_parsed_completely() {
    let installation = Installation::parse(VALID).unwrap_or_else(|faults| panic!("{faults:?}"));
    assert_eq!(
        (
            installation.instance.name.as_deref(),
            installation.instance.fleet_size,
            installation.instance.rank
        ),
        (Some("edge-1"), 4, 2)
    );
    assert_eq!(
        (
            installation.limits.max_buffered_body,
            installation.limits.sockets,
            installation.limits.memory
        ),
        (32 << 10, 512, 192 << 20)
    );
    assert_eq!(
        installation.log,
        Log {
            format: LogFormat::Json,
            lines_per_s: 50,
            trace: false
        }
    );
    assert_eq!(
        (
            installation.pools[0].retry_ratio,
            installation.pools[1].retry_ratio
        ),
        (0.2, 0.1)
    );
    assert!(installation.listeners[0].trusted[0].contains("10.1.2.3".parse().expect("an address")));
    assert!(
        matches!(&installation.pools[0].membership, Membership::Static(m) if m.len() == 2 && m[1].weight == 2.5)
    );
    assert!(
        matches!(&installation.pools[1].membership, Membership::File(f) if f.ends_with("files.json"))
    );
    assert_eq!(
        (
            installation.pools[0].slow_start,
            installation.pools[1].slow_start
        ),
        (Duration::from_secs(10), Duration::ZERO)
    );
    assert_eq!(
        (
            installation.classes[0].effect,
            installation.classes[0].scope
        ),
        (Effect::Keyed, KeyScope::Cell)
    );
    assert_eq!(
        (
            installation.classes[1].name.as_str(),
            installation.classes[1].effect
        ),
        ("default", Effect::Method)
    );
    assert_eq!(
        installation
            .tenants
            .iter()
            .map(|t| t.rate)
            .collect::<Vec<_>>(),
        [None, Some(100.0)]
    );
    assert_eq!(
        (
            installation.routes[0].class,
            installation.routes[0].pool,
            installation.routes[0].timeout
        ),
        (0, 0, Duration::from_secs(2))
    );
    assert_eq!(
        (
            &installation.routes[0].tenant,
            &installation.routes[1].tenant
        ),
        (&TenantSource::Parameter(0), &TenantSource::Fixed(1))
    );
    assert_eq!(
        (
            installation.routes[1].class,
            installation.routes[1].timeout,
            installation.table.len()
        ),
        (1, Duration::from_secs(30), 2)
    );
}

#[test]
fn a_simple_installation_has_one_pool_of_the_given_endpoints() {
    let address = |text: &str| text.parse().expect("an address");
    let installation = Installation::simple(
        address("127.0.0.1:80"),
        &[address("127.0.0.1:81"), address("[::1]:82")],
    );
    let installation = installation.unwrap_or_else(|faults| panic!("{faults:?}"));
    assert!(
        matches!(&installation.pools[0].membership, Membership::Static(members) if members.len() == 2)
    );
    let twice = Installation::simple(address("127.0.0.1:80"), &[address("127.0.0.1:81"); 2]);
    assert!(twice.is_err_and(|faults| faults[0].text.contains("already")));
}

#[test]
fn sections_that_need_a_restart_are_reported() {
    let parse =
        |text: &str| Installation::parse(text).unwrap_or_else(|faults| panic!("{faults:?}"));
    let old = parse(VALID);
    assert!(old
        .needs_restart(&parse(
            &VALID.replace("500ms", "400ms").replace(":9001", ":9009")
        ))
        .is_empty());
    let next = parse(
        &VALID
            .replace(":8080", ":8081")
            .replace("edge-1", "edge-2")
            .replace("32KiB", "16KiB"),
    );
    assert_eq!(old.needs_restart(&next), ["instance", "listener", "limits"]);
    assert_eq!(
        old.needs_restart(&parse(&VALID.replace("\"json\"", "\"logfmt\""))),
        ["log"]
    );
}

/// Replaces a part of the valid file, and returns the faults.
fn faults(from: &str, to: &str) -> Vec<Fault> {
    assert!(VALID.contains(from), "{from}");
    match Installation::parse(&VALID.replacen(from, to, 1)) {
        Ok(_) => panic!("{from} -> {to} passed"),
        Err(faults) => faults,
    }
}

#[test]
fn every_kind_of_fault_is_reported_with_its_path() {
    for (from, to, path, text) in [
        (
            "name = \"edge-1\"",
            "name = \"a b\"",
            "instance.name",
            "letters",
        ),
        ("rank = 2", "rank = 4", "instance", "below fleet_size"),
        (
            "fleet_size = 4",
            "fleet_size = 0",
            "instance.fleet_size",
            "whole number",
        ),
        ("\"32KiB\"", "\"32KB\"", "limits.kept_body", "size"),
        ("\"32KiB\"", "\"900MiB\"", "limits.kept_body", "size"),
        (
            "sockets = 512",
            "sockets = \"512\"",
            "limits.sockets",
            "whole number",
        ),
        (
            "sockets = 512",
            "sokets = 512",
            "limits.sokets",
            "unknown key",
        ),
        (
            "sockets = 512",
            "memory = \"1KiB\"",
            "limits.memory",
            "size",
        ),
        (
            "127.0.0.1:8080",
            "localhost:8080",
            "listener[0].address",
            "not an address",
        ),
        (
            "10.0.0.0/8",
            "10.0.0.0/99",
            "listener[0].trusted[0]",
            "not a network",
        ),
        (
            "trusted = [",
            "trusted = 7 # [",
            "listener[0].trusted",
            "an array",
        ),
        (
            "127.0.0.1:9001",
            "9001",
            "pool[0].members[0]",
            "not an address",
        ),
        (
            "127.0.0.1:9002",
            "127.0.0.1:9001",
            "pool[0].members[1]",
            "already",
        ),
        (
            "name = \"files\"",
            "name = \"shop\"",
            "pool[1].name",
            "already used at pool[0]",
        ),
        ("file = \"files.json\"", "", "pool[1]", "exactly one of"),
        (
            "file = \"files.json\"",
            "file = \"f\"\ndiscovery = \"127.0.0.1:1\"",
            "pool[1]",
            "exactly one of",
        ),
        (
            "warm_up = \"0s\"",
            "warm_up = 0",
            "pool[1].warm_up",
            "a time",
        ),
        (
            "repeats = 0.1",
            "repeats = 1.5",
            "pool[1].repeats",
            "a number",
        ),
        (
            "\"json\"",
            "\"xml\"",
            "log.format",
            "must be one of logfmt, json",
        ),
        (
            "lines_per_s = 50",
            "lines_per_s = 0",
            "log.lines_per_s",
            "whole number",
        ),
        ("lines_per_s = 50", "lines = 5", "log.lines", "unknown key"),
        (
            "warm_up = \"0s\"",
            "attempts = 0",
            "pool[1].attempts",
            "whole number",
        ),
        (
            "\"keyed\"",
            "\"key\"",
            "class[0].effect",
            "must be one of method, repeatable, keyed, once",
        ),
        (
            "\"keyed\"",
            "\"once\"",
            "class[0]",
            "for keyed classes only",
        ),
        ("window = \"10s\"", "", "class[0]", "needs a window"),
        ("\"500ms\"", "\"6s\"", "class[0]", "aim must not be longer"),
        ("worth = 3", "worth = -3", "class[0].worth", "a number"),
        ("rate = 100", "rate = 0", "tenant[0].rate", "a number"),
        ("*.shop.example", "*shop", "route[0].host", "not a host"),
        (
            "/orders/{account}/*",
            "/orders//{account}/*",
            "route[0].path",
            "normal form",
        ),
        (
            "/orders/{account}/*",
            "/orders/*",
            "route[0].tenant.parameter",
            "no such parameter",
        ),
        (
            "[\"POST\"]",
            "[\"post\"]",
            "route[0].methods[0]",
            "in capitals",
        ),
        (
            "X-Beta",
            "\"X Beta\"",
            "route[0].headers",
            "not a valid header name",
        ),
        (
            "class = \"order\"",
            "class = \"ordre\"",
            "route[0].class",
            "no class named \"ordre\"",
        ),
        (
            "pool = \"files\"",
            "pool = \"fils\"",
            "route[1].pool",
            "no pool named \"fils\"",
        ),
        ("pool = \"files\"", "", "route[1]", "pool is missing"),
        (
            "fixed = \"acme\"",
            "fixed = \"acne\"",
            "route[1].tenant.fixed",
            "no tenant named",
        ),
        (
            "fixed = \"acme\"",
            "fixed = \"acme\", header = \"T\"",
            "route[1].tenant",
            "exactly one of",
        ),
        (
            "timeout = \"2s\"",
            "timeout = \"20s\"",
            "route[0]",
            "class's deadline",
        ),
        (
            "[[route]]\npool = \"files\"",
            "[[route]]\npool = \"shop\"\n[[route]]\npool = \"files\"",
            "route[2]",
            "matches the same requests as route[1]",
        ),
        ("rank = 2", "rank = 2\nrank = 3", "", "duplicate key"),
        ("rank = 2", "rank = ", "", ""),
        ("[[tenant]]", "[[tennant]]", "tennant", "unknown key"),
    ] {
        let all = faults(from, to);
        assert!(
            all.iter().any(|f| f.path == path && f.text.contains(text))
                || (text.is_empty() && !all.is_empty()),
            "{from} -> {to}: {all:?}"
        );
    }
}

#[test]
fn all_faults_are_reported_in_the_order_of_their_lines() {
    let text = VALID
        .replace("rank = 2", "rnak = 2")
        .replace("\"keyed\"", "\"key\"")
        .replace("\"files\"\nfile", "\"shop\"\nfile");
    let faults = Installation::parse(&text).err().expect("faults");
    let lines: Vec<usize> = faults.iter().map(|f| f.line).collect();
    assert!(lines.is_sorted() && faults.len() >= 3, "{faults:?}");
    let position = |expected: &str| {
        let at = text.find(expected).expect("the text");
        (
            text[..at].matches('\n').count() + 1,
            at - text[..at].rfind('\n').unwrap_or(0),
        )
    };
    assert_eq!((faults[0].line, faults[0].column), position("rnak"));
    assert_eq!(
        faults[0].to_string(),
        format!("{}:1: instance.rnak: {}", faults[0].line, faults[0].text)
    );
}

#[test]
fn an_empty_file_reports_the_missing_sections() {
    let faults = Installation::parse("").err().expect("faults");
    let paths: Vec<&str> = faults.iter().map(|f| f.path.as_str()).collect();
    assert_eq!(paths, ["listener", "pool", "route"]);
}

#[test]
fn a_truncated_file_causes_no_panic() {
    for end in (0..VALID.len()).filter(|end| VALID.is_char_boundary(*end)) {
        let _ = Installation::parse(&VALID[..end]);
    }
}

const FLEET: &str = include_str!("../../../deploy/example-fleet.toml");

#[test]
fn a_fleet_and_its_budgets_are_parsed_completely() {
    let file = Installation::parse(FLEET).unwrap_or_else(|faults| panic!("{faults:?}"));
    let fleet = file.fleet.expect("a fleet");
    assert_eq!(
        (fleet.name.as_str(), fleet.members.len(), fleet.via.len()),
        ("prairie", 3, 1)
    );
    assert_eq!(fleet.catch_up, std::time::Duration::from_secs(2));
    assert_eq!(file.instance.site, "west");
    let [acme, open, repeats, each] = &file.budgets[..] else {
        panic!("four budgets")
    };
    assert_eq!(
        (acme.scope, acme.limit),
        (
            BudgetScope::Tenant(1),
            BudgetLimit::Rate {
                rate: 200.0,
                burst: 20.0,
                floor: 10.0
            }
        )
    );
    assert_eq!(
        (open.scope, open.limit),
        (
            BudgetScope::Pool(0),
            BudgetLimit::InFlight { max: 64, floor: 2 }
        )
    );
    assert_eq!(
        (repeats.unit, repeats.limit),
        (
            BudgetUnit::Retries,
            BudgetLimit::Rate {
                rate: 20.0,
                burst: 10.0,
                floor: 0.0
            }
        )
    );
    assert_eq!(
        (each.unit, each.limit),
        (
            BudgetUnit::AttemptsPerMember,
            BudgetLimit::InFlight { max: 16, floor: 1 }
        )
    );
    assert_eq!([acme, open].map(|b| b.unit), [BudgetUnit::Requests; 2]);
}

#[test]
fn each_fault_of_a_fleet_is_reported_with_its_path() {
    for (from, to, path, text) in [
        (
            "site = \"west\"",
            "fleet_size = 3",
            "instance",
            "fleet_size must not be set with [fleet]",
        ),
        (
            "site = \"west\"",
            "rank = 0",
            "instance",
            "rank must not be set with [fleet]",
        ),
        (
            "site = \"west\"",
            "site = \"the west\"",
            "instance.site",
            "letters",
        ),
        ("name = \"prairie\"", "name = \"\"", "fleet.name", "letters"),
        (
            "address = \"127.0.0.1:7100\" ",
            "address = \"here\" ",
            "fleet.address",
            "not an address",
        ),
        (
            "address = \"127.0.0.1:7100\" ",
            "address = \"0.0.0.0:7100\" ",
            "fleet",
            "can reach",
        ),
        (
            "address = \"127.0.0.1:7100\" ",
            "",
            "fleet",
            "address is missing",
        ),
        (
            "\"127.0.0.1:7101\", ",
            "\"127.0.0.1:7100\", ",
            "fleet.members[1]",
            "listed more than once",
        ),
        (
            "\"127.0.0.1:7101\", ",
            "\"i1\", ",
            "fleet.members[1]",
            "not an address",
        ),
        (
            "members = [\"127.0.0.1:7100\", \"127.0.0.1:7101\", \"127.0.0.1:7102\"]",
            "",
            "fleet",
            "members is missing",
        ),
        (
            "= \"127.0.0.1:7201\"",
            "= \"there\"",
            "fleet.via.127.0.0.1:7101",
            "IP:PORT",
        ),
        (
            "catch_up = \"2s\"",
            "catch_up = \"2h\"",
            "fleet.catch_up",
            "from",
        ),
        ("catch_up = \"2s\"", "state = 3", "fleet.state", "a string"),
        (
            "rate = 200.0",
            "",
            "budget[0]",
            "rate, repeats or open is missing",
        ),
        (
            "repeats = 20.0",
            "repeats = 20.0\nrate = 3.0",
            "budget[2]",
            "takes rate or repeats",
        ),
        (
            "repeats = 20.0",
            "repeats = 20.0\nopen = 3",
            "budget[2]",
            "takes open or repeats",
        ),
        (
            "repeats = 20.0",
            "repeats = 20.0\neach_member = true",
            "budget[2]",
            "each_member needs open and pool",
        ),
        (
            "each_member = true",
            "each_member = 1",
            "budget[3].each_member",
            "true or false",
        ),
        (
            "open = 16",
            "rate = 16.0\nburst = 16.0",
            "budget[3]",
            "each_member needs open and pool",
        ),
        ("rate = 200.0", "rate = -1.0", "budget[0].rate", "from"),
        (
            "rate = 200.0",
            "rate = 200.0\nopen = 3",
            "budget[0]",
            "rate cannot be combined with open",
        ),
        (
            "floor = 10.0",
            "floor = 100.0",
            "budget[0]",
            "more than rate",
        ),
        (
            "floor = 10.0",
            "floor = 1.0",
            "budget[0]",
            "floor has no effect",
        ),
        ("floor = 2", "floor = 40", "budget[1]", "more than open"),
        (
            "tenant = \"acme\"",
            "tenant = \"acne\"",
            "budget[0].tenant",
            "no tenant named",
        ),
        (
            "tenant = \"acme\"",
            "tenant = \"acme\"\npool = \"shop\"",
            "budget[0]",
            "one of tenant, class and pool",
        ),
        (
            "name = \"shop at once\"",
            "name = \"acme\"",
            "budget[1].name",
            "already used at budget[0]",
        ),
        (
            "name = \"shop at once\"",
            "",
            "budget[1]",
            "name is missing",
        ),
        (
            "burst = 20.0",
            "bust = 20.0",
            "budget[0].bust",
            "unknown key",
        ),
    ] {
        assert!(FLEET.contains(from), "{from}");
        let all = Installation::parse(&FLEET.replacen(from, to, 1))
            .err()
            .unwrap_or_default();
        assert!(
            all.iter().any(|f| f.path == path && f.text.contains(text)),
            "{from} -> {to}: {all:?}"
        );
    }
    let at = FLEET.find("# The processes").expect("the fleet");
    let end = FLEET.find("[[listener]]").expect("its end");
    let alone = format!("{}{}", &FLEET[..at], &FLEET[end..]);
    let all = Installation::parse(&alone)
        .err()
        .expect("budgets without a fleet");
    assert!(
        all.iter()
            .any(|f| f.path == "budget[0]" && f.text.contains("needs [fleet]")),
        "{all:?}"
    );
}
