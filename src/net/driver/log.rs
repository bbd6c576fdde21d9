//! What the log says of requests that were not served, and of how members stand.

use super::*;

/// What was not served since it was last said, by reason.
#[derive(Default)]
pub(super) struct Unserved {
    pub(super) refused: [u64; UnservedReason::ALL.len()],
    pub(super) failed: [u64; UnservedReason::ALL.len()],
    /// It will be said.
    pub(super) noted: bool,
}

impl Unserved {
    /// `12: over a learned count 10, no backend may be sent to 2`
    fn text(counts: &[u64; UnservedReason::ALL.len()]) -> String {
        let by_why = UnservedReason::ALL
            .iter()
            .zip(counts)
            .filter(|(_, n)| **n > 0);
        let parts: Vec<String> = by_why
            .map(|(why, n)| format!("{} {n}", why.text()))
            .collect();
        format!("{}: {}", counts.iter().sum::<u64>(), parts.join(", "))
    }
}

impl Driver {
    /// Counts what was not served, and has it said within a second: no operator is left with a 503
    /// and an empty log.
    pub(super) fn count(
        &self,
        state: &mut State,
        why: UnservedReason,
        of: impl Fn(&mut Unserved) -> &mut [u64; UnservedReason::ALL.len()],
    ) {
        of(&mut state.unserved)[why as usize] += 1;
        if std::mem::replace(&mut state.unserved.noted, true) {
            return;
        }
        let me = self.me.clone();
        spawn_local(async move {
            tokio::time::sleep(SUMS).await;
            let Some(driver) = me.upgrade() else { return };
            let Unserved {
                refused, failed, ..
            } = std::mem::take(&mut driver.state.borrow_mut().unserved);
            let (refused, failed) = (Unserved::text(&refused), Unserved::text(&failed));
            warn!(
                pool = driver.name,
                refused, failed, "requests not served in the last second"
            );
        });
    }

    pub(super) fn say_standing(
        &self,
        state: &State,
        backend: EndpointId,
        standing: EndpointStatus,
        (class, why): (Option<u8>, Option<Outcome>),
    ) {
        let (pool, member) = (&self.name, state.directory.name(backend));
        let class = class.and_then(|class| self.classes.get(usize::from(class)));
        let class = class
            .map(|class| format!(" for class {class}"))
            .unwrap_or_default();
        match (standing, why) {
            (EndpointStatus::Healthy, _) => {
                info!(pool, member, standing = "well", "serves again{class}")
            }
            (EndpointStatus::Ejected, Some(why)) => {
                warn!(
                    pool,
                    member,
                    standing = "suspect",
                    ?why,
                    "out of the draw{class}: calls failed in a row"
                );
            }
            (EndpointStatus::Ejected, None) => {
                warn!(
                    pool,
                    member,
                    standing = "suspect",
                    "out of the draw: silent while others answer"
                );
            }
            (EndpointStatus::Probation, _) => {
                info!(pool, member, standing = "trial", "gets single calls{class}")
            }
            (EndpointStatus::WarmingUp, _) => {
                info!(pool, member, standing = "cold", "has just started")
            }
            (EndpointStatus::Draining, _) => {
                info!(pool, member, standing = "draining", "gets nothing new")
            }
        }
    }
}
