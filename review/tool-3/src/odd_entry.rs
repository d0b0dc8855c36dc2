//! An entry of another writer whose bytes cannot be read, among those of the replicas, and a replica that leaves afterwards.

use std::time::{Duration, Instant};

use marigold_testbed::gateways::GatewayCluster;
use tokio::time;

use crate::support::{Context, Verdict};

const GATEWAYS: usize = 3;
const REPLICAS: usize = 3;
/// The replica that leaves.
const LEAVING: usize = 0;
/// A gateway that is stopped and started again at the end.
const RESTARTED: usize = 1;
/// Value of the entry: it ends in the middle.
const ODD_BYTES: &[u8] = br#"{"service":"app","address":"127.0.0.1:"#;
/// `drainTimeoutMs`.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Time for which requests are sent after the replica has reported that it leaves, and the pause between them.
const WATCHED: Duration = Duration::from_millis(8_000);
const INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a gateway that starts serves.
const START_TIME: Duration = Duration::from_millis(8_000);

async fn send(
    cx: &Context,
    cluster: &GatewayCluster,
    gateway: usize,
    id: &str,
) -> (Option<u16>, bool) {
    let response = cluster.send_authorized(gateway, "/write/", id).await;
    let is_at_leaving = cluster.replicas[LEAVING].runs().iter().any(|run| run.request == id);
    cx.note(&format!(
        "request {id} to gateway-{gateway}: status {:?}, ran at the leaving replica: {is_at_leaving}",
        response.status
    ));
    (response.status, is_at_leaving)
}

pub async fn run(cx: &Context) -> Verdict {
    let mut cluster = cx.start("review-odd-entry", GATEWAYS, REPLICAS).await;
    // A gateway keeps entries that are removed shortly after its start.
    time::sleep(Duration::from_secs(5)).await;
    for gateway in 0..GATEWAYS {
        if send(cx, &cluster, gateway, &format!("before-{gateway}")).await.0 != Some(200) {
            return Verdict::CouldNotRun;
        }
    }
    if cx.has_trouble {
        cluster.platform.put_raw("servers", "other-1", ODD_BYTES).await;
        cx.note("another writer leaves an entry whose bytes cannot be read");
    }
    time::sleep(Duration::from_secs(1)).await;
    cluster.set_replica_state(LEAVING, "draining").await;
    let confirmed = Instant::now();
    cx.note("confirmed: a replica is draining");
    let (mut sent, mut late, mut at_leaving) = (0, 0, 0);
    while confirmed.elapsed() < WATCHED {
        for gateway in 0..GATEWAYS {
            sent += 1;
            let is_late = confirmed.elapsed() > DRAIN_TIMEOUT;
            let (_, is_at_leaving) = send(cx, &cluster, gateway, &format!("r{sent}")).await;
            late += usize::from(is_late);
            at_leaving += usize::from(is_late && is_at_leaving);
        }
        time::sleep(INTERVAL).await;
    }
    cx.note(&format!(
        "requests sent later than {DRAIN_TIMEOUT:?} after the confirmation: {late}, of which ran at the leaving replica: {at_leaving}"
    ));
    // Not part of the verdict.
    cluster.gateways[RESTARTED].process.signal("TERM");
    cluster.gateways[RESTARTED].process.wait(Duration::from_secs(10));
    cluster.restart(RESTARTED);
    cluster.wait_listening(RESTARTED).await;
    time::sleep(START_TIME).await;
    let (status, _) = send(cx, &cluster, RESTARTED, "restarted").await;
    cx.note(&format!("a gateway that was stopped and started again answers {status:?} {START_TIME:?} after its start"));
    if at_leaving > 0 {
        Verdict::Broken
    } else if status == Some(200) {
        Verdict::Held
    } else {
        Verdict::CouldNotRun
    }
}
