//! The platform's store: keyed topics, and one group of members.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reply;
use crate::http::Request;
use crate::http::Server;
use crate::http::json;
use crate::json::Json;
use crate::json::base64;

/// Partitions of the topic of the group.
pub const PARTITIONS: usize = 32;
/// Time that an append takes.
const APPEND_TIME: Duration = Duration::from_millis(2);
/// Largest record, and largest size of the records of one append.
const RECORD_BYTES: usize = 262_144;
const REQUEST_BYTES: usize = 2_097_152;
/// Items of one page of the newest records.
const PAGE_ITEMS: usize = 500;
/// Responses that a producer's repeated appends receive again.
const KEPT_RESPONSES: usize = 5;

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, (Vec<u8>, usize)>,
    producers: BTreeMap<String, Producer>,
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: u64,
    responses: VecDeque<(u64, String)>,
}

#[derive(Default)]
struct Group {
    members: BTreeMap<String, Instant>,
    generation: u64,
    /// Member with the last partition.
    holder: Option<String>,
}

/// The store.
#[derive(Default)]
pub struct Store {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
    group: Mutex<Group>,
    /// Largest record of the last append that was refused for its size, and the
    /// number of such appends.
    refusals: Mutex<(usize, usize)>,
}

impl Store {
    /// Writes one record on behalf of the operator or of a worker.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push(key.to_owned(), value.into());
        self.changed.notify_all();
    }

    pub fn refusals(&self) -> (usize, usize) {
        *self.refusals.lock().unwrap()
    }

    /// Member that holds the last partition.
    pub fn holder(&self) -> Option<String> {
        self.group.lock().unwrap().holder.clone()
    }

    fn append(&self, request: &Request) -> Reply {
        sleep(APPEND_TIME);
        let mut body = &request.body[..];
        let mut largest = 0;
        while let Some((head, rest)) = body.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*head) as usize;
            largest = largest.max(length);
            body = rest.get(length..).unwrap_or_default();
        }
        if largest > RECORD_BYTES || request.body.len() > REQUEST_BYTES {
            let mut refusals = self.refusals.lock().unwrap();
            *refusals = (largest, refusals.1 + 1);
            return json(413, "{}".to_owned());
        }
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(request.query("topic").unwrap_or_default().into()).or_default();
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let fence = number("epoch").zip(number("sequence"));
        let name = request.query("producer").unwrap_or_default().to_owned();
        if let Some((epoch, sequence)) = fence {
            let producer = topic.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return json(409, r#"{"reason":"fenced"}"#.to_owned());
            }
            if epoch == producer.epoch {
                let kept = producer.responses.iter().find(|(kept, _)| *kept == sequence);
                if let Some((_, response)) = kept {
                    return json(200, response.clone());
                }
                let next = producer.last + 1;
                if sequence != next {
                    return json(409, format!(r#"{{"reason":"seq","sequence":{next}}}"#));
                }
            } else {
                producer.responses.clear();
            }
            producer.epoch = epoch;
            producer.last = sequence;
        }
        let offset = topic.records.len();
        let mut body = &request.body[..];
        while let Some((head, rest)) = body.split_first_chunk::<4>() {
            let (record, next) = rest.split_at(u32::from_be_bytes(*head) as usize);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            topic.push(String::from_utf8_lossy(key).into_owned(), value.to_vec());
            body = next;
        }
        let end = topic.records.len();
        let response = format!(r#"{{"offset":{offset},"end_offset":{end}}}"#);
        if let Some((_, sequence)) = fence {
            let producer = topic.producers.entry(name).or_default();
            producer.responses.push_back((sequence, response.clone()));
            if producer.responses.len() > KEPT_RESPONSES {
                producer.responses.pop_front();
            }
        }
        self.changed.notify_all();
        json(200, response)
    }

    fn read(&self, request: &Request) -> Reply {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let name = request.query("topic").unwrap_or_default().to_owned();
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.clone()).or_default();
            let left = deadline.saturating_duration_since(Instant::now());
            if topic.records.len() > from || left.is_zero() {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0_u64.to_be_bytes());
                for (key, value) in topic.records.iter().skip(from) {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return Reply::Response(200, body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Reply {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(request.query("topic").unwrap_or_default().into()).or_default();
        let after = request.query("depends_on");
        let later =
            topic.newest.iter().filter(|(key, _)| after.is_none_or(|after| key.as_str() > after));
        let later: Vec<_> = later.collect();
        let has_more = later.len() > PAGE_ITEMS;
        let items = later.iter().take(PAGE_ITEMS).map(|(key, (value, offset))| {
            format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
        });
        let items: Vec<String> = items.collect();
        let end = topic.records.len();
        let items = items.join(",");
        json(200, format!(r#"{{"items":[{items}],"has_more":{has_more},"end_offset":{end}}}"#))
    }

    fn join(&self, body: &Json) -> Reply {
        let member = body.text("member");
        let ttl = Duration::from_millis(body.number("ttl_ms").unwrap_or(1_000));
        let now = Instant::now();
        let mut group = self.group.lock().unwrap();
        let count = group.members.len();
        group.members.retain(|name, expires_at| *expires_at > now || *name == member);
        let is_new = group.members.insert(member.clone(), now + ttl).is_none();
        let is_held = group.holder.as_ref().is_some_and(|name| group.members.contains_key(name));
        if is_new || group.members.len() < count || !is_held {
            group.generation += 1;
        }
        if !is_held {
            group.holder = Some(member.clone());
        }
        let parts = group.parts_of(&member);
        let generation = group.generation;
        json(200, format!(r#"{{"generation":{generation},"ttl_ms":1000,"parts":[{parts}]}}"#))
    }

    fn leave(&self, body: &Json) -> Reply {
        let mut group = self.group.lock().unwrap();
        if group.members.remove(&body.text("member")).is_some() {
            group.generation += 1;
        }
        json(200, "{}".to_owned())
    }

    fn owners(&self) -> Reply {
        let group = self.group.lock().unwrap();
        let mut rows = Vec::new();
        for member in group.members.keys() {
            for part in group.numbers_of(member) {
                rows.push(format!(r#"["seat",{part},"{member}",0]"#));
            }
        }
        let generation = group.generation;
        json(200, format!(r#"{{"generation":{generation},"parts":[{}]}}"#, rows.join(",")))
    }
}

impl Group {
    /// Partitions of a member. The last one stays with its holder, the others
    /// are dealt evenly.
    fn numbers_of(&self, member: &str) -> Vec<usize> {
        let position = self.members.keys().position(|name| name == member).unwrap_or(0);
        let mut parts: Vec<usize> =
            (0..PARTITIONS - 1).filter(|part| part % self.members.len() == position).collect();
        if self.holder.as_deref() == Some(member) {
            parts.push(PARTITIONS - 1);
        }
        parts
    }

    fn parts_of(&self, member: &str) -> String {
        let rows = self.numbers_of(member).into_iter().map(|part| format!(r#"["seat",{part},0]"#));
        rows.collect::<Vec<String>>().join(",")
    }
}

impl Topic {
    fn push(&mut self, key: String, value: Vec<u8>) {
        match value.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key.clone(), (value.clone(), self.records.len())),
        };
        self.records.push((key, value));
    }
}

impl Server<()> for Store {
    fn opened(&self) {}

    fn answer(&self, (): &(), request: &Request) -> Reply {
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        match request.path.as_str() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(request),
            "/log-newest" => self.newest(request),
            "/log-join" => self.join(&body),
            "/log-leave" => self.leave(&body),
            "/log-owners" => self.owners(),
            _ => json(404, "{}".to_owned()),
        }
    }
}
