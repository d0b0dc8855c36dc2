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
///Tells an agent that the holder of a shard's licence is unreachable, so that the agent can acquire the licence.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Tells an agent that the holder of a shard's licence is unreachable, so that the agent can acquire the licence.",
///  "type": "object",
///  "required": [
///    "epoch",
///    "shard"
///  ],
///  "properties": {
///    "epoch": {
///      "description": "Latest epoch that is known to the sender.",
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
    ///Latest epoch that is known to the sender.
    pub epoch: u64,
    pub shard: u16,
}
///When a target last began an answer to a request with a suspect.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "When a target last began an answer to a request with a suspect.",
///  "type": "object",
///  "required": [
///    "age_ms",
///    "suspect",
///    "version"
///  ],
///  "properties": {
///    "age_ms": {
///      "description": "Time since then, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "suspect": {
///      "type": "string"
///    },
///    "version": {
///      "description": "Software version of the target.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AnswerAge {
    ///Time since then, in milliseconds.
    pub age_ms: u64,
    pub suspect: ::std::string::String,
    ///Software version of the target.
    pub version: ::std::string::String,
}
///Answers that a gateway remembers.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Answers that a gateway remembers.",
///  "type": "object",
///  "required": [
///    "answers"
///  ],
///  "properties": {
///    "answers": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/AnswerAge"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct AnswerAges {
    pub answers: ::std::vec::Vec<AnswerAge>,
}
///Asks when targets of a pool last began answers to requests with some suspects.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks when targets of a pool last began answers to requests with some suspects.",
///  "type": "object",
///  "required": [
///    "pool",
///    "suspects"
///  ],
///  "properties": {
///    "pool": {
///      "type": "string"
///    },
///    "suspects": {
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
pub struct AnswerQuery {
    pub pool: ::std::string::String,
    pub suspects: ::std::vec::Vec<::std::string::String>,
}
///One attempt to run one stage.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "One attempt to run one stage.",
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
///      "description": "Incarnation of the agent for which the call is intended.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "attempt": {
///      "description": "Number of the attempt, unique within the sender's incarnation.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "body": {
///      "description": "Body, as JSON text.",
///      "type": "string"
///    },
///    "deadline_ms": {
///      "description": "Time left until the deadline when the call was sent, in milliseconds.",
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
///      "description": "Index of the first token to send when a stream is resumed.",
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
    ///Incarnation of the agent for which the call is intended.
    pub agent_incarnation: u64,
    ///Number of the attempt, unique within the sender's incarnation.
    pub attempt: u64,
    ///Body, as JSON text.
    pub body: ::std::string::String,
    ///Time left until the deadline when the call was sent, in milliseconds.
    pub deadline_ms: u64,
    pub idempotent: bool,
    #[serde(default)]
    pub key: ::std::option::Option<KeyRef>,
    pub max_tokens: u32,
    ///Path at the target.
    pub path: ::std::string::String,
    pub priority: u8,
    pub request: ::std::string::String,
    ///Index of the first token to send when a stream is resumed.
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
///          "description": "Attempt that was admitted.",
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
///          "description": "Reason why it is unknown whether the attempt ran.",
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
///          "description": "Attempt whose key was already used with another body.",
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
///Cancels an attempt whose caller has disconnected.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Cancels an attempt whose caller has disconnected.",
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
///Change of one item of the configuration.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Change of one item of the configuration.",
///  "type": "object",
///  "required": [
///    "key",
///    "revision"
///  ],
///  "properties": {
///    "key": {
///      "description": "Kind and name of the item, such as customer/acme.",
///      "type": "string"
///    },
///    "revision": {
///      "type": "integer",
///      "format": "uint64"
///    },
///    "value": {
///      "description": "Value as JSON text; absent when the item was removed.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Change {
    ///Kind and name of the item, such as customer/acme.
    pub key: ::std::string::String,
    pub revision: u64,
    ///Value as JSON text; absent when the item was removed.
    #[serde(default)]
    pub value: ::std::option::Option<::std::string::String>,
}
///Configuration as it is stored.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Configuration as it is stored.",
///  "type": "object",
///  "required": [
///    "text"
///  ],
///  "properties": {
///    "text": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ConfigText {
    pub text: ::std::string::String,
}
///What a gateway lost to the crash of a target.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What a gateway lost to the crash of a target.",
///  "type": "object",
///  "required": [
///    "age_ms",
///    "pool",
///    "runs",
///    "started_at_ms",
///    "target",
///    "version"
///  ],
///  "properties": {
///    "age_ms": {
///      "description": "Time since the crash, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "pool": {
///      "type": "string"
///    },
///    "runs": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/LostRun"
///      }
///    },
///    "started_at_ms": {
///      "description": "Start of the target, in milliseconds since the Unix epoch.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "target": {
///      "type": "string"
///    },
///    "version": {
///      "description": "Software version of the target.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct CrashReport {
    ///Time since the crash, in milliseconds.
    pub age_ms: u64,
    pub pool: ::std::string::String,
    pub runs: ::std::vec::Vec<LostRun>,
    ///Start of the target, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    pub target: ::std::string::String,
    ///Software version of the target.
    pub version: ::std::string::String,
}
///All changes after one revision, up to and including another.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "All changes after one revision, up to and including another.",
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
///      "description": "Time since the platform last confirmed the sender's revision, in milliseconds.",
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
///      "description": "Whether the receiver forwards the changes to the other entries in its data centre.",
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
    ///Time since the platform last confirmed the sender's revision, in milliseconds.
    pub as_of_ms: u64,
    pub changes: ::std::vec::Vec<Change>,
    pub from: u64,
    ///Whether the receiver forwards the changes to the other entries in its data centre.
    pub relay: bool,
    pub to: u64,
}
///Complete response of the target.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Complete response of the target.",
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
///      "description": "Whether the response was stored by an earlier attempt with the same key.",
///      "type": "boolean"
///    },
///    "status": {
///      "description": "HTTP status of the target's response.",
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
    ///Whether the response was stored by an earlier attempt with the same key.
    pub replayed: bool,
    ///HTTP status of the target's response.
    pub status: u16,
    ///Tokens generated by this attempt.
    pub tokens: u32,
}
///Reference to one incarnation of an entry.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Reference to one incarnation of an entry.",
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
///Data centres that the store lists as evacuated, the version of the store that the list reflects, and its age.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Data centres that the store lists as evacuated, the version of the store that the list reflects, and its age.",
///  "type": "object",
///  "required": [
///    "age_ms",
///    "data_centres",
///    "version"
///  ],
///  "properties": {
///    "age_ms": {
///      "description": "Time since the list was known to be the newest, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "data_centres": {
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "version": {
///      "$ref": "#/definitions/StoreVersion"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EvacuationList {
    ///Time since the list was known to be the newest, in milliseconds.
    pub age_ms: u64,
    pub data_centres: ::std::vec::Vec<::std::string::String>,
    pub version: StoreVersion,
}
///Call with an idempotency key, forwarded to an entry that is enrolled with the holder of the shard's licence.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Call with an idempotency key, forwarded to an entry that is enrolled with the holder of the shard's licence.",
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
///Registration of a gateway in the store.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Registration of a gateway in the store.",
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
///      "description": "Whether the gateway is eligible to own pools: it started together with the whole system, or long enough ago.",
///      "default": false,
///      "type": "boolean"
///    },
///    "weight": {
///      "description": "CPU capacity of the gateway, in cores.",
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
    ///Whether the gateway is eligible to own pools: it started together with the whole system, or long enough ago.
    #[serde(default)]
    pub settled: bool,
    ///CPU capacity of the gateway, in cores.
    pub weight: f64,
}
///State of a gateway: its configuration, and whether it is being stopped.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "State of a gateway: its configuration, and whether it is being stopped.",
///  "type": "object",
///  "required": [
///    "config_version",
///    "entry",
///    "in_flight",
///    "leaving",
///    "limits",
///    "name",
///    "quarantines",
///    "total_in_flight"
///  ],
///  "properties": {
///    "config_version": {
///      "description": "Version, set by the operator, of the configuration in force; zero before the first configuration.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "entry": {
///      "description": "The gateway's registration, for peers that have not read it from the store; `settled` is current.",
///      "$ref": "#/definitions/GatewayEntry"
///    },
///    "evacuations": {
///      "description": "Data centres that are evacuated; absent before they are known.",
///      "$ref": "#/definitions/EvacuationList"
///    },
///    "in_flight": {
///      "description": "Requests that the gateway has in flight, in polls.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/TargetInFlight"
///      }
///    },
///    "leaving": {
///      "description": "Whether the gateway is being stopped.",
///      "type": "boolean"
///    },
///    "limits": {
///      "description": "Limits of targets that have changed within the last seconds, as far as the gateway knows.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/TargetLimit"
///      }
///    },
///    "name": {
///      "type": "string"
///    },
///    "proof_age_ms": {
///      "description": "Time since it was last verified that no newer configuration existed, in milliseconds; absent if it was never verified.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "quarantines": {
///      "description": "Hash of the quarantines that the gateway knows; zero if there are none.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "store_service": {
///      "description": "Period in which the store has answered, so that a gateway which does not call it can tell that there was no outage; absent before the first answer.",
///      "$ref": "#/definitions/StoreService"
///    },
///    "targets": {
///      "description": "State of the list of targets; absent before it was read.",
///      "$ref": "#/definitions/TargetsState"
///    },
///    "total_in_flight": {
///      "description": "Requests that all gateways have in flight, in answers of gateways that collect them; the targets with the most.",
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/TargetInFlight"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct GatewayFacts {
    ///Version, set by the operator, of the configuration in force; zero before the first configuration.
    pub config_version: u64,
    ///The gateway's registration, for peers that have not read it from the store; `settled` is current.
    pub entry: GatewayEntry,
    ///Data centres that are evacuated; absent before they are known.
    #[serde(default)]
    pub evacuations: ::std::option::Option<EvacuationList>,
    ///Requests that the gateway has in flight, in polls.
    pub in_flight: ::std::vec::Vec<TargetInFlight>,
    ///Whether the gateway is being stopped.
    pub leaving: bool,
    ///Limits of targets that have changed within the last seconds, as far as the gateway knows.
    pub limits: ::std::vec::Vec<TargetLimit>,
    pub name: ::std::string::String,
    ///Time since it was last verified that no newer configuration existed, in milliseconds; absent if it was never verified.
    #[serde(default)]
    pub proof_age_ms: ::std::option::Option<u64>,
    ///Hash of the quarantines that the gateway knows; zero if there are none.
    pub quarantines: u64,
    ///Period in which the store has answered, so that a gateway which does not call it can tell that there was no outage; absent before the first answer.
    #[serde(default)]
    pub store_service: ::std::option::Option<StoreService>,
    ///State of the list of targets; absent before it was read.
    #[serde(default)]
    pub targets: ::std::option::Option<TargetsState>,
    ///Requests that all gateways have in flight, in answers of gateways that collect them; the targets with the most.
    pub total_in_flight: ::std::vec::Vec<TargetInFlight>,
}
///Heartbeat, sent by an entry on each of its links to agents.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Heartbeat, sent by an entry on each of its links to agents.",
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
///      "description": "The agent's part of the configuration, sent when it changed.",
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
    ///The agent's part of the configuration, sent when it changed.
    #[serde(default)]
    pub slice: ::std::option::Option<PoolSlice>,
}
///Reference to an idempotency key, as the holder of its shard's licence identifies it.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Reference to an idempotency key, as the holder of its shard's licence identifies it.",
///  "type": "object",
///  "required": [
///    "body_digest",
///    "digest",
///    "epoch",
///    "shard"
///  ],
///  "properties": {
///    "body_digest": {
///      "description": "Digest of the body of the caller's request.",
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
    ///Digest of the body of the caller's request.
    pub body_digest: ::std::string::String,
    ///Digest of customer, pipeline, stage and key.
    pub digest: ::std::string::String,
    ///Licence epoch under which the call is sent.
    pub epoch: u64,
    pub shard: u16,
}
///Asks the owner of a target's limit for requests that may be sent to the target.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks the owner of a target's limit for requests that may be sent to the target.",
///  "type": "object",
///  "required": [
///    "gateway",
///    "notice",
///    "pool",
///    "priority",
///    "started_at_ms",
///    "target",
///    "wanted"
///  ],
///  "properties": {
///    "cold_per_s": {
///      "description": "Requests a second that the target takes because it is cold, as the gateway knows; absent if it is not cold.",
///      "type": "number"
///    },
///    "customer": {
///      "type": "string"
///    },
///    "gateway": {
///      "description": "Name of the gateway.",
///      "type": "string"
///    },
///    "notice": {
///      "$ref": "#/definitions/LimitNotice"
///    },
///    "pool": {
///      "type": "string"
///    },
///    "priority": {
///      "description": "Priority of the request; zero is served first.",
///      "type": "integer",
///      "format": "uint8"
///    },
///    "started_at_ms": {
///      "description": "Start of the target, in milliseconds since the Unix epoch.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "target": {
///      "type": "string"
///    },
///    "wanted": {
///      "description": "Number of requests; zero only reports the notice.",
///      "type": "integer",
///      "format": "uint32"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LimitAsk {
    ///Requests a second that the target takes because it is cold, as the gateway knows; absent if it is not cold.
    #[serde(default)]
    pub cold_per_s: ::std::option::Option<f64>,
    #[serde(default)]
    pub customer: ::std::option::Option<::std::string::String>,
    ///Name of the gateway.
    pub gateway: ::std::string::String,
    pub notice: LimitNotice,
    pub pool: ::std::string::String,
    ///Priority of the request; zero is served first.
    pub priority: u8,
    ///Start of the target, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    pub target: ::std::string::String,
    ///Number of requests; zero only reports the notice.
    pub wanted: u32,
}
///Answer to an ask for requests to a target with a limit.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Answer to an ask for requests to a target with a limit.",
///  "type": "object",
///  "required": [
///    "granted",
///    "notice",
///    "own_share",
///    "wait_ms"
///  ],
///  "properties": {
///    "granted": {
///      "description": "Number of requests that may be sent at once.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "notice": {
///      "$ref": "#/definitions/LimitNotice"
///    },
///    "own_share": {
///      "description": "Whether none was granted only because the customer has used its share.",
///      "type": "boolean"
///    },
///    "wait_ms": {
///      "description": "Time after which the gateway may ask again if none was granted.",
///      "type": "integer",
///      "format": "uint64"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LimitGrant {
    ///Number of requests that may be sent at once.
    pub granted: u32,
    pub notice: LimitNotice,
    ///Whether none was granted only because the customer has used its share.
    pub own_share: bool,
    ///Time after which the gateway may ask again if none was granted.
    pub wait_ms: u64,
}
///What a reply of a target said about its limit, with the ages of the ends of the period in which the reply was made.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What a reply of a target said about its limit, with the ages of the ends of the period in which the reply was made.",
///  "type": "object",
///  "required": [
///    "received_age_ms",
///    "sent_age_ms"
///  ],
///  "properties": {
///    "per_s": {
///      "description": "Requests a second that the target takes from all gateways; absent if the reply named no limit.",
///      "type": "number"
///    },
///    "received_age_ms": {
///      "description": "Time since the reply arrived, in milliseconds, rounded down.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "sent_age_ms": {
///      "description": "Time since the request was sent, in milliseconds, rounded up.",
///      "type": "integer",
///      "format": "uint64"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct LimitNotice {
    ///Requests a second that the target takes from all gateways; absent if the reply named no limit.
    #[serde(default)]
    pub per_s: ::std::option::Option<f64>,
    ///Time since the reply arrived, in milliseconds, rounded down.
    pub received_age_ms: u64,
    ///Time since the request was sent, in milliseconds, rounded up.
    pub sent_age_ms: u64,
}
///What the list tells of a target.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What the list tells of a target.",
///  "type": "object",
///  "required": [
///    "address",
///    "data_centre",
///    "leaving",
///    "pool",
///    "slots",
///    "software",
///    "started_at_ms"
///  ],
///  "properties": {
///    "address": {
///      "description": "IP address and port.",
///      "type": "string"
///    },
///    "cold_remaining_ms": {
///      "description": "Time for which it stays cold, as of the message, in milliseconds; absent if it is not cold.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "data_centre": {
///      "type": "string"
///    },
///    "leaving": {
///      "type": "boolean"
///    },
///    "pool": {
///      "type": "string"
///    },
///    "slots": {
///      "type": "integer",
///      "format": "uint32"
///    },
///    "software": {
///      "description": "Version of its software.",
///      "type": "string"
///    },
///    "started_at_ms": {
///      "description": "Start in milliseconds since the Unix epoch.",
///      "type": "integer",
///      "format": "uint64"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ListedTarget {
    ///IP address and port.
    pub address: ::std::string::String,
    ///Time for which it stays cold, as of the message, in milliseconds; absent if it is not cold.
    #[serde(default)]
    pub cold_remaining_ms: ::std::option::Option<u64>,
    pub data_centre: ::std::string::String,
    pub leaving: bool,
    pub pool: ::std::string::String,
    pub slots: u32,
    ///Version of its software.
    pub software: ::std::string::String,
    ///Start in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
}
///A request that was lost to the crash of a target.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "A request that was lost to the crash of a target.",
///  "type": "object",
///  "required": [
///    "has_begun",
///    "ran_ms",
///    "suspects"
///  ],
///  "properties": {
///    "has_begun": {
///      "description": "Whether the target had begun its answer.",
///      "type": "boolean"
///    },
///    "ran_ms": {
///      "description": "Time from its sending to the crash, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "suspects": {
///      "description": "What may have crashed the target, if this request did.",
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
pub struct LostRun {
    ///Whether the target had begun its answer.
    pub has_begun: bool,
    ///Time from its sending to the crash, in milliseconds.
    pub ran_ms: u64,
    ///What may have crashed the target, if this request did.
    pub suspects: ::std::vec::Vec<::std::string::String>,
}
///The attempt did not run and will not run.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "The attempt did not run and will not run.",
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
///Reason why an attempt did not run.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Reason why an attempt did not run.",
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
///What a gateway knows of the beginning of a stream.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What a gateway knows of the beginning of a stream.",
///  "type": "object",
///  "properties": {
///    "only_version": {
///      "description": "Version of the pool, if it has had no other within the window.",
///      "type": "string"
///    },
///    "origin": {
///      "$ref": "#/definitions/StreamOrigin"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct OriginAnswer {
    ///Version of the pool, if it has had no other within the window.
    #[serde(default)]
    pub only_version: ::std::option::Option<::std::string::String>,
    #[serde(default)]
    pub origin: ::std::option::Option<StreamOrigin>,
}
impl ::std::default::Default for OriginAnswer {
    fn default() -> Self {
        Self {
            only_version: Default::default(),
            origin: Default::default(),
        }
    }
}
///Asks where a stream began.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks where a stream began.",
///  "type": "object",
///  "required": [
///    "key",
///    "window_ms"
///  ],
///  "properties": {
///    "key": {
///      "description": "Digest of the customer and of the attempt that brought the first event, in hexadecimal.",
///      "type": "string"
///    },
///    "pool": {
///      "description": "Pool of the stream, if it can have begun in one only.",
///      "type": "string"
///    },
///    "window_ms": {
///      "description": "Time within which the stream began, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct OriginQuery {
    ///Digest of the customer and of the attempt that brought the first event, in hexadecimal.
    pub key: ::std::string::String,
    ///Pool of the stream, if it can have begun in one only.
    #[serde(default)]
    pub pool: ::std::option::Option<::std::string::String>,
    ///Time within which the stream began, in milliseconds.
    pub window_ms: u64,
}
///Reason why a piece has no result.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Reason why a piece has no result.",
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
///Part of the configuration that an agent needs.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Part of the configuration that an agent needs.",
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
///      "description": "Maximum number of concurrent calls, scaled by the preset in force.",
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
///      "description": "Model that the target has to load.",
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
    ///Maximum number of concurrent calls, scaled by the preset in force.
    pub concurrency: u32,
    ///Whether the target streams tokens.
    pub engine: bool,
    pub idempotent: bool,
    pub key_shards: u16,
    pub licence_term_s: u32,
    pub load_s: u32,
    ///Model that the target has to load.
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
///Asks the owner of a quarantine whether a single request may find out if it still crashes targets.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks the owner of a quarantine whether a single request may find out if it still crashes targets.",
///  "type": "object",
///  "required": [
///    "pool",
///    "suspects"
///  ],
///  "properties": {
///    "pool": {
///      "type": "string"
///    },
///    "suspects": {
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
pub struct ProbeAsk {
    pub pool: ::std::string::String,
    pub suspects: ::std::vec::Vec<::std::string::String>,
}
///Asks a peer for all changes after a revision.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks a peer for all changes after a revision.",
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
///Requests that are refused because they crash targets.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Requests that are refused because they crash targets.",
///  "type": "object",
///  "required": [
///    "crashes",
///    "left_ms",
///    "next_probe_ms",
///    "pool",
///    "probes",
///    "released",
///    "revision",
///    "suspects",
///    "versions"
///  ],
///  "properties": {
///    "crashes": {
///      "description": "Number of crashes when it began.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "left_ms": {
///      "description": "Time until it ends unless somebody asks, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "next_probe_ms": {
///      "description": "Time until the next probe may be granted, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "pool": {
///      "type": "string"
///    },
///    "probes": {
///      "description": "Number of probes that were granted.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "released": {
///      "description": "Whether it has ended because a request was answered.",
///      "type": "boolean"
///    },
///    "revision": {
///      "description": "Raised by each change.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "suspects": {
///      "description": "Requests with all of these are refused.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "versions": {
///      "description": "Software versions whose targets crashed, or were probed.",
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
pub struct Quarantine {
    ///Number of crashes when it began.
    pub crashes: u32,
    ///Time until it ends unless somebody asks, in milliseconds.
    pub left_ms: u64,
    ///Time until the next probe may be granted, in milliseconds.
    pub next_probe_ms: u64,
    pub pool: ::std::string::String,
    ///Number of probes that were granted.
    pub probes: u32,
    ///Whether it has ended because a request was answered.
    pub released: bool,
    ///Raised by each change.
    pub revision: u64,
    ///Requests with all of these are refused.
    pub suspects: ::std::vec::Vec<::std::string::String>,
    ///Software versions whose targets crashed, or were probed.
    pub versions: ::std::vec::Vec<::std::string::String>,
}
///Quarantines that a gateway knows.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Quarantines that a gateway knows.",
///  "type": "object",
///  "required": [
///    "entries",
///    "is_complete"
///  ],
///  "properties": {
///    "entries": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Quarantine"
///      }
///    },
///    "is_complete": {
///      "description": "Whether these are all; the reply then has all of the other gateway.",
///      "type": "boolean"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct QuarantineList {
    pub entries: ::std::vec::Vec<Quarantine>,
    ///Whether these are all; the reply then has all of the other gateway.
    pub is_complete: bool,
}
///Replicates to an entry the keys of a shard that may have run.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Replicates to an entry the keys of a shard that may have run.",
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
///          "description": "Whether the request was executed.",
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
///          "description": "Heartbeat while a stage runs, with the number of queued pieces.",
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
///          "description": "Reason why the request was refused.",
///          "type": "string"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "limit_grant"
///      ],
///      "properties": {
///        "limit_grant": {
///          "$ref": "#/definitions/LimitGrant"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "origin"
///      ],
///      "properties": {
///        "origin": {
///          "$ref": "#/definitions/OriginAnswer"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "answer_ages"
///      ],
///      "properties": {
///        "answer_ages": {
///          "$ref": "#/definitions/AnswerAges"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "quarantines"
///      ],
///      "properties": {
///        "quarantines": {
///          "$ref": "#/definitions/QuarantineList"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "target_changes"
///      ],
///      "properties": {
///        "target_changes": {
///          "$ref": "#/definitions/TargetChanges"
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
    #[serde(rename = "limit_grant")]
    LimitGrant(LimitGrant),
    #[serde(rename = "origin")]
    Origin(OriginAnswer),
    #[serde(rename = "answer_ages")]
    AnswerAges(AnswerAges),
    #[serde(rename = "quarantines")]
    Quarantines(QuarantineList),
    #[serde(rename = "target_changes")]
    TargetChanges(TargetChanges),
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
impl ::std::convert::From<LimitGrant> for Reply {
    fn from(value: LimitGrant) -> Self {
        Self::LimitGrant(value)
    }
}
impl ::std::convert::From<OriginAnswer> for Reply {
    fn from(value: OriginAnswer) -> Self {
        Self::Origin(value)
    }
}
impl ::std::convert::From<AnswerAges> for Reply {
    fn from(value: AnswerAges) -> Self {
        Self::AnswerAges(value)
    }
}
impl ::std::convert::From<QuarantineList> for Reply {
    fn from(value: QuarantineList) -> Self {
        Self::Quarantines(value)
    }
}
impl ::std::convert::From<TargetChanges> for Reply {
    fn from(value: TargetChanges) -> Self {
        Self::TargetChanges(value)
    }
}
///Reply of an agent to a heartbeat.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Reply of an agent to a heartbeat.",
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
///      "description": "Time until the next heartbeat is expected, in milliseconds.",
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
///      "description": "Calls in progress and queued in the last load report of the target.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "revision": {
///      "description": "Revision in force at the agent.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "slice_revision": {
///      "description": "Revision at which the agent's part of the configuration last changed.",
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
    ///Time until the next heartbeat is expected, in milliseconds.
    pub heartbeat_ms: u32,
    pub in_flight: u32,
    pub incarnation: u64,
    pub leaving: bool,
    pub licences: ::std::vec::Vec<ShardLicence>,
    ///Calls in progress and queued in the last load report of the target.
    pub queued: u32,
    ///Revision in force at the agent.
    pub revision: u64,
    ///Revision at which the agent's part of the configuration last changed.
    pub slice_revision: u64,
    pub target: ::std::string::String,
}
///Request on a link.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Request on a link.",
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
///          "description": "Asks for the configuration, if it is newer than this version, set by the operator.",
///          "type": "integer",
///          "format": "uint64"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "ask_limit"
///      ],
///      "properties": {
///        "ask_limit": {
///          "$ref": "#/definitions/LimitAsk"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "record_origin"
///      ],
///      "properties": {
///        "record_origin": {
///          "$ref": "#/definitions/StreamOrigin"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "read_origin"
///      ],
///      "properties": {
///        "read_origin": {
///          "$ref": "#/definitions/OriginQuery"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "report_crash"
///      ],
///      "properties": {
///        "report_crash": {
///          "$ref": "#/definitions/CrashReport"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "read_answers"
///      ],
///      "properties": {
///        "read_answers": {
///          "$ref": "#/definitions/AnswerQuery"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "sync_quarantines"
///      ],
///      "properties": {
///        "sync_quarantines": {
///          "$ref": "#/definitions/QuarantineList"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "ask_probe"
///      ],
///      "properties": {
///        "ask_probe": {
///          "$ref": "#/definitions/ProbeAsk"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "read_targets"
///      ],
///      "properties": {
///        "read_targets": {
///          "description": "Asks for the changes of the list of targets after a version.",
///          "$ref": "#/definitions/StoreVersion"
///        }
///      },
///      "additionalProperties": false
///    },
///    {
///      "type": "object",
///      "required": [
///        "store_origin"
///      ],
///      "properties": {
///        "store_origin": {
///          "$ref": "#/definitions/StreamOrigin"
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
    #[serde(rename = "ask_limit")]
    AskLimit(LimitAsk),
    #[serde(rename = "record_origin")]
    RecordOrigin(StreamOrigin),
    #[serde(rename = "read_origin")]
    ReadOrigin(OriginQuery),
    #[serde(rename = "report_crash")]
    ReportCrash(CrashReport),
    #[serde(rename = "read_answers")]
    ReadAnswers(AnswerQuery),
    #[serde(rename = "sync_quarantines")]
    SyncQuarantines(QuarantineList),
    #[serde(rename = "ask_probe")]
    AskProbe(ProbeAsk),
    #[serde(rename = "read_targets")]
    ReadTargets(StoreVersion),
    #[serde(rename = "store_origin")]
    StoreOrigin(StreamOrigin),
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
impl ::std::convert::From<LimitAsk> for Request {
    fn from(value: LimitAsk) -> Self {
        Self::AskLimit(value)
    }
}
impl ::std::convert::From<OriginQuery> for Request {
    fn from(value: OriginQuery) -> Self {
        Self::ReadOrigin(value)
    }
}
impl ::std::convert::From<CrashReport> for Request {
    fn from(value: CrashReport) -> Self {
        Self::ReportCrash(value)
    }
}
impl ::std::convert::From<AnswerQuery> for Request {
    fn from(value: AnswerQuery) -> Self {
        Self::ReadAnswers(value)
    }
}
impl ::std::convert::From<QuarantineList> for Request {
    fn from(value: QuarantineList) -> Self {
        Self::SyncQuarantines(value)
    }
}
impl ::std::convert::From<ProbeAsk> for Request {
    fn from(value: ProbeAsk) -> Self {
        Self::AskProbe(value)
    }
}
impl ::std::convert::From<StoreVersion> for Request {
    fn from(value: StoreVersion) -> Self {
        Self::ReadTargets(value)
    }
}
///Asks the owner of a pool, the gateway that batches the calls to it, to run one stage of a request. The stage consists of pieces: units of work that a call carries together with others.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks the owner of a pool, the gateway that batches the calls to it, to run one stage of a request. The stage consists of pieces: units of work that a call carries together with others.",
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
///      "description": "Time until the results are due for the request to complete on time, in milliseconds; negative when they are overdue.",
///      "type": "integer",
///      "format": "int64"
///    },
///    "inputs": {
///      "description": "Handles of all results that the stage takes as inputs.",
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "key": {
///      "description": "Key of the pieces; set if the stage has no inputs.",
///      "type": "string"
///    },
///    "left_ms": {
///      "description": "Time left for the stage, in milliseconds: until its inputs expire, or until the request can no longer meet its deadline.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "near": {
///      "description": "Preferred data centre, if the inputs or the results are large: the one that holds the inputs or needs the results.",
///      "type": "string"
///    },
///    "pieces": {
///      "description": "Number of pieces; they are numbered from 0.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "pool": {
///      "description": "Pool that runs the stage.",
///      "type": "string"
///    },
///    "priority": {
///      "description": "Priority of the request; zero is the highest.",
///      "type": "integer",
///      "format": "uint8"
///    },
///    "request": {
///      "description": "ID of the caller's attempt.",
///      "type": "string"
///    },
///    "result_bytes": {
///      "description": "Approximate size of one result, in bytes.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "stage": {
///      "description": "Index of the stage in its route.",
///      "type": "integer",
///      "format": "uint32"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RunStage {
    ///Time until the results are due for the request to complete on time, in milliseconds; negative when they are overdue.
    pub due_ms: i64,
    ///Handles of all results that the stage takes as inputs.
    pub inputs: ::std::vec::Vec<::std::string::String>,
    ///Key of the pieces; set if the stage has no inputs.
    #[serde(default)]
    pub key: ::std::option::Option<::std::string::String>,
    ///Time left for the stage, in milliseconds: until its inputs expire, or until the request can no longer meet its deadline.
    pub left_ms: u64,
    ///Preferred data centre, if the inputs or the results are large: the one that holds the inputs or needs the results.
    #[serde(default)]
    pub near: ::std::option::Option<::std::string::String>,
    ///Number of pieces; they are numbered from 0.
    pub pieces: u32,
    ///Pool that runs the stage.
    pub pool: ::std::string::String,
    ///Priority of the request; zero is the highest.
    pub priority: u8,
    ///ID of the caller's attempt.
    pub request: ::std::string::String,
    ///Approximate size of one result, in bytes.
    pub result_bytes: u64,
    ///Index of the stage in its route.
    pub stage: u32,
}
///Asks an entry to stop sending under older epochs of a shard's licence, and to return the keys that it sent.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks an entry to stop sending under older epochs of a shard's licence, and to return the keys that it sent.",
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
///      "description": "Lowest epoch that may still be used.",
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
    ///Lowest epoch that may still be used.
    pub epoch: u64,
    pub pool: ::std::string::String,
    pub shard: u16,
}
///Asks for the outcome of an attempt; an attempt that the agent has not received is fenced, so that it cannot run later.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Asks for the outcome of an attempt; an attempt that the agent has not received is fenced, so that it cannot run later.",
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
///      "description": "Index of the first token to send.",
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
    ///Index of the first token to send.
    pub resume_from: u32,
    pub sender: EntryRef,
}
///Licence that an agent holds: a lease on one shard of a pool's key space, with the epoch as its fencing token.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Licence that an agent holds: a lease on one shard of a pool's key space, with the epoch as its fencing token.",
///  "type": "object",
///  "required": [
///    "enrolled",
///    "epoch",
///    "shard",
///    "via"
///  ],
///  "properties": {
///    "enrolled": {
///      "description": "Whether the entry that sent the heartbeat is enrolled.",
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
///      "description": "Link addresses of enrolled entries, through which an entry that is not enrolled can send.",
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
    ///Whether the entry that sent the heartbeat is enrolled.
    pub enrolled: bool,
    pub epoch: u64,
    pub shard: u16,
    ///Link addresses of enrolled entries, through which an entry that is not enrolled can send.
    pub via: ::std::vec::Vec<::std::string::String>,
}
///Results of a stage, in the order of its pieces, or the reason why there are none.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Results of a stage, in the order of its pieces, or the reason why there are none.",
///  "type": "object",
///  "required": [
///    "age_ms",
///    "handles"
///  ],
///  "properties": {
///    "age_ms": {
///      "description": "Age of the oldest result, in milliseconds; targets keep results for a limited time.",
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
    ///Age of the oldest result, in milliseconds; targets keep results for a limited time.
    pub age_ms: u64,
    #[serde(default)]
    pub failure: ::std::option::Option<PieceFailure>,
    pub handles: ::std::vec::Vec<::std::string::String>,
}
///Releases results that are not needed any more.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Releases results that are not needed any more.",
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
///Period in which the store has answered some gateway without an outage, by the ages of its ends.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Period in which the store has answered some gateway without an outage, by the ages of its ends.",
///  "type": "object",
///  "required": [
///    "since_age_ms",
///    "until_age_ms"
///  ],
///  "properties": {
///    "since_age_ms": {
///      "description": "Time since the earliest answer of the period, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "until_age_ms": {
///      "description": "Time since the latest answer, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreService {
    ///Time since the earliest answer of the period, in milliseconds.
    pub since_age_ms: u64,
    ///Time since the latest answer, in milliseconds.
    pub until_age_ms: u64,
}
///Version of the objects in the store.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Version of the objects in the store.",
///  "type": "object",
///  "required": [
///    "era",
///    "revision"
///  ],
///  "properties": {
///    "era": {
///      "description": "Number of times that the store was restored from an older copy.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "revision": {
///      "type": "integer",
///      "format": "uint64"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoreVersion {
    ///Number of times that the store was restored from an older copy.
    pub era: u64,
    pub revision: u64,
}
///Target that began streams.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Target that began streams.",
///  "type": "object",
///  "required": [
///    "pool",
///    "started_at_ms",
///    "target",
///    "version"
///  ],
///  "properties": {
///    "pool": {
///      "type": "string"
///    },
///    "started_at_ms": {
///      "description": "Start of the target, in milliseconds since the Unix epoch.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "target": {
///      "type": "string"
///    },
///    "version": {
///      "description": "Version of the target's software.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoredOrigin {
    pub pool: ::std::string::String,
    ///Start of the target, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    pub target: ::std::string::String,
    ///Version of the target's software.
    pub version: ::std::string::String,
}
///Quarantines as kept in the store, with times from when they were written.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Quarantines as kept in the store, with times from when they were written.",
///  "type": "object",
///  "required": [
///    "entries"
///  ],
///  "properties": {
///    "entries": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/Quarantine"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoredQuarantines {
    pub entries: ::std::vec::Vec<Quarantine>,
}
///Stream in the store.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Stream in the store.",
///  "type": "object",
///  "required": [
///    "key",
///    "left_ms",
///    "origin"
///  ],
///  "properties": {
///    "customer": {
///      "description": "Index of the customer; absent on a public route.",
///      "type": "integer",
///      "format": "uint32"
///    },
///    "key": {
///      "description": "Digest of the customer and of the attempt that brought the first event, in hexadecimal.",
///      "type": "string"
///    },
///    "left_ms": {
///      "description": "Time for which the record is needed, from when it was written, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "origin": {
///      "description": "Index of the target that wrote the first event.",
///      "type": "integer",
///      "format": "uint32"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoredStream {
    ///Index of the customer; absent on a public route.
    #[serde(default)]
    pub customer: ::std::option::Option<u32>,
    ///Digest of the customer and of the attempt that brought the first event, in hexadecimal.
    pub key: ::std::string::String,
    ///Time for which the record is needed, from when it was written, in milliseconds.
    pub left_ms: u64,
    ///Index of the target that wrote the first event.
    pub origin: u32,
}
///Origins of the streams of a gateway, as kept in the store.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Origins of the streams of a gateway, as kept in the store.",
///  "type": "object",
///  "required": [
///    "customers",
///    "origins",
///    "streams"
///  ],
///  "properties": {
///    "customers": {
///      "type": "array",
///      "items": {
///        "type": "string"
///      }
///    },
///    "origins": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/StoredOrigin"
///      }
///    },
///    "streams": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/StoredStream"
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoredStreams {
    pub customers: ::std::vec::Vec<::std::string::String>,
    pub origins: ::std::vec::Vec<StoredOrigin>,
    pub streams: ::std::vec::Vec<StoredStream>,
}
///Software version that may have begun streams which are still awaited.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Software version that may have begun streams which are still awaited.",
///  "type": "object",
///  "required": [
///    "version"
///  ],
///  "properties": {
///    "mark": {
///      "description": "Set when no target seems to have the version any more: the revision of the list of versions that was read for it.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "version": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoredVersion {
    ///Set when no target seems to have the version any more: the revision of the list of versions that was read for it.
    #[serde(default)]
    pub mark: ::std::option::Option<u64>,
    pub version: ::std::string::String,
}
///Software versions by pool, as kept in the store, one object for each of its eras.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Software versions by pool, as kept in the store, one object for each of its eras.",
///  "type": "object",
///  "required": [
///    "pools"
///  ],
///  "properties": {
///    "complete": {
///      "description": "Whether no version is missing.",
///      "default": false,
///      "type": "boolean"
///    },
///    "pools": {
///      "type": "object",
///      "additionalProperties": {
///        "type": "array",
///        "items": {
///          "$ref": "#/definitions/StoredVersion"
///        }
///      }
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StoredVersions {
    ///Whether no version is missing.
    #[serde(default)]
    pub complete: bool,
    pub pools: ::std::collections::BTreeMap<
        ::std::string::String,
        ::std::vec::Vec<StoredVersion>,
    >,
}
///Record of the target that wrote the first event of a stream.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Record of the target that wrote the first event of a stream.",
///  "type": "object",
///  "required": [
///    "key",
///    "left_ms",
///    "pool",
///    "started_at_ms",
///    "target",
///    "version"
///  ],
///  "properties": {
///    "customer": {
///      "type": "string"
///    },
///    "key": {
///      "description": "Digest of the customer and of the attempt that brought the first event, in hexadecimal.",
///      "type": "string"
///    },
///    "left_ms": {
///      "description": "Time for which the record is needed, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "pool": {
///      "type": "string"
///    },
///    "started_at_ms": {
///      "description": "Start of the target, in milliseconds since the Unix epoch.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "target": {
///      "type": "string"
///    },
///    "version": {
///      "description": "Version of the target's software.",
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StreamOrigin {
    #[serde(default)]
    pub customer: ::std::option::Option<::std::string::String>,
    ///Digest of the customer and of the attempt that brought the first event, in hexadecimal.
    pub key: ::std::string::String,
    ///Time for which the record is needed, in milliseconds.
    pub left_ms: u64,
    pub pool: ::std::string::String,
    ///Start of the target, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    pub target: ::std::string::String,
    ///Version of the target's software.
    pub version: ::std::string::String,
}
///Changes of the list of targets after the version that was asked for.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Changes of the list of targets after the version that was asked for.",
///  "type": "object",
///  "required": [
///    "objects",
///    "state"
///  ],
///  "properties": {
///    "objects": {
///      "type": "array",
///      "items": {
///        "$ref": "#/definitions/TargetObject"
///      }
///    },
///    "service": {
///      "description": "Period in which the store has answered, which tells whether removed entries may have expired in an outage.",
///      "$ref": "#/definitions/StoreService"
///    },
///    "state": {
///      "$ref": "#/definitions/TargetsState"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TargetChanges {
    pub objects: ::std::vec::Vec<TargetObject>,
    ///Period in which the store has answered, which tells whether removed entries may have expired in an outage.
    #[serde(default)]
    pub service: ::std::option::Option<StoreService>,
    pub state: TargetsState,
}
///Number of requests in flight at a target.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Number of requests in flight at a target.",
///  "type": "object",
///  "required": [
///    "count",
///    "target"
///  ],
///  "properties": {
///    "count": {
///      "type": "integer",
///      "format": "uint32"
///    },
///    "target": {
///      "type": "string"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TargetInFlight {
    pub count: u32,
    pub target: ::std::string::String,
}
///What a target said about its limit.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "What a target said about its limit.",
///  "type": "object",
///  "required": [
///    "notice",
///    "pool",
///    "started_at_ms",
///    "target"
///  ],
///  "properties": {
///    "notice": {
///      "$ref": "#/definitions/LimitNotice"
///    },
///    "pool": {
///      "type": "string"
///    },
///    "started_at_ms": {
///      "description": "Start of the target, in milliseconds since the Unix epoch.",
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
pub struct TargetLimit {
    pub notice: LimitNotice,
    pub pool: ::std::string::String,
    ///Start of the target, in milliseconds since the Unix epoch.
    pub started_at_ms: u64,
    pub target: ::std::string::String,
}
///Target in the store's list.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Target in the store's list.",
///  "type": "object",
///  "required": [
///    "name",
///    "version"
///  ],
///  "properties": {
///    "name": {
///      "type": "string"
///    },
///    "target": {
///      "description": "Absent after a deletion, or if the entry cannot be read.",
///      "$ref": "#/definitions/ListedTarget"
///    },
///    "version": {
///      "$ref": "#/definitions/StoreVersion"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TargetObject {
    pub name: ::std::string::String,
    ///Absent after a deletion, or if the entry cannot be read.
    #[serde(default)]
    pub target: ::std::option::Option<ListedTarget>,
    pub version: StoreVersion,
}
///Version of the list of targets that a gateway has, and its age.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Version of the list of targets that a gateway has, and its age.",
///  "type": "object",
///  "required": [
///    "age_ms",
///    "version"
///  ],
///  "properties": {
///    "age_ms": {
///      "description": "Time since it was last verified that the list had not changed, in milliseconds.",
///      "type": "integer",
///      "format": "uint64"
///    },
///    "version": {
///      "$ref": "#/definitions/StoreVersion"
///    }
///  }
///}
/// ```
/// </details>
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TargetsState {
    ///Time since it was last verified that the list had not changed, in milliseconds.
    pub age_ms: u64,
    pub version: StoreVersion,
}
///Keys of a shard that an entry has sent, or that were replicated to it.
///
/// <details><summary>JSON schema</summary>
///
/// ```json
///{
///  "description": "Keys of a shard that an entry has sent, or that were replicated to it.",
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
