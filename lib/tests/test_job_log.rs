//! The fold of a `jobs` stream with repeated records, snapshots and records of
//! former owners.

use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::RecordId;
use cowslipport_lib::job::JobEnd;
use cowslipport_lib::job::JobOutcome;
use cowslipport_lib::job::JobRecord;
use cowslipport_lib::job::JobRecordBody;
use cowslipport_lib::job::JobRef;
use cowslipport_lib::job::JobSpec;
use cowslipport_lib::job_log::JobChange;
use cowslipport_lib::job_log::JobLog;
use cowslipport_lib::job_log::JobLogError;
use cowslipport_lib::job_log::JobLogOutcome;
use cowslipport_lib::job_log::JobVoidReason;
use cowslipport_lib::resources::Resources;

fn job(name: &str) -> JobSpec {
    JobSpec {
        job: JobRef { organisation: OrganisationId(1), name: name.to_owned() },
        key: "key".to_owned(),
        pool: PoolId(2),
        request: Resources { cpu_milli: 500, memory_bytes: 1 << 30, accelerators: 1 },
        urgent: true,
        declared_run_ms: Some(7),
        payload: "payload".to_owned(),
        repeatable: true,
    }
}

fn ended(name: &str) -> JobRecordBody {
    let outcome = JobOutcome::Succeeded;
    JobRecordBody::Ended(vec![JobEnd { job: job(name).job, outcome }])
}

fn record(sequence: u64, epoch: u64, body: JobRecordBody) -> JobRecord {
    let record = JobRecord { id: RecordId { writer: 9, sequence }, epoch: Epoch(epoch), body };
    let decoded = JobRecord::decode(&record.encode()).expect("a record survives its encoding");
    assert_eq!(decoded, record);
    decoded
}

fn stream(records: Vec<JobRecord>) -> Vec<(Offset, Option<JobRecord>)> {
    (0..).map(Offset).zip(records.into_iter().map(Some)).collect()
}

fn names(log: &JobLog) -> Vec<&str> {
    log.open_jobs().map(|job| job.job.name.as_str()).collect()
}

/// Guards against a job that runs twice because its submission or its record
/// was repeated after a lost reply, also after the job has ended.
#[test]
fn repeated_submissions_open_no_second_job() {
    let mut log = JobLog::default();
    let accept = record(1, 1, JobRecordBody::Accepted(vec![job("a")]));
    let name = job("a").job;
    let outcome = log.apply(Offset(0), &accept);
    assert_eq!(outcome, JobLogOutcome::Applied(vec![JobChange::Accepted(name.clone())]));
    let outcome = log.apply(Offset(1), &accept);
    assert_eq!(outcome, JobLogOutcome::Void(JobVoidReason::Duplicate));
    assert_eq!(log.known(&job("a")), Some(JobChange::Known(name.clone())));
    let other = JobSpec { urgent: false, ..job("a") };
    assert_eq!(log.known(&other), Some(JobChange::Conflict(name.clone())));
    log.apply(Offset(2), &record(2, 1, ended("a")));
    let again = record(3, 1, JobRecordBody::Accepted(vec![job("a")]));
    let outcome = log.apply(Offset(3), &again);
    let known = JobChange::EndedBefore(name, JobOutcome::Succeeded);
    assert_eq!(outcome, JobLogOutcome::Applied(vec![known]));
    assert!(names(&log).is_empty());
}

/// Guards against a former owner that ends or accepts jobs after its successor
/// has started to append.
#[test]
fn records_of_a_former_owner_are_void() {
    let mut log = JobLog::default();
    log.apply(Offset(0), &record(1, 5, JobRecordBody::Accepted(vec![job("a")])));
    log.apply(Offset(1), &record(2, 6, JobRecordBody::Accepted(vec![job("b")])));
    let outcome = log.apply(Offset(2), &record(3, 5, ended("a")));
    let reason = JobVoidReason::OldEpoch { found: Epoch(5), highest: Epoch(6) };
    assert_eq!(outcome, JobLogOutcome::Void(reason));
    assert_eq!(names(&log), ["a", "b"]);
}

/// Guards against jobs that are lost because records were appended between a
/// snapshot's `next_offset` and its own offset, or because the log no longer
/// keeps the records before it.
#[test]
fn snapshot_and_tail_give_the_same_state() {
    let mut records = vec![
        record(1, 1, JobRecordBody::Accepted(vec![job("a"), job("b")])),
        record(2, 1, ended("a")),
    ];
    let early = JobLog::fold(&stream(records.clone())).expect("the stream is complete");
    records.push(record(3, 1, JobRecordBody::Accepted(vec![job("c")])));
    records.push(record(4, 1, JobRecordBody::Snapshot(early.snapshot())));
    records.push(record(5, 1, JobRecordBody::Cancelled(vec![job("b").job])));
    let stream = stream(records);
    let mut whole = JobLog::default();
    for (offset, record) in &stream {
        whole.apply(*offset, record.as_ref().expect("the record decodes"));
    }
    assert_eq!(names(&whole), ["c"]);
    let tail = JobLog::fold(&stream[2..]).expect("the snapshot covers what is dropped");
    assert_eq!(tail.snapshot(), whole.snapshot());
    let lost = JobLog::fold(&stream[3..]);
    assert_eq!(lost, Err(JobLogError::Incomplete { first: Offset(3) }));
}
