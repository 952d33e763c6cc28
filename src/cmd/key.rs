//! `key`: the pair of keys that manifests are signed and verified with.

use std::{
    fs::{self, OpenOptions},
    io::Write,
    os::unix::fs::{OpenOptionsExt, PermissionsExt},
    path::{Path, PathBuf},
};

use ed25519_dalek::SigningKey;
use eyre::{WrapErr, bail, ensure};
use rand::{TryRngCore, rngs::OsRng};

use super::{Exit, Result, output};

/// Only the owner may read a private key.
const PRIVATE_MODE: u32 = 0o600;

/// Makes or shows the key of a member's pipeline.
#[derive(Debug, clap::Args)]
#[command(after_help = "Example:\n  lavenderplank key new --out pipeline.key")]
pub struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Writes a new private key to a file and prints its public key.
    New {
        /// File for the private key; must not exist.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Prints the public key of a private key file.
    Show {
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
}

/// Makes or shows a key.
pub fn run(args: Args) -> Result {
    let key = match &args.command {
        Command::New { out } => create(out)?,
        Command::Show { file } => load(file)?,
    };
    output::line(hex::encode(key.verifying_key().to_bytes()))?;
    Ok(Exit::Done)
}

/// Reads a private key file.
pub fn load(path: &Path) -> Result<SigningKey> {
    let name = path.display();
    let text = fs::read_to_string(path).wrap_err_with(|| format!("{name} can't be read"))?;
    let mode = fs::metadata(path)?.permissions().mode();
    ensure!(mode & 0o077 == 0, "{name} may be read by others; run `chmod 600 {name}`");
    let seed = hex::decode(text.trim()).ok().and_then(|seed| <[u8; 32]>::try_from(seed).ok());
    match seed {
        Some(seed) => Ok(SigningKey::from_bytes(&seed)),
        None => bail!("{name} is no private key; make one with `lavenderplank key new`"),
    }
}

fn create(path: &Path) -> Result<SigningKey> {
    let mut seed = [0; 32];
    OsRng.try_fill_bytes(&mut seed).wrap_err("the system gives no random numbers")?;
    let key = SigningKey::from_bytes(&seed);
    let name = path.display();
    let mut options = OpenOptions::new();
    // Never over an existing file: a lost private key can't be had back.
    let mut file = options
        .create_new(true)
        .write(true)
        .mode(PRIVATE_MODE)
        .open(path)
        .wrap_err_with(|| format!("{name} can't be created"))?;
    writeln!(file, "{}", hex::encode(seed)).wrap_err_with(|| format!("{name}"))?;
    Ok(key)
}
