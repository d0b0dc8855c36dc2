//! Configurations of the operator, with the values of a small deployment.

/// Keys of the tenant.
pub const KEYS: [&str; 2] = ["9dnn2ctnfzs989anu6ws", "jnbanfqasnmgkcuyj8pj"];
pub const HOST: &str = "pule25.example";

/// Route whose requests may run once.
pub const TICKET: &str = r#"{"name":"ticket","host":"pule25.example","pathPrefix":"/ticket/","kind":"non_idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"cantar","maxAttempts":1,"public":false}"#;
/// Route whose requests may be repeated.
pub const STOCK: &str = r#"{"name":"stock","host":"pule25.example","pathPrefix":"/stock/","kind":"idempotent","timeoutMs":2500,"targetLatencyMs":150,"priority":2,"service":"cantar","maxAttempts":2,"public":false}"#;
/// Route of streams that may be resumed.
pub const REPLY: &str = r#"{"name":"reply","host":"pule25.example","pathPrefix":"/reply/stream/","kind":"streaming","timeoutMs":10000,"targetLatencyMs":1700,"priority":2,"service":"model-pool","maxAttempts":2,"public":false,"resumable":true,"gapAimMs":400}"#;

const SERVICES: &str = r#"[{"name":"cantar","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false},{"name":"model-pool","healthPath":"/healthz","maxConnections":610,"protocol":"h1","tls":false}]"#;
const LIMITS: &str = r#"{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}"#;

/// Returns a configuration with one tenant that has `keys`.
pub fn config(version: u64, routes: &[&str], keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":{SERVICES},"limits":{LIMITS},"tenants":[{{"name":"bozi300","apiKeys":[{}],"priority":1}}]}}"#,
        routes.join(","),
        keys.join(",")
    )
}
