//! Who of a fleet is up.

use dewrun_fleet::membership::*;
use proptest::prelude::*;
use std::net::SocketAddr;

const S: Micros = 1_000_000;

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

fn is_of_failure_detector(message: &Message) -> bool {
    matches!(
        message.body,
        Body::Ping { .. } | Body::PingRequest { .. } | Body::Ack { .. }
    )
}

fn is_comparison_request(message: &Message) -> bool {
    matches!(message.body, Body::Buckets(_) | Body::Compare(_))
}

/// Processes that hear each other at once, but for those cut off.
struct Net {
    all: Vec<Option<Membership>>,
    now: Micros,
    cut: Vec<(usize, usize)>,
    bytes: usize,
    /// Messages other than pings and their answers.
    exchanges: usize,
    questions: usize,
    /// Whether the digests of views are changed on their way.
    corrupts_view_digests: bool,
}

impl Net {
    fn new(n: usize) -> Net {
        let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
        let start = |at| Some(Membership::new(0, member(at, 1_000), &seeds, at as u64));
        Net {
            all: (0..n).map(start).collect(),
            now: 0,
            cut: Vec::new(),
            bytes: 0,
            exchanges: 0,
            questions: 0,
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
            self.exchanges += usize::from(!is_of_failure_detector(&message));
            self.questions += usize::from(is_comparison_request(&message));
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

    fn up(&self, at: usize) -> usize {
        self.all[at]
            .as_ref()
            .map_or(0, |members| members.live_members().len())
    }
}

#[test]
fn all_find_each_other_and_miss_the_dead() {
    let mut net = Net::new(12);
    net.run(5 * S);
    assert!(
        (0..12).all(|at| net.up(at) == 12),
        "{:?}",
        (0..12).map(|at| net.up(at)).collect::<Vec<_>>()
    );
    net.all[4] = None;
    net.run(20 * S);
    assert!((0..12).filter(|at| *at != 4).all(|at| net.up(at) == 11));
    net.all[4] = Some(Membership::new(
        net.now,
        member(4, 99_000),
        &[address(0)],
        99,
    ));
    net.run(10 * S);
    assert!(
        (0..12).all(|at| net.up(at) == 12),
        "it is back in its next incarnation"
    );
}

#[test]
fn a_member_that_some_hear_is_not_taken_for_dead() {
    let mut net = Net::new(6);
    net.run(5 * S);
    // One way: nobody but 1 hears 5.
    net.cut = [0, 2, 3, 4].map(|to| (5, to)).into();
    net.run(30 * S);
    assert!(
        (0..6).all(|at| net.up(at) == 6),
        "{:?}",
        (0..6).map(|at| net.up(at)).collect::<Vec<_>>()
    );
}

#[test]
fn halves_that_were_cut_off_find_each_other_again() {
    let mut net = Net::new(6);
    net.run(5 * S);
    net.cut = (0..3)
        .flat_map(|a| (3..6).flat_map(move |b| [(a, b), (b, a)]))
        .collect();
    net.run(30 * S);
    assert!((0..6).all(|at| net.up(at) == 3));
    net.cut.clear();
    net.run(20 * S);
    assert!(
        (0..6).all(|at| net.up(at) == 6),
        "{:?}",
        (0..6).map(|at| net.up(at)).collect::<Vec<_>>()
    );
}

#[test]
fn of_two_members_with_one_name_the_later_incarnation_holds_it() {
    let mut net = Net::new(3);
    let twin = Member {
        name: "i1".into(),
        ..member(3, 5_000)
    };
    net.all
        .push(Some(Membership::new(0, twin, &[address(0)], 7)));
    net.run(5 * S);
    let rival = |at: usize| {
        net.all[at]
            .as_ref()
            .and_then(|m| m.name_conflict())
            .map(|m| m.address)
    };
    assert_eq!((rival(1), rival(3)), (Some(address(3)), None));
}

#[test]
fn a_fleet_at_rest_sends_little() {
    let mut net = Net::new(12);
    net.run(10 * S);
    net.bytes = 0;
    net.run(30 * S);
    let each = net.bytes as f64 / 12.0 / 30.0;
    println!("{each:.0} bytes a second each");
    assert!(each < 2_000.0, "{each}");
}

#[test]
fn equal_views_cost_next_to_nothing() {
    let mut net = Net::new(12);
    net.run(20 * S);
    assert!((0..12).all(|at| net.up(at) == 12));
    (net.bytes, net.exchanges) = (0, 0);
    net.run(60 * S);
    let each = net.bytes as f64 / 12.0 / 60.0;
    assert_eq!(
        net.exchanges, 0,
        "nothing is compared, and nothing passed on"
    );
    assert!(each < 100.0, "{each:.0} bytes a second each, heads apart");
}

#[test]
fn anti_entropy_completes_a_view_that_misses_a_member() {
    let mut net = Net::new(12);
    net.run(20 * S);
    // 11 restarts while only 0 hears it, and the updates that 0 sends are lost.
    net.cut = (0..12)
        .flat_map(|a| (0..12).map(move |b| (a, b)))
        .filter(|(a, b)| a != b)
        .collect();
    net.cut.retain(|way| *way != (11, 0));
    net.all[11] = Some(Membership::new(
        net.now,
        member(11, 2_000),
        &[address(0)],
        5,
    ));
    net.run(S);
    net.cut.clear();
    net.run(10 * S);
    let knows = |at: usize| {
        net.all[at]
            .as_ref()
            .is_some_and(|m| m.live_members().iter().any(|m| m.started_ms == 2_000))
    };
    assert!((0..12).all(knows));
}

/// A member that has settled among two others, and a message of one of them with these updates.
fn settled() -> (Membership, impl Fn(Vec<Update>) -> Message) {
    let mut net = Net::new(3);
    net.run(20 * S);
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

/// The tag of a member's incarnation, as the member sends it.
fn tag_of(member: &Member) -> IncarnationTag {
    let seeds = [address(900)];
    let mut alone = Membership::new(0, member.clone(), &seeds, 1);
    let sent = (0..100).find_map(|step| alone.tick(step * 50_000).messages.pop());
    sent.expect("it asks the file").message.incarnation
}

#[test]
fn updates_that_cannot_be_true_change_nothing() {
    let (mut members, message) = settled();
    let now = 30 * S;
    let before: Vec<Member> = members.live_members().into_iter().cloned().collect();
    let told =
        |members: &mut Membership, updates| members.on_message(now, address(1), message(updates));
    let at = |address: &str, started_ms| Member {
        address: address.parse().expect("an address"),
        ..member(7, started_ms)
    };
    let bad = [
        "0.0.0.0:7107",
        "224.0.0.1:7107",
        "255.255.255.255:7107",
        "10.0.0.7:0",
        "[ff02::1]:7107",
    ];
    told(
        &mut members,
        bad.iter()
            .map(|address| Update::Full(at(address, 1_000)))
            .collect(),
    );
    told(
        &mut members,
        vec![
            Update::Full(member(7, u64::MAX)),
            Update::Full(member(2, u64::MAX)),
        ],
    );
    told(
        &mut members,
        vec![Update::Full(Member {
            name: "n".repeat(129),
            ..member(7, 1_000)
        })],
    );
    // An earlier incarnation does not replace a member.
    told(&mut members, vec![Update::Full(member(2, 999))]);
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
fn one_name_at_a_thousand_addresses_is_bounded() {
    let (mut members, message) = settled();
    for n in 0..1_000u16 {
        let address = SocketAddr::from(([10, 1, (n / 250) as u8, (n % 250) as u8 + 1], 7_100));
        let update = Update::Full(Member {
            address,
            incarnation: Incarnation(u64::from(n)),
            ..member(7, 1_000)
        });
        members.on_message(30 * S, self::address(1), message(vec![update]));
    }
    assert_eq!(members.live_members().len(), 3 + 16);
    assert_eq!(members.rejected_updates().name_limit, 1_000 - 16);
}

#[test]
fn a_digest_that_never_agrees_is_compared_now_and_then() {
    let mut net = Net::new(3);
    net.run(20 * S);
    net.corrupts_view_digests = true;
    net.questions = 0;
    net.run(60 * S);
    assert!((0..3).all(|at| net.up(at) == 3));
    assert!(net.questions > 9, "views are compared: {}", net.questions);
    assert!(
        net.questions < 3 * 60,
        "{} questions of three in a minute",
        net.questions
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
                30 * S,
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
fn a_process_that_was_stopped_declares_nobody_dead() {
    let mut net = Net::new(6);
    net.run(20 * S);
    let stopped = net.all[3].take();
    net.run(3 * S);
    net.all[3] = stopped;
    // It looks at the clock before it reads what has come.
    let first = net.all[3].as_mut().expect("it runs").tick(net.now + 20 * S);
    assert!(first.events.is_empty(), "{:?}", first.events);
    assert_eq!(net.up(3), 6);
}

#[test]
fn a_member_that_joins_during_a_probe_round_is_probed_in_it() {
    const MANY: usize = 60;
    let mut members = Membership::new(0, member(0, 1_000), &[address(1)], 1);
    let tags: Vec<IncarnationTag> = (0..=MANY).map(|n| tag_of(&member(n, 1_000))).collect();
    let says = |n: usize, body| Message {
        incarnation: tags[n],
        refutations: 0,
        view_digest: 0,
        introduction: Some(member(n, 1_000)),
        body,
    };
    let last = MANY;
    let mut asked_last = false;
    (1..last).for_each(|n| {
        drop(members.on_message(
            0,
            address(n),
            says(
                n,
                Body::Gossip {
                    updates: Vec::new(),
                },
            ),
        ))
    });
    for step in 1..2_000 {
        let now = step * 50_000;
        // It has made do after 30 s, and is in its first round.
        if now == 35 * S {
            members.on_message(
                now,
                address(last),
                says(
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
                asked_last |= n == last;
                members.on_message(
                    now,
                    to,
                    says(
                        n,
                        Body::Ack {
                            sequence,
                            updates: Vec::new(),
                        },
                    ),
                );
            }
        }
        // The round began after 30 s and has 59 members, one a second.
        if now == 85 * S {
            assert!(asked_last, "it is probed in the round that was under way");
        }
    }
}

proptest! {
    /// Bytes with a right hash, as one who knows the secret could make: an error or a message that
    /// does little.
    #[test]
    fn hostile_bytes_change_nothing(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut members = Membership::new(0, member(0, 1_000), &[address(1)], 1);
        let before = members.live_members().len();
        if let Ok(message) = postcard::from_bytes::<Message>(&bytes) {
            members.on_message(1, address(1), message);
        }
        prop_assert!(members.live_members().len() <= before + 1);
    }
}
