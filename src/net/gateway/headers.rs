//! The headers of a request as they are forwarded.

use super::Gateway;
use crate::net::client::ClientConnection;
use crate::net::headers::{is_request_id, single_header};
use crate::net::installation::ActiveInstallation;
use dewrun_forwarding::{append_via, remove_hop_by_hop_headers, set_forwarded_headers};
use hyper::header::{HeaderName, HeaderValue, HOST};
use hyper::http::request::Parts;
use std::net::{IpAddr, Ipv4Addr};

/// The header with the id by which all logs name a request.
pub(super) const REQUEST_ID: HeaderName = HeaderName::from_static("request-id");

impl Gateway {
    /// Rewrites a request's headers for forwarding.
    pub(super) fn prepare_headers(
        &self,
        installation: &ActiveInstallation,
        connection: &ClientConnection,
        head: &mut Parts,
    ) {
        let headers = &mut head.headers;
        // The host of an absolute target replaces that of the Host header (RFC 9112, 3.2.2).
        let authority = head.uri.authority();
        let authority = authority.and_then(|a| HeaderValue::from_str(a.as_str()).ok());
        if let Some(authority) = authority {
            headers.insert(HOST, authority);
        }
        remove_hop_by_hop_headers(headers);
        let peer = connection.socket.peer();
        let peer = peer.map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
        let trusted = &installation.config.listeners[connection.listener].trusted;
        let is_trusted = trusted.iter().any(|network| network.contains(peer));
        set_forwarded_headers(headers, peer, is_trusted);
        append_via(headers, head.version, installation.name());
        let id = single_header(headers, REQUEST_ID.as_str());
        if !id.is_some_and(is_request_id) {
            headers.insert(REQUEST_ID, self.generate_request_id());
        }
    }

    fn generate_request_id(&self) -> HeaderValue {
        let number = self.generated_ids.get();
        self.generated_ids.set(number + 1);
        request_id(self.context.seed, number)
    }
}

/// Returns an id that is unique in this process, and very probably across processes.
fn request_id(seed: u64, number: u64) -> HeaderValue {
    // SplitMix64 is a permutation: with one seed, different numbers give different ids.
    let mut z = seed.wrapping_add(number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    HeaderValue::from_str(&format!("{:016x}", z ^ (z >> 31)))
        .unwrap_or(HeaderValue::from_static("0"))
}
