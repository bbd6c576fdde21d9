//! `[[pool]]`: endpoints that serve the same.

use super::fields::{address, UniqueNames, FRACTION};
use crate::members::{self, Member};
use crate::reader::{Located, Section, HOUR, MILLISECOND};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Where a pool's members are listed.
#[derive(Clone, Debug, PartialEq)]
pub enum Membership {
    /// In the operator's file.
    Static(Vec<Member>),
    /// In a file of their own, which is watched.
    File(PathBuf),
    /// At a discovery service.
    Discovery(SocketAddr),
}

/// Endpoints that serve the same; each is a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// Its members.
    pub membership: Membership,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The retry budget: retries of attempts that may have run or were rejected, as a fraction of
    /// the requests over time.
    pub retry_ratio: f64,
    /// Longest wait for a connection.
    pub connect_timeout: Duration,
    /// The time after which members close idle connections; they are dropped here at half of it.
    pub idle_close: Duration,
    /// Slow start: how long a member that has just been added takes to reach its full share; 0 for
    /// no slow start.
    pub slow_start: Duration,
    /// The least fraction of its capacity that a member has at the start of its slow start.
    pub slow_start_from: f64,
}

/// Reads all of them. A pool with faults is kept, so that what refers to it is not a fault too.
pub(super) fn read_all(root: &Section) -> Vec<Located<Pool>> {
    let mut names = UniqueNames::default();
    let mut pools = Vec::new();
    for section in root.sections("pool") {
        let pool = Pool {
            name: names.read(&section).unwrap_or_default(),
            membership: read_membership(&section),
            max_attempts: section.integer("attempts", 3, 1..101) as u32,
            retry_ratio: section.number("repeats", 0.2, FRACTION),
            connect_timeout: section.duration(
                "connect_time",
                Duration::from_secs(1),
                MILLISECOND * 10..HOUR,
            ),
            idle_close: section.duration(
                "idle_close",
                Duration::from_secs(30),
                MILLISECOND * 100..HOUR,
            ),
            slow_start: section.duration("warm_up", Duration::from_secs(10), Duration::ZERO..HOUR),
            slow_start_from: section.number("cold_part", 0.3, 0.01..FRACTION.end),
        };
        pools.push(section.locate(pool));
        section.finish();
    }
    pools
}

fn read_membership(section: &Section) -> Membership {
    let members = section
        .items("members")
        .map(|items| members::read_list(section.source, items));
    let file = section.string("file").map(|file| PathBuf::from(file.value));
    let discovery = address(section, "discovery");
    section.require_one_of(["members", "file", "discovery"]);
    match (members, file, discovery) {
        (Some(members), ..) => Membership::Static(members),
        (_, Some(file), _) => Membership::File(file),
        (.., Some(address)) => Membership::Discovery(address),
        // A fault already.
        (None, None, None) => Membership::Static(Vec::new()),
    }
}
