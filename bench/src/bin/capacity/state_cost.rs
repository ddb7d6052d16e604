//! Memory of a control state, and size and processor time of its snapshot.

use cowslipport_lib::control::ControlState;
use serde::Serialize;
use stats_alloc::Region;

use crate::GLOBAL;
use crate::cost::time_each;

/// Cost of one control state.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct StateCost {
    /// Heap bytes of the first copy of the state in a process.
    pub(crate) heap_bytes: usize,
    /// Heap bytes of each further copy in the same process.
    pub(crate) copy_bytes: usize,
    /// Size of a snapshot of the state, in bytes.
    pub(crate) snapshot_bytes: usize,
    /// Processor time of copying the state, in nanoseconds.
    pub(crate) clone_ns: f64,
    /// Processor time of encoding a snapshot, in nanoseconds.
    pub(crate) encode_ns: f64,
    /// Processor time of decoding a snapshot, in nanoseconds.
    pub(crate) decode_ns: f64,
    /// Processor time of the digest, in nanoseconds.
    pub(crate) digest_ns: f64,
}

/// Heap bytes that the return value of `make` holds.
fn heap_bytes_of<T, F>(make: F) -> usize
where
    F: FnOnce() -> T,
{
    let region = Region::new(GLOBAL);
    let value = make();
    let held = region.change();
    drop(value);
    held.bytes_allocated.saturating_sub(held.bytes_deallocated)
}

/// Measures a state.
pub(crate) fn measure(state: &ControlState) -> StateCost {
    let bytes = state.encode();
    let first = || ControlState::decode(&bytes).expect("a snapshot decodes");
    StateCost {
        heap_bytes: heap_bytes_of(first),
        copy_bytes: heap_bytes_of(|| state.clone()),
        snapshot_bytes: bytes.len(),
        clone_ns: time_each(1, || (), |()| state.clone()),
        encode_ns: time_each(1, || (), |()| state.encode()),
        decode_ns: time_each(1, || (), |()| ControlState::decode(&bytes)),
        digest_ns: time_each(1, || (), |()| state.digest()),
    }
}
