//! Configuration of the stand-ins' HTTP servers.

use std::net::SocketAddr;

use rocket::config::{Config, Shutdown as ShutdownConfig};
use rocket::data::{Limits, ToByteUnit as _};

/// Returns the configuration of a server on an address, without its own signal handlers and logs.
pub fn config(addr: SocketAddr) -> Config {
    Config {
        address: addr.ip(),
        port: addr.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        keep_alive: 30,
        limits: Limits::default().limit("json", 4.mebibytes()).limit("string", 4.mebibytes()),
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: Default::default(),
            grace: 1,
            mercy: 1,
            ..Default::default()
        },
        ..Config::release_default()
    }
}
