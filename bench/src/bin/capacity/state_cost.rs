//! Memory of a folded state, and size and processor time of its snapshot.

use cowslipport_lib::control::ControlState;
use serde::Serialize;
use stats_alloc::Region;

use crate::GLOBAL;
use crate::cost::time_each;

/// Cost of one folded state.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct StateCost {
    /// Bytes that the first copy of the state holds on the heap.
    pub(crate) heap_bytes: usize,
    /// Bytes that each further copy in the same process holds.
    pub(crate) copy_bytes: usize,
    /// Size of its snapshot in bytes.
    pub(crate) snapshot_bytes: usize,
    /// Processor time of a copy, in nanoseconds.
    pub(crate) clone_ns: f64,
    /// Processor time of encoding, in nanoseconds.
    pub(crate) encode_ns: f64,
    /// Processor time of decoding, in nanoseconds.
    pub(crate) decode_ns: f64,
    /// Processor time of the digest, in nanoseconds.
    pub(crate) digest_ns: f64,
}

/// Bytes on the heap that what `make` returns holds.
fn held_by<T, F>(make: F) -> usize
where
    F: FnOnce() -> T,
{
    let region = Region::new(GLOBAL);
    let made = make();
    let held = region.change();
    drop(made);
    held.bytes_allocated.saturating_sub(held.bytes_deallocated)
}

/// Cost of a state.
pub(crate) fn measure(state: &ControlState) -> StateCost {
    let bytes = state.encode();
    let first = || ControlState::decode(&bytes).expect("a snapshot decodes");
    StateCost {
        heap_bytes: held_by(first),
        copy_bytes: held_by(|| state.clone()),
        snapshot_bytes: bytes.len(),
        clone_ns: time_each(1, || (), |()| state.clone()),
        encode_ns: time_each(1, || (), |()| state.encode()),
        decode_ns: time_each(1, || (), |()| ControlState::decode(&bytes)),
        digest_ns: time_each(1, || (), |()| state.digest()),
    }
}
