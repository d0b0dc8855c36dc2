//! Streams whose replicas preempt them for a while.

use std::io;
use std::path::Path;
use std::time::Duration;

use crate::caller::{Call, Callers};
use crate::config::{KEYS, REPLY, config};
use crate::replica::Options;
use crate::setup::{Setup, ZONES};

const STREAMS: usize = 6;

pub fn run(folder: &Path, is_disturbed: bool) -> io::Result<bool> {
    let replicas = ["model-0", "model-1"].iter().zip(ZONES);
    let replicas = replicas.map(|(id, zone)| Options::new(id, "model-pool", zone)).collect();
    let setup = Setup::start(folder, &config(1, &[REPLY], &KEYS), replicas, 1)?;
    setup.replicas.iter().for_each(|replica| replica.set_short(is_disturbed));
    setup.gateways[0].hang_up();
    let mut callers = Callers::new(&setup.record);
    for number in 0..STREAMS {
        let id = format!("s{number}");
        let call = Call::new(&id, setup.gateways[0].addr, "/reply/stream/1", Some(KEYS[0]));
        callers.send(Call { deadline: Duration::from_secs(10), ..call });
        std::thread::sleep(Duration::from_millis(50));
    }
    let ended = callers.finish();
    let mut cut = 0;
    for exchange in &ended {
        let answer = &exchange.answer;
        let is_cut = answer.status == Some(200) && !answer.is_complete;
        cut += usize::from(is_cut);
        let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
        let took = (exchange.ended_at - exchange.sent_at).as_secs_f64();
        setup.record.line(&format!(
            "{}: status {:?}, {events} events, whole {}, {took:.1} s",
            exchange.call.id, answer.status, answer.is_complete
        ));
    }
    if ended.iter().any(|exchange| exchange.answer.status != Some(200)) {
        return Err(io::Error::other("a stream did not begin"));
    }
    setup.record.tell(&format!(
        "{cut} of {STREAMS} streams sent just after SIGHUP were cut without a complete answer"
    ));
    Ok(cut == 0)
}
