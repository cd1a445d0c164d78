//! A network link to a server in the other building: bytes pass unchanged, each after the link's delay.

use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::thread;
use std::time::{Duration, Instant};

/// Opens a link to `target`; returns the address to connect to.
pub fn open(target: SocketAddr, delay: Duration) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let Ok(far) = TcpStream::connect(target) else {
                continue;
            };
            for stream in [&near, &far] {
                _ = stream.set_nodelay(true);
            }
            if let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) {
                carry(near, far_copy, delay);
                carry(far, near_copy, delay);
            }
        }
    });
    Ok(address)
}

/// Carries bytes one way. Bytes that are written to the link together leave it together.
fn carry(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    thread::spawn(move || {
        let mut buffer = [0; 64 << 10];
        while let Ok(n) = from.read(&mut buffer) {
            let due = Instant::now() + delay;
            if sender.send((due, buffer[..n].to_vec())).is_err() || n == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (due, bytes) in receiver {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if bytes.is_empty() || to.write_all(&bytes).is_err() {
                break;
            }
        }
        _ = to.shutdown(Shutdown::Both);
    });
}
