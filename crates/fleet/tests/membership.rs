//! Tests of the membership protocol.

use dewrun_fleet::membership::*;
use proptest::prelude::*;
use std::net::SocketAddr;

const SECOND_US: Micros = 1_000_000;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_100 + n as u16))
}

fn member(n: usize, started_ms: u64) -> Member {
    let name = format!("i{n}");
    Member {
        address: address(n),
        name,
        site: String::new(),
        started_ms,
        incarnation: Incarnation(n as u64 + 1),
        refutations: 0,
    }
}

fn is_probe_message(message: &Message) -> bool {
    matches!(
        message.body,
        Body::Ping { .. } | Body::PingRequest { .. } | Body::Ack { .. }
    )
}

fn is_comparison_request(message: &Message) -> bool {
    matches!(message.body, Body::Buckets(_) | Body::Compare(_))
}

/// Processes whose messages arrive immediately, except over paths that are cut.
struct TestNetwork {
    all: Vec<Option<Membership>>,
    now: Micros,
    cut: Vec<(usize, usize)>,
    bytes: usize,
    /// The number of messages that do not belong to the failure detector.
    non_probe_messages: usize,
    comparison_requests: usize,
    /// Whether view digests are changed in transit.
    corrupts_view_digests: bool,
}

impl TestNetwork {
    fn new(n: usize) -> TestNetwork {
        let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
        let start = |at| Some(Membership::new(0, member(at, 1_000), &seeds, at as u64));
        TestNetwork {
            all: (0..n).map(start).collect(),
            now: 0,
            cut: Vec::new(),
            bytes: 0,
            non_probe_messages: 0,
            comparison_requests: 0,
            corrupts_view_digests: false,
        }
    }

    fn deliver(&mut self, from: usize, messages: Vec<OutgoingMessage>) {
        let mut queue: Vec<(usize, SocketAddr, Message)> = messages
            .into_iter()
            .map(|OutgoingMessage { to, message }| (from, to, message))
            .collect();
        while let Some((from, to, message)) = queue.pop() {
            let to = usize::from(to.port() - 7_100);
            self.bytes += message.size();
            self.non_probe_messages += usize::from(!is_probe_message(&message));
            self.comparison_requests += usize::from(is_comparison_request(&message));
            let view_digest = if self.corrupts_view_digests {
                message.view_digest ^ self.now
            } else {
                message.view_digest
            };
            let message = Message {
                view_digest,
                ..message
            };
            if self.cut.contains(&(from, to)) {
                continue;
            }
            if let Some(Some(members)) = self.all.get_mut(to) {
                let answers = members
                    .on_message(self.now, address(from), message)
                    .messages;
                queue.extend(
                    answers
                        .into_iter()
                        .map(|answer| (to, answer.to, answer.message)),
                );
            }
        }
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += 50_000;
            for at in 0..self.all.len() {
                let Some(members) = &mut self.all[at] else {
                    continue;
                };
                let messages = members.tick(self.now).messages;
                self.deliver(at, messages);
            }
        }
    }

    fn live_count(&self, at: usize) -> usize {
        self.all[at]
            .as_ref()
            .map_or(0, |members| members.live_members().len())
    }
}

#[test]
fn members_discover_each_other_and_remove_the_dead() {
    let mut net = TestNetwork::new(12);
    net.run(5 * SECOND_US);
    assert!(
        (0..12).all(|at| net.live_count(at) == 12),
        "{:?}",
        (0..12).map(|at| net.live_count(at)).collect::<Vec<_>>()
    );
    net.all[4] = None;
    net.run(20 * SECOND_US);
    assert!((0..12)
        .filter(|at| *at != 4)
        .all(|at| net.live_count(at) == 11));
    net.all[4] = Some(Membership::new(
        net.now,
        member(4, 99_000),
        &[address(0)],
        99,
    ));
    net.run(10 * SECOND_US);
    assert!(
        (0..12).all(|at| net.live_count(at) == 12),
        "the process returns in its next incarnation"
    );
}

#[test]
fn a_member_that_one_other_receives_from_is_not_declared_dead() {
    let mut net = TestNetwork::new(6);
    net.run(5 * SECOND_US);
    // The cut is one-way: only member 1 receives messages from member 5.
    net.cut = [0, 2, 3, 4].map(|to| (5, to)).into();
    net.run(30 * SECOND_US);
    assert!(
        (0..6).all(|at| net.live_count(at) == 6),
        "{:?}",
        (0..6).map(|at| net.live_count(at)).collect::<Vec<_>>()
    );
}

#[test]
fn two_sides_of_a_partition_merge_after_it_heals() {
    let mut net = TestNetwork::new(6);
    net.run(5 * SECOND_US);
    net.cut = (0..3)
        .flat_map(|a| (3..6).flat_map(move |b| [(a, b), (b, a)]))
        .collect();
    net.run(30 * SECOND_US);
    assert!((0..6).all(|at| net.live_count(at) == 3));
    net.cut.clear();
    net.run(20 * SECOND_US);
    assert!(
        (0..6).all(|at| net.live_count(at) == 6),
        "{:?}",
        (0..6).map(|at| net.live_count(at)).collect::<Vec<_>>()
    );
}

#[test]
fn the_later_of_two_members_with_one_name_owns_it() {
    let mut net = TestNetwork::new(3);
    let same_name = Member {
        name: "i1".into(),
        ..member(3, 5_000)
    };
    net.all
        .push(Some(Membership::new(0, same_name, &[address(0)], 7)));
    net.run(5 * SECOND_US);
    let conflict = |at: usize| {
        net.all[at]
            .as_ref()
            .and_then(|m| m.name_conflict())
            .map(|m| m.address)
    };
    assert_eq!((conflict(1), conflict(3)), (Some(address(3)), None));
}

#[test]
fn an_idle_fleet_sends_little() {
    let mut net = TestNetwork::new(12);
    net.run(10 * SECOND_US);
    net.bytes = 0;
    net.run(30 * SECOND_US);
    let each = net.bytes as f64 / 12.0 / 30.0;
    println!("{each:.0} bytes a second each");
    assert!(each < 2_000.0, "{each}");
}

#[test]
fn equal_views_cause_only_probe_messages() {
    let mut net = TestNetwork::new(12);
    net.run(20 * SECOND_US);
    assert!((0..12).all(|at| net.live_count(at) == 12));
    (net.bytes, net.non_probe_messages) = (0, 0);
    net.run(60 * SECOND_US);
    let each = net.bytes as f64 / 12.0 / 60.0;
    assert_eq!(
        net.non_probe_messages, 0,
        "no views are compared, and no updates disseminated"
    );
    assert!(
        each < 100.0,
        "{each:.0} bytes a second each, without packet headers"
    );
}

#[test]
fn anti_entropy_repairs_a_view_with_a_missing_member() {
    let mut net = TestNetwork::new(12);
    net.run(20 * SECOND_US);
    // Member 11 restarts while only member 0 receives its messages, and the updates that member 0
    // sends are lost.
    net.cut = (0..12)
        .flat_map(|a| (0..12).map(move |b| (a, b)))
        .filter(|(a, b)| a != b)
        .collect();
    net.cut.retain(|path| *path != (11, 0));
    net.all[11] = Some(Membership::new(
        net.now,
        member(11, 2_000),
        &[address(0)],
        5,
    ));
    net.run(SECOND_US);
    net.cut.clear();
    net.run(10 * SECOND_US);
    let knows = |at: usize| {
        net.all[at]
            .as_ref()
            .is_some_and(|m| m.live_members().iter().any(|m| m.started_ms == 2_000))
    };
    assert!((0..12).all(knows));
}

/// Returns a member of a settled fleet of three, and a function that builds a message of another
/// member with the given updates.
fn settled() -> (Membership, impl Fn(Vec<Update>) -> Message) {
    let mut net = TestNetwork::new(3);
    net.run(20 * SECOND_US);
    let members = net.all[0].take().expect("it runs");
    let sender = member(1, 1_000);
    let view = 7;
    let message = move |updates| Message {
        incarnation: net.all[1]
            .as_ref()
            .map_or(IncarnationTag(0), |_| tag_of(&sender)),
        refutations: 0,
        view_digest: view,
        introduction: Some(sender.clone()),
        body: Body::Gossip { updates },
    };
    (members, message)
}

/// Returns the tag of a member's incarnation, as the member sends it.
fn tag_of(member: &Member) -> IncarnationTag {
    let seeds = [address(900)];
    let mut alone = Membership::new(0, member.clone(), &seeds, 1);
    let sent = (0..100).find_map(|step| alone.tick(step * 50_000).messages.pop());
    sent.expect("the member queries its seed")
        .message
        .incarnation
}

#[test]
fn invalid_updates_are_rejected() {
    let (mut members, message) = settled();
    let now = 30 * SECOND_US;
    let before: Vec<Member> = members.live_members().into_iter().cloned().collect();
    let receive =
        |members: &mut Membership, updates| members.on_message(now, address(1), message(updates));
    let at = |address: &str, started_ms| Member {
        address: address.parse().expect("an address"),
        ..member(7, started_ms)
    };
    let unreachable = [
        "0.0.0.0:7107",
        "224.0.0.1:7107",
        "255.255.255.255:7107",
        "10.0.0.7:0",
        "[ff02::1]:7107",
    ];
    receive(
        &mut members,
        unreachable
            .iter()
            .map(|address| Update::Full(at(address, 1_000)))
            .collect(),
    );
    receive(
        &mut members,
        vec![
            Update::Full(member(7, u64::MAX)),
            Update::Full(member(2, u64::MAX)),
        ],
    );
    receive(
        &mut members,
        vec![Update::Full(Member {
            name: "n".repeat(129),
            ..member(7, 1_000)
        })],
    );
    // An earlier incarnation does not replace a member.
    receive(&mut members, vec![Update::Full(member(2, 999))]);
    assert_eq!(
        members
            .live_members()
            .into_iter()
            .cloned()
            .collect::<Vec<_>>(),
        before
    );
    let rejected = members.rejected_updates();
    assert_eq!(
        (
            rejected.unreachable_address,
            rejected.start_in_future,
            rejected.name_limit
        ),
        (5, 2, 1)
    );
}

#[test]
fn members_with_one_name_are_limited() {
    let (mut members, message) = settled();
    for n in 0..1_000u16 {
        let address = SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8 + 1], 7_100));
        let update = Update::Full(Member {
            address,
            incarnation: Incarnation(u64::from(n)),
            ..member(7, 1_000)
        });
        members.on_message(30 * SECOND_US, self::address(1), message(vec![update]));
    }
    assert_eq!(members.live_members().len(), 3 + 16);
    assert_eq!(members.rejected_updates().name_limit, 1_000 - 16);
}

#[test]
fn a_permanent_digest_mismatch_causes_few_comparisons() {
    let mut net = TestNetwork::new(3);
    net.run(20 * SECOND_US);
    net.corrupts_view_digests = true;
    net.comparison_requests = 0;
    net.run(60 * SECOND_US);
    assert!((0..3).all(|at| net.live_count(at) == 3));
    assert!(
        net.comparison_requests > 9,
        "views are compared: {}",
        net.comparison_requests
    );
    assert!(
        net.comparison_requests < 3 * 60,
        "{} comparison requests of three members in a minute",
        net.comparison_requests
    );
}

#[test]
fn inconsistent_requests_get_short_answers() {
    let (mut members, message) = settled();
    let compare = |buckets, fingerprints| {
        Body::Compare(CompareRequest {
            salt: 1,
            buckets: BucketSet(buckets),
            fingerprints,
            max_answer_bytes: u32::MAX,
            may_request_back: true,
        })
    };
    let bodies = [
        compare(u64::MAX, vec![vec![0; 1_000]]),
        compare(0, vec![Vec::new(); 64]),
        compare(1, vec![vec![1]; 200]),
        Body::Buckets(BucketDigests {
            salt: 1,
            digests: vec![[1, 2]; 3],
        }),
        Body::Buckets(BucketDigests {
            salt: 1,
            digests: vec![[1, 2]; 1_000],
        }),
    ];
    for body in bodies {
        let packets = members
            .on_message(
                30 * SECOND_US,
                address(1),
                Message {
                    body,
                    ..message(Vec::new())
                },
            )
            .messages;
        let entries = packets
            .iter()
            .filter(|sent| matches!(sent.message.body, Body::Entries(_)));
        assert!(
            entries.map(|sent| sent.message.size()).sum::<usize>() < 100,
            "{packets:?}"
        );
    }
}

#[test]
fn a_process_resumed_after_a_stall_declares_no_member_dead() {
    let mut net = TestNetwork::new(6);
    net.run(20 * SECOND_US);
    let stopped = net.all[3].take();
    net.run(3 * SECOND_US);
    net.all[3] = stopped;
    // The process ticks before it reads the messages that have arrived.
    let first = net.all[3]
        .as_mut()
        .expect("it runs")
        .tick(net.now + 20 * SECOND_US);
    assert!(first.events.is_empty(), "{:?}", first.events);
    assert_eq!(net.live_count(3), 6);
}

#[test]
fn a_member_that_joins_during_a_probe_round_is_probed_in_it() {
    const MEMBERS: usize = 60;
    let mut members = Membership::new(0, member(0, 1_000), &[address(1)], 1);
    let tags: Vec<IncarnationTag> = (0..=MEMBERS).map(|n| tag_of(&member(n, 1_000))).collect();
    let message_from = |n: usize, body| Message {
        incarnation: tags[n],
        refutations: 0,
        view_digest: 0,
        introduction: Some(member(n, 1_000)),
        body,
    };
    let last = MEMBERS;
    let mut pinged_last = false;
    (1..last).for_each(|n| {
        drop(members.on_message(
            0,
            address(n),
            message_from(
                n,
                Body::Gossip {
                    updates: Vec::new(),
                },
            ),
        ))
    });
    for step in 1..2_000 {
        let now = step * 50_000;
        // The process counts as caught up after 30 s, and is in its first probe round.
        if now == 35 * SECOND_US {
            members.on_message(
                now,
                address(last),
                message_from(
                    last,
                    Body::Gossip {
                        updates: Vec::new(),
                    },
                ),
            );
        }
        for OutgoingMessage { to, message } in members.tick(now).messages {
            let n = usize::from(to.port() - 7_100);
            if let Body::Ping { sequence, .. } = message.body {
                pinged_last |= n == last;
                members.on_message(
                    now,
                    to,
                    message_from(
                        n,
                        Body::Ack {
                            sequence,
                            updates: Vec::new(),
                        },
                    ),
                );
            }
        }
        // The round began after 30 s and probes 59 members, one per second.
        if now == 85 * SECOND_US {
            assert!(pinged_last, "the new member is probed in the current round");
        }
    }
}

proptest! {
    /// A sender who knows the secret can send arbitrary bytes. They must yield an error or a
    /// message with little effect.
    #[test]
    fn hostile_bytes_add_at_most_one_member(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut members = Membership::new(0, member(0, 1_000), &[address(1)], 1);
        let before = members.live_members().len();
        if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
            members.on_message(1, address(1), message);
        }
        prop_assert!(members.live_members().len() <= before + 1);
    }
}
