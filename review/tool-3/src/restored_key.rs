//! A key that was taken away is accepted by a gateway that starts after a restore of the store.

use std::time::{Duration, Instant};

use marigold_standin::platform::Faults;
use marigold_testbed::gateways::{self, API_KEY, GatewayCluster};
use tokio::time;

use crate::support::{Context, Verdict};

const GATEWAYS: usize = 3;
/// The gateway that is killed and started again.
const RESTARTED: usize = 1;
const REVOKED_KEY: &str = "key-2";
/// `revokeMs`.
const REVOKE: Duration = Duration::from_millis(5_000);
/// From the confirmation of the change to the drill, which is over before `REVOKE`.
const BEFORE_DRILL: Duration = Duration::from_millis(2_800);
/// The store is away for a moment.
const DRILL: Duration = Duration::from_millis(1_000);
/// From the end of the drill until what the operator and the replicas wrote is written again.
const WRITE_AGAIN: Duration = Duration::from_millis(2_000);
/// From the end of the drill until a process is killed.
const BEFORE_KILL: Duration = Duration::from_millis(100);
/// From the kill of a process until it is started again.
const RESTART: Duration = Duration::from_millis(500);
/// Time for which requests with the key are sent after `REVOKE`.
const WATCHED: Duration = Duration::from_millis(4_000);
const INTERVAL: Duration = Duration::from_millis(50);

async fn send(cx: &Context, cluster: &GatewayCluster, gateway: usize, key: &str, id: &str) -> bool {
    let auth = format!("Bearer {key}");
    let headers = [("authorization", auth.as_str())];
    let sent = cx.started.elapsed().as_millis();
    let addr = cluster.gateways[gateway].addr;
    let response = gateways::send(addr, "/write/", id, &headers).await;
    let runs = cluster.run_count(id);
    cx.note(&format!(
        "request {id} sent at {sent} to gateway-{gateway} with {key}: status {:?}, runs {runs}",
        response.status
    ));
    runs > 0
}

pub async fn run(cx: &Context) -> Verdict {
    let mut cluster = cx.start("review-restored-key", GATEWAYS, 2).await;
    cluster.configure(&[API_KEY, REVOKED_KEY]).await;
    time::sleep(Duration::from_secs(4)).await;
    for gateway in 0..GATEWAYS {
        if !send(cx, &cluster, gateway, REVOKED_KEY, &format!("before-{gateway}")).await {
            cx.note("the key does not work before it is taken away");
            return Verdict::CouldNotRun;
        }
    }
    let copy = cluster.platform.store.backup();
    cx.note("the store is copied; the copy has the key");
    cluster.configure(&[API_KEY]).await;
    let confirmed = Instant::now();
    cx.note("confirmed: the configuration without the key");
    time::sleep(BEFORE_DRILL).await;
    if cx.has_trouble {
        cluster.platform.set_faults(Faults { down: true, ..Faults::default() });
        cx.note("drill: the store is away");
    }
    time::sleep(DRILL).await;
    if cx.has_trouble {
        cluster.platform.store.restore(copy);
        cluster.platform.set_faults(Faults::default());
        cx.note("drill: the store is back from the copy, with a new era");
    }
    let back = Instant::now();
    time::sleep(BEFORE_KILL).await;
    if cx.has_trouble {
        cluster.gateways[RESTARTED].process.kill();
        cx.note(&format!("gateway-{RESTARTED} killed"));
        time::sleep(RESTART).await;
        cluster.restart(RESTARTED);
        cx.note(&format!("gateway-{RESTARTED} started again"));
    }
    let mut broken = 0;
    let mut sent = 0;
    let mut is_written_again = false;
    while confirmed.elapsed() < REVOKE + WATCHED {
        if cx.has_trouble && !is_written_again && back.elapsed() >= WRITE_AGAIN {
            cluster.write_again().await;
            cx.note("what the operator and the replicas wrote is written again");
            is_written_again = true;
        }
        if confirmed.elapsed() >= REVOKE {
            for gateway in 0..GATEWAYS {
                sent += 1;
                let id = format!("late-{gateway}-{sent}");
                broken += usize::from(send(cx, &cluster, gateway, REVOKED_KEY, &id).await);
            }
        }
        time::sleep(INTERVAL).await;
    }
    let mut served = 0;
    for gateway in 0..GATEWAYS {
        let id = format!("after-{gateway}");
        served += usize::from(send(cx, &cluster, gateway, API_KEY, &id).await);
    }
    cx.note(&format!(
        "requests sent later than {REVOKE:?} after the confirmation with the key: {sent}, of which ran: {broken}; with the \
         other key at the end {served} of {GATEWAYS} ran"
    ));
    if broken > 0 {
        Verdict::Broken
    } else if served < GATEWAYS {
        Verdict::CouldNotRun
    } else {
        Verdict::Held
    }
}
