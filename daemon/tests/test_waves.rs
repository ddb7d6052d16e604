//! A maintenance wave over sockets while callers send requests.

mod support;

use std::time::Duration;

use awc::http::Method;
use support::KEY;
use support::MANIFEST;
use support::call;
use support::commit;
use support::stalls::StallMonitor;
use support::start_fleet;
use support::start_three_daemons;
use support::status;
use support::wait_until;

const WAVE: &str = r#"
[[wave]]
name = "kernel"
pools = ["booking"]
initial_width = 1
max_width = 2
max_failed = 1
soak_ms = 500
reboot_timeout_ms = 20000
"#;

/// Guards against a wave that takes more than the budget of one VM out of
/// service at a time, that reboots a VM whose requests or tasks are not
/// finished, or that does not finish.
#[actix_rt::test]
async fn wave_reboots_every_vm_within_the_budget_and_interrupts_no_request() {
    let stalls = StallMonitor::start();
    let fleet = start_fleet().await;
    let daemons = start_three_daemons(&fleet).await;
    wait_until(Duration::from_secs(15), "requests are served", || async {
        call(&daemons[0], Method::GET, "/pools/booking/slots", KEY, "").await.0 == 200
    })
    .await;
    let reply = commit(&daemons[1], 1, &format!("{MANIFEST}{WAVE}")).await;
    assert_eq!(reply.revision, 2, "{reply:?}");
    wait_until(Duration::from_secs(90), "the wave finishes", || async {
        for daemon in &daemons {
            let request = || call(daemon, Method::GET, "/pools/booking/slots", KEY, "");
            let (code, body) = stalls.repeat_if_stalled(request).await;
            assert_eq!(code, 200, "{body}");
        }
        let report = status(&daemons[0]).await;
        assert!(report.pools[0].unavailable <= 1, "{report:?}");
        report.waves.iter().all(|wave| wave.phase == "finished")
    })
    .await;
    let report = status(&daemons[2]).await;
    assert_eq!((report.waves[0].done, report.pools[0].unavailable), (4, 0), "{report:?}");
    let summary = fleet.summary().await;
    assert_eq!((summary.interrupted_requests, summary.interrupted_tasks), (0, 0), "{summary:?}");
}
