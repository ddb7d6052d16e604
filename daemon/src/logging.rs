//! The log of the process, set up from checked settings.
//!
//! Loggers hand their records to one thread through a bounded mailbox and
//! never wait for it: a record that finds the mailbox full is counted and
//! dropped. The thread owns the destination and the state of the sampling.
//!
//! The target of a line is the value `target` of its logger, which each task
//! sets. A line without one has the default level.

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

use crate::log_sampling::FloodSampler;
use crate::log_sampling::Sample;
use crate::log_sampling::Site;
use crate::log_sampling::Suppressed;
use crate::log_sampling::WINDOW;

/// Records that wait for the log thread. At 1 kB a record this is 8 MB, a
/// quarter of the memory that a process may use for control.
const MAILBOX_RECORDS: usize = 8_192;
/// Time that the end of the process waits for the last lines. A destination
/// that does not take them must not keep the process from ending.
const FINISH_TIMEOUT: Duration = Duration::from_secs(2);

/// Key of the value that names the target of a logger.
const TARGET_KEY: &str = "target";

/// Where lines go.
pub enum Destination {
    /// Standard error, with colours if it is a terminal and the form is
    /// [`LogFormat::Terminal`].
    Stderr,
    /// Any writer, without colours.
    Writer(Box<dyn Write + Send>),
}

enum Message {
    Record {
        record: Box<AsyncRecord>,
        site: Site,
        time: Instant,
    },
    /// Lets an idle thread see that it is to finish.
    Wake,
}

/// The running log thread.
pub struct LogThread {
    mailbox: SyncSender<Message>,
    /// Apart from the mailbox, which may be full.
    finish: SyncSender<()>,
    finished: Receiver<()>,
}

impl LogThread {
    /// Writes what waits in the mailbox and ends the thread. Loggers that are
    /// left drop their records.
    pub fn finish(self) {
        // Neither send can block: nothing else is sent to `finish`, and a full
        // mailbox needs no message to wake the thread.
        let _ = self.finish.try_send(());
        let _ = self.mailbox.try_send(Message::Wake);
        // Either the thread has ended, or it does not end in time.
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
        // The receiver is gone if nobody waits any longer.
        let _ = finished_sender.send(());
    })?;
    Ok((Logger::root(drain, o!()), LogThread { mailbox, finish, finished }))
}

/// Least severe level of each target.
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
        let mut found = FoundLevel { targets: &self.targets, level: None };
        if !self.targets.is_empty() {
            // The serializer returns no error.
            let _ = values.serialize(record, &mut found);
        }
        record.level().is_at_least(found.level.unwrap_or(self.default))
    }
}

/// Looks for the level of the innermost target of a logger.
struct FoundLevel<'a> {
    targets: &'a BTreeMap<String, Level>,
    level: Option<Level>,
}

impl Serializer for FoundLevel<'_> {
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

/// Hands records to the log thread.
struct MailboxDrain {
    mailbox: SyncSender<Message>,
    /// Number of dropped records that have not been reported yet. It is the
    /// one value that loggers share with the thread, since a full mailbox
    /// cannot carry it.
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
            site: Site { file: record.file(), line: record.line() },
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

/// What the log thread receives.
struct Mailbox {
    records: Receiver<Message>,
    finishing: Receiver<()>,
}

impl Mailbox {
    /// The next message; `Disconnected` if the thread is to end and no message
    /// is left.
    fn next(&self) -> Result<Message, RecvTimeoutError> {
        match self.records.try_recv() {
            Ok(message) => Ok(message),
            Err(_) if self.finishing.try_recv().is_ok() => Err(RecvTimeoutError::Disconnected),
            Err(_) => self.records.recv_timeout(WINDOW),
        }
    }
}

/// Writes records until the thread is to end or the last logger is gone. A
/// line that cannot be written is lost, since there is no place to report it.
fn run(mailbox: &Mailbox, dropped: &AtomicU64, output: &Output) {
    let mut sampler = FloodSampler::default();
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

fn write_sampled(record: &AsyncRecord, site: Site, sampler: &mut FloodSampler, output: &Output) {
    record.as_record_values(|record, values| {
        match sampler.sample(site, &record.msg().to_string()) {
            Sample::Write => {
                let _ = output.log(record, values);
            }
            Sample::Skip => {
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

fn report_suppressed(suppressed: Vec<Suppressed>, output: &Output) {
    for Suppressed { site, message: subject, lines } in suppressed {
        let message = format_args!("log lines suppressed");
        let values = b!(
            "lines" => lines, "subject" => subject, "file" => site.file, "line" => site.line,
            "reason" => "too many of this line in a second", TARGET_KEY => "logging"
        );
        let _ = output.log(&record!(Level::Warning, "", &message, values), &o!().into());
    }
}
