//! Sealing and opening packets.

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
    let claim = Message::VoteRequest(VoteRequest {
        epoch,
        sent_at: u64::MAX,
    });
    Packet {
        from: "127.0.0.1:7100".parse().expect("an address"),
        body: Body::Budgets(vec![claim; n]),
    }
}

#[test]
fn a_packet_of_another_fleet_or_secret_is_told_apart() {
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
fn a_proof_is_good_for_one_kind_number_and_text() {
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
fn messages_go_in_packets_of_their_size() {
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
    fn no_bytes_are_taken_that_were_not_sealed(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let seal = Seal::new("f", b"s");
        prop_assert!(seal.open(&bytes).is_err());
        let mut begun = MAGIC.to_vec();
        begun.extend(&bytes);
        prop_assert!(seal.open(&begun).is_err());
    }

    #[test]
    fn a_change_of_any_bit_is_seen(at in 0usize..60, bit in 0u8..8) {
        let seal = Seal::new("f", b"s");
        let mut bytes = seal.seal(&packet(1)).expect("it fits");
        let at = at % bytes.len();
        bytes[at] ^= 1 << bit;
        prop_assert!(seal.open(&bytes).is_err());
    }

    /// Bytes with a right hash, as one who knows the secret could make: an error, never a panic,
    /// nor much memory.
    #[test]
    fn hostile_bytes_with_a_right_hash_are_an_error_or_a_packet(body in prop::collection::vec(any::<u8>(), 0..200)) {
        let seal = Seal::new("f", b"s");
        let mut bytes = MAGIC.to_vec();
        bytes.extend_from_slice(&blake3::keyed_hash(&seal.key, &body).as_bytes()[..HASH_BYTES]);
        bytes.extend_from_slice(&body);
        match seal.open(&bytes) {
            Ok(packet) => prop_assert!(seal.seal(&packet).is_ok()),
            Err(why) => prop_assert_eq!(why, OpenError::OtherVersion),
        }
    }
}
