//! The compact encoding of members in anti-entropy answers: sites by their index in a list, start
//! times relative to the first member's, and names without the prefix that they share with the
//! previous name.

use super::member::Member;
use dewrun_budgets::Incarnation;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Members that the receiver is missing: one packet of the answer to a
/// [`CompareRequest`](super::CompareRequest).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entries {
    /// The sites of the members.
    sites: Vec<String>,
    /// The start time of the first member, in Unix milliseconds.
    first_started_ms: u64,
    /// The encoded members.
    entries: Vec<Entry>,
    /// The number of members that the sender considers live, itself included.
    pub fleet_size: u32,
    /// Whether this is the last packet of the answer.
    pub is_last: bool,
    /// Whether the sender has caught up itself and the answer contained all members that the
    /// receiver was missing.
    pub is_complete: bool,
}

/// A member, encoded relative to the previous one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Entry {
    /// The index of the site in [`Entries::sites`].
    site: u8,
    address: SocketAddr,
    /// The number of leading bytes that the name shares with the previous name.
    shared_prefix_bytes: u8,
    /// The rest of the name.
    name_rest: String,
    /// The start time in milliseconds after [`Entries::first_started_ms`], wrapping.
    started_after_ms: i64,
    incarnation: [u8; 8],
    refutations: u32,
}

impl Entries {
    /// Creates a packet without members.
    pub(super) fn new(fleet_size: usize) -> Entries {
        Entries {
            sites: Vec::new(),
            first_started_ms: 0,
            entries: Vec::new(),
            fleet_size: fleet_size as u32,
            is_last: false,
            is_complete: false,
        }
    }

    /// Adds a member; `previous` is the member that was added last.
    pub(super) fn push(&mut self, member: &Member, previous: Option<&Member>) {
        let known = self.sites.iter().position(|site| *site == member.site);
        let site = known.unwrap_or_else(|| {
            self.sites.push(member.site.clone());
            self.sites.len() - 1
        });
        if previous.is_none() {
            self.first_started_ms = member.started_ms;
        }
        let shared = shared_prefix_bytes(previous, member);
        self.entries.push(Entry {
            // A packet holds far fewer entries than a byte can count.
            site: site as u8,
            address: member.address,
            shared_prefix_bytes: shared as u8,
            name_rest: member.name[shared..].to_string(),
            started_after_ms: member.started_ms.wrapping_sub(self.first_started_ms) as i64,
            incarnation: member.incarnation.0.to_le_bytes(),
            refutations: member.refutations,
        });
    }

    /// Decodes the members. An entry whose site index is not in the list is skipped; a name whose
    /// shared prefix is longer than the previous name ends the list.
    pub(super) fn into_members(self) -> Vec<Member> {
        let mut members = Vec::with_capacity(self.entries.len());
        let mut name = String::new();
        for entry in self.entries {
            let Some(prefix) = name.get(..usize::from(entry.shared_prefix_bytes)) else {
                break;
            };
            name = format!("{prefix}{}", entry.name_rest);
            let Some(site) = self.sites.get(usize::from(entry.site)) else {
                continue;
            };
            let started_after_ms = entry.started_after_ms as u64;
            members.push(Member {
                address: entry.address,
                name: name.clone(),
                site: site.clone(),
                started_ms: self.first_started_ms.wrapping_add(started_after_ms),
                incarnation: Incarnation(u64::from_le_bytes(entry.incarnation)),
                refutations: entry.refutations,
            });
        }
        members
    }

    /// Estimates the number of bytes that a member would add.
    pub(super) fn estimated_size(&self, member: &Member, previous: Option<&Member>) -> usize {
        /// The address, incarnation, start time, refutation count and lengths.
        const FIXED_BYTES: usize = 24;
        let site_bytes = if self.sites.contains(&member.site) {
            0
        } else {
            member.site.len() + 1
        };
        FIXED_BYTES + member.name.len() - shared_prefix_bytes(previous, member) + site_bytes
    }
}

/// Returns the number of leading bytes that a member's name shares with the previous one: whole
/// characters, and at most as many as a byte can count.
fn shared_prefix_bytes(previous: Option<&Member>, member: &Member) -> usize {
    let Some(previous) = previous else { return 0 };
    let equal = previous
        .name
        .bytes()
        .zip(member.name.bytes())
        .take(usize::from(u8::MAX))
        .take_while(|(a, b)| a == b);
    let mut length = equal.count();
    while !member.name.is_char_boundary(length) {
        length -= 1;
    }
    length
}
