//! Stand-in of the platform's store. It loses nothing, and its answers are linearizable.

use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

struct Change {
    revision: u64,
    kind: String,
    /// The object after the change; that before it if it was removed.
    text: String,
    is_removed: bool,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
    /// Number of times that it was restored from an older copy.
    era: u64,
    /// Whether it answers nobody.
    is_away: bool,
    /// Watches of `servers` by port, with the times.
    watches: Vec<(usize, Instant)>,
}

/// Copy of a store.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

/// A running store; each caller may have a port of its own.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn object_text(name: &str, object: &Object) -> String {
    let Object { revision, created, spec } = object;
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"createRevision\":{created},\
         \"finalizers\":[],\"deleting\":false}},\"spec\":{spec},\"status\":null}}"
    )
}

impl Store {
    /// Listens on a free port, whose number among the ports is `port`.
    pub fn listen(&self, port: usize) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.serve(port, stream));
            }
        });
        addr
    }

    /// Returns how often each of `ports` ports has watched `servers` since a time.
    pub fn watch_counts(&self, ports: usize, since: Instant) -> Vec<usize> {
        let state = self.0.0.lock().unwrap();
        let count = |port| {
            state.watches.iter().filter(|(known, at)| *known == port && *at >= since).count()
        };
        (0..ports).map(count).collect()
    }

    /// Returns a copy of all objects.
    pub fn copy(&self) -> Copy {
        let state = self.0.0.lock().unwrap();
        Copy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Answers nobody from now on.
    pub fn leave(&self) {
        self.0.0.lock().unwrap().is_away = true;
        self.0.1.notify_all();
    }

    /// Answers again, from an older copy: what was written since is lost, and revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.0.0.lock().unwrap();
        state.changes.retain(|change| change.revision <= copy.revision);
        state.revision = copy.revision;
        state.objects = copy.objects;
        state.era += 1;
        state.is_away = false;
    }

    /// Writes an object, as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.write(kind, name, spec, None, None);
    }

    /// Removes an object; the store confirms it when this returns.
    pub fn remove(&self, kind: &str, name: &str) {
        self.delete(kind, name, None);
    }

    /// Writes an object; an error is the status and the body.
    fn write(
        &self,
        kind: &str,
        name: &str,
        spec: &str,
        is_new: Option<bool>,
        expected: Option<u64>,
    ) -> (&'static str, String) {
        let mut state = self.0.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key);
        let known_text = known.map(|object| object_text(name, object));
        let is_conflict = expected
            .is_some_and(|revision| known.is_some_and(|object| object.revision != revision));
        match (is_new, &known_text) {
            (Some(true), Some(text)) => return ("409 Conflict", text.clone()),
            (Some(false), None) => return ("404 Not Found", "{}".to_owned()),
            (_, Some(text)) if is_conflict => return ("409 Conflict", text.clone()),
            _ => {}
        }
        if let (Some(object), Some(text)) = (known, &known_text)
            && object.spec == spec
        {
            return ("200 OK", text.clone());
        }
        let created = known.map(|object| object.created);
        state.revision += 1;
        let revision = state.revision;
        let created = created.unwrap_or(revision);
        let object = Object { revision, created, spec: spec.to_owned() };
        let text = object_text(name, &object);
        state.objects.insert(key, object);
        let kind = kind.to_owned();
        state.changes.push(Change { revision, kind, text: text.clone(), is_removed: false });
        self.0.1.notify_all();
        ("200 OK", text)
    }

    fn delete(&self, kind: &str, name: &str, expected: Option<u64>) -> (&'static str, String) {
        let mut state = self.0.0.lock().unwrap();
        let key = (kind.to_owned(), name.to_owned());
        let Some(object) = state.objects.get(&key) else {
            return ("404 Not Found", "{}".to_owned());
        };
        if expected.is_some_and(|revision| revision != object.revision) {
            return ("409 Conflict", object_text(name, object));
        }
        state.revision += 1;
        let revision = state.revision;
        let mut object = state.objects.remove(&key).expect("the object was found");
        object.revision = revision;
        let text = object_text(name, &object);
        let kind = kind.to_owned();
        state.changes.push(Change { revision, kind, text: text.clone(), is_removed: true });
        self.0.1.notify_all();
        ("200 OK", text)
    }

    fn list(&self, kind: &str) -> String {
        let state = self.0.0.lock().unwrap();
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        let items: Vec<String> =
            of_kind.map(|((_, name), object)| object_text(name, object)).collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"storeRevision\":{}}}",
            items.join(","),
            state.revision
        )
    }

    /// Returns what has changed after a revision; `None` if the store does not have that one.
    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Option<String> {
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            if after > state.revision {
                return None;
            }
            let changed: Vec<String> = state
                .changes
                .iter()
                .filter(|change| change.kind == kind && change.revision > after)
                .map(|change| {
                    format!("{{\"removed\":{},\"object\":{}}}", change.is_removed, change.text)
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() || state.is_away {
                return Some(format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    changed.join(","),
                    state.revision
                ));
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn serve(&self, port: usize, stream: TcpStream) -> Option<()> {
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let body = http::read_body(&mut reader, &head).ok()?;
            let body = String::from_utf8_lossy(&body).into_owned();
            if self.0.0.lock().unwrap().is_away {
                return None;
            }
            let (status, text) = self.answer(port, head.word(0), head.word(1), &body);
            let era = {
                let state = self.0.0.lock().unwrap();
                if state.is_away {
                    return None;
                }
                state.era.to_string()
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            http::respond(&mut writer, status, &headers, &text).ok()?;
        }
        Some(())
    }

    fn answer(
        &self,
        port: usize,
        method: &str,
        target: &str,
        body: &str,
    ) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let number = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(known, _)| *known == name).and_then(|(_, value)| value.parse().ok())
        };
        let mut parts = path.trim_start_matches("/objects/").splitn(2, '/');
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        match (method, name) {
            ("GET", None) => match number("watch") {
                Some(after) => {
                    if kind == "servers" {
                        self.0.0.lock().unwrap().watches.push((port, Instant::now()));
                    }
                    let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                    let events = self.watch(kind, after, wait);
                    events.map_or(("410 Gone", "{}".to_owned()), |events| ("200 OK", events))
                }
                None => ("200 OK", self.list(kind)),
            },
            ("GET", Some(name)) => {
                let state = self.0.0.lock().unwrap();
                let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
                let text = object.map(|object| object_text(name, object));
                text.map_or(("404 Not Found", "{}".to_owned()), |text| ("200 OK", text))
            }
            ("POST" | "PUT", _) => match written(body) {
                Some((found, revision, spec)) => {
                    let name = name.unwrap_or(found);
                    self.write(kind, name, spec, Some(method == "POST"), revision)
                }
                None => ("400 Bad Request", "{}".to_owned()),
            },
            ("DELETE", Some(name)) => self.delete(kind, name, number("revision")),
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

/// Returns the name, the expected revision and the value of an object that a gateway writes: `metadata`, then `spec`.
fn written(body: &str) -> Option<(&str, Option<u64>, &str)> {
    let (metadata, spec) = body.split_once("},\"spec\":")?;
    let spec = spec.strip_suffix('}')?;
    let name = metadata.split_once("\"name\":\"")?.1.split('"').next()?;
    let revision = metadata.split_once("\"revision\":").and_then(|(_, rest)| rest.parse().ok());
    Some((name, revision, spec))
}

/// Checks the parser of written objects against the form that gateways use.
pub fn check_form() -> io::Result<()> {
    let body = r#"{"metadata":{"name":"a","revision":7},"spec":"{\"x\":1}"}"#;
    let is_read = written(body) == Some(("a", Some(7), r#""{\"x\":1}""#));
    if is_read { Ok(()) } else { Err(io::ErrorKind::InvalidData.into()) }
}
