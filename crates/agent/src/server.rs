//! Answers at the fleet's address, and what a process that starts asks others there.
//! [`crate::protocol`] has the form.

use crate::protocol::{
    json, Challenge, Learned, Order, OrderResult, OrderStatus, ReplicaStatus, ANSWER_MOST, LEARNED,
    ORDER, PATIENCE, PREFIX, QUESTION_MOST,
};
use crate::{clock, Agent};
use dewrun_fleet::packet::Seal;
use dewrun_replication::orders;
use rand::Rng;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at, Instant};
use tracing::{info, warn};

/// Those that are answered at once.
const AT_ONCE: usize = 8;
/// The shortest time between two answers of what was learned: each is some work.
const LEARNED_EVERY: u64 = 20_000;
/// Processes that are asked what they have learned.
const PEERS_ASKED: usize = 3;
/// The wait after a connection could not be accepted.
const ACCEPT_AGAIN: Duration = Duration::from_millis(50);
/// The longest name of who gives an order, and of its target.
const BY_MOST: usize = 64;
const TARGET_MOST: usize = 400;

impl Agent {
    /// What it holds of the replicated state.
    pub fn replica_status(&self) -> ReplicaStatus {
        let state = self.state.borrow();
        let store = &state.replica.store;
        let status = |given: &orders::OrderEntry| OrderStatus {
            wish: given.order.desired_state,
            by: given.order.operator.clone(),
            at_ms: given.order.given_at_ms,
            entry: format!("{:x}:{}", given.dot.origin.0, given.dot.version),
        };
        let orders = orders::orders_in_force(store);
        ReplicaStatus {
            version: 1,
            name: state.members.me().name.clone(),
            address: state.config.address,
            caught_up: state.replica.gossip.is_caught_up(),
            entries: store.len(),
            left_out: store.rejected_entries(),
            orders: orders
                .into_iter()
                .map(|(name, all)| (name, all.iter().map(status).collect()))
                .collect(),
            known: store
                .version_vector()
                .dots()
                .map(|dot| (format!("{:x}", dot.origin.0), dot.version))
                .collect(),
        }
    }

    /// Answers at the fleet's address.
    pub async fn answer(self: Rc<Agent>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(AT_ONCE));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_AGAIN).await;
                continue;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                continue;
            };
            let agent = self.clone();
            spawn_local(async move {
                let _permit = permit;
                agent.answer_on(stream).await;
            });
        }
    }

    async fn answer_on(&self, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read.take(QUESTION_MOST));
        let mut nonce = String::new();
        loop {
            let mut line = String::new();
            let Ok(Ok(1..)) = timeout(PATIENCE, read.read_line(&mut line)).await else {
                return;
            };
            let Some(mut answer) = self.answer_to(line.trim_end(), &mut nonce) else {
                return;
            };
            answer.push('\n');
            let Ok(Ok(())) = timeout(PATIENCE, write.write_all(answer.as_bytes())).await else {
                return;
            };
        }
    }

    fn answer_to(&self, question: &str, nonce: &mut String) -> Option<String> {
        let question = question.strip_prefix(PREFIX)?;
        let (what, rest) = question.split_once(' ').unwrap_or((question, ""));
        match what {
            "status" => Some(json(&self.status())),
            "summary" => Some(json(&self.summary())),
            "copy" => Some(json(&self.replica_status())),
            "challenge" => {
                let state = &mut *self.state.borrow_mut();
                *nonce = format!("{:032x}", state.rng.random::<u128>());
                Some(json(&Challenge {
                    nonce: nonce.clone(),
                    fleet: state.config.name.clone(),
                }))
            }
            "order" => {
                let (proof, text) = rest.split_once(' ')?;
                // It is good for one order.
                let nonce = std::mem::take(nonce);
                let error = self.take_order(&nonce, proof, text).err();
                Some(json(&OrderResult { error }))
            }
            "learned" => {
                let text = self.learned()?;
                Some(format!(
                    "{} {text}",
                    self.seal.proof(LEARNED, rest, text.as_bytes())
                ))
            }
            _ => None,
        }
    }

    fn take_order(&self, nonce: &str, proof: &str, text: &str) -> Result<(), String> {
        if nonce.is_empty() || self.seal.proof(ORDER, nonce, text.as_bytes()) != proof {
            warn!("fleet: an order was not taken: it does not carry this fleet's secret");
            return Err("it does not carry this fleet's secret; give --secret-file".into());
        }
        let order: Order = serde_json::from_str(text).map_err(|e| format!("not an order: {e}"))?;
        if order.by.len() > BY_MOST || order.target.len() > TARGET_MOST {
            return Err("a name in it is too long".into());
        }
        self.order(&order.target, order.wish, &order.by)
    }

    /// What is known of all pools, unless another was told a moment ago.
    fn learned(&self) -> Option<String> {
        let pools = {
            let state = &mut *self.state.borrow_mut();
            let now = clock::now();
            if now < state.learned_told_at + LEARNED_EVERY {
                return None;
            }
            state.learned_told_at = now;
            state.replica.pools()
        };
        let learned = pools.into_iter().map(|(name, pool)| {
            let counts = pool.member_counts();
            Learned {
                pool: name,
                listed: counts.listed,
                avoided: counts.avoided,
                text: pool.learned(),
            }
        });
        Some(json(&learned.collect::<Vec<_>>()))
    }

    /// Has each pool go on from what another process has learned of it: of three that are asked the
    /// one that sends to most members. It is a start, not an order: every member that a pool
    /// avoids gets trials. One that can reach none of its members has nothing to say.
    pub async fn learn_from_peers(&self, within: Duration) {
        let end = Instant::now() + within;
        let asked: Vec<_> = self
            .some_peers()
            .into_iter()
            .map(|peer| {
                let nonce = format!("{:032x}", self.state.borrow_mut().rng.random::<u128>());
                spawn_local(ask_learned(peer, self.seal.clone(), nonce))
            })
            .collect();
        let mut best: BTreeMap<String, Learned> = BTreeMap::new();
        for mut answer in asked {
            let Ok(Ok(Some(all))) = timeout_at(end, &mut answer).await else {
                answer.abort();
                continue;
            };
            for learned in all.into_iter().filter(|learned| learned.sends_to() > 0) {
                if best
                    .get(&learned.pool)
                    .is_none_or(|held| held.sends_to() < learned.sends_to())
                {
                    best.insert(learned.pool.clone(), learned);
                }
            }
        }
        let pools = self.state.borrow().replica.pools();
        for (name, pool) in pools {
            let taken = best
                .get(&name)
                .is_some_and(|learned| pool.resume(&learned.text));
            if taken {
                info!("fleet: pool {name} goes on from what another process has learned");
            }
        }
    }

    /// A few of the other processes, drawn by chance.
    fn some_peers(&self) -> Vec<SocketAddr> {
        let mut routes = self.peer_routes();
        let rng = &mut self.state.borrow_mut().rng;
        let most = PEERS_ASKED.min(routes.len());
        for at in 0..most {
            let other = rng.random_range(at..routes.len());
            routes.swap(at, other);
        }
        routes.truncate(most);
        routes
    }
}

/// Asks another process what it has learned; none if what it says is not proven.
async fn ask_learned(peer: SocketAddr, seal: Seal, nonce: String) -> Option<Vec<Learned>> {
    let mut stream = TcpStream::connect(peer).await.ok()?;
    stream
        .write_all(format!("{PREFIX}learned {nonce}\n").as_bytes())
        .await
        .ok()?;
    let mut line = String::new();
    BufReader::new(stream.take(ANSWER_MOST))
        .read_line(&mut line)
        .await
        .ok()?;
    let (proof, text) = line.trim_end().split_once(' ')?;
    let is_proven = seal.proof(LEARNED, &nonce, text.as_bytes()) == proof;
    is_proven.then(|| serde_json::from_str(text).ok()).flatten()
}
