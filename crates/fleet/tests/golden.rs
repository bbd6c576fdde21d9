//! Golden tests of the packet format: packets written by an earlier build must stay readable and
//! byte-identical, so that processes of different versions can form one fleet.

use dewrun_budgets::lease::{Grant, Total};
use dewrun_budgets::message::{LeaseRequest, Message as Budgets, VoteRequest, VoteResponse};
use dewrun_budgets::{BudgetKey, Epoch, Incarnation, ProcessId, Share};
use dewrun_fleet::membership::{self, Member, Membership, Micros};
use dewrun_fleet::packet::{Body, Packet, Seal};
use dewrun_replication::entry::{Delta, DeltaEntry, Key};
use dewrun_replication::gossip::message::{Message as Replica, Versions};
use dewrun_replication::kind::Kind;
use dewrun_replication::version_vector::{Digest, Dot, OriginRange};
use dewrun_replication::Origin;
use dewrun_test_support::{assert_golden, hex, unhex};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("tests/golden")
        .join(name)
}

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_100 + n))
}

fn seal() -> Seal {
    Seal::new("prairie", b"a secret")
}

/// Compares sealed packets with those of a file, and decodes those of the file.
fn assert_packets(name: &str, bodies: &[(&str, Body)]) {
    let mut text = String::new();
    for (what, body) in bodies {
        let packet = Packet {
            from: address(1),
            body: body.clone(),
        };
        let bytes = seal().seal(&packet).expect("it fits");
        text += &format!("{what} {}\n", hex(&bytes));
        assert_eq!(seal().open(&bytes).as_ref(), Ok(&packet), "{what}");
    }
    assert_golden(&file(name), &text);
    let golden = std::fs::read_to_string(file(name)).expect("the golden file");
    for (line, (what, body)) in golden.lines().zip(bodies) {
        let (_, digits) = line.split_once(' ').expect("a name and digits");
        let packet = seal()
            .open(&unhex(digits))
            .expect("a packet of an earlier build");
        assert_eq!(&packet.body, body, "{what}");
    }
}

fn epoch(number: u64) -> Epoch {
    Epoch {
        number,
        process: ProcessId(0x1122_3344_5566_7788),
        incarnation: Incarnation(0x99aa_bbcc_ddee_ff00),
    }
}

#[test]
fn the_encoding_of_budget_messages_is_unchanged() {
    let share = |units, burst| Share { units, burst };
    let total = Total {
        amount: share(200_000, 20_000),
        floor: share(10_000, 1_000),
        is_rate: true,
        max_request_duration: 30_000_000,
    };
    let request = LeaseRequest {
        incarnation: Incarnation(77),
        request_number: 300,
        held: share(66_000, 6_600),
        demand: 150_000,
        weight: 48,
        total,
        returns_lease: false,
    };
    let lease_return = LeaseRequest {
        request_number: 301,
        demand: 0,
        weight: 1,
        returns_lease: true,
        ..request
    };
    let grant = Grant {
        request_number: 300,
        share: share(66_333, 6_633),
        is_renewal: false,
    };
    let renewal = Grant {
        is_renewal: true,
        ..grant
    };
    let vote = |granted, votes_for| {
        Budgets::VoteResponse(VoteResponse {
            epoch: epoch(5),
            sent_at: 1 << 40,
            granted,
            votes_for,
            highest_term: 9,
        })
    };
    let one = |message| Body::Budgets(vec![message]);
    assert_packets(
        "budgets.txt",
        &[
            (
                "vote-request",
                one(Budgets::VoteRequest(VoteRequest {
                    epoch: epoch(5),
                    sent_at: 1 << 40,
                })),
            ),
            ("vote-granted", one(vote(true, Some(epoch(5))))),
            ("vote-refused", one(vote(false, Some(epoch(6))))),
            ("vote-refused-by-a-new-voter", one(vote(false, None))),
            (
                "lease-request",
                one(Budgets::LeaseRequest {
                    budget: BudgetKey(0xfeed),
                    request,
                }),
            ),
            (
                "lease-return",
                one(Budgets::LeaseRequest {
                    budget: BudgetKey(0xfeed),
                    request: lease_return,
                }),
            ),
            (
                "lease-response",
                one(Budgets::LeaseResponse {
                    budget: BudgetKey(0xfeed),
                    incarnation: Incarnation(77),
                    grant,
                }),
            ),
            (
                "lease-renewal",
                one(Budgets::LeaseResponse {
                    budget: BudgetKey(0xfeed),
                    incarnation: Incarnation(77),
                    grant: renewal,
                }),
            ),
            (
                "recall",
                one(Budgets::Recall {
                    budget: BudgetKey(0xfeed),
                }),
            ),
            (
                "not-leader",
                one(Budgets::NotLeader {
                    grantor: Some(epoch(6)),
                }),
            ),
            (
                "not-leader-and-none-known",
                one(Budgets::NotLeader { grantor: None }),
            ),
            (
                "several",
                Body::Budgets(vec![
                    Budgets::Recall {
                        budget: BudgetKey(1),
                    },
                    Budgets::Recall {
                        budget: BudgetKey(2),
                    },
                    Budgets::LeaseRequest {
                        budget: BudgetKey(3),
                        request,
                    },
                    Budgets::NotLeader { grantor: None },
                ]),
            ),
        ],
    );
}

#[test]
fn the_encoding_of_replication_messages_is_unchanged() {
    let item = |version, kind, name: &str, value: &[u8]| DeltaEntry {
        version,
        key: Key {
            kind: Kind(kind),
            name: name.into(),
        },
        value: value.to_vec(),
        age_us: 1_234_567,
    };
    let delta = Delta {
        origin: Origin(7),
        after: 2,
        up_to: 9,
        entries: vec![
            item(3, 1, "shop/a", b"\x01\x02"),
            item(9, 2, "shop/b", b""),
            item(8, 200, "later", b"?"),
        ],
    };
    let empty_delta = Delta {
        origin: Origin(u64::MAX),
        after: 0,
        up_to: 1,
        entries: Vec::new(),
    };
    let dot = |origin, version| Dot {
        origin: Origin(origin),
        version,
    };
    assert_packets(
        "replication.txt",
        &[
            (
                "summary",
                Body::Replication(Replica::Digest {
                    digest: Digest(0xdead_beef),
                }),
            ),
            (
                "known",
                Body::Replication(Replica::Versions(Versions {
                    range: OriginRange::ALL,
                    versions: vec![dot(7, 9), dot(8, 1)],
                    is_reply_requested: true,
                })),
            ),
            (
                "known-answer",
                Body::Replication(Replica::Versions(Versions {
                    range: OriginRange {
                        first: Origin(7),
                        last: Origin(8),
                    },
                    versions: Vec::new(),
                    is_reply_requested: false,
                })),
            ),
            (
                "deltas",
                Body::Replication(Replica::Deltas {
                    deltas: vec![delta, empty_delta],
                }),
            ),
            (
                "same",
                Body::Replication(Replica::InSync {
                    digest: Digest(0xdead_beef),
                }),
            ),
            ("who", Body::Replication(Replica::CatchUpProbe)),
            (
                "here",
                Body::Replication(Replica::CatchUpReply { is_starting: true }),
            ),
            (
                "here-caught-up",
                Body::Replication(Replica::CatchUpReply { is_starting: false }),
            ),
        ],
    );
}

/// Returns one message of each kind that processes exchange as they start, lose a member, see it
/// return, and see another one restart.
fn membership_exchange() -> BTreeMap<String, membership::Message> {
    const TICK: Micros = 50_000;
    const END: Micros = 40_000_000;
    const PROCESSES: u16 = 12;
    const CUT_OFF: (Micros, Micros) = (10_000_000, 25_000_000);
    const RESTARTED: Micros = 30_000_000;
    let member = |n: u16| Member {
        address: address(n),
        name: format!("i{n}"),
        site: if n == 0 { String::new() } else { "west".into() },
        started_ms: 1_700_000_000_000 + u64::from(n),
        incarnation: Incarnation(1_000 + u64::from(n)),
        refutations: 0,
    };
    let seeds = [address(0), address(1)];
    let mut fleet: Vec<Membership> = (0..PROCESSES)
        .map(|n| Membership::new(0, member(n), &seeds, u64::from(n)))
        .collect();
    let mut seen = BTreeMap::new();
    let mut now = 0;
    while now < END {
        now += TICK;
        if now == RESTARTED {
            let restarted = Member {
                started_ms: 1_700_000_030_000,
                incarnation: Incarnation(9_999),
                ..member(3)
            };
            fleet[3] = Membership::new(now, restarted, &seeds, 33);
        }
        let is_cut = |at: usize| at == 4 && (CUT_OFF.0..CUT_OFF.1).contains(&now);
        let mut queue: Vec<(usize, SocketAddr, membership::Message)> = Vec::new();
        for (at, process) in fleet.iter_mut().enumerate() {
            queue.extend(
                process
                    .tick(now)
                    .messages
                    .into_iter()
                    .map(|sent| (at, sent.to, sent.message)),
            );
        }
        while let Some((from, to, message)) = queue.pop() {
            let kind = format!("{:?}", message.body);
            let kind = kind
                .split(['(', ' ', '{'])
                .next()
                .unwrap_or_default()
                .to_lowercase();
            let introduction_suffix = if message.introduction.is_some() {
                "-introduced"
            } else {
                ""
            };
            seen.entry(format!("{kind}{introduction_suffix}"))
                .or_insert_with(|| message.clone());
            let at = usize::from(to.port() - 7_100);
            if is_cut(from) || is_cut(at) {
                continue;
            }
            let answers = fleet[at]
                .on_message(now, address(from as u16), message)
                .messages;
            queue.extend(answers.into_iter().map(|sent| (at, sent.to, sent.message)));
        }
    }
    let leave_messages = fleet[2].leave(now);
    seen.insert("leaving".into(), leave_messages[0].message.clone());
    // Only far larger fleets begin a comparison with bucket digests.
    let buckets = membership::BucketDigests {
        salt: 0x0123_4567_89ab_cdef,
        digests: vec![[1, 2], [0, 0], [255, 128]],
    };
    let body = membership::Body::Buckets(buckets);
    seen.insert(
        "buckets".into(),
        membership::Message {
            body,
            ..leave_messages[0].message.clone()
        },
    );
    seen
}

#[test]
fn the_encoding_of_membership_messages_is_unchanged() {
    let exchange = membership_exchange();
    let bodies: Vec<(&str, Body)> = exchange
        .iter()
        .map(|(what, message)| (what.as_str(), Body::Membership(message.clone())))
        .collect();
    for kind in [
        "ping",
        "pingrequest",
        "ack",
        "gossip",
        "buckets",
        "compare",
        "entries",
        "whoareyou",
    ] {
        assert!(
            bodies.iter().any(|(what, _)| what.starts_with(kind)),
            "no {kind} in {:?}",
            exchange.keys()
        );
    }
    assert_packets("membership.txt", &bodies);
}

#[test]
fn the_digits_of_a_proof_are_unchanged() {
    let proof = seal().proof("order", "00ff", b"{\"target\":\"shop/a\"}");
    assert_golden(&file("proof.txt"), &format!("{proof}\n"));
}
