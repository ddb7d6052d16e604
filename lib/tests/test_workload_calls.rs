//! Admission of callers' calls, the job registry, and the checks and records of
//! jobs.

use cowslipport_lib::findings::Findings;
use cowslipport_lib::keys::KeyDigest;
use cowslipport_lib::time::TimeMs;
use cowslipport_lib::workload::admission;
use cowslipport_lib::workload::admission::Action;
use cowslipport_lib::workload::admission::AdmissionDecision;
use cowslipport_lib::workload::admission::AgeLimits;
use cowslipport_lib::workload::admission::Call;
use cowslipport_lib::workload::admission::CallAnswer;
use cowslipport_lib::workload::admission::ConfirmedAt;
use cowslipport_lib::workload::admission::NotRunReason;
use cowslipport_lib::workload::admission::StartDelay;
use cowslipport_lib::workload::catalog::Catalog;
use cowslipport_lib::workload::catalog::CatalogSpec;
use cowslipport_lib::workload::catalog::OrganisationSpec;
use cowslipport_lib::workload::catalog::PoolSpec;
use cowslipport_lib::workload::catalog::QueueSpec;
use cowslipport_lib::workload::catalog::ResourceLimit;
use cowslipport_lib::workload::job_registry::JobRegistry;
use cowslipport_lib::workload::job_registry::JobView;
use cowslipport_lib::workload::key::JobKey;
use cowslipport_lib::workload::record::JobOutcome;
use cowslipport_lib::workload::record::JobStatus;
use cowslipport_lib::workload::record::Progress;
use cowslipport_lib::workload::record::RecordedPhase;
use cowslipport_lib::workload::record::RecordedPlacement;
use cowslipport_lib::workload::record::StepProgress;
use cowslipport_lib::workload::record::TaskProgress;
use cowslipport_lib::workload::spec::JobSpec;
use cowslipport_lib::workload::spec::QueueRules;
use cowslipport_lib::workload::spec::StepSpec;

const NOW: TimeMs = TimeMs(10_000);
const LIMITS: AgeLimits = AgeLimits { configuration_ms: 4_000, jobs_ms: 1_800 };
const FRESH: ConfirmedAt = ConfirmedAt { configuration: Some(NOW), jobs: Some(NOW) };
const JOB: &str = "00000000000000aa";

fn queue(name: &str, prefix: &str, is_public: bool) -> QueueSpec {
    QueueSpec {
        name: name.to_owned(),
        host: "host".to_owned(),
        path_prefix: prefix.to_owned(),
        pool: "pool".to_owned(),
        rules: rules(),
        is_public,
    }
}

fn rules() -> QueueRules {
    QueueRules {
        priority: 0,
        max_attempts: 2,
        slack_milli: 1_600,
        target_latency_ms: 600,
        needs_advice: false,
    }
}

fn configuration(version: u64, queues: Vec<QueueSpec>, keys: &[&str]) -> CatalogSpec {
    CatalogSpec {
        version,
        queues,
        pools: vec![PoolSpec { name: "pool".to_owned(), is_standby: false }],
        organisations: vec![OrganisationSpec {
            name: "organisation".to_owned(),
            keys: keys.iter().map(|key| (*key).to_owned()).collect(),
            weight: 1,
            limit: ResourceLimit::default(),
        }],
        max_body_bytes: 1_000,
    }
}

fn catalog() -> Catalog {
    let mut catalog = Catalog::default();
    let queues = vec![queue("short", "/a/", false), queue("long", "/a/b/", true)];
    catalog.apply(configuration(3, queues, &["secret"]));
    catalog
}

fn call<'a>(path: &'a str, key: Option<&str>, action: Action) -> Call<'a> {
    Call { host: "host", path, key: key.map(|key| KeyDigest::of(key.as_bytes())), action }
}

fn check(
    call: &Call<'_>,
    registry: &JobRegistry,
    confirmed_at: ConfirmedAt,
    expected: &CallAnswer,
) {
    let decision = admission::admit(
        NOW,
        call,
        &catalog(),
        registry,
        confirmed_at,
        StartDelay::default(),
        LIMITS,
    );
    assert_eq!(decision, AdmissionDecision::Answer(expected.clone()));
}

#[test]
fn longest_prefix_selects_the_queue() {
    let catalog = catalog();
    let found = catalog.find_queue("HOST", "/a/b/xyz").expect("a queue");
    assert_eq!(catalog.queue(found.queue).map(|queue| queue.name.as_str()), Some("long"));
    assert_eq!(found.rest, "xyz");
    assert!(catalog.find_queue("host", "/c").is_none());
}

#[test]
fn older_configuration_is_not_applied() {
    let mut catalog = catalog();
    assert!(!catalog.apply(configuration(2, Vec::new(), &[])));
    assert!(catalog.find_queue("host", "/a/x").is_some());
    assert!(catalog.apply(configuration(7, Vec::new(), &[])));
    assert!(catalog.find_queue("host", "/a/x").is_none());
}

#[test]
fn key_is_required_and_is_withdrawn_by_a_newer_configuration() {
    let registry = JobRegistry::default();
    let path = format!("/a/{JOB}");
    check(&call(&path, None, Action::Submit), &registry, FRESH, &CallAnswer::UnknownKey);
    check(&call(&path, Some("wrong"), Action::Submit), &registry, FRESH, &CallAnswer::UnknownKey);
    let mut catalog = catalog();
    let with_key = call(&path, Some("secret"), Action::Submit);
    let admitted =
        admission::admit(NOW, &with_key, &catalog, &registry, FRESH, StartDelay::default(), LIMITS);
    assert!(matches!(admitted, AdmissionDecision::Store(_)));
    catalog.apply(configuration(4, vec![queue("short", "/a/", false)], &[]));
    let refused =
        admission::admit(NOW, &with_key, &catalog, &registry, FRESH, StartDelay::default(), LIMITS);
    assert_eq!(refused, AdmissionDecision::Answer(CallAnswer::UnknownKey));
}

/// A node that no longer receives the configuration could accept a withdrawn
/// key. It must refuse every call that needs a key once its configuration is
/// stale, and say that the call had no effect.
#[test]
fn calls_with_a_key_are_refused_while_the_configuration_is_stale() {
    let stale = ConfirmedAt { configuration: Some(TimeMs(5_900)), jobs: Some(NOW) };
    let refusal = admission::not_run(NotRunReason::StaleConfiguration);
    let path = format!("/a/{JOB}");
    check(&call(&path, Some("secret"), Action::Submit), &JobRegistry::default(), stale, &refusal);
    check(&call("/unknown", None, Action::Query), &JobRegistry::default(), stale, &refusal);
    let public = format!("/a/b/{JOB}");
    let decision = admission::admit(
        NOW,
        &call(&public, None, Action::Submit),
        &catalog(),
        &JobRegistry::default(),
        stale,
        StartDelay::default(),
        LIMITS,
    );
    assert!(matches!(decision, AdmissionDecision::Store(_)), "a public queue needs no key");
}

#[test]
fn node_without_a_configuration_refuses() {
    let call = call("/a/", None, Action::Query);
    let decision = admission::admit(
        NOW,
        &call,
        &Catalog::default(),
        &JobRegistry::default(),
        FRESH,
        StartDelay::default(),
        LIMITS,
    );
    let refusal = admission::not_run(NotRunReason::NoConfiguration);
    assert_eq!(decision, AdmissionDecision::Answer(refusal));
}

fn progress(outcome: Option<JobOutcome>) -> Progress {
    let task = TaskProgress {
        phase: RecordedPhase::Placed(RecordedPlacement {
            worker: "w".to_owned(),
            incarnation_unix_ms: Some(7),
            is_lease_known: true,
        }),
        attempt: 1,
        failures: 0,
        checkpoint: Some("saved".to_owned()),
    };
    let steps = vec![StepProgress { occurrence: 0, step: 0, tasks: vec![task] }];
    Progress { outcome, steps, epoch: 5, has_started: true }
}

/// The status that a process reads from the record that belongs to a progress.
fn status(outcome: Option<JobOutcome>) -> JobStatus {
    JobStatus::decode(&progress(outcome).status().encode()).expect("a record")
}

/// Several nodes write the records of a job, and these arrive in any order. The
/// registry must show the same state whatever the order.
#[test]
fn registry_shows_a_job_whatever_the_order_of_its_records() {
    let mut catalog = catalog();
    let queue = catalog.queue_id("long");
    let job = JobKey(0xaa);
    let mut registry = JobRegistry::default();
    registry.apply_status(job, status(None));
    assert_eq!(registry.view(job), None, "the submission has not arrived");
    registry.apply_submission(job, queue, None);
    assert_eq!(registry.view(job), Some(JobView::Active));
    registry.apply_cancellation(job);
    assert_eq!(registry.view(job), Some(JobView::Cancelled));
    registry.apply_status(job, status(Some(JobOutcome::Completed)));
    assert_eq!(
        registry.view(job),
        Some(JobView::Completed),
        "the job ended before the cancellation took effect"
    );
    registry.remove(job);
    assert!(registry.is_empty());
}

#[test]
fn queued_jobs_are_counted() {
    let mut catalog = catalog();
    let queue = catalog.queue_id("long");
    let mut registry = JobRegistry::default();
    for key in 1..=3 {
        registry.apply_submission(JobKey(key), queue, None);
        registry.apply_submission(JobKey(key), queue, None);
    }
    registry.apply_status(JobKey(1), status(None));
    registry.apply_cancellation(JobKey(2));
    assert_eq!(registry.queued_jobs(queue), 1);
    check(&call("/a/b/", None, Action::Query), &registry, FRESH, &CallAnswer::Queued(1));
}

#[test]
fn repeated_submission_is_accepted_without_a_second_record() {
    let mut catalog = catalog();
    let mut registry = JobRegistry::default();
    registry.apply_submission(JobKey(0xaa), catalog.queue_id("long"), None);
    let path = format!("/a/b/{JOB}");
    check(&call(&path, None, Action::Submit), &registry, FRESH, &CallAnswer::Accepted);
}

#[test]
fn job_of_another_organisation_is_not_shown() {
    let mut catalog = catalog();
    let other = catalog.organisation_id("other");
    let mut registry = JobRegistry::default();
    registry.apply_submission(JobKey(0xaa), catalog.queue_id("short"), Some(other));
    let path = format!("/a/{JOB}");
    check(&call(&path, Some("secret"), Action::Query), &registry, FRESH, &CallAnswer::NoSuchJob);
}

/// The caller has a valid key, but the job is that of another organisation. It
/// must be neither cancelled nor replaced.
#[test]
fn job_of_another_organisation_is_not_changed() {
    let mut catalog = catalog();
    let mut registry = JobRegistry::default();
    let queue = catalog.queue_id("short");
    let other = catalog.organisation_id("other");
    registry.apply_submission(JobKey(0xaa), queue, Some(other));
    let path = format!("/a/{JOB}");
    check(&call(&path, Some("secret"), Action::Cancel), &registry, FRESH, &CallAnswer::NoSuchJob);
    let in_use = CallAnswer::Invalid("the job key is in use".to_owned());
    check(&call(&path, Some("secret"), Action::Submit), &registry, FRESH, &in_use);
}

#[test]
fn missing_job_is_reported_only_while_the_registry_is_fresh() {
    let path = format!("/a/b/{JOB}");
    let query = call(&path, None, Action::Query);
    check(&query, &JobRegistry::default(), FRESH, &CallAnswer::NoSuchJob);
    let stale = ConfirmedAt { configuration: Some(NOW), jobs: Some(TimeMs(8_000)) };
    let refusal = admission::not_run(NotRunReason::StaleJobs);
    check(&query, &JobRegistry::default(), stale, &refusal);
}

/// The store may hold the job before this process has read it, so the
/// cancellation must be stored.
#[test]
fn cancellation_of_an_unknown_job_is_stored() {
    let path = format!("/a/b/{JOB}");
    let cancel = call(&path, None, Action::Cancel);
    let decision = admission::admit(
        NOW,
        &cancel,
        &catalog(),
        &JobRegistry::default(),
        FRESH,
        StartDelay::default(),
        LIMITS,
    );
    assert_eq!(decision, AdmissionDecision::StoreCancellation(JobKey(0xaa)));
}

#[test]
fn malformed_job_key_is_refused() {
    for name in ["xyz", "00000000000000AA", "00000000000000aa1"] {
        let path = format!("/a/b/{name}");
        let call = call(&path, None, Action::Submit);
        let decision = admission::admit(
            NOW,
            &call,
            &catalog(),
            &JobRegistry::default(),
            FRESH,
            StartDelay::default(),
            LIMITS,
        );
        assert!(matches!(decision, AdmissionDecision::Answer(CallAnswer::Invalid(_))), "{name}");
    }
}

fn spec(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue: "short".to_owned(),
        pool: "pool".to_owned(),
        rules: rules(),
        organisation: None,
        payload: "text".to_owned(),
        steps,
        schedule: None,
        accepted_unix_ms: 1,
    }
}

fn findings(steps: Vec<StepSpec>) -> String {
    spec(steps).check().map_or_else(|findings: Findings| findings.to_string(), |()| String::new())
}

#[test]
fn check_of_a_job_reports_all_findings() {
    let forward = StepSpec { task_count: 0, depends_on: vec![1], ..StepSpec::default() };
    let huge = StepSpec { task_count: 20_000, ..StepSpec::default() };
    insta::assert_snapshot!(findings(vec![forward, huge]), @r"
    steps[0].task_count: must be at least 1
    steps[0].after_steps: must name earlier steps
    steps: have more than 10000 tasks in all
    ");
    insta::assert_snapshot!(findings(Vec::new()), @"steps: must be 1 to 64");
}

#[test]
fn records_decode_to_what_was_encoded() {
    let step = StepSpec {
        task_count: 2,
        depends_on: Vec::new(),
        required_label: Some("label".to_owned()),
        max_unavailable: Some(0),
        tail_target_ms: Some(20),
        ..StepSpec::default()
    };
    let job = spec(vec![step]);
    assert_eq!(JobSpec::decode(&job.encode()), Ok(job));
    let progress = progress(Some(JobOutcome::Failed));
    let progress_status = progress.status();
    assert_eq!(Progress::decode(&progress.encode()), Ok(progress));
    let not_started = Progress { epoch: 1, ..Progress::default() };
    let status = JobStatus { outcome: None, has_started: false };
    assert_eq!(not_started.status(), status);
    let ended = JobStatus { outcome: Some(JobOutcome::Failed), has_started: true };
    assert_eq!(progress_status, ended);
    for status in [status, ended] {
        assert_eq!(JobStatus::decode(&status.encode()), Ok(status));
    }
}

/// The owner has more starts to send than its link carries. A new job that
/// would wait too long is refused at once, with the time at which there will be
/// room.
#[test]
fn new_job_is_refused_while_the_link_of_the_owner_is_busy() {
    let path = format!("/a/{JOB}");
    let admit = |call: &Call<'_>, registry: &JobRegistry, delay_ms, age_ms: u64| {
        let received_at = NOW.minus(age_ms);
        let start_delay = StartDelay { delay_ms, received_at };
        admission::admit(NOW, call, &catalog(), registry, FRESH, start_delay, LIMITS)
    };
    let submit = call(&path, Some("secret"), Action::Submit);
    let none = JobRegistry::default();
    let refused = |retry_after_ms| {
        AdmissionDecision::Answer(CallAnswer::NotRun {
            reason: NotRunReason::OwnerBusy,
            retry_after_ms,
        })
    };
    assert_eq!(admit(&submit, &none, 5_000, 0), refused(3_000));
    assert_eq!(admit(&submit, &none, 5_000, 1_000), refused(2_000), "the estimate ages");
    for (delay_ms, age_ms) in [(0, 0), (2_000, 0), (5_000, 3_000)] {
        let decision = admit(&submit, &none, delay_ms, age_ms);
        assert!(matches!(decision, AdmissionDecision::Store(_)), "{delay_ms} {age_ms}");
    }
    let cancel = call(&path, Some("secret"), Action::Cancel);
    assert!(matches!(admit(&cancel, &none, 5_000, 0), AdmissionDecision::StoreCancellation(_)));
}
