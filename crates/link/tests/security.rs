//! Tests of the authentication of links: secret, cluster and TLS keys.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use marigold_link::client::Link;
use marigold_link::error::Cause;
use marigold_link::security::Security;
use marigold_link::server::{Handler, ReplySink, Server};
use marigold_schema::messages::{Pull, Reply, Request};
use marigold_schema::settings::TlsFiles;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Default)]
struct CountingHandler {
    requests: AtomicUsize,
}

impl Handler for CountingHandler {
    async fn handle(&self, _req: Request, mut replies: ReplySink) -> marigold_link::Result<()> {
        self.requests.fetch_add(1, Ordering::SeqCst);
        replies.send(&Reply::Revision(7)).await?;
        replies.finish();
        Ok(())
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn pull() -> Request {
    Request::Pull(Pull { revision: 0 })
}

async fn serve(security: Arc<Security>) -> (Server, Arc<CountingHandler>) {
    let counter = Arc::new(CountingHandler::default());
    (Server::bind(any_port(), security, counter.clone()).await.unwrap(), counter)
}

async fn send_pull(addr: SocketAddr, security: Arc<Security>) -> marigold_link::Result<Reply> {
    Link::open(addr, security).await?.request(&pull(), REPLY_TIMEOUT).await
}

#[tokio::test]
async fn request_same_secret() {
    let security = Security::open("one", "the-same-secret-here", None).unwrap();
    let (server, counter) = serve(security.clone()).await;
    assert!(matches!(send_pull(server.addr(), security).await, Ok(Reply::Revision(7))));
    assert_eq!(counter.requests.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn request_wrong_secret_or_cluster() {
    let (server, counter) =
        serve(Security::open("one", "the-same-secret-here", None).unwrap()).await;
    for (cluster, secret) in [("one", "another-secret-here"), ("two", "the-same-secret-here")] {
        let reply = send_pull(server.addr(), Security::open(cluster, secret, None).unwrap()).await;
        assert!(
            matches!(reply.map_err(|err| err.cause), Err(Cause::Refused(_))),
            "{cluster} {secret}"
        );
    }
    assert_eq!(counter.requests.load(Ordering::SeqCst), 0, "the handler ran for a refused peer");
}

#[tokio::test]
async fn request_without_http2() {
    let (server, counter) =
        serve(Security::open("one", "the-same-secret-here", None).unwrap()).await;
    let mut stream = tokio::net::TcpStream::connect(server.addr()).await.unwrap();
    tokio::io::AsyncWriteExt::write_all(&mut stream, b"GET / HTTP/1.1\r\n\r\n").await.unwrap();
    let mut buf = Vec::new();
    let _ = tokio::time::timeout(
        REPLY_TIMEOUT,
        tokio::io::AsyncReadExt::read_to_end(&mut stream, &mut buf),
    )
    .await;
    assert_eq!(counter.requests.load(Ordering::SeqCst), 0);
    let security = Security::open("one", "the-same-secret-here", None).unwrap();
    assert!(send_pull(server.addr(), security).await.is_ok(), "other peers must still be served");
}

/// Writes a certificate for a cluster, its key and the certificate of a new authority that signed it.
fn write_keys(folder: &Path, cluster: &str) -> TlsFiles {
    std::fs::create_dir_all(folder).unwrap();
    let mut authority = CertificateParams::new(Vec::<String>::new()).unwrap();
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority = CertifiedIssuer::self_signed(authority, KeyPair::generate().unwrap()).unwrap();
    let key = KeyPair::generate().unwrap();
    let cert = CertificateParams::new(vec![cluster.to_owned()])
        .unwrap()
        .signed_by(&key, &authority)
        .unwrap();
    let write = |name: &str, text: String| -> String {
        let path: PathBuf = folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_string_lossy().into_owned()
    };
    TlsFiles {
        cert: write("cert.pem", cert.pem()),
        key: write("key.pem", key.serialize_pem()),
        ca: write("ca.pem", authority.pem()),
    }
}

fn folder(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!("marigold-link-{name}-{}", std::process::id()))
}

#[tokio::test]
async fn request_mutual_tls() {
    let (own_folder, foreign_folder) = (folder("ours"), folder("theirs"));
    let keys = write_keys(&own_folder, "cluster-one");
    let security = Security::open("cluster-one", "the-same-secret-here", Some(keys)).unwrap();
    let (server, counter) = serve(security.clone()).await;
    assert!(matches!(send_pull(server.addr(), security).await, Ok(Reply::Revision(7))));
    // A peer without TLS and a peer with a certificate of another authority are refused.
    let plain = Security::open("cluster-one", "the-same-secret-here", None).unwrap();
    assert!(send_pull(server.addr(), plain).await.is_err());
    let foreign = write_keys(&foreign_folder, "cluster-one");
    let foreign = Security::open("cluster-one", "the-same-secret-here", Some(foreign)).unwrap();
    assert!(send_pull(server.addr(), foreign).await.is_err());
    assert_eq!(
        counter.requests.load(Ordering::SeqCst),
        1,
        "the handler ran for an unauthenticated peer"
    );
    for folder in [own_folder, foreign_folder] {
        std::fs::remove_dir_all(folder).unwrap();
    }
}

#[tokio::test]
async fn keys_reload_without_restart() {
    let path = folder("reload");
    let keys = write_keys(&path, "cluster-one");
    let security = Security::open("cluster-one", "the-same-secret-here", Some(keys)).unwrap();
    let (server, _counter) = serve(security.clone()).await;
    assert!(send_pull(server.addr(), security.clone()).await.is_ok());
    // The files are replaced by keys of a new authority: a client that loads them is accepted once the server has
    // reloaded them too.
    let new_keys = write_keys(&path, "cluster-one");
    let client = Security::open("cluster-one", "the-same-secret-here", Some(new_keys)).unwrap();
    let started = Instant::now();
    while send_pull(server.addr(), client.clone()).await.is_err() {
        assert!(started.elapsed() < Duration::from_secs(20), "the server did not reload its keys");
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    std::fs::remove_dir_all(path).unwrap();
}

#[test]
fn open_missing_key_files() {
    let files =
        TlsFiles { cert: "no.pem".to_owned(), key: "no.pem".to_owned(), ca: "no.pem".to_owned() };
    assert!(Security::open("one", "the-same-secret-here", Some(files)).is_err());
}
