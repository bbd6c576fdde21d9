//! The server side of the fleet protocol over TCP, and the requests of a starting process to its
//! peers. [`crate::protocol`] defines the messages.

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

/// Maximum number of concurrent connections; further ones are closed.
const MAX_CONNECTIONS: usize = 8;
/// The shortest time between two answers with learned state, in microseconds, because each answer
/// takes processor time.
const MIN_LEARNED_STATE_INTERVAL_US: u64 = 20_000;
/// Number of processes from which learned state is requested.
const LEARNED_STATE_PEER_COUNT: usize = 3;
/// The delay after a failure to accept a connection.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum length of the operator's name in an order, in bytes.
const MAX_OPERATOR_NAME_BYTES: usize = 64;
/// Maximum length of the member's name in an order, in bytes.
const MAX_TARGET_BYTES: usize = 400;

impl Agent {
    /// Returns this process's report on the replicated state.
    pub fn replication_status(&self) -> ReplicationStatus {
        let state = self.state.borrow();
        let store = &state.replication.store;
        let status = |entry: &orders::OrderEntry| OrderStatus {
            desired_state: entry.order.desired_state,
            by: entry.order.operator.clone(),
            at_ms: entry.order.given_at_ms,
            dot: format!("{:x}:{}", entry.dot.origin.0, entry.dot.version),
        };
        let orders = orders::orders_in_force(store);
        ReplicationStatus {
            version: 1,
            name: state.membership.local_member().name.clone(),
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

    /// Serves the fleet protocol. Never returns.
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

    /// Returns the answer to a request line; `None` closes the connection. `nonce` is the nonce of
    /// the last challenge on this connection.
    fn answer(&self, line: &str, nonce: &mut String) -> Option<String> {
        match Request::parse(line)? {
            Request::Status => Some(to_json(&self.status())),
            Request::Summary => Some(to_json(&self.summary())),
            Request::ReplicationStatus => Some(to_json(&self.replication_status())),
            Request::Challenge => Some(self.challenge(nonce)),
            Request::Order { proof, json } => {
                // A nonce is valid for one order.
                let nonce = std::mem::take(nonce);
                let error = self.handle_order(&nonce, proof, json).err();
                let error = error.map(|error| error.to_string());
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
            warn!("fleet: rejected an order without a valid proof of this fleet's secret");
            return Err(OrderError::NotProven);
        }
        let order: Order = serde_json::from_str(json)?;
        if order.by.len() > MAX_OPERATOR_NAME_BYTES || order.target.len() > MAX_TARGET_BYTES {
            return Err(OrderError::NameTooLong);
        }
        self.place_order(&order.target, order.desired_state, &order.by)
    }

    /// Returns the learned state of all pools as JSON, or `None` within
    /// [`MIN_LEARNED_STATE_INTERVAL_US`] of the last answer.
    fn learned_state(&self) -> Option<String> {
        let pools = {
            let state = &mut *self.state.borrow_mut();
            let now = clock::now();
            if now < state.learned_state_sent_at + MIN_LEARNED_STATE_INTERVAL_US {
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

    /// Restores the learned state of another process in each pool. Of the peers that answer within
    /// the timeout, the one that forwards to most members is used; a peer that reaches none of its
    /// members is ignored. A wrong snapshot does no lasting harm, because every member that a pool
    /// avoids is probed.
    pub async fn restore_from_peers(&self, timeout: Duration) {
        let end = Instant::now() + timeout;
        let requests: Vec<_> = self
            .sample_peers()
            .into_iter()
            .map(|peer| {
                let nonce = format!("{:032x}", self.state.borrow_mut().rng.random::<u128>());
                spawn_local(fetch_learned_state(peer, self.seal.clone(), nonce))
            })
            .collect();
        let mut best: BTreeMap<String, LearnedState> = BTreeMap::new();
        for mut request in requests {
            let Ok(Ok(Some(learned_states))) = timeout_at(end, &mut request).await else {
                request.abort();
                continue;
            };
            for learned in learned_states
                .into_iter()
                .filter(|learned| learned.served_member_count() > 0)
            {
                if best
                    .get(&learned.pool)
                    .is_none_or(|best| best.served_member_count() < learned.served_member_count())
                {
                    best.insert(learned.pool.clone(), learned);
                }
            }
        }
        let pools = self.state.borrow().replication.pools();
        for (name, pool) in pools {
            let is_restored = best
                .get(&name)
                .is_some_and(|learned| pool.restore_learned_state(&learned.snapshot));
            if is_restored {
                info!("fleet: pool {name} restored the learned state of another process");
            }
        }
    }

    /// Returns the routes to [`LEARNED_STATE_PEER_COUNT`] other processes, drawn at random.
    fn sample_peers(&self) -> Vec<SocketAddr> {
        let mut routes = self.peer_routes();
        let rng = &mut self.state.borrow_mut().rng;
        let count = LEARNED_STATE_PEER_COUNT.min(routes.len());
        for at in 0..count {
            let other = rng.random_range(at..routes.len());
            routes.swap(at, other);
        }
        routes.truncate(count);
        routes
    }
}

/// Requests the learned state of another process. Returns `None` if it does not answer or its
/// answer has no valid proof.
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
