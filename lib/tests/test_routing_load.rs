//! Simulation of routers that do not share a counter, with bursts of five times
//! the mean rate.

mod request_fleet;

use std::collections::BTreeMap;

use cowslipport_lib::ejection::ExchangeResult;
use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::keys::KeyDigest;
use cowslipport_lib::route::queue::RequestId;
use cowslipport_lib::route::routing::RouteDecision;
use cowslipport_lib::route::routing::RouteRequest;
use cowslipport_lib::route::routing::Router;
use cowslipport_lib::route::routing::RouterSettings;
use cowslipport_lib::time::TimeMs;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use request_fleet::Fleet;

const VMS: u32 = 10;
const SLOTS: u32 = 8;
const SERVICE_MS: f64 = 100.0;
const MEAN_PER_S: f64 = 200.0;
const RUN_MS: u64 = 15_000;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Policy {
    Router,
    /// Any instance on which this process itself has a free slot.
    Random,
}

/// Distribution of requests over processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Spread {
    Even,
    /// The first process gets every third request.
    Skewed,
}

#[derive(Debug, Default)]
struct Totals {
    sent: u64,
    /// Sent to an instance whose slots were all in use, while another instance
    /// had a free one.
    oversubscribed: u64,
    refused: u64,
    /// Sum over requests of the time in the queue.
    queued_ms: u64,
    /// Queued while at least a tenth of the pool's slots were free.
    queued_while_free: u64,
}

struct Simulation {
    now: TimeMs,
    routers: Vec<Router>,
    used: BTreeMap<VmId, u32>,
    /// Requests in flight from each process.
    own: BTreeMap<(usize, VmId), u32>,
    /// Ends of requests by time, with their service time.
    ends: BTreeMap<u64, Vec<(usize, VmId, u64)>>,
    queued_at: BTreeMap<RequestId, TimeMs>,
    rng: ChaCha8Rng,
    totals: Totals,
    next_id: u64,
}

impl Simulation {
    fn new(processes: u64, seed: u64) -> Self {
        let fleet = Fleet::new(VMS, processes);
        let routers = (1..=processes)
            .map(|session| {
                let mut router = Router::new(RouterSettings {
                    session: SessionId(session),
                    data_centre: format!("dc{}", session % 4 + 1),
                    max_queued: 200,
                    seed: seed + session,
                });
                router.rebuild(TimeMs(0), &fleet.state);
                router.set_view(ViewState::Confirmed);
                router
            })
            .collect();
        let used = (0..VMS).map(|vm| (VmId(vm), 0)).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let (own, ends, queued_at, totals) = Default::default();
        Self { now: TimeMs(0), routers, used, own, ends, queued_at, rng, totals, next_id: 0 }
    }

    /// Requests per second: five times the mean for 3 s of every 15 s, a
    /// twentieth of it for 3 s, and the mean otherwise.
    fn rate(&self) -> f64 {
        match self.now.0 / 1000 % 15 {
            5..=7 => 5.0 * MEAN_PER_S,
            10..=12 => MEAN_PER_S / 20.0,
            _ => MEAN_PER_S,
        }
    }

    fn send(&mut self, process: usize, vm: VmId) {
        let others_free = self.used.iter().any(|(other, used)| *other != vm && *used < SLOTS);
        let used = self.used.get_mut(&vm).expect("the VM exists");
        if *used >= SLOTS && others_free {
            self.totals.oversubscribed += 1;
        }
        *used += 1;
        *self.own.entry((process, vm)).or_default() += 1;
        self.totals.sent += 1;
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        let service_ms = (-uniform.ln() * SERVICE_MS).ceil() as u64;
        let end = self.now.plus(service_ms.max(1)).0;
        self.ends.entry(end).or_default().push((process, vm, service_ms));
    }

    fn arrive(&mut self, process: usize, policy: Policy) {
        if policy == Policy::Random {
            let own = |vm: &VmId| self.own.get(&(process, *vm)).copied().unwrap_or(0);
            let free = |vm: &VmId| own(vm) < SLOTS;
            let candidates: Vec<_> = self.used.keys().copied().filter(free).collect();
            let vm = candidates[self.rng.random_range(0..candidates.len())];
            return self.send(process, vm);
        }
        self.next_id += 1;
        let id = RequestId(self.next_id);
        let key = KeyDigest::of(b"k1");
        let deadline = self.now.plus(2000);
        let request = RouteRequest { id, key, pool: "p1".to_owned(), deadline, tried: Vec::new() };
        match self.routers[process].route(self.now, request) {
            RouteDecision::Send { vm, .. } => self.send(process, vm),
            RouteDecision::Queue { .. } => {
                self.queued_at.insert(id, self.now);
                let free: u32 = self.used.values().map(|used| SLOTS.saturating_sub(*used)).sum();
                if free * 10 >= VMS * SLOTS {
                    self.totals.queued_while_free += 1;
                }
            }
            RouteDecision::Refuse { .. } | RouteDecision::Violated(_) => {
                self.totals.refused += 1;
            }
        }
    }

    fn serve_queue(&mut self, process: usize) {
        if self.routers[process].queued() == 0 {
            return;
        }
        for event in self.routers[process].serve_queues(self.now) {
            let queued_at = self.queued_at.remove(&event.id).expect("the request was queued");
            self.totals.queued_ms += self.now.since(queued_at);
            match event.decision {
                RouteDecision::Send { vm, .. } => self.send(process, vm),
                RouteDecision::Refuse { .. } | RouteDecision::Violated(_) => {
                    self.totals.refused += 1;
                }
                RouteDecision::Queue { .. } => panic!("a queue event is a decision"),
            }
        }
    }

    fn exchange(&mut self) {
        let counts: Vec<BTreeMap<VmId, u32>> =
            self.routers.iter().map(|router| router.in_flight().collect()).collect();
        for (index, router) in self.routers.iter_mut().enumerate() {
            for (other, counts) in counts.iter().enumerate().filter(|(other, _)| *other != index) {
                router.set_peer_in_flight(self.now, SessionId(other as u64 + 1), counts.clone());
            }
        }
    }

    fn step(&mut self, policy: Policy, spread: Spread) {
        for (process, vm, service_ms) in self.ends.remove(&self.now.0).unwrap_or_default() {
            *self.used.get_mut(&vm).expect("the VM exists") -= 1;
            *self.own.get_mut(&(process, vm)).expect("the process sent to the VM") -= 1;
            if policy == Policy::Router {
                let result = ExchangeResult::Completed { service_ms };
                self.routers[process].finished(self.now, vm, result);
            }
        }
        if self.now.0.is_multiple_of(500) {
            self.exchange();
        }
        let mut expected = self.rate() / 1000.0;
        while expected > 0.0 {
            if self.rng.random_bool(expected.min(1.0)) {
                let process = match spread {
                    Spread::Skewed if self.rng.random_ratio(1, 3) => 0,
                    Spread::Skewed | Spread::Even => self.rng.random_range(0..self.routers.len()),
                };
                self.arrive(process, policy);
            }
            expected -= 1.0;
        }
        for process in 0..self.routers.len() {
            self.serve_queue(process);
        }
        self.now = self.now.plus(1);
    }
}

fn run(processes: u64, policy: Policy, spread: Spread, seed: u64) -> Totals {
    let mut simulation = Simulation::new(processes, seed);
    while simulation.now.0 < RUN_MS {
        simulation.step(policy, spread);
    }
    println!("{processes} processes, {spread:?}: {:?}", simulation.totals);
    simulation.totals
}

/// Guards against processes that send too many requests to the same instances,
/// since each knows the others' counts only from the last exchange, which is up
/// to 500 ms old.
#[test]
fn few_slots_are_oversubscribed_under_bursts() {
    for (processes, seed) in [(7, 11), (8, 12)] {
        for spread in [Spread::Even, Spread::Skewed] {
            let random = run(processes, Policy::Random, spread, seed);
            let router = run(processes, Policy::Router, spread, seed);
            assert!(router.oversubscribed * 10 <= random.oversubscribed, "{router:?} {random:?}");
            if spread == Spread::Even {
                assert!(router.oversubscribed * 100 <= router.sent, "{router:?}");
                assert!(router.queued_while_free * 10 <= router.sent, "{router:?}");
            }
        }
    }
}
