//! `[[pool]]`: groups of equivalent endpoints.

use super::fields::{read_address, UniqueNames, FRACTION};
use crate::members::{self, Member};
use crate::reader::{Located, Section, HOUR, MILLISECOND};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The source of a pool's member list.
#[derive(Clone, Debug, PartialEq)]
pub enum Membership {
    /// The members are listed in the operator's file.
    Static(Vec<Member>),
    /// The members are listed in this file, which is watched for changes.
    File(PathBuf),
    /// The members are listed by the discovery service at this address.
    Discovery(SocketAddr),
}

/// A group of equivalent endpoints, which are its members.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// The name that routes and budgets refer to.
    pub name: String,
    /// The source of the member list.
    pub membership: Membership,
    /// The maximum number of attempts per request.
    pub max_attempts: u32,
    /// The retry budget, as a fraction of the requests over time. It covers the retries of attempts
    /// that may have been executed or were rejected.
    pub retry_ratio: f64,
    /// The timeout for establishing a connection.
    pub connect_timeout: Duration,
    /// The time after which members close idle connections. The proxy closes them after half of
    /// this time.
    pub idle_close: Duration,
    /// The slow start: the time in which a newly added member reaches its full share; 0 disables
    /// it.
    pub slow_start: Duration,
    /// The fraction of its capacity that a member has at the start of its slow start.
    pub slow_start_from: f64,
}

/// Reads all pools. A pool with faults is kept, so that references to it are not reported as faults
/// too.
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
    let discovery = read_address(section, "discovery");
    section.require_one_of(["members", "file", "discovery"]);
    match (members, file, discovery) {
        (Some(members), ..) => Membership::Static(members),
        (_, Some(file), _) => Membership::File(file),
        (.., Some(address)) => Membership::Discovery(address),
        // `require_one_of` has recorded a fault.
        (None, None, None) => Membership::Static(Vec::new()),
    }
}
