//! Headers that both request handlers read.

use hyper::header::HeaderMap;

const MAX_REQUEST_ID_BYTES: usize = 128;

/// The value of a header that stands there exactly once, if it is text.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}

/// Whether a text can be a request's id: 1 to 128 visible ASCII characters.
pub fn is_request_id(text: &str) -> bool {
    (1..=MAX_REQUEST_ID_BYTES).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}
