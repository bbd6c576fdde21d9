//! Kinds of entries, and the capacity rule of each.

use serde::{Deserialize, Serialize};

/// The kind of an entry. A store keeps and forwards entries of kinds that this version does not
/// know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Kind(pub u8);

impl Kind {
    /// An operator's order, see [`crate::orders`].
    pub const ORDER: Kind = Kind(1);
    /// A report of a member's state, see [`crate::member_status`].
    pub const MEMBER_STATUS: Kind = Kind(2);

    /// Returns whether a full store still accepts entries of this kind. Orders are exempt because
    /// rejecting one would leave a drained member in service.
    pub fn is_exempt_from_capacity(self) -> bool {
        self == Kind::ORDER
    }
}
