//! gRPC service for operators.

use cowslipport_lib::config::ConfigCommit;
use cowslipport_lib::config::Manifest;
use cowslipport_lib::control::ControlState;
use cowslipport_lib::fold::VoidReason;
use cowslipport_lib::ids::Offset;
use cowslipport_lib::ids::Revision;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::protos::peer::CommitResult;
use cowslipport_lib::protos::peer::admin_server::Admin;
use cowslipport_lib::record::RecordBody;
use cowslipport_lib::record::WavePhase;
use slog::Logger;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tonic::Request;
use tonic::Response;
use tonic::Status;

use crate::admin_status;
use crate::clients::peer::PeerClients;
use crate::explain;
use crate::peer_server::shutting_down;
use crate::tasks::control::AppendOutcome;
use crate::tasks::control::ControlHandle;
use crate::tasks::journal::JournalHandle;
use crate::tasks::peer::PeerMessage;

/// Handles the calls of operators.
pub(crate) struct AdminService {
    /// Mailbox of the peer task.
    pub(crate) peer: mpsc::Sender<PeerMessage>,
    /// Handle of the control task.
    pub(crate) control: ControlHandle,
    /// Handle of the decision journal.
    pub(crate) journal: JournalHandle,
    /// Clients of the other processes.
    pub(crate) clients: PeerClients,
    /// Session of this process.
    pub(crate) session: SessionId,
    /// Name of this process.
    pub(crate) name: String,
    /// Logger of the service.
    pub(crate) logger: Logger,
}

impl AdminService {
    async fn append(&self, body: RecordBody) -> Result<raw::CommitReply, Status> {
        let outcome = self.control.append(body).await;
        let state = self.control.state().await.ok_or_else(shutting_down)?;
        Ok(commit_reply(outcome, &state))
    }

    async fn commit_manifest(
        &self,
        request: &raw::CommitRequest,
        state: &ControlState,
    ) -> Result<raw::CommitReply, Status> {
        let raw_manifest = request.manifest.as_ref().cloned().unwrap_or_default();
        let manifest = match Manifest::try_from(&raw_manifest) {
            Ok(manifest) => manifest,
            Err(findings) => {
                let lines = findings.lines();
                return Ok(reply_with(CommitResult::Invalid, state, lines));
            }
        };
        if request.expected_revision != state.revision.0 {
            return Ok(reply_with(CommitResult::Conflict, state, Vec::new()));
        }
        let changes = state.manifest().changes_to(&manifest);
        let lines = state.manifest().differences_to(&manifest);
        if changes.is_empty() {
            return Ok(reply_with(CommitResult::Unchanged, state, lines));
        }
        if request.dry_run {
            return Ok(reply_with(CommitResult::DryRun, state, lines));
        }
        info!(self.logger, "commit requested"; "author" => &request.author,
            "expected_revision" => request.expected_revision, "changes" => changes.len());
        let expected_revision = Revision(request.expected_revision);
        let commit = ConfigCommit { expected_revision, author: request.author.clone(), changes };
        let reply = self.append(RecordBody::ConfigCommit(commit)).await?;
        Ok(raw::CommitReply { lines, ..reply })
    }
}

fn reply_with(result: CommitResult, state: &ControlState, lines: Vec<String>) -> raw::CommitReply {
    raw::CommitReply {
        result: result.into(),
        offset: 0,
        revision: state.revision.0,
        author: state.revision_author.clone(),
        lines,
    }
}

fn commit_reply(outcome: AppendOutcome, state: &ControlState) -> raw::CommitReply {
    match outcome {
        AppendOutcome::Applied(offset) => raw::CommitReply {
            offset: offset.0,
            ..reply_with(CommitResult::Recorded, state, Vec::new())
        },
        AppendOutcome::Void(VoidReason::RevisionConflict { found, author, .. }) => {
            raw::CommitReply {
                revision: found,
                author,
                ..reply_with(CommitResult::Conflict, state, Vec::new())
            }
        }
        AppendOutcome::Void(reason) => {
            reply_with(CommitResult::Invalid, state, vec![reason.to_string()])
        }
        AppendOutcome::Unavailable(reason) => {
            reply_with(CommitResult::LogUnavailable, state, vec![reason])
        }
        AppendOutcome::Unknown(reason) => reply_with(CommitResult::Unknown, state, vec![reason]),
    }
}

#[tonic::async_trait]
impl Admin for AdminService {
    async fn commit(
        &self,
        request: Request<raw::CommitRequest>,
    ) -> Result<Response<raw::CommitReply>, Status> {
        let request = request.into_inner();
        let state = self.control.state().await.ok_or_else(shutting_down)?;
        Ok(Response::new(self.commit_manifest(&request, &state).await?))
    }

    async fn set_data_centre(
        &self,
        request: Request<raw::SetDataCentreRequest>,
    ) -> Result<Response<raw::CommitReply>, Status> {
        let request = request.into_inner();
        info!(self.logger, "data centre change requested"; "data_centre" => &request.data_centre,
            "in_service" => request.in_service, "author" => &request.author);
        let body = RecordBody::DataCentreSet {
            data_centre: request.data_centre,
            in_service: request.in_service,
            author: request.author,
        };
        Ok(Response::new(self.append(body).await?))
    }

    async fn resume_wave(
        &self,
        request: Request<raw::ResumeWaveRequest>,
    ) -> Result<Response<raw::CommitReply>, Status> {
        let request = request.into_inner();
        let state = self.control.state().await.ok_or_else(shutting_down)?;
        let Some(wave) = state.wave_by_name(&request.wave) else {
            let line = format!("wave {} does not exist", request.wave);
            return Ok(Response::new(reply_with(CommitResult::Invalid, &state, vec![line])));
        };
        let width = state.waves.get(wave).map_or(1, |wave| wave.spec.initial_width);
        let body = RecordBody::WaveUpdate { wave, phase: WavePhase::Running, width };
        Ok(Response::new(self.append(body).await?))
    }

    async fn in_force(
        &self,
        request: Request<raw::InForceRequest>,
    ) -> Result<Response<raw::InForceReply>, Status> {
        let offset = Offset(request.into_inner().offset);
        let (reply, answer) = oneshot::channel();
        let message = PeerMessage::Progress { offset, reply };
        self.peer.send(message).await.map_err(|_| shutting_down())?;
        let progress = answer.await.map_err(|_| shutting_down())?;
        let members = progress.members.into_iter().map(|member| raw::MemberProgress {
            name: member.name,
            applied: member.applied,
            stale: member.stale,
            age_ms: member.age_ms,
        });
        let members = members.collect();
        Ok(Response::new(raw::InForceReply { accepted: progress.accepted, members }))
    }

    async fn get_manifest(
        &self,
        _request: Request<raw::GetManifestRequest>,
    ) -> Result<Response<raw::GetManifestReply>, Status> {
        let state = self.control.state().await.ok_or_else(shutting_down)?;
        Ok(Response::new(raw::GetManifestReply {
            revision: state.revision.0,
            author: state.revision_author.clone(),
            manifest: Some((&state.manifest()).into()),
        }))
    }

    async fn status(
        &self,
        _request: Request<raw::StatusRequest>,
    ) -> Result<Response<raw::StatusReply>, Status> {
        let state = self.control.state().await.ok_or_else(shutting_down)?;
        let (reply, answer) = oneshot::channel();
        self.peer.send(PeerMessage::Status(reply)).await.map_err(|_| shutting_down())?;
        let peers = answer.await.map_err(|_| shutting_down())?;
        Ok(Response::new(admin_status::report(&state, &peers)))
    }

    async fn explain(
        &self,
        request: Request<raw::ExplainRequest>,
    ) -> Result<Response<raw::ExplainReply>, Status> {
        let request = request.into_inner();
        let state = self.control.state().await.ok_or_else(shutting_down)?;
        let mut lines = explain::local_lines(&request, &self.journal, &self.name).await?;
        let clients = self.clients.clone();
        lines.extend(explain::peer_lines(&request, &state, self.session, clients).await);
        lines.sort_by_key(|line| std::cmp::Reverse(line.age_ms));
        Ok(Response::new(raw::ExplainReply { lines }))
    }
}
