//! Generated from the JSON Schema of the same name; do not edit.

/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
///Settings of one agent process.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Settings of one agent process.",
///  "type": "object",
///  "required": [
///    "cluster",
///    "data_centre",
///    "link_address",
///    "link_secret",
///    "platform",
///    "pool",
///    "target",
///    "target_url"
///  ],
///  "properties": {
///    "cluster": {
///      "description": "Name of the cluster; links from other clusters are refused.",
///      "type": "string"
///    },
///    "data_centre": {
///      "description": "Data centre of the target.",
///      "type": "string"
///    },
///    "drain_s": {
///      "description": "Time limit for calls in flight when the agent is stopped, in seconds.",
///      "default": 120,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 1.0
///    },
///    "link_address": {
///      "description": "IP address and port for entries.",
///      "type": "string"
///    },
///    "link_secret": {
///      "description": "Secret shared by all processes of the cluster.",
///      "type": "string"
///    },
///    "platform": {
///      "description": "Base URL of the platform's object API.",
///      "type": "string"
///    },
///    "pool": {
///      "description": "Pool of the target.",
///      "type": "string"
///    },
///    "target": {
///      "description": "Name of the target beside this agent.",
///      "type": "string"
///    },
///    "target_url": {
///      "description": "Base URL of the target.",
///      "type": "string"
///    },
///    "tls": {
///      "description": "TLS keys for links; if absent, links are authenticated by the secret alone.",
///      "$ref": "#/definitions/TlsFiles"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    ///Name of the cluster; links from other clusters are refused.
    pub cluster: ::std::string::String,
    ///Data centre of the target.
    pub data_centre: ::std::string::String,
    ///Time limit for calls in flight when the agent is stopped, in seconds.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 120>")]
    pub drain_s: ::std::num::NonZeroU32,
    ///IP address and port for entries.
    pub link_address: ::std::string::String,
    ///Secret shared by all processes of the cluster.
    pub link_secret: ::std::string::String,
    ///Base URL of the platform's object API.
    pub platform: ::std::string::String,
    ///Pool of the target.
    pub pool: ::std::string::String,
    ///Name of the target beside this agent.
    pub target: ::std::string::String,
    ///Base URL of the target.
    pub target_url: ::std::string::String,
    ///TLS keys for links; if absent, links are authenticated by the secret alone.
    #[serde(default)]
    pub tls: ::std::option::Option<TlsFiles>,
}
///Settings of one entry process.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Settings of one entry process.",
///  "type": "object",
///  "required": [
///    "cluster",
///    "data_centre",
///    "http_address",
///    "link_address",
///    "link_secret",
///    "name",
///    "operator_token_sha256",
///    "platform"
///  ],
///  "properties": {
///    "cluster": {
///      "description": "Name of the cluster; links to other clusters are refused.",
///      "type": "string"
///    },
///    "data_centre": {
///      "description": "Data centre of this entry.",
///      "type": "string"
///    },
///    "drain_s": {
///      "description": "Time limit for requests in flight when the entry is stopped, in seconds.",
///      "default": 120,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 1.0
///    },
///    "http_address": {
///      "description": "IP address and port for callers and operators.",
///      "type": "string"
///    },
///    "link_address": {
///      "description": "IP address and port for other processes of the system.",
///      "type": "string"
///    },
///    "link_secret": {
///      "description": "Secret shared by all processes of the cluster.",
///      "type": "string"
///    },
///    "name": {
///      "description": "Name of this entry, unique in the cluster.",
///      "type": "string"
///    },
///    "operator_token_sha256": {
///      "description": "SHA-256 of the operators' bearer token, in lower-case hexadecimal.",
///      "type": "string"
///    },
///    "peers": {
///      "description": "The other entries.",
///      "default": [],
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/PeerSettings"
///      }
///    },
///    "platform": {
///      "description": "Base URL of the platform's object API.",
///      "type": "string"
///    },
///    "tls": {
///      "description": "TLS keys for links; if absent, links are authenticated by the secret alone.",
///      "$ref": "#/definitions/TlsFiles"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    ///Name of the cluster; links to other clusters are refused.
    pub cluster: ::std::string::String,
    ///Data centre of this entry.
    pub data_centre: ::std::string::String,
    ///Time limit for requests in flight when the entry is stopped, in seconds.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 120>")]
    pub drain_s: ::std::num::NonZeroU32,
    ///IP address and port for callers and operators.
    pub http_address: ::std::string::String,
    ///IP address and port for other processes of the system.
    pub link_address: ::std::string::String,
    ///Secret shared by all processes of the cluster.
    pub link_secret: ::std::string::String,
    ///Name of this entry, unique in the cluster.
    pub name: ::std::string::String,
    ///SHA-256 of the operators' bearer token, in lower-case hexadecimal.
    pub operator_token_sha256: ::std::string::String,
    ///The other entries.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub peers: ::std::vec::Vec<PeerSettings>,
    ///Base URL of the platform's object API.
    pub platform: ::std::string::String,
    ///TLS keys for links; if absent, links are authenticated by the secret alone.
    #[serde(default)]
    pub tls: ::std::option::Option<TlsFiles>,
}
///Settings of one gateway process.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Settings of one gateway process.",
///  "type": "object",
///  "required": [
///    "callers_address",
///    "change_bound_ms",
///    "cluster",
///    "data_centre",
///    "lapse_ms",
///    "link_address",
///    "link_secret",
///    "metrics_address",
///    "name",
///    "ready_address",
///    "retry_ratio",
///    "retry_reserve",
///    "retry_window_s",
///    "stop_s",
///    "store",
///    "weight"
///  ],
///  "properties": {
///    "callers_address": {
///      "description": "IP address and port for callers.",
///      "type": "string"
///    },
///    "change_bound_ms": {
///      "description": "Time within which a confirmed change has to be in force, in milliseconds.",
///      "type": "number"
///    },
///    "cluster": {
///      "description": "Name of the cluster; links to other clusters are refused.",
///      "type": "string"
///    },
///    "data_centre": {
///      "description": "Data centre of this gateway.",
///      "type": "string"
///    },
///    "evacuation_ms": {
///      "description": "Time within which the evacuation of a data centre has to be in force, in milliseconds; absent if data centres are not evacuated.",
///      "type": "number"
///    },
///    "first_start": {
///      "description": "Whether the whole system is started for the first time; a gateway that is started later is eligible to own pools only after a delay.",
///      "default": false,
///      "type": "boolean"
///    },
///    "hedge_ratio": {
///      "description": "Maximum number of hedged requests, as a fraction of the requests in a window that may be repeated; zero disables hedging.",
///      "default": 0,
///      "type": "number"
///    },
///    "lapse_ms": {
///      "description": "Time for which a target that was removed from the list while the store was unavailable is still used, in milliseconds.",
///      "type": "number"
///    },
///    "link_address": {
///      "description": "IP address and port for other gateways.",
///      "type": "string"
///    },
///    "link_secret": {
///      "description": "Secret shared by all processes of the cluster.",
///      "type": "string"
///    },
///    "max_open_files": {
///      "description": "Number of file descriptors that the process may open.",
///      "default": 3000,
///      "type": "number"
///    },
///    "memory_mb": {
///      "description": "Memory of the VM that the process may use, in megabytes (10^6 bytes).",
///      "default": 120,
///      "type": "number"
///    },
///    "metrics_address": {
///      "description": "IP address and port that serves the metrics.",
///      "type": "string"
///    },
///    "name": {
///      "description": "Name of this gateway, unique in the cluster.",
///      "type": "string"
///    },
///    "ready_address": {
///      "description": "IP address and port of the readiness check for the load balancer.",
///      "type": "string"
///    },
///    "retry_ratio": {
///      "description": "Maximum number of retries of all gateways together, as a fraction of the requests in a window.",
///      "type": "number"
///    },
///    "retry_reserve": {
///      "description": "Number of retries that all gateways together may make in a window in addition to that fraction.",
///      "type": "number"
///    },
///    "retry_window_s": {
///      "description": "Length of the window for the retry limit, in seconds.",
///      "type": "number"
///    },
///    "revocation_ms": {
///      "description": "Time after which a removed key has to be refused even if the store is unavailable, in milliseconds; absent if there is no such limit.",
///      "type": "number"
///    },
///    "stop_s": {
///      "description": "Time within which the process has to exit after a stop signal, in seconds.",
///      "type": "number"
///    },
///    "store": {
///      "description": "IP address and port of the platform's object store.",
///      "type": "string"
///    },
///    "store_writes_per_s": {
///      "description": "Writes a second that the store takes from all gateways together.",
///      "default": 400,
///      "type": "number"
///    },
///    "target_heartbeat_ms": {
///      "description": "Interval at which targets renew their entries in the store, in milliseconds; an entry expires after three of them.",
///      "default": 1200,
///      "type": "number"
///    },
///    "weight": {
///      "description": "CPU capacity of this process, in cores; gateways with a higher weight own more pools.",
///      "type": "number"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    ///IP address and port for callers.
    pub callers_address: ::std::string::String,
    ///Time within which a confirmed change has to be in force, in milliseconds.
    pub change_bound_ms: f64,
    ///Name of the cluster; links to other clusters are refused.
    pub cluster: ::std::string::String,
    ///Data centre of this gateway.
    pub data_centre: ::std::string::String,
    ///Time within which the evacuation of a data centre has to be in force, in milliseconds; absent if data centres are not evacuated.
    #[serde(default)]
    pub evacuation_ms: ::std::option::Option<f64>,
    ///Whether the whole system is started for the first time; a gateway that is started later is eligible to own pools only after a delay.
    #[serde(default)]
    pub first_start: bool,
    ///Maximum number of hedged requests, as a fraction of the requests in a window that may be repeated; zero disables hedging.
    #[serde(default = "defaults::gateway_settings_hedge_ratio")]
    pub hedge_ratio: f64,
    ///Time for which a target that was removed from the list while the store was unavailable is still used, in milliseconds.
    pub lapse_ms: f64,
    ///IP address and port for other gateways.
    pub link_address: ::std::string::String,
    ///Secret shared by all processes of the cluster.
    pub link_secret: ::std::string::String,
    ///Number of file descriptors that the process may open.
    #[serde(default = "defaults::gateway_settings_max_open_files")]
    pub max_open_files: f64,
    ///Memory of the VM that the process may use, in megabytes (10^6 bytes).
    #[serde(default = "defaults::gateway_settings_memory_mb")]
    pub memory_mb: f64,
    ///IP address and port that serves the metrics.
    pub metrics_address: ::std::string::String,
    ///Name of this gateway, unique in the cluster.
    pub name: ::std::string::String,
    ///IP address and port of the readiness check for the load balancer.
    pub ready_address: ::std::string::String,
    ///Maximum number of retries of all gateways together, as a fraction of the requests in a window.
    pub retry_ratio: f64,
    ///Number of retries that all gateways together may make in a window in addition to that fraction.
    pub retry_reserve: f64,
    ///Length of the window for the retry limit, in seconds.
    pub retry_window_s: f64,
    ///Time after which a removed key has to be refused even if the store is unavailable, in milliseconds; absent if there is no such limit.
    #[serde(default)]
    pub revocation_ms: ::std::option::Option<f64>,
    ///Time within which the process has to exit after a stop signal, in seconds.
    pub stop_s: f64,
    ///IP address and port of the platform's object store.
    pub store: ::std::string::String,
    ///Writes a second that the store takes from all gateways together.
    #[serde(default = "defaults::gateway_settings_store_writes_per_s")]
    pub store_writes_per_s: f64,
    ///Interval at which targets renew their entries in the store, in milliseconds; an entry expires after three of them.
    #[serde(default = "defaults::gateway_settings_target_heartbeat_ms")]
    pub target_heartbeat_ms: f64,
    ///CPU capacity of this process, in cores; gateways with a higher weight own more pools.
    pub weight: f64,
}
///Another entry.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Another entry.",
///  "type": "object",
///  "required": [
///    "address",
///    "data_centre"
///  ],
///  "properties": {
///    "address": {
///      "description": "Link address of the entry.",
///      "type": "string"
///    },
///    "data_centre": {
///      "description": "Data centre of the entry.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    ///Link address of the entry.
    pub address: ::std::string::String,
    ///Data centre of the entry.
    pub data_centre: ::std::string::String,
}
///PEM files for TLS on the links between processes.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "PEM files for TLS on the links between processes.",
///  "type": "object",
///  "required": [
///    "ca",
///    "cert",
///    "key"
///  ],
///  "properties": {
///    "ca": {
///      "description": "CA certificate that signed the certificates of all processes of the cluster.",
///      "type": "string"
///    },
///    "cert": {
///      "description": "Certificate chain of this process, issued for the name of the cluster.",
///      "type": "string"
///    },
///    "key": {
///      "description": "Private key of this process.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct TlsFiles {
    ///CA certificate that signed the certificates of all processes of the cluster.
    pub ca: ::std::string::String,
    ///Certificate chain of this process, issued for the name of the cluster.
    pub cert: ::std::string::String,
    ///Private key of this process.
    pub key: ::std::string::String,
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
    pub(super) fn gateway_settings_hedge_ratio() -> f64 {
        0_f64
    }
    pub(super) fn gateway_settings_max_open_files() -> f64 {
        3000_f64
    }
    pub(super) fn gateway_settings_memory_mb() -> f64 {
        120_f64
    }
    pub(super) fn gateway_settings_store_writes_per_s() -> f64 {
        400_f64
    }
    pub(super) fn gateway_settings_target_heartbeat_ms() -> f64 {
        1200_f64
    }
}
