//! gRPC calls to the witnesses in other processes.

use std::time::Duration;

use cowslipport_lib::idempotency::AttemptId;
use cowslipport_lib::idempotency::AttemptState;
use cowslipport_lib::idempotency::KeyHash;
use cowslipport_lib::idempotency::RecordAnswer;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::witness::AttemptEntry;

use crate::clients::peer::Client;
use crate::witness_wire;

/// The farthest data centre is 1.5 ms away.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
const PULL_TIMEOUT: Duration = Duration::from_secs(5);
const FINISH_TRIES: u32 = 3;

/// Requests a witness to record an attempt.
pub(crate) async fn record(
    mut client: Client,
    epoch: Offset,
    key: KeyHash,
    attempt: AttemptId,
) -> Option<RecordAnswer> {
    let request = raw::RecordAttemptRequest {
        membership_epoch: epoch.0,
        session: attempt.session.0,
        key_hash: key.0.to_vec(),
        attempt: attempt.number,
    };
    let reply = tokio::time::timeout(CALL_TIMEOUT, client.record_attempt(request)).await;
    witness_wire::answer(&reply.ok()?.ok()?.into_inner())
}

/// Reports to a witness how an attempt ended. If no call succeeds, the witness
/// regards the attempt as in progress until its idempotency window is over.
pub(crate) async fn finish(
    mut client: Client,
    key: KeyHash,
    attempt: AttemptId,
    state: AttemptState,
) {
    let (state, status) = witness_wire::raw_state(state);
    let request = raw::FinishAttemptRequest {
        key_hash: key.0.to_vec(),
        session: attempt.session.0,
        attempt: attempt.number,
        state: state.into(),
        status,
    };
    for _ in 0..FINISH_TRIES {
        let call = client.finish_attempt(request.clone());
        if let Ok(Ok(_)) = tokio::time::timeout(CALL_TIMEOUT, call).await {
            return;
        }
        tokio::time::sleep(CALL_TIMEOUT).await;
    }
}

/// Fetches all entries of a witness.
pub(crate) async fn pull(
    mut client: Client,
    epoch: Offset,
) -> Option<Vec<(KeyHash, AttemptEntry, u64)>> {
    let request = raw::PullAttemptsRequest { membership_epoch: epoch.0 };
    let call = client.pull_attempts(request);
    let reply = tokio::time::timeout(PULL_TIMEOUT, call).await.ok()?.ok()?.into_inner();
    if !reply.accepted {
        return None;
    }
    witness_wire::entries(&reply.entries)
}
