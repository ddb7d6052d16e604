//! Bounds for buffer and moves of policies that know the demand trace.
//!
//! In each burst there is a moment at which a pool has the VMs that the burst
//! needs and the reserve that its budget may take away, or at least as many as
//! the policy that is measured had: with fewer, more work would wait too long. In the gap after the burst such a VM either stays, or
//! leaves, for which it drains `move_ms` in its pool. At most the length of
//! the burst of that is not part of the gap, so the VM is held for at least
//! the shorter of the gap and the rest of the move.

use cowslipport_lib::buffer::WAIT_SAMPLES;
use cowslipport_lib::buffer::required_vms;

use crate::profile::Profile;
use crate::trace::Burst;
use crate::trace::SECONDS;
use crate::trace::Trace;

/// VMs that a pool needs in one burst.
#[derive(Clone, Copy, Debug)]
struct Need {
    vms: usize,
    /// VMs and reserve that a policy must have at some moment of the burst to
    /// serve it as well as the one that it is compared with.
    required: usize,
    /// VM-seconds of work in the burst.
    work: f64,
    /// First second and first second after the time in which the work of the
    /// burst has to be done.
    start: f64,
    end: f64,
}

/// Costs of the policies among which the cheapest is sought.
#[derive(Clone, Copy, Debug)]
struct Weights {
    /// Of a VM-second that is held.
    price: f64,
    /// Of a VM that joins a pool.
    arrival: f64,
    /// Of a VM that leaves a pool.
    departure: f64,
}

/// What a policy did, to compare it with policies that know the trace.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reached {
    /// VM-seconds that pools of services held.
    pub(crate) held: f64,
    /// Most VMs that a pool had in each of its bursts.
    pub(crate) most: Vec<Vec<u32>>,
}

/// What the bounds are computed from.
pub(crate) struct Bound {
    needs: Vec<Vec<Need>>,
    reserve: usize,
    move_seconds: f64,
    /// VMs of a pool in the beginning.
    first: usize,
    /// VM-seconds in which VMs work.
    pub(crate) used_vm_seconds: f64,
}

impl Bound {
    pub(crate) fn new(profile: &Profile, trace: &Trace, reached: &Reached) -> Self {
        let slots = f64::from(profile.slots_per_vm);
        let services = 0..profile.services as usize;
        let used = services
            .clone()
            .flat_map(|service| trace.offered(service))
            .map(|offered| f64::from(offered) / slots)
            .sum();
        let reserve = profile.pool_budget as usize;
        let need = |(burst, most): (&Burst, &u32)| {
            let samples = vec![burst.slots; (burst.end - burst.start) as usize];
            let vms = required_vms(&samples, profile.slots_per_vm) as usize;
            Need {
                vms,
                required: (vms + reserve).min(*most as usize),
                work: samples.iter().map(|sample| f64::from(*sample) / slots).sum(),
                start: f64::from(burst.start),
                end: f64::from(burst.end) + WAIT_SAMPLES as f64,
            }
        };
        let needs = |id: usize| trace.bursts[id].iter().zip(&reached.most[id]).map(need).collect();
        Self {
            needs: services.map(needs).collect(),
            reserve,
            move_seconds: profile.move_ms as f64 / 1000.0,
            first: (profile.vms / (profile.services + 1)) as usize,
            used_vm_seconds: used,
        }
    }

    /// VM-seconds of a fixed split in which each pool has what it ever needs.
    pub(crate) fn fixed_split_vm_seconds(&self) -> f64 {
        let most = |needs: &Vec<Need>| needs.iter().map(|need| need.vms).max().unwrap_or_default();
        let vms: usize = self.needs.iter().map(|needs| most(needs) + self.reserve).sum();
        vms as f64 * f64::from(SECONDS)
    }

    /// VM-seconds that pools hold at least.
    pub(crate) fn held_vm_seconds(&self) -> f64 {
        let pool = |needs: &Vec<Need>| {
            let gaps = gaps(needs).map(|(need, gap)| {
                need.required.saturating_sub(self.reserve) as f64 * self.shortest(need, gap)
            });
            self.certain(needs) + gaps.sum::<f64>()
        };
        self.needs.iter().map(pool).sum()
    }

    /// Seconds of a gap for which a VM that its burst needs is held at least.
    fn shortest(&self, need: &Need, gap: f64) -> f64 {
        gap.min(self.move_seconds - (need.end - need.start)).max(0.0)
    }

    /// Reserve at all times and the work of each burst, less what the VMs do
    /// that need not be there.
    fn certain(&self, needs: &[Need]) -> f64 {
        let work = |need: &Need| {
            let lacking = (need.vms + self.reserve - need.required) as f64;
            need.work - lacking * (need.end - need.start)
        };
        self.reserve as f64 * f64::from(SECONDS) + needs.iter().map(work).sum::<f64>()
    }

    /// The fewest moves of any policy that serves every burst as well and
    /// holds no more VM-seconds.
    ///
    /// For each price of a VM-second, the cheapest policy costs
    /// `min(moves + price * held)`; a policy within `held` then makes at least
    /// that less `price * held` moves. The best price gives the bound.
    ///
    /// A move brings at most one VM into the pool of a service and takes at
    /// most one out of another. A weighted mean of arrivals and departures is
    /// therefore at most the number of moves, whatever the weight.
    pub(crate) fn fewest_moves(&self, held: f64) -> f64 {
        let at = |arrival: f64, price: f64| -> f64 {
            let weights = Weights { price, arrival, departure: 1.0 - arrival };
            let cost: f64 = self.needs.iter().map(|needs| self.cheapest(needs, weights)).sum();
            cost - price * held
        };
        // From a move for 10 VM-seconds to a move for 28 VM-hours.
        let prices = (0..40).map(|step| 0.1 / 1.35_f64.powi(step));
        let best = |arrival: f64| prices.clone().map(move |price| at(arrival, price));
        [0.5, 0.75, 1.0].into_iter().flat_map(best).fold(0.0, f64::max)
    }

    /// The least cost of one pool by dynamic programming over its bursts.
    fn cheapest(&self, needs: &[Need], weights: Weights) -> f64 {
        let most = needs.iter().map(|need| need.vms).max().unwrap_or_default();
        let largest = (most + self.reserve).max(self.first);
        let mut costs = vec![f64::INFINITY; largest + 1];
        costs[self.first] = 0.0;
        let mut before: Option<(&Need, f64)> = None;
        for (need, gap) in gaps(needs) {
            costs = (0..=largest)
                .map(|to| {
                    if to < need.required {
                        return f64::INFINITY;
                    }
                    (0..=largest)
                        .map(|from| costs[from] + self.gap_cost(from, to, before, weights))
                        .fold(f64::INFINITY, f64::min)
                })
                .collect();
            before = Some((need, gap));
        }
        costs.into_iter().fold(f64::INFINITY, f64::min) + weights.price * self.certain(needs)
    }

    /// Cost of a gap: VMs that stay are held, or leave and return with one
    /// move; VMs that leave are held while they drain. The reserve is counted
    /// apart.
    fn gap_cost(
        &self,
        from: usize,
        to: usize,
        before: Option<(&Need, f64)>,
        weights: Weights,
    ) -> f64 {
        let Weights { price, arrival, departure } = weights;
        let (gap, shortest) =
            before.map_or((0.0, 0.0), |(need, gap)| (gap, self.shortest(need, gap)));
        let stay = from.min(to).saturating_sub(self.reserve) as f64;
        let leave = from.saturating_sub(to.max(self.reserve)) as f64;
        let arrive = to.saturating_sub(from) as f64;
        stay * (price * gap).min(price * shortest + arrival + departure)
            + leave * (price * shortest + departure)
            + arrive * arrival
    }
}

/// Each burst with the seconds until the next one begins.
fn gaps(needs: &[Need]) -> impl Iterator<Item = (&Need, f64)> {
    let next = needs.iter().skip(1).map(|need| need.start).chain([f64::from(SECONDS)]);
    needs.iter().zip(next).map(|(need, start)| (need, (start - need.end).max(0.0)))
}
