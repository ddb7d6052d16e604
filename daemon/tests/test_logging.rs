//! The log has the format and levels of the settings, never blocks a task, and
//! reports lines that it does not write.

use std::io;
use std::io::Write;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::time::Duration;

use cowslipport_daemon::logging;
use cowslipport_daemon::logging::Destination;
use cowslipport_daemon::logging::LogThread;
use cowslipport_lib::settings::LogFormat;
use cowslipport_lib::settings::LogLevel;
use cowslipport_lib::settings::Logging;
use slog::Logger;
use slog::debug;
use slog::info;
use slog::o;
use slog::warn;

/// Blocks writes until the test opens the gate, and reports the first write.
struct GatedWriter {
    write_attempted: Sender<()>,
    gate: Receiver<()>,
    is_open: bool,
    written: Sender<Vec<u8>>,
}

impl Write for GatedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.is_open {
            self.write_attempted.send(()).expect("the test waits");
            self.gate.recv().expect("the test opens the gate");
            self.is_open = true;
        }
        self.written.send(bytes.to_vec()).expect("the test reads");
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

struct Log {
    logger: Logger,
    thread: LogThread,
    write_attempted: Receiver<()>,
    gate: Sender<()>,
    written: Receiver<Vec<u8>>,
}

impl Log {
    fn start(settings: &Logging) -> Self {
        let (attempted_sender, write_attempted) = channel();
        let (gate, gate_receiver) = channel();
        let (written_sender, written) = channel();
        let writer = GatedWriter {
            write_attempted: attempted_sender,
            gate: gate_receiver,
            is_open: false,
            written: written_sender,
        };
        let (logger, thread) = logging::start(settings, Destination::Writer(Box::new(writer)))
            .expect("the thread starts");
        Self { logger, thread, write_attempted, gate, written }
    }

    /// Opens the gate and returns all lines without their time.
    fn lines(self) -> Vec<String> {
        self.gate.send(()).expect("the writer waits");
        self.thread.finish();
        let bytes: Vec<u8> = self.written.try_iter().flatten().collect();
        let text = String::from_utf8(bytes).expect("lines are text");
        text.lines().map(without_time).collect()
    }
}

fn without_time(line: &str) -> String {
    let Ok(mut value) = serde_json::from_str::<serde_json::Value>(line) else {
        return line.split_once(" INFO ").map_or(line, |(_, rest)| rest).to_owned();
    };
    let object = value.as_object_mut().expect("a line is an object");
    object.remove("ts").expect("a line has a time");
    // Line number in this file.
    object.remove("line");
    value.to_string()
}

/// Guards against a target without the level of the settings, and against a
/// line that contains the target twice.
#[test]
fn levels_apply_to_each_target() {
    let target_levels =
        [("router".to_owned(), LogLevel::Debug), ("peers".to_owned(), LogLevel::Warning)];
    let settings = Logging { target_levels: target_levels.into(), ..Logging::default() };
    let log = Log::start(&settings);
    let process = log.logger.new(o!("process" => "entry-1"));
    let (router, peers) =
        (process.new(o!("target" => "router")), process.new(o!("target" => "peers")));
    debug!(router, "written, level debug"; "subject" => "vm-1", "eligible" => 3);
    info!(peers, "not written, level warning");
    warn!(peers, "written, level warning"; "reason" => "silent");
    debug!(process, "not written, default level");
    insta::assert_snapshot!(log.lines().join("\n"), @r#"
{"eligible":3,"level":"DEBG","msg":"written, level debug","process":"entry-1","subject":"vm-1","target":"router"}
{"level":"WARN","msg":"written, level warning","process":"entry-1","reason":"silent","target":"peers"}
"#);
}

/// Guards against colour codes in a log file.
#[test]
fn terminal_format_is_plain_text_for_a_writer() {
    let log = Log::start(&Logging { format: LogFormat::Terminal, ..Logging::default() });
    info!(log.logger, "request routed"; "subject" => "web", "reason" => "least loaded");
    insta::assert_snapshot!(log.lines().join("\n"), @r#"request routed, reason: least loaded, subject: web"#);
}

/// Guards against a task that blocks because the destination accepts no lines,
/// and against dropped lines that are not reported.
#[test]
fn blocked_destination_does_not_block_loggers_and_drops_are_counted() {
    let log = Log::start(&Logging::default());
    info!(log.logger, "first");
    log.write_attempted.recv().expect("the thread writes the first line");
    // The mailbox holds 8,192 records while the thread writes the first one.
    for _ in 0..8_192 + 10 {
        info!(log.logger, "flood");
    }
    let lines = log.lines();
    let dropped = lines.iter().find(|line| line.contains("log lines dropped"));
    insta::assert_snapshot!(dropped.map_or("", String::as_str), @r#"{"level":"WARN","lines":10,"msg":"log lines dropped","reason":"the destination is too slow","target":"logging"}"#);
}

/// Guards against one log statement that floods the log, and against suppressed
/// lines that are not counted.
#[actix_rt::test]
async fn flood_is_sampled_and_reported() {
    tokio::time::pause();
    let log = Log::start(&Logging::default());
    for number in 0..500 {
        info!(log.logger, "flood"; "number" => number);
    }
    info!(log.logger, "other line");
    tokio::time::advance(Duration::from_secs(1)).await;
    info!(log.logger, "next second");
    let lines = log.lines();
    // The first 200 lines, and one in 100 of the other 300.
    assert_eq!(lines.iter().filter(|line| line.contains(r#""msg":"flood""#)).count(), 203);
    insta::assert_snapshot!(lines[203..].join("\n"), @r#"
{"level":"INFO","msg":"other line"}
{"file":"daemon/tests/test_logging.rs","level":"WARN","lines":297,"msg":"log lines suppressed","reason":"too many of this line in a second","subject":"flood","target":"logging"}
{"level":"INFO","msg":"next second"}
"#);
}
