//! Authentication of links: the cluster's name and secret, and optional TLS keys that are reloaded when they change.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use arc_swap::ArcSwap;
use marigold_schema::settings::TlsFiles;
use rustls_pki_types::pem::PemObject as _;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use subtle::ConstantTimeEq as _;
use tokio::net::TcpStream;
use tokio_rustls::rustls::{
    ClientConfig, RootCertStore, ServerConfig, crypto, server::WebPkiClientVerifier,
};
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::codec::MessageMemory;
use crate::error::{Cause, Error, Result, Step};
use crate::meter::Traffic;

/// Version of the protocol; a peer with another version is refused.
pub const PROTOCOL_VERSION: u32 = 1;
/// Interval at which the key files are checked for changes.
const KEY_CHECK_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum size of the headers of a request or reply, in bytes.
pub(crate) const MAX_HEADER_BYTES: u32 = 8 * 1024;

pub(crate) const CLUSTER_HEADER: &str = "marigold-cluster";
pub(crate) const VERSION_HEADER: &str = "marigold-version";
pub(crate) const SECRET_HEADER: &str = "marigold-secret";

struct TlsConfigs {
    server: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
}

/// Credentials with which a process opens and accepts links.
pub struct Security {
    cluster: String,
    secret: String,
    keys: Option<ArcSwap<TlsConfigs>>,
    /// Byte counters over all links of the process.
    pub traffic: Arc<Traffic>,
    /// Memory for the incomplete messages of all links of the process.
    pub(crate) messages: MessageMemory,
}

impl Security {
    /// Loads the TLS keys, if files are given, and starts a task that reloads them when the files change.
    ///
    /// # Errors
    /// [`Error`] of step [`Step::LoadKeys`] when a file cannot be read or contains no valid key or
    /// certificate.
    pub fn open(cluster: &str, secret: &str, files: Option<TlsFiles>) -> Result<Arc<Security>> {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let loaded = files.as_ref().map(load_keys).transpose().map_err(|cause| Error {
            step: Step::LoadKeys,
            peer: local,
            cause,
        })?;
        let security = Arc::new(Security {
            cluster: cluster.to_owned(),
            secret: secret.to_owned(),
            keys: loaded.map(ArcSwap::from_pointee),
            traffic: Arc::default(),
            messages: MessageMemory::default(),
        });
        if let Some(files) = files {
            tokio::spawn(reload_keys(Arc::downgrade(&security), files));
        }
        Ok(security)
    }

    /// Creates the head of a request, with the headers that authenticate this process.
    pub(crate) fn request_head(&self) -> http::Request<()> {
        http::Request::post("http://link/")
            .header(CLUSTER_HEADER, &self.cluster)
            .header(VERSION_HEADER, PROTOCOL_VERSION)
            .header(SECRET_HEADER, &self.secret)
            .body(())
            .expect("cluster name and link secret are valid header values")
    }

    /// Checks the headers of a peer's request; the error is the reason that is sent to the peer.
    pub(crate) fn verify_headers(
        &self,
        headers: &http::HeaderMap,
    ) -> std::result::Result<(), String> {
        let header = |name: &str| {
            headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        let secret_matches: bool =
            header(SECRET_HEADER).as_bytes().ct_eq(self.secret.as_bytes()).into();
        if !secret_matches {
            return Err("the link secret does not match".to_owned());
        }
        if header(CLUSTER_HEADER) != self.cluster {
            return Err(format!(
                "this is cluster `{}`, not `{}`",
                self.cluster,
                header(CLUSTER_HEADER)
            ));
        }
        if header(VERSION_HEADER) != PROTOCOL_VERSION.to_string() {
            return Err(format!(
                "protocol version {PROTOCOL_VERSION} is spoken here, not {}",
                header(VERSION_HEADER)
            ));
        }
        Ok(())
    }

    pub(crate) fn acceptor(&self) -> Option<TlsAcceptor> {
        self.keys.as_ref().map(|keys| TlsAcceptor::from(keys.load().server.clone()))
    }

    pub(crate) async fn connect_tls(&self, stream: TcpStream) -> io::Result<MaybeTls> {
        let Some(keys) = &self.keys else { return Ok(MaybeTls::Plain(stream)) };
        let name = ServerName::try_from(self.cluster.clone()).map_err(io::Error::other)?;
        let connector = TlsConnector::from(keys.load().client.clone());
        Ok(MaybeTls::Client(Box::new(connector.connect(name, stream).await?)))
    }
}

/// Client connection with or without TLS.
pub(crate) enum MaybeTls {
    Plain(TcpStream),
    Client(Box<tokio_rustls::client::TlsStream<TcpStream>>),
}

fn load_keys(files: &TlsFiles) -> std::result::Result<TlsConfigs, Cause> {
    let pem_error =
        |err: rustls_pki_types::pem::Error| Cause::Io(io::Error::other(err.to_string()));
    let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_file_iter(&files.cert)
        .map_err(pem_error)?
        .collect::<std::result::Result<_, _>>()
        .map_err(pem_error)?;
    let key = PrivateKeyDer::from_pem_file(&files.key).map_err(pem_error)?;
    let mut roots = RootCertStore::empty();
    for root in CertificateDer::pem_file_iter(&files.ca).map_err(pem_error)? {
        roots.add(root.map_err(pem_error)?)?;
    }
    let roots = Arc::new(roots);
    let provider = Arc::new(crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
        .build()
        .map_err(|err| Cause::Io(io::Error::other(err)))?;
    let server = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())?;
    let client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)?;
    Ok(TlsConfigs { server: Arc::new(server), client: Arc::new(client) })
}

fn modification_times(files: &TlsFiles) -> Vec<Option<SystemTime>> {
    let paths = [&files.cert, &files.key, &files.ca].map(PathBuf::from);
    paths.iter().map(|path| path.metadata().and_then(|meta| meta.modified()).ok()).collect()
}

async fn reload_keys(security: std::sync::Weak<Security>, files: TlsFiles) {
    let mut loaded_times = modification_times(&files);
    loop {
        tokio::time::sleep(KEY_CHECK_INTERVAL).await;
        let Some(security) = security.upgrade() else { return };
        let times = modification_times(&files);
        if times == loaded_times {
            continue;
        }
        match (load_keys(&files), &security.keys) {
            (Ok(keys), Some(current)) => {
                current.store(Arc::new(keys));
                loaded_times = times;
                tracing::info!(cert = files.cert, "link keys reloaded");
            }
            (Err(err), _) => {
                tracing::warn!(%err, cert = files.cert, "reloading the link keys failed; keeping the previous ones")
            }
            (Ok(_), None) => return,
        }
    }
}
