//! A minion: it runs the tasks that it is told to start.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Reply;
use crate::http::Request;
use crate::http::Server;
use crate::http::json;
use crate::json::Json;
use crate::record::Record;
use crate::record::unix_ms;
use crate::store::Store;

/// Processor of a minion, in thousandths of a core.
pub const CAPACITY_CPU: u64 = 32_000;
const CAPACITY_MEM_MB: u64 = 131_072;
/// Longest lease.
const HOLD_MAX_MS: u64 = 10_000;
/// Longest wait of a call that holds the leases.
const WAIT_MAX_MS: u64 = 2_000;
/// Time that a stop takes. The pages allow 900 ms.
const STOP_TIME: Duration = Duration::from_millis(300);
/// Time after which a task that lasts is at work.
const STARTUP_TIME: Duration = Duration::from_millis(300);
/// Work after which a task that saves its progress has saved it anew.
const CHECKPOINT_TIME: Duration = Duration::from_millis(2_000);
/// Interval at which ends of tasks are found.
const TICK: Duration = Duration::from_millis(5);
/// First value of the clock of each boot.
const CLOCK_START_MS: u64 = 1_000;
/// Number of ends in one response.
const MAX_ENDS: usize = 500;

/// One run of a task, as the minion saw it.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub attempt: u64,
    pub minion: String,
    pub boot: u64,
    pub started: f64,
    pub ended: Option<f64>,
    pub how: &'static str,
    /// Whether the system has taken note of the end.
    pub is_noted: bool,
    /// Whether the start brought the minion over its capacity.
    pub is_over_capacity: bool,
}

/// All runs on all minions.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Active {
    task: String,
    attempt: u64,
    cpu: u64,
    since: Instant,
    /// `None` for a task that lasts.
    work: Option<Duration>,
    /// Whether the task saves its progress.
    saves: bool,
    stops_at: Option<Instant>,
    run: usize,
}

struct End {
    number: u64,
    task: String,
    attempt: u64,
    how: &'static str,
    run: usize,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Power {
    Up,
    /// Without power: nothing is answered, and connections are not closed.
    Dark,
    /// Gone for good: connections are closed.
    Gone,
}

struct State {
    power: Power,
    boot: u64,
    booted_at: Instant,
    born_ms: u64,
    fence: u64,
    lease_until_ms: u64,
    active: Vec<Active>,
    ends: Vec<End>,
    last_end: u64,
    /// Highest attempt of each task that was stopped or has ended.
    closed: BTreeMap<String, u64>,
}

impl Active {
    /// The last saved progress, which changes with each time of work; empty if
    /// there is none.
    fn saved(&self) -> String {
        let times = self.since.elapsed().as_millis() / CHECKPOINT_TIME.as_millis();
        match self.saves && times > 0 {
            true => format!("{:08x}{:08x}", times, self.run),
            false => String::new(),
        }
    }
}

impl State {
    fn new(boot: u64) -> Self {
        Self {
            power: Power::Up,
            boot,
            booted_at: Instant::now(),
            born_ms: unix_ms(),
            fence: 0,
            lease_until_ms: 0,
            active: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            closed: BTreeMap::new(),
        }
    }

    fn clock_ms(&self) -> u64 {
        CLOCK_START_MS + self.booted_at.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, expires_ms: Option<u64>) {
        if let Some(expires_ms) = expires_ms {
            let expires_ms = expires_ms.min(self.clock_ms() + HOLD_MAX_MS);
            self.lease_until_ms = self.lease_until_ms.max(expires_ms);
        }
    }

    fn close(&mut self, task: &str, attempt: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = (*closed).max(attempt);
    }

    /// Refuses a call with a lower fence number than one seen before.
    fn is_fenced(&mut self, body: &Json) -> bool {
        let fence = body.number("fencing_token").unwrap_or(0);
        let is_lower = fence < self.fence;
        self.fence = self.fence.max(fence);
        is_lower
    }
}

/// One minion. It may crash and start again under its id.
pub struct Minion {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    state: Mutex<State>,
    changed: Condvar,
    runs: Runs,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Minion {
    /// Starts a minion and registers it.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        runs: &Runs,
        record: &Arc<Record>,
        store: &Arc<Store>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let minion = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            state: Mutex::new(State::new(1)),
            changed: Condvar::new(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
            store: Arc::clone(store),
        });
        http::serve(listener, Arc::clone(&minion));
        minion.register();
        let ticking = Arc::clone(&minion);
        thread::spawn(move || {
            while ticking.tick() {
                thread::sleep(TICK);
            }
        });
        minion
    }

    fn register(&self) {
        let state = self.state.lock().unwrap();
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":8,
            "state":"ready","cold_left_ms":0,
            "capacity":{{"cpu":{CAPACITY_CPU},"mem_mb":{CAPACITY_MEM_MB},"gpu":0}},
            "labels":["a","r1-1"],"clock_ms":{},"sequence":1,"born":{}}}"#,
            self.service,
            self.address,
            self.zone,
            state.clock_ms(),
            state.born_ms
        );
        self.store.put("keyed.servers", &self.id, &entry);
    }

    /// Takes the minion away for good, with all that runs there.
    pub fn leave(&self) {
        self.lose_all(Power::Gone);
        self.store.put("keyed.servers", &self.id, "");
    }

    /// The minion loses power, and starts again under its id after `down`. It
    /// then holds and knows nothing of before.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        self.record.write(&format!("minion {} loses power", self.id));
        let boot = self.lose_all(Power::Dark) + 1;
        let minion = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(down);
            *minion.state.lock().unwrap() = State::new(boot);
            minion.changed.notify_all();
            minion.record.write(&format!("minion {} starts again, boot {boot}", minion.id));
            minion.register();
        });
    }

    fn lose_all(&self, power: Power) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.power = power;
        for active in std::mem::take(&mut state.active) {
            self.end_run(&active, "lost");
        }
        self.changed.notify_all();
        state.boot
    }

    fn end_run(&self, active: &Active, how: &'static str) {
        let mut runs = self.runs.lock().unwrap();
        runs[active.run].ended = Some(self.record.now());
        runs[active.run].how = how;
        let (task, attempt, id) = (&active.task, active.attempt, &self.id);
        self.record.write(&format!("run ends: {task} attempt {attempt} on {id}: {how}"));
    }

    /// Processor that the present runs take.
    pub fn used_cpu(&self) -> u64 {
        self.state.lock().unwrap().active.iter().map(|active| active.cpu).sum()
    }

    /// Ends the runs whose time has come. Returns false once the minion is gone.
    fn tick(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let has_lapsed = state.clock_ms() > state.lease_until_ms;
        let how_ended = |active: &Active| {
            let is_done = active.work.is_some_and(|work| now >= active.since + work);
            if active.stops_at.is_some_and(|at| now >= at) {
                Some("stopped")
            } else if is_done {
                Some("done")
            } else if has_lapsed {
                Some("lapsed")
            } else {
                None
            }
        };
        let mut ended = Vec::new();
        let mut index = 0;
        while index < state.active.len() {
            match how_ended(&state.active[index]) {
                Some(how) => ended.push((state.active.remove(index), how)),
                None => index += 1,
            }
        }
        for (active, how) in ended {
            self.end_run(&active, how);
            state.last_end += 1;
            let number = state.last_end;
            state.close(&active.task, active.attempt);
            let Active { task, attempt, run, .. } = active;
            state.ends.push(End { number, task, attempt, how, run });
            self.changed.notify_all();
        }
        state.power != Power::Gone
    }

    fn run_start(&self, state: &mut State, body: &Json) -> Reply {
        let clock_ms = state.clock_ms();
        let refuse =
            |reason: &str| json(409, format!(r#"{{"clock_ms":{clock_ms},"reason":"{reason}"}}"#));
        if state.is_fenced(body) {
            return refuse("fence");
        }
        let task = body.text("task");
        let attempt = body.number("attempt").unwrap_or(0);
        let is_same = |active: &Active| active.task == task && active.attempt == attempt;
        if state.active.iter().any(is_same) {
            return json(200, format!(r#"{{"clock_ms":{clock_ms}}}"#));
        }
        if body.number("expires_ms").is_none_or(|expires_ms| expires_ms <= clock_ms) {
            return refuse("late");
        }
        state.extend_lease(body.number("expires_ms"));
        if state.closed.get(&task).is_some_and(|closed| attempt <= *closed) {
            return refuse("old");
        }
        // The text of the task says what it takes: "work=MS cpu=N", and "saves"
        // if it saves its progress.
        let text = body.text("spec");
        let number = |name: &str| {
            let word = text.split(' ').find_map(|word| word.strip_prefix(name))?;
            word.parse::<u64>().ok()
        };
        let cpu = number("cpu=").unwrap_or(0);
        let used = cpu + state.active.iter().map(|active| active.cpu).sum::<u64>();
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            task: task.clone(),
            attempt,
            minion: self.id.clone(),
            boot: state.boot,
            started: self.record.now(),
            ended: None,
            how: "",
            is_noted: false,
            is_over_capacity: used > CAPACITY_CPU,
        });
        let run = runs.len() - 1;
        drop(runs);
        state.active.push(Active {
            task: task.clone(),
            attempt,
            cpu,
            since: Instant::now(),
            work: number("work=").map(Duration::from_millis),
            saves: text.split(' ').any(|word| word == "saves"),
            stops_at: None,
            run,
        });
        let (id, boot) = (&self.id, state.boot);
        self.record.write(&format!(
            "run starts: {task} attempt {attempt} on {id} boot {boot}, {used} of {CAPACITY_CPU} cpu"
        ));
        json(200, format!(r#"{{"clock_ms":{clock_ms}}}"#))
    }

    fn run_stop(&self, state: &mut State, body: &Json) -> Reply {
        let clock_ms = state.clock_ms();
        if state.is_fenced(body) {
            return json(409, format!(r#"{{"clock_ms":{clock_ms},"reason":"fence"}}"#));
        }
        let task = body.text("task");
        let attempt = body.number("attempt").unwrap_or(0);
        state.close(&task, attempt);
        let stops_at = Instant::now() + STOP_TIME;
        for active in &mut state.active {
            if active.task == task && active.attempt <= attempt {
                active.stops_at = active.stops_at.or(Some(stops_at));
                self.record.write(&format!("stop: {task} attempt {attempt} on {}", self.id));
            }
        }
        json(200, format!(r#"{{"clock_ms":{clock_ms}}}"#))
    }

    fn hold(&self, boot: u64, body: &Json) -> Reply {
        let mut state = self.state.lock().unwrap();
        if state.is_fenced(body) {
            let clock_ms = state.clock_ms();
            return json(409, format!(r#"{{"clock_ms":{clock_ms},"reason":"fence"}}"#));
        }
        state.extend_lease(body.number("expires_ms"));
        let last_seen = body.number("last_seen").unwrap_or(0);
        for end in state.ends.iter().filter(|end| end.number <= last_seen) {
            self.runs.lock().unwrap()[end.run].is_noted = true;
        }
        state.ends.retain(|end| end.number > last_seen);
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(WAIT_MAX_MS));
        let deadline = Instant::now() + wait;
        loop {
            match state.power {
                Power::Gone => return Reply::Close,
                // The caller has nothing to send, so it doesn't get a reset.
                Power::Dark => return Reply::Silence,
                Power::Up if state.boot != boot => return Reply::Silence,
                Power::Up => {}
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !state.ends.is_empty() || left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let running = state.active.iter().map(|active| {
            let time = active.work.unwrap_or(STARTUP_TIME).as_millis().max(1);
            let percent = (active.since.elapsed().as_millis() * 100 / time).min(100);
            let (task, attempt, cpu) = (&active.task, active.attempt, active.cpu);
            let saved = active.saved();
            format!(r#"["{task}",{attempt},"{saved}",{percent},{cpu}]"#)
        });
        let running: Vec<String> = running.collect();
        let finished = state.ends.iter().take(MAX_ENDS).map(|end| {
            let End { number, task, attempt, how, .. } = end;
            format!(r#"[{number},"{task}",{attempt},"{how}",""]"#)
        });
        let finished: Vec<String> = finished.collect();
        json(
            200,
            format!(
                r#"{{"clock_ms":{},"born":{},"running":[{}],"finished":[{}]}}"#,
                state.clock_ms(),
                state.born_ms,
                running.join(","),
                finished.join(",")
            ),
        )
    }
}

/// The reply on a connection of a boot that has ended, if it has. As long as
/// the machine has no power nothing is answered. After that it resets the
/// connections that it doesn't know, once something arrives on them.
fn lost_connection(state: &State, boot: Option<u64>) -> Option<Reply> {
    match state.power {
        Power::Gone => Some(Reply::Close),
        Power::Dark => Some(Reply::Silence),
        Power::Up if boot != Some(state.boot) => Some(Reply::Close),
        Power::Up => None,
    }
}

impl Server<Option<u64>> for Minion {
    /// The boot that accepts the connection; none without power.
    fn opened(&self) -> Option<u64> {
        let state = self.state.lock().unwrap();
        (state.power == Power::Up).then_some(state.boot)
    }

    fn answer(&self, connection: &Option<u64>, request: &Request) -> Reply {
        let mut state = self.state.lock().unwrap();
        // What arrives without power is sent again until the machine is up, and
        // then reset.
        while state.power == Power::Dark {
            state = self.changed.wait(state).unwrap();
        }
        if let Some(reply) = lost_connection(&state, *connection) {
            return reply;
        }
        let clock_ms = state.clock_ms();
        let expected = request.header("x-cowslipport-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return json(421, format!(r#"{{"clock_ms":{clock_ms}}}"#));
        }
        let Some(body) = Json::parse(&request.text()) else {
            return json(if request.method == "GET" { 200 } else { 400 }, "{}".to_owned());
        };
        match request.path.as_str() {
            "/run-start" => self.run_start(&mut state, &body),
            "/run-stop" => self.run_stop(&mut state, &body),
            "/pace" => json(200, format!(r#"{{"clock_ms":{clock_ms}}}"#)),
            "/hold" => {
                let boot = state.boot;
                drop(state);
                self.hold(boot, &body)
            }
            _ => json(404, "{}".to_owned()),
        }
    }
}
