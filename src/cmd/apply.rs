//! `apply`: puts a signed manifest in force.

use std::{path::PathBuf, time::Instant};

use ed25519_dalek::VerifyingKey;
use eyre::eyre;

use super::{Exit, Result, connect, output};
use crate::{
    base::BootClock,
    manifest::{
        AcceptError, AcceptOutcome, DEFAULT_LOAD, LoadShares, Manifest, ManifestDiff, Proposal,
        RolloutStatus, accept, preview,
    },
    operator::HostStatus,
    peer::PeerClient,
    prelude::*,
    store::{HttpPlatform, Platform, RateLimits},
    yaml,
};

/// Largest signed file, in bytes.
const MAX_SIGNED_FILE: u64 = 128 * 1024 * 1024;

/// Pause between two looks at the hosts.
const LOOK_EVERY: Duration = Duration::from_millis(500);

/// Puts a signed manifest in force.
#[derive(Debug, clap::Args)]
#[command(
    after_help = "Example:\n  lavenderplank apply manifest.yaml.signed --platform 10.0.0.5:9000 \\\n    \
                  --manifest-key 3d40...660c --wait --host 10.0.1.1:7000"
)]
pub struct Args {
    /// What `sign` wrote.
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Address of the platform's object API.
    #[arg(long, value_name = "ADDR")]
    platform: SocketAddr,
    /// Public key of the member's pipeline, 64 hex digits.
    #[arg(long, value_name = "HEX", env = "LAVENDERPLANK_MANIFEST_KEY")]
    manifest_key: String,
    /// Show what would change, and change nothing.
    #[arg(long)]
    dry_run: bool,
    /// Return when it is in force in every zone.
    #[arg(long, requires = "host")]
    wait: bool,
    /// RPC address of any host of the member, for `--wait`.
    #[arg(long, value_name = "ADDR")]
    host: Option<SocketAddr>,
    /// File with the operators' token for `--wait`, unless LAVENDERPLANK_OPERATOR_TOKEN has it.
    #[arg(long, value_name = "FILE")]
    token_file: Option<PathBuf>,
    /// How long `--wait` waits, in seconds.
    #[arg(long, value_name = "SECONDS", default_value_t = 30)]
    timeout: u64,
    /// Share of a region's slots taken as busy when the change is held against the limits.
    #[arg(long, value_name = "SHARE", default_value_t = DEFAULT_LOAD)]
    load: f64,
    /// Print the outcome as JSON.
    #[arg(long)]
    json: bool,
}

/// The outcome, for programs.
#[derive(Serialize)]
struct Outcome {
    change: Option<ManifestDiff>,
    error: Option<String>,
    in_force: Option<RolloutStatus>,
    /// `accepted`, `dry-run`, `refused`, `same` or `superseded`.
    result: &'static str,
    sequence: Sequence,
}

/// Applies; failed if it is refused or not in force everywhere in time.
pub fn run(args: Args) -> Result {
    connect::block_on(apply(&args))
}

async fn apply(args: &Args) -> Result {
    let (proposal, key) = match input(args) {
        Ok(input) => input,
        Err(problem) => {
            output::complaint(problem)?;
            return Ok(Exit::BadInput);
        }
    };
    let manifest = match proposal.signed.verify(&proposal.member, &key) {
        Ok(manifest) => manifest,
        Err(reason) => return refuse(args, 0, reason.into()),
    };
    if args.wait {
        // Told now, not after the manifest was accepted.
        connect::operator_token(args.token_file.as_deref())?;
    }
    let clock = Arc::new(BootClock);
    let platform = HttpPlatform::with_limits(args.platform, RateLimits::OPERATOR, clock);
    let loads = LoadShares::uniform(args.load);
    if args.dry_run {
        return dry_run(args, &platform, &proposal, &key, &loads, &manifest).await;
    }
    let (result, change) = match accept(&platform, &proposal, &key, &loads).await {
        Ok(AcceptOutcome::Accepted { change, .. }) => ("accepted", Some(change)),
        Ok(AcceptOutcome::Unchanged) => ("same", None),
        Ok(AcceptOutcome::Superseded { .. }) => ("superseded", None),
        Err(err) => return refuse(args, manifest.sequence, err),
    };
    let mut outcome =
        Outcome { change, error: None, in_force: None, result, sequence: manifest.sequence };
    let mut exit = Exit::Done;
    if args.wait {
        let in_force = wait(args, &manifest).await?;
        exit = if in_force.is_complete() { Exit::Done } else { Exit::Failed };
        outcome.in_force = Some(in_force);
    }
    print(args, &outcome)?;
    Ok(exit)
}

fn input(args: &Args) -> std::result::Result<(Proposal, VerifyingKey), String> {
    let file = args.file.display();
    let text = yaml::read_file(&args.file, MAX_SIGNED_FILE).map_err(|err| err.to_string())?;
    let proposal = serde_json::from_str(&text)
        .map_err(|err| format!("{file}: {err}; give a file that `lavenderplank sign` wrote"))?;
    let key = hex::decode(&args.manifest_key)
        .ok()
        .and_then(|bytes| <[u8; 32]>::try_from(bytes).ok())
        .and_then(|bytes| VerifyingKey::from_bytes(&bytes).ok())
        .ok_or("--manifest-key: is no public key; give the hex digits that `key show` prints")?;
    if !(0.0..=1.0).contains(&args.load) {
        return Err(format!("--load: is {}; give a share from 0 to 1", args.load));
    }
    Ok((proposal, key))
}

async fn dry_run(
    args: &Args,
    platform: &dyn Platform,
    proposal: &Proposal,
    key: &VerifyingKey,
    loads: &LoadShares,
    manifest: &Manifest,
) -> Result {
    let change = match preview(platform, proposal, key, loads).await {
        Ok(change) | Err(AcceptError::LimitsExceeded(change)) => change,
        Err(err) => return refuse(args, manifest.sequence, err),
    };
    let exit = if change.breaches.is_empty() { Exit::Done } else { Exit::Failed };
    let outcome = Outcome {
        change: Some(change),
        error: None,
        in_force: None,
        result: "dry-run",
        sequence: manifest.sequence,
    };
    print(args, &outcome)?;
    Ok(exit)
}

fn refuse(args: &Args, sequence: Sequence, err: AcceptError) -> Result {
    let error = err.to_string();
    let change = if let AcceptError::LimitsExceeded(change) = err { Some(change) } else { None };
    if args.json {
        let error = Some(error);
        output::json(&Outcome { change, error, in_force: None, result: "refused", sequence })?;
    } else {
        output::complaint(format!("refused: {error}"))?;
    }
    Ok(Exit::Failed)
}

/// Asks every host that `--host` knows which manifest it has in force, until all have this one.
async fn wait(args: &Args, manifest: &Manifest) -> Result<RolloutStatus> {
    let first = args.host.ok_or_else(|| eyre!("--wait needs --host"))?;
    let client = PeerClient::new(
        connect::operator_token(args.token_file.as_deref())?,
        manifest.member.clone(),
    );
    let begun = Instant::now();
    loop {
        let in_force = look(&client, first, manifest).await;
        let is_late = Duration::from_secs(args.timeout) <= begun.elapsed();
        if in_force.is_complete() || is_late {
            return Ok(in_force);
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
}

async fn look(client: &PeerClient, first: SocketAddr, manifest: &Manifest) -> RolloutStatus {
    let mut in_force = RolloutStatus::new(manifest);
    let Ok(status) = client.status(first).await else { return in_force };
    let asked = status.hosts.iter().map(|host| async move {
        let answer: Option<HostStatus> = client.own_status(host.rpc).await.ok();
        (host, answer.and_then(|status| status.sequence))
    });
    for (host, sequence) in futures::future::join_all(asked).await {
        in_force.record(&host.zone, &host.id, sequence);
    }
    in_force
}

fn print(args: &Args, outcome: &Outcome) -> Result<()> {
    if args.json {
        return output::json(outcome);
    }
    output::line(format!("manifest {}: {}", outcome.sequence, outcome.result))?;
    if let Some(change) = &outcome.change {
        for note in &change.notes {
            output::line(format!("  {note}"))?;
        }
        for moved in &change.moves {
            output::line(format!("  {moved}"))?;
        }
        for breach in &change.breaches {
            output::line(format!("  would be refused: {breach}"))?;
        }
    }
    if let Some(in_force) = &outcome.in_force {
        output::line(in_force)?;
    }
    Ok(())
}
