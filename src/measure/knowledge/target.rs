//! Simulated target with slots, a queue and an LRU cache of objects.

use std::collections::VecDeque;

use super::load::{HIT_MS, MISS_MS, SLOTS};
use crate::placement::{Forecast, ObjectTag};

/// Objects that a target caches.
const CACHE_CAPACITY: usize = 32;

/// Requests that a target accepts, running and queued.
const MAX_REQUESTS: usize = 12;

/// A request sent to a target.
#[derive(Clone, Debug)]
pub(super) struct Run {
    /// When the request reached the host, in milliseconds since the start.
    pub arrived: u64,
    pub forecast: Forecast,
    pub host: usize,
    pub object: ObjectTag,
    /// When the host sent it to the target, in milliseconds since the start.
    pub sent: u64,
    /// Position of the target.
    pub target: usize,
}

/// A simulated target.
#[derive(Debug, Default)]
pub(super) struct Target {
    /// Cached objects, the most recently used one first.
    cache: VecDeque<ObjectTag>,
    queue: VecDeque<Run>,
    running: usize,
}

impl Target {
    /// Requests at the target, running and queued.
    pub fn load(&self) -> usize {
        self.running + self.queue.len()
    }

    /// Whether the object is cached.
    pub fn has_object(&self, object: ObjectTag) -> bool {
        self.cache.contains(&object)
    }

    /// Adds a request to the queue; returns it if the queue is full.
    pub fn push(&mut self, run: Run) -> Result<(), Run> {
        if MAX_REQUESTS <= self.load() {
            return Err(run);
        }
        self.queue.push_back(run);
        Ok(())
    }

    /// Starts the first queued request if a slot is free; returns it and the time that it takes, in
    /// milliseconds.
    pub fn start_next(&mut self) -> Option<(Run, u64)> {
        if SLOTS as usize <= self.running {
            return None;
        }
        let run = self.queue.pop_front()?;
        self.running += 1;
        let work_ms = if self.use_object(run.object) { HIT_MS } else { MISS_MS };
        Some((run, work_ms))
    }

    /// A running request ended.
    pub fn end(&mut self) {
        self.running -= 1;
    }

    /// Makes the object the most recently used one, and returns whether it was cached.
    fn use_object(&mut self, object: ObjectTag) -> bool {
        let position = self.cache.iter().position(|it| *it == object);
        if let Some(position) = position {
            self.cache.remove(position);
        }
        self.cache.push_front(object);
        self.cache.truncate(CACHE_CAPACITY);
        position.is_some()
    }
}
