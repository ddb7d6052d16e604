//! The tasks of the owner that do not belong to a single worker.

use cowslipport_lib::workload::advice::AdviceRequest;
use slog::Logger;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::clock::Clock;
use crate::node::advice_task;
use crate::node::messages::OwnerMailbox;
use crate::node::messages::OwnerMessage;
use crate::node::owner_writer;
use crate::node::owner_writer::Fenced;
use crate::node::owner_writer::OwnerRecords;
use crate::node::owner_writer::TopicWriter;
use crate::node::ownership_check::OwnershipCheck;
use crate::node::platform::KeyedRecord;
use crate::node::platform::Platform;
use crate::node::platform::Store;
use crate::node::platform::Topic;
use crate::node::recovery;
use crate::node::settings::NodeSettings;
use crate::node::settings::OWNER_PAUSE;
use crate::node::topic_reader::TopicReader;
use crate::node::vm_task;
use crate::node::vm_task::VmMailboxes;

/// Capacity of a writer's mailbox: the owner has one batch in flight.
const WRITER_CAPACITY: usize = 1;

/// Mailboxes of the owner's tasks.
pub(crate) struct Mailboxes {
    pub(crate) writer: mpsc::Sender<OwnerRecords>,
    pub(crate) status_writer: mpsc::Sender<Vec<KeyedRecord>>,
    pub(crate) vms: VmMailboxes,
    pub(crate) advice_requests: mpsc::Sender<AdviceRequest>,
}

/// Starts the tasks and returns their mailboxes.
pub(crate) fn spawn_tasks<P>(
    platform: &P,
    settings: &NodeSettings,
    clock: Clock,
    ownership: &OwnershipCheck,
    mailbox: &OwnerMailbox,
    logger: &Logger,
) -> (Mailboxes, JoinSet<()>)
where
    P: Platform,
{
    let mut tasks = JoinSet::new();
    let (mailbox, logger) = (|| mailbox.clone(), || logger.clone());
    tasks.spawn_local(recovery::run(platform.store(), mailbox(), clock, logger()));
    let (writer, batches) = mpsc::channel(WRITER_CAPACITY);
    let (publisher, publications) = mpsc::channel(owner_writer::PUBLISHER_CAPACITY);
    let topic_writer = |topic| TopicWriter::new(platform.store(), topic, mailbox().epoch, logger());
    let progress = topic_writer(Topic::Progress);
    tasks.spawn_local(owner_writer::run(progress, batches, publisher, mailbox()));
    tasks.spawn_local(owner_writer::publish(topic_writer(Topic::Jobs), publications, mailbox()));
    let (status_writer, statuses) = mpsc::channel(WRITER_CAPACITY);
    tasks.spawn_local(write_status(topic_writer(Topic::Status), statuses, mailbox()));
    let (_, pause) = watch::channel(OWNER_PAUSE);
    let reader = TopicReader {
        topic: Topic::Workers,
        store: platform.store(),
        clock,
        core: mailbox().core,
        pause,
        outcomes: None,
        logger: logger(),
    };
    tasks.spawn_local(reader.run());
    let vms = vm_task::VmTasks {
        platform,
        holder: &settings.name,
        clock,
        ownership,
        owner: &mailbox(),
        logger: &logger(),
    }
    .spawn(&mut tasks);
    let (advice_requests, requests) = mpsc::channel(advice_task::REQUEST_QUEUE_CAPACITY);
    let service = platform.advice_service();
    tasks.spawn_local(advice_task::run(service, clock, requests, mailbox(), logger()));
    (Mailboxes { writer, status_writer, vms, advice_requests }, tasks)
}

/// Stores the status of waves, which only operators read, until the owner ends or
/// is fenced. A new owner writes the status of all waves, so that its first append
/// fences the former owners.
async fn write_status<S>(
    mut writer: TopicWriter<S>,
    mut mailbox: mpsc::Receiver<Vec<KeyedRecord>>,
    owner: OwnerMailbox,
) where
    S: Store,
{
    while let Some(records) = mailbox.recv().await {
        if let Err(Fenced) = writer.append_some(&records).await {
            owner.send(OwnerMessage::Fenced).await;
            return;
        }
    }
}
