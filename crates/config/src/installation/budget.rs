//! `[[budget]]`: limits that the whole fleet must not exceed.

use super::definitions::{resolve, Definitions};
use super::fields::UniqueNames;
use super::fleet::Fleet;
use crate::reader::Section;

/// The maximum number of budgets.
const MAX_BUDGETS: usize = 10_000;
/// The maximum of requests in flight that a budget may allow.
const MAX_IN_FLIGHT_REQUESTS: u64 = 1_000_000;
/// The default burst in requests is the rate divided by this number, but at least one.
const BURST_DIVISOR: f64 = 10.0;

/// The limit of a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BudgetLimit {
    /// A limit of the rate.
    Rate {
        /// The rate of the whole fleet, in requests per second.
        rate: f64,
        /// The burst of the whole fleet, in requests.
        burst: f64,
        /// The rate that each voter has without a lease, in requests per second.
        floor: f64,
    },
    /// A limit of the requests in flight.
    InFlight {
        /// The limit of the whole fleet.
        max: u64,
        /// The limit that each voter has without a lease.
        floor: u64,
    },
}

/// The unit that a budget counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetUnit {
    /// Each request is counted once.
    Requests,
    /// Each attempt after the first of its request is counted.
    Retries,
    /// Each attempt is counted, separately for each member of a pool; the full limit applies to
    /// each member.
    AttemptsPerMember,
}

/// A limit that the fleet must not exceed.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// The name, which is the same at all processes.
    pub name: String,
    /// The limit.
    pub limit: BudgetLimit,
    /// The unit that is counted.
    pub unit: BudgetUnit,
    /// The requests that are counted.
    pub scope: BudgetScope,
}

/// The requests that a budget applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetScope {
    /// All requests of the fleet.
    All,
    /// The requests of the tenant with this index.
    Tenant(usize),
    /// The requests of the class with this index.
    Class(usize),
    /// The requests to the pool with this index.
    Pool(usize),
}

/// Reads all budgets.
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
            section.add_fault("needs [fleet]: a budget is divided among its processes");
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
        root.source
            .add_fault(0, "budget", format!("there can be at most {MAX_BUDGETS}"));
    }
    budgets
}

fn read_scope(section: &Section, definitions: &Definitions) -> BudgetScope {
    if section.count_present(["tenant", "class", "pool"]) > 1 {
        section.add_fault("takes at most one of tenant, class and pool");
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
        section.add_fault(
            "each_member needs open and pool: it limits the attempts at each member of a pool",
        );
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
        section.add_fault(format!(
            "takes either open, or rate and burst; {key} cannot be combined with open"
        ));
    }
    if section.has("repeats") {
        section.add_fault("takes open or repeats");
    }
    let max = section.integer("open", 1, 1..MAX_IN_FLIGHT_REQUESTS + 1);
    let floor = section.integer("floor", 0, 0..MAX_IN_FLIGHT_REQUESTS + 1);
    if floor * voters as u64 > max {
        section.add_fault(format!("the floors of {voters} voters are more than open"));
    }
    BudgetLimit::InFlight { max, floor }
}

/// Reads a rate of requests (`rate`) or of retries (`repeats`).
fn read_rate(section: &Section, voters: usize) -> BudgetLimit {
    let key = if section.has("repeats") {
        "repeats"
    } else {
        "rate"
    };
    if !section.has(key) {
        section.add_fault("rate, repeats or open is missing");
    } else if key == "repeats" && section.has("rate") {
        section.add_fault("takes rate or repeats");
    }
    let rate = section.number(key, 1.0, 0.01..1e9);
    let burst = section.number("burst", (rate / BURST_DIVISOR).max(1.0), 1.0..1e9);
    let floor = section.number("floor", 0.0, 0.0..1e9);
    if floor * voters as f64 > rate {
        section.add_fault(format!("the floors of {voters} voters are more than {key}"));
    }
    if floor > 0.0 && burst * floor / rate < 1.0 {
        section.add_fault(format!(
            "floor has no effect: its share of burst is below one; \
             set floor to at least {}, or burst to {}",
            rate / burst,
            (rate / floor).ceil()
        ));
    }
    BudgetLimit::Rate { rate, burst, floor }
}
