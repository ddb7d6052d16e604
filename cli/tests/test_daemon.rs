//! The tool against real daemons that follow a log service on loopback.

mod support;

use support::Run;
use support::ScratchFile;
use support::daemons::Daemons;
use support::demo_manifest;

fn run(address: &str, arguments: &str) -> String {
    Run::new(arguments).operator(address).output()
}

#[track_caller]
fn assert_has(output: &str, parts: &[&str]) {
    for part in parts {
        assert!(output.contains(part), "{part:?} is missing in:\n{output}");
    }
}

/// Waits until both daemons are members with a confirmed view.
fn wait_until_ready(address: &str) {
    for _ in 0..600 {
        let status = run(address, "status");
        if ["view confirmed", "entry-1", "entry-2"].iter().all(|part| status.contains(part)) {
            return;
        }
    }
    panic!("the daemons are not ready: {}", run(address, "status"));
}

/// Guards against a tool and a daemon that read the protocol differently.
#[test]
fn operators_commit_race_and_take_a_data_centre_out() {
    let daemons = Daemons::start(&["entry-1", "entry-2"]);
    let (first, second) = (&daemons.addresses[0], &daemons.addresses[1]);
    wait_until_ready(first);

    let output = run(first, "commit examples/demo.toml");
    assert_has(&output, &["status 0", "in force everywhere at revision 1", "confirmed by 2 of 2"]);
    // A repeated commit, as after a lost reply, sees itself.
    let output = run(second, "commit examples/demo.toml --expect 0");
    assert_has(&output, &["status 0", "unchanged at revision 1"]);

    let changed = demo_manifest().replace("share_milli = 700", "share_milli = 600");
    let file = ScratchFile::new("mine.toml", changed.as_bytes());
    let raced = Run::new("commit --expect 0").file(&file).operator(second);
    assert_has(&raced.output(), &["status 3", "ana committed revision 1 first"]);
    let dry_run = Run::new("commit --dry-run").file(&file).operator(second);
    assert_has(&dry_run.output(), &["status 0", "team alpha: share_milli from 700 to 600"]);

    let output = run(second, "dc disable dc1");
    assert_has(&output, &["status 0", "in force everywhere", "confirmed by 2 of 2"]);
    assert_has(&run(first, "status"), &["dc1          local   out", "degraded: data centre dc1"]);
    assert_has(&run(first, "dc enable dc1"), &["status 0", "in force everywhere"]);
    assert_has(&run(first, "dc disable nowhere"), &["status 2", "the input invalid"]);
    assert_has(&run(first, "wave resume nowhere"), &["status 2", "nowhere does not exist"]);
    let output = Run::new("status").operator(first).env("COWSLIPPORT_TOKEN", "wrong").output();
    assert_has(&output, &["status 7"]);
}
