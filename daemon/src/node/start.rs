//! Starts and stops the tasks of a node.

use std::time::Duration;

use cowslipport_lib::workload::owner_record::NodeIncarnation;
use cowslipport_lib::workload::record_key::RecordKey;
use cowslipport_lib::workload::store_health::StoreHealth;
use slog::Logger;
use slog::o;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::Clock;
use crate::node::calls::CallHandler;
use crate::node::calls::MAX_BODY_BYTES;
use crate::node::core::Core;
use crate::node::core::CoreState;
use crate::node::membership_task;
use crate::node::membership_task::MembershipTask;
use crate::node::messages::CORE_MAILBOX_CAPACITY;
use crate::node::messages::CoreMessage;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Platform;
use crate::node::platform::Topic;
use crate::node::settings::FOLLOWER_PAUSE;
use crate::node::settings::NodeSettings;
use crate::node::submissions;
use crate::node::submissions::StoreOutcome;
use crate::node::submissions::Submission;
use crate::node::submissions::SubmissionInputs;
use crate::node::submissions::SubmissionTask;
use crate::node::topic_reader::TopicReader;

/// How long a node that shuts down waits until the owner has stored the release
/// of its ownership. If that takes longer, the successor recovers from the
/// store and the workers.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay before a failed attempt to store the node's record is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Stores the record of this node's incarnation, from which an owner learns
/// that the former incarnations have ended.
async fn store_node_record(
    settings: NodeSettings,
    submissions: mpsc::Sender<Submission>,
    logger: Logger,
) {
    let record = KeyedRecord {
        key: RecordKey::Node(settings.name.clone()).encode().into(),
        value: settings.node_record().encode().into(),
    };
    loop {
        let (reply, outcome) = oneshot::channel();
        let submission = Submission { job: None, record: record.clone(), reply };
        if submissions.send(submission).await.is_err() {
            return;
        }
        match outcome.await {
            Ok(StoreOutcome::Stored) => return,
            outcome => warn!(logger, "storing the record of this node failed; retrying";
                "outcome" => format!("{outcome:?}")),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// A running node.
pub struct Node<P>
where
    P: Platform,
{
    platform: P,
    settings: NodeSettings,
    core: mpsc::Sender<CoreMessage>,
    readiness: watch::Receiver<bool>,
    max_body_bytes: watch::Receiver<u64>,
    logger: Logger,
    membership: JoinSet<()>,
    /// Aborted when the node is dropped.
    _tasks: JoinSet<()>,
}

impl<P> Node<P>
where
    P: Platform,
{
    /// Starts a node.
    pub fn start(platform: P, mut settings: NodeSettings, logger: &Logger) -> Self {
        settings.incarnation =
            NodeIncarnation::number(platform.unix_now_ms(), settings.incarnation);
        let clock = Clock::start();
        let (core, mailbox) = mpsc::channel(CORE_MAILBOX_CAPACITY);
        let (submissions, submission_mailbox) = mpsc::channel(submissions::QUEUE_CAPACITY);
        let (job_pause, job_pause_receiver) = watch::channel(FOLLOWER_PAUSE);
        let (_, no_pause) = watch::channel(Duration::ZERO);
        let (readiness, is_ready) = watch::channel(false);
        let (max_body_bytes, max_body_receiver) = watch::channel(MAX_BODY_BYTES);
        let mut tasks = JoinSet::new();
        let (outcomes, reads) = mpsc::channel(submissions::READ_OUTCOME_CAPACITY);
        let health = settings.scheduling.refuse_late_jobs.then(StoreHealth::default);
        let store_logger = logger.new(o!("target" => "store"));
        let calls = SubmissionInputs { mailbox: submission_mailbox, reads };
        let store = platform.store();
        let task = SubmissionTask::new(store, calls, health, clock, store_logger.clone());
        tasks.spawn_local(task.run());
        tasks.spawn_local(store_node_record(settings.clone(), submissions.clone(), logger.clone()));
        for (topic, pause) in [(Topic::Operator, no_pause), (Topic::Jobs, job_pause_receiver)] {
            let (store, core, logger) = (platform.store(), core.clone(), store_logger.clone());
            let outcomes = Some(outcomes.clone());
            let reader = TopicReader { topic, store, clock, core, pause, outcomes, logger };
            tasks.spawn_local(reader.run());
        }
        let (is_candidate, is_candidate_receiver) = watch::channel(false);
        let membership_task = MembershipTask {
            store: platform.store(),
            member: settings.name.clone(),
            ttl_ms: settings.membership_ttl_ms(),
            clock,
            core: core.clone(),
            is_candidate: is_candidate_receiver,
            logger: logger.new(o!("target" => "seat")),
        };
        let mut membership = JoinSet::new();
        membership.spawn_local(membership_task.run());
        let core_task = Core {
            platform: platform.clone(),
            settings: settings.clone(),
            clock,
            logger: logger.new(o!("target" => "node")),
            mailbox,
            sender: core.clone(),
            submissions,
            job_pause,
            readiness,
            max_body_bytes,
            is_candidate,
            state: CoreState::new(&settings, clock.now()),
        };
        tasks.spawn_local(core_task.run());
        let (readiness, max_body_bytes, logger) = (is_ready, max_body_receiver, logger.clone());
        let _tasks = tasks;
        Self { platform, settings, core, readiness, max_body_bytes, logger, membership, _tasks }
    }

    /// Returns a handler for calls of submitters.
    pub fn call_handler(&self) -> CallHandler {
        CallHandler { core: self.core.clone(), max_body_bytes: self.max_body_bytes.clone() }
    }

    /// Returns a watch on whether the node can answer calls.
    pub fn readiness(&self) -> watch::Receiver<bool> {
        self.readiness.clone()
    }

    /// Releases the ownership, if this node is the owner, and leaves the group.
    /// Calls are still answered.
    pub async fn step_down(&mut self) {
        self.membership.abort_all();
        let (done, is_done) = oneshot::channel();
        if self.core.send(CoreMessage::Shutdown { done }).await.is_ok()
            && timeout(RELEASE_TIMEOUT, is_done).await.is_err()
        {
            warn!(self.logger, "release of the ownership not stored in time";
                "effect" => "the successor waits for unreachable workers");
        }
        membership_task::leave(self.platform.store(), &self.settings.name, &self.logger).await;
    }
}
