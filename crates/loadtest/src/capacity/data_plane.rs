//! What a proxy costs by the services and members in front of which it stands, and by the rate at
//! which it is asked.

use super::proxy::{straight, Proxy, Served, Setup};
use super::report::Axis;
use super::Sizes;
use std::time::Duration;

/// Members of one service: 1,500 backends in 46 services.
const MEMBERS: usize = 33;
/// All services of the design.
const SERVICES: [usize; 6] = [1, 4, 8, 16, 32, 46];
/// Requests a second: the mean of a proxy and several times that.
const RATES: [usize; 6] = [100, 200, 350, 700, 1_500, 3_000];
/// The rate at which the other axes ask.
const RATE: f64 = 700.0;
const REST: Duration = Duration::from_secs(2);
const SPAN: Duration = Duration::from_secs(3);
/// The size of the fleet at the design, as one proxy is told it.
const PROXIES: u32 = 1_500;

const MB: &str = "MB";
const CORES: &str = "cores";
const US: &str = "us";
const MS: &str = "ms";

/// By services, where the proxy sends to all members, and where it is one of 1,500 and sends to
/// some of them.
pub fn pools(program: &str, sizes: &Sizes) -> Vec<Axis> {
    let alone = "one proxy, 33 members a service, sends to all of them; 700 requests a second";
    let among = "the same, told that it is one of 1,500 proxies";
    [
        ("pools", alone, 1),
        ("pools of a large fleet", among, PROXIES),
    ]
    .map(|(name, setting, fleet_size)| {
        let mut axis = Axis::new(name, "services", setting);
        for services in sizes.of(&SERVICES) {
            for _ in 0..sizes.runs {
                let setup = Setup {
                    services,
                    members_each: MEMBERS,
                    fleet_size,
                    fleet: None,
                };
                measure(program, &setup, services as f64, &mut axis);
            }
        }
        axis.fitted()
    })
    .into()
}

/// By the members of one service.
pub fn members(program: &str, sizes: &Sizes) -> Vec<Axis> {
    let mut axis = Axis::new(
        "members",
        "members",
        "one proxy, one service; 700 requests a second",
    );
    for members in sizes.usual() {
        for _ in 0..sizes.runs {
            measure(
                program,
                &Setup::one_service(members),
                members as f64,
                &mut axis,
            );
        }
    }
    vec![axis.fitted()]
}

fn measure(program: &str, setup: &Setup, x: f64, axis: &mut Axis) {
    let proxy = Proxy::start(program, setup);
    let figures = proxy.figures();
    axis.add(
        "resident memory before the first request",
        MB,
        x,
        figures.resident_mb(),
    );
    proxy.warm_up();
    axis.add(
        "resident memory with its connections",
        MB,
        x,
        figures.resident_mb(),
    );
    let (descriptors, sockets) = figures.descriptors();
    axis.add("descriptors", "open", x, descriptors as f64);
    axis.add("sockets", "open", x, sockets as f64);
    axis.add("processor time at rest", CORES, x, proxy.rest(REST));
    let direct = straight(proxy.member(), RATE, SPAN);
    let served = proxy.serve(RATE, SPAN);
    axis.add("processor time a request", US, x, served.cpu_us);
    add_times(axis, x, &direct, &served);
    for without_last in [true, false] {
        let reloaded = proxy.reload(without_last);
        axis.add(
            "a file with another member is in force after",
            MS,
            x,
            reloaded.in_force_ms,
        );
        axis.add("processor time of reading it", MS, x, reloaded.cpu_ms);
    }
}

fn add_times(axis: &mut Axis, x: f64, direct: &Served, served: &Served) {
    axis.add("p99 straight to a member", US, x, direct.p99_us);
    axis.add("p99 through the proxy", US, x, served.p99_us);
    axis.add(
        "added p50 (difference of quantiles)",
        US,
        x,
        served.p50_us - direct.p50_us,
    );
    axis.add(
        "added p99 (difference of quantiles)",
        US,
        x,
        served.p99_us - direct.p99_us,
    );
    axis.add(
        "requests without a good answer",
        "requests",
        x,
        (direct.failed + served.failed) as f64,
    );
}

/// By the rate at which it is asked, straight and through in turn.
pub fn rate(program: &str, sizes: &Sizes) -> Vec<Axis> {
    let setting =
        "one proxy, one service of 33 members, straight and through in turn, a process for all runs";
    let mut axis = Axis::new("rate", "requests a second", setting);
    let proxy = Proxy::start(program, &Setup::one_service(MEMBERS));
    proxy.warm_up();
    for _ in 0..sizes.runs {
        for rate in sizes.of(&RATES) {
            let x = rate as f64;
            let direct = straight(proxy.member(), x, SPAN);
            let served = proxy.serve(x, SPAN);
            axis.add("processor time a request", US, x, served.cpu_us);
            axis.add("processor time", CORES, x, served.cores);
            axis.add("p50 straight to a member", US, x, direct.p50_us);
            axis.add("p50 through the proxy", US, x, served.p50_us);
            add_times(&mut axis, x, &direct, &served);
        }
    }
    vec![axis.fitted()]
}
