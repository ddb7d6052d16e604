//! Faults of the log and of processes, over sockets.

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
use support::start_fleet;
use support::start_three_processes;
use support::status;
use support::wait_until;
use tokio::sync::oneshot;

/// Bound of the design for an accepted change on a process that is cut off.
const IN_FORCE: Duration = Duration::from_secs(4);

/// [`MANIFEST`] with the key of the organisation withdrawn.
fn manifest_without_key() -> String {
    let key = MANIFEST.find("[[organisation.key]]").expect("the manifest grants a key");
    MANIFEST[..key].to_owned()
}

async fn set_log_faults(fleet: &Fleet, faults: LogFaults) {
    let sent = fleet.log.mailbox().send(LogMessage::SetFaults(faults)).await;
    assert!(sent.is_ok(), "the log runs");
}

/// Guards against an outage of the log that stops requests, a commit that is
/// said to be recorded while it is not, and members that do not recover.
#[actix_rt::test]
async fn log_outage_stops_commits_and_no_request() {
    let fleet = start_fleet().await;
    let processes = start_three_processes(&fleet).await;
    set_log_faults(&fleet, LogFaults { down: true, ..LogFaults::default() }).await;
    let mut refused = 0;
    for _ in 0..60 {
        for process in &processes {
            refused += u32::from(get(process, KEY).await.0 != 200);
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
    wait_until(IN_FORCE, "the key is withdrawn everywhere", || async {
        for process in &processes {
            if get(process, KEY).await.0 != 401 {
                return false;
            }
        }
        true
    })
    .await;
}

/// Guards against a commit that a lost reply turns into two, or into none.
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

/// Guards against a process without the log that still honours a withdrawn key
/// while its peers know better.
#[actix_rt::test]
async fn process_without_the_log_hears_of_a_withdrawn_key_from_its_peers() {
    let fleet = start_fleet().await;
    let processes = start_three_processes(&fleet).await;
    processes[0].set_log_unreachable(true);
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(get(&processes[0], KEY).await.0, 200, "its peers confirm its view");
    let reply = commit(&processes[1], 1, &manifest_without_key()).await;
    assert_eq!(reply.result(), CommitResult::Recorded, "{reply:?}");
    wait_until(IN_FORCE, "the key is withdrawn", || async {
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

/// Guards against a process that is cut off from the log and from the majority
/// and goes on taking work, or keeps tasks alive that a successor counts as
/// ended when their leases are over.
#[actix_rt::test]
async fn process_without_log_and_majority_refuses_new_work_and_renews_no_task() {
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
    let alone = names.iter().position(|name| *name == owner).expect("a process owns the pool");
    let alone = processes.remove(alone);
    alone.set_log_unreachable(true);
    processes.into_iter().for_each(Process::kill);
    wait_until(IN_FORCE, "it refuses requests", || async {
        let (status, body) = get(&alone, KEY).await;
        status == 503 && body.contains("not_run")
    })
    .await;
    wait_until(Duration::from_millis(TASK_LEASE_MS), "the task ends by its lease", || async {
        running_cpu_milli(&fleet).await == 0
    })
    .await;
}

/// Guards against a killed process that keeps the others from serving or from
/// changing the configuration, and a replacement that serves an old one.
#[actix_rt::test]
async fn killed_process_is_replaced_without_a_stop_of_service() {
    let fleet = start_fleet().await;
    let mut processes = start_three_processes(&fleet).await;
    processes.remove(0).kill();
    for _ in 0..20 {
        for process in &processes {
            assert_eq!(get(process, KEY).await.0, 200);
        }
    }
    set_data_centre(&processes[0], "dc2", false).await;
    wait_until(Duration::from_secs(12), "the killed process is no member", || async {
        status(&processes[0]).await.members.len() == 2
    })
    .await;
    let replacement = Process::start("entry-4", &fleet).await;
    wait_until(Duration::from_secs(10), "the replacement serves", || async {
        get(&replacement, KEY).await.0 == 200
    })
    .await;
    let report = status(&replacement).await;
    assert!(report.data_centres.iter().any(|entry| entry.name == "dc2" && !entry.in_service));
}
