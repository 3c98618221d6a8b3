//! UDP relay.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use async_std::io;
use async_std::net::UdpSocket;
use async_std::task::{self, JoinHandle};

use super::faults::{Direction, Shared};

/// Largest datagram forwarded whole.
const DATAGRAM_MAX_BYTES: usize = 64 * 1024;
/// Clients remembered; datagrams of further ones are dropped.
const CLIENTS_MAX: usize = 1_024;

pub struct UdpRelay {
    addr: SocketAddr,
    receiving: JoinHandle<()>,
}

/// Socket towards the target for one client; dropping it ends its replies.
struct Route {
    socket: Arc<UdpSocket>,
    replying: Option<JoinHandle<()>>,
}

impl Drop for Route {
    fn drop(&mut self) {
        if let Some(replying) = self.replying.take() {
            task::spawn(replying.cancel());
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
        let receiving = task::spawn(receive(socket, target, shared));
        Ok(Self { addr, receiving })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub async fn close(self) {
        self.receiving.cancel().await;
    }
}

async fn receive(socket: Arc<UdpSocket>, target: SocketAddr, shared: Arc<Shared>) {
    let mut routes: HashMap<SocketAddr, Route> = HashMap::new();
    let mut buf = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((len, client)) = socket.recv_from(&mut buf).await else { continue };
        if shared.drops(Direction::Up) {
            continue;
        }
        if !routes.contains_key(&client) {
            if routes.len() >= CLIENTS_MAX {
                continue;
            }
            let Ok(route) = open(socket.clone(), client, target, shared.clone()).await else {
                continue;
            };
            routes.insert(client, route);
        }
        let out = routes[&client].socket.clone();
        send_later(out, buf[..len].to_vec(), target, &shared);
    }
}

async fn open(
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    target: SocketAddr,
    shared: Arc<Shared>,
) -> io::Result<Route> {
    let mut local = target;
    local.set_port(0);
    let own = Arc::new(UdpSocket::bind(local).await?);
    let replying = task::spawn(reply(own.clone(), socket, client, shared));
    Ok(Route { socket: own, replying: Some(replying) })
}

/// Sends the target's datagrams back to the client.
async fn reply(
    own: Arc<UdpSocket>,
    socket: Arc<UdpSocket>,
    client: SocketAddr,
    shared: Arc<Shared>,
) {
    let mut buf = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let Ok((len, _)) = own.recv_from(&mut buf).await else { continue };
        if !shared.drops(Direction::Down) {
            send_later(socket.clone(), buf[..len].to_vec(), client, &shared);
        }
    }
}

/// Sends a datagram after its delay; jitter may reorder datagrams, as networks do.
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
