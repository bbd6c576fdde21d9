//! What an HTTP intermediary owes the messages that it forwards (RFC 9110, 7.6; RFC 7239; RFC
//! 9209). Pure.
//!
//! - [`strip`] takes off what belongs to one connection.
//! - [`tell_origin`] says where a request came from, and believes what it says itself only from
//!   trusted peers.
//! - [`via`] and [`proxy_status`] say through what a message went, and whose answer it is.
//! - [`repeat`] says whether a request could be sent again, by its method and by what its class
//!   declares.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use http::{Method, Version};
use std::net::IpAddr;

/// Headers of one connection, whatever `Connection` says (RFC 9110, 7.6.1).
const CONNECTION_HEADERS: [HeaderName; 9] = [
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
/// Headers that `Connection` can't take off: a caller could use it to hide them from the backend.
const KEPT: [HeaderName; 8] = [
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
/// All by which a caller could claim to come from elsewhere.
const ORIGIN: [HeaderName; 5] = [
    header::FORWARDED,
    FORWARDED_FOR,
    FORWARDED_HOST,
    FORWARDED_PROTO,
    HeaderName::from_static("x-real-ip"),
];
/// Whose answer it is (RFC 9209).
pub const PROXY_STATUS: HeaderName = HeaderName::from_static("proxy-status");

/// Takes off the headers of one connection, those that `Connection` names among them. `Expect` is
/// this hop's too: the body is asked for where it is read.
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !KEPT.contains(name) && !ORIGIN.contains(name))
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers.remove(header::EXPECT);
}

/// Whether a request wants to change the connection to another protocol (RFC 9110, 7.8).
pub fn is_upgrade(method: &Method, headers: &HeaderMap) -> bool {
    let names = headers.get_all(header::CONNECTION);
    let named = |value: &HeaderValue| {
        value.to_str().is_ok_and(|text| {
            text.split(',')
                .any(|n| n.trim().eq_ignore_ascii_case("upgrade"))
        })
    };
    method == Method::CONNECT || (headers.contains_key(header::UPGRADE) && names.iter().any(named))
}

/// Says where a request came from: adds the peer to `Forwarded` (RFC 7239, 4) and
/// `X-Forwarded-For`, and sets the host and the scheme that it asked for. What stands there already
/// is kept if the peer is trusted, and dropped if not.
pub fn tell_origin(headers: &mut HeaderMap, peer: IpAddr, trusted: bool) {
    if !trusted {
        ORIGIN.iter().for_each(|name| drop(headers.remove(name)));
    }
    let peer = peer.to_canonical();
    let host = headers.get(header::HOST).cloned();
    // An IPv6 address is bracketed and quoted there (RFC 7239, 6).
    let node = if peer.is_ipv6() {
        format!("\"[{peer}]\"")
    } else {
        peer.to_string()
    };
    let mut element = format!("for={node}");
    if let Some(host) = host.as_ref().and_then(|host| host.to_str().ok()) {
        let quoted = host
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"-._~[]:".contains(&b));
        if quoted {
            element.push_str(&format!(";host=\"{host}\""));
        }
    }
    element.push_str(";proto=http");
    join(headers, &header::FORWARDED, &element);
    join(headers, &FORWARDED_FOR, &peer.to_string());
    headers
        .entry(FORWARDED_PROTO)
        .or_insert(HeaderValue::from_static("http"));
    if let Some(host) = host {
        headers.entry(FORWARDED_HOST).or_insert(host);
    }
}

/// Adds this proxy to `Via` (RFC 9110, 7.6.3); `name` must be a token.
pub fn via(headers: &mut HeaderMap, version: Version, name: &str) {
    let version = if version == Version::HTTP_10 {
        "1.0"
    } else {
        "1.1"
    };
    join(headers, &header::VIA, &format!("{version} {name}"));
}

/// Says what this proxy did (RFC 9209, 2): an own answer carries an `error`, a backend's own a
/// `received-status`.
pub fn proxy_status(headers: &mut HeaderMap, name: &str, parameter: &str) {
    join(headers, &PROXY_STATUS, &format!("{name}; {parameter}"));
}

/// Adds a member to a list, in one line with what stands there. A value that is no text is left to
/// stand alone.
fn join(headers: &mut HeaderMap, name: &HeaderName, member: &str) {
    let before: Option<Vec<&str>> = headers
        .get_all(name)
        .iter()
        .map(|value| value.to_str().ok())
        .collect();
    let mut members = before.unwrap_or_default();
    members.push(member);
    if let Ok(value) = HeaderValue::from_str(&members.join(", ")) {
        headers.insert(name, value);
    }
}

/// What a class declares of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Declared {
    /// Nothing: the method tells.
    ByMethod,
    /// PUT and DELETE can be repeated as well.
    Repeatable,
    /// Others can be repeated as well where they carry a key.
    Keyed,
    /// Nothing can be repeated.
    Once,
}

/// Whether a request that may have run could be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Anywhere, at any time.
    Anywhere,
    /// Where its key is known.
    WithKey,
    /// Never.
    Never,
}

/// Whether a request could be repeated. Safe methods can (RFC 9110, 9.2.1), unless the class says
/// that nothing can. Idempotent methods (9.2.2) can only where the class says so: a PUT or DELETE
/// that comes late can undo what was done between. All other methods can only with a key, in a
/// class whose backends drop repeats.
pub fn repeat(declared: Declared, method: &Method, has_key: bool) -> Repeat {
    let safe = method.is_safe();
    let idempotent = safe || *method == Method::PUT || *method == Method::DELETE;
    match declared {
        Declared::Once => Repeat::Never,
        _ if safe => Repeat::Anywhere,
        Declared::Repeatable if idempotent => Repeat::Anywhere,
        Declared::Keyed if has_key => Repeat::WithKey,
        _ => Repeat::Never,
    }
}
