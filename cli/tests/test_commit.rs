//! `commit` against a fake daemon.

mod support;

use std::collections::VecDeque;

use cowslipport_lib::config::Manifest;
use cowslipport_lib::protos::config as raw_config;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::CommitResult;
use support::TempFile;
use support::ToolRun;
use support::admin::Call;
use support::admin::FakeDaemon;
use support::admin::Reply;
use support::demo_manifest;
use tonic::Status;

fn reply(result: CommitResult) -> raw::CommitReply {
    raw::CommitReply { result: result.into(), ..raw::CommitReply::default() }
}

fn member(name: &str, applied: bool, stale: bool) -> raw::MemberProgress {
    raw::MemberProgress { name: name.to_owned(), applied, stale, age_ms: 10 }
}

fn progress(accepted: bool, members: Vec<raw::MemberProgress>) -> raw::InForceReply {
    raw::InForceReply { accepted, members }
}

fn manifest_in_force(revision: u64, manifest: &str) -> raw::GetManifestReply {
    let manifest = Manifest::from_toml(manifest).expect("the manifest is valid");
    let manifest = Some(raw_config::Manifest::from(&manifest));
    raw::GetManifestReply { revision, author: "ben".to_owned(), manifest }
}

/// Starts a fake daemon at revision 3. It replies to a commit with `commit`, and
/// to queries of the progress with each of `progress` in turn, then with the last
/// one repeatedly.
fn daemon(
    commit: Result<raw::CommitReply, Status>,
    progress: Vec<raw::InForceReply>,
    in_force: raw::GetManifestReply,
) -> FakeDaemon {
    let mut progress = VecDeque::from(progress);
    FakeDaemon::start(move |call| match call {
        Call::GetManifest => Ok(Reply::Manifest(in_force.clone())),
        Call::Commit(request) => {
            assert_eq!((request.expected_revision, request.author.as_str()), (3, "ana"));
            commit.clone().map(Reply::Commit)
        }
        Call::InForce(request) => {
            assert_eq!(request.offset, 40);
            let next = if progress.len() > 1 { progress.pop_front() } else { None };
            Ok(Reply::InForce(next.unwrap_or_else(|| progress[0].clone())))
        }
        Call::SetDataCentre(_) | Call::ResumeWave(_) | Call::Status | Call::Explain(_) => {
            panic!("unexpected call {call:?}")
        }
    })
}

fn old_manifest() -> raw::GetManifestReply {
    manifest_in_force(3, &demo_manifest().replace("share_milli = 700", "share_milli = 600"))
}

fn recorded() -> raw::CommitReply {
    raw::CommitReply { offset: 40, revision: 4, ..reply(CommitResult::Recorded) }
}

/// Guards against success being reported before the change is in force.
#[test]
fn a_commit_waits_until_it_is_in_force_everywhere() {
    let steps = vec![
        progress(false, vec![member("e1", true, false), member("e2", false, false)]),
        progress(true, vec![member("e1", true, false), member("e2", false, false)]),
        progress(true, vec![member("e1", true, false), member("e2", true, false)]),
    ];
    let daemon = daemon(Ok(recorded()), steps.clone(), old_manifest());
    let run = ToolRun::new("commit examples/demo.toml").operator(&daemon.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
in force everywhere at revision 4, offset 40, confirmed by 2 of 2
-- stderr
recorded at offset 40
not accepted yet, applied by 1 of 2, waiting for e2
accepted by a majority, applied by 1 of 2, waiting for e2
"#);
    let run = ToolRun::new("commit examples/demo.toml --expect 3 --format json");
    insta::assert_snapshot!(run.operator(&daemon.address).output(), @r#"
status 0
-- stdout
{"result":"in_force","revision":4,"offset":40,"members":2,"stale":[]}
-- stderr
recorded at offset 40
"#);
}

/// Guards against waiting forever for a process that does not confirm, and
/// against output that does not name it.
#[test]
fn unconfirmed_processes_are_named() {
    let stale = vec![progress(true, vec![member("e1", true, false), member("e2", false, true)])];
    let fake = daemon(Ok(recorded()), stale, old_manifest());
    let run = ToolRun::new("commit examples/demo.toml").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
in force everywhere at revision 4, offset 40, confirmed by 1 of 2; stale, and refusing new work until it confirms: e2
-- stderr
recorded at offset 40
"#);
    let late = vec![progress(true, vec![member("e1", true, false), member("e2", false, false)])];
    let fake = daemon(Ok(recorded()), late, old_manifest());
    let run = ToolRun::new("commit examples/demo.toml --timeout-ms 0").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 5
-- stdout
-- stderr
recorded at offset 40
accepted by a majority, applied by 1 of 2, waiting for e2
error: offset 40 is recorded, but not in force everywhere after 0 ms; not confirmed: e2
next: run `cowslipport status`; a process that stays out of contact refuses new work by itself, and the change needs no second commit
"#);
}

/// Guards against a conflict of two commits that the second operator is not told
/// about, or that changes the second operator's file.
#[test]
fn conflict_names_the_first_author() {
    let conflict =
        raw::CommitReply { revision: 5, author: "ben".to_owned(), ..reply(CommitResult::Conflict) };
    let fake = daemon(Ok(conflict), Vec::new(), old_manifest());
    let file = TempFile::new("mine.toml", demo_manifest().as_bytes());
    let run = ToolRun::new("commit --expect 3").file(&file).operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 3
-- stdout
-- stderr
error: ben committed revision 5 first; revision 3 was expected
next: your file is unchanged; run `cowslipport commit FILE --dry-run`, and commit with --expect 5 if the differences are right
"#);
    assert_eq!(std::fs::read_to_string(&file.path).expect("the file is kept"), demo_manifest());
}

/// Guards against a commit that is repeated after a lost reply and reports a
/// conflict with its own first attempt, and against a lost reply that is reported
/// as a failure.
#[test]
fn lost_reply_is_resolved_by_the_manifest_in_force() {
    let conflict =
        raw::CommitReply { revision: 4, author: "ana".to_owned(), ..reply(CommitResult::Conflict) };
    for commit in [Ok(conflict), Ok(reply(CommitResult::Unknown)), Err(Status::unavailable("cut"))]
    {
        let fake = daemon(commit, Vec::new(), manifest_in_force(4, &demo_manifest()));
        let run = ToolRun::new("commit examples/demo.toml --expect 3").operator(&fake.address);
        insta::allow_duplicates! {
            insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
unchanged at revision 4
-- stderr
"#);
        }
    }
    let fake = daemon(Err(Status::unavailable("cut")), Vec::new(), old_manifest());
    let run = ToolRun::new("commit examples/demo.toml").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 6
-- stdout
-- stderr
error: the outcome is unknown: cut
next: run `cowslipport commit examples/demo.toml --expect 3` again; it takes effect once
"#);
}

/// Guards against a dry run that omits the differences, or that waits for a
/// change to be in force.
#[test]
fn a_dry_run_lists_differences() {
    let lines = vec!["organisation alpha: share_milli from 600 to 700".to_owned()];
    let answer = raw::CommitReply { revision: 3, lines, ..reply(CommitResult::DryRun) };
    let fake = daemon(Ok(answer), Vec::new(), old_manifest());
    let run = ToolRun::new("commit examples/demo.toml --dry-run").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
organisation alpha: share_milli from 600 to 700
-- stderr
"#);
}

/// Guards against different refusals that end with the same exit status.
#[test]
fn refusals_have_their_own_statuses() {
    let lines = vec!["organisation[0].name: \"a b\" is not a name".to_owned()];
    let invalid = raw::CommitReply { lines, ..reply(CommitResult::Invalid) };
    let fake = daemon(Ok(invalid), Vec::new(), old_manifest());
    let run = ToolRun::new("commit examples/demo.toml").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 2
-- stdout
-- stderr
error: the server found the input invalid:
organisation[0].name: "a b" is not a name
next: correct the input; `cowslipport status` lists what exists
"#);
    let fake = daemon(Ok(reply(CommitResult::LogUnavailable)), Vec::new(), old_manifest());
    let run = ToolRun::new("commit examples/demo.toml").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 1
-- stdout
-- stderr
error: the log service is unavailable; nothing was recorded
next: run the same command again when `cowslipport status` shows the log as reachable
"#);
    let run = ToolRun::new("commit examples/demo.toml").operator(&fake.address);
    insta::assert_snapshot!(run.env("COWSLIPPORT_TOKEN", "wrong").output(), @r#"
status 7
-- stdout
-- stderr
error: the server refused the operators' token: the token is not known
next: check the file or variable that holds the operators' token; a withdrawn operators' token must be replaced
"#);
    let run = ToolRun::new("commit examples/demo.toml").operator(&fake.address);
    insta::assert_snapshot!(run.env("COWSLIPPORT_TOKEN", "").output(), @r#"
status 7
-- stdout
-- stderr
error: the operators' token is empty or contains characters that a header cannot carry
next: make sure that the file or variable holds only the operators' token
"#);
    let run = ToolRun::new("commit examples/demo.toml").env("COWSLIPPORT_SERVER", &fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 7
-- stdout
-- stderr
error: the operators' token is missing: neither --token-file nor COWSLIPPORT_TOKEN is set
next: give --token-file FILE or set COWSLIPPORT_TOKEN
"#);
}

/// Guards against a daemon that is down being reported as a refusal.
#[test]
fn a_daemon_that_is_down_is_reported() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound").to_string();
    drop(listener);
    let run = ToolRun::new("commit examples/demo.toml").operator(&address);
    insta::assert_snapshot!(run.output(), @r#"
status 4
-- stdout
-- stderr
error: cannot reach [server]: Connection refused (os error 111)
next: check that the daemon is running, or use another one; any daemon will do
"#);
}
