//! The settings as data, one to one with their YAML.

use std::path::{Path, PathBuf};

use ed25519_dalek::VerifyingKey;

use super::{LogSettings, Problem, Result, Secret, check};
use crate::{
    ingress::IngressLimits,
    prelude::*,
    yaml::{self, MAX_FILE_BYTES},
};

/// Environment variable with the member's secret between its hosts.
pub const PEER_KEY_VARIABLE: &str = "LAVENDERPLANK_PEER_KEY";

/// Environment variable with the token of the member's operators.
pub const OPERATOR_TOKEN_VARIABLE: &str = "LAVENDERPLANK_OPERATOR_TOKEN";

/// Largest file with a secret, in bytes.
const MAX_SECRET_FILE: u64 = 4096;

/// Settings of one host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address told to callers and peers, where it differs from `http`.
    #[serde(default)]
    pub advertise_http: Option<SocketAddr>,
    /// Address told to peers, where it differs from `rpc`.
    #[serde(default)]
    pub advertise_rpc: Option<SocketAddr>,
    pub host: HostId,
    /// Where callers are served; port 0 lets the OS choose.
    pub http: SocketAddr,
    /// What callers may take up.
    #[serde(default)]
    pub ingress: IngressLimits,
    #[serde(default)]
    pub log: LogSettings,
    /// Ed25519 public key of the member's pipeline, 64 hex digits.
    pub manifest_key: Arc<str>,
    pub member: MemberId,
    /// Where metrics are sent over UDP.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// File with the operators' token, unless the environment has it.
    #[serde(default)]
    pub operator_token_file: Option<PathBuf>,
    /// File with the member's secret between hosts, unless the environment has it.
    #[serde(default)]
    pub peer_key_file: Option<PathBuf>,
    /// RPC addresses of hosts to start from.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    pub region: RegionId,
    /// Where peers and operators are served; port 0 lets the OS choose.
    pub rpc: SocketAddr,
    pub zone: ZoneId,
}

impl Settings {
    /// Reads and checks a settings file; the first problem is returned.
    pub fn load(path: &Path) -> Result<Self> {
        let text = yaml::read_file(path, MAX_FILE_BYTES)?;
        Self::parse(&text, &path.display().to_string())
    }

    /// Decodes and checks settings; the first problem is returned.
    pub fn parse(text: &str, file: &str) -> Result<Self> {
        Self::parse_all(text, file).map_err(|mut problems| problems.swap_remove(0))
    }

    /// Decodes and checks settings; every problem is returned, at least one.
    pub fn parse_all(text: &str, file: &str) -> std::result::Result<Self, Vec<Problem>> {
        let settings: Self = yaml::decode(text, file).map_err(|problem| vec![problem])?;
        let findings = check::check(&settings);
        if findings.is_empty() {
            return Ok(settings);
        }
        Err(yaml::locate_findings(&findings, text, file))
    }

    /// The public key that manifests of this member are verified with.
    pub fn verifying_key(&self) -> Result<VerifyingKey> {
        check::verifying_key(&self.manifest_key).ok_or_else(|| Problem {
            field: "manifest_key".into(),
            ..Problem::for_file("settings", "is no Ed25519 public key", check::KEY_FIX)
        })
    }

    /// The member's secret between hosts: from the environment, else from `peer_key_file`.
    pub fn peer_key(&self) -> Result<Secret> {
        secret(PEER_KEY_VARIABLE, "peer_key_file", self.peer_key_file.as_deref())
    }

    /// The operators' token: from the environment, else from `operator_token_file`.
    pub fn operator_token(&self) -> Result<Secret> {
        secret(OPERATOR_TOKEN_VARIABLE, "operator_token_file", self.operator_token_file.as_deref())
    }
}

fn secret(variable: &str, field: &str, path: Option<&Path>) -> Result<Secret> {
    if let Some(text) = std::env::var(variable).ok().filter(|text| !text.trim().is_empty()) {
        return Ok(Secret::new(&text));
    }
    let fix = format!("set {variable} or name a file of one line");
    let missing = |wrong: &str| Problem {
        field: field.into(),
        ..Problem::for_file("settings", wrong, fix.clone())
    };
    let path = path.ok_or_else(|| missing("no secret is given"))?;
    let text = yaml::read_file(path, MAX_SECRET_FILE)?;
    if text.trim().is_empty() {
        return Err(missing("the file with the secret is empty"));
    }
    Ok(Secret::new(&text))
}
