//! UDP relay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io;
use async_std::net::UdpSocket;
use async_std::task::{self, JoinHandle};

use super::faults::{Direction, Shared};

/// Maximum size of a datagram that is forwarded whole.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;
/// Maximum number of clients; datagrams from further ones are dropped.
const MAX_CLIENTS: usize = 1_024;

pub struct UdpRelay {
    addr: SocketAddr,
    receive_task: JoinHandle<()>,
}

/// Socket to the target for one client; dropping it stops the relay of replies.
struct ClientSession {
    socket: Arc<UdpSocket>,
    reply_task: Option<JoinHandle<()>>,
}

impl Drop for ClientSession {
    fn drop(&mut self) {
        if let Some(reply_task) = self.reply_task.take() {
            task::spawn(reply_task.cancel());
        }
    }
}

impl UdpRelay {
    pub async fn start(
        listen: SocketAddr,
        target: SocketAddr,
        shared: Arc<Shared>,
    ) -> io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind(listen).await?);
        let addr = socket.local_addr()?;
        let receive_task = task::spawn(relay_requests(socket, target, shared));
        Ok(Self { addr, receive_task })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub async fn close(self) {
        self.receive_task.cancel().await;
    }
}

async fn relay_requests(socket: Arc<UdpSocket>, target: SocketAddr, shared: Arc<Shared>) {
    let mut sessions: HashMap<SocketAddr, ClientSession> = HashMap::new();
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, client)) = socket.recv_from(&mut buf).await else { continue };
        if shared.drops_datagram(Direction::Up) {
            continue;
        }
        if !sessions.contains_key(&client) {
            if sessions.len() >= MAX_CLIENTS {
                continue;
            }
            let Ok(session) = open_session(socket.clone(), client, target, shared.clone()).await
            else {
                continue;
            };
            sessions.insert(client, session);
        }
        let out = sessions[&client].socket.clone();
        send_later(out, buf[..len].to_vec(), target, &shared);
    }
}

async fn open_session(
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    target: SocketAddr,
    shared: Arc<Shared>,
) -> io::Result<ClientSession> {
    let mut local = target;
    local.set_port(0);
    let target_socket = Arc::new(UdpSocket::bind(local).await?);
    let reply_task = task::spawn(relay_replies(target_socket.clone(), socket, client, shared));
    Ok(ClientSession { socket: target_socket, reply_task: Some(reply_task) })
}

/// Relays the target's datagrams to the client.
async fn relay_replies(
    target_socket: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    shared: Arc<Shared>,
) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((len, _)) = target_socket.recv_from(&mut buf).await else { continue };
        if !shared.drops_datagram(Direction::Down) {
            send_later(socket.clone(), buf[..len].to_vec(), client, &shared);
        }
    }
}

/// Sends a datagram after its delay. As in a network, jitter may reorder datagrams.
fn send_later(socket: Arc<UdpSocket>, bytes: Vec<u8>, to: SocketAddr, shared: &Shared) {
    let delay = shared.delay();
    task::spawn(async move {
        if !delay.is_zero() {
            task::sleep(delay).await;
        }
        // A datagram that cannot be sent is lost.
        let _ = socket.send_to(&bytes, to).await;
    });
}
