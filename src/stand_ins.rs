//! Stand-ins of the external systems on fixed loopback ports, for manual tests.

use std::{io, net, sync::Arc};

use endpoints::{stand_in, stand_in_service};
use platform::stand_in::{
    instances::MemoryInstances,
    log::MemoryLog,
    server::{PlatformServer, PlatformServices},
    weights::MemoryWeights,
};

const LOG_BYTES: usize = 64 << 20;

/// Ports of the stand-ins on 127.0.0.1.
#[derive(Clone, Copy, Debug)]
pub struct StandInPorts {
    pub engine: u16,
    pub platform: u16,
    pub service: u16,
}

/// Running stand-ins.
pub struct StandIns {
    engine: stand_in::StandInEngine,
    platform: PlatformServer,
    service: stand_in_service::StandInService,
}

impl StandIns {
    /// Starts one engine, one plain service and the platform's services.
    ///
    /// # Errors
    /// The error of the operating system when a port is in use.
    pub async fn start(ports: StandInPorts) -> io::Result<Self> {
        let weights = Arc::new(MemoryWeights::default());
        let services = PlatformServices {
            log: Arc::new(MemoryLog::new(LOG_BYTES)),
            instances: Arc::new(MemoryInstances::default()),
            weights: Arc::clone(&weights) as _,
        };
        let platform = PlatformServer::start_at(loopback_address(ports.platform), services).await?;
        let options = stand_in::EngineOptions::default();
        let address = loopback_address(ports.engine);
        let engine = stand_in::StandInEngine::start_at(address, options, Some(weights)).await?;
        let service =
            stand_in_service::StandInService::start_at(loopback_address(ports.service)).await?;
        Ok(Self {
            engine,
            platform,
            service,
        })
    }

    /// Stops all stand-ins.
    pub async fn close(self) {
        self.engine.close();
        self.service.close();
        self.platform.close().await;
    }
}

fn loopback_address(port: u16) -> net::SocketAddr {
    (net::Ipv4Addr::LOCALHOST, port).into()
}
