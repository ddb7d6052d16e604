//! An upstream instance as an HTTP server. A request runs for the time in its
//! `x-service-ms` header. The response repeats method, path, idempotency key
//! and body of the request, so that the caller can check that the response is
//! complete and belongs to its request.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::history::RunCounts;
use crate::recorder::Reporter;
use crate::serve;
use crate::serve::Error;
use crate::serve::Handle;
use crate::upstream_http;
use crate::upstream_model::Admission;
use crate::upstream_model::RequestEvent;
use crate::upstream_model::RequestId;
use crate::upstream_model::ResponseFault;
use crate::upstream_model::UpstreamFaults;
use crate::upstream_model::UpstreamModel;
use crate::upstream_model::UpstreamSettings;

/// Messages to the task that owns an instance.
#[derive(Debug)]
pub enum UpstreamMessage {
    /// A request arrives.
    Request {
        /// Idempotency key, empty if there is none.
        key: String,
        /// Service time, if the request specifies one.
        service_ms: Option<u64>,
        /// Receives the outcome.
        reply: oneshot::Sender<RequestOutcome>,
    },
    /// Replaces the injected faults.
    SetFaults(UpstreamFaults),
    /// Asks how often each request ran.
    RunCounts(oneshot::Sender<BTreeMap<String, RunCounts>>),
}

/// Outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request is answered, with this fault of the response.
    Response(ResponseFault),
    /// The request is refused and not run.
    Refused,
    /// The request is refused and not run because the instance is shutting
    /// down.
    ShuttingDown,
}

/// Starts an upstream instance. The caller must run on an `actix-rt` runtime,
/// because connections are local tasks.
pub async fn start(
    listen: SocketAddr,
    settings: UpstreamSettings,
    clock: Clock,
    reporter: Reporter,
) -> Result<Handle<UpstreamMessage>, Error> {
    let (listener, address) = serve::bind(listen).await?;
    let (mailbox, messages) = mpsc::channel(serve::MAILBOX_MESSAGES);
    let (stop, stopped) = oneshot::channel();
    let task = UpstreamTask {
        model: UpstreamModel::new(settings),
        clock,
        reporter,
        messages,
        replies: BTreeMap::new(),
    };
    let state = actix_rt::spawn(task.run());
    let server = actix_rt::spawn(accept(listener, mailbox.clone(), stopped));
    Ok(Handle::new(address, mailbox, stop, server, state))
}

/// Accepts connections until the stand-in stops, which closes all of them.
async fn accept(
    listener: TcpListener,
    mailbox: mpsc::Sender<UpstreamMessage>,
    mut stopped: oneshot::Receiver<()>,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { break };
                connections.spawn_local(upstream_http::serve(stream, mailbox.clone()));
            }
            Some(_) = connections.join_next() => {}
            _ = &mut stopped => break,
        }
    }
}

/// Owns an instance and the reply channels of its admitted requests.
struct UpstreamTask {
    model: UpstreamModel,
    clock: Clock,
    reporter: Reporter,
    messages: mpsc::Receiver<UpstreamMessage>,
    replies: BTreeMap<RequestId, oneshot::Sender<RequestOutcome>>,
}

impl UpstreamTask {
    async fn run(mut self) {
        loop {
            let deadline = self.model.next_event();
            tokio::select! {
                message = self.messages.recv() => match message {
                    Some(message) => self.handle(message),
                    None => break,
                },
                () = self.clock.sleep_until(deadline) => {}
            }
            self.model.advance(self.clock.now());
            for event in self.model.take_events() {
                self.publish(event).await;
            }
        }
    }

    fn handle(&mut self, message: UpstreamMessage) {
        match message {
            UpstreamMessage::Request { key, service_ms, reply } => {
                match self.model.admit(self.clock.now(), &key, service_ms) {
                    Admission::Accepted(id) => drop(self.replies.insert(id, reply)),
                    Admission::Refused => send_outcome(reply, RequestOutcome::Refused),
                    Admission::ShuttingDown => send_outcome(reply, RequestOutcome::ShuttingDown),
                    Admission::ConnectionClosed => {
                        send_outcome(
                            reply,
                            RequestOutcome::Response(ResponseFault::CloseBeforeRun),
                        );
                    }
                }
            }
            UpstreamMessage::SetFaults(faults) => self.model.set_faults(faults),
            UpstreamMessage::RunCounts(reply) => drop(reply.send(self.model.run_counts().clone())),
        }
    }

    async fn publish(&mut self, event: RequestEvent) {
        match event {
            RequestEvent::Started { key } => self.reporter.report_started(key).await,
            RequestEvent::Finished { id, key, response } => {
                self.reporter.report_finished(key).await;
                if let Some(reply) = self.replies.remove(&id) {
                    send_outcome(reply, RequestOutcome::Response(response));
                }
            }
        }
    }
}

/// Sends the outcome of a request, whose caller may have disconnected.
fn send_outcome(reply: oneshot::Sender<RequestOutcome>, outcome: RequestOutcome) {
    let _ = reply.send(outcome);
}
