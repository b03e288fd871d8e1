//! `fulmarpath-standin`: stand-ins for the platform, engines and a plain service in one process,
//! for tests in which each host is a separate process.

use std::net::{Ipv4Addr, SocketAddr};

use bpaf::Bpaf;
use fulmarpath_standin::{
    EngineSpec, StandinEngine, StandinHostList, StandinObjectApi, StandinPlain,
};
use fulmarpath_store::{HostEntry, ListedState, Role};
use tokio::net::TcpListener;

/// Run stand-ins for the platform, engines and a plain service
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of engines
    #[bpaf(argument("N"), fallback(4))]
    engines: usize,
    /// Model that the engines serve
    #[bpaf(argument("MODEL"), fallback(String::from("gutachter-lm")))]
    model: String,
    /// Name of the plain service
    #[bpaf(argument("SERVICE"), fallback(String::from("pruefportal")))]
    plain: String,
    /// Entry hosts to list, as NAME=DATA_CENTRE=PEER_ADDRESS
    #[bpaf(argument("HOST"), many)]
    host: Vec<String>,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let options = options().run();
    let object_api = StandinObjectApi::start(listen().await?)?;
    let host_list = StandinHostList::start(listen().await?)?;
    let plain = StandinPlain::start(listen().await?)?;
    host_list.put(entry(
        "plain-1",
        Role::Plain,
        "zrh-a",
        &options.plain,
        plain.address,
    ));
    let mut engines = Vec::new();
    for number in 0..options.engines {
        let engine = StandinEngine::start(listen().await?, EngineSpec::default())?;
        let data_centre = ["zrh-a", "zrh-b", "zrh-c"][number % 3];
        let name = format!("engine-{number}");
        let listed = entry(
            &name,
            Role::Engine,
            data_centre,
            &options.model,
            engine.address,
        );
        host_list.put(listed);
        engines.push(engine);
    }
    for host in &options.host {
        let mut parts = host.split('=');
        let (name, data_centre, address) = (parts.next(), parts.next(), parts.next());
        let address: Option<SocketAddr> = address.and_then(|address| address.parse().ok());
        if let (Some(name), Some(data_centre), Some(address)) = (name, data_centre, address) {
            host_list.put(entry(name, Role::Entry, data_centre, "", address));
        }
    }
    println!("object_api {}", object_api.address);
    println!("host_list {}", host_list.address);
    std::future::pending().await
}

async fn listen() -> std::io::Result<TcpListener> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await
}

fn entry(
    name: &str,
    role: Role,
    data_centre: &str,
    serves: &str,
    address: SocketAddr,
) -> HostEntry {
    HostEntry {
        name: name.to_owned(),
        role,
        data_centre: data_centre.to_owned(),
        serves: serves.to_owned(),
        address,
        state: ListedState::Live,
    }
}
