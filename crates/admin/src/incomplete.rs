//! Responses of endpoints that were not relayed completely, by cause.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

/// Why a response of an endpoint was not relayed completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncompleteResponse {
    /// Its head states no valid length.
    MalformedLength,
    /// Its connection was reset, or ended before the body did, or what came on it is malformed.
    CutOff,
    /// The endpoint sent nothing for too long, or the time of the request was over.
    Stalled,
    /// The client left, or read nothing for too long.
    Unread,
}

impl IncompleteResponse {
    /// All causes.
    pub const ALL: [IncompleteResponse; 4] = [
        IncompleteResponse::MalformedLength,
        IncompleteResponse::CutOff,
        IncompleteResponse::Stalled,
        IncompleteResponse::Unread,
    ];

    /// Returns the name in the metrics and in the log.
    pub fn text(self) -> &'static str {
        match self {
            IncompleteResponse::MalformedLength => "malformed_length",
            IncompleteResponse::CutOff => "cut_off",
            IncompleteResponse::Stalled => "stalled",
            IncompleteResponse::Unread => "unread",
        }
    }
}

/// The label of a counter. The field name is the label name in the metrics text.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

/// The counters of all causes. Clones count together.
#[derive(Clone, Default)]
pub struct IncompleteResponses(Family<CauseLabel, Counter>);

impl IncompleteResponses {
    /// Creates the time series, and registers them.
    pub(crate) fn register(&self, registry: &mut prometheus_client::registry::Registry) {
        for cause in IncompleteResponse::ALL {
            self.counter(cause);
        }
        registry.register(
            "incomplete_responses",
            "Responses of backends that were not relayed whole, by cause",
            self.0.clone(),
        );
    }

    /// Counts a response.
    pub fn count(&self, cause: IncompleteResponse) {
        self.counter(cause).inc();
    }

    fn counter(&self, cause: IncompleteResponse) -> Counter {
        let cause = cause.text();
        self.0.get_or_create(&CauseLabel { cause }).clone()
    }
}
