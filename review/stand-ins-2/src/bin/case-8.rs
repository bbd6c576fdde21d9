//! Case 8: a cell that was drained and comes back takes its keys at once, though they have moved.
//!
//! Two classes carry keys, with windows of 4 s and 20 s. With the disruption the operator drains both
//! members of cell 1, and returns them 6 s later. Clients that gave up send their orders again.

use review_2::cells::{fleet, members, run_in_both_cells, send_orders, WINDOW};
use review_2::server::Log;
use review_2::{operator, run, Case, Verdict};
use std::thread;
use std::time::Duration;

fn main() {
    run(play)
}

fn play(case: &Case) -> Verdict {
    let log = Log::default();
    let members = members(case, &log);
    let Some(instances) = fleet(case, &members) else {
        return Verdict::CouldNotRun("the fleet does not serve".into());
    };
    let order_all = |word: &str| -> bool {
        let orders = ["shop/a1", "shop/a2"].map(|member| {
            operator(
                case,
                &format!("fleet {word} {member} --at {}", instances[0].fleet),
            )
            .0
        });
        orders == [0, 0]
    };
    if case.trouble && !order_all("drain") {
        return Verdict::CouldNotRun("the drain was not taken".into());
    }
    // The keys of cell 1 are refused for one window, and go to cell 2 from then on.
    thread::sleep(WINDOW + Duration::from_secs(1));
    send_orders(case, &instances, "first");
    if case.trouble && !order_all("return") {
        return Verdict::CouldNotRun("the return was not taken".into());
    }
    thread::sleep(Duration::from_millis(300));
    send_orders(case, &instances, "again");
    let (begun, twice) = run_in_both_cells(case, &members, &log);
    if begun == 0 {
        return Verdict::CouldNotRun("no order reached a server".into());
    }
    if twice.is_empty() {
        Verdict::Held(format!("none of {begun} orders began in both cells"))
    } else {
        Verdict::Broken(format!(
            "{} of {begun} orders began in both cells within a window",
            twice.len()
        ))
    }
}
