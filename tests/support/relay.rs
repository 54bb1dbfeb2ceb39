//! TCP relay that can close, stall or pause its connections.

use std::net;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    task,
};

/// Fault of the connections that are open when it is injected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkFault {
    /// They are closed.
    Closed,
    /// They stay open and forward nothing from then on.
    Stalled,
    /// They forward nothing until [`TcpRelay::resume`], and then all data sent meanwhile.
    Paused,
}

/// Running relay to one address.
pub struct TcpRelay {
    address: net::SocketAddr,
    faults: watch::Sender<Option<LinkFault>>,
    task: task::JoinHandle<()>,
}

impl TcpRelay {
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

    /// Injects a fault into the open connections; later ones work. Returns how many were open.
    pub fn inject(&self, fault: LinkFault) -> usize {
        // The accepting task holds no receiver, so each receiver is one direction of a connection.
        let directions = self.faults.receiver_count();
        self.faults.send_replace(Some(fault));
        directions / 2
    }
}

impl TcpRelay {
    /// Lets paused connections forward again.
    pub fn resume(&self) {
        self.faults.send_replace(None);
    }
}

impl Drop for TcpRelay {
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
            let [outbound, inbound] = faults;
            tokio::select! {
                () = forward(stream_read, peer_write, outbound) => {}
                () = forward(peer_read, stream_write, inbound) => {}
            }
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Forwards one direction until it ends or is closed; the caller then drops both directions.
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
                    Some(LinkFault::Closed) => return,
                    Some(LinkFault::Stalled) => std::future::pending().await,
                    Some(LinkFault::Paused) => {
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
