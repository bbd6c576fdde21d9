//! The server side of the fleet protocol over TCP, and the requests of a process that starts.
//! [`crate::protocol`] defines the messages.

use crate::error::OrderError;
use crate::protocol::{
    to_json, Challenge, LearnedState, Order, OrderResult, OrderStatus, ReplicationStatus, Request,
    IO_TIMEOUT, LEARNED_STATE_PROOF_CONTEXT, MAX_ANSWER_BYTES, MAX_REQUEST_BYTES,
    ORDER_PROOF_CONTEXT,
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

/// Connections that are served at once; further ones are closed.
const MAX_CONNECTIONS: usize = 8;
/// The shortest time between two answers with learned state, in microseconds, as each takes
/// processor time.
const LEARNED_STATE_INTERVAL_US: u64 = 20_000;
/// How many processes are asked for their learned state.
const LEARNED_STATE_PEERS: usize = 3;
/// The wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The longest name of who gives an order, in bytes.
const MAX_OPERATOR_NAME_BYTES: usize = 64;
/// The longest name of an order's member, in bytes.
const MAX_TARGET_BYTES: usize = 400;

impl Agent {
    /// What this process holds of the replicated state.
    pub fn replication_status(&self) -> ReplicationStatus {
        let state = self.state.borrow();
        let store = &state.replication.store;
        let status = |given: &orders::OrderEntry| OrderStatus {
            desired_state: given.order.desired_state,
            by: given.order.operator.clone(),
            at_ms: given.order.given_at_ms,
            dot: format!("{:x}:{}", given.dot.origin.0, given.dot.version),
        };
        let orders = orders::orders_in_force(store);
        ReplicationStatus {
            version: 1,
            name: state.members.local_member().name.clone(),
            address: state.config.address,
            caught_up: state.replication.gossip.is_caught_up(),
            entries: store.len(),
            rejected: store.rejected_entries(),
            orders: orders
                .into_iter()
                .map(|(name, all)| (name, all.iter().map(status).collect()))
                .collect(),
            version_vector: store
                .version_vector()
                .dots()
                .map(|dot| (format!("{:x}", dot.origin.0), dot.version))
                .collect(),
        }
    }

    /// Serves the fleet protocol for ever.
    pub async fn serve_requests(self: Rc<Agent>, listener: Rc<TcpListener>) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let Ok(permit) = permits.clone().try_acquire_owned() else {
                continue;
            };
            let agent = self.clone();
            spawn_local(async move {
                let _permit = permit;
                agent.serve_connection(stream).await;
            });
        }
    }

    async fn serve_connection(&self, stream: TcpStream) {
        let (read, mut write) = stream.into_split();
        let mut read = BufReader::new(read.take(MAX_REQUEST_BYTES));
        let mut nonce = String::new();
        loop {
            let mut line = String::new();
            let Ok(Ok(1..)) = timeout(IO_TIMEOUT, read.read_line(&mut line)).await else {
                return;
            };
            let Some(mut answer) = self.answer(line.trim_end(), &mut nonce) else {
                return;
            };
            answer.push('\n');
            let Ok(Ok(())) = timeout(IO_TIMEOUT, write.write_all(answer.as_bytes())).await else {
                return;
            };
        }
    }

    /// The answer to a request line; `None` closes the connection. `nonce` is that of the last
    /// challenge on this connection.
    fn answer(&self, line: &str, nonce: &mut String) -> Option<String> {
        match Request::parse(line)? {
            Request::Status => Some(to_json(&self.status())),
            Request::Summary => Some(to_json(&self.summary())),
            Request::ReplicationStatus => Some(to_json(&self.replication_status())),
            Request::Challenge => Some(self.challenge(nonce)),
            Request::Order { proof, json } => {
                // A nonce is good for one order.
                let nonce = std::mem::take(nonce);
                let error = self.handle_order(&nonce, proof, json).err();
                let error = error.map(|e| e.to_string());
                Some(to_json(&OrderResult { error }))
            }
            Request::LearnedState { nonce } => {
                let json = self.learned_state()?;
                let proof = self
                    .seal
                    .proof(LEARNED_STATE_PROOF_CONTEXT, nonce, json.as_bytes());
                Some(format!("{proof} {json}"))
            }
        }
    }

    fn challenge(&self, nonce: &mut String) -> String {
        let state = &mut *self.state.borrow_mut();
        *nonce = format!("{:032x}", state.rng.random::<u128>());
        to_json(&Challenge {
            nonce: nonce.clone(),
            fleet: state.config.name.clone(),
        })
    }

    fn handle_order(&self, nonce: &str, proof: &str, json: &str) -> Result<(), OrderError> {
        if nonce.is_empty() || self.seal.proof(ORDER_PROOF_CONTEXT, nonce, json.as_bytes()) != proof
        {
            warn!("fleet: an order was rejected: it has no proof made with this fleet's secret");
            return Err(OrderError::NotProven);
        }
        let order: Order = serde_json::from_str(json)?;
        if order.by.len() > MAX_OPERATOR_NAME_BYTES || order.target.len() > MAX_TARGET_BYTES {
            return Err(OrderError::NameTooLong);
        }
        self.place_order(&order.target, order.desired_state, &order.by)
    }

    /// The learned state of all pools as JSON; `None` if another process was answered a moment ago.
    fn learned_state(&self) -> Option<String> {
        let pools = {
            let state = &mut *self.state.borrow_mut();
            let now = clock::now();
            if now < state.learned_state_sent_at + LEARNED_STATE_INTERVAL_US {
                return None;
            }
            state.learned_state_sent_at = now;
            state.replication.pools()
        };
        let learned = pools.into_iter().map(|(name, pool)| {
            let counts = pool.member_counts();
            LearnedState {
                pool: name,
                listed: counts.listed,
                avoided: counts.avoided,
                snapshot: pool.learned_state(),
            }
        });
        Some(to_json(&learned.collect::<Vec<_>>()))
    }

    /// Lets each pool restore the learned state of another process: of the few that are asked, the
    /// one that forwards to most members. A wrong snapshot does no lasting harm, as every member
    /// that a pool avoids is probed. A process that reaches none of its members has no say.
    pub async fn restore_from_peers(&self, within: Duration) {
        let end = Instant::now() + within;
        let asked: Vec<_> = self
            .sample_peers()
            .into_iter()
            .map(|peer| {
                let nonce = format!("{:032x}", self.state.borrow_mut().rng.random::<u128>());
                spawn_local(fetch_learned_state(peer, self.seal.clone(), nonce))
            })
            .collect();
        let mut best: BTreeMap<String, LearnedState> = BTreeMap::new();
        for mut answer in asked {
            let Ok(Ok(Some(all))) = timeout_at(end, &mut answer).await else {
                answer.abort();
                continue;
            };
            for learned in all
                .into_iter()
                .filter(|learned| learned.served_member_count() > 0)
            {
                if best
                    .get(&learned.pool)
                    .is_none_or(|held| held.served_member_count() < learned.served_member_count())
                {
                    best.insert(learned.pool.clone(), learned);
                }
            }
        }
        let pools = self.state.borrow().replication.pools();
        for (name, pool) in pools {
            let taken = best
                .get(&name)
                .is_some_and(|learned| pool.restore_learned_state(&learned.snapshot));
            if taken {
                info!("fleet: pool {name} restored the learned state of another process");
            }
        }
    }

    /// A few of the other processes, drawn at random.
    fn sample_peers(&self) -> Vec<SocketAddr> {
        let mut routes = self.peer_routes();
        let rng = &mut self.state.borrow_mut().rng;
        let count = LEARNED_STATE_PEERS.min(routes.len());
        for at in 0..count {
            let other = rng.random_range(at..routes.len());
            routes.swap(at, other);
        }
        routes.truncate(count);
        routes
    }
}

/// Asks another process for its learned state; `None` if it does not answer, or without a valid
/// proof.
async fn fetch_learned_state(
    peer: SocketAddr,
    seal: Seal,
    nonce: String,
) -> Option<Vec<LearnedState>> {
    let mut stream = TcpStream::connect(peer).await.ok()?;
    stream
        .write_all(format!("{}\n", Request::LearnedState { nonce: &nonce }).as_bytes())
        .await
        .ok()?;
    let mut line = String::new();
    BufReader::new(stream.take(MAX_ANSWER_BYTES))
        .read_line(&mut line)
        .await
        .ok()?;
    let (proof, text) = line.trim_end().split_once(' ')?;
    let is_proven = seal.proof(LEARNED_STATE_PROOF_CONTEXT, &nonce, text.as_bytes()) == proof;
    is_proven.then(|| serde_json::from_str(text).ok()).flatten()
}

#[cfg(test)]
mod tests;
