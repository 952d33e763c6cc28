//! A target made of raw TCP steps, so that each failure comes at a chosen byte.

#![allow(dead_code, reason = "each test uses its part")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinHandle,
};

/// One step on a connection.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    Close,
    /// Waits for `RawTarget::release`.
    Hold,
    /// Reads the whole request, and counts it as run.
    ReadAll,
    /// Reads the request's head and this many bytes more.
    ReadPart(usize),
    Reset,
    Write(&'static str),
}

/// Runs the scripts in the order of connections; the last one stands for all after it.
pub struct RawTarget {
    pub address: SocketAddr,
    connections: Arc<AtomicUsize>,
    released: Arc<Notify>,
    runs: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl RawTarget {
    pub async fn bind(scripts: &[&[Step]]) -> Self {
        let scripts: Vec<Vec<Step>> = scripts.iter().map(|script| script.to_vec()).collect();
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (connections, runs) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let released = Arc::new(Notify::new());
        let (count, ran, release) = (connections.clone(), runs.clone(), released.clone());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let number = count.fetch_add(1, Ordering::SeqCst).min(scripts.len() - 1);
                tokio::spawn(play(stream, scripts[number].clone(), ran.clone(), release.clone()));
            }
        });
        Self { address, connections, released, runs, task }
    }

    /// Connections made so far.
    pub fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Lets one connection that holds, or the next that will, go on.
    pub fn release(&self) {
        self.released.notify_one();
    }

    /// Requests that were read whole.
    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    /// Waits until that many requests were read whole.
    pub async fn wait_for_runs(&self, runs: usize) {
        while self.runs() < runs {
            tokio::task::yield_now().await;
        }
    }
}

impl Drop for RawTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn play(
    mut stream: TcpStream,
    script: Vec<Step>,
    runs: Arc<AtomicUsize>,
    release: Arc<Notify>,
) {
    let mut buf = Vec::new();
    for step in script {
        match step {
            Step::Close => return,
            Step::Hold => release.notified().await,
            Step::ReadAll => {
                let Some((head, body)) = read_head(&mut stream, &mut buf).await else { return };
                if !read_to(&mut stream, &mut buf, head + body).await {
                    return;
                }
                buf.drain(..head + body);
                runs.fetch_add(1, Ordering::SeqCst);
            }
            Step::ReadPart(more) => {
                let Some((head, _)) = read_head(&mut stream, &mut buf).await else { return };
                if !read_to(&mut stream, &mut buf, head + more).await {
                    return;
                }
            }
            Step::Reset => {
                stream.set_zero_linger().unwrap();
                return;
            }
            Step::Write(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
            }
        }
    }
    // Keeps the connection open until the client closes it.
    let _ = stream.read(&mut [0; 1]).await;
}

/// Lengths of the head and of the body that it announces.
async fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(usize, usize)> {
    loop {
        if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buf[..end]).to_ascii_lowercase();
            let length = head.lines().find_map(|line| line.strip_prefix("content-length:"));
            return Some((end + 4, length.map_or(0, |text| text.trim().parse().unwrap())));
        }
        let have = buf.len();
        if !read_to(stream, buf, have + 1).await {
            return None;
        }
    }
}

async fn read_to(stream: &mut TcpStream, buf: &mut Vec<u8>, length: usize) -> bool {
    while buf.len() < length {
        if !matches!(stream.read_buf(buf).await, Ok(read) if 0 < read) {
            return false;
        }
    }
    true
}
