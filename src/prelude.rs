//! Imports that almost every module needs.

pub use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

pub use serde::{Deserialize, Serialize};

pub use crate::base::{
    Binding, Clock, ErrorKind, Generation, HostId, Incarnation, MemberId, Moment, Ran, RegionId,
    RequestId, Sequence, ServiceId, TargetId, TeamId, ZoneId,
};
