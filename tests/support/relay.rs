//! TCP relay that can cut its connections or go silent.

use std::net;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    task,
};

/// What happens to the connections that are open at the time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// They are closed.
    Cut,
    /// They stay open and forward nothing any more.
    Silent,
    /// They forward nothing until [`Relay::release`], and then all that was sent meanwhile.
    Held,
}

/// Running relay to one address.
pub struct Relay {
    address: net::SocketAddr,
    faults: watch::Sender<Option<LinkFault>>,
    task: task::JoinHandle<()>,
}

impl Relay {
    /// Relays connections from a free loopback port to `target`.
    pub async fn start(target: net::SocketAddr) -> Self {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0))
            .await
            .unwrap();
        let address = listener.local_addr().unwrap();
        let faults = watch::Sender::new(None);
        let task = tokio::spawn(accept(listener, target, faults.clone()));
        Self {
            address,
            faults,
            task,
        }
    }

    /// Address to connect to.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Breaks the open connections; later ones work. Returns how many were open.
    pub fn fail(&self, fault: LinkFault) -> usize {
        // The accepting task holds no receiver, so each receiver is one direction of a connection.
        let directions = self.faults.receiver_count();
        self.faults.send_replace(Some(fault));
        directions / 2
    }
}

impl Relay {
    /// Lets the held connections forward again.
    pub fn release(&self) {
        self.faults.send_replace(None);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: net::SocketAddr,
    faults: watch::Sender<Option<LinkFault>>,
) {
    // Dropping the set with this task ends the connections.
    let mut connections = task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let faults = [faults.subscribe(), faults.subscribe()];
        connections.spawn(async move {
            let Ok(peer) = TcpStream::connect(target).await else {
                return;
            };
            let _ = (stream.set_nodelay(true), peer.set_nodelay(true));
            let (stream_read, stream_write) = stream.into_split();
            let (peer_read, peer_write) = peer.into_split();
            let [there, back] = faults;
            tokio::select! {
                () = forward(stream_read, peer_write, there) => {}
                () = forward(peer_read, stream_write, back) => {}
            }
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Forwards one direction until it ends or is cut; the caller then drops both directions.
async fn forward(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut faults: watch::Receiver<Option<LinkFault>>,
) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = tokio::select! {
            read = from.read(&mut buffer) => read.unwrap_or(0),
            _ = faults.changed() => {
                let fault = *faults.borrow();
                match fault {
                    None => {}
                    Some(LinkFault::Cut) => return,
                    Some(LinkFault::Silent) => std::future::pending().await,
                    Some(LinkFault::Held) => {
                        let _ = faults.wait_for(Option::is_none).await;
                    }
                }
                continue;
            }
        };
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
