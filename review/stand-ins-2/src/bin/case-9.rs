//! Case 9: a new configuration makes a process forget which cell had a key.
//!
//! With the disruption a new file adds cell 2 and a tenant, and each process gets SIGHUP. Clients that
//! gave up send their orders again.

use review_2::cells::{fleet, members, plain, run_in_both_cells, send_orders, Member};
use review_2::server::Log;
use review_2::{run, Case, Verdict};
use std::thread;
use std::time::Duration;

const MORE: &str = "\n[[tenant]]\nname = \"zeta\"\n";

fn main() {
    run(play)
}

fn play(case: &Case) -> Verdict {
    let log = Log::default();
    let members = members(case, &log);
    let (before, after): (Vec<&Member>, Vec<&Member>) = (
        members.iter().filter(|member| member.cell == 1).collect(),
        members.iter().collect(),
    );
    let Some(instances) = fleet(case, &before) else {
        return Verdict::CouldNotRun("the fleet does not serve".into());
    };
    send_orders(case, &instances, "first");
    // For comparison: with PLAIN=1 the new file adds the cell and nothing else.
    let more = if plain() { "" } else { MORE };
    if case.trouble {
        instances
            .iter()
            .for_each(|instance| instance.reload(case, &after, more));
    }
    thread::sleep(Duration::from_millis(500));
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
