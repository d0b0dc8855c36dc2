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
///      "description": "Seconds that calls in flight are given when the agent is stopped.",
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
///      "description": "Keys for links; without them links are authenticated by the secret alone.",
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
    ///Seconds that calls in flight are given when the agent is stopped.
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
    ///Keys for links; without them links are authenticated by the secret alone.
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
///      "description": "Seconds that requests in flight are given when the entry is stopped.",
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
///      "description": "Keys for links; without them links are authenticated by the secret alone.",
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
    ///Seconds that requests in flight are given when the entry is stopped.
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
    ///Keys for links; without them links are authenticated by the secret alone.
    #[serde(default)]
    pub tls: ::std::option::Option<TlsFiles>,
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
///      "description": "Its link address.",
///      "type": "string"
///    },
///    "data_centre": {
///      "description": "Its data centre.",
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
    ///Its link address.
    pub address: ::std::string::String,
    ///Its data centre.
    pub data_centre: ::std::string::String,
}
///PEM files for links between processes.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "PEM files for links between processes.",
///  "type": "object",
///  "required": [
///    "ca",
///    "cert",
///    "key"
///  ],
///  "properties": {
///    "ca": {
///      "description": "Certificate that signed those of all processes of the cluster.",
///      "type": "string"
///    },
///    "cert": {
///      "description": "Certificate chain of this process; its name is the cluster's.",
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
    ///Certificate that signed those of all processes of the cluster.
    pub ca: ::std::string::String,
    ///Certificate chain of this process; its name is the cluster's.
    pub cert: ::std::string::String,
    ///Private key of this process.
    pub key: ::std::string::String,
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_nzu64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<::std::num::NonZeroU64>,
        <T as ::std::convert::TryFrom<::std::num::NonZeroU64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(::std::num::NonZeroU64::try_from(V).unwrap()).unwrap()
    }
}
