//! Messages that no process sends.

use super::message::{Message, Received, Versions};
use super::Gossip;
use crate::orders::{place_order, DesiredState};
use crate::test_fleet::{order, store};
use crate::version_vector::{Origin, OriginRange};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

#[test]
fn versions_of_a_range_that_ends_before_it_begins_are_ignored() {
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
