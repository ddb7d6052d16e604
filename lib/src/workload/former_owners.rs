//! Former owners that may still renew leases on workers that do not answer.
//!
//! A former owner is known to be gone when it said so as it left, when its
//! process has been started again, or when the time is over after which an
//! owner without the store stops by itself.

use crate::time::TimeMs;
use crate::workload::candidacy::PRESENCE_INTERVAL_MS;
use crate::workload::dispatcher::Dispatcher;
use crate::workload::lease::LeaseTimes;
use crate::workload::owner_record::FormerOwner;
use crate::workload::owner_record::NodeIncarnation;
use crate::workload::owner_record::Tenure;

/// Time between two records of the tenure while a former owner may be there.
const DOUBT_INTERVAL_MS: u64 = 500;

/// Who owned before, and may still renew leases.
#[derive(Clone, Debug, Default)]
pub(crate) struct FormerOwners {
    doubts: Vec<Doubt>,
    /// When the last of them was known to be gone.
    gone_at: TimeMs,
    recorded_at: Option<TimeMs>,
    is_changed: bool,
}

/// A former owner that may still renew leases.
#[derive(Clone, Debug)]
struct Doubt {
    owner: NodeIncarnation,
    until: TimeMs,
}

impl FormerOwners {
    /// Nothing is known yet: somebody may own.
    pub(crate) fn unknown(gained_at: TimeMs, times: LeaseTimes) -> Self {
        Self { gone_at: gained_at.plus(times.former_renewal_ms), ..Self::default() }
    }

    /// When no former owner can renew leases any more.
    pub(crate) fn renew_until(&self) -> TimeMs {
        let doubts = self.doubts.iter().map(|doubt| doubt.until);
        doubts.fold(self.gone_at, TimeMs::max)
    }

    /// A node has started anew: its former lives are over.
    fn started(&mut self, now: TimeMs, present: &NodeIncarnation) {
        let is_over = |doubt: &Doubt| {
            doubt.owner.node == present.node && doubt.owner.incarnation != present.incarnation
        };
        let count = self.doubts.len();
        self.doubts.retain(|doubt| !is_over(doubt));
        if self.doubts.len() < count {
            self.gone_at = self.gone_at.max(now);
            self.is_changed = true;
        }
    }

    /// The former owners that are left at `now`.
    fn remaining(&self, now: TimeMs) -> Vec<FormerOwner> {
        let left = self.doubts.iter().filter(|doubt| doubt.until > now);
        left.map(|doubt| FormerOwner {
            owner: doubt.owner.clone(),
            remaining_ms: doubt.until.since(now),
        })
        .collect()
    }
}

impl Dispatcher {
    /// Takes over who owned last, as the store tells after that owner was
    /// fenced.
    pub fn restore_former_owners(&mut self, now: TimeMs, tenure: Option<Tenure>) {
        // The one before lost the seat when this one gained it, and renews no
        // longer than if its last contact with the store had been then.
        let until = self.former.renew_until();
        let mut former = FormerOwners { gone_at: now, is_changed: true, ..FormerOwners::default() };
        if let Some(tenure) = tenure {
            // An earlier life of this process is over.
            let is_gone = tenure.is_over || tenure.owner.node == self.owner.node;
            former.doubts.extend((!is_gone).then_some(Doubt { owner: tenure.owner, until }));
            let earlier = tenure.former.into_iter();
            former.doubts.extend(earlier.map(|earlier| Doubt {
                owner: earlier.owner,
                until: now.plus(earlier.remaining_ms),
            }));
        }
        self.former = former;
    }

    /// Takes over the present life of a node.
    pub fn node_started(&mut self, now: TimeMs, present: &NodeIncarnation) {
        self.former.started(now, present);
    }

    /// The record of this tenure, if the store needs it now. It also tells
    /// smaller nodes that there is an owner.
    pub(crate) fn ownership_record(&mut self, now: TimeMs) -> Option<Tenure> {
        let former = self.former.remaining(now);
        let interval_ms = if former.is_empty() { PRESENCE_INTERVAL_MS } else { DOUBT_INTERVAL_MS };
        let is_old =
            self.former.recorded_at.is_none_or(|recorded_at| now.since(recorded_at) >= interval_ms);
        let is_due = self.former.is_changed || is_old;
        if !is_due || !self.is_recovered {
            return None;
        }
        self.former.is_changed = false;
        self.former.recorded_at = Some(now);
        let (epoch, owner) = (self.epoch, self.owner.clone());
        Some(Tenure { epoch, owner, is_over: self.is_released, former })
    }

    /// Ends the tenure: from now on no lease is renewed.
    pub fn release(&mut self) {
        self.is_released = true;
        self.former.is_changed = true;
    }
}
