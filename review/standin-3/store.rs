//! A stand-in of the platform's store, with the limits that its page names.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::Reply;
use crate::http::Request;
use crate::json::quoted;

/// Limits of the store, as the settings of a process state them under `platform`.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub record_bytes: usize,
    pub call_bytes: usize,
    pub append: Duration,
    pub part_bytes_per_s: f64,
    pub keep: Duration,
    pub part_bytes: usize,
    pub total_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            record_bytes: 262_144,
            call_bytes: 2_097_152,
            append: Duration::from_millis(4),
            part_bytes_per_s: 20e6,
            keep: Duration::from_secs(300),
            part_bytes: 200 << 20,
            total_bytes: 400 << 20,
        }
    }
}

#[derive(Default)]
struct Producer {
    epoch: u64,
    last: Option<u64>,
    /// Sequence, offset and end of the last appends.
    answered: VecDeque<(u64, u64, u64)>,
}

#[derive(Default)]
struct Part {
    first: u64,
    end: u64,
    bytes: usize,
    records: VecDeque<(Instant, Vec<u8>)>,
    newest: BTreeMap<Vec<u8>, (u64, Vec<u8>)>,
    producers: HashMap<String, Producer>,
    busy_until: Option<Instant>,
}

#[derive(Default)]
struct State {
    parts: HashMap<(String, u32), Part>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    limits: Limits,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            shared: Arc::default(),
        }
    }

    /// Returns the newest value of a key.
    pub fn newest(&self, topic: &str, part: u32, key: &str) -> Option<Vec<u8>> {
        let state = self.shared.0.lock().unwrap();
        let part = state.parts.get(&(topic.to_owned(), part))?;
        part.newest.get(key.as_bytes()).map(|(_, value)| value.clone())
    }

    /// Returns the bytes of the newest values of a topic.
    pub fn newest_bytes(&self, topic: &str) -> usize {
        let state = self.shared.0.lock().unwrap();
        let parts = state.parts.iter().filter(|((name, _), _)| name == topic);
        let values = parts.flat_map(|(_, part)| part.newest.iter());
        values.map(|(key, (_, value))| key.len() + value.len()).sum()
    }

    /// Writes a record of the platform's own: an entry of a minion, or of the operator.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value.as_bytes());
        let mut state = self.shared.0.lock().unwrap();
        let part = state.parts.entry((topic.to_owned(), 0)).or_default();
        add(part, topic, record);
        self.shared.1.notify_all();
    }

    pub fn answer(&self, request: &Request) -> Reply {
        match request.path.as_str() {
            "/log-append" => self.append(request),
            "/log-read" => self.read(request),
            "/log-newest" => self.read_newest(request),
            _ => Reply::json(400, "{}".to_owned()),
        }
    }

    fn append(&self, request: &Request) -> Reply {
        let Some((topic, part_number)) = place(request) else {
            return Reply::json(400, "{}".to_owned());
        };
        let Some(records) = split(&request.body) else {
            return Reply::json(400, "{}".to_owned());
        };
        let lengths = records.iter().map(Vec::len);
        let largest = lengths.clone().max().unwrap_or(0);
        let total: usize = lengths.sum();
        let begin = {
            let mut state = self.shared.0.lock().unwrap();
            if largest > self.limits.record_bytes || total > self.limits.call_bytes {
                return Reply::json(400, "{}".to_owned());
            }
            let part = state.parts.entry((topic.clone(), part_number)).or_default();
            let now = Instant::now();
            let begin = part.busy_until.unwrap_or(now).max(now);
            if begin - now > Duration::from_secs(2) {
                return Reply::json(503, "{}".to_owned());
            }
            let transfer = Duration::from_secs_f64(total as f64 / self.limits.part_bytes_per_s);
            let until = begin + self.limits.append + transfer;
            part.busy_until = Some(until);
            until
        };
        std::thread::sleep(begin.saturating_duration_since(Instant::now()));
        let mut state = self.shared.0.lock().unwrap();
        let state = &mut *state;
        expire(state, self.limits);
        let stored: usize = state.parts.values().map(|part| part.bytes).sum();
        let part = state.parts.entry((topic.clone(), part_number)).or_default();
        if let Some(at) = request.number("At")
            && at != part.end
        {
            return Reply::json(412, format!("{{\"End\":{}}}", part.end));
        }
        if let Some(name) = request.query.get("Producer") {
            let epoch = request.number("epoch").unwrap_or(0);
            let sequence = request.number("Sequence").unwrap_or(0);
            let producer = part.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return Reply::json(409, "{\"Reason\":\"fenced\"}".to_owned());
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    ..Producer::default()
                };
            }
            if !records.is_empty() {
                let mut answered = producer.answered.iter();
                if let Some((_, offset, end)) = answered.find(|(known, _, _)| *known == sequence) {
                    return Reply::json(200, format!("{{\"Offset\":{offset},\"End\":{end}}}"));
                }
                if let Some(last) = producer.last
                    && sequence != last + 1
                {
                    let expected = last + 1;
                    let body = format!("{{\"Reason\":\"seq\",\"Sequence\":{expected}}}");
                    return Reply::json(409, body);
                }
            }
        }
        if stored + total > self.limits.total_bytes && !records.is_empty() {
            return Reply::json(507, "{}".to_owned());
        }
        let offset = part.end;
        let is_empty = records.is_empty();
        for record in records {
            add(part, &topic, record);
        }
        let end = part.end;
        if let Some(name) = request.query.get("Producer")
            && !is_empty
            && let Some(producer) = part.producers.get_mut(name)
        {
            let sequence = request.number("Sequence").unwrap_or(0);
            producer.last = Some(sequence);
            producer.answered.push_back((sequence, offset, end));
            if producer.answered.len() > 5 {
                producer.answered.pop_front();
            }
        }
        self.shared.1.notify_all();
        Reply::json(200, format!("{{\"Offset\":{offset},\"End\":{end}}}"))
    }

    fn read(&self, request: &Request) -> Reply {
        let (Some(place), Some(from)) = (place(request), request.number("From")) else {
            return Reply::json(400, "{}".to_owned());
        };
        let wait = Duration::from_millis(request.number("WaitMs").unwrap_or(0));
        let most = request.number("MaxKb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + wait;
        std::thread::sleep(self.limits.append);
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let part = state.parts.entry(place.clone()).or_default();
            if from < part.first {
                return Reply::json(410, format!("{{\"First\":{}}}", part.first));
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < part.end || left.is_zero() {
                let mut body = part.end.to_be_bytes().to_vec();
                body.extend_from_slice(&part.first.to_be_bytes());
                let skip = (from - part.first) as usize;
                for (_, record) in part.records.iter().skip(skip) {
                    if body.len() > 16 && body.len() + record.len() > most {
                        break;
                    }
                    body.extend_from_slice(&(record.len() as u32).to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Reply::Answer(200, body);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn read_newest(&self, request: &Request) -> Reply {
        let Some(place) = place(request) else {
            return Reply::json(400, "{}".to_owned());
        };
        std::thread::sleep(self.limits.append);
        let after = request.query.get("After").cloned().unwrap_or_default();
        let mut state = self.shared.0.lock().unwrap();
        let part = state.parts.entry(place).or_default();
        let mut items = Vec::new();
        let mut bytes = 0;
        let mut more = false;
        for (key, (offset, value)) in &part.newest {
            if key.as_slice() <= after.as_bytes() && !after.is_empty() {
                continue;
            }
            if items.len() >= 500 || bytes > 1 << 20 {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(format!(
                "{{\"Key\":{},\"Value\":\"{}\",\"Offset\":{offset}}}",
                quoted(&String::from_utf8_lossy(key)),
                base64(value)
            ));
        }
        let items = items.join(",");
        let end = part.end;
        Reply::json(200, format!("{{\"items\":[{items}],\"HasMore\":{more},\"End\":{end}}}"))
    }
}

fn place(request: &Request) -> Option<(String, u32)> {
    let topic = request.query.get("Topic")?.clone();
    Some((topic, request.number("part")? as u32))
}

fn split(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        records.push(body.get(4..4 + length)?.to_vec());
        body = &body[4 + length..];
    }
    Some(records)
}

fn add(part: &mut Part, topic: &str, record: Vec<u8>) {
    if topic.starts_with("keyed.") {
        let key_length = usize::from(record[0]);
        let key = record[1..=key_length].to_vec();
        let value = record[1 + key_length..].to_vec();
        if value.is_empty() {
            part.newest.remove(&key);
        } else {
            part.newest.insert(key, (part.end, value));
        }
    }
    part.bytes += record.len();
    part.records.push_back((Instant::now(), record));
    part.end += 1;
}

/// Drops the oldest records of each partition: those that are too old, or beyond its size.
fn expire(state: &mut State, limits: Limits) {
    for part in state.parts.values_mut() {
        while let Some((at, record)) = part.records.front() {
            if at.elapsed() <= limits.keep && part.bytes <= limits.part_bytes {
                break;
            }
            part.bytes -= record.len();
            part.first += 1;
            part.records.pop_front();
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for digit in 0..4 {
            if digit <= chunk.len() {
                let index = (bits >> (18 - 6 * digit)) & 63;
                out.push(char::from(DIGITS[index as usize]));
            } else {
                out.push('=');
            }
        }
    }
    out
}
