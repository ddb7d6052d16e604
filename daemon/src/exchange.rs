//! Handles one request of a caller, in a task that runs until the end of the
//! answer. The task outlives the connection of the caller: if the caller
//! disconnects, the task still releases its slot and records how the attempt
//! ended.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use cowslipport_lib::ejection::ExchangeResult;
use cowslipport_lib::idempotency::AttemptId;
use cowslipport_lib::idempotency::AttemptState;
use cowslipport_lib::idempotency::KeyHash;
use cowslipport_lib::ids::VmId;
use cowslipport_lib::invariant;
use cowslipport_lib::invariant::Invariant;
use cowslipport_lib::keys::KeyDigest;
use cowslipport_lib::refusal::Answer;
use cowslipport_lib::refusal::RefusalReason;
use cowslipport_lib::refusal::UnknownCause;
use cowslipport_lib::retry::Repeatability;
use cowslipport_lib::retry::RequestPhase;
use cowslipport_lib::retry::RetryDecision;
use cowslipport_lib::route::queue::RequestId;
use cowslipport_lib::route::routing::RouteRequest;
use cowslipport_lib::time::TimeMs;
use metrics::counter;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::body_copy::BodyPart;
use crate::body_copy::CopyEnd;
use crate::body_copy::copy_body;
use crate::body_copy::is_gateway_failure;
use crate::body_copy::is_leaving;
use crate::clients::upstream::has_body;
use crate::clock::Clock;
use crate::platform::Upstream;
use crate::platform::UpstreamError;
use crate::platform::UpstreamRequest;
use crate::platform::UpstreamResponse;
use crate::tasks::router::RouteReply;
use crate::tasks::router::RouterMessage;
use crate::tasks::witness::BeginReply;
use crate::tasks::witness::WitnessMessage;
use crate::violation;

/// Parts of a response body that are buffered for a slow caller. The slot of
/// the upstream is released once the whole response is received.
const MAX_BUFFERED_PARTS: usize = 64;
/// Tries to record an attempt. The witnesses may be unavailable for a moment
/// while the members change.
const RECORD_TRIES: u32 = 4;
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(150);
/// A request that times out earlier does not count as a failure of the
/// upstream, as its deadline may have been too short.
const MIN_FAILURE_TIMEOUT_MS: u64 = 5000;

/// Shared by the tasks of all requests.
#[derive(Clone)]
pub(crate) struct ExchangeContext<U> {
    /// Mailbox of the router task.
    pub(crate) router: mpsc::Sender<RouterMessage>,
    /// Mailbox of the witness task.
    pub(crate) witness: mpsc::Sender<WitnessMessage>,
    /// Client of upstreams.
    pub(crate) upstream: U,
    /// Clock of the process.
    pub(crate) clock: Clock,
    /// Logger of the request tasks.
    pub(crate) logger: Logger,
    /// Each request holds a clone, so that a shutdown can wait for all of them.
    pub(crate) shutdown_guard: mpsc::Sender<()>,
}

/// A request of a caller.
pub(crate) struct CallerRequest {
    /// Id of the request.
    pub(crate) id: RequestId,
    /// Digest of the presented key.
    pub(crate) key: KeyDigest,
    /// Name of the pool.
    pub(crate) pool: String,
    /// Idempotency key, if the caller sent one.
    pub(crate) idempotency_key: Option<Vec<u8>>,
    /// Time by which the caller must have the whole answer.
    pub(crate) deadline: TimeMs,
    /// The request to send to an upstream.
    pub(crate) request: UpstreamRequest,
}

/// Reply to a caller.
pub(crate) enum Reply {
    /// An answer by this process, without a response of an upstream.
    Local(Answer),
    /// The response of an upstream.
    Upstream {
        /// HTTP status.
        status: StatusCode,
        /// Headers for the caller.
        headers: HeaderMap,
        /// Length of the body, if it is known.
        length: Option<u64>,
        /// Parts of the body.
        body: mpsc::Receiver<BodyPart>,
    },
}

/// Starts the task that handles a request.
pub(crate) fn spawn<U>(
    context: ExchangeContext<U>,
    request: CallerRequest,
) -> oneshot::Receiver<Reply>
where
    U: Upstream,
{
    let (caller, reply) = oneshot::channel();
    let rng = ChaCha8Rng::seed_from_u64(request.id.0);
    let exchange = Exchange { context, request, tried: Vec::new(), rng };
    actix_rt::spawn(exchange.run(caller));
    reply
}

struct Exchange<U> {
    context: ExchangeContext<U>,
    request: CallerRequest,
    tried: Vec<VmId>,
    rng: ChaCha8Rng,
}

/// An attempt that a quorum of witnesses has recorded.
#[derive(Clone, Copy)]
struct RecordedAttempt {
    key: KeyHash,
    attempt: AttemptId,
    /// The record is too old for a dispatch after this time.
    dispatch_before: TimeMs,
}

/// A slot of an upstream instance that the router has assigned to this request.
struct Slot {
    vm: VmId,
    address: std::net::SocketAddr,
}

impl<U> Exchange<U>
where
    U: Upstream,
{
    async fn run(mut self, mut caller: oneshot::Sender<Reply>) {
        let method = self.request.request.method.as_str();
        let repeatability = Repeatability::of_method(method);
        let phase = RequestPhase::received(repeatability, self.request.deadline);
        let recorded = match self.record(repeatability).await {
            Ok(recorded) => recorded,
            Err(reason) => {
                let answer = phase.give_up(reason, None, UnknownCause::UpstreamFailed);
                return self.reply(caller, answer);
            }
        };
        let outcome = self.forward(phase, recorded, &mut caller).await;
        let state = match outcome {
            ForwardOutcome::Answered { status, response, vm, started } => {
                self.deliver(response, vm, started, caller).await;
                AttemptState::Completed { status: status.as_u16() }
            }
            ForwardOutcome::GaveUp(answer) => {
                let not_run = matches!(answer, Answer::NotRun(_));
                self.reply(caller, answer);
                if not_run { AttemptState::NotRun } else { AttemptState::Unknown }
            }
        };
        if let Some(RecordedAttempt { key, attempt, .. }) = recorded {
            let _ = self.context.witness.send(WitnessMessage::End { key, attempt, state }).await;
        }
    }

    fn reply(&self, caller: oneshot::Sender<Reply>, answer: Answer) {
        counter!("cowslipport_answers_total", "reason" => answer.reason_name()).increment(1);
        // The caller may have disconnected.
        let _ = caller.send(Reply::Local(answer));
    }

    /// Records the attempt with the witnesses, if the request has an
    /// idempotency key and is not repeatable.
    async fn record(
        &self,
        repeatability: Repeatability,
    ) -> Result<Option<RecordedAttempt>, RefusalReason> {
        let Some(idempotency_key) = &self.request.idempotency_key else { return Ok(None) };
        match repeatability {
            Repeatability::Repeatable => return Ok(None),
            Repeatability::Once => {}
        }
        let (reply, organisation) = oneshot::channel();
        let message = RouterMessage::Organisation { key: self.request.key, reply };
        let shutting_down = RefusalReason::ShuttingDown;
        self.context.router.send(message).await.map_err(|_| shutting_down)?;
        let organisation =
            organisation.await.map_err(|_| shutting_down)?.ok_or(RefusalReason::KeyUnknown)?;
        let key = KeyHash::of(organisation, idempotency_key);
        for failed_tries in 0..RECORD_TRIES {
            if failed_tries > 0 {
                tokio::time::sleep(RECORD_RETRY_DELAY).await;
            }
            let (reply, begin) = oneshot::channel();
            let message = WitnessMessage::Begin { key, reply };
            self.context.witness.send(message).await.map_err(|_| shutting_down)?;
            match begin.await.map_err(|_| shutting_down)? {
                BeginReply::Proceed { attempt, dispatch_before } => {
                    return Ok(Some(RecordedAttempt { key, attempt, dispatch_before }));
                }
                BeginReply::Conflict(first) => return Err(RefusalReason::AttemptKnown(first)),
                BeginReply::Unavailable => {}
            }
            if self.context.clock.now() >= self.request.deadline {
                break;
            }
        }
        Err(RefusalReason::WitnessesUnavailable)
    }

    /// Gets a slot from the router and sends the request to its upstream.
    /// Retries a failed request if it is repeatable or certainly was not sent.
    async fn forward(
        &mut self,
        mut phase: RequestPhase,
        recorded: Option<RecordedAttempt>,
        caller: &mut oneshot::Sender<Reply>,
    ) -> ForwardOutcome<U::Body> {
        let mut cause = UnknownCause::UpstreamFailed;
        loop {
            let slot = match self.route(caller).await {
                Ok(slot) => slot,
                Err((reason, retry_after_ms)) => {
                    return ForwardOutcome::GaveUp(phase.give_up(reason, retry_after_ms, cause));
                }
            };
            let started = self.context.clock.now();
            if !self.may_send(&phase, recorded, started) {
                self.report_finished(slot.vm, ExchangeResult::Abandoned).await;
                let reason = RefusalReason::WitnessesUnavailable;
                return ForwardOutcome::GaveUp(phase.give_up(reason, None, cause));
            }
            let remaining = Duration::from_millis(self.request.deadline.since(started));
            let call = self.context.upstream.send(slot.address, &self.request.request);
            let sent = tokio::time::timeout(remaining, call).await;
            let result = match sent {
                Ok(Ok(response)) => {
                    phase = phase.dispatch();
                    if !is_leaving(&response) || !phase.may_retry() {
                        let (status, vm) = (response.status, slot.vm);
                        return ForwardOutcome::Answered { status, response, vm, started };
                    }
                    ExchangeResult::Leaving
                }
                Ok(Err(UpstreamError::NotSent { reason })) => {
                    self.warn(slot.vm, &reason);
                    ExchangeResult::ConnectFailed
                }
                Ok(Err(UpstreamError::Broken { reason })) => {
                    self.warn(slot.vm, &reason);
                    phase = phase.dispatch();
                    cause = UnknownCause::UpstreamFailed;
                    ExchangeResult::Failed
                }
                Err(_) => {
                    self.warn(slot.vm, "no answer before the deadline");
                    phase = phase.dispatch();
                    cause = UnknownCause::UpstreamTimeout;
                    self.timeout_result(started)
                }
            };
            self.report_finished(slot.vm, result).await;
            self.tried.push(slot.vm);
            let now = self.context.clock.now();
            match phase.failed(now, cause, &mut self.rng) {
                RetryDecision::Retry { phase: retry_phase, wait_ms } => {
                    counter!("cowslipport_retries_total").increment(1);
                    phase = retry_phase;
                    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                }
                RetryDecision::GiveUp(answer) => return ForwardOutcome::GaveUp(answer),
            }
        }
    }

    /// False if the record of the attempt has become too old, or if the request
    /// may have been sent before and is not repeatable.
    fn may_send(
        &self,
        phase: &RequestPhase,
        recorded: Option<RecordedAttempt>,
        now: TimeMs,
    ) -> bool {
        let checked = invariant::check(Invariant::DispatchOnce, phase.may_dispatch(), || {
            format!("request {} to {}", self.request.id.0, self.request.pool)
        });
        if let Err(violation) = &checked {
            violation::report(&self.context.logger, violation);
        }
        checked.is_ok() && recorded.is_none_or(|recorded| now <= recorded.dispatch_before)
    }

    async fn route(
        &self,
        caller: &mut oneshot::Sender<Reply>,
    ) -> Result<Slot, (RefusalReason, Option<u64>)> {
        let request = RouteRequest {
            id: self.request.id,
            key: self.request.key,
            pool: self.request.pool.clone(),
            deadline: self.request.deadline,
            tried: self.tried.clone(),
        };
        let (reply, routed) = oneshot::channel();
        let shutting_down = (RefusalReason::ShuttingDown, None);
        let message = RouterMessage::Route { request, reply };
        self.context.router.send(message).await.map_err(|_| shutting_down)?;
        let routed = tokio::select! {
            routed = routed => routed.map_err(|_| shutting_down)?,
            () = caller.closed() => {
                let _ = self.context.router.send(RouterMessage::Abandon(self.request.id)).await;
                return Err(shutting_down);
            }
        };
        match routed {
            RouteReply::Send { vm, address } => Ok(Slot { vm, address }),
            // The caller gets the failure that led to the retry as the reason,
            // rather than the exhausted retry budget.
            RouteReply::Refuse { reason: RefusalReason::RetryBudget, retry_after_ms } => {
                Err((RefusalReason::ConnectFailed, retry_after_ms))
            }
            RouteReply::Refuse { reason, retry_after_ms } => Err((reason, retry_after_ms)),
        }
    }

    /// Passes the response of an upstream on to the caller, part by part.
    async fn deliver(
        &self,
        response: UpstreamResponse<U::Body>,
        vm: VmId,
        started: TimeMs,
        caller: oneshot::Sender<Reply>,
    ) {
        let is_leaving = is_leaving(&response);
        let UpstreamResponse { status, headers, length, closes_connection: _, mut body } = response;
        counter!("cowslipport_answers_total", "reason" => "upstream").increment(1);
        let (parts, receiver) = mpsc::channel(MAX_BUFFERED_PARTS);
        // If the caller has disconnected, sending the first part fails.
        let _ = caller.send(Reply::Upstream { status, headers, length, body: receiver });
        let remaining = self.request.deadline.since(self.context.clock.now());
        let expected = length.filter(|_| has_body(&self.request.request.method, status));
        let copy_end = tokio::time::timeout(
            Duration::from_millis(remaining),
            copy_body(&mut body, &parts, expected),
        );
        let copy_end = copy_end.await.unwrap_or(CopyEnd::TimedOut);
        let result = match copy_end {
            CopyEnd::Complete if is_leaving => ExchangeResult::Leaving,
            CopyEnd::Complete if is_gateway_failure(status) => ExchangeResult::Failed,
            CopyEnd::Complete => {
                let service_ms = self.context.clock.now().since(started);
                ExchangeResult::Completed { service_ms }
            }
            CopyEnd::CallerDisconnected => ExchangeResult::Abandoned,
            CopyEnd::TimedOut => self.timeout_result(started),
            CopyEnd::Truncated => ExchangeResult::Failed,
        };
        match copy_end {
            CopyEnd::Complete | CopyEnd::CallerDisconnected => {}
            CopyEnd::TimedOut => self.warn(vm, "answer incomplete at the deadline"),
            CopyEnd::Truncated => self.warn(vm, "answer truncated"),
        }
        self.report_finished(vm, result).await;
        // The slot is released before the caller has read the end of the body.
        if matches!(copy_end, CopyEnd::Complete) {
            let remaining = self.request.deadline.since(self.context.clock.now());
            let end = parts.send(BodyPart::End);
            let _ = tokio::time::timeout(Duration::from_millis(remaining), end).await;
        }
    }

    fn timeout_result(&self, started: TimeMs) -> ExchangeResult {
        if self.context.clock.now().since(started) >= MIN_FAILURE_TIMEOUT_MS {
            ExchangeResult::Failed
        } else {
            ExchangeResult::Abandoned
        }
    }

    async fn report_finished(&self, vm: VmId, result: ExchangeResult) {
        // If the router task has ended, there is no slot to release.
        let _ = self.context.router.send(RouterMessage::Finished { vm, result }).await;
    }

    fn warn(&self, vm: VmId, reason: &str) {
        warn!(self.context.logger, "exchange failed"; "request" => self.request.id.0,
            "subject" => &self.request.pool, "vm" => vm.0, "reason" => reason);
    }
}

enum ForwardOutcome<B> {
    Answered { status: StatusCode, response: UpstreamResponse<B>, vm: VmId, started: TimeMs },
    GaveUp(Answer),
}
