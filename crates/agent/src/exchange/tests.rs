//! Packets with changed contents and a right hash, as anyone can send them to a fleet without a
//! secret.

use crate::agent::{Agent, Options};
use dewrun_config::Installation;
use dewrun_fleet::packet::Seal;
use dewrun_test_support::{free_address, unhex, Mutator};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

const SEED: u64 = 20_261_203;
const DEFAULT_PACKETS: usize = 40_000;
/// Set to play more packets by hand.
const PACKETS_VARIABLE: &str = "DEWRUN_MUTATED_PACKETS";
/// Packets between two ticks.
const PACKETS_PER_TICK: usize = 50;
/// Before the body: the protocol's name and the hash.
const HEADER_BYTES: usize = 20;
const FLEET: &str = "prairie";

fn golden_packets() -> Vec<Vec<u8>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fleet/tests/golden");
    let files = ["budgets.txt", "membership.txt", "replication.txt"];
    let read = |name: &str| std::fs::read_to_string(folder.join(name)).expect("a golden file");
    let texts: Vec<String> = files.into_iter().map(read).collect();
    let lines = texts.iter().flat_map(|text| text.lines());
    let digits = lines.map(|line| line.split_once(' ').expect("a name and digits").1);
    digits.map(unhex).collect()
}

/// An agent of the example's fleet, which has no secret; the other members never answer.
async fn agent(address: SocketAddr) -> Rc<Agent> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example-fleet.toml");
    let text = std::fs::read_to_string(file).expect("the example");
    let text = text.replace("127.0.0.1:7100", &address.to_string());
    let config = Installation::parse(&text).expect("an installation");
    let agent = Agent::start(&config, Path::new("."), Options::default()).await;
    agent.expect("it starts").expect("it has a fleet")
}

/// Guards against a packet that ends the agent's task, or makes the process hold without bound.
#[test]
fn mutated_packets_with_a_right_hash_do_no_harm() {
    let packets = std::env::var(PACKETS_VARIABLE).ok();
    let packets = packets.map_or(DEFAULT_PACKETS, |text| text.parse().expect("a number"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let agent = agent(free_address()).await;
        let seal = Seal::new(FLEET, b"");
        let golden = golden_packets();
        let mut mutator = Mutator::new(SEED);
        for number in 0..packets {
            let mut body = mutator.choose(&golden)[HEADER_BYTES..].to_vec();
            mutator.mutate_bytes(&mut body);
            agent.handle_packet(&seal.seal_body(&body));
            if number % PACKETS_PER_TICK == 0 {
                agent.tick();
                agent.apply_drains();
            }
        }
        let state = agent.state.borrow();
        assert!(state.packet_counters.total() > 0, "some can't be decoded");
        assert!(
            (state.packet_counters.total() as usize) < packets,
            "some can be decoded"
        );
    });
}
