//! The task that keeps a journal of the last decisions of this process, so that
//! operators can ask for the reasons.

use std::collections::VecDeque;

use cowslipport_lib::time::TimeMs;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// Number of entries that the journal keeps. At about 120 bytes each they take
/// 1 MB.
const MAX_ENTRIES: usize = 8_192;

/// When the mailbox is full, entries are dropped, so that no task waits for the
/// journal.
const MAILBOX_CAPACITY: usize = 1_024;

/// What a decision is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Subject {
    /// A job, as `organisation/name`.
    Job(String),
    /// A VM.
    Vm(String),
    /// An organisation.
    Organisation(String),
    /// A wave.
    Wave(String),
}

impl Subject {
    /// Name of the subject.
    pub(crate) fn name(&self) -> &str {
        match self {
            Self::Job(name) | Self::Vm(name) | Self::Organisation(name) | Self::Wave(name) => name,
        }
    }
}

/// A decision in the journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct JournalEntry {
    /// What the decision is about.
    pub(crate) subjects: Vec<Subject>,
    /// What was decided.
    pub(crate) decision: String,
    /// Why.
    pub(crate) reason: String,
}

/// A journal entry with its age.
#[derive(Clone, Debug)]
pub(crate) struct AgedEntry {
    /// Time since the decision.
    pub(crate) age_ms: u64,
    /// The entry.
    pub(crate) entry: JournalEntry,
}

enum JournalMessage {
    Record(JournalEntry),
    Explain { subject: Subject, reply: oneshot::Sender<Vec<AgedEntry>> },
}

/// Handle of the journal task.
#[derive(Clone)]
pub(crate) struct JournalHandle {
    sender: mpsc::Sender<JournalMessage>,
}

impl JournalHandle {
    /// Adds an entry to the journal.
    pub(crate) fn record(&self, entry: JournalEntry) {
        let _ = self.sender.try_send(JournalMessage::Record(entry));
    }

    /// The entries about a subject, oldest first.
    pub(crate) async fn explain(&self, subject: Subject) -> Vec<AgedEntry> {
        let (reply, answer) = oneshot::channel();
        if self.sender.send(JournalMessage::Explain { subject, reply }).await.is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}

/// Starts the journal task. It ends when all handles are dropped.
pub(crate) fn spawn(clock: Clock) -> JournalHandle {
    let (sender, mut receiver) = mpsc::channel(MAILBOX_CAPACITY);
    actix_rt::spawn(async move {
        let mut entries: VecDeque<(TimeMs, JournalEntry)> = VecDeque::new();
        while let Some(message) = receiver.recv().await {
            match message {
                JournalMessage::Record(entry) => add(&mut entries, clock.now(), entry),
                JournalMessage::Explain { subject, reply } => {
                    let _ = reply.send(entries_about(&entries, &subject, clock.now()));
                }
            }
        }
    });
    JournalHandle { sender }
}

fn add(entries: &mut VecDeque<(TimeMs, JournalEntry)>, now: TimeMs, entry: JournalEntry) {
    entries.push_back((now, entry));
    if entries.len() > MAX_ENTRIES {
        entries.pop_front();
    }
}

fn entries_about(
    entries: &VecDeque<(TimeMs, JournalEntry)>,
    subject: &Subject,
    now: TimeMs,
) -> Vec<AgedEntry> {
    let wanted = entries.iter().filter(|(_, entry)| entry.subjects.contains(subject));
    wanted.map(|(at, entry)| AgedEntry { age_ms: now.since(*at), entry: entry.clone() }).collect()
}
