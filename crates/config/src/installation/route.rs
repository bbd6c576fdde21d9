//! `[[route]]`: the assignment of requests to pools, classes and tenants.

use super::class::DEFAULT_CLASS;
use super::definitions::{find, resolve, Definitions};
use super::fields::is_token;
use super::tenant::Tenant;
use crate::reader::{Located, Section, Source, HOUR, MILLISECOND};
use dewrun_routes::{HeaderCondition, HostPattern, PathPattern, Rule, Table};
use std::time::Duration;

/// The value of a header condition that only requires the header to be present.
const ANY_VALUE: &str = "*";

/// The source of a request's tenant. A request with an unknown tenant has the tenant 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TenantSource {
    /// There is no source: the tenant is 0.
    None,
    /// The tenant's name is the value of this header, whose name is in lower case.
    Header(String),
    /// The tenant's name is the path parameter with this index.
    Parameter(usize),
    /// The tenant is always the one with this index.
    Fixed(usize),
}

/// The destination and settings of the requests that a rule matches.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The index of the pool.
    pub pool: usize,
    /// The index of the class.
    pub class: usize,
    /// The source of the tenant.
    pub tenant: TenantSource,
    /// The time after which a request fails, unless its client sets a shorter one.
    pub timeout: Duration,
}

/// The routes of a file with their rules and positions, in three lists of the same order.
#[derive(Default)]
pub(super) struct Routes {
    pub routes: Vec<Route>,
    rules: Vec<Rule>,
    positions: Vec<Located<()>>,
}

impl Routes {
    /// Builds the table of the rules. Two equally specific routes for the same requests are a
    /// fault.
    pub fn build_table(&mut self, source: &Source) -> Option<Table> {
        let conflicts = match Table::build(std::mem::take(&mut self.rules)) {
            Ok(table) => return Some(table),
            Err(conflicts) => conflicts,
        };
        for conflict in conflicts {
            let first = &self.positions[conflict.first].path;
            let text =
                format!("matches the same requests as {first}, and neither is more specific");
            source.add_fault_at(&self.positions[conflict.second], text);
        }
        None
    }
}

/// Reads all routes whose pool, class and path are valid.
pub(super) fn read_all(root: &Section, definitions: &Definitions) -> Routes {
    let mut routes = Routes::default();
    for section in root.sections("route") {
        if let Some((route, rule)) = read(&section, definitions) {
            routes.routes.push(route);
            routes.rules.push(rule);
            routes.positions.push(section.locate(()));
        }
        section.finish();
    }
    routes
}

fn read(section: &Section, definitions: &Definitions) -> Option<(Route, Rule)> {
    let host = read_host(section);
    let path = read_path(section);
    let methods = read_methods(section);
    let headers = read_headers(section);
    let pool = resolve(section, "pool", &definitions.pools, None);
    let class = resolve(section, "class", &definitions.classes, Some(DEFAULT_CLASS));
    let tenant = section.section("tenant");
    let tenant = tenant.map(|tenant| read_tenant(tenant, &definitions.tenants, path.as_ref()));
    let deadline = class.map_or(HOUR, |class| definitions.classes[class].value.deadline);
    let timeout = section.duration("timeout", deadline, MILLISECOND..HOUR);
    if timeout > deadline {
        section.add_fault(format!(
            "timeout must not be longer than its class's deadline, {deadline:?}"
        ));
    }
    let route = Route {
        pool: pool?,
        class: class?,
        tenant: tenant.unwrap_or(TenantSource::None),
        timeout,
    };
    Some((
        route,
        Rule {
            host,
            path: path?,
            methods,
            headers,
        },
    ))
}

fn read_host(section: &Section) -> HostPattern {
    let Some(text) = section.string("host") else {
        return HostPattern::Any;
    };
    HostPattern::parse(&text.value).unwrap_or_else(|error| {
        section.source.add_fault_at(&text, error);
        HostPattern::Any
    })
}

/// Reads the path pattern. A missing pattern matches all paths; an invalid one gives `None`.
fn read_path(section: &Section) -> Option<PathPattern> {
    let Some(text) = section.string("path") else {
        return Some(PathPattern {
            segments: Vec::new(),
            prefix: true,
        });
    };
    PathPattern::parse(&text.value)
        .map_err(|error| section.source.add_fault_at(&text, error))
        .ok()
}

fn read_methods(section: &Section) -> Vec<String> {
    let mut methods = Vec::new();
    for method in section.strings("methods") {
        let valid =
            is_token(&method.value) && !method.value.bytes().any(|b| b.is_ascii_lowercase());
        if !valid || methods.contains(&method.value) {
            section
                .source
                .add_fault_at(&method, "must be a method in capitals, listed only once");
        }
        methods.push(method.value);
    }
    methods
}

fn read_headers(section: &Section) -> Vec<HeaderCondition> {
    let mut headers: Vec<HeaderCondition> = Vec::new();
    let Some(table) = section.section("headers") else {
        return headers;
    };
    for (name, value) in table.strings_by_key() {
        let name = name.to_ascii_lowercase();
        if !is_token(&name) || headers.iter().any(|header| header.name == name) {
            table.add_fault(format!(
                "{name:?} is not a valid header name, or is repeated"
            ));
        }
        let value = value
            .map(|value| value.value)
            .filter(|value| value != ANY_VALUE);
        headers.push(HeaderCondition { name, value });
    }
    headers
}

fn read_tenant(
    section: Section,
    tenants: &[Located<Tenant>],
    path: Option<&PathPattern>,
) -> TenantSource {
    let source = section.source;
    section.require_one_of(["header", "fixed", "parameter"]);
    let mut tenant = TenantSource::None;
    if let Some(name) = section.string("header") {
        if !is_token(&name.value) {
            source.add_fault_at(&name, "is not a valid header name");
        }
        tenant = TenantSource::Header(name.value.to_ascii_lowercase());
    }
    if let Some(name) = section.string("fixed") {
        // The first tenant represents all that are not named, and cannot be referred to.
        match find(&tenants[1..], &name.value) {
            Some(number) => tenant = TenantSource::Fixed(number + 1),
            None => {
                source.add_fault_at(&name, format!("there is no tenant named {:?}", name.value))
            }
        }
    }
    if let Some(name) = section.string("parameter") {
        match path.and_then(|path| {
            path.parameters()
                .position(|parameter| parameter == name.value)
        }) {
            Some(number) => tenant = TenantSource::Parameter(number),
            None => source.add_fault_at(&name, "the route's path has no such parameter"),
        }
    }
    tenant
}
