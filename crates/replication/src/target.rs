//! Names of pool members in orders and status reports.

/// Returns the name of a member, `POOL/MEMBER`.
pub fn target_name(pool: &str, member: &str) -> String {
    format!("{pool}/{member}")
}

/// Returns the member that a target names, or `None` if the target is of another pool.
pub fn member_of<'a>(target: &'a str, pool: &str) -> Option<&'a str> {
    target.strip_prefix(pool)?.strip_prefix('/')
}
