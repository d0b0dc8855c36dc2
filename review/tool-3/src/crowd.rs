//! A crowd of chunked bodies of legal size, most of which stop just short of their end, on a machine of the grown deployment.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use marigold_testbed::gateways::{API_KEY, GatewayCluster, ROUTE_HOST};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

use crate::support::{Context, Verdict};

/// `limits` of a `front` machine of the deployment.
const MEMORY_MB: u64 = 160;
const OPTIONS: [&str; 4] =
    ["--store-writes-per-s=1200", "--evacuation-ms=", "--memory-mb=160", "--max-open-files=4100"];
/// `maxBodyBytes` of the deployment.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const CALLERS: usize = 2_500;
/// Size of the chunks, and their number in a body.
const CHUNK_BYTES: usize = 1_024;
const CHUNKS: usize = 97;
/// Time for which the crowd stays.
const WATCHED: Duration = Duration::from_secs(12);
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
const ORDINARY_INTERVAL: Duration = Duration::from_millis(500);

/// Returns the resident memory of a process, in bytes.
fn resident_bytes(id: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    Some(line.trim().trim_end_matches("kB").trim().parse::<u64>().ok()? * 1_024)
}

/// Sends a body up to its last chunk, and keeps the connection until the gateway closes it. Every tenth caller ends its body.
async fn call(addr: SocketAddr, number: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let head = format!(
        "POST /write/ HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nAuthorization: Bearer {API_KEY}\r\nAttempt-Id: crowd-{number}\r\n\
         Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "a".repeat(CHUNK_BYTES));
    stream.write_all(head.as_bytes()).await.ok()?;
    for _ in 0..CHUNKS {
        stream.write_all(chunk.as_bytes()).await.ok()?;
        tokio::task::yield_now().await;
    }
    if number.is_multiple_of(10) {
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
    let mut reply = Vec::new();
    while reply.len() < 12 {
        if stream.read_buf(&mut reply).await.ok()? == 0 {
            return None;
        }
    }
    std::str::from_utf8(&reply[9..12]).ok()?.parse().ok()
}

async fn send_ordinary(cx: &Context, cluster: &GatewayCluster, id: &str) -> Option<u16> {
    let response = cluster.send_authorized(0, "/write/", id).await;
    let runs = cluster.run_count(id);
    cx.note(&format!("ordinary request {id}: status {:?}, runs {runs}", response.status));
    response.status
}

pub async fn run(cx: &Context) -> Verdict {
    let mut cluster = cx.start_with("review-crowd", 1, 2, &OPTIONS).await;
    cluster
        .configure_with(&[API_KEY], |config| {
            config["limits"]["maxBodyBytes"] = MAX_BODY_BYTES.into()
        })
        .await;
    time::sleep(Duration::from_secs(3)).await;
    if send_ordinary(cx, &cluster, "before").await != Some(200) {
        return Verdict::CouldNotRun;
    }
    let (id, addr) = (cluster.gateways[0].process.id(), cluster.gateways[0].addr);
    let Some(idle) = resident_bytes(id) else { return Verdict::CouldNotRun };
    cx.note(&format!("resident before the crowd: {idle} bytes"));
    let mut callers = JoinSet::new();
    if cx.has_trouble {
        cx.note(&format!(
            "{CALLERS} callers send chunked bodies of {} bytes",
            CHUNKS * CHUNK_BYTES
        ));
        for number in 0..CALLERS {
            callers.spawn(call(addr, number));
        }
    }
    let (started, mut last_ordinary, mut ordinary) = (Instant::now(), Instant::now(), 0);
    let (mut peak, mut is_killed) = (idle, false);
    while started.elapsed() < WATCHED {
        time::sleep(CHECK_INTERVAL).await;
        let Some(resident) = resident_bytes(id) else {
            cx.note("the gateway has ended by itself");
            return Verdict::Broken;
        };
        peak = peak.max(resident);
        if resident > MEMORY_MB * 1024 * 1024 && !is_killed {
            cx.note(&format!(
                "resident {resident} bytes, above memoryMb {MEMORY_MB}: the platform kills the process"
            ));
            cluster.gateways[0].process.kill();
            is_killed = true;
            break;
        }
        if last_ordinary.elapsed() >= ORDINARY_INTERVAL {
            last_ordinary = Instant::now();
            ordinary += 1;
            // Not awaited for long: the crowd may come first.
            let id = format!("ordinary-{ordinary}");
            let sent =
                time::timeout(Duration::from_secs(2), send_ordinary(cx, &cluster, &id)).await;
            if sent.is_err() {
                cx.note(&format!("ordinary request {id}: no answer within 2 s"));
            }
        }
    }
    callers.shutdown().await;
    cx.note(&format!("peak of the resident memory: {peak} bytes; the limit is {MEMORY_MB} MB"));
    let after = send_ordinary(cx, &cluster, "after").await;
    if is_killed {
        Verdict::Broken
    } else if after == Some(200) {
        Verdict::Held
    } else {
        Verdict::CouldNotRun
    }
}
