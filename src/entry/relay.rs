//! Requests that a host that reaches no target passes on to another host.
//!
//! They arrive at a listener of their own and are served like those of callers: the serving host
//! checks the key, admits the request within its team's limit and places it. It makes one attempt and
//! never passes the request on, so that there is one hop at most. The sending host keeps the attempts
//! of the route, and decides about retries and hedges.

use http::{HeaderMap, HeaderName, HeaderValue};

use crate::{placement::TargetTag, prelude::*};

/// Header of a relayed request, and of the response to it.
const RELAY: HeaderName = HeaderName::from_static("lavender-relay");

/// Maximum number of tried targets that are named.
const MAX_TRIED_TARGETS: usize = 8;

/// What the sending host states of a relayed request. Nothing in it permits more than a caller may.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedRequest {
    /// The sending host has counted the request towards the demand of its callers.
    pub is_counted: bool,
    /// An earlier attempt may have reached a target, so that this one counts as a retry.
    pub is_retry: bool,
    /// Targets that are not to be tried again.
    pub tried_targets: Vec<TargetTag>,
}

/// What the serving host states of its response.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedResponse {
    /// Why the host answers by itself; `None` if it passes on a target's response.
    pub error: Option<ErrorKind>,
    /// The target that responded, or was tried last.
    pub target: Option<(TargetId, TargetTag)>,
}

impl RelayedRequest {
    /// Writes the statement into the headers of a request.
    pub fn add_to(mut self, headers: &mut HeaderMap) {
        let excess = self.tried_targets.len().saturating_sub(MAX_TRIED_TARGETS);
        self.tried_targets.drain(..excess);
        add(headers, &self);
    }

    /// Removes the statement from the headers of a request.
    pub fn take_from(headers: &mut HeaderMap) -> Self {
        take(headers).unwrap_or_default()
    }
}

impl RelayedResponse {
    /// Writes the statement into the headers of a response, in place of any that a target sent.
    pub fn add_to(&self, headers: &mut HeaderMap) {
        add(headers, self);
    }

    /// Removes the statement from the headers of a response; `None` if it is missing or unreadable.
    pub fn take_from(headers: &mut HeaderMap) -> Option<Self> {
        take(headers)
    }
}

fn add(headers: &mut HeaderMap, statement: &impl Serialize) {
    let text = serde_json::to_string(statement).expect("plain fields can be encoded");
    // Ids of targets may contain characters that headers do not allow.
    let text: String = text.chars().map(|c| if c.is_ascii() { c } else { '?' }).collect();
    headers.remove(RELAY);
    if let Ok(value) = HeaderValue::from_str(&text) {
        headers.insert(RELAY, value);
    }
}

fn take<T: serde::de::DeserializeOwned>(headers: &mut HeaderMap) -> Option<T> {
    let value = headers.remove(RELAY)?;
    serde_json::from_slice(value.as_bytes()).ok()
}
