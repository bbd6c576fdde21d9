//! The header changes of an intermediary, and which requests can be retried.

use dewrun_forwarding::*;
use http::*;

fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    let pair = |(name, value): &(&str, &str)| {
        (
            name.parse().expect("a name"),
            value.parse().expect("a value"),
        )
    };
    pairs.iter().map(pair).collect::<HeaderMap>()
}

fn text(headers: &HeaderMap, name: &str) -> Vec<String> {
    headers
        .get_all(name)
        .iter()
        .map(|v| v.to_str().expect("text").to_string())
        .collect()
}

#[test]
fn hop_by_hop_headers_are_removed() {
    let mut all = HeaderMap::new();
    for (name, value) in [
        ("connection", "close, X-Hop , x-other"),
        (
            "connection",
            "X-Third, Idempotency-Key, Host, X-Forwarded-For",
        ),
        ("x-hop", "1"),
        ("x-other", "1"),
        ("x-third", "1"),
        ("keep-alive", "timeout=5"),
        ("proxy-connection", "close"),
        ("proxy-authorization", "Basic x"),
        ("te", "trailers"),
        ("trailer", "x-sum"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        ("host", "a"),
        ("idempotency-key", "k"),
        ("x-forwarded-for", "1.2.3.4"),
        ("x-kept", "1"),
    ] {
        all.append(
            name.parse::<HeaderName>().expect("a name"),
            value.parse().expect("a value"),
        );
    }
    remove_hop_by_hop_headers(&mut all);
    let mut remaining: Vec<&str> = all.keys().map(HeaderName::as_str).collect();
    remaining.sort_unstable();
    assert_eq!(
        remaining,
        ["host", "idempotency-key", "x-forwarded-for", "x-kept"]
    );
}

#[test]
fn forwarding_headers_are_kept_only_from_a_trusted_peer() {
    let client_headers = [
        ("host", "shop.example:80"),
        ("x-forwarded-for", "9.9.9.9"),
        ("forwarded", "for=9.9.9.9"),
        ("x-forwarded-proto", "https"),
        ("x-real-ip", "9.9.9.9"),
    ];
    let peer = "10.0.0.7".parse().expect("an address");
    let mut trusted = headers(&client_headers);
    set_forwarded_headers(&mut trusted, peer, true);
    assert_eq!(text(&trusted, "x-forwarded-for"), ["9.9.9.9, 10.0.0.7"]);
    let own = "for=10.0.0.7;host=\"shop.example:80\";proto=http";
    assert_eq!(text(&trusted, "forwarded"), [format!("for=9.9.9.9, {own}")]);
    assert_eq!(text(&trusted, "x-forwarded-proto"), ["https"]);
    let mut untrusted = headers(&client_headers);
    set_forwarded_headers(&mut untrusted, peer, false);
    assert_eq!(text(&untrusted, "x-forwarded-for"), ["10.0.0.7"]);
    assert_eq!(text(&untrusted, "forwarded"), [own]);
    assert_eq!(text(&untrusted, "x-forwarded-proto"), ["http"]);
    assert_eq!(text(&untrusted, "x-forwarded-host"), ["shop.example:80"]);
    assert!(text(&untrusted, "x-real-ip").is_empty());
}

#[test]
fn an_ipv6_peer_is_quoted_and_an_unquotable_host_is_omitted() {
    let mut all = headers(&[("host", "a\";x=\"b")]);
    set_forwarded_headers(&mut all, "fe80::1".parse().expect("an address"), false);
    assert_eq!(text(&all, "forwarded"), ["for=\"[fe80::1]\";proto=http"]);
    set_forwarded_headers(
        &mut all,
        "::ffff:10.0.0.1".parse().expect("an address"),
        true,
    );
    assert_eq!(text(&all, "x-forwarded-for"), ["fe80::1, 10.0.0.1"]);
}

#[test]
fn via_and_proxy_status_are_appended() {
    let mut all = headers(&[("via", "1.0 first")]);
    append_via(&mut all, Version::HTTP_11, "edge");
    append_via(&mut all, Version::HTTP_10, "edge2");
    assert_eq!(text(&all, "via"), ["1.0 first, 1.1 edge, 1.0 edge2"]);
    append_proxy_status(&mut all, "edge", "received-status=503");
    assert_eq!(text(&all, "proxy-status"), ["edge; received-status=503"]);
}

#[test]
fn an_upgrade_needs_both_headers_and_connect_is_one() {
    let both = headers(&[
        ("connection", "keep-alive, Upgrade"),
        ("upgrade", "websocket"),
    ]);
    assert!(is_upgrade(&Method::GET, &both));
    assert!(is_upgrade(&Method::CONNECT, &HeaderMap::new()));
    assert!(!is_upgrade(&Method::GET, &headers(&[("upgrade", "h2c")])));
    assert!(!is_upgrade(
        &Method::GET,
        &headers(&[("connection", "upgrade")])
    ));
}

#[test]
fn rule_method_and_key_decide_whether_a_request_can_be_retried() {
    use RetryRule::{IdempotencyKey, IdempotentMethods, SafeMethods};
    use RetrySafety::{AnyEndpoint, Never, WithinKeyScope};
    for (method, has_key, safe, idempotent, keyed) in [
        (Method::GET, false, AnyEndpoint, AnyEndpoint, AnyEndpoint),
        (Method::HEAD, false, AnyEndpoint, AnyEndpoint, AnyEndpoint),
        (
            Method::OPTIONS,
            false,
            AnyEndpoint,
            AnyEndpoint,
            AnyEndpoint,
        ),
        (Method::PUT, false, Never, AnyEndpoint, Never),
        (Method::DELETE, true, Never, AnyEndpoint, WithinKeyScope),
        (Method::POST, false, Never, Never, Never),
        (Method::POST, true, Never, Never, WithinKeyScope),
        (Method::PATCH, true, Never, Never, WithinKeyScope),
        (
            Method::from_bytes(b"PURGE").expect("a method"),
            false,
            Never,
            Never,
            Never,
        ),
    ] {
        let all = [
            SafeMethods,
            IdempotentMethods,
            IdempotencyKey,
            RetryRule::Never,
        ]
        .map(|rule| retry_safety(rule, &method, has_key));
        assert_eq!(all, [safe, idempotent, keyed, Never], "{method} {has_key}");
    }
}

/// Guards against a relayed response that states another length than its body has.
#[test]
fn a_relayed_response_states_the_length_of_its_body() {
    use BodyLength::{Known, Unknown};
    let lengths = [Known(0), Known(5), Unknown];
    let length_headers = [("content-length", "7"), ("transfer-encoding", "chunked")];
    for received in [
        &[][..],
        &length_headers[..1],
        &length_headers[1..],
        &length_headers,
    ] {
        for (status, is_to_head) in [
            (200, false),
            (404, false),
            (500, false),
            (200, true),
            (204, false),
            (304, false),
        ] {
            for (received_length, body) in lengths
                .map(|length| lengths.map(|body| (length, body)))
                .concat()
            {
                let mut all = headers(received);
                let status = StatusCode::from_u16(status).expect("a status");
                let message = RelayedMessage::Response {
                    status,
                    is_to_head,
                    received_length,
                };
                set_length_headers(&mut all, message, body);
                let expected = match status.as_u16() {
                    204 => Unknown,
                    304 => received_length,
                    _ if is_to_head => received_length,
                    _ => body,
                };
                assert_eq!(body_length(&all), Some(expected), "{message:?} {body:?}");
                let has_body = !is_to_head && !matches!(status.as_u16(), 204 | 304);
                assert_eq!(all.len(), usize::from(has_body || expected != Unknown));
            }
        }
    }
}

/// Guards against a forwarded request whose body is dropped, or has another length than is stated.
#[test]
fn a_relayed_request_states_the_length_of_its_body() {
    use BodyLength::{Known, Unknown};
    let search = Method::from_bytes(b"SEARCH").expect("a method");
    for (method, body, headers_left) in [
        (Method::GET, Known(5), 1),
        (Method::GET, Unknown, 1),
        (Method::HEAD, Unknown, 1),
        (Method::POST, Known(5), 1),
        (Method::POST, Unknown, 1),
        (Method::POST, Known(0), 1),
        (Method::PUT, Known(0), 1),
        (Method::PATCH, Known(0), 1),
        (search, Known(0), 1),
        (Method::GET, Known(0), 0),
        (Method::DELETE, Known(0), 0),
        (Method::OPTIONS, Known(0), 0),
    ] {
        let mut all = headers(&[("content-length", "7"), ("transfer-encoding", "chunked")]);
        set_length_headers(&mut all, RelayedMessage::Request { method: &method }, body);
        let stated = if headers_left == 1 { body } else { Unknown };
        assert_eq!(
            (all.len(), body_length(&all)),
            (headers_left, Some(stated)),
            "{method} {body:?}"
        );
    }
}

/// Guards against a length with a sign in a response to HEAD, which hyper does not parse.
#[test]
fn a_content_length_consists_of_digits_alone() {
    for value in ["+5", "-5", "", "0x5", "5 5", "99999999999999999999"] {
        let all = headers(&[("content-length", value)]);
        assert_eq!(body_length(&all), None, "{value}");
    }
    let all = headers(&[("content-length", "5")]);
    assert_eq!(body_length(&all), Some(BodyLength::Known(5)));
}

#[test]
fn contradictory_length_headers_are_rejected() {
    let known = |pairs: &[_]| match body_length(&headers(pairs)) {
        Some(BodyLength::Known(length)) => Some(Some(length)),
        Some(BodyLength::Unknown) => Some(None),
        None => None,
    };
    assert_eq!(known(&[]), Some(None));
    assert_eq!(known(&[("content-length", "5")]), Some(Some(5)));
    assert_eq!(known(&[("transfer-encoding", "Chunked")]), Some(None));
    for pairs in [
        &[("content-length", "5"), ("content-length", "5")][..],
        &[("content-length", "5, 5")],
        &[("content-length", "-5")],
        &[("transfer-encoding", "gzip, chunked")],
        &[
            ("transfer-encoding", "chunked"),
            ("transfer-encoding", "chunked"),
        ],
    ] {
        assert_eq!(known(pairs), None, "{pairs:?}");
    }
}
