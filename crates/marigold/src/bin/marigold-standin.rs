//! `marigold-standin`: runs a stand-in for an external system as a process of its own.

use std::net::SocketAddr;
use std::process::ExitCode;

use anyhow::Context as _;
use bpaf::Bpaf;
use marigold_standin::{engine, platform, service};

/// Runs a stand-in for an external system
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
enum Options {
    /// The platform's object service
    #[bpaf(command)]
    Platform {
        /// IP address and port to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Delay of changes to the VM list in milliseconds
        #[bpaf(argument("MS"), fallback(2_000), display_fallback)]
        vm_lag_ms: u64,
    },
    /// A model engine
    #[bpaf(command)]
    Engine {
        /// IP address and port to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Duration of a step with an empty batch, in milliseconds
        #[bpaf(argument("MS"), fallback(4.0), display_fallback)]
        step_ms: f64,
        /// Also accept orders with outdated fencing tokens
        no_fencing: bool,
    },
    /// An encoder, a retriever, a reranker or another plain service
    #[bpaf(command)]
    Service {
        /// IP address and port to listen on
        #[bpaf(argument("ADDRESS"))]
        listen: SocketAddr,
        /// Mean duration of a call in milliseconds
        #[bpaf(argument("MS"), fallback(5.0), display_fallback)]
        duration_ms: f64,
        /// Largest number of calls that run at the same time
        #[bpaf(argument("CALLS"), fallback(16), display_fallback)]
        concurrency: usize,
    },
}

#[rocket::main]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("marigold-standin: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> anyhow::Result<()> {
    let _server = match options {
        Options::Platform { listen, vm_lag_ms } => {
            let options = platform::Options { vm_lag_ms, ..Default::default() };
            platform::spawn(listen, options).await.context("the stand-in cannot start")?.0
        }
        Options::Engine { listen, step_ms, no_fencing } => {
            let options =
                engine::Options { step_ms, checks_fencing: !no_fencing, ..Default::default() };
            engine::spawn(listen, options).await.context("the stand-in cannot start")?.0
        }
        Options::Service { listen, duration_ms, concurrency } => {
            let options =
                service::Options { concurrency, duration_ms, seed: u64::from(listen.port()) };
            service::spawn(listen, options).await.context("the stand-in cannot start")?.0
        }
    };
    std::future::pending().await
}
