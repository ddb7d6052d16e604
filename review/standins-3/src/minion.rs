//! A minion: one machine's lives, one after the other, which run tasks under a lease.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{self, Answer, Connections, Request};
use crate::record::Record;
use crate::store::Store;

/// `hold_max_ms`.
pub const HOLD_MAX_MS: u64 = 10_000;
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// How long a call that gets no answer is left open.
const SILENCE: Duration = Duration::from_secs(8);
const TICK: Duration = Duration::from_millis(5);
const MAX_LISTED_ENDS: usize = 500;
/// A task that lasts is at work after a short startup.
const STARTUP_MS: u64 = 700;

/// What a minion is, which may change from one life to the next.
#[derive(Clone)]
pub struct Kind {
    pub kind: &'static str,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// A start that a minion carried out.
#[derive(Clone, Debug)]
pub struct Start {
    pub minion: String,
    pub kind: &'static str,
    pub task: String,
    pub at_ms: u64,
    /// When the run ended; none while it runs.
    pub ended_at_ms: Option<u64>,
}

/// What a minion runs, by the submission: label and size that its steps ask for.
#[derive(Clone, Copy)]
pub struct Asked {
    pub label: &'static str,
    pub cpu: u64,
}

struct Run {
    attempt: u64,
    since: u64,
    ends: Option<(u64, &'static str)>,
    percent_ms: u64,
    cpu: u64,
}

struct Life {
    born: u64,
    speed_milli: u64,
    began_at: Instant,
    kind: Kind,
    token: u64,
    lease_until: u64,
    running: BTreeMap<String, Run>,
    refused_up_to: BTreeMap<String, u64>,
    finished: Vec<(u64, Value)>,
    next_end: u64,
    sequence: u64,
}

impl Life {
    fn new(kind: Kind, former_born: u64, speed_milli: u64) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        let now = u64::try_from(now.as_millis()).expect("a time of this era");
        Self {
            born: now.max(former_born + 1),
            speed_milli,
            began_at: Instant::now(),
            kind,
            token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            refused_up_to: BTreeMap::new(),
            finished: Vec::new(),
            next_end: 1,
            sequence: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        let elapsed = u64::try_from(self.began_at.elapsed().as_millis()).expect("a short run");
        elapsed * self.speed_milli / 1_000
    }

    fn end(&mut self, task: &str, how: &str) {
        let Some(run) = self.running.remove(task) else { return };
        let refused = self.refused_up_to.entry(task.to_owned()).or_default();
        *refused = (*refused).max(run.attempt);
        let row = json!([self.next_end, task, run.attempt, how, ""]);
        self.finished.push((self.next_end, row));
        self.next_end += 1;
    }
}

struct State {
    /// `None` while the minion is down.
    life: Option<Life>,
    last_born: u64,
    /// The minion answers starts with 503, and says that it is healthy.
    sheds: bool,
    /// Of the owners only those with such tokens reach the minion; the calls of others are
    /// lost, and the answers to their earlier ones.
    reached_by: RangeInclusive<u64>,
    /// Speed of the clock, in thousandths.
    speed_milli: u64,
}

pub struct Minion {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    service: &'static str,
    connections: Connections,
    state: Arc<(Mutex<State>, Condvar)>,
    store: Store,
    record: Record,
    asked: Arc<Mutex<BTreeMap<String, Asked>>>,
    starts: Arc<Mutex<Vec<Start>>>,
}

/// What all minions share.
#[derive(Clone)]
pub struct Shared {
    pub store: Store,
    pub record: Record,
    /// What each submission asks for.
    pub asked: Arc<Mutex<BTreeMap<String, Asked>>>,
    pub starts: Arc<Mutex<Vec<Start>>>,
    /// Speed of the clocks of the minions, in thousandths.
    pub speed_milli: u64,
}

impl Minion {
    pub fn start(
        id: &str,
        zone: &str,
        service: &'static str,
        kind: Kind,
        shared: &Shared,
    ) -> Arc<Self> {
        let state = State {
            life: None,
            last_born: 0,
            sheds: false,
            reached_by: 0..=u64::MAX,
            speed_milli: shared.speed_milli,
        };
        let state = Arc::new((Mutex::new(state), Condvar::new()));
        // The handler needs the minion, which needs the address.
        let slot: Arc<Mutex<Option<Arc<Minion>>>> = Arc::default();
        let handled = Arc::clone(&slot);
        let (address, connections) = http::serve(move |request| {
            let minion = handled.lock().unwrap().clone()?;
            minion.handle(&request)
        });
        let minion = Arc::new(Self {
            id: id.to_owned(),
            address,
            zone: zone.to_owned(),
            service,
            connections,
            state,
            store: shared.store.clone(),
            record: shared.record.clone(),
            asked: Arc::clone(&shared.asked),
            starts: Arc::clone(&shared.starts),
        });
        *slot.lock().unwrap() = Some(Arc::clone(&minion));
        minion.boot(kind);
        let ticking = Arc::clone(&minion);
        thread::spawn(move || {
            loop {
                thread::sleep(TICK);
                ticking.tick();
            }
        });
        let beating = Arc::clone(&minion);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.register();
            }
        });
        minion
    }

    /// Begins a new life, which registers at once.
    pub fn boot(&self, kind: Kind) {
        let mut state = self.state.0.lock().unwrap();
        let life = Life::new(kind, state.last_born, state.speed_milli);
        self.record.line(&format!(
            "minion {} is up: born {}, kind {}, {} cpu",
            self.id, life.born, life.kind.kind, life.kind.cpu
        ));
        state.last_born = life.born;
        state.life = Some(life);
        drop(state);
        self.register();
    }

    /// Ends the present life without a word. Its connections are reset, and new ones are
    /// closed until the next life begins. The entry in the registry stays.
    pub fn crash(&self) {
        let mut state = self.state.0.lock().unwrap();
        let life = state.life.take();
        let running = life.as_ref().map(|life| life.running.len());
        self.note_ends(life.iter().flat_map(|life| life.running.keys().map(String::as_str)));
        self.record.line(&format!("minion {} crashes, {running:?} tasks end with it", self.id));
        drop(state);
        self.state.1.notify_all();
        self.connections.close_all();
    }

    pub fn set_sheds(&self, sheds: bool) {
        self.state.0.lock().unwrap().sheds = sheds;
        self.record.line(&format!("minion {} answers starts with 503: {sheds}", self.id));
    }

    /// Cuts the minion off from all owners but those with such tokens.
    pub fn set_reached_by(&self, tokens: RangeInclusive<u64>) {
        self.state.0.lock().unwrap().reached_by = tokens;
    }

    /// Highest token that the present life has seen.
    pub fn token(&self) -> u64 {
        self.state.0.lock().unwrap().life.as_ref().map_or(0, |life| life.token)
    }

    pub fn running(&self) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        state.life.iter().flat_map(|life| life.running.keys().cloned()).collect()
    }

    pub fn is_up(&self) -> bool {
        self.state.0.lock().unwrap().life.is_some()
    }

    pub fn zone(&self) -> &str {
        &self.zone
    }

    pub fn labels(&self) -> Vec<String> {
        let state = self.state.0.lock().unwrap();
        let kind = state.life.as_ref().map(|life| life.kind.clone());
        kind.map_or_else(Vec::new, |kind| vec![kind.kind.to_owned(), kind.rack])
    }

    pub fn capacity(&self) -> Value {
        let state = self.state.0.lock().unwrap();
        let kind = state.life.as_ref().map(|life| life.kind.clone());
        let (cpu, mem_mb) = kind.map_or((0, 0), |kind| (kind.cpu, kind.mem_mb));
        json!({"cpu": cpu, "mem_mb": mem_mb, "gpu": 0})
    }

    fn note_ends<'a, I>(&self, tasks: I)
    where
        I: Iterator<Item = &'a str>,
    {
        let now = self.record.ms();
        let mut starts = self.starts.lock().unwrap();
        for task in tasks {
            let own = starts.iter_mut().rev().find(|one| one.minion == self.id && one.task == task);
            if let Some(start) = own {
                start.ended_at_ms = Some(now);
            }
        }
    }

    fn register(&self) {
        let mut state = self.state.0.lock().unwrap();
        let Some(life) = &mut state.life else { return };
        life.sequence += 1;
        let entry = json!({
            "service": self.service, "address": self.address.to_string(), "zone": self.zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
            "sequence": life.sequence, "born": life.born,
            "capacity": {"cpu": life.kind.cpu, "mem_mb": life.kind.mem_mb, "gpu": 0},
            "labels": [life.kind.kind, life.kind.rack],
        });
        drop(state);
        self.store.put("keyed.servers", &self.id, &entry);
    }

    /// Ends the tasks that are done, have failed, or whose lease has expired.
    fn tick(&self) {
        let mut state = self.state.0.lock().unwrap();
        let Some(life) = &mut state.life else { return };
        let now = life.clock_ms();
        let lease_until = life.lease_until;
        let due: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, run)| match run.ends {
                Some((at, how)) if at <= now && at < lease_until => Some((task.clone(), how)),
                _ if lease_until <= now => Some((task.clone(), "lapsed")),
                _ => None,
            })
            .collect();
        for (task, how) in &due {
            life.end(task, how);
        }
        drop(state);
        self.note_ends(due.iter().map(|(task, _)| task.as_str()));
        for (task, how) in &due {
            self.record.line(&format!("minion {}: {task} ends {how}", self.id));
        }
        if !due.is_empty() {
            self.state.1.notify_all();
        }
    }

    fn handle(&self, request: &Request) -> Answer {
        if request.header("x-cowslipport-expect-instance").is_some_and(|id| id != self.id) {
            return http::json(421, json!({}));
        }
        if request.method == "GET" {
            return self.is_up().then(|| (200, Vec::new()));
        }
        let body = request.json();
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if self.is_lost(token) {
            return None;
        }
        let answer = self.carry_out(request, &body);
        if self.is_lost(token) { None } else { answer }
    }

    /// Waits for longer than any caller does, if its calls don't reach the minion.
    fn is_lost(&self, token: u64) -> bool {
        let is_lost = !self.state.0.lock().unwrap().reached_by.contains(&token);
        if is_lost {
            thread::sleep(SILENCE);
        }
        is_lost
    }

    fn carry_out(&self, request: &Request, body: &Value) -> Answer {
        match request.path.as_str() {
            "/hold" => self.hold(body),
            "/run-start" => self.run_start(body),
            "/run-stop" => self.run_stop(body),
            "/pace" => {
                let state = self.state.0.lock().unwrap();
                let now = state.life.as_ref()?.clock_ms();
                http::json(200, json!({"clock_ms": now}))
            }
            _ => http::json(404, json!({})),
        }
    }

    fn hold(&self, body: &Value) -> Answer {
        let wait = Duration::from_millis(body["wait_ms"].as_u64().unwrap_or(0).min(2_000));
        let deadline = Instant::now() + wait;
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        let born = state.life.as_ref()?.born;
        let life = state.life.as_mut()?;
        let now = life.clock_ms();
        if token < life.token {
            return http::json(409, json!({"clock_ms": now, "reason": "fence"}));
        }
        life.token = token;
        if let Some(expires_ms) = body["expires_ms"].as_u64() {
            life.lease_until = life.lease_until.max(expires_ms.min(now + HOLD_MAX_MS));
        }
        let seen = body["last_seen"].as_u64().unwrap_or(0);
        life.finished.retain(|(number, _)| *number > seen);
        loop {
            let life = state.life.as_ref().filter(|life| life.born == born)?;
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !life.finished.is_empty() || remaining.is_zero() {
                break;
            }
            state = changed.wait_timeout(state, remaining).unwrap().0;
        }
        let life = state.life.as_ref()?;
        let now = life.clock_ms();
        let percent = |run: &Run| ((now - run.since) * 100 / run.percent_ms.max(1)).min(100);
        let running = life.running.iter();
        let running: Vec<Value> = running
            .map(|(task, run)| json!([task, run.attempt, "", percent(run), run.cpu]))
            .collect();
        let finished = life.finished.iter().take(MAX_LISTED_ENDS).map(|(_, row)| row.clone());
        let finished: Vec<Value> = finished.collect();
        http::json(
            200,
            json!({"clock_ms": now, "born": life.born, "running": running, "finished": finished}),
        )
    }

    fn run_start(&self, body: &Value) -> Answer {
        let mut state = self.state.0.lock().unwrap();
        let sheds = state.sheds;
        let life = state.life.as_mut()?;
        let now = life.clock_ms();
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        let refuse = |reason: &str| {
            self.record
                .line(&format!("minion {}: start of {task} {attempt}: 409 {reason}", self.id));
            http::json(409, json!({"clock_ms": now, "reason": reason}))
        };
        if sheds {
            self.record
                .line(&format!("minion {}: start of {task} {attempt}: 503, nothing done", self.id));
            return http::json(503, json!({"clock_ms": now}));
        }
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < life.token {
            return refuse("fence");
        }
        life.token = token;
        let expires_ms = body["expires_ms"].as_u64().unwrap_or(0);
        if expires_ms <= now {
            return refuse("late");
        }
        life.lease_until = life.lease_until.max(expires_ms.min(now + HOLD_MAX_MS));
        if life.refused_up_to.get(&task).is_some_and(|refused| attempt <= *refused) {
            return refuse("old");
        }
        if life.running.contains_key(&task) {
            return http::json(200, json!({"clock_ms": now}));
        }
        let submission = task.split('.').next().unwrap_or_default();
        let asked = self.asked.lock().unwrap().get(submission).copied();
        let run = parse_spec(body["spec"].as_str().unwrap_or_default(), attempt, now, asked);
        life.running.insert(task.clone(), run);
        let (kind, born) = (life.kind.kind, life.born);
        let cpu: u64 = life.running.values().map(|run| run.cpu).sum();
        let capacity = life.kind.cpu;
        drop(state);
        self.record.line(&format!(
            "minion {} (born {born}, kind {kind}): start of {task} {attempt}: 200, {cpu} of {capacity} cpu",
            self.id
        ));
        let start = Start {
            minion: self.id.clone(),
            kind,
            task,
            at_ms: self.record.ms(),
            ended_at_ms: None,
        };
        self.starts.lock().unwrap().push(start);
        http::json(200, json!({"clock_ms": now}))
    }

    fn run_stop(&self, body: &Value) -> Answer {
        let mut state = self.state.0.lock().unwrap();
        let life = state.life.as_mut()?;
        let now = life.clock_ms();
        let token = body["fencing_token"].as_u64().unwrap_or(0);
        if token < life.token {
            return http::json(409, json!({"clock_ms": now, "reason": "fence"}));
        }
        life.token = token;
        let task = body["task"].as_str().unwrap_or_default();
        let attempt = body["attempt"].as_u64().unwrap_or(0);
        let refused = life.refused_up_to.entry(task.to_owned()).or_default();
        *refused = (*refused).max(attempt);
        if life.running.get(task).is_some_and(|run| run.attempt <= attempt) {
            life.end(task, "stopped");
            self.note_ends([task].into_iter());
            self.record.line(&format!("minion {}: {task} {attempt} is stopped", self.id));
        }
        drop(state);
        self.state.1.notify_all();
        http::json(200, json!({"clock_ms": now}))
    }
}

/// `run MS`: the task is done after this time. `lasting`: it runs until it is stopped.
/// `lasting MS N`: its first N runs fail by their own fault after this time.
fn parse_spec(spec: &str, attempt: u64, now: u64, asked: Option<Asked>) -> Run {
    let mut words = spec.split(' ');
    let word = words.next().unwrap_or_default();
    let mut number = || words.next().and_then(|word| word.parse::<u64>().ok());
    let cpu = asked.map_or(0, |asked| asked.cpu);
    let run = |ends, percent_ms| Run { attempt, since: now, ends, percent_ms, cpu };
    match (word, number(), number()) {
        ("run", Some(ms), _) => run(Some((now + ms, "done")), ms),
        ("lasting", Some(ms), Some(runs)) if attempt <= runs => {
            run(Some((now + ms, "failed")), STARTUP_MS)
        }
        _ => run(None, STARTUP_MS),
    }
}
