//! Connections to targets.

use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use crate::entry::connector::end_when_silent;

/// Guards against connections that stay open after they have fallen silent: the user timeout decides
/// when probes give up, whatever their number.
#[tokio::test]
async fn silent_connections_end_when_their_probes_are_due() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(addr).await.expect("a connection");
    end_when_silent(&stream).expect("the options are known");
    let socket = SockRef::from(&stream);
    assert!(socket.keepalive().expect("an option"));
    let idle = socket.tcp_keepalive_time().expect("an option");
    let interval = socket.tcp_keepalive_interval().expect("an option");
    let probing = idle + interval * socket.tcp_keepalive_retries().expect("an option");
    assert_eq!(socket.tcp_user_timeout().expect("an option"), Some(probing));
}
