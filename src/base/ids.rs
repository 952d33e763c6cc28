//! Type aliases for identifiers. Text identifiers are cheap to clone.

use std::sync::Arc;

/// Number of a ledger generation within one incarnation; incremented at each rotation.
pub type Generation = u32;

/// Name of an entry host, unique within its member.
pub type HostId = Arc<str>;

/// Random number chosen by a host at each start; a restarted host is a new incarnation.
pub type Incarnation = u64;

/// Name of a member of the consortium.
pub type MemberId = Arc<str>;

/// Name of a region, unique within its member.
pub type RegionId = Arc<str>;

/// Identifier of a request, chosen by the caller or by the first host that receives the request.
pub type RequestId = Arc<str>;

/// Number of a manifest, assigned by the member's pipeline. The number of the manifest in force
/// only increases.
pub type Sequence = u64;

/// Name of a service, unique within its member.
pub type ServiceId = Arc<str>;

/// Name of a team, unique within its declaration.
pub type TeamId = Arc<str>;

/// Name of a target, unique within its member.
pub type TargetId = Arc<str>;

/// Name of an availability zone, unique within its member.
pub type ZoneId = Arc<str>;
