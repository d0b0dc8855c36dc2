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
///Customer.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Customer.",
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
///      "description": "Weight of the customer in fair scheduling.",
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
    ///Weight of the customer in fair scheduling.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 1>")]
    pub weight: ::std::num::NonZeroU32,
}
///Data centre.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Data centre.",
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
///      "description": "Region in which the data centre lies.",
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
    ///Region in which the data centre lies.
    pub region: ::std::string::String,
}
///Declarations of operators: the merged content of all TOML files in a deployment folder.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "title": "Declarations",
///  "description": "Declarations of operators: the merged content of all TOML files in a deployment folder.",
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
///      "description": "Pools of equivalent targets by name.",
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
    ///Pools of equivalent targets by name.
    pub pool: ::std::collections::BTreeMap<::std::string::String, Pool>,
    pub preset: Presets,
    ///Targets by name.
    pub target: ::std::collections::BTreeMap<::std::string::String, Target>,
}
///Pipeline: stages that run in sequence under one deadline.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Pipeline: stages that run in sequence under one deadline.",
///  "type": "object",
///  "required": [
///    "deadline_ms",
///    "stages"
///  ],
///  "properties": {
///    "deadline_cap_ms": {
///      "description": "Maximum deadline that a caller may specify, in milliseconds.",
///      "default": 60000,
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 1.0
///    },
///    "deadline_ms": {
///      "description": "Deadline of requests that specify none, in milliseconds.",
///      "type": "integer",
///      "format": "uint64",
///      "minimum": 1.0
///    },
///    "max_tokens": {
///      "description": "Maximum number of generated tokens.",
///      "default": 256,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 1.0
///    },
///    "objective": {
///      "description": "Service level objective: fraction of requests that are answered within the deadline.",
///      "default": 0.995,
///      "type": "number",
///      "maximum": 1.0,
///      "minimum": 0.0
///    },
///    "priority": {
///      "description": "Priority that is passed to the engines; a higher value runs first.",
///      "default": 5,
///      "type": "integer",
///      "format": "uint8",
///      "maximum": 9.0,
///      "minimum": 0.0
///    },
///    "stages": {
///      "description": "Stages in the order in which they run.",
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
    ///Maximum deadline that a caller may specify, in milliseconds.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU64, 60000>")]
    pub deadline_cap_ms: ::std::num::NonZeroU64,
    ///Deadline of requests that specify none, in milliseconds.
    pub deadline_ms: ::std::num::NonZeroU64,
    ///Maximum number of generated tokens.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 256>")]
    pub max_tokens: ::std::num::NonZeroU32,
    ///Service level objective: fraction of requests that are answered within the deadline.
    #[serde(default = "defaults::pipeline_objective")]
    pub objective: f64,
    ///Priority that is passed to the engines; a higher value runs first.
    #[serde(default = "defaults::default_u64::<u8, 5>")]
    pub priority: u8,
    ///Stages in the order in which they run.
    pub stages: ::std::vec::Vec<Stage>,
}
///Pool of equivalent targets.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Pool of equivalent targets.",
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
///      "description": "Whether the targets refuse an order with an outdated fencing token.",
///      "default": false,
///      "type": "boolean"
///    },
///    "concurrency": {
///      "description": "Maximum number of concurrent calls on one target.",
///      "default": 16,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 1.0
///    },
///    "idempotent": {
///      "description": "Whether calls are idempotent, so that they may run more than once.",
///      "default": true,
///      "type": "boolean"
///    },
///    "key_shards": {
///      "description": "Number of shards of the idempotency key space; it cannot change once the pool has run.",
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
///      "description": "Time for which the holder of a licence serves its idempotency keys without reaching the platform, in seconds.",
///      "default": 1200,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 2.0
///    },
///    "load_s": {
///      "description": "Time that an engine takes to load a model, in seconds; a quarter of the pool loads at a time.",
///      "default": 30,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 0.0
///    },
///    "model": {
///      "description": "Model and version that the engines of the pool have to load.",
///      "type": "string"
///    },
///    "reports_load": {
///      "description": "Whether the targets report their load.",
///      "default": false,
///      "type": "boolean"
///    },
///    "retention_s": {
///      "description": "Time for which the first response to an idempotency key is stored, in seconds.",
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
    ///Whether the targets refuse an order with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
    ///Maximum number of concurrent calls on one target.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 16>")]
    pub concurrency: ::std::num::NonZeroU32,
    ///Whether calls are idempotent, so that they may run more than once.
    #[serde(default = "defaults::default_bool::<true>")]
    pub idempotent: bool,
    ///Number of shards of the idempotency key space; it cannot change once the pool has run.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU16, 8>")]
    pub key_shards: ::std::num::NonZeroU16,
    pub kind: PoolKind,
    ///Time for which the holder of a licence serves its idempotency keys without reaching the platform, in seconds.
    #[serde(default = "defaults::default_u64::<u32, 1200>")]
    pub licence_term_s: u32,
    ///Time that an engine takes to load a model, in seconds; a quarter of the pool loads at a time.
    #[serde(default = "defaults::default_u64::<u32, 30>")]
    pub load_s: u32,
    ///Model and version that the engines of the pool have to load.
    #[serde(default)]
    pub model: ::std::option::Option<::std::string::String>,
    ///Whether the targets report their load.
    #[serde(default)]
    pub reports_load: bool,
    ///Time for which the first response to an idempotency key is stored, in seconds.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 600>")]
    pub retention_s: ::std::num::NonZeroU32,
    ///Price of one generated token, in millionths of the deployment's currency.
    #[serde(default)]
    pub token_price_micros: u64,
}
///Type of the targets of a pool.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Type of the targets of a pool.",
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
///Preset: values that apply while it is in force.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Preset: values that apply while it is in force.",
///  "type": "object",
///  "properties": {
///    "concurrency_scale": {
///      "description": "Factor by which the concurrency of every pool is multiplied.",
///      "default": 1.0,
///      "type": "number",
///      "maximum": 4.0,
///      "minimum": 0.05
///    },
///    "max_tokens": {
///      "description": "Maximum number of generated tokens; it applies in addition to the limit of the pipeline.",
///      "default": 4096,
///      "type": "integer",
///      "format": "uint32",
///      "minimum": 1.0
///    },
///    "min_priority": {
///      "description": "Minimum priority; requests to pipelines below it are refused.",
///      "default": 0,
///      "type": "integer",
///      "format": "uint8",
///      "maximum": 9.0,
///      "minimum": 0.0
///    },
///    "models": {
///      "description": "Models by pool, which override the models of the pools.",
///      "default": {},
///      "type": "object",
///      "additionalProperties": {
///        "type": "string"
///      }
///    },
///    "retry_share": {
///      "description": "Number of retries allowed per successful attempt.",
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
    ///Factor by which the concurrency of every pool is multiplied.
    #[serde(default = "defaults::preset_concurrency_scale")]
    pub concurrency_scale: f64,
    ///Maximum number of generated tokens; it applies in addition to the limit of the pipeline.
    #[serde(default = "defaults::default_nzu64::<::std::num::NonZeroU32, 4096>")]
    pub max_tokens: ::std::num::NonZeroU32,
    ///Minimum priority; requests to pipelines below it are refused.
    #[serde(default)]
    pub min_priority: u8,
    ///Models by pool, which override the models of the pools.
    #[serde(
        default,
        skip_serializing_if = ":: std :: collections :: BTreeMap::is_empty"
    )]
    pub models: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::string::String,
    >,
    ///Number of retries allowed per successful attempt.
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
///Stage of a pipeline.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Stage of a pipeline.",
///  "type": "object",
///  "required": [
///    "name",
///    "pool"
///  ],
///  "properties": {
///    "idempotent": {
///      "description": "Whether the stage is idempotent, so that it may run more than once; defaults to the setting of its pool.",
///      "type": "boolean"
///    },
///    "name": {
///      "description": "Name of the stage, unique within its pipeline.",
///      "type": "string"
///    },
///    "path": {
///      "description": "HTTP path at the target; defaults to the path for the pool's kind.",
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
    ///Whether the stage is idempotent, so that it may run more than once; defaults to the setting of its pool.
    #[serde(default)]
    pub idempotent: ::std::option::Option<bool>,
    ///Name of the stage, unique within its pipeline.
    pub name: ::std::string::String,
    ///HTTP path at the target; defaults to the path for the pool's kind.
    #[serde(default)]
    pub path: ::std::option::Option<::std::string::String>,
    ///Pool that runs the stage.
    pub pool: ::std::string::String,
}
///Target and the agent beside it.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Target and the agent beside it.",
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
///      "description": "Data centre of the target.",
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
    ///Data centre of the target.
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
