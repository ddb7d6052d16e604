//! The bounded queue of one pool, fair among teams by weight.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use crate::ids::TeamId;
use crate::ids::VmId;
use crate::keys::KeyDigest;
use crate::time::TimeMs;

/// Number of a request among those of its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// A request that waits for a slot.
#[derive(Clone)]
pub(crate) struct Waiting {
    pub(crate) id: RequestId,
    pub(crate) key: KeyDigest,
    pub(crate) team: TeamId,
    pub(crate) deadline: TimeMs,
    pub(crate) tried: Vec<VmId>,
}

#[derive(Default)]
struct TeamQueue {
    waiting: VecDeque<Waiting>,
    /// Virtual time at which the next request of the team is due.
    pass: u64,
}

/// The queue of one pool. Teams are served by stride scheduling: the team with
/// the lowest virtual time goes first, and each start moves its virtual time
/// on by the inverse of its weight.
#[derive(Default)]
pub(crate) struct RouteQueue {
    teams: BTreeMap<TeamId, TeamQueue>,
    now: u64,
    len: usize,
}

/// What became of a request that was to be queued.
pub(crate) enum Pushed {
    /// It is queued; if the queue was full, the newest request of the team
    /// that holds the most for its weight made way.
    Queued(Option<Waiting>),
    /// The queue is full and its own team holds the most for its weight.
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

    /// Starts that happen before a new request of the team would start: its
    /// own queue, and what the other teams get by weight in the meantime.
    pub(crate) fn starts_ahead<F>(&self, team: TeamId, weight: F) -> usize
    where
        F: Fn(TeamId) -> u32,
    {
        let own = self.teams.get(&team).map_or(0, |queue| queue.waiting.len());
        let own_weight = u64::from(weight(team).max(1));
        let others: u64 = self
            .teams
            .iter()
            .filter(|(other, _)| **other != team)
            .map(|(other, queue)| {
                let by_weight = (own as u64 + 1) * u64::from(weight(*other)) / own_weight;
                by_weight.min(queue.waiting.len() as u64)
            })
            .sum();
        own + usize::try_from(others).unwrap_or(usize::MAX)
    }

    pub(crate) fn push<F>(&mut self, waiting: Waiting, max_len: usize, weight: F) -> Pushed
    where
        F: Fn(TeamId) -> u32,
    {
        let mut evicted = None;
        if self.len >= max_len {
            let Some(heaviest) = self.heaviest(waiting.team, &weight) else {
                return Pushed::Full;
            };
            evicted = self.teams.get_mut(&heaviest).and_then(|queue| queue.waiting.pop_back());
            self.len -= usize::from(evicted.is_some());
        }
        let now = self.now;
        let queue = self.teams.entry(waiting.team).or_default();
        if queue.waiting.is_empty() {
            // A team that was idle has no claim on the past.
            queue.pass = queue.pass.max(now);
        }
        queue.waiting.push_back(waiting);
        self.len += 1;
        Pushed::Queued(evicted)
    }

    /// The team that holds the most for its weight, if it is not `team`, which
    /// is counted with one request more.
    fn heaviest<F>(&self, team: TeamId, weight: &F) -> Option<TeamId>
    where
        F: Fn(TeamId) -> u32,
    {
        let load = |candidate: TeamId, extra: u64| {
            let held = self.teams.get(&candidate).map_or(0, |queue| queue.waiting.len() as u64);
            (held + extra) * stride(weight(candidate))
        };
        let own = load(team, 1);
        self.teams
            .iter()
            .filter(|(candidate, queue)| **candidate != team && !queue.waiting.is_empty())
            .map(|(candidate, _)| (load(*candidate, 0), *candidate))
            .max()
            .filter(|(held, _)| *held > own)
            .map(|(_, candidate)| candidate)
    }

    /// The request that starts next.
    pub(crate) fn pop<F>(&mut self, weight: F) -> Option<Waiting>
    where
        F: Fn(TeamId) -> u32,
    {
        let team = self
            .teams
            .iter()
            .filter(|(_, queue)| !queue.waiting.is_empty())
            .map(|(team, queue)| (queue.pass, *team))
            .min()?
            .1;
        let queue = self.teams.get_mut(&team)?;
        let waiting = queue.waiting.pop_front()?;
        self.now = queue.pass;
        queue.pass += stride(weight(team));
        self.len -= 1;
        Some(waiting)
    }

    /// Removes and returns the requests for which `drop` says so.
    pub(crate) fn remove_if<F>(&mut self, drop: F) -> Vec<Waiting>
    where
        F: Fn(&Waiting) -> bool,
    {
        let mut removed = Vec::new();
        for queue in self.teams.values_mut() {
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
