//! A TCP relay that drops the bytes of its open connections, closes or delays them, or refuses new ones.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::process;

/// Interval at which a relay that is to listen again tries to bind its address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Directions of a connection in which the relay drops all bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From the client to the server.
    Requests,
    /// From the server to the client.
    Replies,
    /// Both directions.
    Both,
}

#[derive(Default)]
struct Control {
    /// Connections with a lower serial drop the bytes from the client.
    drop_requests_before: AtomicU64,
    /// Connections with a lower serial drop the bytes from the server.
    drop_replies_before: AtomicU64,
    /// Serial of the next connection.
    next_serial: AtomicU64,
    refuses_connections: AtomicBool,
    /// Whether the relay does not listen, so that the kernel refuses connections.
    is_down: watch::Sender<bool>,
    /// Connections with a lower serial are closed.
    close_before: watch::Sender<u64>,
    /// Delay of each chunk read, in milliseconds.
    delay_ms: AtomicU64,
    /// Server of further connections, if it is another one than at the start.
    server: Mutex<Option<SocketAddr>>,
}

/// A relay in front of one server address.
#[derive(Clone)]
pub struct Relay {
    addr: SocketAddr,
    control: Arc<Control>,
}

impl Relay {
    /// Listens on a free loopback address and forwards each connection to `server_addr`.
    pub async fn spawn(server_addr: SocketAddr) -> Relay {
        let listener = process::free_listener();
        listener.set_nonblocking(true).expect("the socket is set to non-blocking mode");
        let listener =
            TcpListener::from_std(listener).expect("the listener is registered with the runtime");
        let addr = listener.local_addr().expect("a bound listener has an address");
        let control = Arc::new(Control::default());
        let shared = control.clone();
        tokio::spawn(async move {
            let mut is_down = shared.is_down.subscribe();
            let mut listener = listener;
            loop {
                tokio::select! {
                    () = accept_forever(&listener, server_addr, &shared) => return,
                    _ = is_down.wait_for(|is_down| *is_down) => {}
                }
                drop(listener);
                let _ = is_down.wait_for(|is_down| !*is_down).await;
                listener = loop {
                    match TcpListener::bind(addr).await {
                        Ok(listener) => break listener,
                        Err(_) => tokio::time::sleep(BIND_RETRY_INTERVAL).await,
                    }
                };
            }
        });
        Relay { addr, control }
    }

    /// Closes all connections and stops to listen, as the host of a server whose process has ended, or listens again.
    pub fn set_down(&self, is_down: bool) {
        self.control.is_down.send_replace(is_down);
        if is_down {
            self.close_connections();
        }
    }

    /// Returns the address for clients.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Drops all further bytes of the open connections, and their end, in a direction; new connections are not affected.
    pub fn blackhole_connections(&self, direction: Direction) {
        let serial = self.control.next_serial.load(Ordering::SeqCst);
        if direction != Direction::Replies {
            self.control.drop_requests_before.store(serial, Ordering::SeqCst);
        }
        if direction != Direction::Requests {
            self.control.drop_replies_before.store(serial, Ordering::SeqCst);
        }
    }

    /// Closes all open connections, also in the middle of a message.
    pub fn close_connections(&self) {
        self.control.close_before.send_replace(self.control.next_serial.load(Ordering::SeqCst));
    }

    /// Sets the delay of each chunk of bytes in either direction.
    pub fn set_delay(&self, delay: Duration) {
        self.control.delay_ms.store(delay.as_millis() as u64, Ordering::SeqCst);
    }

    /// Closes all connections and forwards further ones to `server`, or to the first one again.
    pub fn set_server(&self, server: Option<SocketAddr>) {
        *self.control.server.lock().expect("no panic under the lock") = server;
        self.close_connections();
    }

    /// Starts or ends a partition: its start blackholes the open connections, and new ones are closed while it lasts.
    pub fn set_partitioned(&self, is_partitioned: bool) {
        self.control.refuses_connections.store(is_partitioned, Ordering::SeqCst);
        if is_partitioned {
            self.blackhole_connections(Direction::Both);
        }
    }
}

async fn accept_forever(listener: &TcpListener, server_addr: SocketAddr, control: &Arc<Control>) {
    while let Ok((client, _)) = listener.accept().await {
        if control.refuses_connections.load(Ordering::SeqCst) {
            continue;
        }
        let control = control.clone();
        let server = *control.server.lock().expect("no panic under the lock");
        let server_addr = server.unwrap_or(server_addr);
        tokio::spawn(async move {
            if let Ok(server) = TcpStream::connect(server_addr).await {
                forward(client, server, control);
            }
        });
    }
}

fn forward(client: TcpStream, server: TcpStream, control: Arc<Control>) {
    let serial = control.next_serial.fetch_add(1, Ordering::SeqCst);
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let requests = control.clone();
    let is_dropped = move || serial < requests.drop_requests_before.load(Ordering::SeqCst);
    tokio::spawn(until_closed(
        serial,
        control.clone(),
        forward_bytes(client_read, server_write, control.clone(), is_dropped),
    ));
    let replies = control.clone();
    let is_dropped = move || serial < replies.drop_replies_before.load(Ordering::SeqCst);
    tokio::spawn(until_closed(
        serial,
        control.clone(),
        forward_bytes(server_read, client_write, control, is_dropped),
    ));
}

async fn until_closed(serial: u64, control: Arc<Control>, forwarding: impl Future<Output = ()>) {
    let mut close_before = control.close_before.subscribe();
    tokio::select! {
        () = forwarding => {}
        _ = close_before.wait_for(|before| serial < *before) => {}
    }
}

async fn forward_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    control: Arc<Control>,
    is_dropped: impl Fn() -> bool,
) {
    let mut buf = vec![0; 16 * 1024];
    loop {
        let read = from.read(&mut buf).await.unwrap_or(0);
        if is_dropped() {
            // Keeps the write half open, so that the peer sees neither bytes nor the end of the connection.
            tokio::time::sleep(Duration::from_secs(600)).await;
            return;
        }
        tokio::time::sleep(Duration::from_millis(control.delay_ms.load(Ordering::SeqCst))).await;
        if read == 0 || to.write_all(&buf[..read]).await.is_err() {
            return;
        }
    }
}
