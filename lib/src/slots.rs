//! Division of the slots of an instance among processes that do not share a
//! count.
//!
//! Each slot of an instance has one home: the process that rendezvous hashing
//! of (process, instance) gives it. A process uses its home slots first; no
//! other process has to know, so slots are not over-full however old the
//! counts of the exchanges are. With its home slots full, a process borrows a
//! slot that seems free by the counts it knows, and leaves a reserve for
//! the processes whose home slots there are idle and that have requests in
//! the pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ids::SessionId;
use crate::ids::VmId;

/// Home slots of one instance, for the processes that have any.
pub(crate) type Homes = Vec<(SessionId, u32)>;

/// Divides the slots of an instance among the members.
pub(crate) fn homes(vm: VmId, slots: u32, members: &BTreeSet<SessionId>) -> Homes {
    let mut ranked: Vec<_> = members.iter().map(|member| (mix(*member, vm), *member)).collect();
    ranked.sort_unstable();
    let mut homes: Homes =
        ranked.into_iter().take(slots as usize).map(|(_, member)| (member, 0)).collect();
    if !homes.is_empty() {
        for slot in 0..slots as usize {
            let index = slot % homes.len();
            homes[index].1 += 1;
        }
    }
    homes
}

/// Home slots of `session` in `homes`.
pub(crate) fn home_of(homes: &Homes, session: SessionId) -> u32 {
    homes.iter().find(|(member, _)| *member == session).map_or(0, |(_, slots)| *slots)
}

/// Score of a process for an instance. Processes that disagree over it share
/// slots less well and stay correct, so it is a cheap mix of bits: SHA-256 for
/// 112 members and 20,000 VMs takes a noticeable part of a second.
pub(crate) fn mix(session: SessionId, vm: VmId) -> u64 {
    let mut bits = session.0 ^ u64::from(vm.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Requests in flight at one other process, as it reported them last.
pub(crate) type InFlight = BTreeMap<VmId, u32>;
