//! `status`, `watch`, `explain`, `dc` and `wave` against a fake daemon.

mod support;

use cowslipport_lib::protos::control::Resources;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::CommitResult;
use support::ToolRun;
use support::admin::Call;
use support::admin::FakeDaemon;
use support::admin::Reply;
use tonic::Status;

fn status(revision: u64, web_unavailable: u32) -> raw::StatusReply {
    let limit =
        Some(Resources { cpu_milli: 32_000, memory_bytes: 64_000_000_000, accelerators: 0 });
    let granted = Some(Resources { cpu_milli: 500, memory_bytes: 1_000_000, accelerators: 2 });
    raw::StatusReply {
        revision,
        author: "ana".to_owned(),
        next_offset: 41,
        freshness: "confirmed".to_owned(),
        pools: vec![raw::PoolStatus {
            name: "web".to_owned(),
            vms: 4,
            unavailable: web_unavailable,
            max_unavailable: 1,
            owner: "entry-1".to_owned(),
        }],
        organisations: vec![raw::OrganisationStatus {
            name: "alpha".to_owned(),
            share_milli: 700,
            limit,
            granted,
        }],
        data_centres: vec![raw::DataCentreStatus {
            name: "dc1".to_owned(),
            region: "local".to_owned(),
            in_service: web_unavailable == 0,
            vms: 10,
        }],
        waves: vec![raw::WaveStatus {
            name: "w1".to_owned(),
            phase: "halted".to_owned(),
            width: 2,
            done: 3,
            failed: 2,
            total: 10,
        }],
        members: vec![raw::MemberStatus {
            name: "entry-1".to_owned(),
            data_centre: "dc1".to_owned(),
            log_reachable: true,
            next_offset: 41,
            age_ms: 350,
        }],
        degraded: vec!["wave w1 is halted".to_owned()],
    }
}

fn recorded() -> raw::CommitReply {
    let result = CommitResult::Recorded.into();
    raw::CommitReply { result, offset: 41, revision: 3, ..raw::CommitReply::default() }
}

fn explain(request: &raw::ExplainRequest) -> Result<Reply, Status> {
    let line = raw::ExplainLine {
        age_ms: 130_000,
        process: "entry-1".to_owned(),
        decision: "not placed".to_owned(),
        reason: "no worker of pool batch fits 64 cores".to_owned(),
    };
    match (request.kind.as_str(), request.name.as_str()) {
        ("job", "alpha/night-run") => Ok(Reply::Explain(raw::ExplainReply { lines: vec![line] })),
        ("vm", "vm-1") => Ok(Reply::Explain(raw::ExplainReply { lines: Vec::new() })),
        (_, name) => Err(Status::not_found(format!("no organisation is named {name:?}"))),
    }
}

fn daemon() -> FakeDaemon {
    let mut polls = 0;
    FakeDaemon::start(move |call| match call {
        Call::Status => {
            polls += 1;
            Ok(Reply::Status(if polls == 1 { status(3, 0) } else { status(4, 1) }))
        }
        Call::Explain(request) => explain(&request),
        Call::SetDataCentre(request) => {
            assert_eq!((request.data_centre.as_str(), request.author.as_str()), ("dc1", "ana"));
            Ok(Reply::Commit(recorded()))
        }
        Call::ResumeWave(request) => {
            assert_eq!((request.wave.as_str(), request.author.as_str()), ("w1", "ana"));
            Ok(Reply::Commit(recorded()))
        }
        Call::InForce(_) => {
            let name = "entry-1".to_owned();
            let member = raw::MemberProgress { name, applied: true, stale: false, age_ms: 1 };
            Ok(Reply::InForce(raw::InForceReply { accepted: true, members: vec![member] }))
        }
        Call::Commit(_) | Call::GetManifest => panic!("unexpected call {call:?}"),
    })
}

/// Guards against a status that omits the reasons for a degraded fleet.
#[test]
fn status_is_shown_as_text_and_json() {
    let fake = daemon();
    let run = ToolRun::new("status").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
revision 3 by ana, next offset 41
view confirmed
degraded: wave w1 is halted

DATA CENTRE  REGION  STATE       VMS
dc1          local   in service  10

POOL  VMS  UNAVAILABLE  BUDGET  OWNER
web   4    0            1       entry-1

ORGANISATION  SHARE  GRANTED                            LIMIT
alpha         700    0.500 cores, 1 MB, 2 accelerators  32.000 cores, 64000 MB

WAVE  PHASE   WIDTH  DONE  FAILED  TOTAL
w1    halted  2      3     2       10

PROCESS  DATA CENTRE  LOG        NEXT OFFSET  HEARD
entry-1  dc1          reachable  41           350 ms ago
-- stderr
"#);
    let run = ToolRun::new("status --format json").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
{"revision":4,"author":"ana","next_offset":41,"freshness":"confirmed","pools":[{"name":"web","vms":4,"unavailable":1,"max_unavailable":1,"owner":"entry-1"}],"organisations":[{"name":"alpha","share_milli":700,"limit":{"cpu_milli":32000,"memory_bytes":64000000000,"accelerators":0},"granted":{"cpu_milli":500,"memory_bytes":1000000,"accelerators":2}}],"data_centres":[{"name":"dc1","region":"local","in_service":false,"vms":10}],"waves":[{"name":"w1","phase":"halted","width":2,"done":3,"failed":2,"total":10}],"members":[{"name":"entry-1","data_centre":"dc1","log_reachable":true,"next_offset":41,"age_ms":350}],"degraded":["wave w1 is halted"]}
-- stderr
"#);
}

/// Guards against a watch that prints unchanged state again.
#[test]
fn watch_prints_changes_only() {
    let fake = daemon();
    let run = ToolRun::new("watch --count 3 --interval-ms 1").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
data centre dc1: in service
degraded: wave w1 is halted: yes
pool web: 4 VMs, 0 unavailable
process entry-1: log reachable
revision: 3 by ana
server: reachable
view: confirmed
wave w1: halted, width 2, 3 done, 2 failed of 10
data centre dc1: out (was in service)
pool web: 4 VMs, 1 unavailable (was 4 VMs, 0 unavailable)
revision: 4 by ana (was 3 by ana)
-- stderr
"#);
    let fake = daemon();
    let run = ToolRun::new("watch --count 2 --interval-ms 1 --format json").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
{"subject":"data centre dc1","before":null,"after":"in service"}
{"subject":"degraded: wave w1 is halted","before":null,"after":"yes"}
{"subject":"pool web","before":null,"after":"4 VMs, 0 unavailable"}
{"subject":"process entry-1","before":null,"after":"log reachable"}
{"subject":"revision","before":null,"after":"3 by ana"}
{"subject":"server","before":null,"after":"reachable"}
{"subject":"view","before":null,"after":"confirmed"}
{"subject":"wave w1","before":null,"after":"halted, width 2, 3 done, 2 failed of 10"}
{"subject":"data centre dc1","before":"in service","after":"out"}
{"subject":"pool web","before":"4 VMs, 0 unavailable","after":"4 VMs, 1 unavailable"}
{"subject":"revision","before":"3 by ana","after":"4 by ana"}
-- stderr
"#);
}

/// Guards against a watch that ends while its daemon is being replaced.
#[test]
fn watch_continues_while_the_daemon_is_unreachable() {
    let mut polls = 0;
    let fake = FakeDaemon::start(move |_| {
        polls += 1;
        if polls == 2 { Err(Status::unavailable("away")) } else { Ok(Reply::Status(status(3, 0))) }
    });
    let run = ToolRun::new("watch --count 3 --interval-ms 1").operator(&fake.address);
    let output = run.output();
    let changes: Vec<&str> = output.lines().filter(|line| line.starts_with("server")).collect();
    insta::assert_snapshot!(changes.join("\n"), @r#"
server: reachable
server: cannot reach [server]: away (was reachable)
server: reachable (was cannot reach [server]: away)
"#);
}

/// Guards against decisions without reasons, and against an unknown name being
/// reported like an object without decisions.
#[test]
fn explain_shows_decisions_with_reasons() {
    let fake = daemon();
    let run = ToolRun::new("explain job alpha/night-run").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
AGE    PROCESS  DECISION    REASON
2 min  entry-1  not placed  no worker of pool batch fits 64 cores
-- stderr
"#);
    let run = ToolRun::new("explain vm vm-1").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
no recent decision about vm vm-1
-- stderr
"#);
    let run = ToolRun::new("explain organisation nobody --format json").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 1
-- stdout
-- stderr
error: refused: no organisation is named "nobody"
next: run `cowslipport status` to see what exists
"#);
}

/// Guards against data centre and wave commands that return before the change is
/// in force.
#[test]
fn data_centres_and_waves_wait_until_in_force() {
    let fake = daemon();
    let run = ToolRun::new("dc disable dc1").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
in force everywhere at revision 3, offset 41, confirmed by 1 of 1
-- stderr
recorded at offset 41
"#);
    let run = ToolRun::new("dc enable dc1 --format json").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
{"result":"in_force","revision":3,"offset":41,"members":1,"stale":[]}
-- stderr
recorded at offset 41
"#);
    let run = ToolRun::new("wave resume w1").operator(&fake.address);
    insta::assert_snapshot!(run.output(), @r#"
status 0
-- stdout
in force everywhere at revision 3, offset 41, confirmed by 1 of 1
-- stderr
recorded at offset 41
"#);
}
