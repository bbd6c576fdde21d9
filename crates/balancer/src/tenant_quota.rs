//! Who is over quota: a tenant's admitted requests in a sliding window, against this process's
//! share of the tenant's quota.

use crate::{Millis, Tenant};
use dewrun_decay::DecayingSum;

/// Time constant of the window. Long, because the few requests of a process with little traffic
/// come in clusters.
const WINDOW_MS: Millis = 10_000.0;
/// Room over this process's share, because requests are not spread quite evenly over processes.
const SHARE_TOLERANCE: f64 = 1.1;

/// This process's share of one tenant's quota.
#[derive(Clone, Copy)]
pub(crate) struct TenantQuota {
    per_s: f64,
}

impl TenantQuota {
    pub(crate) fn new(tenant: &Tenant, fleet_size: u32) -> TenantQuota {
        TenantQuota {
            per_s: tenant.quota_per_s / f64::from(fleet_size),
        }
    }

    /// The window of a tenant that uses its whole share: an empty one would admit a whole window's
    /// requests at once.
    pub(crate) fn full_window(self, now: Millis) -> DecayingSum {
        DecayingSum::of(self.per_s * WINDOW_MS / 1000.0, now)
    }

    /// Whether one more request would be over the quota.
    pub(crate) fn is_exceeded(self, window: &DecayingSum, now: Millis) -> bool {
        let per_s = self.per_s * SHARE_TOLERANCE;
        window.read(now, WINDOW_MS) + 1.0 > (per_s * WINDOW_MS / 1000.0).max(1.0)
    }
}

/// Counts an admitted request. A rejected one uses no quota: its client's retry would else be over
/// quota too.
pub(crate) fn charge(window: &mut DecayingSum, now: Millis) {
    window.add(now, WINDOW_MS);
}
