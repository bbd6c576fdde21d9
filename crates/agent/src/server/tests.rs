//! Fuzzing of request lines at the fleet's TCP port, and of answers of other processes.

use crate::agent::{Agent, Options};
use crate::client::{differences, orders_table};
use crate::protocol::{LearnedState, OrderResult, ReplicationStatus, ORDER_PROOF_CONTEXT};
use crate::status::{table, Status, Summary};
use dewrun_config::Installation;
use dewrun_fleet::packet::Seal;
use dewrun_test_support::{free_address, mutation_count, Mutator};
use std::path::Path;
use std::rc::Rc;

const SEED: u64 = 20_261_203;
const DEFAULT_LINES: usize = 5_000;
const DEFAULT_ANSWERS: usize = 5_000;
const FLEET: &str = "prairie";
const ORDERS: [&str; 2] = [
    r#"{"target":"shop/127.0.0.1:9001","wish":"drain","by":"ann"}"#,
    r#"{"target":"shop/127.0.0.1:9001","wish":"return","by":"bob"}"#,
];

/// Starts an agent of the example fleet, which has no secret and whose other members never answer.
async fn agent() -> Rc<Agent> {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example-fleet.toml");
    let text = std::fs::read_to_string(file).expect("the example file");
    let text = text.replace("127.0.0.1:7100", &free_address().to_string());
    let config = Installation::parse(&text).expect("an installation");
    let agent = Agent::start(&config, Path::new("."), Options::default()).await;
    agent
        .expect("the agent starts")
        .expect("the file has a fleet")
}

fn with_agent(test: impl FnOnce(Rc<Agent>)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async { test(agent().await) });
}

/// Guards against a line that makes the agent panic, whoever sends it.
#[test]
fn mutated_request_lines_do_not_crash_the_agent() {
    let mut lines: Vec<String> = ["status", "summary", "copy", "challenge", "learned 00ff"]
        .into_iter()
        .map(|request| format!("dewrun fleet {request}"))
        .collect();
    lines.extend(ORDERS.map(|order| format!("dewrun fleet order 0af1 {order}")));
    let lines: Vec<Vec<u8>> = lines.into_iter().map(String::into_bytes).collect();
    with_agent(|agent| {
        let (mut answered, mut closed) = (0, 0);
        let mut nonce = String::new();
        Mutator::new(SEED).play_texts(&lines, mutation_count(DEFAULT_LINES), |line| {
            let line = String::from_utf8_lossy(line);
            match agent.answer(line.trim_end(), &mut nonce) {
                Some(_) => answered += 1,
                None => closed += 1,
            }
        });
        assert!(answered > 0 && closed > 0, "{answered} {closed}");
    });
}

/// Guards against an order with a valid proof that makes the agent panic.
#[test]
fn mutated_orders_with_a_valid_proof_are_accepted_or_rejected_with_a_reason() {
    let orders = ORDERS.map(|order| order.as_bytes().to_vec());
    with_agent(|agent| {
        let seal = Seal::new(FLEET, b"");
        Mutator::new(SEED).play_texts(&orders, mutation_count(DEFAULT_LINES), |order| {
            let order = String::from_utf8_lossy(order).replace('\n', " ");
            let mut nonce = String::new();
            agent.answer("dewrun fleet challenge", &mut nonce);
            let proof = seal.proof(ORDER_PROOF_CONTEXT, &nonce, order.as_bytes());
            let line = format!("dewrun fleet order {proof} {order}");
            let answer = agent.answer(&line, &mut nonce).expect("an answer");
            let result: OrderResult = serde_json::from_str(&answer).expect("a result");
            assert!(result.error.is_none_or(|reason| !reason.is_empty()));
        });
    });
}

/// Guards against an answer of another process that makes the requesting program panic.
#[test]
fn mutated_answers_are_formatted_or_rejected() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let names = [
        "status.json",
        "status-suspended.json",
        "summary.json",
        "orders.json",
    ];
    let read = |name| std::fs::read(folder.join(name)).expect("a golden file");
    let mut answers: Vec<Vec<u8>> = names.into_iter().map(read).collect();
    let unmodified: ReplicationStatus = serde_json::from_slice(&answers[3]).expect("a status");
    let learned = br#"[{"pool":"shop","listed":3,"avoided":1,"text":"[]"}]"#;
    answers.push(learned.to_vec());
    let mut formatted_bytes = 0;
    let count = mutation_count(DEFAULT_ANSWERS);
    Mutator::new(SEED).play_texts(&answers, count, |answer| {
        if let Ok(status) = serde_json::from_slice::<Status>(answer) {
            formatted_bytes += table(&status).len();
        }
        if let Ok(other) = serde_json::from_slice::<ReplicationStatus>(answer) {
            formatted_bytes += orders_table(&other).len();
            let _ = differences(&unmodified, &other);
            let _ = differences(&other, &unmodified);
        }
        let _ = serde_json::from_slice::<Summary>(answer);
        if let Ok(learned_states) = serde_json::from_slice::<Vec<LearnedState>>(answer) {
            let _ = learned_states
                .iter()
                .map(LearnedState::served_member_count)
                .max();
        }
    });
    assert!(formatted_bytes > 0, "some answers can be formatted");
}
