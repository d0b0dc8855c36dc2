//! HTTP server of an entry: the APIs of callers and operators, health checks and metrics.

mod callers;
mod guards;
mod health;
mod operators;
pub(crate) mod problem;

use std::net::SocketAddr;
use std::sync::Arc;

use rocket::config::{Config, Shutdown as ShutdownConfig};
use rocket::{Build, Rocket, catchers, routes};

use crate::state::Shared;

/// Seconds for which `rocket` lets open connections finish after the entry has drained.
const CLOSE_GRACE_S: u32 = 2;

/// Returns the HTTP server of an entry, not started yet.
pub(crate) fn rocket(addr: SocketAddr, shared: Arc<Shared>) -> Rocket<Build> {
    let config = Config {
        address: addr.ip(),
        port: addr.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        ident: rocket::config::Ident::none(),
        keep_alive: 30,
        // The process handles signals itself and drains before it shuts this server down.
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: Default::default(),
            grace: CLOSE_GRACE_S,
            mercy: 1,
            ..Default::default()
        },
        ..Config::release_default()
    };
    rocket::custom(config)
        .manage(shared)
        .mount("/", routes![callers::run, health::live, health::ready, health::metrics])
        .mount(
            "/ops/v1",
            routes![
                operators::show_config,
                operators::apply,
                operators::use_preset,
                operators::drain,
                operators::undrain,
                operators::show_status,
                operators::show_cost,
                operators::show_burn,
            ],
        )
        .register("/", catchers![problem::catch])
}
