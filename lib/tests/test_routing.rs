//! Admission, queueing and selection of one router.

mod request_fleet;

use cowslipport_lib::ejection::Admission;
use cowslipport_lib::ejection::Ejector;
use cowslipport_lib::ejection::ExchangeResult;
use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::keys::KeyDigest;
use cowslipport_lib::record::Health;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::VmObservation;
use cowslipport_lib::refusal::RefusalReason;
use cowslipport_lib::route::queue::RequestId;
use cowslipport_lib::route::routing::QueueEvent;
use cowslipport_lib::route::routing::RouteDecision;
use cowslipport_lib::route::routing::RouteRequest;
use cowslipport_lib::route::routing::Router;
use cowslipport_lib::route::routing::RouterSettings;
use cowslipport_lib::time::TimeMs;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use request_fleet::Fleet;

fn router(fleet: &Fleet, max_queued: usize) -> Router {
    let mut router = Router::new(RouterSettings {
        session: SessionId(1),
        data_centre: "dc2".to_owned(),
        max_queued,
        seed: 7,
    });
    router.rebuild(TimeMs(0), &fleet.state);
    router.set_view(ViewState::Confirmed);
    router
}

fn request(id: u64, key: &str, deadline_ms: u64) -> RouteRequest {
    RouteRequest {
        id: RequestId(id),
        key: KeyDigest::of(key.as_bytes()),
        pool: "p1".to_owned(),
        deadline: TimeMs(deadline_ms),
        tried: Vec::new(),
    }
}

fn refusal(decision: &RouteDecision) -> Option<RefusalReason> {
    match decision {
        RouteDecision::Refuse { reason, .. } => Some(*reason),
        RouteDecision::Send { .. } | RouteDecision::Queue { .. } | RouteDecision::Violated(_) => {
            None
        }
    }
}

fn sent_to(decision: &RouteDecision) -> Option<VmId> {
    match decision {
        RouteDecision::Send { vm, .. } => Some(*vm),
        RouteDecision::Refuse { .. } | RouteDecision::Queue { .. } | RouteDecision::Violated(_) => {
            None
        }
    }
}

/// Sends requests until the slots are full and returns the number sent.
fn fill(router: &mut Router, key: &str) -> u64 {
    let mut sent = 0;
    while sent_to(&router.route(TimeMs(0), request(sent, key, 60_000))).is_some() {
        sent += 1;
    }
    sent
}

/// Guards against requests that are accepted with a revoked key, also if the
/// key is revoked while the request waits.
#[test]
fn revoked_key_is_refused_on_arrival_and_in_the_queue() {
    let mut fleet = Fleet::new(1, 1);
    let mut router = router(&fleet, 100);
    let waiting = fill(&mut router, "k1");
    let changes = fleet.commit(vec![request_fleet::organisation("t1", 1000, &["k9"])]);
    router.refresh(TimeMs(10), &fleet.state, &changes);
    let events = router.serve_queues(TimeMs(10));
    let ids: Vec<_> = events.iter().map(|event| event.id).collect();
    assert_eq!(ids, [RequestId(waiting)]);
    assert_eq!(refusal(&events[0].decision), Some(RefusalReason::KeyUnknown));
    let again = router.route(TimeMs(10), request(500, "k1", 60_000));
    assert_eq!(refusal(&again), Some(RefusalReason::KeyUnknown));
}

/// Guards against a process with a stale view that routes requests or keeps
/// them waiting.
#[test]
fn stale_view_refuses_everything() {
    let fleet = Fleet::new(1, 1);
    let mut router = router(&fleet, 100);
    fill(&mut router, "k1");
    router.set_view(ViewState::Stale);
    let decision = router.route(TimeMs(1), request(500, "k1", 60_000));
    assert_eq!(refusal(&decision), Some(RefusalReason::ViewStale));
    let events = router.serve_queues(TimeMs(1));
    assert_eq!(refusal(&events[0].decision), Some(RefusalReason::ViewStale));
    assert_eq!(router.queued(), 0);
}

/// Guards against new requests to an instance that is leaving according to the
/// VM list or its own answer, and to one whose data centre is out of service.
#[test]
fn leaving_instances_get_no_request() {
    let mut fleet = Fleet::new(4, 1);
    let mut router = router(&fleet, 100);
    let health = VmObservation::Health { vm: VmId(0), health: Health::Leaving };
    let mut changes = fleet.apply(RecordBody::VmBatch(vec![health]));
    changes.extend(fleet.apply(RecordBody::DataCentreSet {
        data_centre: "dc2".to_owned(),
        in_service: false,
        author: "ana".to_owned(),
    }));
    router.refresh(TimeMs(0), &fleet.state, &changes);
    let first = sent_to(&router.route(TimeMs(0), request(1, "k1", 60_000))).unwrap();
    router.finished(TimeMs(0), first, ExchangeResult::Leaving);
    for id in 2..50 {
        let decision = router.route(TimeMs(10), request(id, "k1", 60_000));
        let Some(vm) = sent_to(&decision) else { break };
        assert!(vm != VmId(0) && vm != VmId(1) && vm != first, "{vm} gets no new request");
    }
    let in_flight: Vec<_> = router.in_flight().collect();
    assert_eq!(in_flight.len(), 1);
    assert_eq!(in_flight[0].1, 8);
}

/// Guards against the ejection of most of a pool for a common cause, and
/// against processes that all return to a failing instance at the same time.
#[test]
fn at_most_half_is_ejected_for_jittered_growing_times() {
    let mut ends = Vec::new();
    for seed in 0..4 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut ejector = Ejector::default();
        for vm in 0..9 {
            for _ in 0..10 {
                ejector.record(TimeMs(0), VmId(vm), ExchangeResult::Failed, 9, &mut rng);
            }
        }
        assert_eq!(ejector.ejected(TimeMs(0)), 4);
        let end = |ejector: &Ejector, from: u64| {
            (from..200_000)
                .find(|now| ejector.admission(TimeMs(*now), VmId(0)) != Admission::Ejected)
                .unwrap()
        };
        let first = end(&ejector, 0);
        ejector.record(TimeMs(first), VmId(0), ExchangeResult::Failed, 9, &mut rng);
        let second = end(&ejector, first) - first;
        assert!((1000..=1500).contains(&first) && (2000..=3000).contains(&second));
        let back = TimeMs(first + second);
        assert_eq!(ejector.admission(back, VmId(0)).slots(8), 1);
        assert_eq!(ejector.admission(back.plus(5000), VmId(0)).slots(8), 8);
        ends.push(first);
    }
    ends.dedup();
    assert!(ends.len() > 1, "processes with other seeds return at other times");
}

/// Guards against one organisation that fills the queue at the expense of
/// another, and against requests that wait although they cannot start before
/// their deadline.
#[test]
fn queue_is_bounded_fair_and_sheds_early() {
    let fleet = Fleet::new(1, 1);
    let mut router = router(&fleet, 20);
    fill(&mut router, "k1");
    for id in 100..140 {
        router.route(TimeMs(0), request(id, "k1", 60_000));
    }
    assert_eq!(router.queued(), 20);
    for id in 200..216 {
        let decision = router.route(TimeMs(0), request(id, "k3", 60_000));
        assert!(matches!(decision, RouteDecision::Queue { .. }), "{decision:?}");
    }
    assert_eq!(router.queued(), 20);
    let late = router.route(TimeMs(0), request(300, "k2", 20));
    assert_eq!(refusal(&late), Some(RefusalReason::DeadlineTooNear));
    let shed = router.serve_queues(TimeMs(0));
    assert_eq!(shed.len(), 16);
    assert!(shed.iter().all(|event| refusal(&event.decision) == Some(RefusalReason::QueueFull)));
    // The share of t3 is four times that of t1.
    let mut order = Vec::new();
    for _ in 0..10 {
        router.finished(TimeMs(100), VmId(0), ExchangeResult::Completed { service_ms: 100 });
        order.extend(router.serve_queues(TimeMs(100)).into_iter().map(|event| event.id.0 >= 200));
    }
    assert_eq!(order.iter().filter(|of_t3| **of_t3).count(), 8);
    let expired = router.serve_queues(TimeMs(60_000));
    let too_late =
        |event: &QueueEvent| refusal(&event.decision) == Some(RefusalReason::DeadlineTooNear);
    assert!(expired.len() == 10 && expired.iter().all(too_late));
}

/// Guards against a retry on the instance that failed, and against retries that
/// multiply the load on a failing pool.
#[test]
fn retry_takes_another_instance_within_the_budget() {
    let fleet = Fleet::new(2, 1);
    let mut router = router(&fleet, 20);
    let first = sent_to(&router.route(TimeMs(0), request(1, "k1", 60_000))).unwrap();
    let retry = RouteRequest { tried: vec![first], ..request(1, "k1", 60_000) };
    let second = sent_to(&router.route(TimeMs(0), retry.clone())).unwrap();
    assert_ne!(first, second);
    let third = router.route(TimeMs(0), retry);
    assert_eq!(refusal(&third), Some(RefusalReason::RetryBudget));
}

#[derive(Clone, Debug)]
enum Operation {
    Route(u8, u16),
    Finish(u8, u8),
    Health(u8, bool),
    Peer(u8, u8),
    Advance(u16),
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        6 => (0..3_u8, 1..3000_u16).prop_map(|(organisation, ms)| Operation::Route(organisation, ms)),
        6 => (any::<u8>(), any::<u8>()).prop_map(|(index, result)| Operation::Finish(index, result)),
        1 => (0..3_u8, any::<bool>()).prop_map(|(vm, up)| Operation::Health(vm, up)),
        1 => (2..4_u8, 0..9_u8).prop_map(|(session, count)| Operation::Peer(session, count)),
        2 => (1..400_u16).prop_map(Operation::Advance),
    ]
}

fn result(code: u8) -> ExchangeResult {
    match code % 5 {
        0 => ExchangeResult::Failed,
        1 => ExchangeResult::Leaving,
        2 => ExchangeResult::ConnectFailed,
        _ => ExchangeResult::Completed { service_ms: 40 },
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against a request that is decided twice or never, against more
    /// requests in flight from one process than an instance has slots, and
    /// against a send to an instance that is out of service.
    #[test]
    fn each_request_is_decided_once(operations in prop::collection::vec(operation(), 1..200)) {
        let mut fleet = Fleet::new(3, 3);
        let mut router = router(&fleet, 10);
        let mut now = TimeMs(0);
        let mut waiting = std::collections::BTreeSet::new();
        let mut in_flight = Vec::new();
        for (id, operation) in operations.into_iter().enumerate() {
            match operation {
                Operation::Route(organisation, ms) => {
                    let id = id as u64;
                    let key = format!("k{}", organisation + 1);
                    match router.route(now, request(id, &key, now.0 + u64::from(ms))) {
                        RouteDecision::Send { vm, .. } => in_flight.push(vm),
                        RouteDecision::Queue { .. } => { waiting.insert(RequestId(id)); }
                        RouteDecision::Refuse { .. } | RouteDecision::Violated(_) => {}
                    }
                }
                Operation::Finish(index, code) if !in_flight.is_empty() => {
                    let vm = in_flight.swap_remove(usize::from(index) % in_flight.len());
                    router.finished(now, vm, result(code));
                }
                Operation::Finish(_, _) => {}
                Operation::Health(vm, up) => {
                    let health = if up { Health::Up } else { Health::Down };
                    let vm = VmId(u32::from(vm));
                    if fleet.state.vms.get(vm).unwrap().health != health {
                        let batch = vec![VmObservation::Health { vm, health }];
                        let changes = fleet.apply(RecordBody::VmBatch(batch));
                        router.refresh(now, &fleet.state, &changes);
                    }
                }
                Operation::Peer(session, count) => {
                    let counts = [(VmId(0), u32::from(count))].into();
                    router.set_peer_in_flight(now, SessionId(u64::from(session)), counts);
                }
                Operation::Advance(ms) => now = now.plus(u64::from(ms)),
            }
            for event in router.serve_queues(now) {
                prop_assert!(waiting.remove(&event.id), "decided once");
                if let RouteDecision::Send { vm, .. } = event.decision {
                    prop_assert!(fleet.state.is_in_service(fleet.state.vms.get(vm).unwrap()));
                    in_flight.push(vm);
                }
            }
            prop_assert_eq!(router.queued(), waiting.len());
            for (_, own) in router.in_flight() {
                prop_assert!(own <= 8);
            }
        }
        for event in router.serve_queues(now.plus(10_000)) {
            prop_assert!(waiting.remove(&event.id));
        }
        prop_assert!(waiting.is_empty(), "each request is decided by its deadline");
    }
}
