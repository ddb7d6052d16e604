//! Stand-in for the platform's store: a log with keyed topics, fenced appends and
//! a group. It behaves as PROTOCOL.md says and has no faults of its own.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Request;
use crate::http::Response;
use crate::http::Server;
use crate::json;
use crate::json::Value;
use crate::json::object;

/// Partitions of each topic, as `platform.parts` says.
pub const PARTITIONS: u64 = 32;
/// Time until the store answers, as the pages say; an append takes as long.
const ANSWER: Duration = Duration::from_millis(4);
const RECORD_BYTES: usize = 262_144;
const REQUEST_BYTES: usize = 2_097_152;
/// Responses of a producer that are repeated.
const KEPT_RESPONSES: usize = 5;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Default)]
struct Partition {
    records: Vec<Vec<u8>>,
    /// Newest offset and value by key.
    newest: BTreeMap<String, (u64, Vec<u8>)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    last_sequence: Option<u64>,
    responses: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Group {
    generation: u64,
    /// Members in the order of their arrival, with the end of their time.
    members: Vec<(String, Instant)>,
    /// Holder of each partition, and the member that it is assigned to.
    parts: Vec<(Option<String>, Option<String>)>,
    topic: String,
}

#[derive(Default)]
struct State {
    partitions: BTreeMap<(String, u64), Partition>,
    groups: BTreeMap<String, Group>,
    /// Since when the store rejects all calls.
    down_since: Option<Instant>,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> (Arc<Self>, Server) {
        let store = Arc::new(Self { state: Mutex::default(), changed: Condvar::new() });
        let handler = Arc::clone(&store);
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(address, Arc::new(move |request| Some(handler.handle(request))));
        (store, server.expect("a loopback port is free"))
    }

    /// Writes a record of a keyed topic, as the platform does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![u8::try_from(key.len()).expect("keys are short")];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry((topic.to_owned(), 0)).or_default();
        partition.push(topic, record);
        self.changed.notify_all();
    }

    /// Rejects all calls with 503, or answers again. The times of the members of
    /// groups pause meanwhile.
    pub fn set_down(&self, is_down: bool) {
        let mut state = self.state.lock().unwrap();
        match (is_down, state.down_since) {
            (true, None) => state.down_since = Some(Instant::now()),
            (false, Some(since)) => {
                state.down_since = None;
                let members = state.groups.values_mut().flat_map(|group| &mut group.members);
                members.for_each(|(_, end)| *end += since.elapsed());
            }
            (true, Some(_)) | (false, None) => {}
        }
    }

    /// The newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock().unwrap();
        let partition = state.partitions.get(&(topic.to_owned(), 0))?;
        partition.newest.get(key).map(|(_, value)| value.clone())
    }

    fn handle(&self, request: &Request) -> Response {
        thread::sleep(ANSWER);
        if self.state.lock().unwrap().down_since.is_some() {
            return Response::new(503, "{}");
        }
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/log-append") => self.append(request),
            ("GET", "/log-read") => self.read(request),
            ("GET", "/log-newest") => self.newest_page(request),
            ("POST", "/log-join") => self.join(request),
            ("POST", "/log-leave") => self.leave(request),
            ("GET", "/log-owners") => self.owners(request),
            ("POST", "/log-trim" | "/log-commit") => Response::new(200, "{}"),
            _ => Response::new(404, "{}"),
        }
    }

    fn append(&self, request: &Request) -> Response {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Response::new(403, "{}");
        }
        let Some(records) = split_records(&request.body) else { return Response::new(400, "{}") };
        let is_too_large = records.iter().any(|record| record.len() > RECORD_BYTES);
        if is_too_large || request.body.len() > REQUEST_BYTES {
            return Response::new(413, "{}");
        }
        let mut state = self.state.lock().unwrap();
        let part = request.number("part").unwrap_or(0);
        let partition = state.partitions.entry((topic.clone(), part)).or_default();
        let end = partition.records.len() as u64;
        if request.number("as_of").is_some_and(|as_of| as_of != end) {
            let body = object(&[("end_offset", end.into())]);
            return Response::new(412, body.to_string());
        }
        let epoch = request.number("epoch").unwrap_or(0);
        let sequence = request.number("sequence").unwrap_or(0);
        let producer = request.query.get("producer").cloned();
        if let Some(name) = &producer {
            let known = partition.producers.entry(name.clone()).or_default();
            if let Err(response) = known.check(epoch, sequence) {
                return response;
            }
        }
        for record in records {
            partition.push(&topic, record);
        }
        let body = object(&[
            ("offset", end.into()),
            ("end_offset", (partition.records.len() as u64).into()),
        ])
        .to_string();
        if let Some(known) = producer.and_then(|name| partition.producers.get_mut(&name)) {
            known.last_sequence = Some(sequence);
            known.responses.push_back((sequence, body.clone()));
            if known.responses.len() > KEPT_RESPONSES {
                known.responses.pop_front();
            }
        }
        self.changed.notify_all();
        Response::new(200, body)
    }

    fn read(&self, request: &Request) -> Response {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let key = (topic, request.number("part").unwrap_or(0));
        let from = usize::try_from(request.number("from").unwrap_or(0)).unwrap_or(usize::MAX);
        let max_bytes = request.number("max_kb").unwrap_or(1_024) * 1_024;
        let wait = Duration::from_millis(request.number("wait_ms").unwrap_or(0).min(30_000));
        let deadline = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            if state.down_since.is_some() {
                return Response::new(503, "{}");
            }
            let partition = state.partitions.entry(key.clone()).or_default();
            let left = deadline.saturating_duration_since(Instant::now());
            if partition.records.len() > from || left.is_zero() {
                let mut body = (partition.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for record in partition.records.iter().skip(from) {
                    if body.len() as u64 > max_bytes {
                        break;
                    }
                    let length = u32::try_from(record.len()).expect("records are small");
                    body.extend_from_slice(&length.to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Response::new(200, body);
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest_page(&self, request: &Request) -> Response {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        let after = request.query.get("depends_on").cloned();
        let mut state = self.state.lock().unwrap();
        let partition = state.partitions.entry((topic, 0)).or_default();
        let (mut items, mut bytes, mut has_more) = (Vec::new(), 0, false);
        for (key, (offset, value)) in &partition.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                has_more = true;
                break;
            }
            bytes += value.len();
            items.push(object(&[
                ("key", key.as_str().into()),
                ("value", base64(value).into()),
                ("offset", (*offset).into()),
            ]));
        }
        let end = partition.records.len() as u64;
        let body = object(&[
            ("items", items.into()),
            ("has_more", has_more.into()),
            ("end_offset", end.into()),
        ]);
        Response::new(200, body.to_string())
    }

    fn join(&self, request: &Request) -> Response {
        let Some(body) = json::parse(request.text()) else { return Response::new(400, "{}") };
        let member = body.get("member").text().to_owned();
        let ttl = Duration::from_millis(body.get("ttl_ms").number().max(1_000));
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(body.get("group").text().to_owned()).or_default();
        if let Some(topic) = body.get("topics").list().first() {
            group.topic = topic.text().to_owned();
        }
        group.expire();
        let until = Instant::now() + ttl;
        match group.members.iter_mut().find(|(name, _)| *name == member) {
            Some((_, end)) => *end = until,
            None => {
                group.members.push((member.clone(), until));
                group.assign();
            }
        }
        if body.get("generation").number() >= group.generation {
            group.hand_over(&member);
        }
        let parts: Vec<Value> = (0_u64..)
            .zip(&group.parts)
            .filter(|(_, (holder, target))| {
                holder.as_ref() == Some(&member) && target.as_ref() == Some(&member)
            })
            .map(|(part, _)| {
                Value::List(vec![group.topic.as_str().into(), part.into(), 0_u64.into()])
            })
            .collect();
        let reply = object(&[("generation", group.generation.into()), ("parts", parts.into())]);
        Response::new(200, reply.to_string())
    }

    fn leave(&self, request: &Request) -> Response {
        let Some(body) = json::parse(request.text()) else { return Response::new(400, "{}") };
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(body.get("group").text().to_owned()).or_default();
        group.remove(body.get("member").text());
        Response::new(200, "{}")
    }

    fn owners(&self, request: &Request) -> Response {
        let name = request.query.get("group").cloned().unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        let group = state.groups.entry(name).or_default();
        group.expire();
        let rows = (0_u64..).zip(&group.parts).filter_map(|(part, (holder, _))| {
            let holder = holder.as_deref()?;
            let row = vec![group.topic.as_str().into(), part.into(), holder.into(), 0_u64.into()];
            Some(Value::List(row))
        });
        let rows: Vec<Value> = rows.collect();
        Response::new(200, object(&[("parts", rows.into())]).to_string())
    }
}

impl Partition {
    fn push(&mut self, topic: &str, record: Vec<u8>) {
        let offset = self.records.len() as u64;
        if topic.starts_with("keyed.") {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            let value = record[1 + length..].to_vec();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, (offset, value));
            }
        }
        self.records.push(record);
    }
}

impl Producer {
    /// Checks the epoch and the sequence number of an append. Returns the response
    /// if the append is refused or is a repeat.
    fn check(&mut self, epoch: u64, sequence: u64) -> Result<(), Response> {
        if epoch < self.epoch {
            return Err(Response::new(409, object(&[("reason", "fenced".into())]).to_string()));
        }
        if epoch > self.epoch {
            *self = Self { epoch, ..Self::default() };
            return Ok(());
        }
        if let Some((_, body)) = self.responses.iter().find(|(known, _)| *known == sequence) {
            return Err(Response::new(200, body.clone()));
        }
        let expected = self.last_sequence.map_or(sequence, |last| last + 1);
        if sequence != expected {
            let body = object(&[("reason", "seq".into()), ("sequence", expected.into())]);
            return Err(Response::new(409, body.to_string()));
        }
        Ok(())
    }
}

impl Group {
    /// Removes the members whose time is over.
    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<String> = self
            .members
            .iter()
            .filter(|(_, end)| *end < now)
            .map(|(member, _)| member.clone())
            .collect();
        for member in over {
            self.remove(&member);
        }
    }

    fn remove(&mut self, member: &str) {
        let count = self.members.len();
        self.members.retain(|(name, _)| name != member);
        if self.members.len() == count {
            return;
        }
        for (holder, _) in &mut self.parts {
            if holder.as_deref() == Some(member) {
                *holder = None;
            }
        }
        self.assign();
    }

    /// Assigns the partitions evenly, and moves as few as possible.
    fn assign(&mut self) {
        self.generation += 1;
        self.parts.resize(usize::try_from(PARTITIONS).expect("few partitions"), (None, None));
        let count = self.members.len();
        if count == 0 {
            self.parts.fill((None, None));
            return;
        }
        let names: Vec<String> = self.members.iter().map(|(name, _)| name.clone()).collect();
        let share = self.parts.len().div_ceil(count);
        let mut held: BTreeMap<String, usize> = BTreeMap::new();
        // The last partitions stay, the first ones go to new members.
        for (holder, target) in self.parts.iter_mut().rev() {
            let stays = holder.clone().filter(|name| {
                names.contains(name) && held.get(name).copied().unwrap_or(0) < share
            });
            if let Some(name) = &stays {
                *held.entry(name.clone()).or_default() += 1;
            }
            *target = stays;
        }
        for (holder, target) in &mut self.parts {
            if target.is_none() {
                let least = names.iter().min_by_key(|name| held.get(*name).copied().unwrap_or(0));
                let name = least.expect("there are members").clone();
                *held.entry(name.clone()).or_default() += 1;
                *target = Some(name);
            }
            if holder.is_none() {
                holder.clone_from(target);
            }
        }
    }

    /// Passes on the partitions that a member has learned to be no longer its own.
    fn hand_over(&mut self, member: &str) {
        for (holder, target) in &mut self.parts {
            if holder.as_deref() == Some(member) && target.as_deref() != Some(member) {
                holder.clone_from(target);
            }
        }
    }
}

/// Splits the body of an append into its records.
fn split_records(body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (head, tail) = rest.split_first_chunk::<4>()?;
        let length = usize::try_from(u32::from_be_bytes(*head)).ok()?;
        records.push(tail.get(..length)?.to_vec());
        rest = &tail[length..];
    }
    Some(records)
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            let index = (number >> (18 - 6 * digit)) & 63;
            let is_padding = digit > chunk.len();
            text.push(if is_padding { '=' } else { char::from(DIGITS[index as usize]) });
        }
    }
    text
}
