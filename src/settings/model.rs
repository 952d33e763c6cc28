//! The settings as data, with the same structure as their YAML.

use std::path::{Path, PathBuf};

use ed25519_dalek::VerifyingKey;

use super::{LogSettings, Problem, Result, Secret, check};
use crate::{
    ingress::IngressLimits,
    prelude::*,
    yaml::{self, MAX_FILE_BYTES},
};

/// Environment variable with the secret shared by the hosts of the member.
pub const PEER_KEY_VARIABLE: &str = "LAVENDERPLANK_PEER_KEY";

/// Environment variable with the token of the member's operators.
pub const OPERATOR_TOKEN_VARIABLE: &str = "LAVENDERPLANK_OPERATOR_TOKEN";

/// Maximum size of a file with a secret, in bytes.
const MAX_SECRET_FILE_BYTES: u64 = 4096;

/// Settings of one host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// HTTP address announced to callers and peers, if it differs from `http`.
    #[serde(default)]
    pub advertise_http: Option<SocketAddr>,
    /// RPC address announced to peers, if it differs from `rpc`.
    #[serde(default)]
    pub advertise_rpc: Option<SocketAddr>,
    pub host: HostId,
    /// Listen address for callers; with port 0 the OS chooses the port.
    pub http: SocketAddr,
    /// Limits on the resources used by callers.
    #[serde(default)]
    pub ingress: IngressLimits,
    #[serde(default)]
    pub log: LogSettings,
    /// Ed25519 public key of the member's pipeline, as 64 hex digits.
    pub manifest_key: Arc<str>,
    pub member: MemberId,
    /// Address to which metrics are sent over UDP.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// File with the operators' token, unless it is set in the environment.
    #[serde(default)]
    pub operator_token_file: Option<PathBuf>,
    /// File with the secret shared by the member's hosts, unless it is set in the environment.
    #[serde(default)]
    pub peer_key_file: Option<PathBuf>,
    /// RPC addresses of the first hosts to contact.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    pub region: RegionId,
    /// Listen address for peers and operators; with port 0 the OS chooses the port.
    pub rpc: SocketAddr,
    pub zone: ZoneId,
}

impl Settings {
    /// Reads and checks a settings file; returns the first problem.
    pub fn load(path: &Path) -> Result<Self> {
        let text = yaml::read_file(path, MAX_FILE_BYTES)?;
        Self::parse(&text, &path.display().to_string())
    }

    /// Decodes and checks settings; returns the first problem.
    pub fn parse(text: &str, file: &str) -> Result<Self> {
        Self::parse_all(text, file).map_err(|mut problems| problems.swap_remove(0))
    }

    /// Decodes and checks settings; returns all problems, of which there is at least one.
    pub fn parse_all(text: &str, file: &str) -> std::result::Result<Self, Vec<Problem>> {
        let settings: Self = yaml::decode(text, file).map_err(|problem| vec![problem])?;
        let findings = check::check(&settings);
        if findings.is_empty() {
            return Ok(settings);
        }
        Err(yaml::locate_findings(&findings, text, file))
    }

    /// Returns the public key that verifies the manifests of this member.
    pub fn verifying_key(&self) -> Result<VerifyingKey> {
        check::verifying_key(&self.manifest_key).ok_or_else(|| Problem {
            field: "manifest_key".into(),
            ..Problem::for_file("settings", "is not an Ed25519 public key", check::KEY_FIX)
        })
    }

    /// Returns the secret shared by the member's hosts, from the environment or from
    /// `peer_key_file`.
    pub fn peer_key(&self) -> Result<Secret> {
        read_secret(PEER_KEY_VARIABLE, "peer_key_file", self.peer_key_file.as_deref())
    }

    /// Returns the operators' token, from the environment or from `operator_token_file`.
    pub fn operator_token(&self) -> Result<Secret> {
        read_secret(
            OPERATOR_TOKEN_VARIABLE,
            "operator_token_file",
            self.operator_token_file.as_deref(),
        )
    }
}

fn read_secret(variable: &str, field: &str, path: Option<&Path>) -> Result<Secret> {
    if let Some(text) = std::env::var(variable).ok().filter(|text| !text.trim().is_empty()) {
        return Ok(Secret::new(&text));
    }
    let fix = format!("set {variable} or name a file with one line");
    let missing_secret = |wrong: &str| Problem {
        field: field.into(),
        ..Problem::for_file("settings", wrong, fix.clone())
    };
    let path = path.ok_or_else(|| missing_secret("no secret is configured"))?;
    let text = yaml::read_file(path, MAX_SECRET_FILE_BYTES)?;
    if text.trim().is_empty() {
        return Err(missing_secret("the file with the secret is empty"));
    }
    Ok(Secret::new(&text))
}
