//! Arguments of the subcommands that ask a host.

use std::path::{Path, PathBuf};

use eyre::{WrapErr, bail};

use super::Result;
use crate::{
    peer::PeerClient,
    prelude::*,
    settings::{OPERATOR_TOKEN_VARIABLE, Secret},
};

/// Whom to ask, and as whom.
#[derive(Debug, clap::Args)]
pub struct Connect {
    /// RPC address of any host of the member; given more than once, the first that answers.
    #[arg(long, value_name = "ADDR", env = "LAVENDERPLANK_HOST", required = true)]
    #[arg(value_delimiter = ',')]
    host: Vec<SocketAddr>,
    /// The member whose operator you are.
    #[arg(long, value_name = "NAME", env = "LAVENDERPLANK_MEMBER")]
    member: MemberId,
    /// File with the operators' token, unless LAVENDERPLANK_OPERATOR_TOKEN has it.
    #[arg(long, value_name = "FILE")]
    token_file: Option<PathBuf>,
}

impl Connect {
    /// A client with the operators' token.
    pub fn client(&self) -> Result<PeerClient> {
        Ok(PeerClient::new(operator_token(self.token_file.as_deref())?, self.member.clone()))
    }

    /// Asks the given hosts one after the other, until one answers.
    pub async fn first<T, F>(&self, ask: impl Fn(SocketAddr) -> F) -> crate::peer::Result<T>
    where
        F: Future<Output = crate::peer::Result<T>>,
    {
        use crate::peer::PeerError::{Malformed, Unreachable};
        let mut last = Err(Malformed("no host was given".into()));
        for host in &self.host {
            last = ask(*host).await;
            if !matches!(last, Err(Unreachable { .. })) {
                break;
            }
        }
        last
    }
}

/// The operators' token: from the environment, else from `file`.
pub fn operator_token(file: Option<&Path>) -> Result<Secret> {
    let text = match (std::env::var(OPERATOR_TOKEN_VARIABLE), file) {
        (Ok(text), _) => text,
        (Err(_), Some(path)) => std::fs::read_to_string(path)
            .wrap_err_with(|| format!("{} can't be read", path.display()))?,
        (Err(_), None) => bail!("set {OPERATOR_TOKEN_VARIABLE} or give --token-file"),
    };
    Ok(Secret::new(&text))
}

/// Runs a subcommand that waits for answers.
pub fn block_on<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    tokio::runtime::Builder::new_current_thread().enable_all().build()?.block_on(work)
}
