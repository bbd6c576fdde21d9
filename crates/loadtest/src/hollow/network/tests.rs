use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// The filter of a hollow process, in a fleet whose one real process has port 1.
fn filter(network: &Arc<Network>, port: u16) -> SocketFilter {
    let real = Arc::new(HashSet::from([address(1)]));
    SocketFilter::new(network.clone(), real, address(port), u64::from(port))
}

#[test]
fn a_cut_drops_packets_between_the_sides_and_none_within_a_side() {
    let network: Arc<Network> = Arc::default();
    let (inside, outside) = (filter(&network, 10), filter(&network, 20));
    network.cut(HashSet::from([address(10), address(11)]));
    assert!(!inside.sends(address(20)) && !inside.receives(address(20)));
    assert!(!outside.sends(address(10)) && !outside.receives(address(10)));
    assert!(
        !inside.sends(address(1)) && !inside.receives(address(1)),
        "real processes are outside of the cut"
    );
    assert!(inside.sends(address(11)) && inside.receives(address(11)));
    assert!(outside.sends(address(1)) && outside.receives(address(21)));
    network.repair();
    assert!(inside.sends(address(20)) && outside.receives(address(10)));
}

#[test]
fn packet_loss_applies_at_one_end_only() {
    let network: Arc<Network> = Arc::default();
    let hollow = filter(&network, 10);
    network.set_loss(1.0);
    assert!(!hollow.sends(address(20)) && !hollow.sends(address(1)));
    assert!(
        !hollow.receives(address(1)),
        "a real process has no filter, so its packets are dropped by the receiver"
    );
    assert!(
        hollow.receives(address(20)),
        "packets of a hollow process are dropped by the sender"
    );
    network.repair();
    assert!(hollow.sends(address(20)) && hollow.receives(address(1)));
}
