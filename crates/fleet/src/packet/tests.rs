//! Tests of sealing and opening packets.

use super::*;
use dewrun_budgets::message::VoteRequest;
use dewrun_budgets::{Epoch, Incarnation, ProcessId};
use proptest::prelude::*;

fn packet(n: usize) -> Packet {
    let epoch = Epoch {
        number: 1 << 40,
        process: ProcessId(u64::MAX),
        incarnation: Incarnation(u64::MAX),
    };
    let vote_request = Message::VoteRequest(VoteRequest {
        epoch,
        sent_at: u64::MAX,
    });
    Packet {
        from: "127.0.0.1:7100".parse().expect("an address"),
        body: Body::Budgets(vec![vote_request; n]),
    }
}

#[test]
fn a_packet_of_another_fleet_or_secret_is_rejected() {
    let own = Seal::new("prairie", b"s");
    let bytes = own.seal(&packet(1)).expect("it fits");
    assert_eq!(own.open(&bytes), Ok(packet(1)));
    for (fleet, secret) in [
        ("prairie", &b""[..]),
        ("prairi", b"es"),
        ("prairie", b"t"),
        ("", b"prairies"),
    ] {
        assert_eq!(
            Seal::new(fleet, secret).open(&bytes),
            Err(OpenError::WrongHash),
            "{fleet:?} {secret:?}"
        );
    }
    assert_eq!(own.open(b"DWF2 and more"), Err(OpenError::NotAPacket));
    assert_eq!(own.open(b"DWF3"), Err(OpenError::NotAPacket));
    assert_eq!(own.open(&[b'D'; 70_000]), Err(OpenError::NotAPacket));
}

#[test]
fn a_proof_is_bound_to_kind_nonce_and_text() {
    let seal = Seal::new("f", b"s");
    let proof = seal.proof("order", "12", b"drain a");
    assert_eq!(proof, Seal::new("f", b"s").proof("order", "12", b"drain a"));
    for other in [
        seal.proof("learned", "12", b"drain a"),
        seal.proof("order", "13", b"drain a"),
        seal.proof("order", "12", b"drain b"),
        Seal::new("f", b"t").proof("order", "12", b"drain a"),
        Seal::new("g", b"s").proof("order", "12", b"drain a"),
    ] {
        assert_ne!(proof, other);
    }
}

#[test]
fn messages_are_split_into_packets_within_the_size_limit() {
    let seal = Seal::new("f", b"");
    let Packet {
        from,
        body: Body::Budgets(messages),
    } = packet(200)
    else {
        panic!("budgets")
    };
    let PackedMessages { packets, errors } = seal.pack(from, &messages);
    assert_eq!(errors, []);
    assert!(packets.len() > 1 && packets.iter().all(|bytes| bytes.len() <= MAX_PACKET_BYTES));
    let count = |bytes: &Vec<u8>| match seal.open(bytes).expect("a packet").body {
        Body::Budgets(messages) => messages.len(),
        _ => 0,
    };
    assert_eq!(packets.iter().map(count).sum::<usize>(), 200);
}

proptest! {
    #[test]
    fn unsealed_bytes_are_rejected(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let seal = Seal::new("f", b"s");
        prop_assert!(seal.open(&bytes).is_err());
        let mut with_magic = MAGIC.to_vec();
        with_magic.extend(&bytes);
        prop_assert!(seal.open(&with_magic).is_err());
    }

    #[test]
    fn a_packet_with_any_bit_flipped_is_rejected(at in 0usize..60, bit in 0u8..8) {
        let seal = Seal::new("f", b"s");
        let mut bytes = seal.seal(&packet(1)).expect("it fits");
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(seal.open(&bytes).is_err());
    }

    /// A sender who knows the secret can seal arbitrary bytes. Opening them must fail cleanly,
    /// without a panic or excessive memory use.
    #[test]
    fn hostile_bytes_with_a_valid_hash_yield_an_error_or_a_packet(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let seal = Seal::new("f", b"s");
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&blake3::keyed_hash(&seal.key, &body).as_bytes()[..HASH_BYTES]);
        bytes.extend_from_slice(&body);
        match seal.open(&bytes) {
            Ok(packet) => prop_assert!(seal.seal(&packet).is_ok()),
            Err(error) => prop_assert_eq!(error, OpenError::OtherVersion),
        }
    }
}
