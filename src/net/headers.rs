//! Header parsing for both request handlers.

use hyper::header::HeaderMap;

const MAX_REQUEST_ID_BYTES: usize = 128;

/// Returns the value of a header that occurs exactly once and is text.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}

/// Returns whether a text is a valid request id: 1 to 128 visible ASCII characters.
pub fn is_request_id(text: &str) -> bool {
    (1..=MAX_REQUEST_ID_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}
