//! Tests of the selection of the peer from which a starting process catches up.

use super::CatchUp;
use crate::gossip::message::{Envelope, Message};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

const LOCAL: u8 = 0;
const PEERS: [u8; 4] = [LOCAL, 1, 2, 3];

/// Returns the peer from which the process catches up next_step, and the peers that it probes.
fn next_step(catch_up: &mut CatchUp<u8>) -> (Option<u8>, Vec<u8>) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(1);
    let mut out = Vec::new();
    let peer = catch_up.choose_peer(&LOCAL, &PEERS, &mut rng, &mut out);
    let probed = out.into_iter().map(|Envelope { to, message }| {
        assert_eq!(message, Message::CatchUpProbe);
        to
    });
    (peer, probed.collect())
}

#[test]
fn peers_are_probed_until_one_that_has_caught_up_answers() {
    let mut catch_up = CatchUp::start();
    assert_eq!(next_step(&mut catch_up), (None, vec![1, 2, 3]));
    assert!(!catch_up.record_reply(1, true, &PEERS));
    assert_eq!(next_step(&mut catch_up), (None, vec![2, 3]));
    assert!(catch_up.record_reply(3, false, &PEERS));
    assert_eq!(next_step(&mut catch_up), (Some(3), vec![]));
    assert!(!catch_up.is_done());
}

#[test]
fn a_process_is_caught_up_when_all_peers_are_starting_too() {
    let mut catch_up = CatchUp::start();
    for peer in [1, 2, 3] {
        assert_eq!(next_step(&mut catch_up).0, None);
        assert!(!catch_up.is_done());
        assert!(!catch_up.record_reply(peer, true, &PEERS));
    }
    assert_eq!(next_step(&mut catch_up), (None, vec![]));
    assert!(catch_up.is_done());
}

#[test]
fn a_reply_of_an_unknown_process_is_ignored() {
    let mut catch_up = CatchUp::start();
    assert!(!catch_up.record_reply(9, false, &PEERS));
    assert_eq!(next_step(&mut catch_up), (None, vec![1, 2, 3]));
}
