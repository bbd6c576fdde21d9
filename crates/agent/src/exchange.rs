//! Receiving and sending of packets on the fleet's UDP socket, and the periodic work.

use crate::replication::ReplicationMessages;
use crate::state::{AgentState, SECOND_US};
use crate::{clock, Agent};
use dewrun_budgets::message::{Envelope as BudgetEnvelope, Message};
use dewrun_budgets::ProcessId;
use dewrun_fleet::membership::{OutgoingMessage, Output};
use dewrun_fleet::packet::{Body, Packet, SealError, MAX_PACKET_BYTES};
use dewrun_fleet::process_id;
use dewrun_replication::gossip::message::Envelope;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{interval, MissedTickBehavior};
use tracing::warn;

#[cfg(test)]
mod tests;

/// Maximum number of packets that are read before the event loop serves requests again.
const MAX_PACKETS_PER_TURN: usize = 64;
/// Size of the receive buffer. It exceeds that of any valid packet, so that an oversized packet is
/// rejected instead of truncated to a valid length.
const RECEIVE_BUFFER_BYTES: usize = 2 * MAX_PACKET_BYTES;

/// Messages to be sent.
#[derive(Default)]
struct Outgoing {
    budgets: Vec<BudgetEnvelope>,
    membership: Vec<OutgoingMessage>,
    replication: ReplicationMessages,
}

impl Agent {
    /// Exchanges packets with the other processes. Never returns.
    pub async fn run(self: Rc<Agent>) {
        let mut tick = interval(self.tick_interval);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
        loop {
            tokio::select! {
                length = self.transport.receive(&mut buffer) => {
                    let mut next = length;
                    for _ in 0..MAX_PACKETS_PER_TURN {
                        let Some(length) = next else { break };
                        self.handle_packet(&buffer[..length]);
                        next = self.transport.try_receive(&mut buffer);
                    }
                }
                _ = tick.tick() => self.tick(),
            }
            self.apply_drains();
        }
    }

    /// Returns this process's leases to the grantor, announces its departure, and writes a pending
    /// snapshot.
    pub fn leave(&self) {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        let mut out = Outgoing::default();
        state.node.return_leases(now, &mut out.budgets);
        state.trace_changed_leases(now);
        out.membership = state.membership.leave(now);
        state
            .replication
            .write_snapshot(now, clock::wall_ms(), true);
        self.send(state, out);
    }

    /// Handles a received packet.
    fn handle_packet(&self, bytes: &[u8]) {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        let Packet { from, body } = match self.seal.open(bytes) {
            Ok(packet) => packet,
            Err(error) => return state.packet_counters.count(error),
        };
        if from == state.config.address {
            // The packet is from this process itself, or from another one with the same address.
            return;
        }
        state.learn_address(from);
        let mut out = Outgoing::default();
        match body {
            Body::Replication(message) => {
                let AgentState {
                    replication, rng, ..
                } = state;
                replication.handle_message(now, from, message, rng, &mut out.replication);
            }
            Body::Membership(message) => {
                let Output { messages, events } = state.membership.on_message(now, from, message);
                out.membership = messages;
                state.apply_membership_events(events);
            }
            Body::Budgets(messages) => {
                for message in messages {
                    state
                        .node
                        .receive(now, process_id(from), message, &mut out.budgets);
                }
            }
        }
        state.trace_changed_leases(now);
        self.send(state, out);
    }

    /// Performs the periodic work.
    fn tick(&self) {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        if now.saturating_sub(state.ticked_at) > SECOND_US {
            state.handle_pause(now);
        }
        state.ticked_at = now;
        let mut out = Outgoing::default();
        let AgentState {
            replication, rng, ..
        } = state;
        replication.tick(now, clock::wall_ms(), rng, &mut out.replication);
        state.node.tick(now, &mut state.rng, &mut out.budgets);
        let Output { messages, events } = state.membership.tick(now);
        out.membership = messages;
        state.apply_membership_events(events);
        state.log_leadership(now);
        state.run_every_second(now);
        state.trace_changed_leases(now);
        self.send(state, out);
    }

    /// Sends messages. Budget messages to the same process share packets.
    fn send(&self, state: &AgentState, out: Outgoing) {
        let me = state.config.address;
        let mut by_process: BTreeMap<ProcessId, Vec<Message>> = BTreeMap::new();
        for BudgetEnvelope { to, message } in out.budgets {
            by_process.entry(to).or_default().push(message);
        }
        for (to, messages) in by_process {
            let Some(address) = state.addresses.get(&to) else {
                continue;
            };
            let packed = self.seal.pack(me, &messages);
            for bytes in &packed.packets {
                self.send_bytes(state, *address, bytes);
            }
            for error in packed.errors {
                log_unsent(*address, error);
            }
        }
        for OutgoingMessage { to, message } in out.membership {
            self.send_body(state, to, Body::Membership(message));
        }
        self.send_replication(state, out.replication);
    }

    /// Sends messages that replicate state.
    pub(crate) fn send_replication(&self, state: &AgentState, out: ReplicationMessages) {
        for Envelope { to, message } in out {
            self.send_body(state, to, Body::Replication(message));
        }
    }

    fn send_body(&self, state: &AgentState, to: SocketAddr, body: Body) {
        let packet = Packet {
            from: state.config.address,
            body,
        };
        match self.seal.seal(&packet) {
            Ok(bytes) => self.send_bytes(state, to, &bytes),
            Err(error) => log_unsent(to, error),
        }
    }

    fn send_bytes(&self, state: &AgentState, to: SocketAddr, bytes: &[u8]) {
        self.transport.send(state.route(to), bytes);
    }
}

/// Logs a message that cannot be encoded, because its receiver will not get it.
fn log_unsent(to: SocketAddr, error: SealError) {
    warn!("fleet: cannot send a message to {to}: {error}");
}
