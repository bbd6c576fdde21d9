//! The kinds of entries, and how the store treats each.

use serde::{Deserialize, Serialize};

/// What an entry is about. A store keeps and passes on entries of kinds that this version does not
/// know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Kind(pub u8);

impl Kind {
    /// Orders of operators, see [`crate::orders`].
    pub const ORDER: Kind = Kind(1);
    /// Reports of a member's state, see [`crate::member_status`].
    pub const MEMBER_STATUS: Kind = Kind(2);

    /// Whether a full store still takes in entries of this kind: an order that is refused would
    /// leave a drained member in service.
    pub fn is_exempt_from_capacity(self) -> bool {
        self == Kind::ORDER
    }
}
