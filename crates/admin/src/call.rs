//! The calls that there are.

/// A call at the second address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `GET /healthcheck`: can this process serve?
    Healthy,
    /// `GET /stats`: the figures.
    Stats,
    /// `PUT /healthcheck/fail`: leave service.
    Drain,
    /// `PUT /healthcheck/ok`: come back into it.
    Undrain,
}

/// Why a call is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// There is nothing at this path: 404.
    NoSuchPath,
    /// The path is called by this method alone: 405, with `Allow`.
    Only(&'static str),
}

impl Call {
    const ALL: [(&'static str, &'static str, Call); 4] = [
        ("GET", "/healthcheck", Call::Healthy),
        ("GET", "/stats", Call::Stats),
        ("PUT", "/healthcheck/fail", Call::Drain),
        ("PUT", "/healthcheck/ok", Call::Undrain),
    ];

    /// Reads a call from a request's method and path; a query is not part of the path.
    pub fn read(method: &str, path: &str) -> Result<Call, Denied> {
        let (_, needed, call) = Call::ALL
            .map(|(method, p, call)| (p, method, call))
            .into_iter()
            .find(|(p, ..)| *p == path)
            .ok_or(Denied::NoSuchPath)?;
        if method == needed {
            Ok(call)
        } else {
            Err(Denied::Only(needed))
        }
    }
}

#[cfg(test)]
mod tests;
