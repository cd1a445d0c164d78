//! Rereading the configuration beside the loop: files are read and routes compiled on a thread of its own, and the
//! loop takes over what is ready in one step.

use crate::config::{Config, ConfigError};
use std::io::Write;
use std::os::unix::net::UnixStream;
use std::sync::mpsc::{channel, Receiver, Sender, TryRecvError};
use std::thread;

/// Reads the configuration again, wherever it came from.
pub type Reread = Box<dyn FnMut() -> Result<Config, ConfigError> + Send>;
type Read = (Reread, Result<Config, ConfigError>);

pub struct Reloads {
    /// With the thread while that is at it.
    reread: Option<Reread>,
    /// Asked again while the thread was at it: what it reads may be older than that.
    again: bool,
    send: Sender<Read>,
    ended: Receiver<Read>,
    waker: UnixStream,
}

impl Reloads {
    /// `waker`: wakes the loop when something is written to it.
    pub fn new(reread: Reread, waker: UnixStream) -> Reloads {
        let (send, ended) = channel();
        Reloads { reread: Some(reread), again: false, send, ended, waker }
    }

    pub fn begin(&mut self) {
        let Some(mut reread) = self.reread.take() else {
            self.again = true;
            return;
        };
        let waker = match self.waker.try_clone() {
            Ok(waker) => waker,
            Err(error) => {
                self.reread = Some(reread);
                return log::error!("the configuration can't be reread: {error}");
            }
        };
        let send = self.send.clone();
        let work = move || {
            let read = reread();
            _ = send.send((reread, read));
            // A full socket wakes the loop as well as one more byte would.
            _ = (&waker).write(&[1]);
        };
        if let Err(error) = thread::Builder::new().name("reload".into()).spawn(work) {
            // The source is gone with the thread that never was; what serves goes on.
            log::error!("the configuration can't be reread any more: {error}");
        }
    }

    /// What was read, once it is there.
    pub fn ended(&mut self) -> Option<Result<Config, ConfigError>> {
        let (reread, read) = match self.ended.try_recv() {
            Ok(read) => read,
            Err(TryRecvError::Empty | TryRecvError::Disconnected) => return None,
        };
        self.reread = Some(reread);
        if std::mem::take(&mut self.again) {
            self.begin();
        }
        Some(read)
    }
}

/// Taking apart what was large takes long, and the loop has better to do.
pub fn drop_elsewhere(large: impl Send + 'static) {
    _ = thread::Builder::new().name("drop".into()).spawn(move || drop(large));
}
