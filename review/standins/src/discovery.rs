//! Discovery: the whole list at once; a watch waits for as long as it may and then tells that nothing has changed, or
//! tells a list that was replaced meanwhile.

use crate::http::{response, Reader};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A server as the list tells it.
#[derive(Clone)]
pub struct Listed {
    pub host: String,
    pub address: SocketAddr,
    pub site: String,
    pub block: u32,
    pub health: &'static str,
}

/// The list in discovery's form.
pub fn list_text(sequence: u64, servers: &[Listed]) -> String {
    let entry = |server: &Listed| {
        let Listed {
            host,
            address,
            site,
            block,
            health,
        } = server;
        format!(
            "{{\"host\":\"{host}\",\"dial\":\"{address}\",\"site\":\"{site}\",\"class\":\"std\",\"block\":{block},\
             \"health\":\"{health}\",\"share\":1.0,\"born_ms\":0}}"
        )
    };
    let hosts: Vec<String> = servers.iter().map(entry).collect();
    format!(
        "{{\"seq\":{sequence},\"whole\":true,\"hosts\":[{}]}}",
        hosts.join(",")
    )
}

/// A running discovery.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<Mutex<(u64, Vec<Listed>)>>,
}

impl Discovery {
    pub fn start(servers: Vec<Listed>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("its address");
        let list = Arc::new(Mutex::new((41, servers)));
        let shared = Arc::clone(&list);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let list = Arc::clone(&shared);
                thread::spawn(move || serve(stream, &list));
            }
        });
        Discovery { address, list }
    }

    /// Replaces the list; open watches tell it at once.
    pub fn replace(&self, servers: Vec<Listed>) {
        let mut list = self.list.lock().expect("the list is not poisoned");
        list.0 += 1;
        list.1 = servers;
    }

    /// The list as it stands.
    pub fn text(&self) -> String {
        let list = self.list.lock().expect("the list is not poisoned");
        list_text(list.0, &list.1)
    }
}

fn query(target: &str, name: &str) -> Option<u64> {
    let (_, query) = target.split_once('?')?;
    let value = query
        .split('&')
        .find_map(|part| part.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}

fn serve(mut stream: TcpStream, list: &Mutex<(u64, Vec<Listed>)>) {
    let mut reader = Reader::default();
    while let Ok(request) = reader.read(&mut stream) {
        let target = request
            .first_line
            .split(' ')
            .nth(1)
            .unwrap_or_default()
            .to_string();
        let from = query(&target, "from");
        let until = Instant::now() + Duration::from_millis(query(&target, "hold_ms").unwrap_or(0));
        let text = loop {
            let current = list.lock().expect("the list is not poisoned");
            if from != Some(current.0) {
                break list_text(current.0, &current.1);
            }
            if Instant::now() >= until {
                break format!("{{\"seq\":{},\"whole\":false,\"hosts\":[]}}", current.0);
            }
            drop(current);
            thread::sleep(Duration::from_millis(10));
        };
        if stream.write_all(&response(200, &text)).is_err() {
            return;
        }
    }
}
