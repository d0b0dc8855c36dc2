//! Tests that allocated addresses are unused.

use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use marigold_testbed::process::{self, Process};

/// Guards against allocated ports that are still in use: a child process holds the sockets of its parent until `exec`.
#[test]
fn free_addr_is_free_while_processes_start() {
    let is_finished = Arc::new(AtomicBool::new(false));
    let log = std::env::temp_dir().join(format!("marigold-free-addr-{}.log", std::process::id()));
    let spawners: Vec<_> = (0..6)
        .map(|_| {
            let (is_finished, log) = (is_finished.clone(), log.clone());
            std::thread::spawn(move || {
                while !is_finished.load(Ordering::SeqCst) {
                    Process::start("true", Path::new("/bin/true"), &[], &log)
                        .wait(std::time::Duration::from_secs(5));
                }
            })
        })
        .collect();
    let in_use: Vec<String> = (0..3_000)
        .map(|_| process::free_addr())
        .filter_map(|addr| TcpListener::bind(addr).err().map(|err| format!("{addr}: {err}")))
        .collect();
    is_finished.store(true, Ordering::SeqCst);
    spawners.into_iter().for_each(|spawner| spawner.join().expect("the spawning thread ends"));
    let _ = std::fs::remove_file(&log);
    assert!(in_use.is_empty(), "{in_use:?}");
}
