//! Loopback relay that counts the bytes of one connection in both directions.

use std::{io, net};

use tokio::{io::AsyncWriteExt, net::TcpListener, net::TcpStream, task};

/// Bytes of the payload of a closed connection, without headers of TCP and IP.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayedBytes {
    pub sent: u64,
    pub received: u64,
}

/// Relay for one connection.
pub struct CountingRelay {
    address: net::SocketAddr,
    task: task::JoinHandle<io::Result<RelayedBytes>>,
}

impl CountingRelay {
    /// Listens on a loopback port and forwards its first connection to `target`.
    ///
    /// # Errors
    /// The error of the socket when no port can be bound.
    pub async fn start(target: net::SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(forward(listener, target));
        Ok(Self { address, task })
    }

    /// Address to connect to.
    #[must_use]
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Waits until the client has closed its connection and returns the counts.
    ///
    /// # Errors
    /// The error of a socket when the relay failed.
    pub async fn finish(self) -> io::Result<RelayedBytes> {
        self.task.await.map_err(io::Error::other)?
    }
}

async fn forward(listener: TcpListener, target: net::SocketAddr) -> io::Result<RelayedBytes> {
    let (mut client, _) = listener.accept().await?;
    let mut server = TcpStream::connect(target).await?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (sent, received) = tokio::io::copy_bidirectional(&mut client, &mut server).await?;
    server.shutdown().await.ok();
    Ok(RelayedBytes { sent, received })
}
