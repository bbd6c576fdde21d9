//! The cost of a proxy by the number of its services and members, and by the request rate.

use super::proxy::{load_directly, LoadCost, Proxy, Setup};
use super::report::Axis;
use super::Sampling;
use std::time::Duration;

/// Members of one service if 1,500 backends are divided among 46 services.
const MEMBERS_PER_SERVICE: usize = 33;
/// Numbers of services up to that of the planned installation.
const SERVICE_COUNTS: [usize; 6] = [1, 4, 8, 16, 32, 46];
/// Requests per second, from below the mean rate of one proxy of the planned installation to several
/// times that.
const RATES_PER_S: [usize; 6] = [100, 200, 350, 700, 1_500, 3_000];
/// Requests per second on the other axes.
const DEFAULT_RATE_PER_S: f64 = 700.0;
const IDLE_PERIOD: Duration = Duration::from_secs(2);
const LOAD_DURATION: Duration = Duration::from_secs(3);
/// Number of proxies of the planned installation, which is configured as the fleet size.
const PLANNED_FLEET_SIZE: u32 = 1_500;

const MB: &str = "MB";
const CORES: &str = "cores";
const US: &str = "us";
const MS: &str = "ms";

/// Measures the cost by services, both for a proxy that sends to all members and for one of 1,500
/// proxies, which sends to a subset of them.
pub fn pools(program: &str, sampling: &Sampling) -> Vec<Axis> {
    let alone = "one proxy, 33 members a service, sends to all of them; 700 requests a second";
    let among = "the same, told that it is one of 1,500 proxies";
    [
        ("pools", alone, 1),
        ("pools of a large fleet", among, PLANNED_FLEET_SIZE),
    ]
    .map(|(name, setting, fleet_size)| {
        let mut axis = Axis::new(name, "services", setting);
        for services in sampling.points(&SERVICE_COUNTS) {
            for _ in 0..sampling.runs {
                let setup = Setup {
                    services,
                    members_per_service: MEMBERS_PER_SERVICE,
                    fleet_size,
                    fleet: None,
                };
                measure_proxy(program, &setup, services as f64, &mut axis);
            }
        }
        axis.with_fits()
    })
    .into()
}

/// Measures the cost by the members of one service.
pub fn members(program: &str, sampling: &Sampling) -> Vec<Axis> {
    let mut axis = Axis::new(
        "members",
        "members",
        "one proxy, one service; 700 requests a second",
    );
    for members in sampling.default_points() {
        for _ in 0..sampling.runs {
            measure_proxy(
                program,
                &Setup::one_service(members),
                members as f64,
                &mut axis,
            );
        }
    }
    vec![axis.with_fits()]
}

/// Measures one proxy at rest, under load and while it reloads.
fn measure_proxy(program: &str, setup: &Setup, x: f64, axis: &mut Axis) {
    let proxy = Proxy::start(program, setup);
    let stats = proxy.stats();
    axis.add_run(
        "resident memory before the first request",
        MB,
        x,
        stats.resident_mb(),
    );
    proxy.warm_up();
    axis.add_run(
        "resident memory with its connections",
        MB,
        x,
        stats.resident_mb(),
    );
    let (descriptors, sockets) = stats.descriptors();
    axis.add_run("descriptors", "open", x, descriptors as f64);
    axis.add_run("sockets", "open", x, sockets as f64);
    axis.add_run(
        "processor time at rest",
        CORES,
        x,
        proxy.idle_cores(IDLE_PERIOD),
    );
    let direct = load_directly(proxy.member_address(), DEFAULT_RATE_PER_S, LOAD_DURATION);
    let proxied = proxy.load(DEFAULT_RATE_PER_S, LOAD_DURATION);
    axis.add_run(
        "processor time a request",
        US,
        x,
        proxied.cpu_us_per_request,
    );
    add_latencies(axis, x, &direct, &proxied);
    for without_last in [true, false] {
        let reload = proxy.reload(without_last);
        axis.add_run(
            "a file with another member is in force after",
            MS,
            x,
            reload.duration_ms,
        );
        axis.add_run("processor time of reading it", MS, x, reload.cpu_ms);
    }
}

fn add_latencies(axis: &mut Axis, x: f64, direct: &LoadCost, proxied: &LoadCost) {
    axis.add_run("p99 straight to a member", US, x, direct.p99_us);
    axis.add_run("p99 through the proxy", US, x, proxied.p99_us);
    axis.add_run(
        "added p50 (difference of quantiles)",
        US,
        x,
        proxied.p50_us - direct.p50_us,
    );
    axis.add_run(
        "added p99 (difference of quantiles)",
        US,
        x,
        proxied.p99_us - direct.p99_us,
    );
    axis.add_run(
        "requests without a good answer",
        "requests",
        x,
        (direct.unserved_requests + proxied.unserved_requests) as f64,
    );
}

/// Measures the cost by the request rate, with requests sent directly to a member and through the
/// proxy in turn.
pub fn rate(program: &str, sampling: &Sampling) -> Vec<Axis> {
    let setting =
        "one proxy, one service of 33 members, straight and through in turn, a process for all runs";
    let mut axis = Axis::new("rate", "requests a second", setting);
    let proxy = Proxy::start(program, &Setup::one_service(MEMBERS_PER_SERVICE));
    proxy.warm_up();
    for _ in 0..sampling.runs {
        for rate in sampling.points(&RATES_PER_S) {
            let x = rate as f64;
            let direct = load_directly(proxy.member_address(), x, LOAD_DURATION);
            let proxied = proxy.load(x, LOAD_DURATION);
            axis.add_run(
                "processor time a request",
                US,
                x,
                proxied.cpu_us_per_request,
            );
            axis.add_run("processor time", CORES, x, proxied.cores);
            axis.add_run("p50 straight to a member", US, x, direct.p50_us);
            axis.add_run("p50 through the proxy", US, x, proxied.p50_us);
            add_latencies(&mut axis, x, &direct, &proxied);
        }
    }
    vec![axis.with_fits()]
}
