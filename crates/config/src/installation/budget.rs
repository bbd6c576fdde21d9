//! `[[budget]]`: limits that the whole fleet must not exceed.

use super::definitions::{resolve, Definitions};
use super::fields::UniqueNames;
use super::fleet::Fleet;
use crate::reader::Section;

const MAX_BUDGETS: usize = 10_000;
/// The most requests in flight that a budget may allow.
const MAX_IN_FLIGHT: u64 = 1_000_000;
/// The burst of a rate, in requests, if the file gives none, is the rate divided by this, and at
/// least one.
const BURST_DIVISOR: f64 = 10.0;

/// What is limited.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetLimit {
    /// A rate, with its burst and what each voter has without a lease.
    Rate {
        /// Requests a second.
        rate: f64,
        /// Requests at once.
        burst: f64,
        /// Requests a second of each voter.
        floor: f64,
    },
    /// Requests in flight, and what each voter may have without a lease.
    InFlight {
        /// Of the whole fleet.
        max: u64,
        /// Of each voter.
        floor: u64,
    },
}

/// What is counted by a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetUnit {
    /// Requests, once each.
    Requests,
    /// Retries: attempts beyond the first of their request.
    Retries,
    /// Attempts, for each member of a pool by itself: each has the whole limit.
    AttemptsPerMember,
}

/// A limit that the fleet must not exceed.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Its name, the same at all processes.
    pub name: String,
    /// What is limited.
    pub limit: BudgetLimit,
    /// What is counted.
    pub unit: BudgetUnit,
    /// Whose requests count.
    pub scope: BudgetScope,
}

/// Whose requests count to a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetScope {
    /// All requests.
    All,
    /// Those of a tenant, by its index.
    Tenant(usize),
    /// Those of a class, by its index.
    Class(usize),
    /// Those that go to a pool, by its index.
    Pool(usize),
}

/// Reads all of them.
pub(super) fn read_all(
    root: &Section,
    fleet: Option<&Fleet>,
    definitions: &Definitions,
) -> Vec<Budget> {
    let voters = fleet.map_or(1, |fleet| fleet.members.len());
    let mut names = UniqueNames::default();
    let mut budgets = Vec::new();
    for section in root.sections("budget") {
        if fleet.is_none() {
            section.fault("needs [fleet]: a budget is divided among its processes");
        }
        budgets.push(Budget {
            name: names.read(&section).unwrap_or_default(),
            limit: read_limit(&section, voters),
            unit: read_unit(&section),
            scope: read_scope(&section, definitions),
        });
        section.finish();
    }
    if budgets.len() > MAX_BUDGETS {
        root.source.fault(
            0,
            "budget",
            format!("there can be {MAX_BUDGETS} at the most"),
        );
    }
    budgets
}

fn read_scope(section: &Section, definitions: &Definitions) -> BudgetScope {
    if section.count_of(["tenant", "class", "pool"]) > 1 {
        section.fault("takes one of tenant, class and pool at the most");
    }
    let mut scope = BudgetScope::All;
    if section.has("tenant") {
        scope = resolve(section, "tenant", &definitions.tenants, None)
            .map_or(scope, BudgetScope::Tenant);
    }
    if section.has("class") {
        scope =
            resolve(section, "class", &definitions.classes, None).map_or(scope, BudgetScope::Class);
    }
    if section.has("pool") {
        scope = resolve(section, "pool", &definitions.pools, None).map_or(scope, BudgetScope::Pool);
    }
    scope
}

fn read_unit(section: &Section) -> BudgetUnit {
    let each_member = section.boolean("each_member", false);
    if each_member && !(section.has("open") && section.has("pool")) {
        section.fault("each_member goes with open and pool: attempts at each member of a pool");
    }
    match (each_member, section.has("repeats")) {
        (true, _) => BudgetUnit::AttemptsPerMember,
        (false, true) => BudgetUnit::Retries,
        (false, false) => BudgetUnit::Requests,
    }
}

fn read_limit(section: &Section, voters: usize) -> BudgetLimit {
    if section.has("open") {
        read_in_flight(section, voters)
    } else {
        read_rate(section, voters)
    }
}

fn read_in_flight(section: &Section, voters: usize) -> BudgetLimit {
    for key in ["rate", "burst"].iter().filter(|key| section.has(key)) {
        section.fault(format!(
            "takes open or rate and burst; {key} is beside open"
        ));
    }
    if section.has("repeats") {
        section.fault("takes open or repeats");
    }
    let max = section.integer("open", 1, 1..MAX_IN_FLIGHT + 1);
    let floor = section.integer("floor", 0, 0..MAX_IN_FLIGHT + 1);
    if floor * voters as u64 > max {
        section.fault(format!("the floors of {voters} voters are more than open"));
    }
    BudgetLimit::InFlight { max, floor }
}

/// Reads a rate of requests, or one of retries under a key of its own.
fn read_rate(section: &Section, voters: usize) -> BudgetLimit {
    let key = if section.has("repeats") {
        "repeats"
    } else {
        "rate"
    };
    if !section.has(key) {
        section.fault("rate, repeats or open is missing");
    } else if key == "repeats" && section.has("rate") {
        section.fault("takes rate or repeats");
    }
    let rate = section.number(key, 1.0, 0.01..1e9);
    let burst = section.number("burst", (rate / BURST_DIVISOR).max(1.0), 1.0..1e9);
    let floor = section.number("floor", 0.0, 0.0..1e9);
    if floor * voters as f64 > rate {
        section.fault(format!("the floors of {voters} voters are more than {key}"));
    }
    if floor > 0.0 && burst * floor / rate < 1.0 {
        section.fault(format!(
            "floor is of no use: its part of burst is below one; give at least {}, or a burst of {}",
            rate / burst,
            (rate / floor).ceil()
        ));
    }
    BudgetLimit::Rate { rate, burst, floor }
}
