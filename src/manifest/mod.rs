//! A member's declared intent: services, targets, limits, caps, client blocks, drains.

mod model;

pub use self::model::{
    ClientBlock, DrainScope, Manifest, Region, Service, ServiceKind, Share, Target, Weighing,
};
