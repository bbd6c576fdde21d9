//! The name of a member of a pool, as orders and status reports use it.

/// The name of a member: `POOL/MEMBER`.
pub fn target_name(pool: &str, member: &str) -> String {
    format!("{pool}/{member}")
}

/// The member that a target names, if it is one of this pool.
pub fn member_of<'a>(target: &'a str, pool: &str) -> Option<&'a str> {
    target.strip_prefix(pool)?.strip_prefix('/')
}
