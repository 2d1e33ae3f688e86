//! Stand-in node agents for tests that decide when a connection comes up and which bytes of it are read.

use super::WAIT_LIMIT;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Time without input after which a connection is quiet.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// A node agent whose connections the test reads byte by byte, so that it can leave bytes unread.
pub(crate) struct RawWorker {
    listener: TcpListener,
}

impl RawWorker {
    /// A worker on a port that the system chooses.
    pub(crate) fn new() -> RawWorker {
        RawWorker {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    /// The address to put into the configuration.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits for the next connection.
    pub(crate) fn accept(&self) -> RawConnection {
        RawConnection::accept_from(&self.listener)
    }
}

/// A node agent whose connections do not come up, because the system's queue of new ones is full.
pub(crate) struct FullBacklogWorker {
    listener: TcpListener,
    _queued: TcpStream,
}

impl FullBacklogWorker {
    /// A worker whose queue of new connections is full.
    pub(crate) fn new() -> FullBacklogWorker {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket
            .bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())
            .unwrap();
        socket.listen(0).unwrap();
        let listener = TcpListener::from(socket);
        let address = listener.local_addr().unwrap();
        let queued = TcpStream::connect(address).unwrap();
        let beyond_queue = TcpStream::connect_timeout(&address, Duration::from_millis(200));
        assert!(beyond_queue.is_err(), "the queue is full");
        FullBacklogWorker {
            listener,
            _queued: queued,
        }
    }

    /// The address to put into the configuration.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Lets the connection that waits come up.
    pub(crate) fn accept_pending(&self) -> RawConnection {
        self.listener.accept().unwrap();
        RawConnection::accept_from(&self.listener)
    }
}

/// The worker's end of a connection.
pub(crate) struct RawConnection {
    stream: TcpStream,
}

impl RawConnection {
    fn accept_from(listener: &TcpListener) -> RawConnection {
        let (stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        RawConnection { stream }
    }

    /// Reads the next line, and not a byte beyond it.
    pub(crate) fn read_line(&mut self) -> Value {
        let mut line = vec![];
        let mut byte = [0];
        while line.last() != Some(&b'\n') {
            self.stream.read_exact(&mut byte).expect("a line comes");
            line.push(byte[0]);
        }
        serde_json::from_slice(&line).unwrap()
    }

    /// Reads a request and responds with success; the request must have this id.
    pub(crate) fn serve(&mut self, request_id: &str, body: &str) {
        assert_eq!(self.read_line()["rid"], request_id);
        self.succeed(request_id, body);
    }

    /// Responds to a request with success and a body in base64.
    pub(crate) fn succeed(&mut self, request_id: &str, body: &str) {
        self.stream.write_all(&success_line(request_id, body)).unwrap();
    }

    /// Reads until the connection ends or nothing has come for a while; how many requests were complete.
    pub(crate) fn count_complete_requests(&mut self) -> u64 {
        self.stream.set_read_timeout(Some(IDLE_TIMEOUT)).unwrap();
        let mut input = vec![];
        let mut chunk = [0; 1 << 16];
        while let Ok(count @ 1..) = self.stream.read(&mut chunk) {
            input.extend_from_slice(&chunk[..count]);
        }
        let lines = input.split_inclusive(|byte| *byte == b'\n');
        let complete = lines.filter_map(|line| serde_json::from_slice::<Value>(line).ok());
        complete.filter(|line| line["verb"] == "go").count() as u64
    }

    /// Waits until unread input is there.
    pub(crate) fn wait_for_unread_input(&self) {
        assert_eq!(self.stream.peek(&mut [0]).unwrap(), 1, "input has come, unread");
    }

    /// Waits for the scheduler to close the connection.
    pub(crate) fn wait_for_close(&mut self) {
        assert_eq!(self.stream.read(&mut [0]).expect("the connection is closed"), 0);
    }

    /// Asserts that nothing has come on the connection, not even its end.
    pub(crate) fn assert_nothing_received(&mut self) {
        self.stream.set_nonblocking(true).unwrap();
        assert!(
            self.stream.read(&mut [0]).is_err(),
            "nothing came and the connection is not closed"
        );
    }
}

/// A node agent's response of success in the bytes of the wire.
pub(crate) fn success_line(request_id: &str, body: &str) -> Vec<u8> {
    format!("{}\n", json!({"verb": "200", "rid": request_id, "content": body})).into_bytes()
}
