//! Sizes of encoded messages, without HTTP/2 frames.

use cowslipport_lib::protos::control as raw_control;
use cowslipport_lib::protos::peer;
use cowslipport_lib::protos::platform;
use prost::Message;
use serde::Serialize;

use crate::model;
use crate::model::number;

/// Size of one message.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct MessageSize {
    /// Name of the message.
    pub(crate) message: &'static str,
    pub(crate) bytes: usize,
}

/// Offset of a stream after some months.
const STREAM_OFFSET: u64 = 1 << 30;

/// Encodes the messages that the roles of the daemon send and returns their
/// sizes.
pub(crate) fn measure() -> Vec<MessageSize> {
    let mut sizes = Vec::new();
    let mut add = |message, bytes| sizes.push(MessageSize { message, bytes });
    add("exchange request", peer::ExchangeRequest { session: 1 << 63 }.encoded_len());
    for (name, members, vms) in [
        ("exchange reply of one member, idle", 1, 0),
        ("exchange reply of one member, 20 VMs in flight", 1, 20),
        ("exchange reply that relays 112 members, idle", 112, 0),
    ] {
        add(name, exchange_reply(members, vms).encoded_len());
    }
    add("poll request", poll_request().encoded_len());
    for (name, tasks) in
        [("poll reply, no task", 0), ("poll reply, one task", 1), ("poll reply, four tasks", 4)]
    {
        add(name, poll_reply(tasks).encoded_len());
    }
    add("start request", start_request().encoded_len());
    add("start reply", platform::StartReply { result: 1, ticket: 1 << 33 }.encoded_len());
    add("jobs record of one job", jobs_record(1).encoded_len());
    add("jobs record of ten jobs", jobs_record(10).encoded_len());
    add("record of ten ended jobs", ended_record(10).encoded_len());
    add("attempt request", attempt_request().encoded_len());
    let known = peer::RecordAttemptReply { answer: 2, known_state: 2, known_status: 200 };
    add("attempt reply", known.encoded_len());
    add("VM of the VM list", listed_vm(12_345).encoded_len());
    sizes
}

/// An exchange reply with the views of `members` members, each with requests in
/// flight to `vms` VMs.
fn exchange_reply(members: usize, vms: usize) -> peer::ExchangeReply {
    let view = |index| peer::MemberView {
        waiting: Vec::new(),
        session: model::session_id(index).0,
        next_offset: STREAM_OFFSET,
        log_reachable: true,
        confirmed_age_ms: 300,
        age_ms: 200,
        digest: vec![0xa5; 32],
        digest_offset: STREAM_OFFSET,
        in_flight: (0..vms)
            .map(|vm| peer::VmInFlight { vm: number(vm * 900), requests: 3 })
            .collect(),
        workers: Vec::new(),
    };
    peer::ExchangeReply { members: (0..members).map(view).collect() }
}

/// A poll that acknowledges no ended tasks.
pub(crate) fn poll_request() -> platform::PollRequest {
    platform::PollRequest { epoch: STREAM_OFFSET, renew_ms: 30_000, acknowledged: Vec::new() }
}

fn task_name(index: usize) -> String {
    format!("417/{STREAM_OFFSET}.{index}/nightly-ledger-2026-12-04-{index:05}")
}

fn poll_reply(tasks: usize) -> platform::PollReply {
    let size = Some(model::task_size().into());
    let report = |index| platform::TaskReport {
        task: task_name(index),
        organisation: 417,
        state: 1,
        request: size,
        used: size,
        age_ms: 300_000,
    };
    platform::PollReply {
        accepted: true,
        highest_epoch: STREAM_OFFSET,
        ticket: 1 << 33,
        tasks: (0..tasks).map(report).collect(),
        incarnation: 1 << 33,
        up_ms: 3_600_000,
    }
}

fn start_request() -> platform::StartRequest {
    start_request_for(0, 1 << 33, STREAM_OFFSET)
}

/// A request to start a task that runs for ten minutes.
pub(crate) fn start_request_for(index: usize, ticket: u64, epoch: u64) -> platform::StartRequest {
    platform::StartRequest {
        epoch,
        ticket,
        task: task_name(index),
        organisation: 417,
        request: Some(model::task_size().into()),
        payload: "run_ms=600000 cpu_milli=4000".to_owned(),
        lease_ms: 30_000,
    }
}

fn jobs_record(jobs: usize) -> raw_control::JobRecord {
    let job = |index: usize| raw_control::Job {
        name: format!("nightly-ledger-2026-12-04-{index:05}"),
        organisation: 417,
        key: "current".to_owned(),
        pool: 12,
        request: Some(model::task_size().into()),
        declared_run_ms: 600_000,
        payload: "registry/ledger:42 --date 2026-12-04".to_owned(),
        repeatable: true,
        ..raw_control::Job::default()
    };
    let accepted = raw_control::JobsAccepted { jobs: (0..jobs).map(job).collect() };
    record(raw_control::job_record::Body::Accepted(accepted))
}

fn ended_record(jobs: usize) -> raw_control::JobRecord {
    let end = |index: usize| raw_control::JobEnd {
        job: Some(raw_control::JobRef {
            organisation: 417,
            name: format!("nightly-ledger-2026-12-04-{index:05}"),
        }),
        outcome: 1,
    };
    let ended = raw_control::JobsEnded { ends: (0..jobs).map(end).collect() };
    record(raw_control::job_record::Body::Ended(ended))
}

fn record(body: raw_control::job_record::Body) -> raw_control::JobRecord {
    let id = raw_control::RecordId { writer: model::session_id(0).0, sequence: 100_000 };
    raw_control::JobRecord { id: Some(id), epoch: STREAM_OFFSET, body: Some(body) }
}

fn attempt_request() -> peer::RecordAttemptRequest {
    peer::RecordAttemptRequest {
        membership_epoch: STREAM_OFFSET,
        session: model::session_id(0).0,
        key_hash: vec![0xa5; 32],
        attempt: 1_000_000,
    }
}

fn listed_vm(index: usize) -> platform::ListedVm {
    platform::ListedVm { vm: Some(model::raw_join(index, 151)), leaving: false }
}
