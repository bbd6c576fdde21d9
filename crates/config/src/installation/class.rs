//! `[[class]]`: the priority, latency objective, deadline and retry rule of requests.

use super::fields::{UniqueNames, FRACTION};
use crate::reader::{Located, Section, HOUR, MILLISECOND};
use std::time::Duration;

/// The name of the class for routes that name none. The file may define a class with this name.
pub(super) const DEFAULT_CLASS: &str = "default";
/// The maximum number of classes. The balancer uses up to three classes for each of them and stores
/// the class number in a byte.
const MAX_CLASSES: usize = 80;
/// The maximum deduplication window.
const MAX_WINDOW: Duration = HOUR.saturating_mul(24);

/// The rule for whether a request that may have been executed can be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Requests with the methods GET, HEAD, OPTIONS and TRACE can be retried, others cannot.
    Method,
    /// As [`Effect::Method`], and PUT and DELETE can be retried too.
    Repeatable,
    /// As [`Effect::Method`], and requests with an `Idempotency-Key` can be retried too, within the
    /// deduplication window and only at endpoints that deduplicate them.
    Keyed,
    /// No request can be retried, whatever its method.
    Once,
}

/// The endpoints that deduplicate a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// All members of the pool deduplicate together.
    All,
    /// The members in the cell of the member that may have executed the request deduplicate
    /// together.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// The name that routes and budgets refer to.
    pub name: String,
    /// The retry rule.
    pub effect: Effect,
    /// The latency up to which a response has its full value.
    pub latency_objective: Duration,
    /// The time after which a request fails, unless its client or its route sets a shorter one.
    pub deadline: Duration,
    /// The value of a response within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of the priority weight that a response after the latency objective has.
    pub late_fraction: f64,
    /// For keyed classes, the deduplication window: the time for which endpoints deduplicate, from
    /// the first attempt that may have been executed.
    pub window: Duration,
    /// For keyed classes, the endpoints that deduplicate.
    pub scope: KeyScope,
}

impl Default for Class {
    /// Returns the class of routes that name none.
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

/// Returns the longest deadline of the classes; an hour if there are no classes.
pub fn longest_deadline(classes: &[Class]) -> Duration {
    classes
        .iter()
        .map(|class| class.deadline)
        .max()
        .unwrap_or(HOUR)
}

/// Reads all classes, and adds the default class unless the file defines it.
pub(super) fn read_all(root: &Section) -> Vec<Located<Class>> {
    let mut names = UniqueNames::default();
    let mut classes = Vec::new();
    for section in root.sections("class") {
        let class = read(&section, &mut names);
        classes.push(section.locate(class));
        section.finish();
    }
    if let Some(class) = classes.get(MAX_CLASSES) {
        root.source.add_fault(
            class.offset,
            "class",
            format!("there can be at most {MAX_CLASSES}"),
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
        section.add_fault("aim must not be longer than deadline");
    }
    let keyed = class.effect == Effect::Keyed;
    if keyed && class.window.is_zero() {
        section
            .add_fault("a keyed class needs a window, the time for which its backends deduplicate");
    }
    if !keyed && (section.has("window") || section.has("scope")) {
        section.add_fault("window and scope are for keyed classes only");
    }
    class
}
