//! A worker as a gRPC server.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::transport::Server;

use cowslipport_lib::ids::Epoch;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::protos::platform as raw;
use cowslipport_lib::protos::platform::worker_server::Worker;
use cowslipport_lib::protos::platform::worker_server::WorkerServer;
use cowslipport_lib::time::TimeMs;

use crate::clock::Clock;
use crate::recorder::Reporter;
use crate::serve;
use crate::serve::Error;
use crate::serve::Handle;
use crate::worker_agent::RunningSample;
use crate::worker_agent::StartResult;
use crate::worker_agent::TaskAction;
use crate::worker_agent::TaskReport;
use crate::worker_agent::TaskStart;
use crate::worker_agent::WorkerAgent;
use crate::worker_agent::WorkerFaults;
use crate::worker_agent::WorkerSettings;
use crate::worker_agent::WorkerStats;
use crate::worker_task::TaskState;

/// Messages to the task that owns a worker.
#[derive(Debug)]
pub enum WorkerMessage {
    /// A call by a client.
    Call(WorkerCall),
    /// Replaces the injected faults.
    SetFaults(WorkerFaults),
    /// Asks for the changes of the resources that organisations occupy.
    History(oneshot::Sender<Vec<RunningSample>>),
    /// Asks for the counters of the worker.
    Stats(oneshot::Sender<WorkerStats>),
}

/// A call by a client of a worker.
#[derive(Debug)]
pub enum WorkerCall {
    /// Polls the worker.
    Poll(raw::PollRequest, oneshot::Sender<Result<raw::PollReply, Status>>),
    /// Starts a task.
    Start(raw::StartRequest, oneshot::Sender<Result<raw::StartReply, Status>>),
    /// Applies an action to a task.
    Control(raw::ControlRequest, oneshot::Sender<Result<raw::ControlReply, Status>>),
}

/// Starts a worker. `first_ticket` must differ between its incarnations; it is
/// also the number of the incarnation.
pub async fn start(
    listen: SocketAddr,
    settings: WorkerSettings,
    first_ticket: u64,
    clock: Clock,
    reporter: Reporter,
) -> Result<Handle<WorkerMessage>, Error> {
    let (listener, address) = serve::bind(listen).await?;
    let (mailbox, messages) = mpsc::channel(serve::MAILBOX_MESSAGES);
    let (stop, stopped) = oneshot::channel::<()>();
    let task = WorkerTask {
        agent: WorkerAgent::new(settings, first_ticket),
        incarnation: first_ticket,
        started_at: clock.now(),
        clock,
        reporter,
        reported: 0,
        messages,
        delayed: BTreeMap::new(),
        next_call_number: 0,
    };
    let state = actix_rt::spawn(task.run());
    let service = WorkerServer::new(WorkerService { mailbox: mailbox.clone() });
    let server = actix_rt::spawn(async move {
        let shutdown = async move { drop(stopped.await) };
        let incoming = serve::incoming(listener);
        // If the listener fails, the server stops and its clients see that it
        // is unavailable.
        let _ = Server::builder()
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, shutdown)
            .await;
    });
    Ok(Handle::new(address, mailbox, stop, server, state))
}

struct WorkerService {
    mailbox: mpsc::Sender<WorkerMessage>,
}

#[tonic::async_trait]
impl Worker for WorkerService {
    async fn poll(
        &self,
        request: Request<raw::PollRequest>,
    ) -> Result<Response<raw::PollReply>, Status> {
        let call = |reply| WorkerMessage::Call(WorkerCall::Poll(request.into_inner(), reply));
        Ok(Response::new(serve::request_reply(&self.mailbox, call).await??))
    }

    async fn start(
        &self,
        request: Request<raw::StartRequest>,
    ) -> Result<Response<raw::StartReply>, Status> {
        let call = |reply| WorkerMessage::Call(WorkerCall::Start(request.into_inner(), reply));
        Ok(Response::new(serve::request_reply(&self.mailbox, call).await??))
    }

    async fn control(
        &self,
        request: Request<raw::ControlRequest>,
    ) -> Result<Response<raw::ControlReply>, Status> {
        let call = |reply| WorkerMessage::Call(WorkerCall::Control(request.into_inner(), reply));
        Ok(Response::new(serve::request_reply(&self.mailbox, call).await??))
    }
}

/// Owns a worker and the delayed calls.
struct WorkerTask {
    agent: WorkerAgent,
    incarnation: u64,
    started_at: TimeMs,
    clock: Clock,
    reporter: Reporter,
    /// Number of samples of the history that were sent to the recorder.
    reported: usize,
    messages: mpsc::Receiver<WorkerMessage>,
    /// Delayed calls by the time at which they take effect.
    delayed: BTreeMap<(TimeMs, u64), WorkerCall>,
    next_call_number: u64,
}

impl WorkerTask {
    async fn run(mut self) {
        loop {
            let delayed = self.delayed.first_key_value().map(|((time, _), _)| *time);
            let deadline = delayed.into_iter().chain(self.agent.next_event()).min();
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => break,
                },
                () = self.clock.sleep_until(deadline) => {}
            }
            let now = self.clock.now();
            self.run_delayed(now);
            self.agent.advance(now);
            for sample in &self.agent.history()[self.reported..] {
                self.reporter.report_running(*sample).await;
            }
            self.reported = self.agent.history().len();
        }
    }

    fn handle(&mut self, message: WorkerMessage) {
        match message {
            WorkerMessage::Call(call) => {
                let effect_at = self.clock.now().plus(self.agent.faults().delay_ms);
                self.delayed.insert((effect_at, self.next_call_number), call);
                self.next_call_number += 1;
            }
            WorkerMessage::SetFaults(faults) => self.agent.set_faults(faults),
            // The receiver of a reply may have been dropped.
            WorkerMessage::History(reply) => drop(reply.send(self.agent.history().to_vec())),
            WorkerMessage::Stats(reply) => drop(reply.send(self.agent.stats())),
        }
    }

    fn run_delayed(&mut self, now: TimeMs) {
        while let Some(entry) = self.delayed.first_entry() {
            if entry.key().0 > now {
                break;
            }
            let call = entry.remove();
            self.call(now, call);
        }
    }

    /// Answers a call, whose caller may have disconnected.
    fn call(&mut self, now: TimeMs, call: WorkerCall) {
        let down = self.agent.faults().down;
        let unavailable = || Status::unavailable("the worker is down");
        match call {
            WorkerCall::Poll(request, reply) => {
                let answer = if down { Err(unavailable()) } else { Ok(self.poll(now, &request)) };
                drop(reply.send(answer));
            }
            WorkerCall::Start(request, reply) => {
                let mut answer =
                    if down { Err(unavailable()) } else { Ok(self.start(now, request)) };
                if !down && self.agent.take_lost_start_reply() {
                    answer = Err(unavailable());
                }
                drop(reply.send(answer));
            }
            WorkerCall::Control(request, reply) => {
                let answer = if down { Err(unavailable()) } else { self.control(now, &request) };
                drop(reply.send(answer));
            }
        }
    }

    fn poll(&mut self, now: TimeMs, request: &raw::PollRequest) -> raw::PollReply {
        let (epoch, renew_ms) = (Epoch(request.epoch), u64::from(request.renew_ms));
        let answer = self.agent.poll(now, epoch, renew_ms, &request.acknowledged);
        let highest_epoch = self.agent.highest_epoch().0;
        match answer {
            Some(answer) => raw::PollReply {
                accepted: true,
                highest_epoch,
                ticket: answer.ticket,
                tasks: answer.tasks.into_iter().map(report_to_raw).collect(),
                incarnation: self.incarnation,
                up_ms: now.since(self.started_at),
            },
            None => raw::PollReply { highest_epoch, ..raw::PollReply::default() },
        }
    }

    fn start(&mut self, now: TimeMs, request: raw::StartRequest) -> raw::StartReply {
        let start = TaskStart {
            epoch: Epoch(request.epoch),
            ticket: request.ticket,
            task: request.task,
            organisation: OrganisationId(request.organisation),
            request: request.request.unwrap_or_default().into(),
            payload: request.payload,
            lease_ms: u64::from(request.lease_ms),
        };
        let result = match self.agent.start(now, &start) {
            StartResult::Started => raw::StartResult::Started,
            StartResult::Known => raw::StartResult::Known,
            StartResult::OldEpoch => {
                let result = raw::StartResult::OldEpoch.into();
                return raw::StartReply { result, ticket: 0 };
            }
            StartResult::OldTicket => raw::StartResult::OldTicket,
            StartResult::NoRoom => raw::StartResult::NoRoom,
        };
        let ticket = self.agent.issue_ticket(now);
        raw::StartReply { result: result.into(), ticket }
    }

    fn control(
        &mut self,
        now: TimeMs,
        request: &raw::ControlRequest,
    ) -> Result<raw::ControlReply, Status> {
        let action = match request.action() {
            raw::TaskAction::Unspecified => {
                return Err(Status::invalid_argument("the action is missing"));
            }
            raw::TaskAction::Throttle => TaskAction::Throttle,
            raw::TaskAction::Unthrottle => TaskAction::Unthrottle,
            raw::TaskAction::Checkpoint => TaskAction::Checkpoint,
            raw::TaskAction::Stop => TaskAction::Stop,
        };
        let accepted = self.agent.control(now, Epoch(request.epoch), &request.task, action);
        Ok(raw::ControlReply { accepted })
    }
}

fn report_to_raw(report: TaskReport) -> raw::TaskReport {
    let state = match report.state {
        TaskState::Running => raw::TaskState::Running,
        TaskState::Throttled => raw::TaskState::Throttled,
        TaskState::Checkpointed => raw::TaskState::Checkpointed,
        TaskState::Succeeded => raw::TaskState::Succeeded,
        TaskState::Failed => raw::TaskState::Failed,
        TaskState::Stopped => raw::TaskState::Stopped,
    };
    raw::TaskReport {
        task: report.task,
        organisation: report.organisation.0,
        state: state.into(),
        request: Some(report.request.into()),
        used: report.used.map(Into::into),
        age_ms: report.age_ms,
    }
}
