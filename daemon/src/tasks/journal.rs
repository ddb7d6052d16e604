//! The task that keeps the last decisions of this process, for explanations.

use std::collections::VecDeque;

use cowslipport_lib::time::TimeMs;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// Decisions that are kept. At about 120 bytes each they take 1 MB.
const KEPT_DECISIONS: usize = 8_192;

/// A busy process drops notes rather than wait for the journal.
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

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Note {
    /// What it is about.
    pub(crate) subjects: Vec<Subject>,
    /// What was decided.
    pub(crate) decision: String,
    /// Why.
    pub(crate) reason: String,
}

/// A decision with its age.
#[derive(Clone, Debug)]
pub(crate) struct AgedNote {
    /// Time since the decision.
    pub(crate) age_ms: u64,
    /// The decision.
    pub(crate) note: Note,
}

enum JournalMessage {
    Note(Note),
    Explain { subject: Subject, reply: oneshot::Sender<Vec<AgedNote>> },
}

/// Address of the journal.
#[derive(Clone)]
pub(crate) struct JournalHandle {
    sender: mpsc::Sender<JournalMessage>,
}

impl JournalHandle {
    /// Keeps a decision.
    pub(crate) fn note(&self, note: Note) {
        let _ = self.sender.try_send(JournalMessage::Note(note));
    }

    /// The decisions about a subject, oldest first.
    pub(crate) async fn explain(&self, subject: Subject) -> Vec<AgedNote> {
        let (reply, answer) = oneshot::channel();
        if self.sender.send(JournalMessage::Explain { subject, reply }).await.is_err() {
            return Vec::new();
        }
        answer.await.unwrap_or_default()
    }
}

/// Starts the journal. It ends when all handles are dropped.
pub(crate) fn spawn(clock: Clock) -> JournalHandle {
    let (sender, mut receiver) = mpsc::channel(MAILBOX_CAPACITY);
    actix_rt::spawn(async move {
        let mut notes: VecDeque<(TimeMs, Note)> = VecDeque::new();
        while let Some(message) = receiver.recv().await {
            match message {
                JournalMessage::Note(note) => keep(&mut notes, clock.now(), note),
                JournalMessage::Explain { subject, reply } => {
                    let _ = reply.send(about(&notes, &subject, clock.now()));
                }
            }
        }
    });
    JournalHandle { sender }
}

fn keep(notes: &mut VecDeque<(TimeMs, Note)>, now: TimeMs, note: Note) {
    notes.push_back((now, note));
    if notes.len() > KEPT_DECISIONS {
        notes.pop_front();
    }
}

fn about(notes: &VecDeque<(TimeMs, Note)>, subject: &Subject, now: TimeMs) -> Vec<AgedNote> {
    let wanted = notes.iter().filter(|(_, note)| note.subjects.contains(subject));
    wanted.map(|(at, note)| AgedNote { age_ms: now.since(*at), note: note.clone() }).collect()
}
