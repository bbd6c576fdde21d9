//! What an operator sees of a fleet: asked of one process over TCP, a line of JSON back.

use crate::state::State;
use crate::transport::Traffic;
use crate::{clock, Agent};
use dewrun_budgets::Micros;
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
    /// Whether another process has its name, so that it spends nothing.
    pub held: bool,
    /// The process that divides the budgets, as far as it is known, and its term.
    pub grantor: Option<Grantor>,
    /// All members that it knows of, itself first.
    pub members: Vec<MemberEntry>,
    /// The budgets of its file.
    pub budgets: Vec<BudgetStatus>,
    /// Packets that were not taken.
    pub rejected: u64,
    /// Packets that came and went.
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
    /// The process that divides the budgets, as far as it is known, and its term.
    pub grantor: Option<Grantor>,
    /// Members that are up, itself included.
    pub up: usize,
    /// Members that do not answer, and have not said otherwise yet.
    pub suspected: usize,
    /// Packets that came and went.
    pub traffic: Traffic,
}

/// See [`Status::grantor`].
#[derive(Debug, Serialize, Deserialize)]
pub struct Grantor {
    /// Where it is; none if only its number is known.
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
    /// How it is doing.
    pub standing: Liveness,
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
    /// Of which member, where each has a whole of its own; else empty.
    #[serde(default)]
    pub member: String,
    /// All of it.
    pub whole: f64,
    /// What this process may spend now.
    pub share: f64,
    /// For how much longer, in milliseconds, if it is not asked anew.
    pub ends_in_ms: u64,
    /// What is asked for here.
    pub demand: f64,
    /// Requests let in since the start.
    pub spent: u64,
    /// Requests refused since the start.
    pub refused: u64,
    /// At the process that divides it: what it has given in all.
    pub granted: Option<f64>,
    /// And to how many.
    pub holders: Option<usize>,
}

impl State {
    /// The grantor, as far as it is known.
    fn grantor(&mut self, now: Micros) -> Option<Grantor> {
        let epoch = self.node.leadership_epoch(now).or(self.node.grantor(now))?;
        Some(Grantor {
            address: self.addresses.get(&epoch.process).copied(),
            term: epoch.number,
        })
    }
}

impl Agent {
    /// What it knows.
    pub fn status(&self) -> Status {
        let state = &mut *self.state.borrow_mut();
        let now = clock::now();
        let grantor = state.grantor(now);
        let votes = |address| state.config.members.contains(&address);
        let members = state
            .members
            .all()
            .into_iter()
            .map(|KnownMember { member, liveness }| MemberEntry {
                votes: votes(member.address),
                name: member.name,
                address: member.address,
                site: member.site,
                standing: liveness,
                started_ms: member.started_ms,
            });
        let budgets = state
            .node
            .report(now)
            .into_iter()
            .map(|shown| BudgetStatus {
                name: shown.name,
                member: shown.member,
                whole: shown.total,
                share: shown.share,
                ends_in_ms: shown.expires_in / 1_000,
                demand: shown.demand,
                spent: shown.spent,
                refused: shown.refused,
                granted: shown.granted.map(|granted| granted.amount),
                holders: shown.granted.map(|granted| granted.holders),
            });
        Status {
            version: 1,
            fleet: state.config.name.clone(),
            address: state.config.address,
            name: state.members.me().name.clone(),
            held: state.node.is_suspended(),
            grantor,
            members: members.collect(),
            budgets: budgets.collect(),
            rejected: state.rejected.sum(),
            traffic: self.transport.traffic(),
        }
    }

    /// The same in short.
    pub fn summary(&self) -> Summary {
        let state = &mut *self.state.borrow_mut();
        let grantor = state.grantor(clock::now());
        let members = state.members.all();
        let count = |standing| {
            members
                .iter()
                .filter(|known| known.liveness == standing)
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

/// A table for people.
pub fn table(status: &Status) -> String {
    let mut text = format!(
        "fleet {}, as {} at {} knows it",
        status.fleet, status.name, status.address
    );
    if status.held {
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
        let standing = member.standing.to_string();
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
            share.whole,
            share.share,
            share.ends_in_ms,
            share.demand,
            share.spent,
            share.refused
        );
    }
    text
}
