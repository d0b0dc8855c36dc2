//! Tests of many peers that connect at the same time.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use marigold_link::security::Security;
use marigold_link::server::{Handler, ReplySink, Server};
use marigold_schema::messages::Request;

/// Daemons of the largest deployment that the system is designed for.
const PEERS: usize = 330;
/// Time within which a connection is established: shorter than the time after which the opening packet is sent again.
const CONNECT_TIME: Duration = Duration::from_millis(900);

struct NoHandler;

impl Handler for NoHandler {
    async fn handle(&self, _req: Request, _replies: ReplySink) -> marigold_link::Result<()> {
        Ok(())
    }
}

/// Guards against links that are opened a second late when all peers connect while the process is busy.
#[tokio::test(flavor = "current_thread")]
async fn connections_of_a_burst_are_established_at_once() {
    let security = Security::open("one", "the-same-secret-here", None).unwrap();
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = Server::bind(any_port, security, Arc::new(NoHandler)).await.unwrap();
    // The server does not accept before this task yields.
    let connect = |_| TcpStream::connect_timeout(&server.addr(), CONNECT_TIME).ok();
    let streams: Vec<TcpStream> = (0..PEERS).map_while(connect).collect();
    assert_eq!(streams.len(), PEERS);
}
