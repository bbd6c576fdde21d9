//! Fuzzing of the agent with modified packets that have a valid hash, as any host can send them to
//! a fleet without a secret.

use crate::agent::{Agent, Options};
use dewrun_config::Installation;
use dewrun_fleet::packet::Seal;
use dewrun_test_support::{free_address, unhex, Mutator};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;

const SEED: u64 = 20_261_203;
const DEFAULT_PACKETS: usize = 40_000;
/// Environment variable that sets the number of packets, for longer manual runs.
const PACKETS_VARIABLE: &str = "DEWRUN_MUTATED_PACKETS";
/// Number of packets between two ticks.
const PACKETS_PER_TICK: usize = 50;
/// Size of the protocol name and the hash, which precede the body.
const HEADER_BYTES: usize = 20;
const FLEET: &str = "prairie";

fn golden_packets() -> Vec<Vec<u8>> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fleet/tests/golden");
    let files = ["budgets.txt", "membership.txt", "replication.txt"];
    let read = |name: &str| std::fs::read_to_string(folder.join(name)).expect("a golden file");
    let texts: Vec<String> = files.into_iter().map(read).collect();
    let lines = texts.iter().flat_map(|text| text.lines());
    let digits = lines.map(|line| line.split_once(' ').expect("a name and hex digits").1);
    digits.map(unhex).collect()
}

/// Starts an agent of the example fleet, which has no secret and whose other members never answer.
async fn agent(address: SocketAddr) -> Rc<Agent> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example-fleet.toml");
    let text = std::fs::read_to_string(file).expect("the example file");
    let text = text.replace("127.0.0.1:7100", &address.to_string());
    let config = Installation::parse(&text).expect("an installation");
    let agent = Agent::start(&config, Path::new("."), Options::default()).await;
    agent
        .expect("the agent starts")
        .expect("the file has a fleet")
}

/// Guards against a packet that makes the agent panic, hang or allocate memory without bound.
#[test]
fn mutated_packets_with_a_valid_hash_do_not_crash_the_agent() {
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
        assert!(
            state.packet_counters.total() > 0,
            "some packets cannot be decoded"
        );
        assert!(
            (state.packet_counters.total() as usize) < packets,
            "some packets can be decoded"
        );
    });
}
