//! Tests of tasks that use spare CPU, which take no CPU of their worker's capacity.

mod workload_fake;

use cowslipport_lib::workload::catalog::ResourceLimit;
use cowslipport_lib::workload::spec::StepSpec;

use crate::workload_fake::Fleet;
use crate::workload_fake::SHORT_WORK;
use crate::workload_fake::cores;
use crate::workload_fake::job;
use crate::workload_fake::step;

fn spare_cpu(task_count: u32) -> StepSpec {
    let request = cores(1);
    StepSpec { uses_spare_cpu: true, long_running: true, ..step(task_count, request) }
}

fn limited_fleet() -> Fleet {
    let mut fleet = Fleet::new(2, cores(8));
    fleet.limit = ResourceLimit { cpu_milli: Some(4_000), ..ResourceLimit::default() };
    fleet.configure(2);
    fleet
}

/// The limit of an organisation is on what it runs. The CPU of tasks that use spare
/// CPU was not counted, so that an organisation could run any number of them.
#[test]
fn spare_cpu_counts_against_the_limit_of_the_organisation() {
    let mut fleet = limited_fleet();
    fleet.submit(1, job(vec![spare_cpu(6)]), SHORT_WORK);
    fleet.advance(500);
    assert_eq!(fleet.running(), 4);
    fleet.assert_no_violations();
}

/// Tasks that use spare CPU also count when others of the organisation start, and no
/// longer once they have ended.
#[test]
fn limit_is_shared_with_tasks_that_use_spare_cpu() {
    let mut fleet = limited_fleet();
    let spare = fleet.submit(1, job(vec![spare_cpu(3)]), SHORT_WORK);
    fleet.advance(100);
    let lasting = StepSpec { long_running: true, ..step(4, cores(1)) };
    fleet.submit(2, job(vec![lasting]), SHORT_WORK);
    fleet.advance(500);
    assert_eq!(fleet.running(), 4);
    fleet.cancel(spare);
    fleet.advance(1_500);
    assert_eq!(fleet.running(), 4, "the other tasks take the place of those that ended");
    fleet.assert_no_violations();
}

/// The CPU of a worker is not taken by tasks that use what others leave.
#[test]
fn spare_cpu_takes_no_capacity_of_the_worker() {
    let mut fleet = Fleet::new(1, cores(8));
    let small = StepSpec { uses_spare_cpu: true, ..step(2, cores(8)) };
    let request = cowslipport_lib::resources::Resources { memory_bytes: 1, ..small.request };
    fleet.submit(1, job(vec![StepSpec { request, ..small }]), SHORT_WORK);
    fleet.submit(2, job(vec![step(7, cores(1))]), SHORT_WORK);
    fleet.advance(100);
    assert_eq!(fleet.running(), 9);
    fleet.assert_no_violations();
}
