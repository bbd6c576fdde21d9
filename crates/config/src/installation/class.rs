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
pub enum Scope {
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
    /// A response within this time is in time.
    pub aim: Duration,
    /// The time after which a request is given up, if neither its client nor its route sets a
    /// shorter one.
    pub deadline: Duration,
    /// The weight of one response in time, relative to other classes.
    pub worth: f64,
    /// The fraction of the worth that a later response has.
    pub late_worth: f64,
    /// For keyed classes, the deduplication window: how long repeats are dropped, from the first
    /// attempt that may have run.
    pub window: Duration,
    /// For keyed classes: who drops repeats.
    pub scope: Scope,
}

impl Default for Class {
    /// The class of routes that name none.
    fn default() -> Class {
        Class {
            name: DEFAULT_CLASS.into(),
            effect: Effect::Method,
            aim: Duration::from_secs(1),
            deadline: Duration::from_secs(30),
            worth: 1.0,
            late_worth: 0.2,
            window: Duration::ZERO,
            scope: Scope::All,
        }
    }
}

/// The longest that a request of one of these classes can take.
pub fn longest(classes: &[Class]) -> Duration {
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
    let scopes = [("all", Scope::All), ("cell", Scope::Cell)];
    let class = Class {
        name: names.read(section).unwrap_or_default(),
        effect: section.choice("effect", default.effect, &effects),
        aim: section.duration("aim", default.aim, MILLISECOND..HOUR),
        deadline: section.duration("deadline", default.deadline, MILLISECOND..HOUR),
        worth: section.number("worth", default.worth, 0.000_001..1_000_000.0),
        late_worth: section.number("late_worth", default.late_worth, FRACTION),
        window: section.duration("window", default.window, Duration::ZERO..MAX_WINDOW),
        scope: section.choice("scope", default.scope, &scopes),
    };
    if class.aim > class.deadline {
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
