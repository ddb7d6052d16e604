//! Logging of the process.
//!
//! Loggers send their records to one thread through a bounded mailbox and never
//! block: if the mailbox is full, the record is dropped and counted. The thread
//! owns the destination and the state of the sampling.
//!
//! The target of a line is the value `target` of its logger, which each task
//! sets. Lines without a target have the default level.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::io::Write;
use std::panic::RefUnwindSafe;
use std::panic::UnwindSafe;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::time::Duration;

use cowslipport_lib::settings::LogFormat;
use cowslipport_lib::settings::LogLevel;
use cowslipport_lib::settings::Logging;
use slog::Drain;
use slog::KV;
use slog::Key;
use slog::Level;
use slog::Logger;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;
use slog::Serializer;
use slog::b;
use slog::o;
use slog::record;
use slog_async::AsyncRecord;
use tokio::time::Instant;

use crate::log_sampling::LogSampler;
use crate::log_sampling::LogSite;
use crate::log_sampling::SampleDecision;
use crate::log_sampling::SuppressedLines;
use crate::log_sampling::WINDOW;

/// Capacity of the mailbox of the log thread. At 1 kB a record this is 8 MB, a
/// quarter of the memory that a process may use for control.
const MAILBOX_RECORDS: usize = 8_192;
/// Maximum time for which a process that ends waits until the last lines are
/// written, so that a blocked destination cannot keep it from ending.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);

/// Key of the value that names the target of a logger.
const TARGET_KEY: &str = "target";

/// Destination of log lines.
pub enum Destination {
    /// Standard error, with colours if it is a terminal and the format is
    /// [`LogFormat::Terminal`].
    Stderr,
    /// Any writer, without colours.
    Writer(Box<dyn Write + Send>),
}

enum Message {
    Record {
        record: Box<AsyncRecord>,
        site: LogSite,
        time: Instant,
    },
    /// Wakes an idle thread, so that it checks whether it has to finish.
    Wake,
}

/// Handle of the running log thread.
pub struct LogThread {
    mailbox: SyncSender<Message>,
    /// Request to finish; not sent by the mailbox, which may be full.
    finish: SyncSender<()>,
    finished: Receiver<()>,
}

impl LogThread {
    /// Writes the records in the mailbox and ends the thread. Loggers that
    /// still exist drop their records from then on.
    pub fn finish(self) {
        // Both sends return at once. Nothing else is sent to `finish`, so it
        // has room; a full mailbox needs no message to wake the thread.
        let _ = self.finish.try_send(());
        let _ = self.mailbox.try_send(Message::Wake);
        // The thread has ended, or the timeout has expired.
        let _ = self.finished.recv_timeout(FINISH_TIMEOUT);
    }
}

/// Starts the log thread and returns the root logger.
pub fn start(settings: &Logging, destination: Destination) -> io::Result<(Logger, LogThread)> {
    let (mailbox, records) = sync_channel(MAILBOX_RECORDS);
    let (finished_sender, finished) = sync_channel(1);
    let (finish, finishing) = sync_channel(1);
    let dropped = Arc::new(AtomicU64::new(0));
    let drain = MailboxDrain {
        mailbox: mailbox.clone(),
        dropped: Arc::clone(&dropped),
        levels: Levels::from(settings),
    };
    let format = settings.format;
    std::thread::Builder::new().name("log".to_owned()).spawn(move || {
        run(&Mailbox { records, finishing }, &dropped, &*open(format, destination));
        // The receiver is dropped if `finish` has timed out.
        let _ = finished_sender.send(());
    })?;
    Ok((Logger::root(drain, o!()), LogThread { mailbox, finish, finished }))
}

/// Minimum severity of written lines, by target.
#[derive(Clone, Debug)]
struct Levels {
    default: Level,
    targets: BTreeMap<String, Level>,
    most_detailed: Level,
}

impl From<&Logging> for Levels {
    fn from(settings: &Logging) -> Self {
        let targets: BTreeMap<String, Level> = settings
            .target_levels
            .iter()
            .map(|(target, level)| (target.clone(), slog_level(*level)))
            .collect();
        let default = slog_level(settings.level);
        let most_detailed = targets
            .values()
            .copied()
            .fold(default, |most, level| if level.is_at_least(most) { most } else { level });
        Self { default, targets, most_detailed }
    }
}

impl Levels {
    fn accept(&self, record: &Record<'_>, values: &OwnedKVList) -> bool {
        let mut target_level = TargetLevel { targets: &self.targets, level: None };
        if !self.targets.is_empty() {
            // The serializer returns no error.
            let _ = values.serialize(record, &mut target_level);
        }
        record.level().is_at_least(target_level.level.unwrap_or(self.default))
    }
}

/// Serializer that finds the level of the innermost target of a logger.
struct TargetLevel<'a> {
    targets: &'a BTreeMap<String, Level>,
    level: Option<Level>,
}

impl Serializer for TargetLevel<'_> {
    fn emit_arguments(&mut self, _key: Key, _value: &fmt::Arguments<'_>) -> slog::Result {
        Ok(())
    }

    fn emit_str(&mut self, key: Key, value: &str) -> slog::Result {
        if key == TARGET_KEY && self.level.is_none() {
            self.level = self.targets.get(value).copied();
        }
        Ok(())
    }
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    }
}

/// Sends records to the log thread.
struct MailboxDrain {
    mailbox: SyncSender<Message>,
    /// Number of dropped records that have not been reported yet. Loggers share
    /// this one value with the thread, since they cannot send it by a full
    /// mailbox.
    dropped: Arc<AtomicU64>,
    levels: Levels,
}

impl UnwindSafe for MailboxDrain {}
impl RefUnwindSafe for MailboxDrain {}

impl Drain for MailboxDrain {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        if !self.levels.accept(record, values) {
            return Ok(());
        }
        let message = Message::Record {
            site: LogSite { file: record.file(), line: record.line() },
            time: Instant::now(),
            record: Box::new(AsyncRecord::from(record, values)),
        };
        match self.mailbox.try_send(message) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
                metrics::counter!("cowslipport_log_lines_dropped_total").increment(1);
            }
        }
        Ok(())
    }

    fn is_enabled(&self, level: Level) -> bool {
        level.is_at_least(self.levels.most_detailed)
    }
}

type Output = dyn Drain<Ok = (), Err = io::Error>;

fn open(format: LogFormat, destination: Destination) -> Box<Output> {
    match (format, destination) {
        (LogFormat::Json, Destination::Stderr) => Box::new(json(Box::new(io::stderr()))),
        (LogFormat::Json, Destination::Writer(writer)) => Box::new(json(writer)),
        (LogFormat::Terminal, Destination::Stderr) => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            Box::new(slog_term::FullFormat::new(decorator).build())
        }
        (LogFormat::Terminal, Destination::Writer(writer)) => {
            let decorator = slog_term::PlainDecorator::new(writer);
            Box::new(slog_term::FullFormat::new(decorator).build())
        }
    }
}

fn json(writer: Box<dyn Write + Send>) -> slog_json::Json<Box<dyn Write + Send>> {
    slog_json::Json::new(writer).add_default_keys().set_flush(true).build()
}

/// Receivers of the log thread.
struct Mailbox {
    records: Receiver<Message>,
    finishing: Receiver<()>,
}

impl Mailbox {
    /// Receives the next message. Returns `Disconnected` if the thread has to
    /// finish and no message is left.
    fn next(&self) -> Result<Message, RecvTimeoutError> {
        match self.records.try_recv() {
            Ok(message) => Ok(message),
            Err(_) if self.finishing.try_recv().is_ok() => Err(RecvTimeoutError::Disconnected),
            Err(_) => self.records.recv_timeout(WINDOW),
        }
    }
}

/// Writes records until the thread has to finish or the last logger is dropped.
/// A line that cannot be written is lost, since there is nowhere to report it.
fn run(mailbox: &Mailbox, dropped: &AtomicU64, output: &Output) {
    let mut sampler = LogSampler::default();
    loop {
        report_dropped(dropped.swap(0, Ordering::Relaxed), output);
        match mailbox.next() {
            Ok(Message::Record { record, site, time }) => {
                report_suppressed(sampler.end_window(time), output);
                write_sampled(&record, site, &mut sampler, output);
            }
            Ok(Message::Wake) => {}
            Err(RecvTimeoutError::Timeout) => report_suppressed(sampler.take_suppressed(), output),
            Err(RecvTimeoutError::Disconnected) => {
                report_suppressed(sampler.take_suppressed(), output);
                report_dropped(dropped.swap(0, Ordering::Relaxed), output);
                return;
            }
        }
    }
}

fn write_sampled(record: &AsyncRecord, site: LogSite, sampler: &mut LogSampler, output: &Output) {
    record.as_record_values(|record, values| {
        match sampler.sample(site, &record.msg().to_string()) {
            SampleDecision::Write => {
                let _ = output.log(record, values);
            }
            SampleDecision::Skip => {
                metrics::counter!("cowslipport_log_lines_suppressed_total").increment(1);
            }
        }
    });
}

fn report_dropped(lines: u64, output: &Output) {
    if lines > 0 {
        let message = format_args!("log lines dropped");
        let values = b!(
            "lines" => lines, "reason" => "the destination is too slow", TARGET_KEY => "logging"
        );
        let _ = output.log(&record!(Level::Warning, "", &message, values), &o!().into());
    }
}

fn report_suppressed(suppressed: Vec<SuppressedLines>, output: &Output) {
    for SuppressedLines { site, message: subject, lines } in suppressed {
        let message = format_args!("log lines suppressed");
        let values = b!(
            "lines" => lines, "subject" => subject, "file" => site.file, "line" => site.line,
            "reason" => "too many of this line in a second", TARGET_KEY => "logging"
        );
        let _ = output.log(&record!(Level::Warning, "", &message, values), &o!().into());
    }
}
