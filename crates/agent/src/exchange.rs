//! Packets: how they come in and go out, and what is due when none comes.

use crate::replica::ReplicaPackets;
use crate::state::{State, SECOND};
use crate::{clock, Agent};
use dewrun_budgets::message::{Envelope as BudgetEnvelope, Message};
use dewrun_budgets::ProcessId;
use dewrun_fleet::membership::{OutgoingMessage, Output};
use dewrun_fleet::packet::{Body, Packet, MAX_PACKET_BYTES};
use dewrun_fleet::process_id;
use dewrun_replication::gossip::message::Envelope;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{interval, MissedTickBehavior};

/// Packets that are read before callers get their turn again.
const AT_ONCE: usize = 64;
/// Room for a packet that is larger than any that is taken, so that it shows.
const RECEIVE_BUFFER: usize = 2 * MAX_PACKET_BYTES;

/// What is to be sent.
#[derive(Default)]
struct Outgoing {
    budgets: Vec<BudgetEnvelope>,
    members: Vec<OutgoingMessage>,
    replica: ReplicaPackets,
}

impl Agent {
    /// Exchanges packets with the others for as long as the process lives.
    pub async fn run(self: Rc<Agent>) {
        let mut tick = interval(self.tick_interval);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = vec![0; RECEIVE_BUFFER];
        loop {
            tokio::select! {
                length = self.transport.receive(&mut buffer) => {
                    let mut next = length;
                    for _ in 0..AT_ONCE {
                        let Some(length) = next else { break };
                        self.take(&buffer[..length]);
                        next = self.transport.try_receive(&mut buffer);
                    }
                }
                _ = tick.tick() => self.tick(),
            }
            self.apply_holds();
        }
    }

    /// Gives back what it holds, and says that it leaves.
    pub fn leave(&self) {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        let mut out = Outgoing::default();
        state.node.return_leases(now, &mut out.budgets);
        state.trace_leases(now);
        out.members = state.members.leave(now);
        state.replica.write_snapshot(now, clock::wall_ms(), true);
        self.send(state, out);
    }

    /// Takes a packet in.
    fn take(&self, bytes: &[u8]) {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        let Packet { from, body } = match self.seal.open(bytes) {
            Ok(packet) => packet,
            Err(why) => return state.rejected.count(why),
        };
        if from == state.config.address {
            // Its own, that came back, or a second process that was given this address.
            return;
        }
        state.learn_address(from);
        let mut out = Outgoing::default();
        match body {
            Body::Replica(message) => {
                let State { replica, rng, .. } = state;
                replica.take(now, from, message, rng, &mut out.replica);
            }
            Body::Membership(message) => {
                let Output { messages, events } = state.members.on_message(now, from, message);
                out.members = messages;
                state.apply_news(events);
            }
            Body::Budgets(messages) => {
                for message in messages {
                    state
                        .node
                        .receive(now, process_id(from), message, &mut out.budgets);
                }
            }
        }
        state.trace_leases(now);
        self.send(state, out);
    }

    /// Does what is due.
    fn tick(&self) {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        if now.saturating_sub(state.ticked_at) > SECOND {
            state.woke_up(now);
        }
        state.ticked_at = now;
        let mut out = Outgoing::default();
        let State { replica, rng, .. } = state;
        replica.tick(now, clock::wall_ms(), rng, &mut out.replica);
        state.node.tick(now, &mut state.rng, &mut out.budgets);
        let Output { messages, events } = state.members.tick(now);
        out.members = messages;
        state.apply_news(events);
        state.log_changes(now);
        state.trace_leases(now);
        self.send(state, out);
    }

    /// Sends what there is, the messages of budgets for one process together.
    fn send(&self, state: &State, out: Outgoing) {
        let me = state.config.address;
        let mut by_process: BTreeMap<ProcessId, Vec<Message>> = BTreeMap::new();
        for BudgetEnvelope { to, message } in out.budgets {
            by_process.entry(to).or_default().push(message);
        }
        for (to, messages) in by_process {
            let Some(address) = state.addresses.get(&to) else {
                continue;
            };
            for bytes in self.seal.pack(me, &messages) {
                self.send_bytes(state, *address, &bytes);
            }
        }
        for OutgoingMessage { to, message } in out.members {
            self.send_body(state, to, Body::Membership(message));
        }
        self.send_replica(state, out.replica);
    }

    /// Sends messages of the replicated state.
    pub(crate) fn send_replica(&self, state: &State, out: ReplicaPackets) {
        for Envelope { to, message } in out {
            self.send_body(state, to, Body::Replica(message));
        }
    }

    fn send_body(&self, state: &State, to: SocketAddr, body: Body) {
        let packet = Packet {
            from: state.config.address,
            body,
        };
        if let Some(bytes) = self.seal.seal(&packet) {
            self.send_bytes(state, to, &bytes);
        }
    }

    fn send_bytes(&self, state: &State, to: SocketAddr, bytes: &[u8]) {
        self.transport.send(state.route(to), bytes);
    }
}
