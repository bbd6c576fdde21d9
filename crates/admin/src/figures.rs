//! What a proxy reports, in Prometheus' text form (its exposition format, version 0.0.4).

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
pub use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// Served: the answer of a backend.
    Succeeded,
    /// Refused: asking again is harmless.
    Declined,
    /// Failed, or left by its caller.
    Aborted,
}

impl Disposition {
    const ALL: [(Disposition, &'static str); 3] = [
        (Disposition::Succeeded, "succeeded"),
        (Disposition::Declined, "declined"),
        (Disposition::Aborted, "aborted"),
    ];
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OfClass {
    service: String,
    disposition: &'static str,
}

/// How many backends there are, and how many of them are avoided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// Listed.
    pub listed: usize,
    /// Listed, and left out of the draw for every class.
    pub avoided: usize,
}

/// The figures of one process; they begin at 0 with it.
pub struct Figures {
    registry: Registry,
    /// By class, in the order of [`Disposition::ALL`].
    results: Vec<[Counter; 3]>,
    forwards: Counter,
    reloads: [Counter; 2],
    outstanding: Gauge,
    listed: Gauge,
    avoided: Gauge,
}

impl Figures {
    /// Figures for classes of these names.
    pub fn new<'a>(classes: impl IntoIterator<Item = &'a str>) -> Figures {
        let mut registry = Registry::with_prefix("svc");
        let results = Family::<OfClass, Counter>::default();
        let of = |class: &str| {
            Disposition::ALL.map(|(_, disposition)| {
                results
                    .get_or_create(&OfClass {
                        service: class.to_string(),
                        disposition,
                    })
                    .clone()
            })
        };
        let figures = Figures {
            results: classes.into_iter().map(of).collect(),
            forwards: Counter::default(),
            reloads: Default::default(),
            outstanding: Gauge::default(),
            listed: Gauge::default(),
            avoided: Gauge::default(),
            registry: Registry::default(),
        };
        registry.register(
            "results",
            "Requests that ended, by class and by how",
            results,
        );
        registry.register(
            "forwards",
            "Attempts written whole to backends",
            figures.forwards.clone(),
        );
        let [applied, rejected] = figures.reloads.clone();
        registry.register("sighup_applied", "Configurations taken on SIGHUP", applied);
        registry.register(
            "sighup_rejected",
            "Configurations refused on SIGHUP",
            rejected,
        );
        registry.register(
            "outstanding",
            "Requests taken and not ended",
            figures.outstanding.clone(),
        );
        registry.register("discovered", "Backends in the list", figures.listed.clone());
        registry.register(
            "ejected",
            "Listed backends that are avoided",
            figures.avoided.clone(),
        );
        Figures {
            registry,
            ..figures
        }
    }

    /// A request of a class was taken.
    pub fn taken(&self, class: u8) -> Tally {
        self.outstanding.inc();
        let results = self
            .results
            .get(usize::from(class))
            .cloned()
            .unwrap_or_default();
        Tally {
            results,
            outstanding: self.outstanding.clone(),
            ended: Disposition::Aborted,
        }
    }

    /// Counts attempts as they are written whole.
    pub fn forwards(&self) -> Counter {
        self.forwards.clone()
    }

    /// A configuration was read again, and taken or refused.
    pub fn reloaded(&self, taken: bool) {
        self.reloads[usize::from(!taken)].inc();
    }

    /// All of them, as text.
    pub fn text(&self, members: Members) -> String {
        self.listed.set(members.listed as i64);
        self.avoided.set(members.avoided as i64);
        let mut text = String::new();
        // Writing into a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// A request that was taken, until it has ended. Dropped with nothing said, it was aborted.
pub struct Tally {
    results: [Counter; 3],
    outstanding: Gauge,
    ended: Disposition,
}

impl Tally {
    /// How it will have ended, once this is dropped.
    pub fn ends(&mut self, how: Disposition) {
        self.ended = how;
    }
}

impl Drop for Tally {
    fn drop(&mut self) {
        self.outstanding.dec();
        self.results[self.ended as usize].inc();
    }
}
