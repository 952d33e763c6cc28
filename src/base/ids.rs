//! Aliases for ids. All text ids are cheap to clone.

use std::sync::Arc;

/// Number of a ledger generation within one incarnation; rises by one at each rotation.
pub type Generation = u32;

/// Name of an entry host, unique within its member.
pub type HostId = Arc<str>;

/// Random number that a host draws at each start; a restarted host is a new incarnation.
pub type Incarnation = u64;

/// Name of a member of the consortium.
pub type MemberId = Arc<str>;

/// Name of a region, unique within its member.
pub type RegionId = Arc<str>;

/// Id of one request, chosen by the caller or by the first host that sees the request.
pub type RequestId = Arc<str>;

/// Number of a manifest, given by the member's pipeline; in force it only rises.
pub type Sequence = u64;

/// Name of a service, unique within its member.
pub type ServiceId = Arc<str>;

/// Name of a team, unique within its declaration.
pub type TeamId = Arc<str>;

/// Name of a target, unique within its member.
pub type TargetId = Arc<str>;

/// Name of an availability zone, unique within its member.
pub type ZoneId = Arc<str>;
