//! Compatibility of the reports to operators and other processes with those of an earlier build.

use dewrun_agent::client::{differences, orders_table};
use dewrun_agent::protocol::{Order, OrderStatus, ReplicationStatus};
use dewrun_agent::status::{table, BudgetStatus, Grantor, MemberEntry, Status, Summary};
use dewrun_agent::transport::Traffic;
use dewrun_fleet::membership::Liveness;
use dewrun_replication::orders::DesiredState;
use dewrun_test_support::assert_golden;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

fn file(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_100 + n))
}

/// Asserts that a value is serialized as the golden file, and that the file is deserialized without
/// loss.
fn assert_json<T: Serialize + for<'de> Deserialize<'de>>(name: &str, value: &T) {
    let text = serde_json::to_string(value).expect("JSON") + "\n";
    assert_golden(&file(name), &text);
    let golden = std::fs::read_to_string(file(name)).expect("the golden file");
    let restored: T = serde_json::from_str(&golden).expect("the JSON of an earlier build");
    assert_eq!(
        serde_json::to_string(&restored).expect("JSON") + "\n",
        golden
    );
}

fn traffic() -> Traffic {
    Traffic {
        packets_sent: 1,
        bytes_sent: 200,
        packets_received: 3,
        bytes_received: 400,
    }
}

fn status() -> Status {
    let member = |n: u16, liveness, votes| MemberEntry {
        name: format!("i{n}"),
        address: address(n),
        site: "west".into(),
        liveness,
        started_ms: 1_700_000_000_000,
        votes,
    };
    let budget = |name: &str, member: &str, granted: Option<f64>| BudgetStatus {
        name: name.into(),
        member: member.into(),
        total: 200.0,
        share: 66.6,
        ends_in_ms: 1_900,
        demand: 70.25,
        spent: 1_000,
        rejected: 7,
        granted,
        holders: granted.map(|_| 3),
    };
    Status {
        version: 1,
        fleet: "prairie".into(),
        address: address(0),
        name: "i0".into(),
        is_suspended: false,
        grantor: Some(Grantor {
            address: Some(address(1)),
            term: 1_700_000_000_001,
        }),
        members: vec![
            member(0, Liveness::Alive, true),
            member(1, Liveness::Suspected, true),
            member(2, Liveness::Gone, false),
        ],
        budgets: vec![
            budget("acme", "", Some(199.5)),
            budget("shop's members", "127.0.0.1:9001", None),
        ],
        rejected: 2,
        traffic: traffic(),
    }
}

fn replication_status(name: &str, at: u16) -> ReplicationStatus {
    let order = |desired_state, by: &str, dot: &str| OrderStatus {
        desired_state,
        by: by.into(),
        at_ms: 1_700_000_000_000,
        dot: dot.into(),
    };
    let orders = [
        (
            "shop/a",
            vec![
                order(DesiredState::Drain, "ann", "7:3"),
                order(DesiredState::Return, "bob", "9:1"),
            ],
        ),
        ("shop/b", vec![order(DesiredState::Return, "cid", "7:4")]),
    ];
    ReplicationStatus {
        version: 1,
        name: name.into(),
        address: address(at),
        caught_up: true,
        entries: 12,
        rejected: 1,
        orders: orders
            .into_iter()
            .map(|(target, all)| (target.into(), all))
            .collect(),
        version_vector: [("7", 4), ("9", 1)]
            .into_iter()
            .map(|(origin, version)| (origin.into(), version))
            .collect(),
    }
}

#[test]
fn a_status_has_the_golden_json_and_table() {
    let mut status = status();
    assert_json("status.json", &status);
    assert_golden(&file("status.txt"), &table(&status));
    (status.is_suspended, status.grantor, status.budgets) = (true, None, Vec::new());
    assert_json("status-suspended.json", &status);
    assert_golden(&file("status-suspended.txt"), &table(&status));
}

#[test]
fn a_summary_has_the_golden_json() {
    let grantor = Some(Grantor {
        address: None,
        term: 5,
    });
    let summary = Summary {
        version: 1,
        address: address(0),
        grantor,
        up: 3,
        suspected: 1,
        traffic: traffic(),
    };
    assert_json("summary.json", &summary);
}

#[test]
fn orders_have_the_golden_json_and_table() {
    let status = replication_status("i0", 0);
    assert_json("orders.json", &status);
    assert_golden(&file("orders.txt"), &orders_table(&status));
    assert_json(
        "order.json",
        &Order {
            target: "shop/a".into(),
            desired_state: DesiredState::Drain,
            by: "ann".into(),
        },
    );
}

#[test]
fn differences_have_the_golden_text() {
    let (one, mut other) = (replication_status("i0", 0), replication_status("i1", 1));
    assert_eq!(differences(&one, &other), Vec::<String>::new());
    other.version_vector.insert("7".into(), 2);
    other.version_vector.insert("a".into(), 6);
    let moved = other.orders.remove("shop/b").expect("an order");
    other.orders.insert("shop/c".into(), moved);
    assert_golden(
        &file("differences.txt"),
        &(differences(&one, &other).join("\n") + "\n"),
    );
}
