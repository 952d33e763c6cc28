//! Names of the HTTP headers; docs/CALLERS.md tells callers what they mean.

/// Owner binding of a request that may run at most once.
pub const BINDING: &str = "lavender-binding";

/// Address of the caller, where a gateway sends on its behalf.
pub const CLIENT: &str = "lavender-client";

/// Time left for the request, in milliseconds.
pub const DEADLINE: &str = "lavender-deadline-ms";

/// Error kind of an answer that no target gave.
pub const ERROR: &str = "lavender-error";

/// Chosen by the caller; the same for each resend of one booking.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// What a host knows of a request that crashed targets, told to the host at the other end of a hop.
pub const MARK: &str = "lavender-mark";

/// Member whose service is asked for.
pub const MEMBER: &str = "lavender-member";

/// Proof that a request comes from a host of the member.
pub const PEER_AUTH: &str = "lavender-peer-auth";

/// Whether the request ran: `no`, `unknown`, `yes`.
pub const RAN: &str = "lavender-ran";

/// Id of the request, echoed in the answer.
pub const REQUEST: &str = "lavender-request-id";

/// Whether, and how, the caller may send it again: `never`, `same`, `fresh`.
pub const RESEND: &str = "lavender-resend";

/// Seconds until a resend may succeed.
pub const RETRY_AFTER: &str = "retry-after";

/// How a request came from another host: `ledger-hop`, `slot-hop`.
pub const VIA: &str = "lavender-via";

/// Prefix of all headers that are ours; targets never see those that callers send.
pub const PREFIX: &str = "lavender-";
