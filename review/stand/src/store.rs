//! Stand-in for the platform's metadata store, with the limits that the pages name.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{self, Reply, Request, Server};
use crate::record::Record;

/// `tx_ms` of the settings.
const TX: Duration = Duration::from_millis(6);
const ROW_BYTES: usize = 65_536;
const ENTRIES_MAX: usize = 100;
const CALL_BYTES_MAX: usize = 1 << 20;
const PAGE_ROWS_MAX: usize = 500;

type Key = (String, String, String);

#[derive(Default)]
struct State {
    rows: BTreeMap<Key, (String, u64)>,
    removed: BTreeMap<Key, u64>,
    revision: u64,
    /// Transactions of several partitions run beside one another, those of one partition one after another.
    busy: BTreeMap<String, Instant>,
    is_silent: bool,
}

pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub server: Server,
}

pub fn open(record: Record) -> Store {
    let state: Arc<(Mutex<State>, Condvar)> = Arc::default();
    let began = Instant::now();
    let shared = Arc::clone(&state);
    let handler = move |request: Request| handle(&shared, &request, began, &record);
    let server = http::serve(([127, 0, 0, 1], 0).into(), Arc::new(handler)).expect("a free port");
    Store { state, server }
}

impl Store {
    /// Writes a row of the operator.
    pub fn write(&self, table: &str, key: &str, content: &str) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        state.rows.insert((table.into(), String::new(), key.into()), (STANDARD.encode(content), revision));
        changed.notify_all();
    }

    #[allow(dead_code)]
    pub fn set_silent(&self, is_silent: bool) {
        self.state.0.lock().unwrap().is_silent = is_silent;
    }
}

fn handle(shared: &(Mutex<State>, Condvar), request: &Request, began: Instant, record: &Record) -> Reply {
    if shared.0.lock().unwrap().is_silent {
        return Reply::Silence;
    }
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    let query: BTreeMap<String, String> =
        query.split('&').filter_map(|pair| pair.split_once('=')).map(|(name, value)| (name.to_owned(), decode(value))).collect();
    let (status, mut content) = match path {
        "/rows-tx" => commit(shared, &request.body, record),
        "/rows-get" => {
            thread::sleep(Duration::from_millis(4));
            get(&shared.0.lock().unwrap(), &query)
        }
        "/rows-feed" => feed(shared, &query),
        _ => (404, json!({})),
    };
    content["now_ms"] = json!(u64::try_from(began.elapsed().as_millis()).unwrap());
    if shared.0.lock().unwrap().is_silent {
        return Reply::Silence;
    }
    Reply::Answer(status, content.to_string())
}

fn text(row: &Value, name: &str) -> String {
    row[name].as_str().unwrap_or_default().to_owned()
}

fn key(row: &Value) -> Key {
    (text(row, "table"), text(row, "part"), text(row, "key"))
}

fn row_of(state: &State, key: &Key) -> Option<Value> {
    let (value, revision) = state.rows.get(key)?;
    Some(json!({"table": key.0, "part": key.1, "key": key.2, "value": value, "revision": revision}))
}

fn commit(shared: &(Mutex<State>, Condvar), body: &[u8], record: &Record) -> (u16, Value) {
    let refuse = |why: String| {
        record.note(format!("store refuses a transaction: {why}"));
        (400, json!({"error": why}))
    };
    let Ok(transaction) = serde_json::from_slice::<Value>(body) else { return refuse("not readable".into()) };
    let list = |name: &str| transaction[name].as_array().cloned().unwrap_or_default();
    let (conditions, writes, removals) = (list("expect"), list("writes"), list("remove"));
    let parts: Vec<String> = conditions.iter().chain(&writes).chain(&removals).map(|row| key(row).1).collect();
    if parts.iter().any(|part| *part != parts[0]) {
        return refuse("several parts".into());
    }
    if body.len() > CALL_BYTES_MAX || parts.len() > ENTRIES_MAX {
        return refuse(format!("{} bytes, {} entries", body.len(), parts.len()));
    }
    for row in &writes {
        let length = STANDARD.decode(text(row, "value")).map_or(usize::MAX, |value| value.len());
        if length > ROW_BYTES {
            let (table, _, name) = key(row);
            return refuse(format!("row {table}/{name} of {length} bytes, row_bytes is {ROW_BYTES}; {} rows in the call", writes.len()));
        }
    }
    let part = parts.first().cloned().unwrap_or_default();
    let due = {
        let mut state = shared.0.lock().unwrap();
        let now = Instant::now();
        let free = state.busy.get(&part).copied().unwrap_or(now).max(now);
        // `part_writes_s` is 200.
        state.busy.insert(part, free + Duration::from_millis(5));
        free + TX
    };
    thread::sleep(due.saturating_duration_since(Instant::now()));
    let (lock, changed) = shared;
    let mut state = lock.lock().unwrap();
    let is_met = |row: &Value| {
        state.rows.get(&key(row)).map_or(0, |(_, revision)| *revision) == row["revision"].as_u64().unwrap_or(0)
    };
    if !conditions.iter().all(is_met) {
        let rows: Vec<Value> = conditions.iter().filter_map(|row| row_of(&state, &key(row))).collect();
        return (412, json!({"rows": rows, "revision": state.revision}));
    }
    state.revision += 1;
    let revision = state.revision;
    for row in writes {
        state.removed.remove(&key(&row));
        state.rows.insert(key(&row), (text(&row, "value"), revision));
    }
    for row in removals {
        if state.rows.remove(&key(&row)).is_some() {
            state.removed.insert(key(&row), revision);
        }
    }
    changed.notify_all();
    (200, json!({"revision": revision}))
}

fn get(state: &State, query: &BTreeMap<String, String>) -> (u16, Value) {
    let value = |name: &str| query.get(name).cloned().unwrap_or_default();
    let limit = value("limit").parse().unwrap_or(PAGE_ROWS_MAX).min(PAGE_ROWS_MAX);
    let (table, part, from, to) = (value("table"), value("part"), value("from"), value("target"));
    let is_selected =
        |key: &&Key| key.0 == table && key.1 == part && key.2 >= from && (to.is_empty() || key.2 < to);
    let mut rows: Vec<Value> =
        state.rows.keys().filter(is_selected).take(limit + 1).filter_map(|key| row_of(state, key)).collect();
    let has_more = rows.len() > limit;
    rows.truncate(limit);
    (200, json!({"rows": rows, "revision": state.revision, "has_more": has_more}))
}

fn feed(shared: &(Mutex<State>, Condvar), query: &BTreeMap<String, String>) -> (u16, Value) {
    let number = |name: &str| query.get(name).and_then(|value| value.parse().ok()).unwrap_or(0_u64);
    let (table, after) = (query.get("table").cloned().unwrap_or_default(), number("after"));
    let due = Instant::now() + Duration::from_millis(number("wait_ms"));
    thread::sleep(Duration::from_millis(4));
    let (lock, changed) = shared;
    let mut state = lock.lock().unwrap();
    loop {
        let is_new = |key: &Key, revision: u64| key.0 == table && revision > after;
        let kept = state.rows.iter().filter(|(key, (_, revision))| is_new(key, *revision));
        let mut rows: Vec<Value> = kept.filter_map(|(key, _)| row_of(&state, key)).collect();
        let removed = state.removed.iter().filter(|(key, revision)| is_new(key, **revision));
        rows.extend(removed.map(|(key, revision)| {
            json!({"table": key.0, "part": key.1, "key": key.2, "revision": revision, "deleted": true})
        }));
        rows.sort_by_key(|row| row["revision"].as_u64());
        let left = due.saturating_duration_since(Instant::now());
        if !rows.is_empty() || left.is_zero() {
            return (200, json!({"rows": rows, "revision": state.revision, "has_more": false}));
        }
        state = changed.wait_timeout(state, left).unwrap().0;
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let escaped = (*first == b'%').then(|| tail.get(..2)).flatten();
        let escaped = escaped.and_then(|digits| u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok());
        bytes.push(escaped.unwrap_or(*first));
        rest = if escaped.is_some() { &tail[2..] } else { tail };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
