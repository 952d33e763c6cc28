//! Names of the HTTP headers; docs/CALLERS.md tells callers what they mean.

/// Binding of an at-most-once request to the ledger of one host.
pub const BINDING: &str = "lavender-binding";

/// Address of the caller, set by a gateway that sends on its behalf.
pub const CLIENT: &str = "lavender-client";

/// Time left for the request, in milliseconds.
pub const DEADLINE: &str = "lavender-deadline-ms";

/// Error kind of a response that did not come from a target.
pub const ERROR: &str = "lavender-error";

/// Chosen by the caller; identical in each resend of one booking.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Quarantine mark of a request that crashed targets, passed between the two hosts of a hop.
pub const MARK: &str = "lavender-mark";

/// Member whose service is requested.
pub const MEMBER: &str = "lavender-member";

/// Proof that a request comes from a host of the member.
pub const PEER_AUTH: &str = "lavender-peer-auth";

/// Whether the request ran: `no`, `unknown`, `yes`.
pub const RAN: &str = "lavender-ran";

/// Id of the request, echoed in the response.
pub const REQUEST: &str = "lavender-request-id";

/// Whether, and how, the caller may send it again: `never`, `same`, `fresh`.
pub const RESEND: &str = "lavender-resend";

/// Seconds until a resend may succeed.
pub const RETRY_AFTER: &str = "retry-after";

/// Why another host forwarded the request: `ledger-hop`, `hedge-hop` or `slot-hop`.
pub const VIA: &str = "lavender-via";

/// Prefix of all headers of this protocol; those that callers send are not passed to targets.
pub const PREFIX: &str = "lavender-";
