//! The life of one request: a task that owns it from its arrival to the end of
//! its answer. It outlives the connection of the caller, so that slots are
//! given back and the end of an attempt is recorded when the caller is gone.

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

use crate::answer_copy::BodyPart;
use crate::answer_copy::Copied;
use crate::answer_copy::copy;
use crate::answer_copy::is_gateway_failure;
use crate::answer_copy::is_leaving;
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

/// Parts of an answer that wait for a slow caller. The upstream's slot is free
/// once it has sent the whole answer.
const BODY_PARTS: usize = 64;
/// Tries to record an attempt while members change.
const RECORD_TRIES: u32 = 4;
const RECORD_PAUSE: Duration = Duration::from_millis(150);
/// A timeout of the caller that is shorter says little about the upstream.
const BLAMED_TIMEOUT_MS: u64 = 5000;

/// What the tasks of requests need.
#[derive(Clone)]
pub(crate) struct ExchangeContext<U> {
    /// Mailbox of the router task.
    pub(crate) router: mpsc::Sender<RouterMessage>,
    /// Mailbox of the witness task.
    pub(crate) witness: mpsc::Sender<WitnessMessage>,
    /// Client of upstreams.
    pub(crate) upstream: U,
    /// The clock.
    pub(crate) clock: Clock,
    /// The logger.
    pub(crate) logger: Logger,
    /// Held by each request, so that a stop can wait for them.
    pub(crate) open: mpsc::Sender<()>,
}

/// A request of a caller.
pub(crate) struct CallerRequest {
    /// Number of the request.
    pub(crate) id: RequestId,
    /// The presented key.
    pub(crate) key: KeyDigest,
    /// Name of the pool.
    pub(crate) pool: String,
    /// Idempotency key, if one came.
    pub(crate) idempotency_key: Option<Vec<u8>>,
    /// Time by which the answer is to be whole.
    pub(crate) deadline: TimeMs,
    /// What the upstream gets.
    pub(crate) request: UpstreamRequest,
}

/// What a caller gets.
pub(crate) enum Reply {
    /// An answer in place of an upstream.
    Answer(Answer),
    /// The answer of an upstream.
    Upstream {
        /// Status.
        status: StatusCode,
        /// Headers.
        headers: HeaderMap,
        /// Length of the body, if it is known.
        length: Option<u64>,
        /// The body.
        body: mpsc::Receiver<BodyPart>,
    },
}

/// Starts the task of a request.
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

/// A recorded attempt.
#[derive(Clone, Copy)]
struct Recorded {
    key: KeyHash,
    attempt: AttemptId,
    dispatch_before: TimeMs,
}

/// A slot of an instance that the router has given to this request.
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
        let end = self.forward(phase, recorded, &mut caller).await;
        let state = match end {
            ForwardEnd::Answered { status, response, vm, started } => {
                self.deliver(response, vm, started, caller).await;
                AttemptState::Completed { status: status.as_u16() }
            }
            ForwardEnd::GaveUp(answer) => {
                let not_run = matches!(answer, Answer::NotRun(_));
                self.reply(caller, answer);
                if not_run { AttemptState::NotRun } else { AttemptState::Unknown }
            }
        };
        if let Some(Recorded { key, attempt, .. }) = recorded {
            let _ = self.context.witness.send(WitnessMessage::End { key, attempt, state }).await;
        }
    }

    fn reply(&self, caller: oneshot::Sender<Reply>, answer: Answer) {
        counter!("cowslipport_answers_total", "reason" => answer.reason_name()).increment(1);
        // The caller may be gone.
        let _ = caller.send(Reply::Answer(answer));
    }

    /// Records the attempt with the witnesses if it needs it.
    async fn record(
        &self,
        repeatability: Repeatability,
    ) -> Result<Option<Recorded>, RefusalReason> {
        let Some(idempotency_key) = &self.request.idempotency_key else { return Ok(None) };
        match repeatability {
            Repeatability::Repeatable => return Ok(None),
            Repeatability::Once => {}
        }
        let (reply, organisation) = oneshot::channel();
        let message = RouterMessage::Organisation { key: self.request.key, reply };
        let stopping = RefusalReason::ShuttingDown;
        self.context.router.send(message).await.map_err(|_| stopping)?;
        let organisation =
            organisation.await.map_err(|_| stopping)?.ok_or(RefusalReason::KeyUnknown)?;
        let key = KeyHash::of(organisation, idempotency_key);
        for pause in 0..RECORD_TRIES {
            if pause > 0 {
                tokio::time::sleep(RECORD_PAUSE).await;
            }
            let (reply, begin) = oneshot::channel();
            let message = WitnessMessage::Begin { key, reply };
            self.context.witness.send(message).await.map_err(|_| stopping)?;
            match begin.await.map_err(|_| stopping)? {
                BeginReply::Proceed { attempt, dispatch_before } => {
                    return Ok(Some(Recorded { key, attempt, dispatch_before }));
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

    /// Gets a slot, sends the request, and tries again as far as that is safe.
    async fn forward(
        &mut self,
        mut phase: RequestPhase,
        recorded: Option<Recorded>,
        caller: &mut oneshot::Sender<Reply>,
    ) -> ForwardEnd<U::Body> {
        let mut cause = UnknownCause::UpstreamFailed;
        loop {
            let slot = match self.route(caller).await {
                Ok(slot) => slot,
                Err((reason, after)) => {
                    return ForwardEnd::GaveUp(phase.give_up(reason, after, cause));
                }
            };
            let started = self.context.clock.now();
            if !self.may_send(&phase, recorded, started) {
                self.finished(slot.vm, ExchangeResult::Abandoned).await;
                let reason = RefusalReason::WitnessesUnavailable;
                return ForwardEnd::GaveUp(phase.give_up(reason, None, cause));
            }
            let left = Duration::from_millis(self.request.deadline.since(started));
            let call = self.context.upstream.send(slot.address, &self.request.request);
            let sent = tokio::time::timeout(left, call).await;
            let result = match sent {
                Ok(Ok(response)) => {
                    phase = phase.dispatch();
                    if !is_leaving(&response) || !phase.may_retry() {
                        let (status, vm) = (response.status, slot.vm);
                        return ForwardEnd::Answered { status, response, vm, started };
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
            self.finished(slot.vm, result).await;
            self.tried.push(slot.vm);
            let now = self.context.clock.now();
            match phase.failed(now, cause, &mut self.rng) {
                RetryDecision::Retry { phase: same, wait_ms } => {
                    counter!("cowslipport_retries_total").increment(1);
                    phase = same;
                    tokio::time::sleep(Duration::from_millis(wait_ms)).await;
                }
                RetryDecision::GiveUp(answer) => return ForwardEnd::GaveUp(answer),
            }
        }
    }

    /// False once the record of the attempt is too old, or if the request was
    /// sent and is not repeatable.
    fn may_send(&self, phase: &RequestPhase, recorded: Option<Recorded>, now: TimeMs) -> bool {
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
        let stopping = (RefusalReason::ShuttingDown, None);
        let message = RouterMessage::Route { request, reply };
        self.context.router.send(message).await.map_err(|_| stopping)?;
        let routed = tokio::select! {
            routed = routed => routed.map_err(|_| stopping)?,
            () = caller.closed() => {
                let _ = self.context.router.send(RouterMessage::Abandon(self.request.id)).await;
                return Err(stopping);
            }
        };
        match routed {
            RouteReply::Send { vm, address } => Ok(Slot { vm, address }),
            // The caller is told what failed, not that it is not tried again.
            RouteReply::Refuse { reason: RefusalReason::RetryBudget, retry_after_ms } => {
                Err((RefusalReason::ConnectFailed, retry_after_ms))
            }
            RouteReply::Refuse { reason, retry_after_ms } => Err((reason, retry_after_ms)),
        }
    }

    /// Passes the answer on, part by part.
    async fn deliver(
        &self,
        response: UpstreamResponse<U::Body>,
        vm: VmId,
        started: TimeMs,
        caller: oneshot::Sender<Reply>,
    ) {
        let is_leaving = is_leaving(&response);
        let UpstreamResponse { status, headers, length, closes: _, mut body } = response;
        counter!("cowslipport_answers_total", "reason" => "upstream").increment(1);
        let (parts, receiver) = mpsc::channel(BODY_PARTS);
        // A caller that is gone makes the first part fail.
        let _ = caller.send(Reply::Upstream { status, headers, length, body: receiver });
        let left = self.request.deadline.since(self.context.clock.now());
        let expected = length.filter(|_| has_body(&self.request.request.method, status));
        let copied =
            tokio::time::timeout(Duration::from_millis(left), copy(&mut body, &parts, expected));
        let copied = copied.await.unwrap_or(Copied::TimedOut);
        let result = match copied {
            Copied::Whole if is_leaving => ExchangeResult::Leaving,
            Copied::Whole if is_gateway_failure(status) => ExchangeResult::Failed,
            Copied::Whole => {
                let service_ms = self.context.clock.now().since(started);
                ExchangeResult::Completed { service_ms }
            }
            Copied::CallerGone => ExchangeResult::Abandoned,
            Copied::TimedOut => self.timeout_result(started),
            Copied::Cut => ExchangeResult::Failed,
        };
        match copied {
            Copied::Whole | Copied::CallerGone => {}
            Copied::TimedOut => self.warn(vm, "the answer is not whole before the deadline"),
            Copied::Cut => self.warn(vm, "the answer was cut"),
        }
        self.finished(vm, result).await;
        // The slot is free before the caller has read the end.
        if matches!(copied, Copied::Whole) {
            let left = self.request.deadline.since(self.context.clock.now());
            let end = parts.send(BodyPart::End);
            let _ = tokio::time::timeout(Duration::from_millis(left), end).await;
        }
    }

    fn timeout_result(&self, started: TimeMs) -> ExchangeResult {
        if self.context.clock.now().since(started) >= BLAMED_TIMEOUT_MS {
            ExchangeResult::Failed
        } else {
            ExchangeResult::Abandoned
        }
    }

    async fn finished(&self, vm: VmId, result: ExchangeResult) {
        // A router that is gone has no slots.
        let _ = self.context.router.send(RouterMessage::Finished { vm, result }).await;
    }

    fn warn(&self, vm: VmId, reason: &str) {
        warn!(self.context.logger, "exchange failed"; "request" => self.request.id.0,
            "subject" => &self.request.pool, "vm" => vm.0, "reason" => reason);
    }
}

enum ForwardEnd<B> {
    Answered { status: StatusCode, response: UpstreamResponse<B>, vm: VmId, started: TimeMs },
    GaveUp(Answer),
}
