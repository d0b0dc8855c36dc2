//! The cases. Each returns whether a rule was broken.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Setup;
use crate::caller::{Call, Callers, Exchange};
use crate::gateway::Gateway;
use crate::replica::{Options, Replica, Run};
use crate::store::Store;
use crate::unframed::{self, Process};

const HOST: &str = "cantar.example";
/// `revokeMs` of the deployment.
const REVOKE_TIME: Duration = Duration::from_secs(5);
/// `gracePeriodS` of the deployment.
const GRACE: Duration = Duration::from_secs(8);
/// Deadline of a ticket, as on the sheet.
const TICKET_DEADLINE: Duration = Duration::from_millis(2_500);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Configuration with one route for tickets, which may run once; `keys` holds the keys of each tenant.
fn ticket_config(version: u64, timeout_ms: u64, keys: &[&[&str]]) -> String {
    let tenants: Vec<String> = keys
        .iter()
        .enumerate()
        .map(|(number, keys)| {
            let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
            format!(r#"{{"name":"tenant-{number}","apiKeys":[{}],"priority":1}}"#, keys.join(","))
        })
        .collect();
    config(
        version,
        &format!(
            r#"{{"name":"tickets","host":"{HOST}","pathPrefix":"/tichet/","kind":"non_idempotent","timeoutMs":{timeout_ms},"targetLatencyMs":150,"priority":2,"service":"cantar","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}"#
        ),
        r#"{"name":"cantar","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}"#,
        &tenants.join(","),
    )
}

fn config(version: u64, routes: &str, services: &str, tenants: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{tenants}]}}"#
    )
}

struct Deployment {
    store: Arc<Store>,
    replicas: Vec<Arc<Replica>>,
    gateways: Vec<Gateway>,
}

impl Deployment {
    /// Starts the store with a configuration, replicas and gateways, and waits until these are ready.
    fn start(setup: &Setup, config: &str, replicas: &[Options]) -> io::Result<Self> {
        let store = Store::spawn()?;
        store.put("config", "main", config);
        setup.record.line(&format!("the operator writes {config}"));
        let spawn = |options: &Options| Replica::spawn(options.clone(), &store, &setup.record);
        let replicas = replicas.iter().map(spawn).collect::<io::Result<_>>()?;
        let start = |(name, zone): &(&str, &str)| {
            Gateway::start(name, zone, &setup.root, &setup.folder, &store, &setup.record)
        };
        let names = [("front-braila-a-1", "braila-a"), ("front-braila-b-1", "braila-b")];
        let gateways: Vec<Gateway> = names.iter().map(start).collect::<io::Result<_>>()?;
        for gateway in &gateways {
            gateway.wait_ready()?;
        }
        Ok(Self { store, replicas, gateways })
    }

    fn runs(&self) -> Vec<Run> {
        self.replicas.iter().flat_map(|replica| replica.runs()).collect()
    }
}

fn ticket_replicas() -> Vec<Options> {
    let zones = ["braila-a", "braila-b", "galati-c"];
    let options = |(number, zone): (usize, &&str)| Options {
        id: format!("i-cantar-{number}"),
        service: "cantar".to_owned(),
        zone: (*zone).to_owned(),
        slots: 6,
        work: millis(30),
        events: 0,
        event_gap: Duration::ZERO,
        preempted_after: 0,
        preempted_for: Duration::ZERO,
    };
    zones.iter().enumerate().map(options).collect()
}

fn ticket(id: String, gateway: SocketAddr, key: &str) -> Call {
    Call {
        id,
        gateway,
        path: "/tichet/nou".to_owned(),
        host: HOST,
        key: key.to_owned(),
        deadline: TICKET_DEADLINE,
        headers: Vec::new(),
        body: b"bale=12".to_vec(),
    }
}

/// Counts the statuses of the answers to requests with a key, sent in a span.
fn statuses<'a>(exchanges: impl Iterator<Item = &'a Exchange>) -> String {
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for exchange in exchanges {
        let status = exchange.answer.status.map_or("none".to_owned(), |status| status.to_string());
        *counts.entry(status).or_default() += 1;
    }
    let counts: Vec<String> =
        counts.iter().map(|(status, count)| format!("{count} x {status}")).collect();
    counts.join(", ")
}

/// The operator takes away all keys that the tenants have. With `TROUBLE=0` the new version keeps them.
pub fn keys_all_revoked(setup: &Setup) -> io::Result<bool> {
    let record = &setup.record;
    let held = ["key-baling", "key-mill"];
    let first = ticket_config(7, 1_200, &[&held[..1], &held[1..]]);
    let deployment = Deployment::start(setup, &first, &ticket_replicas())?;
    let mut callers = Callers::new(record);
    let keys = [held[0], held[1], "key-never-issued"];
    let mut number = 0;
    let mut send_round = |callers: &mut Callers| {
        for gateway in &deployment.gateways {
            for key in keys {
                number += 1;
                callers.send(ticket(format!("{number:016x}"), gateway.addr, key));
            }
        }
    };
    for _ in 0..10 {
        send_round(&mut callers);
        thread::sleep(millis(100));
    }
    let next = if setup.has_trouble {
        ticket_config(8, 1_200, &[&[], &[]])
    } else {
        ticket_config(8, 1_300, &[&held[..1], &held[1..]])
    };
    let confirmed_at = deployment.store.put("config", "main", &next);
    record.line(&format!("the operator's version 8 is confirmed: {next}"));
    while confirmed_at.elapsed() < REVOKE_TIME + millis(4_000) {
        send_round(&mut callers);
        thread::sleep(millis(200));
    }
    let exchanges = callers.finish();
    let runs = deployment.runs();
    let is_run = |exchange: &&Exchange| runs.iter().any(|run| run.id() == exchange.call.id);
    let is_late = |exchange: &&Exchange| exchange.sent_at > confirmed_at + REVOKE_TIME;
    let served_before = exchanges
        .iter()
        .filter(|exchange| held.contains(&exchange.call.key.as_str()))
        .filter(|exchange| exchange.sent_at < confirmed_at)
        .filter(|exchange| exchange.answer.status == Some(200));
    if served_before.count() == 0 {
        return Err(io::Error::other("no request was served before the change"));
    }
    let late = |key: &str| {
        let of_key = exchanges.iter().filter(is_late).filter(|exchange| exchange.call.key == key);
        let of_key: Vec<&Exchange> = of_key.collect();
        let ran = of_key.iter().filter(|exchange| is_run(exchange)).count();
        let line = statuses(of_key.iter().copied());
        record.tell(&format!("{key}, sent over 5 s after the confirmation: {ran} ran; {line}"));
        ran
    };
    let ran: Vec<usize> = keys.iter().map(|key| late(key)).collect();
    let unknown = exchanges.iter().filter(|exchange| exchange.call.key == keys[2]);
    let ran_unknown = unknown.filter(is_run).count();
    let revoked_ran = if setup.has_trouble { ran[0] + ran[1] } else { 0 };
    record.tell(&format!(
        "CONFIG: {revoked_ran} requests with a key that was taken away ran; ROUTE: {ran_unknown} requests with a key that no configuration held ran"
    ));
    Ok(revoked_ran > 0 || ran_unknown > 0)
}

/// A key is taken away; 5 s later the store comes back from a copy of before, and a gateway was killed and starts again. With
/// `TROUBLE=0` the store keeps what it has.
pub fn key_after_restore(setup: &Setup) -> io::Result<bool> {
    let record = &setup.record;
    let (kept, revoked) = ("key-baling", "key-leaked");
    let first = ticket_config(7, 1_200, &[&[kept, revoked]]);
    let mut deployment = Deployment::start(setup, &first, &ticket_replicas())?;
    // The system has run for a while.
    thread::sleep(millis(2_000));
    let copy = deployment.store.copy();
    record.line("the platform copies the store");
    thread::sleep(millis(500));
    let next = ticket_config(8, 1_200, &[&[kept]]);
    let confirmed_at = deployment.store.put("config", "main", &next);
    record.line(&format!("the operator's version 8 is confirmed: {next}"));
    let addrs: Vec<SocketAddr> = deployment.gateways.iter().map(|gateway| gateway.addr).collect();
    let sender = {
        let record = record.clone();
        thread::spawn(move || {
            let mut callers = Callers::new(&record);
            let mut number = 0;
            while confirmed_at.elapsed() < millis(11_000) {
                for addr in &addrs {
                    for key in [kept, revoked] {
                        number += 1;
                        callers.send(ticket(format!("{number:016x}"), *addr, key));
                    }
                }
                thread::sleep(millis(100));
            }
            callers.finish()
        })
    };
    sleep_until(confirmed_at + millis(4_900));
    deployment.gateways[0].kill();
    sleep_until(confirmed_at + millis(5_000));
    if setup.has_trouble {
        deployment.store.set_away(true);
        record.line("the store is away");
    }
    sleep_until(confirmed_at + millis(5_300));
    if setup.has_trouble {
        deployment.store.restore(copy);
        record.line("the store is back, from the copy");
    }
    deployment.gateways[0].restart()?;
    sleep_until(confirmed_at + millis(6_800));
    if setup.has_trouble {
        deployment.store.put("config", "main", &next);
        record.line("the operator has written version 8 again");
    }
    let exchanges = sender.join().map_err(|_| io::Error::other("the sender panicked"))?;
    let runs = deployment.runs();
    let served = exchanges.iter().filter(|exchange| exchange.call.key == kept);
    let served = served.filter(|exchange| exchange.sent_at > confirmed_at + millis(8_000));
    let served: Vec<&Exchange> = served.collect();
    record.tell(&format!("valid key, sent in the last 3 s: {}", statuses(served.into_iter())));
    let mut broken = 0;
    for exchange in exchanges.iter().filter(|exchange| exchange.call.key == revoked) {
        let after = exchange.sent_at.saturating_duration_since(confirmed_at);
        let run = runs.iter().find(|run| run.id() == exchange.call.id);
        if after > REVOKE_TIME
            && let Some(run) = run
        {
            broken += 1;
            let tenant = run.request.header("tenant").unwrap_or("-");
            record.tell(&format!(
                "sent {:.3} s after the confirmation with the key that was taken away, and run by {} {:.3} s after it for {tenant}: {}",
                after.as_secs_f64(),
                run.replica,
                run.at.saturating_duration_since(confirmed_at).as_secs_f64(),
                exchange.call.id
            ));
        }
    }
    record.tell(&format!("CONFIG: {broken} requests with the key that was taken away ran"));
    Ok(broken > 0)
}

/// Replicas preempt streams for 1.8 s while their memory is short, and a gateway gets SIGTERM. With `TROUBLE=0` no stream is
/// preempted.
pub fn silent_streams(setup: &Setup) -> io::Result<bool> {
    const EVENTS: u64 = 24;
    let record = &setup.record;
    let config = config(
        7,
        &format!(
            r#"{{"name":"digest","host":"{HOST}","pathPrefix":"/stream/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":1700,"priority":0,"service":"model-pool","maxAttempts":2,"stages":[],"public":false,"sticky":true,"resumable":true,"gapAimMs":400}}"#
        ),
        r#"{"name":"model-pool","healthPath":"/healthz","maxConnections":610,"protocol":"h1","tls":false}"#,
        r#"{"name":"tenant-0","apiKeys":["key-baling"],"priority":1}"#,
    );
    let zones = ["braila-a", "braila-b", "galati-c"];
    let options = |number: usize| Options {
        id: format!("i-model-{number}"),
        service: "model-pool".to_owned(),
        zone: zones[number % zones.len()].to_owned(),
        slots: 128,
        work: millis(30),
        events: EVENTS,
        event_gap: millis(60),
        preempted_after: 3,
        preempted_for: millis(1_800),
    };
    let replicas: Vec<Options> = (0..6).map(options).collect();
    let mut deployment = Deployment::start(setup, &config, &replicas)?;
    // Versions of replicas have been listed for long.
    thread::sleep(millis(6_000));
    let deadline = millis(10_000);
    let stream = |number: usize, gateway: SocketAddr| Call {
        id: format!("{number:016x}"),
        gateway,
        path: "/stream/contract".to_owned(),
        host: HOST,
        key: "key-baling".to_owned(),
        deadline,
        headers: vec![
            ("Model", "m".to_owned()),
            ("Token-Count", "1460,120".to_owned()),
            ("Prompt-Prefix", format!("5c1e07a2:800,91bd3f06:410,{number:08x}:250")),
        ],
        body: vec![b'x'; 1_500],
    };
    let addr = deployment.gateways[0].addr;
    let mut callers = Callers::new(record);
    for number in 0..4 {
        callers.send(stream(number, addr));
        thread::sleep(millis(100));
    }
    thread::sleep(millis(2_500));
    for replica in &deployment.replicas {
        replica.set_short(setup.has_trouble);
    }
    for number in 4..12 {
        callers.send(stream(number, addr));
        thread::sleep(millis(100));
    }
    let stopped_at = Instant::now();
    deployment.gateways[0].terminate();
    thread::sleep(millis(4_000));
    for replica in &deployment.replicas {
        replica.set_short(false);
    }
    let exchanges = callers.finish();
    while !deployment.gateways[0].has_ended() && stopped_at.elapsed() < GRACE {
        thread::sleep(millis(20));
    }
    record.line(&format!("the gateway ended after {:.1?}", stopped_at.elapsed()));
    let whole = exchanges.iter().filter(|exchange| exchange.answer.is_complete).count();
    if !exchanges[..4].iter().all(|exchange| exchange.answer.is_complete) {
        return Err(io::Error::other("a stream before the disruption was not whole"));
    }
    record.tell(&format!("{whole} of {} streams whole", exchanges.len()));
    let runs = deployment.runs();
    let mut broken = 0;
    for exchange in exchanges.iter().filter(|exchange| !exchange.answer.is_complete) {
        let took = exchange.ended_at - exchange.sent_at;
        let after_stop = exchange.ended_at.saturating_duration_since(stopped_at);
        let of_request: Vec<&Run> =
            runs.iter().filter(|run| run.id() == exchange.call.id).collect();
        // Before the last sixth of the grace period, so that no replica was at work on the request in it.
        let is_counted = exchange.ended_at > stopped_at
            && after_stop < GRACE * 5 / 6
            && took < deadline
            && !of_request.is_empty();
        broken += usize::from(is_counted);
        let events = String::from_utf8_lossy(&exchange.answer.body).matches("\n\n").count();
        let times: Vec<String> = of_request
            .iter()
            .map(|run| format!("{} at {:.3}", run.replica, record.seconds(run.at)))
            .collect();
        record.tell(&format!(
            "{} sent at {:.3}, runs: {}; ended at {:.3}, {:.2} s after SIGTERM, with status {:?} and {events} of {EVENTS} events: {}",
            exchange.call.id,
            record.seconds(exchange.sent_at),
            times.join(", "),
            record.seconds(exchange.ended_at),
            after_stop.as_secs_f64(),
            exchange.answer.status,
            exchange.answer.error
        ));
    }
    record.tell(&format!(
        "LOST: {broken} requests that a replica was at work on ended without a complete answer around the stop"
    ));
    Ok(broken > 0)
}

/// A replica is killed while it writes answers without a length. With `TROUBLE=0` none is killed.
pub fn cut_answers(setup: &Setup) -> io::Result<bool> {
    let record = &setup.record;
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","pathPrefix":"/{name}/","kind":"{kind}","timeoutMs":1200,"targetLatencyMs":150,"priority":2,"service":"cantar","maxAttempts":{attempts},"public":false,"sticky":false,"resumable":false}}"#
        )
    };
    let config = config(
        7,
        &[route("tichet", "non_idempotent", 1), route("stoc", "idempotent", 2)].join(","),
        r#"{"name":"cantar","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}"#,
        r#"{"name":"tenant-0","apiKeys":["key-baling"],"priority":1}"#,
    );
    let deployment = Deployment::start(setup, &config, &[])?;
    let zones = ["braila-a", "braila-b", "galati-c"];
    let start = |number: usize| {
        let (id, zone) = (format!("i-cantar-{number}"), zones[number % zones.len()]);
        Process::start(&id, "cantar", zone, &deployment.store, record)
    };
    let mut replicas: Vec<Process> = (0..4).map(start).collect::<io::Result<_>>()?;
    thread::sleep(millis(2_500));
    let mut callers = Callers::new(record);
    let started = Instant::now();
    let (mut killed_at, mut sent) = (None, 0);
    for number in 0..60_u64 {
        for gateway in &deployment.gateways {
            sent += 1;
            let id = format!("{sent:016x}");
            let path = if number % 2 == 0 { "/tichet/nou" } else { "/stoc/toate" };
            callers.send(Call { path: path.to_owned(), ..ticket(id, gateway.addr, "key-baling") });
        }
        thread::sleep(millis(30));
        if setup.has_trouble && killed_at.is_none() && started.elapsed() > millis(900) {
            killed_at = Some(Instant::now());
            record.line(&format!("{} gets SIGKILL", replicas[0].id));
            replicas[0].kill();
        }
    }
    let exchanges = callers.finish();
    let mut broken = 0;
    let mut served = 0;
    for Exchange { call, ended_at, answer, .. } in &exchanges {
        if answer.status != Some(200) || !answer.is_complete {
            continue;
        }
        let whole = unframed::whole(&call.id);
        if answer.body == whole.as_bytes() {
            served += 1;
            continue;
        }
        broken += 1;
        let seal = crate::http::find(&answer.headers, "replica-seal").unwrap_or("-");
        record.tell(&format!(
            "{} {} at {:.3}: 200, whole, seal {seal}, with {} bytes of the answer's {}",
            call.id,
            call.path,
            record.seconds(*ended_at),
            answer.body.len(),
            whole.len()
        ));
    }
    if served == 0 {
        return Err(io::Error::other("no request was served"));
    }
    record.tell(&format!(
        "MIXED: {broken} answers that broke off reached their callers as whole successes; {served} were whole"
    ));
    Ok(broken > 0)
}
