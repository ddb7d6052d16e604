//! Faults of the log and failures of processes, over sockets.

mod support;

use std::time::Duration;

use awc::http::Method;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::protos::peer::CommitResult;
use cowslipport_lib::scheduler_event::TASK_LEASE_MS;
use cowslipport_standin::fleet::Fleet;
use cowslipport_standin::log_server::LogMessage;
use cowslipport_standin::log_store::LogFaults;
use cowslipport_standin::recorder::RecorderMessage;
use support::KEY;
use support::MANIFEST;
use support::Process;
use support::call;
use support::commit;
use support::get;
use support::set_data_centre;
use support::stalls::StallMonitor;
use support::start_fleet;
use support::start_three_processes;
use support::status;
use support::wait_until;
use tokio::sync::oneshot;

/// Time limit of the design after which an accepted change is in force on
/// every process, including one that cannot reach the log.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(4);

/// [`MANIFEST`] without the key of the organisation.
fn manifest_without_key() -> String {
    let key = MANIFEST.find("[[organisation.key]]").expect("the manifest has a key");
    MANIFEST[..key].to_owned()
}

async fn set_log_faults(fleet: &Fleet, faults: LogFaults) {
    let sent = fleet.log.mailbox().send(LogMessage::SetFaults(faults)).await;
    assert!(sent.is_ok(), "the log server runs");
}

/// Guards against processes that refuse requests during an outage of the log,
/// report a commit as recorded that is not, or do not recover afterwards.
#[actix_rt::test]
async fn log_outage_stops_commits_but_no_request() {
    let stalls = StallMonitor::start();
    let fleet = start_fleet().await;
    let processes = start_three_processes(&fleet).await;
    set_log_faults(&fleet, LogFaults { down: true, ..LogFaults::default() }).await;
    let mut refused = 0;
    for _ in 0..60 {
        for process in &processes {
            let (code, _) = stalls.repeat_if_stalled(|| get(process, KEY)).await;
            refused += u32::from(code != 200);
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert_eq!(refused, 0, "of 180 requests over an outage longer than a session lease");
    let reply = commit(&processes[0], 1, &manifest_without_key()).await;
    assert_ne!(reply.result(), CommitResult::Recorded, "{reply:?}");
    set_log_faults(&fleet, LogFaults::default()).await;
    wait_until(Duration::from_secs(20), "a commit is recorded again", || async {
        let revision = status(&processes[1]).await.revision;
        let reply = commit(&processes[1], revision, &manifest_without_key()).await;
        matches!(reply.result(), CommitResult::Recorded | CommitResult::Unchanged)
    })
    .await;
    wait_until(IN_FORCE_TIMEOUT, "the key is withdrawn everywhere", || async {
        for process in &processes {
            if get(process, KEY).await.0 != 401 {
                return false;
            }
        }
        true
    })
    .await;
}

/// Guards against a commit that takes effect twice or not at all because the
/// log wrote the record and its reply was lost.
#[actix_rt::test]
async fn commit_whose_replies_are_lost_takes_effect_once() {
    let fleet = start_fleet().await;
    let processes = start_three_processes(&fleet).await;
    set_log_faults(&fleet, LogFaults { lost_replies: 3, ..LogFaults::default() }).await;
    let reply = commit(&processes[2], 1, &manifest_without_key()).await;
    assert_eq!(reply.result(), CommitResult::Recorded, "{reply:?}");
    tokio::time::sleep(Duration::from_secs(3)).await;
    for process in &processes {
        assert_eq!(status(process).await.revision, 2);
    }
}

/// Guards against a process that cannot reach the log and goes on accepting a
/// key after its peers have applied the withdrawal of the key.
#[actix_rt::test]
async fn process_cut_off_from_the_log_learns_of_a_withdrawn_key_from_its_peers() {
    let stalls = StallMonitor::start();
    let fleet = start_fleet().await;
    let processes = start_three_processes(&fleet).await;
    processes[0].set_log_unreachable(true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (code, _) = stalls.repeat_if_stalled(|| get(&processes[0], KEY)).await;
    assert_eq!(code, 200, "its peers confirm its view");
    let reply = commit(&processes[1], 1, &manifest_without_key()).await;
    assert_eq!(reply.result(), CommitResult::Recorded, "{reply:?}");
    wait_until(IN_FORCE_TIMEOUT, "the key is withdrawn", || async {
        get(&processes[0], KEY).await.0 == 401
    })
    .await;
}

async fn running_cpu_milli(fleet: &Fleet) -> u64 {
    let (reply, samples) = oneshot::channel();
    let message = RecorderMessage::Samples { organisation: OrganisationId(0), reply };
    assert!(fleet.recorder.send(message).await.is_ok(), "the recorder runs");
    let samples = samples.await.expect("the recorder answers");
    samples.last().map_or(0, |sample| sample.requested.cpu_milli)
}

/// Guards against a process that can reach neither the log nor a majority of
/// the members and goes on accepting requests, or goes on renewing the leases
/// of tasks that a successor takes to have expired.
#[actix_rt::test]
async fn process_cut_off_from_log_and_majority_refuses_requests_and_renews_no_task() {
    let fleet = start_fleet().await;
    let mut processes = start_three_processes(&fleet).await;
    wait_until(Duration::from_secs(20), "a job runs", || async {
        let job = r#"{"name":"long","pool":"booking","cpu_milli":1000,"memory_bytes":1000000,"payload":"run_ms=600000"}"#;
        let (code, _) = call(&processes[0], Method::POST, "/jobs", KEY, job).await;
        code < 300 && running_cpu_milli(&fleet).await == 1000
    })
    .await;
    let owner = status(&processes[0]).await.pools[0].owner.clone();
    let names = ["entry-1", "entry-2", "entry-3"];
    let isolated = names.iter().position(|name| *name == owner).expect("a process owns the pool");
    let isolated = processes.remove(isolated);
    isolated.set_log_unreachable(true);
    processes.into_iter().for_each(Process::kill);
    wait_until(IN_FORCE_TIMEOUT, "the remaining process refuses requests", || async {
        let (status, body) = get(&isolated, KEY).await;
        status == 503 && body.contains("not_run")
    })
    .await;
    wait_until(Duration::from_millis(TASK_LEASE_MS), "the lease of the task expires", || async {
        running_cpu_milli(&fleet).await == 0
    })
    .await;
}

/// Guards against a killed process that stops the others from serving requests
/// or changing the configuration, and against a replacement that serves with an
/// old configuration.
#[actix_rt::test]
async fn killed_process_is_replaced_while_the_others_serve() {
    let stalls = StallMonitor::start();
    let fleet = start_fleet().await;
    let mut processes = start_three_processes(&fleet).await;
    processes.remove(0).kill();
    for _ in 0..20 {
        for process in &processes {
            let (code, _) = stalls.repeat_if_stalled(|| get(process, KEY)).await;
            assert_eq!(code, 200);
        }
    }
    set_data_centre(&processes[0], "dc2", false).await;
    let what = "the killed process is no member";
    let is_removed = || async { status(&processes[0]).await.members.len() == 2 };
    stalls.wait_until(Duration::from_secs(12), what, is_removed).await;
    let replacement = Process::start("entry-4", &fleet).await;
    let serves = || async { get(&replacement, KEY).await.0 == 200 };
    stalls.wait_until(Duration::from_secs(10), "the replacement serves", serves).await;
    let report = status(&replacement).await;
    assert!(report.data_centres.iter().any(|entry| entry.name == "dc2" && !entry.in_service));
}
