//! Grant of an organisation in one of several partitions.

use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::quota::Quota;
use cowslipport_lib::quota::QuotaChange;
use cowslipport_lib::quota::QuotaNeed;
use cowslipport_lib::quota::UNUSED_GRANT_MS;
use cowslipport_lib::record::GrantDirection;
use cowslipport_lib::resources::Resources;
use cowslipport_lib::scheduler_decision::ReturnReason;
use cowslipport_lib::scheduler_decision::TakeReason;
use cowslipport_lib::share::OrganisationDemand;
use cowslipport_lib::share::fair_shares;
use cowslipport_lib::time::TimeMs;

fn cpu(cpu_milli: u64) -> Resources {
    Resources { cpu_milli, ..Resources::ZERO }
}

fn quota(limit: u64, grant: u64, total: u64) -> Quota {
    let mut quota = Quota::default();
    quota.set_limit(cpu(limit));
    quota.set_grant(cpu(grant), cpu(total));
    quota
}

fn decide(quota: &mut Quota, at_ms: u64, used: u64, wanted: u64) -> Option<QuotaChange> {
    let need = QuotaNeed { used: cpu(used), wanted: cpu(wanted), urgent: Resources::ZERO };
    quota.decide(TimeMs(at_ms), OrganisationId(0), need).expect("no invariant is broken")
}

/// Guards against a partition that keeps the wrong part of a lowered limit
/// because it computes its part again after other partitions returned grant.
#[test]
fn lowered_limit_is_divided_once() {
    let mut quota = quota(1_000, 400, 800);
    quota.set_limit(cpu(400));
    assert_eq!(quota.cap(), Some(cpu(200)));
    quota.set_grant(cpu(400), cpu(600));
    assert_eq!(quota.cap(), Some(cpu(200)));
    let change = decide(&mut quota, 0, 150, 100);
    assert_eq!(change, Some(QuotaChange::Return(cpu(200), ReturnReason::LimitLowered)));
    assert_eq!(quota.available(), cpu(200));
    quota.set_grant(cpu(200), cpu(400));
    quota.resolve_change(GrantDirection::Return);
    assert_eq!(quota.cap(), None);
    assert_eq!(decide(&mut quota, 10, 200, 100), None, "nothing is left to take");
}

/// Guards against a separate take for each small job, takes beyond the limit,
/// and a second take while the first is pending.
#[test]
fn takes_are_in_steps_within_the_limit() {
    let mut small = quota(6_400, 0, 0);
    let change = decide(&mut small, 0, 0, 1);
    assert_eq!(change, Some(QuotaChange::Take(cpu(100), TakeReason::Queued)));
    assert_eq!(decide(&mut small, 10, 0, 500), None);
    let mut last = quota(6_400, 0, 6_390);
    let change = decide(&mut last, 0, 0, 10);
    assert_eq!(change, Some(QuotaChange::Take(cpu(10), TakeReason::Queued)));
}

/// Guards against grant that is returned and taken in turn, and against use of
/// grant whose return is pending.
#[test]
fn grant_is_returned_after_it_was_idle() {
    let mut quota = quota(640, 400, 400);
    assert_eq!(decide(&mut quota, 0, 100, 0), None);
    assert_eq!(decide(&mut quota, UNUSED_GRANT_MS - 1, 150, 0), None);
    let change = decide(&mut quota, UNUSED_GRANT_MS, 100, 0);
    assert_eq!(change, Some(QuotaChange::Return(cpu(240), ReturnReason::Unused)));
    assert_eq!(quota.available(), cpu(160));
}

/// Guards against shares above an organisation's demand while others have more
/// demand than they get.
#[test]
fn shares_are_max_min_fair() {
    let demand = |share_milli, demand| OrganisationDemand { share_milli, demand: cpu(demand) };
    let demands = [
        (OrganisationId(0), demand(1_000, 100)),
        (OrganisationId(1), demand(1_000, 900)),
        (OrganisationId(2), demand(2_000, 2_000)),
    ];
    let shares = fair_shares(cpu(1_000), &demands.into_iter().collect());
    let expected =
        [(OrganisationId(0), 100_000), (OrganisationId(1), 300_000), (OrganisationId(2), 600_000)];
    assert_eq!(shares, expected.into_iter().collect());
}
