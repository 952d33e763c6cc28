//! Targets that crash on some requests, and lose all that runs beside them.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Notify,
    task::JoinHandle,
};

/// Paths that begin with it crash the target.
pub const POISON: &str = "/poison";

/// Time that any other request takes.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// Crashes by path, over all targets that share it.
pub type Crashes = Arc<Mutex<BTreeMap<String, u32>>>;

/// A running target; it is back at once after a crash, and ends when the handle is dropped.
pub struct CrashTarget {
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl CrashTarget {
    pub async fn bind(crashes: Crashes) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let crash = Arc::new(Notify::new());
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, crash.clone(), crashes.clone()));
            }
        });
        Self { address, task }
    }
}

impl Drop for CrashTarget {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, crash: Arc<Notify>, crashes: Crashes) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let Ok(byte) = stream.read_u8().await else { return };
        head.push(byte);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let path = head.split(' ').nth(1).unwrap_or_default();
    if path.starts_with(POISON) {
        *crashes.lock().unwrap().entry(path.into()).or_default() += 1;
        crash.notify_waiters();
        return;
    }
    if path != "/load" {
        tokio::select! {
            () = crash.notified() => return,
            () = tokio::time::sleep(SERVICE_TIME) => {}
        }
    }
    let answer = b"HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 2\r\n\r\nok";
    let _ = stream.write_all(answer).await;
}
