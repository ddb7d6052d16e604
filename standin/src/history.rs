//! History of the whole fleet: the resources that each organisation occupies
//! over time, and how often each request ran, by idempotency key.

use std::collections::BTreeMap;

use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::time::TimeMs;

use crate::worker_agent::RunningSample;

/// How often a request ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Number of times that an upstream started the request.
    pub started: u32,
    /// Number of times that an upstream finished the request.
    pub finished: u32,
}

/// Resources that an organisation occupies in the fleet from a time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSample {
    /// Time from which the sums hold.
    pub at: TimeMs,
    /// Sum of the requested resources of its tasks.
    pub requested: Resources,
    /// Sum of the resources that its tasks use.
    pub used: Resources,
}

/// Reports of all workers and upstreams.
#[derive(Debug, Default)]
pub struct FleetHistory {
    running: BTreeMap<OrganisationId, BTreeMap<String, RunningSample>>,
    changes: BTreeMap<OrganisationId, Vec<(String, RunningSample)>>,
    run_counts: BTreeMap<String, RunCounts>,
    /// Requests in flight on each VM.
    in_flight: BTreeMap<String, u32>,
    interrupted_requests: u32,
    interrupted_tasks: u32,
}

impl FleetHistory {
    /// Records what an organisation occupies on one VM.
    pub fn record_running(&mut self, vm: &str, sample: RunningSample) {
        self.running.entry(sample.organisation).or_default().insert(vm.to_owned(), sample);
        self.changes.entry(sample.organisation).or_default().push((vm.to_owned(), sample));
    }

    /// Records that an upstream started a request.
    pub fn record_started(&mut self, vm: &str, key: &str) {
        self.run_counts.entry(key.to_owned()).or_default().started += 1;
        *self.in_flight.entry(vm.to_owned()).or_default() += 1;
    }

    /// Records that an upstream finished a request.
    pub fn record_finished(&mut self, vm: &str, key: &str) {
        self.run_counts.entry(key.to_owned()).or_default().finished += 1;
        let in_flight = self.in_flight.entry(vm.to_owned()).or_default();
        *in_flight = in_flight.saturating_sub(1);
    }

    /// Records that a VM stopped, which interrupts all its requests and tasks.
    pub fn record_vm_down(&mut self, vm: &str, at: TimeMs) {
        self.interrupted_requests += self.in_flight.remove(vm).unwrap_or(0);
        let occupied: Vec<RunningSample> =
            self.running.values().filter_map(|by_vm| by_vm.get(vm)).copied().collect();
        for sample in occupied {
            self.interrupted_tasks += sample.tasks;
            let (requested, used) = (Resources::ZERO, Resources::ZERO);
            self.record_running(vm, RunningSample { at, tasks: 0, requested, used, ..sample });
        }
    }

    /// Returns the sums of an organisation over time, one for each millisecond
    /// in which they change. Reports of different VMs can arrive out of order,
    /// so the changes are sorted by their own time.
    pub fn samples(&self, organisation: OrganisationId) -> Vec<FleetSample> {
        let mut changes = self.changes.get(&organisation).cloned().unwrap_or_default();
        changes.sort_by_key(|(_, sample)| sample.at);
        let mut by_vm: BTreeMap<&str, RunningSample> = BTreeMap::new();
        let mut samples = Vec::new();
        for group in changes.chunk_by(|(_, left), (_, right)| left.at == right.at) {
            by_vm.extend(group.iter().map(|(vm, sample)| (vm.as_str(), *sample)));
            let at = group[0].1.at;
            let mut sum = FleetSample { at, requested: Resources::ZERO, used: Resources::ZERO };
            for sample in by_vm.values() {
                sum.requested = sum.requested.saturating_add(sample.requested);
                sum.used = sum.used.saturating_add(sample.used);
            }
            samples.push(sum);
        }
        samples
    }

    /// Returns the largest sum of requested resources of an organisation, for
    /// each resource separately.
    pub fn peak_requested(&self, organisation: OrganisationId) -> Resources {
        let samples = self.samples(organisation);
        samples.iter().fold(Resources::ZERO, |peak, sample| peak.max(sample.requested))
    }

    /// Returns the run counts by idempotency key.
    pub fn run_counts(&self) -> &BTreeMap<String, RunCounts> {
        &self.run_counts
    }

    /// Returns the idempotency keys of requests that were started more than
    /// once.
    pub fn repeated_keys(&self) -> Vec<String> {
        let repeated = self.run_counts.iter().filter(|(_, counts)| counts.started > 1);
        repeated.map(|(key, _)| key.clone()).collect()
    }

    /// Returns the number of requests in flight on a VM when it stopped.
    pub fn interrupted_requests(&self) -> u32 {
        self.interrupted_requests
    }

    /// Returns the number of tasks running on a VM when it stopped.
    pub fn interrupted_tasks(&self) -> u32 {
        self.interrupted_tasks
    }
}
