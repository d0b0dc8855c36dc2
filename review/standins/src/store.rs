//! The platform's store: objects by kind and name, watches, and a restore from an older copy.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Request};
use crate::json;

/// Time that the store takes to answer a call.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Stored {
    revision: u64,
    create_revision: u64,
    spec: String,
}

impl Stored {
    fn text(&self, name: &str) -> String {
        format!(
            r#"{{"metadata":{{"name":"{name}","revision":{},"createRevision":{},"finalizers":[],"deleting":false}},"spec":{},"status":null}}"#,
            self.revision, self.create_revision, self.spec
        )
    }
}

#[derive(Clone)]
struct Event {
    kind: String,
    name: String,
    is_removed: bool,
    object: Stored,
}

#[derive(Clone, Default)]
struct Objects {
    revision: u64,
    by_name: BTreeMap<(String, String), Stored>,
    /// All changes, in the order of their revisions.
    history: Vec<Event>,
}

/// A copy of the store's objects.
pub struct Copy(Objects);

#[derive(Default)]
struct State {
    objects: Objects,
    /// How often the store came back from an older copy.
    era: u64,
    /// Whether the store turns all calls away.
    is_away: bool,
}

pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

type Reply = (u16, String);

impl Store {
    /// Starts the store on a free port.
    pub fn spawn() -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let mut state = State::default();
        state.objects.revision = 1;
        let store = Arc::new(Self { addr, state: Mutex::new(state), changed: Condvar::new() });
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object as the operator or a replica does; returns when the store confirmed it.
    pub fn put(&self, kind: &str, name: &str, spec: &str) -> Instant {
        let mut state = self.state.lock().unwrap();
        write(&mut state.objects, kind, name, spec);
        drop(state);
        self.changed.notify_all();
        Instant::now()
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.lock().unwrap().objects.clone())
    }

    pub fn set_away(&self, is_away: bool) {
        self.state.lock().unwrap().is_away = is_away;
        self.changed.notify_all();
    }

    /// Comes back from a copy: what was written since is gone, and revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock().unwrap();
        state.objects = copy.0;
        state.era += 1;
        state.is_away = false;
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else { return };
        let mut reader = http::Reader::new(reading);
        while let Ok(Some(req)) = reader.request() {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(&req);
            let era = self.state.lock().unwrap().era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            if http::respond(&mut stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &Request) -> Reply {
        let empty = |status| (status, "{}".to_owned());
        if self.state.lock().unwrap().is_away {
            return empty(503);
        }
        let (path, query) = req.path.split_once('?').unwrap_or((&req.path, ""));
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u64>().ok())
        };
        let body = String::from_utf8_lossy(&req.body).into_owned();
        let spec = json::field(&body, "spec").unwrap_or("null");
        match (req.method.as_str(), name) {
            ("GET", None) => match parameter("watch") {
                Some(after) => self.watch(kind, after, parameter("waitMs").unwrap_or(0)),
                None => (200, self.list(kind)),
            },
            ("GET", Some(name)) => self.object(kind, name).map_or(empty(404), |text| (200, text)),
            ("POST", None) => {
                let metadata = json::field(&body, "metadata").unwrap_or("{}");
                let Some(name) = json::string(metadata, "name") else { return empty(400) };
                match self.object(kind, name) {
                    Some(text) => (409, text),
                    None => self.store(kind, name, spec),
                }
            }
            ("PUT", Some(name)) => match self.object(kind, name) {
                Some(text) => {
                    let revision = |text: &str| {
                        let metadata = json::field(text, "metadata")?;
                        json::field(metadata, "revision").map(str::to_owned)
                    };
                    let expected = revision(&body);
                    if expected.is_some() && expected != revision(&text) {
                        return (409, text);
                    }
                    self.store(kind, name, spec)
                }
                None => empty(404),
            },
            _ => empty(405),
        }
    }

    fn object(&self, kind: &str, name: &str) -> Option<String> {
        let state = self.state.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        state.objects.by_name.get(&key).map(|object| object.text(name))
    }

    fn store(&self, kind: &str, name: &str, spec: &str) -> Reply {
        self.put(kind, name, spec);
        (200, self.object(kind, name).unwrap_or_default())
    }

    fn list(&self, kind: &str) -> String {
        let state = self.state.lock().unwrap();
        let objects = state.objects.by_name.iter().filter(|((found, _), _)| found == kind);
        let items: Vec<String> = objects.map(|((_, name), object)| object.text(name)).collect();
        let revision = state.objects.revision;
        format!(r#"{{"items":[{}],"hasMore":false,"storeRevision":{revision}}}"#, items.join(","))
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Reply {
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.state.lock().unwrap();
        let era = state.era;
        loop {
            if state.is_away || state.era != era {
                return (503, "{}".to_owned());
            }
            if after > state.objects.revision {
                return (410, "{}".to_owned());
            }
            let is_wanted = |event: &&Event| event.kind == kind && event.object.revision > after;
            let events: Vec<String> = state
                .objects
                .history
                .iter()
                .filter(is_wanted)
                .map(|event| {
                    let (is_removed, object) = (event.is_removed, event.object.text(&event.name));
                    format!(r#"{{"removed":{is_removed},"object":{object}}}"#)
                })
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.objects.revision;
                let events = events.join(",");
                return (200, format!(r#"{{"events":[{events}],"storeRevision":{revision}}}"#));
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn write(objects: &mut Objects, kind: &str, name: &str, spec: &str) {
    let key = (kind.to_owned(), name.to_owned());
    let before = objects.by_name.get(&key);
    if before.is_some_and(|object| object.spec == spec) {
        return;
    }
    objects.revision += 1;
    let revision = objects.revision;
    let create_revision = before.map_or(revision, |object| object.create_revision);
    let object = Stored { revision, create_revision, spec: spec.to_owned() };
    objects.by_name.insert(key, object.clone());
    let (kind, name) = (kind.to_owned(), name.to_owned());
    objects.history.push(Event { kind, name, is_removed: false, object });
}
