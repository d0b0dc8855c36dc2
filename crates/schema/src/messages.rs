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
///Tells an agent that the home of a shard cannot be reached.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Tells an agent that the home of a shard cannot be reached.",
///  "type": "object",
///  "required": [
///    "epoch",
///    "shard"
///  ],
///  "properties": {
///    "epoch": {
///      "description": "Last epoch that the sender knows.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "shard": {
///      "type": "integer",
///      "format": "uint16"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AcquireHint {
    ///Last epoch that the sender knows.
    pub epoch: u64,
    pub shard: u16,
}
///One attempt at one stage.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One attempt at one stage.",
///  "type": "object",
///  "required": [
///    "agent_incarnation",
///    "attempt",
///    "body",
///    "deadline_ms",
///    "idempotent",
///    "max_tokens",
///    "path",
///    "priority",
///    "request",
///    "resume_from",
///    "sender",
///    "stage"
///  ],
///  "properties": {
///    "agent_incarnation": {
///      "description": "Incarnation that the call is meant for.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "attempt": {
///      "description": "Unique in the sender's incarnation.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "body": {
///      "description": "JSON text.",
///      "type": "string"
///    },
///    "deadline_ms": {
///      "description": "Time left when the call was sent.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "idempotent": {
///      "type": "boolean"
///    },
///    "key": {
///      "$ref": "#/definitions/KeyRef"
///    },
///    "max_tokens": {
///      "type": "integer",
///      "format": "uint32"
///    },
///    "path": {
///      "description": "Path at the target.",
///      "type": "string"
///    },
///    "priority": {
///      "type": "integer",
///      "format": "uint8"
///    },
///    "request": {
///      "type": "string"
///    },
///    "resume_from": {
///      "description": "First token wanted of a resumed stream.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "sender": {
///      "$ref": "#/definitions/EntryRef"
///    },
///    "stage": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Call {
    ///Incarnation that the call is meant for.
    pub agent_incarnation: u64,
    ///Unique in the sender's incarnation.
    pub attempt: u64,
    ///JSON text.
    pub body: ::std::string::String,
    ///Time left when the call was sent.
    pub deadline_ms: u64,
    pub idempotent: bool,
    #[serde(default)]
    pub key: ::std::option::Option<KeyRef>,
    pub max_tokens: u32,
    ///Path at the target.
    pub path: ::std::string::String,
    pub priority: u8,
    pub request: ::std::string::String,
    ///First token wanted of a resumed stream.
    pub resume_from: u32,
    pub sender: EntryRef,
    pub stage: ::std::string::String,
}
///One event of an attempt, in the reply stream of a call.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One event of an attempt, in the reply stream of a call.",
///  "oneOf": [
///    {
///      "type": "object",
///      "required": [
///        "started"
///      ],
///      "properties": {
///        "started": {
///          "description": "Attempt that was taken in.",
///          "type": "integer",
///          "format": "uint64"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "token"
///      ],
///      "properties": {
///        "token": {
///          "$ref": "#/definitions/Token"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "progress"
///      ],
///      "properties": {
///        "progress": {
///          "description": "Attempt that is still running.",
///          "type": "integer",
///          "format": "uint64"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "done"
///      ],
///      "properties": {
///        "done": {
///          "$ref": "#/definitions/Done"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "not_run"
///      ],
///      "properties": {
///        "not_run": {
///          "$ref": "#/definitions/NotRun"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "unknown"
///      ],
///      "properties": {
///        "unknown": {
///          "description": "Why it cannot be told whether the attempt ran.",
///          "type": "string"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "key_mismatch"
///      ],
///      "properties": {
///        "key_mismatch": {
///          "description": "Attempt whose key was used before with another body.",
///          "type": "integer",
///          "format": "uint64"
///        }
///      },
///      "additionalProperties": false
///    }
///  ]
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum CallEvent {
    #[serde(rename = "started")]
    Started(u64),
    #[serde(rename = "token")]
    Token(Token),
    #[serde(rename = "progress")]
    Progress(u64),
    #[serde(rename = "done")]
    Done(Done),
    #[serde(rename = "not_run")]
    NotRun(NotRun),
    #[serde(rename = "unknown")]
    Unknown(::std::string::String),
    #[serde(rename = "key_mismatch")]
    KeyMismatch(u64),
}
impl ::std::convert::From<Token> for CallEvent {
    fn from(value: Token) -> Self {
        Self::Token(value)
    }
}
impl ::std::convert::From<Done> for CallEvent {
    fn from(value: Done) -> Self {
        Self::Done(value)
    }
}
impl ::std::convert::From<NotRun> for CallEvent {
    fn from(value: NotRun) -> Self {
        Self::NotRun(value)
    }
}
///Cancels an attempt whose caller went away.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Cancels an attempt whose caller went away.",
///  "type": "object",
///  "required": [
///    "attempt",
///    "sender"
///  ],
///  "properties": {
///    "attempt": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "sender": {
///      "$ref": "#/definitions/EntryRef"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Cancel {
    pub attempt: u64,
    pub sender: EntryRef,
}
///One changed item of the configuration.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One changed item of the configuration.",
///  "type": "object",
///  "required": [
///    "key",
///    "revision"
///  ],
///  "properties": {
///    "key": {
///      "description": "Kind and name, such as customer/acme.",
///      "type": "string"
///    },
///    "revision": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "value": {
///      "description": "JSON text; none when the item was removed.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Change {
    ///Kind and name, such as customer/acme.
    pub key: ::std::string::String,
    pub revision: u64,
    ///JSON text; none when the item was removed.
    #[serde(default)]
    pub value: ::std::option::Option<::std::string::String>,
}
///A configuration as it lies in the store.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A configuration as it lies in the store.",
///  "type": "object",
///  "required": [
///    "revision",
///    "text"
///  ],
///  "properties": {
///    "revision": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "text": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ConfigText {
    pub revision: u64,
    pub text: ::std::string::String,
}
///All changes after one revision and up to another.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "All changes after one revision and up to another.",
///  "type": "object",
///  "required": [
///    "as_of_ms",
///    "changes",
///    "from",
///    "relay",
///    "to"
///  ],
///  "properties": {
///    "as_of_ms": {
///      "description": "Age of the sender's last confirmation from the platform.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "changes": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Change"
///      }
///    },
///    "from": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "relay": {
///      "description": "Whether the receiver passes the changes on in its data centre.",
///      "type": "boolean"
///    },
///    "to": {
///      "type": "integer",
///      "format": "uint64"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Delta {
    ///Age of the sender's last confirmation from the platform.
    pub as_of_ms: u64,
    pub changes: ::std::vec::Vec<Change>,
    pub from: u64,
    ///Whether the receiver passes the changes on in its data centre.
    pub relay: bool,
    pub to: u64,
}
///The target's whole answer.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The target's whole answer.",
///  "type": "object",
///  "required": [
///    "body",
///    "replayed",
///    "status",
///    "tokens"
///  ],
///  "properties": {
///    "body": {
///      "type": "string"
///    },
///    "replayed": {
///      "description": "Whether the answer was kept from an earlier attempt of the same key.",
///      "type": "boolean"
///    },
///    "status": {
///      "description": "HTTP status of the target.",
///      "type": "integer",
///      "format": "uint16"
///    },
///    "tokens": {
///      "description": "Tokens generated by this attempt.",
///      "type": "integer",
///      "format": "uint32"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Done {
    pub body: ::std::string::String,
    ///Whether the answer was kept from an earlier attempt of the same key.
    pub replayed: bool,
    ///HTTP status of the target.
    pub status: u16,
    ///Tokens generated by this attempt.
    pub tokens: u32,
}
///One incarnation of an entry and where to reach it.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One incarnation of an entry and where to reach it.",
///  "type": "object",
///  "required": [
///    "address",
///    "incarnation",
///    "name"
///  ],
///  "properties": {
///    "address": {
///      "description": "Link address.",
///      "type": "string"
///    },
///    "incarnation": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "name": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EntryRef {
    ///Link address.
    pub address: ::std::string::String,
    pub incarnation: u64,
    pub name: ::std::string::String,
}
///A keyed call passed on to an entry that is enrolled with the key's home.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A keyed call passed on to an entry that is enrolled with the key's home.",
///  "type": "object",
///  "required": [
///    "call",
///    "pool",
///    "shard"
///  ],
///  "properties": {
///    "call": {
///      "$ref": "#/definitions/Call"
///    },
///    "pool": {
///      "type": "string"
///    },
///    "shard": {
///      "type": "integer",
///      "format": "uint16"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Forward {
    pub call: Call,
    pub pool: ::std::string::String,
    pub shard: u16,
}
///One gateway, as it registers itself in the store.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One gateway, as it registers itself in the store.",
///  "type": "object",
///  "required": [
///    "address",
///    "incarnation",
///    "weight"
///  ],
///  "properties": {
///    "address": {
///      "description": "Link address.",
///      "type": "string"
///    },
///    "incarnation": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "settled": {
///      "description": "Whether the gateway takes on work for others: it started with the whole system, or long ago.",
///      "default": false,
///      "type": "boolean"
///    },
///    "weight": {
///      "description": "Processor time that the gateway may use, in cores.",
///      "type": "number"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GatewayEntry {
    ///Link address.
    pub address: ::std::string::String,
    pub incarnation: u64,
    ///Whether the gateway takes on work for others: it started with the whole system, or long ago.
    #[serde(default)]
    pub settled: bool,
    ///Processor time that the gateway may use, in cores.
    pub weight: f64,
}
///What a gateway knows of the configuration, and whether it takes part.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What a gateway knows of the configuration, and whether it takes part.",
///  "type": "object",
///  "required": [
///    "entry",
///    "leaving",
///    "name",
///    "revision"
///  ],
///  "properties": {
///    "entry": {
///      "description": "The gateway's entry, for peers that have not read it in the store; whether it is settled is as of now.",
///      "$ref": "#/definitions/GatewayEntry"
///    },
///    "leaving": {
///      "description": "Whether the gateway is being stopped.",
///      "type": "boolean"
///    },
///    "name": {
///      "type": "string"
///    },
///    "proof_age_ms": {
///      "description": "Age of the proof that no newer configuration existed; none without one.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "revision": {
///      "description": "The store's revision of the configuration in force; zero before the first.",
///      "type": "integer",
///      "format": "uint64"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GatewayFacts {
    ///The gateway's entry, for peers that have not read it in the store; whether it is settled is as of now.
    pub entry: GatewayEntry,
    ///Whether the gateway is being stopped.
    pub leaving: bool,
    pub name: ::std::string::String,
    ///Age of the proof that no newer configuration existed; none without one.
    #[serde(default)]
    pub proof_age_ms: ::std::option::Option<u64>,
    ///The store's revision of the configuration in force; zero before the first.
    pub revision: u64,
}
///Sent by an entry on each of its links to agents.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Sent by an entry on each of its links to agents.",
///  "type": "object",
///  "required": [
///    "revision",
///    "sender"
///  ],
///  "properties": {
///    "revision": {
///      "description": "Revision in force at the sender.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "sender": {
///      "$ref": "#/definitions/EntryRef"
///    },
///    "slice": {
///      "description": "Sent when the agent's part of the configuration changed.",
///      "$ref": "#/definitions/PoolSlice"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Heartbeat {
    ///Revision in force at the sender.
    pub revision: u64,
    pub sender: EntryRef,
    ///Sent when the agent's part of the configuration changed.
    #[serde(default)]
    pub slice: ::std::option::Option<PoolSlice>,
}
///An idempotency key as seen by its home.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An idempotency key as seen by its home.",
///  "type": "object",
///  "required": [
///    "body_digest",
///    "digest",
///    "epoch",
///    "shard"
///  ],
///  "properties": {
///    "body_digest": {
///      "description": "Digest of the caller's body.",
///      "type": "string"
///    },
///    "digest": {
///      "description": "Digest of customer, pipeline, stage and key.",
///      "type": "string"
///    },
///    "epoch": {
///      "description": "Licence epoch under which the call is sent.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "shard": {
///      "type": "integer",
///      "format": "uint16"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KeyRef {
    ///Digest of the caller's body.
    pub body_digest: ::std::string::String,
    ///Digest of customer, pipeline, stage and key.
    pub digest: ::std::string::String,
    ///Licence epoch under which the call is sent.
    pub epoch: u64,
    pub shard: u16,
}
///The attempt did not run and never will.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The attempt did not run and never will.",
///  "type": "object",
///  "required": [
///    "cause",
///    "retry_after_ms"
///  ],
///  "properties": {
///    "cause": {
///      "$ref": "#/definitions/NotRunCause"
///    },
///    "retry_after_ms": {
///      "type": "integer",
///      "format": "uint64"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct NotRun {
    pub cause: NotRunCause,
    pub retry_after_ms: u64,
}
///Why an attempt did not run.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Why an attempt did not run.",
///  "type": "string",
///  "enum": [
///    "stale_incarnation",
///    "leaving",
///    "overloaded",
///    "no_licence",
///    "not_enrolled",
///    "fenced",
///    "target_refused",
///    "ledger_full"
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
pub enum NotRunCause {
    #[serde(rename = "stale_incarnation")]
    StaleIncarnation,
    #[serde(rename = "leaving")]
    Leaving,
    #[serde(rename = "overloaded")]
    Overloaded,
    #[serde(rename = "no_licence")]
    NoLicence,
    #[serde(rename = "not_enrolled")]
    NotEnrolled,
    #[serde(rename = "fenced")]
    Fenced,
    #[serde(rename = "target_refused")]
    TargetRefused,
    #[serde(rename = "ledger_full")]
    LedgerFull,
}
impl ::std::fmt::Display for NotRunCause {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::StaleIncarnation => f.write_str("stale_incarnation"),
            Self::Leaving => f.write_str("leaving"),
            Self::Overloaded => f.write_str("overloaded"),
            Self::NoLicence => f.write_str("no_licence"),
            Self::NotEnrolled => f.write_str("not_enrolled"),
            Self::Fenced => f.write_str("fenced"),
            Self::TargetRefused => f.write_str("target_refused"),
            Self::LedgerFull => f.write_str("ledger_full"),
        }
    }
}
impl ::std::str::FromStr for NotRunCause {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "stale_incarnation" => Ok(Self::StaleIncarnation),
            "leaving" => Ok(Self::Leaving),
            "overloaded" => Ok(Self::Overloaded),
            "no_licence" => Ok(Self::NoLicence),
            "not_enrolled" => Ok(Self::NotEnrolled),
            "fenced" => Ok(Self::Fenced),
            "target_refused" => Ok(Self::TargetRefused),
            "ledger_full" => Ok(Self::LedgerFull),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for NotRunCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for NotRunCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for NotRunCause {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Why a piece has no result.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Why a piece has no result.",
///  "type": "string",
///  "enum": [
///    "late",
///    "input_gone",
///    "failed",
///    "overloaded"
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
pub enum PieceFailure {
    #[serde(rename = "late")]
    Late,
    #[serde(rename = "input_gone")]
    InputGone,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "overloaded")]
    Overloaded,
}
impl ::std::fmt::Display for PieceFailure {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Late => f.write_str("late"),
            Self::InputGone => f.write_str("input_gone"),
            Self::Failed => f.write_str("failed"),
            Self::Overloaded => f.write_str("overloaded"),
        }
    }
}
impl ::std::str::FromStr for PieceFailure {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "late" => Ok(Self::Late),
            "input_gone" => Ok(Self::InputGone),
            "failed" => Ok(Self::Failed),
            "overloaded" => Ok(Self::Overloaded),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for PieceFailure {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for PieceFailure {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for PieceFailure {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///The part of the configuration that an agent needs.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The part of the configuration that an agent needs.",
///  "type": "object",
///  "required": [
///    "concurrency",
///    "engine",
///    "idempotent",
///    "key_shards",
///    "licence_term_s",
///    "load_s",
///    "pool",
///    "preset",
///    "reports_load",
///    "retention_s",
///    "revision",
///    "targets"
///  ],
///  "properties": {
///    "concurrency": {
///      "description": "Calls at a time, scaled by the preset in force.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "engine": {
///      "description": "Whether the target streams tokens.",
///      "type": "boolean"
///    },
///    "idempotent": {
///      "type": "boolean"
///    },
///    "key_shards": {
///      "type": "integer",
///      "format": "uint16"
///    },
///    "licence_term_s": {
///      "type": "integer",
///      "format": "uint32"
///    },
///    "load_s": {
///      "type": "integer",
///      "format": "uint32"
///    },
///    "model": {
///      "description": "Model that the target is to have loaded.",
///      "type": "string"
///    },
///    "pool": {
///      "type": "string"
///    },
///    "preset": {
///      "description": "Name of the preset in force.",
///      "type": "string"
///    },
///    "reports_load": {
///      "type": "boolean"
///    },
///    "retention_s": {
///      "type": "integer",
///      "format": "uint32"
///    },
///    "revision": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "targets": {
///      "description": "Names of the pool's declared targets.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct PoolSlice {
    ///Calls at a time, scaled by the preset in force.
    pub concurrency: u32,
    ///Whether the target streams tokens.
    pub engine: bool,
    pub idempotent: bool,
    pub key_shards: u16,
    pub licence_term_s: u32,
    pub load_s: u32,
    ///Model that the target is to have loaded.
    #[serde(default)]
    pub model: ::std::option::Option<::std::string::String>,
    pub pool: ::std::string::String,
    ///Name of the preset in force.
    pub preset: ::std::string::String,
    pub reports_load: bool,
    pub retention_s: u32,
    pub revision: u64,
    ///Names of the pool's declared targets.
    pub targets: ::std::vec::Vec<::std::string::String>,
}
///Asks a peer for all that is newer than a revision.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks a peer for all that is newer than a revision.",
///  "type": "object",
///  "required": [
///    "revision"
///  ],
///  "properties": {
///    "revision": {
///      "type": "integer",
///      "format": "uint64"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Pull {
    pub revision: u64,
}
///Tells an entry of keys that may have run under a shard.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Tells an entry of keys that may have run under a shard.",
///  "type": "object",
///  "required": [
///    "entry_incarnation",
///    "keys",
///    "pool",
///    "shard"
///  ],
///  "properties": {
///    "entry_incarnation": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "keys": {
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "pool": {
///      "type": "string"
///    },
///    "shard": {
///      "type": "integer",
///      "format": "uint16"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReplicateKeys {
    pub entry_incarnation: u64,
    pub keys: ::std::vec::Vec<::std::string::String>,
    pub pool: ::std::string::String,
    pub shard: u16,
}
///One frame of the reply to a request.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One frame of the reply to a request.",
///  "oneOf": [
///    {
///      "type": "object",
///      "required": [
///        "report"
///      ],
///      "properties": {
///        "report": {
///          "$ref": "#/definitions/Report"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "event"
///      ],
///      "properties": {
///        "event": {
///          "$ref": "#/definitions/CallEvent"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "taught"
///      ],
///      "properties": {
///        "taught": {
///          "$ref": "#/definitions/Taught"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "revision"
///      ],
///      "properties": {
///        "revision": {
///          "description": "Revision in force at the peer.",
///          "type": "integer",
///          "format": "uint64"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "delta"
///      ],
///      "properties": {
///        "delta": {
///          "$ref": "#/definitions/Delta"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "accepted"
///      ],
///      "properties": {
///        "accepted": {
///          "description": "Whether the request was carried out.",
///          "type": "boolean"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "queued"
///      ],
///      "properties": {
///        "queued": {
///          "description": "Sign of life while a stage is run: pieces that wait.",
///          "type": "integer",
///          "format": "uint64"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "stage_done"
///      ],
///      "properties": {
///        "stage_done": {
///          "$ref": "#/definitions/StageDone"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "facts"
///      ],
///      "properties": {
///        "facts": {
///          "$ref": "#/definitions/GatewayFacts"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "config"
///      ],
///      "properties": {
///        "config": {
///          "$ref": "#/definitions/ConfigText"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "refused"
///      ],
///      "properties": {
///        "refused": {
///          "description": "Why the request was refused.",
///          "type": "string"
///        }
///      },
///      "additionalProperties": false
///    }
///  ]
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum Reply {
    #[serde(rename = "report")]
    Report(Report),
    #[serde(rename = "event")]
    Event(CallEvent),
    #[serde(rename = "taught")]
    Taught(Taught),
    #[serde(rename = "revision")]
    Revision(u64),
    #[serde(rename = "delta")]
    Delta(Delta),
    #[serde(rename = "accepted")]
    Accepted(bool),
    #[serde(rename = "queued")]
    Queued(u64),
    #[serde(rename = "stage_done")]
    StageDone(StageDone),
    #[serde(rename = "facts")]
    Facts(GatewayFacts),
    #[serde(rename = "config")]
    Config(ConfigText),
    #[serde(rename = "refused")]
    Refused(::std::string::String),
}
impl ::std::convert::From<Report> for Reply {
    fn from(value: Report) -> Self {
        Self::Report(value)
    }
}
impl ::std::convert::From<CallEvent> for Reply {
    fn from(value: CallEvent) -> Self {
        Self::Event(value)
    }
}
impl ::std::convert::From<Taught> for Reply {
    fn from(value: Taught) -> Self {
        Self::Taught(value)
    }
}
impl ::std::convert::From<Delta> for Reply {
    fn from(value: Delta) -> Self {
        Self::Delta(value)
    }
}
impl ::std::convert::From<bool> for Reply {
    fn from(value: bool) -> Self {
        Self::Accepted(value)
    }
}
impl ::std::convert::From<StageDone> for Reply {
    fn from(value: StageDone) -> Self {
        Self::StageDone(value)
    }
}
impl ::std::convert::From<GatewayFacts> for Reply {
    fn from(value: GatewayFacts) -> Self {
        Self::Facts(value)
    }
}
impl ::std::convert::From<ConfigText> for Reply {
    fn from(value: ConfigText) -> Self {
        Self::Config(value)
    }
}
///An agent's answer to a heartbeat.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "An agent's answer to a heartbeat.",
///  "type": "object",
///  "required": [
///    "heartbeat_ms",
///    "in_flight",
///    "incarnation",
///    "leaving",
///    "licences",
///    "queued",
///    "revision",
///    "slice_revision",
///    "target"
///  ],
///  "properties": {
///    "heartbeat_ms": {
///      "description": "Time until the next heartbeat is wanted.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "in_flight": {
///      "type": "integer",
///      "format": "uint32"
///    },
///    "incarnation": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "leaving": {
///      "type": "boolean"
///    },
///    "licences": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/ShardLicence"
///      }
///    },
///    "queued": {
///      "description": "Queue length that the target last reported.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "revision": {
///      "description": "Revision in force at the agent.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "slice_revision": {
///      "description": "Revision at which its part of the configuration last changed.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "target": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Report {
    ///Time until the next heartbeat is wanted.
    pub heartbeat_ms: u32,
    pub in_flight: u32,
    pub incarnation: u64,
    pub leaving: bool,
    pub licences: ::std::vec::Vec<ShardLicence>,
    ///Queue length that the target last reported.
    pub queued: u32,
    ///Revision in force at the agent.
    pub revision: u64,
    ///Revision at which its part of the configuration last changed.
    pub slice_revision: u64,
    pub target: ::std::string::String,
}
///A request on a link.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A request on a link.",
///  "oneOf": [
///    {
///      "type": "object",
///      "required": [
///        "heartbeat"
///      ],
///      "properties": {
///        "heartbeat": {
///          "$ref": "#/definitions/Heartbeat"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "call"
///      ],
///      "properties": {
///        "call": {
///          "$ref": "#/definitions/Call"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "settle"
///      ],
///      "properties": {
///        "settle": {
///          "$ref": "#/definitions/Settle"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "cancel"
///      ],
///      "properties": {
///        "cancel": {
///          "$ref": "#/definitions/Cancel"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "seal"
///      ],
///      "properties": {
///        "seal": {
///          "$ref": "#/definitions/Seal"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "tell"
///      ],
///      "properties": {
///        "tell": {
///          "$ref": "#/definitions/ReplicateKeys"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "take_hint"
///      ],
///      "properties": {
///        "take_hint": {
///          "$ref": "#/definitions/AcquireHint"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "push"
///      ],
///      "properties": {
///        "push": {
///          "$ref": "#/definitions/Delta"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "pull"
///      ],
///      "properties": {
///        "pull": {
///          "$ref": "#/definitions/Pull"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "forward"
///      ],
///      "properties": {
///        "forward": {
///          "$ref": "#/definitions/Forward"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "run_stage"
///      ],
///      "properties": {
///        "run_stage": {
///          "$ref": "#/definitions/RunStage"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "release"
///      ],
///      "properties": {
///        "release": {
///          "$ref": "#/definitions/StageRelease"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "facts"
///      ],
///      "properties": {
///        "facts": {
///          "$ref": "#/definitions/GatewayFacts"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "read_config"
///      ],
///      "properties": {
///        "read_config": {
///          "description": "Asks for the configuration, newer than a revision of the store.",
///          "type": "integer",
///          "format": "uint64"
///        }
///      },
///      "additionalProperties": false
///    }
///  ]
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub enum Request {
    #[serde(rename = "heartbeat")]
    Heartbeat(Heartbeat),
    #[serde(rename = "call")]
    Call(Call),
    #[serde(rename = "settle")]
    Settle(Settle),
    #[serde(rename = "cancel")]
    Cancel(Cancel),
    #[serde(rename = "seal")]
    Seal(Seal),
    #[serde(rename = "tell")]
    Tell(ReplicateKeys),
    #[serde(rename = "take_hint")]
    TakeHint(AcquireHint),
    #[serde(rename = "push")]
    Push(Delta),
    #[serde(rename = "pull")]
    Pull(Pull),
    #[serde(rename = "forward")]
    Forward(Forward),
    #[serde(rename = "run_stage")]
    RunStage(RunStage),
    #[serde(rename = "release")]
    Release(StageRelease),
    #[serde(rename = "facts")]
    Facts(GatewayFacts),
    #[serde(rename = "read_config")]
    ReadConfig(u64),
}
impl ::std::convert::From<Heartbeat> for Request {
    fn from(value: Heartbeat) -> Self {
        Self::Heartbeat(value)
    }
}
impl ::std::convert::From<Call> for Request {
    fn from(value: Call) -> Self {
        Self::Call(value)
    }
}
impl ::std::convert::From<Settle> for Request {
    fn from(value: Settle) -> Self {
        Self::Settle(value)
    }
}
impl ::std::convert::From<Cancel> for Request {
    fn from(value: Cancel) -> Self {
        Self::Cancel(value)
    }
}
impl ::std::convert::From<Seal> for Request {
    fn from(value: Seal) -> Self {
        Self::Seal(value)
    }
}
impl ::std::convert::From<ReplicateKeys> for Request {
    fn from(value: ReplicateKeys) -> Self {
        Self::Tell(value)
    }
}
impl ::std::convert::From<AcquireHint> for Request {
    fn from(value: AcquireHint) -> Self {
        Self::TakeHint(value)
    }
}
impl ::std::convert::From<Delta> for Request {
    fn from(value: Delta) -> Self {
        Self::Push(value)
    }
}
impl ::std::convert::From<Pull> for Request {
    fn from(value: Pull) -> Self {
        Self::Pull(value)
    }
}
impl ::std::convert::From<Forward> for Request {
    fn from(value: Forward) -> Self {
        Self::Forward(value)
    }
}
impl ::std::convert::From<RunStage> for Request {
    fn from(value: RunStage) -> Self {
        Self::RunStage(value)
    }
}
impl ::std::convert::From<StageRelease> for Request {
    fn from(value: StageRelease) -> Self {
        Self::Release(value)
    }
}
impl ::std::convert::From<GatewayFacts> for Request {
    fn from(value: GatewayFacts) -> Self {
        Self::Facts(value)
    }
}
impl ::std::convert::From<u64> for Request {
    fn from(value: u64) -> Self {
        Self::ReadConfig(value)
    }
}
///Pieces of one stage of one request, for the gateway that gathers calls to the stage's pool.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Pieces of one stage of one request, for the gateway that gathers calls to the stage's pool.",
///  "type": "object",
///  "required": [
///    "due_ms",
///    "inputs",
///    "left_ms",
///    "pieces",
///    "pool",
///    "priority",
///    "request",
///    "result_bytes",
///    "stage"
///  ],
///  "properties": {
///    "due_ms": {
///      "description": "Time within which the results keep the request on time; negative when it is late.",
///      "type": "integer",
///      "format": "int64"
///    },
///    "inputs": {
///      "description": "Handles of all results that the stage needs.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "key": {
///      "description": "Key of the pieces; set where the stage has no inputs.",
///      "type": "string"
///    },
///    "left_ms": {
///      "description": "Time left for the stage: until its inputs are dropped, or until the request can no longer meet its deadline.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "near": {
///      "description": "Data centre in which the inputs lie or the results are needed, where they are large.",
///      "type": "string"
///    },
///    "pieces": {
///      "description": "Number of pieces, from 0.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "pool": {
///      "description": "Pool that runs the stage.",
///      "type": "string"
///    },
///    "priority": {
///      "description": "Rank of the request; zero is first.",
///      "type": "integer",
///      "format": "uint8"
///    },
///    "request": {
///      "description": "Id of the caller's attempt.",
///      "type": "string"
///    },
///    "result_bytes": {
///      "description": "Approximate size of one result.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "stage": {
///      "description": "Index of the stage on its route.",
///      "type": "integer",
///      "format": "uint32"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RunStage {
    ///Time within which the results keep the request on time; negative when it is late.
    pub due_ms: i64,
    ///Handles of all results that the stage needs.
    pub inputs: ::std::vec::Vec<::std::string::String>,
    ///Key of the pieces; set where the stage has no inputs.
    #[serde(default)]
    pub key: ::std::option::Option<::std::string::String>,
    ///Time left for the stage: until its inputs are dropped, or until the request can no longer meet its deadline.
    pub left_ms: u64,
    ///Data centre in which the inputs lie or the results are needed, where they are large.
    #[serde(default)]
    pub near: ::std::option::Option<::std::string::String>,
    ///Number of pieces, from 0.
    pub pieces: u32,
    ///Pool that runs the stage.
    pub pool: ::std::string::String,
    ///Rank of the request; zero is first.
    pub priority: u8,
    ///Id of the caller's attempt.
    pub request: ::std::string::String,
    ///Approximate size of one result.
    pub result_bytes: u64,
    ///Index of the stage on its route.
    pub stage: u32,
}
///Asks an entry to send nothing more under older licences of a shard, and which keys it sent.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks an entry to send nothing more under older licences of a shard, and which keys it sent.",
///  "type": "object",
///  "required": [
///    "entry_incarnation",
///    "epoch",
///    "pool",
///    "shard"
///  ],
///  "properties": {
///    "entry_incarnation": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "epoch": {
///      "description": "First epoch that may still be used.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "pool": {
///      "type": "string"
///    },
///    "shard": {
///      "type": "integer",
///      "format": "uint16"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Seal {
    pub entry_incarnation: u64,
    ///First epoch that may still be used.
    pub epoch: u64,
    pub pool: ::std::string::String,
    pub shard: u16,
}
///Asks what became of an attempt; one that was not seen is fenced off.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks what became of an attempt; one that was not seen is fenced off.",
///  "type": "object",
///  "required": [
///    "agent_incarnation",
///    "attempt",
///    "resume_from",
///    "sender"
///  ],
///  "properties": {
///    "agent_incarnation": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "attempt": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "resume_from": {
///      "description": "First token wanted.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "sender": {
///      "$ref": "#/definitions/EntryRef"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Settle {
    pub agent_incarnation: u64,
    pub attempt: u64,
    ///First token wanted.
    pub resume_from: u32,
    pub sender: EntryRef,
}
///A licence that an agent holds.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A licence that an agent holds.",
///  "type": "object",
///  "required": [
///    "enrolled",
///    "epoch",
///    "shard",
///    "via"
///  ],
///  "properties": {
///    "enrolled": {
///      "description": "Whether the entry that asked is enrolled.",
///      "type": "boolean"
///    },
///    "epoch": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "shard": {
///      "type": "integer",
///      "format": "uint16"
///    },
///    "via": {
///      "description": "Link addresses of enrolled entries, for one that is not.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ShardLicence {
    ///Whether the entry that asked is enrolled.
    pub enrolled: bool,
    pub epoch: u64,
    pub shard: u16,
    ///Link addresses of enrolled entries, for one that is not.
    pub via: ::std::vec::Vec<::std::string::String>,
}
///Results of a stage, by piece, or why there are none.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Results of a stage, by piece, or why there are none.",
///  "type": "object",
///  "required": [
///    "age_ms",
///    "handles"
///  ],
///  "properties": {
///    "age_ms": {
///      "description": "Age of the oldest result; targets keep results for a limited time.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "failure": {
///      "$ref": "#/definitions/PieceFailure"
///    },
///    "handles": {
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StageDone {
    ///Age of the oldest result; targets keep results for a limited time.
    pub age_ms: u64,
    #[serde(default)]
    pub failure: ::std::option::Option<PieceFailure>,
    pub handles: ::std::vec::Vec<::std::string::String>,
}
///Results that are no longer needed.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Results that are no longer needed.",
///  "type": "object",
///  "required": [
///    "handles",
///    "pool"
///  ],
///  "properties": {
///    "handles": {
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "pool": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StageRelease {
    pub handles: ::std::vec::Vec<::std::string::String>,
    pub pool: ::std::string::String,
}
///Keys that an entry sent, or was told of, under a shard.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Keys that an entry sent, or was told of, under a shard.",
///  "type": "object",
///  "required": [
///    "incarnation",
///    "keys"
///  ],
///  "properties": {
///    "incarnation": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "keys": {
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Taught {
    pub incarnation: u64,
    pub keys: ::std::vec::Vec<::std::string::String>,
}
///One token of a stream.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One token of a stream.",
///  "type": "object",
///  "required": [
///    "index",
///    "text"
///  ],
///  "properties": {
///    "index": {
///      "type": "integer",
///      "format": "uint32"
///    },
///    "text": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Token {
    pub index: u32,
    pub text: ::std::string::String,
}
