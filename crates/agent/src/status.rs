//! A process's report on its fleet for an operator, as JSON or as a table.

use crate::state::AgentState;
use crate::transport::Traffic;
use crate::{clock, Agent};
use dewrun_budgets::Timestamp;
use dewrun_fleet::membership::{KnownMember, Liveness};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A process's report on its fleet.
#[derive(Debug, Serialize, Deserialize)]
pub struct Status {
    /// The version of this format.
    pub version: u32,
    /// The name of the fleet.
    pub fleet: String,
    /// The fleet address of the reporting process.
    pub address: SocketAddr,
    /// The name of the reporting process.
    pub name: String,
    /// Whether spending is suspended because another process has the same name.
    #[serde(rename = "held")]
    pub is_suspended: bool,
    /// The grantor that is known to the process.
    pub grantor: Option<Grantor>,
    /// All known members; the reporting process comes first.
    pub members: Vec<MemberEntry>,
    /// The budgets in the process's file.
    pub budgets: Vec<BudgetStatus>,
    /// The number of rejected packets.
    pub rejected: u64,
    /// Packets received and sent.
    #[serde(default)]
    pub traffic: Traffic,
}

/// A process's short report on its fleet, for programs that poll.
#[derive(Debug, Serialize, Deserialize)]
pub struct Summary {
    /// The version of this format.
    pub version: u32,
    /// The fleet address of the reporting process.
    pub address: SocketAddr,
    /// The grantor that is known to the process.
    pub grantor: Option<Grantor>,
    /// The number of live members, including the reporting process.
    pub up: usize,
    /// The number of suspected members.
    pub suspected: usize,
    /// Packets received and sent.
    pub traffic: Traffic,
}

/// The leader that grants leases of the budgets.
#[derive(Debug, Serialize, Deserialize)]
pub struct Grantor {
    /// The fleet address of the grantor; `None` if only its process id is known.
    pub address: Option<SocketAddr>,
    /// The number of the grantor's term.
    pub term: u64,
}

/// A member of the fleet.
#[derive(Debug, Serialize, Deserialize)]
pub struct MemberEntry {
    /// The name of the member.
    pub name: String,
    /// The fleet address of the member.
    pub address: SocketAddr,
    /// The site of the member.
    pub site: String,
    /// The liveness of the member, as the reporting process sees it.
    #[serde(rename = "standing")]
    pub liveness: Liveness,
    /// The start time of the member, in Unix milliseconds.
    pub started_ms: u64,
    /// Whether the member is a voter.
    pub votes: bool,
}

/// The state of a budget at the reporting process.
#[derive(Debug, Serialize, Deserialize)]
pub struct BudgetStatus {
    /// The name of the budget.
    pub name: String,
    /// The pool member, for a budget with a separate total for each member; empty otherwise.
    #[serde(default)]
    pub member: String,
    /// The total of the budget, which all processes share.
    #[serde(rename = "whole")]
    pub total: f64,
    /// The share that this process may spend now.
    pub share: f64,
    /// The remaining time of the lease on the share, in milliseconds.
    pub ends_in_ms: u64,
    /// The demand at this process.
    pub demand: f64,
    /// Requests admitted since the start.
    pub spent: u64,
    /// Requests rejected since the start.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// The sum of the granted shares, if the process is the grantor.
    pub granted: Option<f64>,
    /// The number of processes that hold a share, if the process is the grantor.
    pub holders: Option<usize>,
}

impl AgentState {
    /// Returns the known grantor.
    fn grantor(&mut self, now: Timestamp) -> Option<Grantor> {
        let epoch = self.node.leadership_epoch(now).or(self.node.grantor(now))?;
        Some(Grantor {
            address: self.addresses.get(&epoch.process).copied(),
            term: epoch.number,
        })
    }
}

impl Agent {
    /// Returns this process's report on its fleet.
    pub fn status(&self) -> Status {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        let grantor = state.grantor(now);
        let is_voter = |address| state.config.members.contains(&address);
        let members =
            state
                .membership
                .known_members()
                .into_iter()
                .map(|KnownMember { member, liveness }| MemberEntry {
                    votes: is_voter(member.address),
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
            .map(|report| BudgetStatus {
                name: report.name,
                member: report.member,
                total: report.total,
                share: report.share,
                ends_in_ms: report.expires_in / 1_000,
                demand: report.demand,
                spent: report.spent,
                rejected: report.rejected,
                granted: report.granted.map(|granted| granted.amount),
                holders: report.granted.map(|granted| granted.holders),
            });
        Status {
            version: 1,
            fleet: state.config.name.clone(),
            address: state.config.address,
            name: state.membership.local_member().name.clone(),
            is_suspended: state.node.is_suspended(),
            grantor,
            members: members.collect(),
            budgets: budgets.collect(),
            rejected: state.packet_counters.total(),
            traffic: self.transport.traffic(),
        }
    }

    /// Returns this process's short report on its fleet.
    pub fn summary(&self) -> Summary {
        let state = &mut *self.state.borrow_mut();
        let grantor = state.grantor(clock::now());
        let members = state.membership.known_members();
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

/// Formats a status as a table.
pub fn table(status: &Status) -> String {
    let mut text = format!(
        "fleet {}, as {} at {} knows it",
        status.fleet, status.name, status.address
    );
    if status.is_suspended {
        text += " (held: another process has its name)";
    }
    let grantor = status
        .grantor
        .as_ref()
        .and_then(|grantor| Some((grantor.address?, grantor.term)));
    text += &match grantor {
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
    for budget in &status.budgets {
        let at = if budget.member.is_empty() { "" } else { " at " };
        let name = format!("{}{at}{}", budget.name, budget.member);
        let granted = match (budget.granted, budget.holders) {
            (Some(granted), Some(holders)) => format!("{granted:.1} ({holders})"),
            _ => String::new(),
        };
        text += &format!(
            "{:<20} {:>10.1} {:>10.1} {:>6} ms {:>10.1} {:>10} {:>10} {granted:>10}\n",
            name,
            budget.total,
            budget.share,
            budget.ends_in_ms,
            budget.demand,
            budget.spent,
            budget.rejected
        );
    }
    text
}
