//! The task that forwards job calls of callers to the owner of the partition.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cowslipport_lib::control::ControlState;
use cowslipport_lib::freshness::ViewState;
use cowslipport_lib::ids::OrganisationId;
use cowslipport_lib::ids::PartitionId;
use cowslipport_lib::ids::PoolId;
use cowslipport_lib::ids::RegionId;
use cowslipport_lib::ids::SessionId;
use cowslipport_lib::job::JobRef;
use cowslipport_lib::job::JobSpec;
use cowslipport_lib::keys::AcceptedKey;
use cowslipport_lib::keys::KeyDigest;
use cowslipport_lib::keys::OrganisationKeys;
use cowslipport_lib::protos::peer as raw;
use cowslipport_lib::rendezvous;
use cowslipport_lib::replica::ControlFeed;
use cowslipport_lib::resources::Resources;
use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::info;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::authority::View;
use crate::clients::peer::Client;
use crate::clients::peer::PeerClients;
use crate::clock::Clock;
use crate::job_stream::JobAnswer;
use crate::job_wire;
use crate::job_wire::JobSummary;
use crate::tasks::placement::PlacementMessage;

const MAILBOX_CAPACITY: usize = 1024;

/// Messages of the task.
pub(crate) enum JobsMessage {
    /// The control state changed.
    Control(ControlFeed),
    /// The state of the view changed.
    View(View),
    /// Submits a job.
    Submit { key: String, job: NewJob, reply: oneshot::Sender<JobsAnswer> },
    /// Cancels a job.
    Cancel { key: String, name: String, reply: oneshot::Sender<JobsAnswer> },
    /// Lists the jobs of an organisation.
    List { key: String, reply: oneshot::Sender<Result<Vec<JobSummary>, JobsRefusal>> },
    /// Lists the jobs in the partitions of this process, for another process.
    ListLocal { organisation: String, reply: oneshot::Sender<Vec<JobSummary>> },
    /// Submits a job that another process forwarded to this process as the
    /// owner of its partition.
    SubmitLocal { job: JobSpec, region: RegionId, reply: oneshot::Sender<JobAnswer> },
    /// Cancels a job of a partition of this process, for another process.
    CancelLocal { job: JobRef, partition: PartitionId, reply: oneshot::Sender<JobAnswer> },
}

/// A job as the caller submits it.
#[derive(Clone, Debug)]
pub(crate) struct NewJob {
    /// Name that the caller chose.
    pub(crate) name: String,
    /// Name of the pool.
    pub(crate) pool: String,
    /// Requested resources.
    pub(crate) request: Resources,
    /// True if the job takes precedence over jobs that are not urgent.
    pub(crate) urgent: bool,
    /// Declared run time.
    pub(crate) declared_run_ms: Option<u64>,
    /// Payload that the worker receives.
    pub(crate) payload: String,
    /// True if the job may be started more than once.
    pub(crate) repeatable: bool,
    /// Time limit for the answer to the submission.
    pub(crate) deadline: Duration,
}

/// Why a call was refused. A refused call has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobsRefusal {
    /// No organisation has the key.
    KeyNotAccepted,
    /// The pool does not exist.
    PoolUnknown,
    /// The view of this process is stale.
    ViewStale,
    /// The partition has no reachable owner.
    NoOwner,
}

/// Answer to a submission or a cancellation.
#[derive(Clone, Debug)]
pub(crate) enum JobsAnswer {
    /// The call was refused.
    Refused(JobsRefusal),
    /// The outcome of a call that was not refused, with the name of the
    /// caller's organisation.
    Answered { organisation: String, answer: JobAnswer },
}

/// What the task needs to start.
pub(crate) struct JobsConfig {
    /// The session of this process.
    pub(crate) session: SessionId,
    /// The clock.
    pub(crate) clock: Clock,
    /// Clients of the other processes.
    pub(crate) clients: PeerClients,
    /// Mailbox of the placement task.
    pub(crate) placement: mpsc::Sender<PlacementMessage>,
    /// The logger.
    pub(crate) logger: Logger,
}

/// Creates the mailbox of the task for job calls.
pub(crate) fn mailbox() -> (mpsc::Sender<JobsMessage>, mpsc::Receiver<JobsMessage>) {
    mpsc::channel(MAILBOX_CAPACITY)
}

/// The task for job calls, which finds the owner of each partition.
pub(crate) struct JobsTask {
    pub(super) config: JobsConfig,
    pub(super) state: ControlState,
    pub(super) view: View,
}

/// The owner of a partition: this process or another one.
enum Owner {
    Local,
    Remote(Box<Client>),
}

impl JobsTask {
    /// Starts the task. It ends when its mailbox is closed.
    pub(crate) fn spawn(config: JobsConfig, mut receiver: mpsc::Receiver<JobsMessage>) {
        let mut task = Self { config, state: ControlState::default(), view: View::STALE };
        actix_rt::spawn(async move {
            while let Some(message) = receiver.recv().await {
                task.handle(message);
            }
        });
    }

    fn handle(&mut self, message: JobsMessage) {
        match message {
            JobsMessage::Control(feed) => {
                self.state.apply_feed(&feed);
            }
            JobsMessage::View(view) => self.view = view,
            JobsMessage::Submit { key, job, reply } => {
                if let Err((refusal, reply)) = self.submit(&key, job, reply) {
                    let _ = reply.send(JobsAnswer::Refused(refusal));
                }
            }
            JobsMessage::Cancel { key, name, reply } => self.cancel(&key, name, reply),
            JobsMessage::List { key, reply } => self.list(&key, reply),
            JobsMessage::ListLocal { organisation, reply } => {
                let organisation = self.state.organisation_by_name(&organisation);
                self.list_local(organisation, reply);
            }
            JobsMessage::SubmitLocal { job, region, reply } => {
                let partition = PartitionId { pool: job.pool, region };
                self.submit_local(partition, job, reply);
            }
            JobsMessage::CancelLocal { job, partition, reply } => {
                let message = PlacementMessage::Cancel { partition, job, reply };
                send(&self.config.placement, message);
            }
        }
    }

    pub(super) fn organisation_and_key(
        &self,
        presented: &str,
    ) -> Result<(OrganisationId, String), JobsRefusal> {
        if self.view.at(self.config.clock.now()) == ViewState::Stale {
            return Err(JobsRefusal::ViewStale);
        }
        let digest = KeyDigest::of(presented.as_bytes());
        let accepted = OrganisationKeys::of(&self.state).find(&digest);
        let named = accepted.and_then(|AcceptedKey { organisation, index }| {
            let key = self.state.organisations.get(organisation)?.spec.keys.get(index as usize)?;
            Some((organisation, key.name.clone()))
        });
        named.ok_or(JobsRefusal::KeyNotAccepted)
    }

    fn submit(
        &mut self,
        key: &str,
        new: NewJob,
        reply: oneshot::Sender<JobsAnswer>,
    ) -> Result<(), (JobsRefusal, oneshot::Sender<JobsAnswer>)> {
        let (organisation, key) = match self.organisation_and_key(key) {
            Ok(found) => found,
            Err(refusal) => return Err((refusal, reply)),
        };
        let Some(pool) = self.state.pool_by_name(&new.pool) else {
            return Err((JobsRefusal::PoolUnknown, reply));
        };
        let job = JobSpec {
            job: JobRef { organisation, name: new.name },
            key,
            pool,
            request: new.request,
            urgent: new.urgent,
            declared_run_ms: new.declared_run_ms,
            payload: new.payload,
            repeatable: new.repeatable,
        };
        let Some(region) = self.region_of(pool, &job.job) else {
            return Err((JobsRefusal::NoOwner, reply));
        };
        let partition = PartitionId { pool, region };
        let Some(owner) = self.owner(partition) else {
            return Err((JobsRefusal::NoOwner, reply));
        };
        let organisation_name = self
            .state
            .organisations
            .get(organisation)
            .map(|organisation| organisation.spec.name.clone());
        let organisation_name = organisation_name.unwrap_or_default();
        info!(self.config.logger, "job forwarded to owner"; "subject" => job.job.to_string(),
            "decision" => partition.to_string(), "reason" => "rendezvous",
            "eligible" => self.state.regions.len());
        let (answer_sender, answer) = oneshot::channel();
        match owner {
            Owner::Local => self.submit_local(partition, job, answer_sender),
            Owner::Remote(client) => {
                submit_remote(*client, job, region, new.deadline, answer_sender);
            }
        }
        actix_rt::spawn(async move {
            let answer = tokio::time::timeout(new.deadline, answer).await;
            let answer = answer.ok().and_then(Result::ok).unwrap_or(JobAnswer::Unknown);
            let _ = reply.send(JobsAnswer::Answered { organisation: organisation_name, answer });
        });
        Ok(())
    }

    /// The region of a job. All processes choose the same region, so that a
    /// repeated submission reaches the same partition as the first.
    fn region_of(&self, pool: PoolId, job: &JobRef) -> Option<RegionId> {
        let mut regions: Vec<RegionId> = self
            .state
            .vms
            .iter()
            .filter(|(_, vm)| vm.pool == pool)
            .filter_map(|(_, vm)| Some(self.state.partition_of(vm)?.region))
            .collect();
        regions.sort_unstable();
        regions.dedup();
        let digest = Sha256::digest(job.to_string().as_bytes());
        let key = digest.iter().take(8).fold(0, |key, byte| (key << 8) | u64::from(*byte));
        regions.into_iter().max_by_key(|region| rendezvous::score(key, u64::from(region.0)))
    }

    fn owner(&mut self, partition: PartitionId) -> Option<Owner> {
        let owner = self.state.owners.get(&partition)?.owner?;
        if owner == self.config.session {
            return Some(Owner::Local);
        }
        let address: SocketAddr =
            self.state.sessions.get(&owner)?.open.peer_address.parse().ok()?;
        Some(Owner::Remote(Box::new(self.config.clients.get(address))))
    }

    /// Submits a job to a partition of this process. The key is checked again,
    /// since the process that forwarded the job may not have applied the
    /// withdrawal of the key yet.
    fn submit_local(
        &self,
        partition: PartitionId,
        job: JobSpec,
        reply: oneshot::Sender<JobAnswer>,
    ) {
        let organisation = self
            .state
            .organisations
            .get(job.job.organisation)
            .filter(|organisation| !organisation.removed);
        let accepted = organisation.is_some_and(|organisation| {
            organisation.spec.keys.iter().any(|key| key.name == job.key)
        });
        if !accepted {
            let _ = reply.send(JobAnswer::KeyWithdrawn);
            return;
        }
        let message = PlacementMessage::Submit { partition, job, reply };
        send(&self.config.placement, message);
    }

    fn cancel(&mut self, key: &str, name: String, reply: oneshot::Sender<JobsAnswer>) {
        let organisation = match self.organisation_and_key(key) {
            Ok((organisation, _)) => organisation,
            Err(refusal) => {
                let _ = reply.send(JobsAnswer::Refused(refusal));
                return;
            }
        };
        let job = JobRef { organisation, name };
        let organisation_name = self
            .state
            .organisations
            .get(organisation)
            .map(|organisation| organisation.spec.name.clone());
        let organisation_name = organisation_name.unwrap_or_default();
        let summaries = self.collect_jobs(organisation, &organisation_name);
        let partitions: BTreeMap<String, PoolId> =
            self.state.pools.iter().map(|(id, pool)| (pool.spec.name.clone(), id)).collect();
        let owners: BTreeMap<PartitionId, Option<Client>> = self
            .state
            .owners
            .keys()
            .copied()
            .collect::<Vec<_>>()
            .into_iter()
            .filter_map(|partition| match self.owner(partition)? {
                Owner::Local => Some((partition, None)),
                Owner::Remote(client) => Some((partition, Some(*client))),
            })
            .collect();
        let placement = self.config.placement.clone();
        actix_rt::spawn(async move {
            let answer = cancel_at_owner(job, summaries, &partitions, owners, placement).await;
            let _ = reply.send(JobsAnswer::Answered { organisation: organisation_name, answer });
        });
    }
}

/// Sends without waiting, so that this task and the placement task cannot wait
/// for each other. If the mailbox is full, the message is dropped with its
/// reply channel, so that the asker does not wait for an answer.
pub(super) fn send(placement: &mpsc::Sender<PlacementMessage>, message: PlacementMessage) {
    let _ = placement.try_send(message);
}

fn submit_remote(
    mut client: Client,
    job: JobSpec,
    region: RegionId,
    deadline: Duration,
    reply: oneshot::Sender<JobAnswer>,
) {
    let request = raw::SubmitJobRequest {
        job: Some((&job).into()),
        region: region.0,
        remaining_ms: u64::try_from(deadline.as_millis()).unwrap_or(u64::MAX),
    };
    actix_rt::spawn(async move {
        let answer = match client.submit_job(request).await {
            Ok(reply) => job_wire::submit_answer(reply.into_inner().result()),
            Err(_) => JobAnswer::Unknown,
        };
        let _ = reply.send(answer);
    });
}

async fn cancel_at_owner<F>(
    job: JobRef,
    summaries: F,
    pools: &BTreeMap<String, PoolId>,
    owners: BTreeMap<PartitionId, Option<Client>>,
    placement: mpsc::Sender<PlacementMessage>,
) -> JobAnswer
where
    F: Future<Output = Vec<JobSummary>>,
{
    let found = summaries.await.into_iter().find(|summary| summary.name == job.name);
    let partition = found.and_then(|summary| {
        let pool = *pools.get(&summary.pool)?;
        Some(PartitionId { pool, region: RegionId(summary.region) })
    });
    let Some(partition) = partition else { return JobAnswer::NotOpen };
    match owners.get(&partition).cloned() {
        None => JobAnswer::NotOwner,
        Some(None) => {
            let (reply, answer) = oneshot::channel();
            send(&placement, PlacementMessage::Cancel { partition, job, reply });
            answer.await.unwrap_or(JobAnswer::Unknown)
        }
        Some(Some(mut client)) => {
            let request = raw::CancelJobRequest {
                job: Some((&job).into()),
                pool: partition.pool.0,
                region: partition.region.0,
            };
            match client.cancel_job(request).await {
                Ok(reply) if reply.get_ref().found => JobAnswer::Cancelled,
                Ok(_) => JobAnswer::NotOpen,
                Err(_) => JobAnswer::Unknown,
            }
        }
    }
}
