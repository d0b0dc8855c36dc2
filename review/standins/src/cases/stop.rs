//! A gateway is stopped while callers have channels on which they have sent nothing yet.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Call, Callers};
use crate::config::{KEYS, REPLY, config};
use crate::replica::Options;
use crate::setup::{Setup, ZONES};

const STREAMS: usize = 6;

pub fn run(folder: &Path, is_disturbed: bool) -> io::Result<bool> {
    let replicas = ["model-0", "model-1"].iter().zip(ZONES);
    let replicas = replicas
        .map(|(id, zone)| Options { events: 60, ..Options::new(id, "model-pool", zone) })
        .collect();
    let setup = Setup::start(folder, &config(1, &[REPLY], &KEYS), replicas, 1)?;
    let stopped = Instant::now();
    if is_disturbed {
        setup.gateways[0].terminate();
    }
    let mut callers = Callers::new(&setup.record);
    thread::sleep(Duration::from_millis(1_700));
    for number in 0..STREAMS {
        let call = Call::new(
            &format!("s{number}"),
            setup.gateways[0].addr,
            "/reply/stream/1",
            Some(KEYS[0]),
        );
        let pause = Duration::from_millis(3_200).saturating_sub(stopped.elapsed());
        callers.send(Call { deadline: Duration::from_secs(10), pause, ..call });
    }
    let ended = callers.finish();
    let runs = setup.runs();
    let mut cut = 0;
    for exchange in &ended {
        let has_run = runs.iter().any(|run| run.id() == exchange.call.id);
        let sent = (exchange.sent_at - stopped).as_secs_f64();
        let end = (exchange.ended_at - stopped).as_secs_f64();
        let is_cut = has_run && !exchange.answer.is_complete;
        cut += usize::from(is_cut);
        setup.record.line(&format!(
            "{}: sent {sent:.2} s after SIGTERM, passed on {has_run}, whole {}, ended at {end:.2} s",
            exchange.call.id, exchange.answer.is_complete
        ));
    }
    setup.record.tell(&format!(
        "{cut} of {STREAMS} requests were passed on and cut without a complete answer"
    ));
    Ok(cut == 0)
}
