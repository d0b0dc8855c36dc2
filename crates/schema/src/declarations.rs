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
///One customer.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One customer.",
///  "type": "object",
///  "required": [
///    "token_sha256"
///  ],
///  "properties": {
///    "token_sha256": {
///      "description": "SHA-256 of the customer's bearer token, in lower-case hexadecimal.",
///      "type": "string"
///    },
///    "weight": {
///      "description": "Weight of the customer's fair share.",
///      "default": 1,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 1.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    ///SHA-256 of the customer's bearer token, in lower-case hexadecimal.
    pub token_sha256: ::std::string::String,
    ///Weight of the customer's fair share.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1>")]
    pub weight: ::std::num::NonZeroU32,
}
///One data centre.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One data centre.",
///  "type": "object",
///  "required": [
///    "region"
///  ],
///  "properties": {
///    "delay_ms": {
///      "description": "One-way network delay to other data centres, in milliseconds.",
///      "default": {},
///      "type": "object",
///      "additionalProperties": {
///        "type": "number",
///        "minimum": 0.0
///      }
///    },
///    "region": {
///      "description": "Region that holds the data centre.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    ///One-way network delay to other data centres, in milliseconds.
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub delay_ms: ::std::collections::BTreeMap<::std::string::String, f64>,
    ///Region that holds the data centre.
    pub region: ::std::string::String,
}
///All that operators declare: the merged content of every TOML file of a deployment folder.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "Declarations",
///  "description": "All that operators declare: the merged content of every TOML file of a deployment folder.",
///  "type": "object",
///  "required": [
///    "customer",
///    "data_centre",
///    "pipeline",
///    "pool",
///    "preset",
///    "target"
///  ],
///  "properties": {
///    "customer": {
///      "description": "Customers by name.",
///      "type": "object",
///      "additionalProperties": {
///        "$ref": "#/definitions/Customer"
///      }
///    },
///    "data_centre": {
///      "description": "Data centres by name.",
///      "type": "object",
///      "additionalProperties": {
///        "$ref": "#/definitions/DataCentre"
///      }
///    },
///    "pipeline": {
///      "description": "Pipelines by name.",
///      "type": "object",
///      "additionalProperties": {
///        "$ref": "#/definitions/Pipeline"
///      }
///    },
///    "pool": {
///      "description": "Pools of like targets by name.",
///      "type": "object",
///      "additionalProperties": {
///        "$ref": "#/definitions/Pool"
///      }
///    },
///    "preset": {
///      "$ref": "#/definitions/Presets"
///    },
///    "target": {
///      "description": "Targets by name.",
///      "type": "object",
///      "additionalProperties": {
///        "$ref": "#/definitions/Target"
///      }
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Declarations {
    ///Customers by name.
    pub customer: ::std::collections::BTreeMap<::std::string::String, Customer>,
    ///Data centres by name.
    pub data_centre: ::std::collections::BTreeMap<::std::string::String, DataCentre>,
    ///Pipelines by name.
    pub pipeline: ::std::collections::BTreeMap<::std::string::String, Pipeline>,
    ///Pools of like targets by name.
    pub pool: ::std::collections::BTreeMap<::std::string::String, Pool>,
    pub preset: Presets,
    ///Targets by name.
    pub target: ::std::collections::BTreeMap<::std::string::String, Target>,
}
///One pipeline: stages that run in order under one deadline.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One pipeline: stages that run in order under one deadline.",
///  "type": "object",
///  "required": [
///    "deadline_ms",
///    "stages"
///  ],
///  "properties": {
///    "deadline_cap_ms": {
///      "description": "Longest deadline a caller may ask for, in milliseconds.",
///      "default": 60000,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 1.0
///    },
///    "deadline_ms": {
///      "description": "Deadline when the caller names none, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 1.0
///    },
///    "max_tokens": {
///      "description": "Tokens generated at the most.",
///      "default": 256,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 1.0
///    },
///    "objective": {
///      "description": "Share of requests to be answered within the deadline.",
///      "default": 0.995,
///      "type": "number",
///      "maximum": 1.0,
///      "minimum": 0.0
///    },
///    "priority": {
///      "description": "Priority passed to the engines; higher goes first.",
///      "default": 5,
///      "type": "integer",
///      "format": "uint8",
///      "maximum": 9.0,
///      "minimum": 0.0
///    },
///    "stages": {
///      "description": "Stages in the order they run.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Stage"
///      },
///      "maxItems": 8,
///      "minItems": 1
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Pipeline {
    ///Longest deadline a caller may ask for, in milliseconds.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 60000>")]
    pub deadline_cap_ms: ::std::num::NonZeroU64,
    ///Deadline when the caller names none, in milliseconds.
    pub deadline_ms: ::std::num::NonZeroU64,
    ///Tokens generated at the most.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 256>")]
    pub max_tokens: ::std::num::NonZeroU32,
    ///Share of requests to be answered within the deadline.
    #[serde(default = "defaults::pipeline_objective")]
    pub objective: f64,
    ///Priority passed to the engines; higher goes first.
    #[serde(default = "defaults::default_u64::<u8, 5>")]
    pub priority: u8,
    ///Stages in the order they run.
    pub stages: ::std::vec::Vec<Stage>,
}
///One pool of like targets.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One pool of like targets.",
///  "type": "object",
///  "required": [
///    "kind"
///  ],
///  "properties": {
///    "call_price_micros": {
///      "description": "Price of one attempt, in millionths of the deployment's currency.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    },
///    "checks_fencing": {
///      "description": "Whether the targets refuse an order with an old fencing number.",
///      "default": false,
///      "type": "boolean"
///    },
///    "concurrency": {
///      "description": "Calls that one target runs at a time.",
///      "default": 16,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 1.0
///    },
///    "idempotent": {
///      "description": "Whether all calls may run more than once.",
///      "default": true,
///      "type": "boolean"
///    },
///    "key_shards": {
///      "description": "Shards of the idempotency key space; fixed once the pool has run.",
///      "default": 8,
///      "type": "integer",
///      "format": "uint16",
///      "maximum": 4096.0,
///      "minimum": 1.0
///    },
///    "kind": {
///      "$ref": "#/definitions/PoolKind"
///    },
///    "licence_term_s": {
///      "description": "Seconds for which the home of idempotency keys serves without reaching the platform.",
///      "default": 1200,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 2.0
///    },
///    "load_s": {
///      "description": "Seconds that an engine takes to load a model; a quarter of the pool loads at a time.",
///      "default": 30,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "model": {
///      "description": "Model and version that the pool's engines are to have loaded.",
///      "type": "string"
///    },
///    "reports_load": {
///      "description": "Whether the targets report their load.",
///      "default": false,
///      "type": "boolean"
///    },
///    "retention_s": {
///      "description": "Seconds for which the first answer to an idempotency key is kept.",
///      "default": 600,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 1.0
///    },
///    "token_price_micros": {
///      "description": "Price of one generated token, in millionths of the deployment's currency.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    ///Price of one attempt, in millionths of the deployment's currency.
    #[serde(default)]
    pub call_price_micros: u64,
    ///Whether the targets refuse an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    ///Calls that one target runs at a time.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 16>")]
    pub concurrency: ::std::num::NonZeroU32,
    ///Whether all calls may run more than once.
    #[serde(default = "defaults::default_bool::<true>")]
    pub idempotent: bool,
    ///Shards of the idempotency key space; fixed once the pool has run.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU16, 8>")]
    pub key_shards: ::std::num::NonZeroU16,
    pub kind: PoolKind,
    ///Seconds for which the home of idempotency keys serves without reaching the platform.
    #[serde(default = "defaults::default_u64::<u32, 1200>")]
    pub licence_term_s: u32,
    ///Seconds that an engine takes to load a model; a quarter of the pool loads at a time.
    #[serde(default = "defaults::default_u64::<u32, 30>")]
    pub load_s: u32,
    ///Model and version that the pool's engines are to have loaded.
    #[serde(default)]
    pub model: ::std::option::Option<::std::string::String>,
    ///Whether the targets report their load.
    #[serde(default)]
    pub reports_load: bool,
    ///Seconds for which the first answer to an idempotency key is kept.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 600>")]
    pub retention_s: ::std::num::NonZeroU32,
    ///Price of one generated token, in millionths of the deployment's currency.
    #[serde(default)]
    pub token_price_micros: u64,
}
///What the targets of a pool run.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What the targets of a pool run.",
///  "type": "string",
///  "enum": [
///    "encoder",
///    "retriever",
///    "reranker",
///    "engine",
///    "service"
///  ]
///}
/// ```
/// </details>
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum PoolKind {
    #[serde(rename = "encoder")]
    Encoder,
    #[serde(rename = "retriever")]
    Retriever,
    #[serde(rename = "reranker")]
    Reranker,
    #[serde(rename = "engine")]
    Engine,
    #[serde(rename = "service")]
    Service,
}
impl ::std::fmt::Display for PoolKind {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Encoder => f.write_str("encoder"),
            Self::Retriever => f.write_str("retriever"),
            Self::Reranker => f.write_str("reranker"),
            Self::Engine => f.write_str("engine"),
            Self::Service => f.write_str("service"),
        }
    }
}
impl ::std::str::FromStr for PoolKind {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "encoder" => Ok(Self::Encoder),
            "retriever" => Ok(Self::Retriever),
            "reranker" => Ok(Self::Reranker),
            "engine" => Ok(Self::Engine),
            "service" => Ok(Self::Service),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PoolKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for PoolKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PoolKind {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///What one preset changes while it is in force.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What one preset changes while it is in force.",
///  "type": "object",
///  "properties": {
///    "concurrency_scale": {
///      "description": "Factor on the concurrency of every pool.",
///      "default": 1.0,
///      "type": "number",
///      "maximum": 4.0,
///      "minimum": 0.05
///    },
///    "max_tokens": {
///      "description": "Tokens generated at the most, whatever the pipeline allows.",
///      "default": 4096,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 1.0
///    },
///    "min_priority": {
///      "description": "Pipelines below this priority are refused.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint8",
///      "maximum": 9.0,
///      "minimum": 0.0
///    },
///    "models": {
///      "description": "Models by pool, in place of the pools' own.",
///      "default": {},
///      "type": "object",
///      "additionalProperties": {
///        "type": "string"
///      }
///    },
///    "retry_share": {
///      "description": "Retries allowed for each successful attempt.",
///      "default": 0.1,
///      "type": "number",
///      "maximum": 1.0,
///      "minimum": 0.0
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Preset {
    ///Factor on the concurrency of every pool.
    #[serde(default = "defaults::preset_concurrency_scale")]
    pub concurrency_scale: f64,
    ///Tokens generated at the most, whatever the pipeline allows.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 4096>")]
    pub max_tokens: ::std::num::NonZeroU32,
    ///Pipelines below this priority are refused.
    #[serde(default)]
    pub min_priority: u8,
    ///Models by pool, in place of the pools' own.
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub models: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >,
    ///Retries allowed for each successful attempt.
    #[serde(default = "defaults::preset_retry_share")]
    pub retry_share: f64,
}
impl ::std::default::Default for Preset {
    fn default() -> Self {
        Self {
            concurrency_scale: defaults::preset_concurrency_scale(),
            max_tokens: defaults::default_nzu64::<::std::num::NonZeroU32, 4096>(),
            min_priority: Default::default(),
            models: Default::default(),
            retry_share: defaults::preset_retry_share(),
        }
    }
}
///The three presets.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The three presets.",
///  "type": "object",
///  "required": [
///    "maintenance",
///    "ordinary",
///    "peak"
///  ],
///  "properties": {
///    "maintenance": {
///      "$ref": "#/definitions/Preset"
///    },
///    "ordinary": {
///      "$ref": "#/definitions/Preset"
///    },
///    "peak": {
///      "$ref": "#/definitions/Preset"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Presets {
    pub maintenance: Preset,
    pub ordinary: Preset,
    pub peak: Preset,
}
///One stage of a pipeline.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One stage of a pipeline.",
///  "type": "object",
///  "required": [
///    "name",
///    "pool"
///  ],
///  "properties": {
///    "idempotent": {
///      "description": "Whether the stage may run more than once; as its pool by default.",
///      "type": "boolean"
///    },
///    "name": {
///      "description": "Name of the stage, unique in its pipeline.",
///      "type": "string"
///    },
///    "path": {
///      "description": "Path at the target; that of the pool's kind by default.",
///      "type": "string"
///    },
///    "pool": {
///      "description": "Pool that runs the stage.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    ///Whether the stage may run more than once; as its pool by default.
    #[serde(default)]
    pub idempotent: ::std::option::Option<bool>,
    ///Name of the stage, unique in its pipeline.
    pub name: ::std::string::String,
    ///Path at the target; that of the pool's kind by default.
    #[serde(default)]
    pub path: ::std::option::Option<::std::string::String>,
    ///Pool that runs the stage.
    pub pool: ::std::string::String,
}
///One target and the agent beside it.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One target and the agent beside it.",
///  "type": "object",
///  "required": [
///    "address",
///    "data_centre",
///    "pool"
///  ],
///  "properties": {
///    "address": {
///      "description": "IP address and port of the agent beside the target.",
///      "type": "string"
///    },
///    "data_centre": {
///      "description": "Data centre that holds the target.",
///      "type": "string"
///    },
///    "pool": {
///      "description": "Pool that the target belongs to.",
///      "type": "string"
///    }
///  },
///  "additionalProperties": false
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Target {
    ///IP address and port of the agent beside the target.
    pub address: ::std::string::String,
    ///Data centre that holds the target.
    pub data_centre: ::std::string::String,
    ///Pool that the target belongs to.
    pub pool: ::std::string::String,
}
/// Generation of default values for serde.
pub mod defaults {
    pub(super) fn default_bool<const V: bool>() -> bool {
        V
    }
    pub(super) fn default_i64<T, const V: i64>() -> T
    where
        T: ::std::convert::TryFrom<i64>,
        <T as ::std::convert::TryFrom<i64>>::Error: ::std::fmt::Debug,
    {
        T::try_from(V).unwrap()
    }
    pub(super) fn default_u64<T, const V: u64>() -> T
    where
        T: ::std::convert::TryFrom<u64>,
        <T as ::std::convert::TryFrom<u64>>::Error: ::std::fmt::Debug,
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
    pub(super) fn pipeline_objective() -> f64 {
        0.995_f64
    }
    pub(super) fn preset_concurrency_scale() -> f64 {
        1.0_f64
    }
    pub(super) fn preset_retry_share() -> f64 {
        0.1_f64
    }
}
