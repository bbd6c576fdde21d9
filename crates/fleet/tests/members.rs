//! Who of a fleet is up.

use dewrun_fleet::members::*;
use proptest::prelude::*;
use std::net::SocketAddr;

const S: Micros = 1_000_000;

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_100 + n as u16))
}

fn member(n: usize, started_ms: u64) -> Member {
    let name = format!("i{n}");
    Member { address: address(n), name, site: String::new(), started_ms, life: n as u64 + 1, renewed: 0 }
}

/// Processes that hear each other at once, but for those cut off.
struct Net {
    all: Vec<Option<Members>>,
    now: Micros,
    cut: Vec<(usize, usize)>,
    bytes: usize,
}

impl Net {
    fn new(n: usize) -> Net {
        let seeds: Vec<SocketAddr> = (0..3).map(address).collect();
        let start = |at| Some(Members::new(0, member(at, 1_000), &seeds, at as u64));
        Net { all: (0..n).map(start).collect(), now: 0, cut: Vec::new(), bytes: 0 }
    }

    fn deliver(&mut self, from: usize, packets: Packets) {
        let mut queue: Vec<(usize, SocketAddr, Vec<u8>)> =
            packets.into_iter().map(|(to, bytes)| (from, to, bytes)).collect();
        while let Some((from, to, bytes)) = queue.pop() {
            let to = usize::from(to.port() - 7_100);
            self.bytes += bytes.len();
            if self.cut.contains(&(from, to)) {
                continue;
            }
            if let Some(Some(members)) = self.all.get_mut(to) {
                queue.extend(members.take(self.now, &bytes).0.into_iter().map(|(on, b)| (to, on, b)));
            }
        }
    }

    fn run(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now += 50_000;
            for at in 0..self.all.len() {
                let Some(members) = &mut self.all[at] else { continue };
                let (packets, _) = members.tick(self.now);
                self.deliver(at, packets);
            }
        }
    }

    fn up(&self, at: usize) -> usize {
        self.all[at].as_ref().map_or(0, |members| members.up().len())
    }
}

#[test]
fn all_find_each_other_and_miss_the_dead() {
    let mut net = Net::new(12);
    net.run(5 * S);
    assert!((0..12).all(|at| net.up(at) == 12), "{:?}", (0..12).map(|at| net.up(at)).collect::<Vec<_>>());
    net.all[4] = None;
    net.run(20 * S);
    assert!((0..12).filter(|at| *at != 4).all(|at| net.up(at) == 11));
    net.all[4] = Some(Members::new(net.now, member(4, 99_000), &[address(0)], 99));
    net.run(10 * S);
    assert!((0..12).all(|at| net.up(at) == 12), "it is back in its next life");
}

#[test]
fn one_that_is_heard_by_some_is_not_lost() {
    let mut net = Net::new(6);
    net.run(5 * S);
    // One way: nobody but 1 hears 5.
    net.cut = [0, 2, 3, 4].map(|to| (5, to)).into();
    net.run(30 * S);
    assert!((0..6).all(|at| net.up(at) == 6), "{:?}", (0..6).map(|at| net.up(at)).collect::<Vec<_>>());
}

#[test]
fn halves_that_were_cut_off_find_each_other_again() {
    let mut net = Net::new(6);
    net.run(5 * S);
    net.cut = (0..3).flat_map(|a| (3..6).flat_map(move |b| [(a, b), (b, a)])).collect();
    net.run(30 * S);
    assert!((0..6).all(|at| net.up(at) == 3));
    net.cut.clear();
    net.run(20 * S);
    assert!((0..6).all(|at| net.up(at) == 6), "{:?}", (0..6).map(|at| net.up(at)).collect::<Vec<_>>());
}

#[test]
fn of_two_with_one_name_the_later_holds() {
    let mut net = Net::new(3);
    let twin = Member { name: "i1".into(), ..member(3, 5_000) };
    net.all.push(Some(Members::new(0, twin, &[address(0)], 7)));
    net.run(5 * S);
    let rival = |at: usize| net.all[at].as_ref().and_then(|m| m.rival()).map(|m| m.address);
    assert_eq!((rival(1), rival(3)), (Some(address(3)), None));
}

#[test]
fn at_rest_little_is_said() {
    let mut net = Net::new(12);
    net.run(10 * S);
    net.bytes = 0;
    net.run(30 * S);
    let each = net.bytes as f64 / 12.0 / 30.0;
    println!("{each:.0} bytes a second each");
    assert!(each < 2_000.0, "{each}");
}

proptest! {
    #[test]
    fn hostile_bytes_change_nothing(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let mut members = Members::new(0, member(0, 1_000), &[address(1)], 1);
        let before = members.up().len();
        members.take(1, &bytes);
        prop_assert!(members.up().len() <= before + 1);
    }
}
