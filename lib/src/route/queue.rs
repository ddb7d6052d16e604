//! The bounded queue of one pool, fair among organisations by weight.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::OrganisationId;
use crate::ids::VmId;
use crate::keys::KeyDigest;
use crate::time::TimeMs;

/// Id of a request, unique within its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request that waits for a slot.
#[derive(Clone)]
pub(crate) struct Waiting {
    pub(crate) id: RequestId,
    pub(crate) key: KeyDigest,
    pub(crate) organisation: OrganisationId,
    pub(crate) deadline: TimeMs,
    pub(crate) tried: Vec<VmId>,
}

#[derive(Default)]
struct OrganisationQueue {
    waiting: VecDeque<Waiting>,
    /// Virtual time at which the next request of the organisation is due.
    pass: u64,
}

/// The queue of one pool. Organisations are served by stride scheduling: the
/// organisation with the lowest virtual time goes first, and each start
/// advances its virtual time by the inverse of its weight.
#[derive(Default)]
pub(crate) struct RouteQueue {
    organisations: BTreeMap<OrganisationId, OrganisationQueue>,
    virtual_time: u64,
    len: usize,
}

/// Result of adding a request to the queue.
pub(crate) enum PushOutcome {
    /// The request is queued. If the queue was full, the newest request of the
    /// organisation with the most queued requests for its weight was evicted.
    Queued(Option<Waiting>),
    /// The queue is full, and the request's own organisation has the most
    /// queued requests for its weight.
    Full,
}

const STRIDE: u64 = 1_000_000;

fn stride(weight_milli: u32) -> u64 {
    STRIDE * 1000 / u64::from(weight_milli.max(1))
}

impl RouteQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Number of requests that start before a new request of the organisation
    /// would: those in its own queue, and those of other organisations that
    /// start by weight in the meantime.
    pub(crate) fn starts_ahead<F>(&self, organisation: OrganisationId, weight: F) -> usize
    where
        F: Fn(OrganisationId) -> u32,
    {
        let own = self.organisations.get(&organisation).map_or(0, |queue| queue.waiting.len());
        let own_weight = u64::from(weight(organisation).max(1));
        let others: u64 = self
            .organisations
            .iter()
            .filter(|(other, _)| **other != organisation)
            .map(|(other, queue)| {
                let by_weight = (own as u64 + 1) * u64::from(weight(*other)) / own_weight;
                by_weight.min(queue.waiting.len() as u64)
            })
            .sum();
        own + usize::try_from(others).unwrap_or(usize::MAX)
    }

    pub(crate) fn push<F>(&mut self, waiting: Waiting, max_len: usize, weight: F) -> PushOutcome
    where
        F: Fn(OrganisationId) -> u32,
    {
        let mut evicted = None;
        if self.len >= max_len {
            let Some(heaviest) = self.heaviest(waiting.organisation, &weight) else {
                return PushOutcome::Full;
            };
            evicted =
                self.organisations.get_mut(&heaviest).and_then(|queue| queue.waiting.pop_back());
            self.len -= usize::from(evicted.is_some());
        }
        let now = self.virtual_time;
        let queue = self.organisations.entry(waiting.organisation).or_default();
        if queue.waiting.is_empty() {
            // An organisation gets no credit for the time in which it had no
            // requests waiting.
            queue.pass = queue.pass.max(now);
        }
        queue.waiting.push_back(waiting);
        self.len += 1;
        PushOutcome::Queued(evicted)
    }

    /// The organisation with the most queued requests for its weight, if it is
    /// not `organisation`, which is counted with one request more.
    fn heaviest<F>(&self, organisation: OrganisationId, weight: &F) -> Option<OrganisationId>
    where
        F: Fn(OrganisationId) -> u32,
    {
        let load = |candidate: OrganisationId, extra: u64| {
            let held =
                self.organisations.get(&candidate).map_or(0, |queue| queue.waiting.len() as u64);
            (held + extra) * stride(weight(candidate))
        };
        let own = load(organisation, 1);
        self.organisations
            .iter()
            .filter(|(candidate, queue)| **candidate != organisation && !queue.waiting.is_empty())
            .map(|(candidate, _)| (load(*candidate, 0), *candidate))
            .max()
            .filter(|(held, _)| *held > own)
            .map(|(_, candidate)| candidate)
    }

    /// Removes and returns the request that starts next.
    pub(crate) fn pop<F>(&mut self, weight: F) -> Option<Waiting>
    where
        F: Fn(OrganisationId) -> u32,
    {
        let organisation = self
            .organisations
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty())
            .map(|(organisation, queue)| (queue.pass, *organisation))
            .min()?
            .1;
        let queue = self.organisations.get_mut(&organisation)?;
        let waiting = queue.waiting.pop_front()?;
        self.virtual_time = queue.pass;
        queue.pass += stride(weight(organisation));
        self.len -= 1;
        Some(waiting)
    }

    /// Removes and returns the requests for which `drop` returns true.
    pub(crate) fn remove_if<F>(&mut self, drop: F) -> Vec<Waiting>
    where
        F: Fn(&Waiting) -> bool,
    {
        let mut removed = Vec::new();
        for queue in self.organisations.values_mut() {
            if queue.waiting.iter().any(&drop) {
                let (dropped, kept) = queue.waiting.drain(..).partition(&drop);
                queue.waiting = kept;
                let dropped: VecDeque<Waiting> = dropped;
                removed.extend(dropped);
            }
        }
        self.len -= removed.len();
        removed
    }
}
