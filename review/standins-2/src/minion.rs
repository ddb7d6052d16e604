//! Stand-ins for minions: machines that run tasks on orders, as PROTOCOL.md says.
//!
//! The text of a submission tells a stand-in what its tasks do, as a list like
//! `run_ms=6000;cpu=500;gang=4`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::advice::Advice;
use crate::http::Request;
use crate::http::Response;
use crate::http::Server;
use crate::json;
use crate::json::Value;
use crate::json::object;
use crate::node::free_port;
use crate::record::Record;
use crate::store::Store;

/// `heartbeat_ms` of the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// An entry is removed after this many intervals of silence.
const SILENT_INTERVALS: u32 = 3;
const HOLD_MAX_MS: u64 = 10_000;
/// `stop_timeout_ms` is 400; the stand-ins need less.
const STOP_MS: u64 = 100;
const GANG_TIMEOUT_MS: u64 = 3_000;
const CHECKPOINT_MS: u64 = 500;
const TICK: Duration = Duration::from_millis(5);
/// Ends in one response.
const MAX_ENDS: usize = 500;
/// `maintenance_s` of the settings.
const UPKEEP: Duration = Duration::from_millis(2_000);
/// Time of a lasting task until it is at work.
const STARTUP_MS: u64 = 500;

/// What stays with a machine, and the kind of its present boot.
#[derive(Clone)]
pub struct Machine {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub rack: String,
}

/// Kind of a boot: its first label and its capacity.
#[derive(Clone)]
pub struct Kind {
    pub label: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

struct Run {
    attempt: u64,
    work: Work,
    checkpoint: String,
    started_at_ms: u64,
    progress_ms: u64,
    stop_at_ms: Option<u64>,
}

/// What a task does, from the text of its submission.
#[derive(Clone, Copy)]
struct Work {
    run_ms: u64,
    cpu: u64,
    /// Members of the gang; zero for a task that is in none.
    gang: usize,
    is_lasting: bool,
    /// Tasks of one step work for up to this much longer.
    uneven_ms: u64,
}

impl Work {
    /// By how much a task works longer than the shortest one of its step.
    fn spread_ms(self, task: &str) -> u64 {
        let index: u64 = task.rsplit('.').next().and_then(|index| index.parse().ok()).unwrap_or(0);
        index.wrapping_mul(2_654_435_761) % 1_000 * self.uneven_ms / 1_000
    }

    fn parse(spec: &str) -> Self {
        let fields: BTreeMap<&str, u64> = spec
            .split(';')
            .filter_map(|field| field.split_once('='))
            .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
            .collect();
        let field = |name| fields.get(name).copied().unwrap_or(0);
        Self {
            run_ms: field("run_ms"),
            cpu: field("cpu"),
            gang: usize::try_from(field("gang")).unwrap_or(0),
            is_lasting: field("lasting") > 0,
            uneven_ms: field("uneven_ms"),
        }
    }
}

/// State of one boot.
struct Boot {
    id: String,
    kind: Kind,
    born: u64,
    started_at: Instant,
    is_up: bool,
    /// Whether the machine is down for its upkeep.
    is_in_upkeep: bool,
    reaches_store: bool,
    sequence: u64,
    written_at: Option<Instant>,
    highest_fence: u64,
    lease_ends_at_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run that was stopped or has ended, by task.
    over: BTreeMap<String, u64>,
    finished: Vec<(u64, Value)>,
    next_end: u64,
}

/// An order to start a task, as a minion received it.
#[derive(Clone)]
pub struct Start {
    pub at_ms: u64,
    pub minion: String,
    pub task: String,
    pub attempt: u64,
    pub checkpoint: String,
    pub label: String,
    /// Processor time that runs on the minion with the start, and its capacity.
    pub cpu: u64,
    pub capacity: u64,
}

/// An end of a run.
#[derive(Clone)]
pub struct End {
    pub at_ms: u64,
    pub minion: String,
    pub task: String,
    pub attempt: u64,
    pub how: &'static str,
    /// Number of the end in its boot, and the start of that boot.
    number: u64,
    born: u64,
    /// When `last_seen` reached the end.
    pub noted_at_ms: Option<u64>,
    /// Whether the lease of the minion lapsed before that.
    pub has_lapsed: bool,
}

/// What all minions have seen.
#[derive(Default)]
pub struct Seen {
    pub starts: Vec<Start>,
    pub ends: Vec<End>,
}

/// A machine with its present minion.
pub struct Minion {
    pub machine: Machine,
    boot: Mutex<Boot>,
    has_news: Condvar,
    server: Mutex<Option<Server>>,
    address: SocketAddr,
}

/// All minions.
pub struct Minions {
    pub all: Vec<Arc<Minion>>,
    pub seen: Mutex<Seen>,
    gangs: Mutex<BTreeMap<(String, u64), u64>>,
    store: Arc<Store>,
    /// The service whose tickets all starts need, if there is one.
    advice: Option<Arc<Advice>>,
    record: Record,
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}

/// Name of the step of a task: the task without its index.
fn step_of(task: &str) -> String {
    task.rsplit_once('.').map_or("", |(step, _)| step).to_owned()
}

/// A checkpoint of a submission at some progress, in the form that the pages show.
fn checkpoint_at(task: &str, progress_ms: u64) -> String {
    format!("{progress_ms:08x}{}", task.get(4..12).unwrap_or("00000000"))
}

fn progress_of(checkpoint: &str) -> u64 {
    checkpoint.get(..8).and_then(|digits| u64::from_str_radix(digits, 16).ok()).unwrap_or(0)
}

impl Boot {
    fn new(id: &str, kind: Kind) -> Self {
        Self {
            id: id.to_owned(),
            kind,
            born: unix_ms(),
            started_at: Instant::now(),
            is_up: true,
            is_in_upkeep: false,
            reaches_store: true,
            sequence: 0,
            written_at: None,
            highest_fence: 0,
            lease_ends_at_ms: 0,
            running: BTreeMap::new(),
            over: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 1,
        }
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn extend_lease(&mut self, expires_ms: Option<u64>) {
        let longest = self.clock_ms() + HOLD_MAX_MS;
        let until = expires_ms.unwrap_or(0).min(longest);
        self.lease_ends_at_ms = self.lease_ends_at_ms.max(until);
    }

    fn used_cpu(&self) -> u64 {
        self.running.values().map(|run| run.work.cpu).sum()
    }

    fn reply(&self, fields: &[(&str, Value)]) -> String {
        let mut all = vec![("clock_ms", self.clock_ms().into()), ("born", self.born.into())];
        all.extend_from_slice(fields);
        object(&all).to_string()
    }

    fn refuse(&self, reason: &str) -> Response {
        Response::new(409, self.reply(&[("reason", reason.into())]))
    }
}

impl Minions {
    /// Starts a minion on each machine.
    pub fn start(
        machines: Vec<(Machine, Kind)>,
        store: Arc<Store>,
        advice: Option<Arc<Advice>>,
        record: Record,
    ) -> Arc<Self> {
        let mut all = Vec::new();
        for (number, (machine, kind)) in (0..).zip(machines) {
            let port = free_port().expect("a loopback port is free");
            let boot = Boot::new(&Self::first_id(number), kind);
            all.push(Arc::new(Minion {
                machine,
                boot: Mutex::new(boot),
                has_news: Condvar::new(),
                server: Mutex::new(None),
                address: SocketAddr::from(([127, 0, 0, 1], port)),
            }));
        }
        let (seen, gangs) = (Mutex::default(), Mutex::default());
        let minions = Arc::new(Self { all, seen, gangs, store, advice, record });
        for minion in &minions.all {
            minions.listen(minion);
        }
        let ticking = Arc::clone(&minions);
        thread::spawn(move || {
            let mut last = Instant::now();
            loop {
                thread::sleep(TICK);
                let now = Instant::now();
                ticking.tick(u64::try_from((now - last).as_millis()).unwrap_or(0));
                // Keeps the rest below a millisecond for the next tick.
                last += Duration::from_millis(u64::try_from((now - last).as_millis()).unwrap_or(0));
            }
        });
        minions
    }

    /// Id of the first minion of a machine.
    pub fn first_id(number: usize) -> String {
        format!("i-{number:04x}")
    }

    fn listen(self: &Arc<Self>, minion: &Arc<Minion>) {
        let (minions, target) = (Arc::clone(self), Arc::clone(minion));
        let server = Server::start(
            minion.address,
            Arc::new(move |request| minions.handle(&target, request)),
        );
        *minion.server.lock().unwrap() = Some(server.expect("the port of the minion is free"));
    }

    /// Ends the minion of a machine: all that it runs is gone, and its port refuses
    /// connections. Returns the tasks that it ran.
    pub fn crash(&self, number: usize) -> Vec<String> {
        let minion = &self.all[number];
        let tasks = {
            let mut boot = minion.boot.lock().unwrap();
            boot.is_up = false;
            self.record.line(format!("CRASH {} running={}", boot.id, boot.running.len()));
            let running = std::mem::take(&mut boot.running);
            running.into_keys().collect()
        };
        minion.server.lock().unwrap().take();
        minion.has_news.notify_all();
        tasks
    }

    /// Starts a minion on a machine again, under `id`.
    pub fn boot(self: &Arc<Self>, number: usize, id: &str, kind: Kind, reaches_store: bool) {
        let minion = &self.all[number];
        let before = {
            let mut boot = minion.boot.lock().unwrap();
            let before = boot.id.clone();
            let written_at = boot.written_at.filter(|_| before == id);
            *boot = Boot { reaches_store, written_at, ..Boot::new(id, kind) };
            let Boot { id, kind, born, .. } = &*boot;
            self.record.line(format!(
                "BOOT {id} kind={} cpu={} born={born} reaches_store={reaches_store}",
                kind.label, kind.cpu
            ));
            before
        };
        if before != id {
            // The entry of the former minion stays for three intervals of silence.
            let store = Arc::clone(&self.store);
            thread::spawn(move || {
                thread::sleep(HEARTBEAT * SILENT_INTERVALS);
                store.put("keyed.servers", &before, "");
            });
        }
        self.listen(minion);
    }

    /// Answers an order for the upkeep of a machine. It ends all that runs there, and
    /// a new minion follows.
    pub fn upkeep(self: &Arc<Self>, machine: &str) -> (u16, &'static str) {
        let number = self.all.iter().position(|minion| minion.machine.name == machine);
        let Some(number) = number else { return (400, "") };
        if !self.all[number].boot.lock().unwrap().is_up {
            return (409, "busy");
        }
        self.record.line(format!("UPKEEP {machine}"));
        self.crash(number);
        let kind = {
            let mut boot = self.all[number].boot.lock().unwrap();
            boot.is_in_upkeep = true;
            boot.kind.clone()
        };
        let minions = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(UPKEEP);
            minions.boot(number, &format!("i-{:04x}", 0x100 + number), kind, true);
        });
        (200, "")
    }

    /// Processor time of the minion of a machine that no run takes.
    pub fn free_cpu(&self, number: usize) -> u64 {
        let boot = self.all[number].boot.lock().unwrap();
        if boot.is_up { boot.kind.cpu.saturating_sub(boot.used_cpu()) } else { 0 }
    }

    /// Connects a minion to the store again, or cuts it off.
    pub fn set_reaches_store(&self, number: usize, reaches_store: bool) {
        let mut boot = self.all[number].boot.lock().unwrap();
        boot.reaches_store = reaches_store;
        self.record.line(format!("LINK {} to the store: {reaches_store}", boot.id));
    }

    /// Id of the present minion of a machine.
    pub fn id(&self, number: usize) -> String {
        self.all[number].boot.lock().unwrap().id.clone()
    }

    /// Tasks that run on the minion of a machine.
    pub fn tasks(&self, number: usize) -> Vec<String> {
        self.all[number].boot.lock().unwrap().running.keys().cloned().collect()
    }

    /// Number of gangs that are at work.
    pub fn gangs_at_work(&self) -> usize {
        self.gangs.lock().unwrap().len()
    }

    /// The list of machines, as `GET /machines` returns it.
    pub fn machines(&self) -> Value {
        let rows: Vec<Value> = self
            .all
            .iter()
            .map(|minion| {
                let boot = minion.boot.lock().unwrap();
                let id = if boot.is_up { boot.id.as_str().into() } else { Value::Null };
                let state = match boot.is_up {
                    true => "up",
                    false if boot.is_in_upkeep => "upkeep",
                    false => "down",
                };
                object(&[
                    ("machine", minion.machine.name.as_str().into()),
                    ("pool", minion.machine.service.as_str().into()),
                    ("state", state.into()),
                    ("zone", minion.machine.zone.as_str().into()),
                    ("labels", minion.labels(&boot)),
                    ("capacity", boot.kind.capacity()),
                    ("id", id),
                ])
            })
            .collect();
        object(&[("machines", rows.into()), ("next_token", Value::Null)])
    }

    fn handle(&self, minion: &Minion, request: &Request) -> Option<Response> {
        let body = json::parse(request.text()).unwrap_or(Value::Null);
        let mut boot = minion.boot.lock().unwrap();
        if !boot.is_up {
            return None;
        }
        let expected = request.headers.get("x-cowslipport-expect-instance");
        if expected.is_some_and(|expected| *expected != boot.id) {
            return Some(Response::new(421, boot.reply(&[])));
        }
        if request.path == "/healthz" {
            return Some(Response::new(200, boot.reply(&[])));
        }
        let fence = body.get("fencing_token").number();
        if fence < boot.highest_fence {
            return Some(boot.refuse("fence"));
        }
        boot.highest_fence = fence;
        let task = body.get("task").text().to_owned();
        let attempt = body.get("attempt").number();
        match request.path.as_str() {
            "/hold" => {
                let expires = body.get("expires_ms");
                boot.extend_lease((!expires.is_null()).then(|| expires.number()));
                let last_seen = body.get("last_seen").number();
                if boot.finished.first().is_some_and(|(number, _)| *number <= last_seen) {
                    boot.finished.retain(|(number, _)| *number > last_seen);
                    self.note_ends(&boot.id, boot.born, last_seen);
                }
                let wait = Duration::from_millis(body.get("wait_ms").number().min(2_000));
                let deadline = Instant::now() + wait;
                let born = boot.born;
                while boot.finished.is_empty() && boot.is_up && boot.born == born {
                    let left = deadline.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    boot = minion.has_news.wait_timeout(boot, left).unwrap().0;
                }
                if !boot.is_up || boot.born != born {
                    return None;
                }
                let running: Vec<Value> = boot
                    .running
                    .iter()
                    .map(|(task, run)| {
                        Value::List(vec![
                            task.as_str().into(),
                            run.attempt.into(),
                            run.checkpoint.as_str().into(),
                            run.percent().into(),
                            run.work.cpu.into(),
                        ])
                    })
                    .collect();
                let finished: Vec<Value> =
                    boot.finished.iter().take(MAX_ENDS).map(|(_, row)| row.clone()).collect();
                let fields = [("running", running.into()), ("finished", finished.into())];
                Some(Response::new(200, boot.reply(&fields)))
            }
            "/run-start" => Some(self.start_run(&mut boot, &task, attempt, &body)),
            "/run-stop" => {
                let over = boot.over.entry(task.clone()).or_default();
                *over = (*over).max(attempt);
                let stop_at = boot.clock_ms() + STOP_MS;
                if let Some(run) = boot.running.get_mut(&task).filter(|run| run.attempt <= attempt)
                {
                    run.stop_at_ms.get_or_insert(stop_at);
                    self.record.line(format!("STOP {} {task} run={attempt}", boot.id));
                }
                Some(Response::new(200, boot.reply(&[])))
            }
            "/pace" => Some(Response::new(200, boot.reply(&[]))),
            _ => Some(Response::new(404, boot.reply(&[]))),
        }
    }

    fn start_run(&self, boot: &mut Boot, task: &str, attempt: u64, body: &Value) -> Response {
        let expires_ms = body.get("expires_ms").number();
        if boot.running.get(task).is_some_and(|run| run.attempt == attempt) {
            boot.extend_lease(Some(expires_ms));
            return Response::new(200, boot.reply(&[]));
        }
        let is_old = boot.over.get(task).is_some_and(|over| attempt <= *over)
            || boot.running.get(task).is_some_and(|run| attempt < run.attempt);
        if is_old {
            boot.extend_lease(Some(expires_ms));
            return boot.refuse("old");
        }
        if expires_ms <= boot.clock_ms() {
            return boot.refuse("late");
        }
        let ticket = body.get("ticket").text();
        let is_valid = |advice: &Arc<Advice>| advice.is_valid(&step_of(task), &boot.id, ticket);
        if !self.advice.as_ref().is_none_or(is_valid) {
            return boot.refuse("ticket");
        }
        boot.extend_lease(Some(expires_ms));
        let checkpoint = body.get("checkpoint").text().to_owned();
        let mut work = Work::parse(body.get("spec").text());
        work.run_ms += work.spread_ms(task);
        let run = Run {
            attempt,
            work,
            progress_ms: progress_of(&checkpoint),
            checkpoint: checkpoint.clone(),
            started_at_ms: boot.clock_ms(),
            stop_at_ms: None,
        };
        boot.running.insert(task.to_owned(), run);
        let start = Start {
            at_ms: self.record.now_ms(),
            minion: boot.id.clone(),
            task: task.to_owned(),
            attempt,
            checkpoint,
            label: boot.kind.label.clone(),
            cpu: boot.used_cpu(),
            capacity: boot.kind.cpu,
        };
        self.record.line(format!(
            "START {} {task} run={attempt} checkpoint={:?} kind={} cpu={} of {}",
            start.minion, start.checkpoint, start.label, start.cpu, start.capacity
        ));
        self.seen.lock().unwrap().starts.push(start);
        Response::new(200, boot.reply(&[]))
    }

    fn end(&self, boot: &mut Boot, task: &str, how: &'static str) {
        let Some(run) = boot.running.remove(task) else { return };
        let over = boot.over.entry(task.to_owned()).or_default();
        *over = (*over).max(run.attempt);
        let number = boot.next_end;
        boot.next_end += 1;
        let row = Value::List(vec![
            number.into(),
            task.into(),
            run.attempt.into(),
            how.into(),
            run.checkpoint.as_str().into(),
        ]);
        boot.finished.push((number, row));
        self.record.line(format!(
            "END {} {task} run={} {how} checkpoint={:?}",
            boot.id, run.attempt, run.checkpoint
        ));
        self.seen.lock().unwrap().ends.push(End {
            at_ms: self.record.now_ms(),
            minion: boot.id.clone(),
            task: task.to_owned(),
            attempt: run.attempt,
            how,
            number,
            born: boot.born,
            noted_at_ms: None,
            has_lapsed: false,
        });
    }

    /// Notes that the ends of a boot up to `last_seen` are known.
    fn note_ends(&self, id: &str, born: u64, last_seen: u64) {
        let now = self.record.now_ms();
        let mut seen = self.seen.lock().unwrap();
        let is_known =
            |end: &&mut End| end.minion == id && end.born == born && end.number <= last_seen;
        for end in seen.ends.iter_mut().filter(is_known) {
            end.noted_at_ms.get_or_insert(now);
        }
    }

    /// Notes that the lease of a minion has lapsed while it holds ends that are not
    /// known.
    fn note_lapse(&self, id: &str) {
        let mut seen = self.seen.lock().unwrap();
        for end in seen.ends.iter_mut().filter(|end| end.minion == id) {
            end.has_lapsed |= end.noted_at_ms.is_none();
        }
    }

    /// Advances all runs by `passed_ms`.
    fn tick(&self, passed_ms: u64) {
        for minion in &self.all {
            self.beat(minion);
            let mut boot = minion.boot.lock().unwrap();
            if !boot.is_up {
                continue;
            }
            let now = boot.clock_ms();
            let ends_before = boot.next_end;
            let has_lapsed = now >= boot.lease_ends_at_ms;
            if has_lapsed && !boot.finished.is_empty() {
                self.note_lapse(&boot.id);
            }
            let tasks: Vec<String> = boot.running.keys().cloned().collect();
            for task in tasks {
                let Some(run) = boot.running.get_mut(&task) else { continue };
                let how = if has_lapsed {
                    Some("lapsed")
                } else if run.stop_at_ms.is_some_and(|at| now >= at) {
                    Some("stopped")
                } else if run.work.gang == 0 && run.stop_at_ms.is_none() {
                    run.advance(&task, passed_ms);
                    let is_done = !run.work.is_lasting && run.progress_ms >= run.work.run_ms;
                    is_done.then_some("done")
                } else {
                    None
                };
                if let Some(how) = how {
                    self.end(&mut boot, &task, how);
                }
            }
            if boot.next_end > ends_before {
                minion.has_news.notify_all();
            }
        }
        self.tick_gangs(passed_ms);
    }

    /// Advances the gangs. A gang works from the moment when all tasks of one run
    /// are present and carry one checkpoint.
    fn tick_gangs(&self, passed_ms: u64) {
        let mut boots: Vec<_> = self.all.iter().map(|minion| minion.boot.lock().unwrap()).collect();
        let mut gangs: BTreeMap<(String, u64), Vec<(usize, String)>> = BTreeMap::new();
        for (number, boot) in boots.iter().enumerate().filter(|(_, boot)| boot.is_up) {
            for (task, run) in boot.running.iter().filter(|(_, run)| run.work.gang > 0) {
                let members = gangs.entry((step_of(task), run.attempt)).or_default();
                members.push((number, task.clone()));
            }
        }
        let mut at_work = self.gangs.lock().unwrap();
        at_work.retain(|gang, _| gangs.contains_key(gang));
        let mut ends: Vec<(usize, String, &'static str)> = Vec::new();
        for (gang, members) in &gangs {
            let run = |(number, task): &(usize, String)| &boots[*number].running[task];
            let count = run(&members[0]).work.gang;
            let is_whole = members.len() == count;
            if let Some(progress_ms) = at_work.get_mut(gang) {
                if !is_whole {
                    ends.extend(
                        members.iter().map(|(number, task)| (*number, task.clone(), "broken")),
                    );
                    at_work.remove(gang);
                    continue;
                }
                *progress_ms += passed_ms;
                let (progress_ms, run_ms) = (*progress_ms, run(&members[0]).work.run_ms);
                if progress_ms >= run_ms {
                    ends.extend(
                        members.iter().map(|(number, task)| (*number, task.clone(), "done")),
                    );
                    at_work.remove(gang);
                    continue;
                }
                for (number, task) in members {
                    let run = boots[*number].running.get_mut(task).expect("the member runs");
                    run.advance_to(task, progress_ms);
                }
                continue;
            }
            let checkpoint = &run(&members[0]).checkpoint;
            let is_one = members.iter().all(|member| {
                run(member).checkpoint == *checkpoint && run(member).stop_at_ms.is_none()
            });
            if is_whole && is_one {
                self.record.line(format!("GANG {} run={} at work", gang.0, gang.1));
                at_work.insert(gang.clone(), progress_of(checkpoint));
                continue;
            }
            for (number, task) in members {
                let boot = &boots[*number];
                let waited = boot.clock_ms() - boot.running[task].started_at_ms;
                if waited >= GANG_TIMEOUT_MS {
                    ends.push((*number, task.clone(), "alone"));
                }
            }
        }
        for (number, task, how) in ends {
            self.end(&mut boots[number], &task, how);
            self.all[number].has_news.notify_all();
        }
    }

    /// Writes the entry of a minion, or removes it after a time of silence.
    fn beat(&self, minion: &Minion) {
        let (id, entry) = {
            let mut boot = minion.boot.lock().unwrap();
            let is_silent = !boot.is_up || !boot.reaches_store;
            let since = boot.written_at.map(|at| at.elapsed());
            if is_silent {
                if since.is_none_or(|since| since < HEARTBEAT * SILENT_INTERVALS) {
                    return;
                }
                boot.written_at = None;
                (boot.id.clone(), String::new())
            } else {
                if boot.sequence > 0 && since.is_some_and(|since| since < HEARTBEAT) {
                    return;
                }
                boot.written_at = Some(Instant::now());
                boot.sequence += 1;
                let entry = object(&[
                    ("service", minion.machine.service.as_str().into()),
                    ("address", minion.address.to_string().into()),
                    ("zone", minion.machine.zone.as_str().into()),
                    ("version", "v1".into()),
                    ("slots", 8_u64.into()),
                    ("state", "ready".into()),
                    ("cold_left_ms", 0_u64.into()),
                    ("capacity", boot.kind.capacity()),
                    ("labels", minion.labels(&boot)),
                    ("born", boot.born.into()),
                    ("clock_ms", boot.clock_ms().into()),
                    ("sequence", boot.sequence.into()),
                ]);
                if boot.sequence == 1 {
                    self.record.line(format!("ENTRY {} {entry}", boot.id));
                }
                (boot.id.clone(), entry.to_string())
            }
        };
        self.store.put("keyed.servers", &id, &entry);
    }
}

impl Minion {
    fn labels(&self, boot: &Boot) -> Value {
        let labels = [boot.kind.label.as_str(), self.machine.rack.as_str()];
        Value::List(labels.iter().map(|label| (*label).into()).collect())
    }
}

impl Kind {
    fn capacity(&self) -> Value {
        let (cpu, mem_mb) = (self.cpu.into(), self.mem_mb.into());
        object(&[("cpu", cpu), ("mem_mb", mem_mb), ("gpu", 0_u64.into())])
    }
}

impl Run {
    fn percent(&self) -> u64 {
        let whole = if self.work.is_lasting { STARTUP_MS } else { self.work.run_ms };
        (self.progress_ms * 100 / whole.max(1)).min(100)
    }

    fn advance(&mut self, task: &str, passed_ms: u64) {
        self.advance_to(task, self.progress_ms + passed_ms);
    }

    /// Advances the work, with a new checkpoint at each multiple of the interval.
    fn advance_to(&mut self, task: &str, progress_ms: u64) {
        let saved_ms = progress_ms / CHECKPOINT_MS * CHECKPOINT_MS;
        if self.progress_ms < saved_ms && saved_ms > 0 && !self.work.is_lasting {
            self.checkpoint = checkpoint_at(task, saved_ms);
        }
        self.progress_ms = progress_ms;
    }
}
