//! A target that serves one file, whole or from a byte on, and breaks off where it is told.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// The file that every target holds.
pub const CONTENT: &str = "showfile";

/// How a target answers.
#[derive(Clone, Copy, Debug)]
pub struct FileModel {
    /// Bytes of a rest that are sent before the connection is closed.
    pub cut_rest: usize,
    /// The same for a whole file.
    pub cut_whole: usize,
    pub etag: &'static str,
    /// Sent behind a rest, and counted in its length.
    pub extra: &'static str,
    /// Whether a whole file says how long it is; else it comes in chunks.
    pub has_length: bool,
    /// Whether it sends the whole file when asked for the rest of another edition.
    pub heeds_edition: bool,
    /// Bytes by which a rest begins too early.
    pub shift: usize,
    /// Whether it never ends a rest that it has begun.
    pub stalls: bool,
    pub status: &'static str,
}

impl Default for FileModel {
    fn default() -> Self {
        Self {
            cut_rest: usize::MAX,
            cut_whole: 4,
            etag: "\"a\"",
            extra: "",
            has_length: true,
            heeds_edition: true,
            shift: 0,
            stalls: false,
            status: "200 OK",
        }
    }
}

/// A running target; it ends when the handle is dropped.
pub struct FileTarget {
    pub address: SocketAddr,
    /// The first byte that each request asked for.
    starts: Arc<Mutex<Vec<usize>>>,
    task: JoinHandle<()>,
}

impl FileTarget {
    pub async fn bind(model: FileModel) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let starts = Arc::<Mutex<Vec<usize>>>::default();
        let log = starts.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, model, log.clone()));
            }
        });
        Self { address, starts, task }
    }

    /// The first byte that each request asked for.
    pub fn starts(&self) -> Vec<usize> {
        self.starts.lock().unwrap().clone()
    }
}

impl Drop for FileTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, model: FileModel, starts: Arc<Mutex<Vec<usize>>>) {
    let Some(head) = read_head(&mut stream).await else { return };
    if head.starts_with("get /load") {
        let _ = stream.write_all(b"HTTP/1.1 404 None\r\ncontent-length: 0\r\n\r\n").await;
        return;
    }
    let line = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let start = line("range: bytes=").map(|range| range.trim_end_matches('-').parse().unwrap());
    starts.lock().unwrap().push(start.unwrap_or_default());
    let is_same = line("if-range:").is_none_or(|etag| !model.heeds_edition || etag == model.etag);
    let (answer, most) = match start.filter(|_| is_same) {
        Some(start) => (rest(&model, start), model.cut_rest),
        None => (whole(&model), model.cut_whole),
    };
    let (head, body) = answer;
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&body.as_bytes()[..body.len().min(most)]).await;
    if model.stalls && start.is_some() {
        let _ = stream.read(&mut [0; 1]).await;
    }
}

fn whole(model: &FileModel) -> (String, String) {
    let FileModel { etag, status, .. } = model;
    let (length, body) = if model.has_length {
        (format!("content-length: {}", CONTENT.len()), CONTENT.into())
    } else {
        let (first, second) = CONTENT.split_at(4);
        ("transfer-encoding: chunked".into(), format!("4\r\n{first}\r\n4\r\n{second}\r\n0\r\n\r\n"))
    };
    (format!("HTTP/1.1 {status}\r\netag: {etag}\r\n{length}\r\n\r\n"), body)
}

fn rest(model: &FileModel, start: usize) -> (String, String) {
    let start = start - model.shift;
    let body = format!("{}{}", &CONTENT[start..], model.extra);
    let range = format!("bytes {start}-{}/{}", CONTENT.len() - 1, CONTENT.len());
    let etag = model.etag;
    let head = format!(
        "HTTP/1.1 206 Part\r\netag: {etag}\r\ncontent-range: {range}\r\ncontent-length: {}\r\n\r\n",
        body.len(),
    );
    (head, body)
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\r\n\r\n") {
        buf.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&buf).to_ascii_lowercase())
}
