//! `[[class]]`: what requests are worth, how long they may take, and whether they can be retried.

use super::fields::{UniqueNames, FRACTION};
use crate::reader::{Located, Section, HOUR, MILLISECOND};
use std::time::Duration;

/// The class of routes that name none, unless the file defines one of this name.
pub(super) const DEFAULT_CLASS: &str = "default";
/// Each class stands for up to three in the decision module, which numbers them in a byte.
const MAX_CLASSES: usize = 80;
/// The longest deduplication window.
const MAX_WINDOW: Duration = HOUR.saturating_mul(24);

/// Whether a request that may have run can be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// By its method: GET, HEAD, OPTIONS and TRACE can, others can't.
    Method,
    /// The above, and PUT and DELETE.
    Repeatable,
    /// As [`Effect::Method`], and all others too if they carry an `Idempotency-Key`: within the
    /// deduplication window, and only to endpoints that drop repeats.
    Keyed,
    /// Never, whatever the method.
    Once,
}

/// Which endpoints drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All members of the pool.
    All,
    /// Those of the cell of the member that may have run it.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// See [`Effect`].
    pub effect: Effect,
    /// The latency up to which a response has its full value.
    pub latency_objective: Duration,
    /// The time after which a request fails, if neither its client nor its route sets a
    /// shorter one.
    pub deadline: Duration,
    /// What a response within the latency objective is worth, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of the priority weight that a later response has.
    pub late_fraction: f64,
    /// For keyed classes, the deduplication window: how long repeats are dropped, from the first
    /// attempt that may have run.
    pub window: Duration,
    /// For keyed classes: who drops repeats.
    pub scope: KeyScope,
}

impl Default for Class {
    /// The class of routes that name none.
    fn default() -> Class {
        Class {
            name: DEFAULT_CLASS.into(),
            effect: Effect::Method,
            latency_objective: Duration::from_secs(1),
            deadline: Duration::from_secs(30),
            priority_weight: 1.0,
            late_fraction: 0.2,
            window: Duration::ZERO,
            scope: KeyScope::All,
        }
    }
}

/// The longest deadline of these classes; an hour if there is none.
pub fn longest_deadline(classes: &[Class]) -> Duration {
    classes
        .iter()
        .map(|class| class.deadline)
        .max()
        .unwrap_or(HOUR)
}

/// Reads all of them, and adds the default class unless the file defines it.
pub(super) fn read_all(root: &Section) -> Vec<Located<Class>> {
    let mut names = UniqueNames::default();
    let mut classes = Vec::new();
    for section in root.sections("class") {
        let class = read(&section, &mut names);
        classes.push(section.locate(class));
        section.finish();
    }
    if let Some(class) = classes.get(MAX_CLASSES) {
        root.source.fault(
            class.offset,
            "class",
            format!("there can be {MAX_CLASSES} at the most"),
        );
    }
    if !names.contains(DEFAULT_CLASS) {
        classes.push(root.locate(Class::default()));
    }
    classes
}

fn read(section: &Section, names: &mut UniqueNames) -> Class {
    let default = Class::default();
    let effects = [
        ("method", Effect::Method),
        ("repeatable", Effect::Repeatable),
        ("keyed", Effect::Keyed),
        ("once", Effect::Once),
    ];
    let scopes = [("all", KeyScope::All), ("cell", KeyScope::Cell)];
    let class = Class {
        name: names.read(section).unwrap_or_default(),
        effect: section.choice("effect", default.effect, &effects),
        latency_objective: section.duration("aim", default.latency_objective, MILLISECOND..HOUR),
        deadline: section.duration("deadline", default.deadline, MILLISECOND..HOUR),
        priority_weight: section.number("worth", default.priority_weight, 0.000_001..1_000_000.0),
        late_fraction: section.number("late_worth", default.late_fraction, FRACTION),
        window: section.duration("window", default.window, Duration::ZERO..MAX_WINDOW),
        scope: section.choice("scope", default.scope, &scopes),
    };
    if class.latency_objective > class.deadline {
        section.fault("aim must not be longer than deadline");
    }
    let keyed = class.effect == Effect::Keyed;
    if keyed && class.window.is_zero() {
        section.fault("a keyed class needs a window: how long its backends drop repeats");
    }
    if !keyed && (section.has("window") || section.has("scope")) {
        section.fault("window and scope are for keyed classes only");
    }
    class
}
