//! The platform's store: keyed topics of one partition, a group, and fenced appends.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Answer, Request};

/// Partitions of a topic of the group.
pub const PARTS: u32 = 32;
const APPEND_TIME: Duration = Duration::from_millis(2);
const ANSWER_TIME: Duration = Duration::from_millis(2);
/// How long a call that gets no answer is left open.
const SILENCE: Duration = Duration::from_secs(8);
const PAGE_RECORDS: usize = 500;
const READ_BYTES: usize = 1024 * 1024;
const KEPT_RESPONSES: usize = 5;

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (Vec<u8>, usize)>,
    producers: BTreeMap<String, Producer>,
}

struct Producer {
    epoch: u64,
    sequence: u64,
    responses: VecDeque<(u64, Value)>,
}

struct State {
    topics: BTreeMap<String, Topic>,
    members: BTreeMap<String, Instant>,
    generation: u64,
    /// Member that holds each partition.
    holders: BTreeMap<u32, String>,
    /// Calls get no answer and are not carried out.
    is_down: bool,
    down_since: Instant,
    delayed: Option<(String, u64, Duration)>,
}

impl Default for State {
    fn default() -> Self {
        Self {
            topics: BTreeMap::new(),
            members: BTreeMap::new(),
            generation: 0,
            holders: BTreeMap::new(),
            is_down: false,
            down_since: Instant::now(),
            delayed: None,
        }
    }
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Appends to one topic are carried out one at a time.
    turns: Arc<Mutex<BTreeMap<String, Arc<Mutex<()>>>>>,
}

impl Store {
    pub fn start() -> Self {
        Self { state: Arc::default(), turns: Arc::default() }
    }

    /// Listens for one node. While the node is cut off, its calls are lost, and the
    /// answers to those that came before.
    pub fn listen(&self) -> (SocketAddr, Arc<AtomicBool>) {
        let store = self.clone();
        let is_cut = Arc::new(AtomicBool::new(false));
        let cut = Arc::clone(&is_cut);
        let is_lost = move || {
            let is_lost = cut.load(Ordering::SeqCst);
            if is_lost {
                thread::sleep(SILENCE);
            }
            is_lost
        };
        let (address, _) = http::serve(move |request| {
            if is_lost() {
                return None;
            }
            let answer = store.handle(&request);
            if is_lost() { None } else { answer }
        });
        (address, is_cut)
    }

    /// The member that holds the last partition, and the generation of the group.
    pub fn holder(&self) -> (Option<String>, u64) {
        let state = self.state.0.lock().unwrap();
        (state.holders.get(&(PARTS - 1)).cloned(), state.generation)
    }

    /// Leaves the next append of records to a topic, by a producer of this epoch or a later
    /// one, without an answer, and carries it out later if its condition still holds.
    pub fn delay_next_append(&self, topic: &str, epoch: u64, by: Duration) {
        self.state.0.lock().unwrap().delayed = Some((topic.to_owned(), epoch, by));
    }

    /// Whether no append is to be delayed any more.
    pub fn has_delayed(&self) -> bool {
        self.state.0.lock().unwrap().delayed.is_none()
    }

    /// Writes a record as the operator or a minion does.
    pub fn put(&self, topic: &str, key: &str, value: &Value) {
        let (state, changed) = &*self.state;
        let value = if value.is_null() { Vec::new() } else { value.to_string().into_bytes() };
        state.lock().unwrap().append(topic, vec![(key.to_owned(), value)]);
        changed.notify_all();
    }

    /// Begins or ends an outage, in which calls get no answer and are not carried out.
    /// The times of memberships pause meanwhile.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state.0.lock().unwrap();
        state.is_down = is_down;
        let now = Instant::now();
        let down_since = std::mem::replace(&mut state.down_since, now);
        if !is_down {
            for expires_at in state.members.values_mut() {
                *expires_at += now - down_since;
            }
        }
    }

    /// Waits for as long as the store is down, and longer than any caller waits. Returns
    /// whether the store was down.
    fn is_lost(&self) -> bool {
        if !self.state.0.lock().unwrap().is_down {
            return false;
        }
        thread::sleep(SILENCE);
        true
    }

    fn handle(&self, request: &Request) -> Answer {
        if self.is_lost() {
            return None;
        }
        let answer = match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => self.append(request),
            ("GET", "/log-read") => self.read(request),
            ("GET", "/log-newest") => self.newest(request),
            ("POST", "/log-join") => self.state.0.lock().unwrap().join(&request.json()),
            ("POST", "/log-leave") => self.state.0.lock().unwrap().leave(&request.json()),
            ("GET", "/log-owners") => self.state.0.lock().unwrap().owners(),
            _ => http::json(404, json!({})),
        };
        thread::sleep(ANSWER_TIME);
        // A read that began before the outage is not answered in it.
        if self.is_lost() { None } else { answer }
    }

    fn append(&self, request: &Request) -> Answer {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        if matches!(topic.as_str(), "keyed.op" | "keyed.servers") {
            return http::json(403, json!({}));
        }
        let epoch = request.number("epoch").filter(|_| !request.body.is_empty());
        let delayed = self.state.0.lock().unwrap().delayed.take_if(|(delayed, first, _)| {
            *delayed == topic && epoch.is_some_and(|epoch| epoch >= *first)
        });
        if let Some((_, _, by)) = delayed {
            thread::sleep(by);
            self.append_now(request, topic);
            return None;
        }
        self.append_now(request, topic)
    }

    fn append_now(&self, request: &Request, topic: String) -> Answer {
        let turn = Arc::clone(self.turns.lock().unwrap().entry(topic.clone()).or_default());
        let _turn = turn.lock().unwrap();
        thread::sleep(APPEND_TIME);
        let fence = request.query("producer").map(|producer| {
            let number = |name| request.number(name).unwrap_or(0);
            (producer.to_owned(), number("epoch"), number("sequence"))
        });
        let records = decode_records(&request.body);
        let (state, changed) = &*self.state;
        let answer = state.lock().unwrap().append_fenced(&topic, records, fence);
        changed.notify_all();
        answer
    }

    fn read(&self, request: &Request) -> Answer {
        let topic = request.query("topic").unwrap_or_default();
        let from = usize::try_from(request.number("from").unwrap_or(0)).expect("an offset");
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let (state, changed) = &*self.state;
        let mut state = state.lock().unwrap();
        loop {
            let records = state.topics.entry(topic.to_owned()).or_default();
            let remaining = deadline.saturating_duration_since(Instant::now());
            if records.records.len() > from || remaining.is_zero() {
                return Some((200, encode_read(&records.records, from)));
            }
            state = changed.wait_timeout(state, remaining).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Answer {
        let topic = request.query("topic").unwrap_or_default();
        let after = request.query("depends_on").unwrap_or_default();
        let mut state = self.state.0.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let later = topic.newest.iter().filter(|(key, _)| key.as_str() > after);
        let later: Vec<_> = later.collect();
        let items: Vec<Value> = later
            .iter()
            .take(PAGE_RECORDS)
            .map(|(key, (value, offset))| json!({"key": key, "value": base64(value), "offset": offset}))
            .collect();
        let has_more = later.len() > PAGE_RECORDS;
        let end = topic.records.len();
        http::json(200, json!({"items": items, "has_more": has_more, "end_offset": end}))
    }
}

impl State {
    fn append(&mut self, topic: &str, records: Vec<(String, Vec<u8>)>) -> (usize, usize) {
        let topic = self.topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len();
        for (key, value) in records {
            let at = topic.records.len();
            match value.is_empty() {
                true => topic.newest.remove(&key),
                false => topic.newest.insert(key.clone(), (value.clone(), at)),
            };
            topic.records.push((key, value));
        }
        (offset, topic.records.len())
    }

    fn append_fenced(
        &mut self,
        name: &str,
        records: Vec<(String, Vec<u8>)>,
        fence: Option<(String, u64, u64)>,
    ) -> Answer {
        let topic = self.topics.entry(name.to_owned()).or_default();
        if let Some((producer, epoch, sequence)) = &fence
            && let Some(known) = topic.producers.get(producer)
        {
            if *epoch < known.epoch {
                return http::json(409, json!({"reason": "fenced"}));
            }
            if *epoch == known.epoch {
                if let Some((_, kept)) = known.responses.iter().find(|(kept, _)| kept == sequence) {
                    return http::json(200, kept.clone());
                }
                let expected = known.sequence + 1;
                if *sequence != expected {
                    return http::json(409, json!({"reason": "seq", "sequence": expected}));
                }
            }
        }
        let (offset, end) = self.append(name, records);
        let response = json!({"offset": offset, "end_offset": end});
        if let Some((producer, epoch, sequence)) = fence {
            let topic = self.topics.entry(name.to_owned()).or_default();
            let new = || Producer { epoch, sequence, responses: VecDeque::new() };
            let known = topic.producers.entry(producer).or_insert_with(new);
            if known.epoch != epoch {
                *known = new();
            }
            known.sequence = sequence;
            known.responses.push_back((sequence, response.clone()));
            if known.responses.len() > KEPT_RESPONSES {
                known.responses.pop_front();
            }
        }
        http::json(200, response)
    }

    /// Forgets members whose time is over. A member that asks just then is the first to
    /// get their partitions.
    fn expire(&mut self, asking: &str) {
        let now = Instant::now();
        let count = self.members.len();
        self.members.retain(|name, expires_at| *expires_at > now || name == asking);
        if self.members.len() < count {
            if self.members.contains_key(asking) {
                let members = &self.members;
                let free = self.holders.values_mut().filter(|one| !members.contains_key(*one));
                free.for_each(|holder| *holder = asking.to_owned());
            }
            self.redistribute();
        }
    }

    /// Gives partitions without a holder to the members with the fewest, and the first
    /// partitions of others to new members.
    fn redistribute(&mut self) {
        self.generation += 1;
        let members: BTreeSet<&String> = self.members.keys().collect();
        self.holders.retain(|_, holder| members.contains(holder));
        if members.is_empty() {
            return;
        }
        for part in 0..PARTS {
            if self.holders.contains_key(&part) {
                continue;
            }
            let held = |member: &String| self.holders.values().filter(|one| *one == member).count();
            let least = self.members.keys().min_by_key(|member| held(member)).cloned();
            self.holders.extend(least.map(|member| (part, member)));
        }
        loop {
            let held = |member: &String| self.holders.values().filter(|one| *one == member).count();
            let least = self.members.keys().min_by_key(|member| held(member)).cloned();
            let most = self.members.keys().max_by_key(|member| held(member)).cloned();
            let (Some(least), Some(most)) = (least, most) else { return };
            if held(&most) <= held(&least) + 1 {
                return;
            }
            let first = self.holders.iter().find(|(_, holder)| **holder == most);
            let Some(first) = first.map(|(part, _)| *part) else { return };
            self.holders.insert(first, least);
        }
    }

    fn join(&mut self, body: &Value) -> Answer {
        let member = body["member"].as_str().unwrap_or_default().to_owned();
        self.expire(&member);
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000));
        if self.members.insert(member.clone(), Instant::now() + ttl).is_none() {
            self.redistribute();
        }
        let topic = &body["topics"][0];
        let own = self.holders.iter().filter(|(_, holder)| **holder == member);
        let parts: Vec<Value> = own.map(|(part, _)| json!([topic, part, 0])).collect();
        http::json(200, json!({"generation": self.generation, "parts": parts}))
    }

    fn leave(&mut self, body: &Value) -> Answer {
        self.members.remove(body["member"].as_str().unwrap_or_default());
        self.redistribute();
        http::json(200, json!({}))
    }

    fn owners(&mut self) -> Answer {
        self.expire("");
        let rows = self.holders.iter();
        let rows: Vec<Value> =
            rows.map(|(part, holder)| json!(["seat", part, holder, 0])).collect();
        http::json(200, json!({"generation": self.generation, "parts": rows}))
    }
}

fn encode_read(records: &[(String, Vec<u8>)], from: usize) -> Vec<u8> {
    let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
    bytes.extend_from_slice(&0_u64.to_be_bytes());
    for (key, value) in records.get(from..).unwrap_or_default() {
        if bytes.len() > READ_BYTES {
            break;
        }
        let length = u32::try_from(1 + key.len() + value.len()).expect("a short record");
        bytes.extend_from_slice(&length.to_be_bytes());
        bytes.push(u8::try_from(key.len()).expect("a short key"));
        bytes.extend_from_slice(key.as_bytes());
        bytes.extend_from_slice(value);
    }
    bytes
}

fn decode_records(mut body: &[u8]) -> Vec<(String, Vec<u8>)> {
    let mut records = Vec::new();
    while let Some((head, rest)) = body.split_first_chunk::<4>() {
        let (record, next) = rest.split_at(u32::from_be_bytes(*head) as usize);
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        body = next;
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
