//! The headers that a proxy removes, sets and appends to.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Version};
use std::net::IpAddr;

/// The headers that are hop-by-hop whether or not `Connection` names them (RFC 9110, 7.6.1).
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];
/// End-to-end headers that are kept even if `Connection` names them; otherwise a client could use
/// `Connection` to hide them from the endpoint.
const PROTECTED_HEADERS: [HeaderName; 8] = [
    header::HOST,
    header::AUTHORIZATION,
    header::COOKIE,
    header::CONTENT_LENGTH,
    header::CONTENT_TYPE,
    header::VIA,
    HeaderName::from_static("idempotency-key"),
    HeaderName::from_static("request-id"),
];
const FORWARDED_FOR: HeaderName = HeaderName::from_static("x-forwarded-for");
const FORWARDED_HOST: HeaderName = HeaderName::from_static("x-forwarded-host");
const FORWARDED_PROTO: HeaderName = HeaderName::from_static("x-forwarded-proto");
/// The headers that state the origin of a request. An untrusted client could forge them.
const CLIENT_ORIGIN_HEADERS: [HeaderName; 5] = [
    header::FORWARDED,
    FORWARDED_FOR,
    FORWARDED_HOST,
    FORWARDED_PROTO,
    HeaderName::from_static("x-real-ip"),
];
/// The header in which proxies state how they handled a response (RFC 9209).
pub const PROXY_STATUS: HeaderName = HeaderName::from_static("proxy-status");

/// Removes the hop-by-hop headers, including those that `Connection` names.
///
/// `Expect` is removed too, because the proxy itself sends `100 Continue` to its client when it
/// reads the body.
pub fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let named_by_connection: Vec<HeaderName> = connection_options(headers)
        .filter_map(|option| option.parse().ok())
        .filter(|name| !PROTECTED_HEADERS.contains(name) && !CLIENT_ORIGIN_HEADERS.contains(name))
        .collect();
    for name in named_by_connection.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::EXPECT);
}

/// Returns whether a request asks to change the connection to another protocol (RFC 9110, 7.8).
pub fn is_upgrade(method: &Method, headers: &HeaderMap) -> bool {
    let has_upgrade_option =
        || connection_options(headers).any(|option| option.eq_ignore_ascii_case("upgrade"));
    method == Method::CONNECT || (headers.contains_key(header::UPGRADE) && has_upgrade_option())
}

/// Returns the options of all `Connection` headers, without surrounding white space.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(str::trim)
}

/// Records the origin of a request in its forwarding headers.
///
/// Appends the client's address to `Forwarded` (RFC 7239, 4) and `X-Forwarded-For`, and sets
/// `X-Forwarded-Proto` and `X-Forwarded-Host` unless they are present. The values that the client
/// itself sent in these headers are kept if the client `is_trusted`, and removed otherwise.
pub fn set_forwarded_headers(headers: &mut HeaderMap, client: IpAddr, is_trusted: bool) {
    if !is_trusted {
        for name in &CLIENT_ORIGIN_HEADERS {
            headers.remove(name);
        }
    }
    let client = client.to_canonical();
    let host = headers.get(header::HOST).cloned();
    let element = forwarded_element(client, host.as_ref());
    append_list_member(headers, &header::FORWARDED, &element);
    append_list_member(headers, &FORWARDED_FOR, &client.to_string());
    headers
        .entry(FORWARDED_PROTO)
        .or_insert(HeaderValue::from_static("http"));
    if let Some(host) = host {
        headers.entry(FORWARDED_HOST).or_insert(host);
    }
}

/// Returns one element of `Forwarded`. A host that could end its quoted string is omitted.
fn forwarded_element(client: IpAddr, host: Option<&HeaderValue>) -> String {
    // RFC 7239, 6: an IPv6 address is enclosed in brackets and quotes.
    let node = if client.is_ipv6() {
        format!("\"[{client}]\"")
    } else {
        client.to_string()
    };
    match host.and_then(|host| host.to_str().ok()) {
        Some(host) if can_be_quoted(host) => format!("for={node};host=\"{host}\";proto=http"),
        _ => format!("for={node};proto=http"),
    }
}

/// Returns whether a host consists of bytes that need no escape in a quoted string.
fn can_be_quoted(host: &str) -> bool {
    host.bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-._~[]:".contains(&byte))
}

/// Appends this proxy to `Via` (RFC 9110, 7.6.3), with the protocol version in which the message
/// was received. `proxy_name` must be a token.
pub fn append_via(headers: &mut HeaderMap, received_version: Version, proxy_name: &str) {
    let version = if received_version == Version::HTTP_10 {
        "1.0"
    } else {
        "1.1"
    };
    append_list_member(headers, &header::VIA, &format!("{version} {proxy_name}"));
}

/// Appends this proxy and how it handled a response to `Proxy-Status` (RFC 9209, 2).
///
/// `parameter` is `error=...` for a response of the proxy itself, and `received-status=...` for a
/// response of an endpoint.
pub fn append_proxy_status(headers: &mut HeaderMap, proxy_name: &str, parameter: &str) {
    append_list_member(
        headers,
        &PROXY_STATUS,
        &format!("{proxy_name}; {parameter}"),
    );
}

/// Appends a member to a list header, and combines all lines of the header into one. If an existing
/// value is not visible ASCII, the member replaces the whole list.
fn append_list_member(headers: &mut HeaderMap, name: &HeaderName, member: &str) {
    let existing: Option<Vec<&str>> = headers
        .get_all(name)
        .iter()
        .map(|value| value.to_str().ok())
        .collect();
    let mut members = existing.unwrap_or_default();
    members.push(member);
    if let Ok(value) = HeaderValue::from_str(&members.join(", ")) {
        headers.insert(name, value);
    }
}
