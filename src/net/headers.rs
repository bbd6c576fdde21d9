//! Reading headers that may stand once.

use hyper::header::HeaderMap;

/// The value of a header that stands there exactly once, if it is text.
pub fn single_header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    if values.next().is_some() {
        return None;
    }
    value.to_str().ok()
}
