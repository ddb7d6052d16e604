//! The tool against real daemons that read a log service on loopback.

mod support;

use support::TempFile;
use support::ToolRun;
use support::daemons::Daemons;
use support::demo_manifest;
use tokio::time::Instant;

fn run(address: &str, arguments: &str) -> String {
    ToolRun::new(arguments).operator(address).output()
}

#[track_caller]
fn assert_contains(output: &str, parts: &[&str]) {
    for part in parts {
        assert!(output.contains(part), "{part:?} is missing in:\n{output}");
    }
}

/// Repeats `run` until its output contains all `parts`, at most 1,000 times. A run
/// takes about 10 ms.
fn run_until<F>(run: F, parts: &[&str]) -> String
where
    F: Fn() -> String,
{
    for _ in 0..1_000 {
        let output = run();
        if parts.iter().all(|part| output.contains(part)) {
            return output;
        }
    }
    panic!("{parts:?} are missing after 1,000 runs; the last output is:\n{}", run());
}

/// Waits until both daemons are members and their view is confirmed.
fn wait_until_ready(address: &str) {
    run_until(|| run(address, "status"), &["view confirmed", "entry-1", "entry-2"]);
}

/// Repeats a run that a daemon refused because it stood still.
fn run_again_after_stall<F>(daemons: &Daemons, run: F) -> String
where
    F: Fn() -> String,
{
    loop {
        let began_at = Instant::now();
        let output = run();
        let is_refused = output.contains("not run: the view of this process is stale");
        if !is_refused || !daemons.stalls.has_stalled_near(began_at) {
            return output;
        }
    }
}

/// Runs a command that changes the configuration: both daemons confirm it. One that stood
/// still may be stale instead, which the tool has to say.
fn run_until_in_force(daemons: &Daemons, address: &str, arguments: &str) -> String {
    let began_at = Instant::now();
    let output = run(address, arguments);
    assert_contains(&output, &["status 0", "in force everywhere"]);
    let is_stale = output.contains("stale, and refusing new work until it confirms: entry-");
    if is_stale && daemons.stalls.has_stalled_near(began_at) {
        wait_until_ready(address);
    } else {
        assert_contains(&output, &["confirmed by 2 of 2"]);
    }
    output
}

/// Guards against operator calls that the tool and the daemon interpret
/// differently.
#[test]
fn operators_commit_race_and_take_a_data_centre_out() {
    let daemons = Daemons::start(&["entry-1", "entry-2"]);
    let (first, second) = (&daemons.operators[0], &daemons.operators[1]);
    wait_until_ready(first);

    let output = run_until_in_force(&daemons, first, "commit examples/demo.toml");
    assert_contains(&output, &["in force everywhere at revision 1"]);
    // A commit that is repeated, as after a lost reply, finds its manifest in force.
    let output = run(second, "commit examples/demo.toml --expect 0");
    assert_contains(&output, &["status 0", "unchanged at revision 1"]);

    let changed = demo_manifest().replace("share_milli = 700", "share_milli = 600");
    let file = TempFile::new("mine.toml", changed.as_bytes());
    let raced = ToolRun::new("commit --expect 0").file(&file).operator(second);
    assert_contains(&raced.output(), &["status 3", "ana committed revision 1 first"]);
    let dry_run = ToolRun::new("commit --dry-run").file(&file).operator(second);
    assert_contains(
        &dry_run.output(),
        &["status 0", "organisation alpha: share_milli from 700 to 600"],
    );

    run_until_in_force(&daemons, second, "dc disable dc1");
    assert_contains(
        &run(first, "status"),
        &["dc1          local   out", "degraded: data centre dc1"],
    );
    assert_contains(&run(first, "dc enable dc1"), &["status 0", "in force everywhere"]);
    assert_contains(&run(first, "dc disable nowhere"), &["status 2", "the input invalid"]);
    assert_contains(&run(first, "wave resume nowhere"), &["status 2", "nowhere does not exist"]);
    let output = ToolRun::new("status").operator(first).env("COWSLIPPORT_TOKEN", "wrong").output();
    assert_contains(&output, &["status 7"]);
}

/// Guards against job calls that the tool and the daemon interpret differently.
#[test]
fn submitters_submit_list_and_cancel_jobs() {
    let daemons = Daemons::start(&["entry-1", "entry-2"]);
    wait_until_ready(&daemons.operators[0]);
    let output = run(&daemons.operators[0], "commit examples/demo.toml");
    assert_contains(&output, &["status 0", "in force everywhere"]);
    let submitter = |callers: &str, arguments: &str| {
        let run = || {
            let run = ToolRun::new(arguments).env("COWSLIPPORT_CALLERS", callers);
            run.env("COWSLIPPORT_ORGANISATION_KEY", "demo-alpha-example-key").output()
        };
        run_again_after_stall(&daemons, run)
    };
    let (first, second) = (&daemons.callers[0], &daemons.callers[1]);
    let submit = "submit night-run --pool batch --cpu-milli 1000 --memory-bytes 1000000 \
                  --payload run_ms=600000";
    let refused = submitter(first, &submit.replace("batch", "nowhere"));
    assert_contains(&refused, &["status 1", "refused: the pool does not exist"]);
    // A partition accepts jobs only after its owner has read its stream.
    run_until(|| submitter(first, submit), &["status 0", "job night-run of organisation alpha"]);
    assert_contains(&submitter(second, submit), &["status 0", "was accepted before"]);
    run_until(|| submitter(second, "jobs"), &["night-run", "running", "batch"]);
    let explained = run(&daemons.operators[0], "explain job alpha/night-run");
    assert_contains(&explained, &["status 0", "start dc"]);
    assert_contains(&submitter(second, "cancel night-run"), &["status 0", "is cancelled"]);
    assert_contains(&submitter(second, "cancel night-run"), &["status 1", "is open"]);
    assert!(!submitter(first, "jobs").contains("night-run"));
}
