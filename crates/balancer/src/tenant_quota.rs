//! Tenant quotas: a tenant's admitted requests in a sliding window, compared with this process's
//! share of the tenant's quota.

use crate::{Millis, Tenant};
use dewrun_decay::DecayingSum;

/// Time constant of the window. It is long, because the few requests of a process with little
/// traffic arrive in clusters.
const WINDOW_TIME_CONSTANT_MS: Millis = 10_000.0;
/// Factor by which a tenant may exceed this process's share, because requests are not distributed
/// evenly over processes.
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

    /// Returns the window of a tenant that uses its whole share. An empty window would admit the
    /// requests of a whole window at once.
    pub(crate) fn full_window(self, now: Millis) -> DecayingSum {
        DecayingSum::with_value(self.per_s * WINDOW_TIME_CONSTANT_MS / 1000.0, now)
    }

    /// Returns whether one more request would exceed the quota.
    pub(crate) fn is_exceeded(self, window: &DecayingSum, now: Millis) -> bool {
        let per_s = self.per_s * SHARE_TOLERANCE;
        window.read(now, WINDOW_TIME_CONSTANT_MS) + 1.0
            > (per_s * WINDOW_TIME_CONSTANT_MS / 1000.0).max(1.0)
    }
}

/// Counts an admitted request. Rejected requests use no quota, because otherwise the retries of
/// their clients would also be over quota.
pub(crate) fn record_admission(window: &mut DecayingSum, now: Millis) {
    window.add(now, WINDOW_TIME_CONSTANT_MS);
}
