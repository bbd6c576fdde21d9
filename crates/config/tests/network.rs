//! Parsing of IP networks, and their addresses.

use dewrun_config::Network;

#[test]
fn a_network_contains_the_addresses_with_its_prefix() {
    for (network, address, is_contained) in [
        ("10.0.0.0/8", "10.200.1.2", true),
        ("10.0.0.0/8", "11.0.0.0", false),
        ("10.0.0.0/8", "::ffff:10.1.1.1", true),
        ("127.0.0.1", "127.0.0.1", true),
        ("127.0.0.1", "127.0.0.2", false),
        ("0.0.0.0/0", "8.8.8.8", true),
        ("0.0.0.0/0", "::1", false),
        ("fd00::/8", "fdab::1", true),
        ("::/0", "fe80::1", true),
        ("::1", "::2", false),
    ] {
        let network: Network = network.parse().expect("a network");
        assert_eq!(
            network.contains(address.parse().expect("an address")),
            is_contained,
            "{network:?} {address}"
        );
    }
    for text in [
        "",
        "10",
        "10.0.0.0/33",
        "10.0.0.0/x",
        "::/129",
        "10.0.0.0/-1",
        "10.0.0.0/8/8",
    ] {
        assert!(text.parse::<Network>().is_err(), "{text}");
    }
}
