//! Stand-ins for the clients, servers and discovery of a small deployment, and the means to run the proxy's program
//! between them. Everything is on loopback addresses; nothing but the standard library is used.

pub mod client;
pub mod discovery;
pub mod http;
pub mod proxy;
pub mod record;
pub mod server;
pub mod settings;
pub mod system;

use std::net::{SocketAddr, TcpListener};

/// Whether the disruption is on; `TROUBLE=0` turns it off.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A free loopback address.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}

/// Exits with 1 if the rule was broken, 0 if it held.
pub fn finish(record: &record::Record, broken: &[String]) -> ! {
    for line in broken {
        record.line(&format!("BROKEN: {line}"));
    }
    let verdict = if broken.is_empty() {
        "the rule held"
    } else {
        "the rule was broken"
    };
    record.line(&format!("{verdict}: {} breaks", broken.len()));
    std::process::exit(i32::from(!broken.is_empty()));
}

/// Exits with 2: the case could not run.
pub fn could_not_run(record: &record::Record, why: &str) -> ! {
    record.line(&format!("the case could not run: {why}"));
    std::process::exit(2);
}
