//! What a measurement gives.

use serde::Serialize;

use super::fit::{Fit, Point, fit};

/// How much is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scale {
    /// The sizes of the page.
    Full,
    /// A fiftieth of them, to see that the measurement runs.
    Quick,
}

impl Scale {
    /// The size to measure for a size of the page.
    pub fn size(self, full: usize) -> usize {
        match self {
            Scale::Full => full,
            Scale::Quick => full.div_ceil(50),
        }
    }
}

/// Where a value comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Basis {
    /// Follows from measurements of this run.
    Measured,
    /// Follows from constants of the code and sizes of the target alone.
    WorkedOut,
}

impl Basis {
    /// As the page has it.
    pub fn as_str(self) -> &'static str {
        match self {
            Basis::Measured => "measured",
            Basis::WorkedOut => "worked out",
        }
    }
}

/// What is used up.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Resource {
    /// Share of a core of a daemon, for control.
    ControlCpu,
    /// Bytes a second of a daemon, for control.
    ControlWire,
    /// Seconds from accepted to in force on the last host.
    InForce,
    /// Bytes of a daemon.
    Memory,
    /// Reads a second at the platform, from all daemons, waiting watches included.
    PlatformReads,
    /// Writes a second at the platform, from all daemons.
    PlatformWrites,
    /// Share of a core of a daemon, for callers' traffic.
    TrafficCpu,
}

/// A cost that was measured at several sizes and followed to the target's size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// What the size counts, such as `hosts`.
    pub axis: &'static str,
    pub fit: Option<Fit>,
    pub name: &'static str,
    pub points: Vec<Point>,
    /// The target's size.
    pub target: f64,
    pub unit: &'static str,
    /// The fitted line at the target's size.
    pub value: f64,
}

impl Figure {
    /// Measures at each size.
    pub fn sweep(
        name: &'static str,
        unit: &'static str,
        axis: &'static str,
        sizes: impl IntoIterator<Item = usize>,
        target: usize,
        mut measure: impl FnMut(usize) -> f64,
    ) -> Self {
        let point = |size| Point { size: size as f64, value: measure(size) };
        let points = sizes.into_iter().map(point).collect();
        Self::of(name, unit, axis, points, target)
    }

    /// From points that were measured already.
    pub fn of(
        name: &'static str,
        unit: &'static str,
        axis: &'static str,
        points: Vec<Point>,
        target: usize,
    ) -> Self {
        let fit = fit(&points);
        let last = points.last().map_or(0.0, |point| point.value);
        let target = target as f64;
        let value = fit.map_or(last, |fit| fit.at(target));
        Self { axis, fit, name, points, target, unit, value }
    }
}

/// One use of a resource at the target's size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Load {
    pub basis: Basis,
    /// How the value came about.
    pub how: String,
    pub resource: Resource,
    pub value: f64,
}

impl Load {
    pub fn measured(resource: Resource, value: f64, how: impl Into<String>) -> Self {
        Self { basis: Basis::Measured, how: how.into(), resource, value }
    }

    pub fn worked_out(resource: Resource, value: f64, how: impl Into<String>) -> Self {
        Self { basis: Basis::WorkedOut, how: how.into(), resource, value }
    }
}

/// One role of a daemon.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RoleCost {
    pub figures: Vec<Figure>,
    pub loads: Vec<Load>,
    /// What carries the role at that size.
    pub mechanism: &'static str,
    /// What it sends and receives.
    pub messages: &'static str,
    pub role: &'static str,
    /// What it holds.
    pub state: &'static str,
}
