//! Tests of invalid messages and of catching up with many expired origins.

use super::message::{Message, Received, Versions};
use super::Gossip;
use crate::entry::Delta;
use crate::orders::{place_order, DesiredState};
use crate::test_fleet::{order, store};
use crate::version_vector::{Origin, OriginRange};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

#[test]
fn versions_of_a_reversed_range_are_ignored() {
    let mut store = store(1);
    place_order(&mut store, 0, order("shop/a", DesiredState::Drain));
    let mut gossip = Gossip::new(0, 1);
    let message = Message::Versions(Versions {
        range: OriginRange {
            first: Origin(5),
            last: Origin(2),
        },
        versions: Vec::new(),
        is_reply_requested: true,
    });
    let received = Received {
        from: 2,
        message,
        peers: &[1, 2],
    };
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut out = Vec::new();
    gossip.on_message(1, &mut store, received, &mut rng, &mut out);
    assert_eq!(out, []);
}

/// Guards against a process that never catches up because packets with deltas of many expired
/// origins are too large and are dropped.
#[test]
fn a_process_that_starts_after_three_hundred_restarts_catches_up() {
    const RESTARTS: u64 = 300;
    /// The default of `catch_up` in an operator's file.
    const CATCH_UP_TIMEOUT_US: u64 = 2_000_000;
    const STEP_US: u64 = 10_000;
    /// A packet has 1,400 bytes, including its header and the sender's address. Larger ones are
    /// dropped.
    const MAX_MESSAGE_BYTES: usize = 1_350;
    let (mut stores, peers) = ([store(1), store(2)], [0, 1]);
    for restart in 0..RESTARTS {
        let expired = Delta {
            origin: Origin(u64::MAX - restart),
            after: 0,
            up_to: 1_000_000,
            entries: Vec::new(),
        };
        stores[0].merge(0, expired);
    }
    let mut gossips = [Gossip::new(0, 0), Gossip::new(0, 1)];
    gossips[0].abandon_catch_up();
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut arriving: Vec<(usize, Message)> = Vec::new();
    for now in (0..CATCH_UP_TIMEOUT_US).step_by(STEP_US as usize) {
        let mut sent = Vec::new();
        for (from, message) in arriving.drain(..) {
            let to = 1 - from;
            let received = Received {
                from,
                message,
                peers: &peers,
            };
            let mut out = Vec::new();
            gossips[to].on_message(now, &mut stores[to], received, &mut rng, &mut out);
            sent.extend(out.into_iter().map(|envelope| (to, envelope.message)));
        }
        // The other process opens no round with the starting one, as in a large fleet with many
        // peers to choose from.
        let mut out = Vec::new();
        gossips[1].on_tick(now, &stores[1], &peers, &mut rng, &mut out);
        let others = out.into_iter().filter(|envelope| envelope.to == 0);
        sent.extend(others.map(|envelope| (1, envelope.message)));
        arriving = sent;
        arriving.retain(|(_, message)| {
            postcard::to_stdvec(message).is_ok_and(|bytes| bytes.len() <= MAX_MESSAGE_BYTES)
        });
    }
    assert!(gossips[1].is_caught_up());
    assert_eq!(stores[1].version_vector(), stores[0].version_vector());
}
