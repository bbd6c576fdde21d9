//! What one process reports of its fleet to an operator, as JSON or as a table.

use crate::state::AgentState;
use crate::transport::Traffic;
use crate::{clock, Agent};
use dewrun_budgets::Timestamp;
use dewrun_fleet::membership::{KnownMember, Liveness};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What one process knows of its fleet.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// The form of this text.
    pub version: u32,
    /// The fleet's name.
    pub fleet: String,
    /// The process that was asked.
    pub address: SocketAddr,
    /// Its name.
    pub name: String,
    /// Whether another process has its name, so that it spends nothing of any budget.
    #[serde(rename = "held")]
    pub is_suspended: bool,
    /// The grantor, as far as the process knows, and its term.
    pub grantor: Option<Grantor>,
    /// All members that it knows of, itself first.
    pub members: Vec<MemberEntry>,
    /// The budgets of its file.
    pub budgets: Vec<BudgetStatus>,
    /// Packets that were rejected.
    pub rejected: u64,
    /// Packets received and sent.
    #[serde(default)]
    pub traffic: Traffic,
}

/// What one process knows of its fleet, in short: for those that ask often.
#[derive(Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The form of this text.
    pub version: u32,
    /// The process that was asked.
    pub address: SocketAddr,
    /// The grantor, as far as the process knows, and its term.
    pub grantor: Option<Grantor>,
    /// Members that are up, itself included.
    pub up: usize,
    /// Members that do not answer, and have not said otherwise yet.
    pub suspected: usize,
    /// Packets received and sent.
    pub traffic: Traffic,
}

/// The leader that grants leases of the budgets.
#[derive(Debug, Serialize, Deserialize)]
pub struct Grantor {
    /// Its address; none if only its process id is known.
    pub address: Option<SocketAddr>,
    /// The number of its term.
    pub term: u64,
}

/// A member.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberEntry {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its site.
    pub site: String,
    /// Whether it is alive.
    #[serde(rename = "standing")]
    pub liveness: Liveness,
    /// When it started, in Unix milliseconds.
    pub started_ms: u64,
    /// Whether it votes.
    pub votes: bool,
}

/// A budget, as the process that was asked knows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// Its name.
    pub name: String,
    /// Of which member, for a budget that each member has for itself; else empty.
    #[serde(default)]
    pub member: String,
    /// The total that all processes share.
    #[serde(rename = "whole")]
    pub total: f64,
    /// What this process may spend now.
    pub share: f64,
    /// When the lease on the share ends, in milliseconds from now.
    pub ends_in_ms: u64,
    /// The demand at this process.
    pub demand: f64,
    /// Requests admitted since the start.
    pub spent: u64,
    /// Requests rejected since the start.
    pub refused: u64,
    /// At the grantor: the sum of the shares that it has granted.
    pub granted: Option<f64>,
    /// At the grantor: how many processes hold a share.
    pub holders: Option<usize>,
}

impl AgentState {
    /// The grantor, as far as it is known.
    fn grantor(&mut self, now: Timestamp) -> Option<Grantor> {
        let epoch = self.node.leadership_epoch(now).or(self.node.grantor(now))?;
        Some(Grantor {
            address: self.addresses.get(&epoch.process).copied(),
            term: epoch.number,
        })
    }
}

impl Agent {
    /// What this process knows of its fleet.
    pub fn status(&self) -> Status {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        let grantor = state.grantor(now);
        let votes = |address| state.config.members.contains(&address);
        let members =
            state
                .members
                .known_members()
                .into_iter()
                .map(|KnownMember { member, liveness }| MemberEntry {
                    votes: votes(member.address),
                    name: member.name,
                    address: member.address,
                    site: member.site,
                    liveness,
                    started_ms: member.started_ms,
                });
        let budgets = state
            .node
            .report(now)
            .into_iter()
            .map(|shown| BudgetStatus {
                name: shown.name,
                member: shown.member,
                total: shown.total,
                share: shown.share,
                ends_in_ms: shown.expires_in / 1_000,
                demand: shown.demand,
                spent: shown.spent,
                refused: shown.rejected,
                granted: shown.granted.map(|granted| granted.amount),
                holders: shown.granted.map(|granted| granted.holders),
            });
        Status {
            version: 1,
            fleet: state.config.name.clone(),
            address: state.config.address,
            name: state.members.local_member().name.clone(),
            is_suspended: state.node.is_suspended(),
            grantor,
            members: members.collect(),
            budgets: budgets.collect(),
            rejected: state.packet_counters.total(),
            traffic: self.transport.traffic(),
        }
    }

    /// What this process knows of its fleet, in short.
    pub fn summary(&self) -> Summary {
        let state = &mut *self.state.borrow_mut();
        let grantor = state.grantor(clock::now());
        let members = state.members.known_members();
        let count = |liveness| {
            members
                .iter()
                .filter(|known| known.liveness == liveness)
                .count()
        };
        Summary {
            version: 1,
            address: state.config.address,
            grantor,
            up: count(Liveness::Alive),
            suspected: count(Liveness::Suspected),
            traffic: self.transport.traffic(),
        }
    }
}

/// A status as a table for people.
pub fn table(status: &Status) -> String {
    let mut text = format!(
        "fleet {}, as {} at {} knows it",
        status.fleet, status.name, status.address
    );
    if status.is_suspended {
        text += " (held: another process has its name)";
    }
    let divides = status
        .grantor
        .as_ref()
        .and_then(|grantor| Some((grantor.address?, grantor.term)));
    text += &match divides {
        Some((address, term)) => format!("\nbudgets are divided by {address}, term {term}\n\n"),
        None => "\nnobody is known that divides the budgets\n\n".into(),
    };
    text += &format!(
        "{:<20} {:<22} {:<12} {:<10} votes\n",
        "member", "address", "site", "standing"
    );
    for member in &status.members {
        let standing = member.liveness.to_string();
        let votes = if member.votes { "yes" } else { "" };
        let address = member.address.to_string();
        text += &format!(
            "{:<20} {address:<22} {:<12} {standing:<10} {votes}\n",
            member.name, member.site
        );
    }
    if !status.budgets.is_empty() {
        text += &format!(
            "\n{:<20} {:>10} {:>10} {:>9} {:>10} {:>10} {:>10} {:>10}\n",
            "budget", "whole", "share", "ends in", "asked", "spent", "refused", "granted"
        );
    }
    for share in &status.budgets {
        let at = if share.member.is_empty() { "" } else { " at " };
        let name = format!("{}{at}{}", share.name, share.member);
        let granted = match (share.granted, share.holders) {
            (Some(granted), Some(holders)) => format!("{granted:.1} ({holders})"),
            _ => String::new(),
        };
        text += &format!(
            "{:<20} {:>10.1} {:>10.1} {:>6} ms {:>10.1} {:>10} {:>10} {granted:>10}\n",
            name,
            share.total,
            share.share,
            share.ends_in_ms,
            share.demand,
            share.spent,
            share.refused
        );
    }
    text
}
