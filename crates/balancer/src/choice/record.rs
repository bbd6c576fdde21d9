//! What is read out of a balancer, and put back into one that takes its place. Nothing is decided
//! here.

use super::*;

/// Of an endpoint, and when it started: what was learned before its last start says nothing.
type OfBackend = (EndpointId, Option<Millis>, Seen);

impl Node {
    fn is_sound(&self) -> bool {
        let numbers = [self.count, self.first, self.used, self.stress];
        numbers.iter().all(|n| n.is_finite() && *n >= 0.0)
            && self.count >= LEAST_COUNT
            && !self.at.is_nan()
    }
}

impl Balancer {
    /// What this copy has learned, as text that [`Balancer::restore`] reads.
    pub fn snapshot(&self) -> String {
        let seen = |b: &Endpoint| (b.info.id, b.info.started_at, b.seen.clone());
        let endpoints: Vec<OfBackend> = self.endpoints.iter().map(seen).collect();
        serde_json::to_string(&(&self.known, endpoints)).unwrap_or_default()
    }

    /// Goes on from what another copy of like settings has learned; false, with nothing changed, if
    /// unfit.
    pub fn restore(&mut self, learned: &str) -> bool {
        let Ok((known, endpoints)) = serde_json::from_str::<(Known, Vec<OfBackend>)>(learned)
        else {
            return false;
        };
        let lengths = |k: &Known| [&k.asked, &k.passed, &k.shares].map(Vec::len);
        let classes = self.known.classes.len();
        let fits = lengths(&known) == lengths(&self.known)
            && [known.classes.len(), known.latencies.len()] == [classes; 2]
            && endpoints
                .iter()
                .all(|(_, _, seen)| seen.by_class.len() == classes);
        if !fits
            || !known
                .classes
                .iter()
                .chain([&known.tier, &known.borrow])
                .all(Node::is_sound)
        {
            return false;
        }
        self.known = known;
        for (id, started_at, seen) in endpoints {
            let here = self.index.get(&id).and_then(|i| self.endpoints.get_mut(*i));
            if let Some(b) = here.filter(|b| b.info.started_at == started_at) {
                b.seen = seen;
            }
        }
        true
    }

    /// Calls in flight by what the gates count: the tier's, the borrowed ones, and each class's.
    pub fn in_flight(&self) -> Vec<f64> {
        let nodes = [&self.known.tier, &self.known.borrow]
            .into_iter()
            .chain(&self.known.classes);
        nodes.map(|node| node.in_flight).collect()
    }

    /// Tells of so many copies that serve as one with it for a while, and of what they have in
    /// flight.
    pub fn set_co_serving(&mut self, others: usize, in_flight: &[f64]) {
        self.beside = others as f64;
        let nodes = [&mut self.known.tier, &mut self.known.borrow]
            .into_iter()
            .chain(&mut self.known.classes);
        nodes
            .enumerate()
            .for_each(|(n, node)| node.elsewhere = in_flight.get(n).copied().unwrap_or_default());
    }

    /// Tells which of how many copies this is, where that changes.
    pub fn set_fleet_position(&mut self, rank: u32, copies: u32) {
        let before = f64::from(std::mem::replace(
            &mut self.settings.fleet_size,
            copies.max(1),
        ));
        self.known
            .shares
            .iter_mut()
            .for_each(|share| share.scale(before / f64::from(copies.max(1))));
        self.settings.rank = rank;
    }

    /// How many endpoints that are ready no class's calls go to, but for trials.
    pub fn avoided_count(&self, now: Millis) -> usize {
        let usual = self
            .known
            .latencies
            .iter()
            .map(|latency| latency.mean)
            .fold(0.0, f64::max);
        let hush = (SILENT * usual).max(SILENT_LEAST);
        let out =
            |b: &&Endpoint| b.seen.health.out.is_some() || b.is_silent(now, hush, self.answered_at);
        self.endpoints
            .iter()
            .filter(|b| b.info.state == EndpointState::Ready)
            .filter(out)
            .count()
    }
}
