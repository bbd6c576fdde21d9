//! The compact encoding of members in answers of anti-entropy: sites by their index in a list,
//! starts by their distance from the first, names by the prefix that they share with the name
//! before.

use super::member::Member;
use dewrun_budgets::Incarnation;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Members that the receiver lacks: one packet of the answer to a
/// [`CompareRequest`](super::CompareRequest).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entries {
    /// The sites of the members.
    sites: Vec<String>,
    /// When the first member started, in Unix milliseconds.
    first_started_ms: u64,
    /// The members.
    entries: Vec<Entry>,
    /// How many members the sender takes for up, itself included.
    pub fleet_size: u32,
    /// Whether this is the last packet of the answer.
    pub is_last: bool,
    /// Whether the sender has caught up itself, and the answer held all that the receiver lacked.
    pub is_complete: bool,
}

/// A member, encoded beside the one before.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Entry {
    /// The index in [`Entries::sites`].
    site: u8,
    address: SocketAddr,
    /// How many bytes of the name before this name begins with.
    shared_prefix_bytes: u8,
    /// The rest of the name.
    name_rest: String,
    /// Milliseconds after [`Entries::first_started_ms`], wrapping.
    started_after_ms: i64,
    incarnation: [u8; 8],
    refutations: u32,
}

impl Entries {
    /// A packet without members.
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

    /// Adds a member; `previous` is the one that was added last.
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
            // A packet has room for far fewer entries than a byte can number.
            site: site as u8,
            address: member.address,
            shared_prefix_bytes: shared as u8,
            name_rest: member.name[shared..].to_string(),
            started_after_ms: member.started_ms.wrapping_sub(self.first_started_ms) as i64,
            incarnation: member.incarnation.0.to_le_bytes(),
            refutations: member.refutations,
        });
    }

    /// The members. An entry without a site in the list is left out; a name that shares more than
    /// the name before has ends the list.
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

    /// About how many bytes a member would add.
    pub(super) fn estimated_size(&self, member: &Member, previous: Option<&Member>) -> usize {
        /// Address, incarnation, start, refutation count and lengths.
        const FIXED_BYTES: usize = 24;
        let site_bytes = if self.sites.contains(&member.site) {
            0
        } else {
            member.site.len() + 1
        };
        FIXED_BYTES + member.name.len() - shared_prefix_bytes(previous, member) + site_bytes
    }
}

/// How many bytes a member's name begins with like the name before: at most what a byte can count,
/// and whole characters.
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
