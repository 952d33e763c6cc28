//! What hosts that choose on their own know of the load of targets.

/// What a host knows of the load of targets.
pub(super) trait Loads {
    /// Brings the knowledge to `now`, in milliseconds since the start.
    fn advance(&mut self, now: u64);

    /// Requests in flight at a target, as far as the host knows.
    fn load(&self, host: usize, target: usize) -> u32;

    /// The host sends a request to the target.
    fn sent(&mut self, host: usize, target: usize);

    /// A request of the host ended at the target, which has `load` requests left.
    fn ended(&mut self, host: usize, target: usize, load: usize);

    /// See `Knowledge::bytes`.
    fn bytes(&self) -> &[u64];
}
