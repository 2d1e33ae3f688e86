//! Stand-in node agents for tests that control when a connection is established and which of its bytes are
//! read.

use super::WAIT_LIMIT;
use super::closing_stream::ClosingStream;
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The time without input after which a connection is considered idle.
const IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// A node agent whose connections the test reads itself, so that it can leave bytes unread.
pub(crate) struct RawWorker {
    listener: TcpListener,
}

impl RawWorker {
    /// Starts a worker on a port that the system chooses.
    pub(crate) fn new() -> RawWorker {
        RawWorker {
            listener: TcpListener::bind("127.0.0.1:0").unwrap(),
        }
    }

    /// Returns the address of the worker for the configuration.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Waits for the next connection and accepts it.
    pub(crate) fn accept(&self) -> RawConnection {
        RawConnection::accept_from(&self.listener)
    }
}

/// A node agent to which new connections are not established, because its listen backlog is full.
pub(crate) struct FullBacklogWorker {
    listener: TcpListener,
    _queued: TcpStream,
}

impl FullBacklogWorker {
    /// Starts a worker on a port that the system chooses, and fills its listen backlog.
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
        assert!(beyond_queue.is_err(), "the listen backlog is not full");
        FullBacklogWorker {
            listener,
            _queued: queued,
        }
    }

    /// Returns the address of the worker for the configuration.
    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Accepts the connection that fills the backlog, so that the pending connection is established, and
    /// returns the pending connection.
    pub(crate) fn accept_pending(&self) -> RawConnection {
        self.listener.accept().unwrap();
        RawConnection::accept_from(&self.listener)
    }
}

/// The worker's end of a connection.
pub(crate) struct RawConnection {
    stream: ClosingStream,
}

impl RawConnection {
    fn accept_from(listener: &TcpListener) -> RawConnection {
        let (stream, _) = listener.accept().unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        RawConnection {
            stream: ClosingStream::new(stream),
        }
    }

    /// Reads the next line and no byte beyond it.
    pub(crate) fn read_line(&mut self) -> Value {
        let mut line = vec![];
        let mut byte = [0];
        while line.last() != Some(&b'\n') {
            self.stream.read_exact(&mut byte).expect("a line is received");
            line.push(byte[0]);
        }
        serde_json::from_slice(&line).unwrap()
    }

    /// Reads a request, which must have this id, and responds with success and a body in base64.
    pub(crate) fn serve(&mut self, request_id: &str, body: &str) {
        assert_eq!(self.read_line()["rid"], request_id);
        self.succeed(request_id, body);
    }

    /// Responds to a request with success and a body in base64.
    pub(crate) fn succeed(&mut self, request_id: &str, body: &str) {
        self.stream.write_all(&success_line(request_id, body)).unwrap();
    }

    /// Reads until the connection has ended or is idle, and returns the number of complete requests.
    pub(crate) fn count_complete_requests(&mut self) -> u64 {
        self.stream.set_read_timeout(Some(IDLE_TIMEOUT)).unwrap();
        let mut input = vec![];
        let mut chunk = [0; 1 << 16];
        while let Ok(count @ 1..) = self.stream.read_uninterrupted(&mut chunk) {
            input.extend_from_slice(&chunk[..count]);
        }
        let lines = input.split_inclusive(|byte| *byte == b'\n');
        let complete = lines.filter_map(|line| serde_json::from_slice::<Value>(line).ok());
        complete.filter(|line| line["verb"] == "go").count() as u64
    }

    /// Waits for input and leaves it unread.
    pub(crate) fn wait_for_unread_input(&self) {
        assert_eq!(
            self.stream.peek(&mut [0]).unwrap(),
            1,
            "the connection has ended without input"
        );
    }

    /// Waits for the scheduler to close the connection.
    pub(crate) fn wait_for_close(&mut self) {
        let end = self.stream.read_uninterrupted(&mut [0]);
        assert_eq!(end.expect("the connection is closed"), 0);
    }

    /// Asserts that the connection has no input and has not been closed.
    pub(crate) fn assert_nothing_received(&mut self) {
        self.stream.set_nonblocking(true).unwrap();
        assert!(
            self.stream.read_uninterrupted(&mut [0]).is_err(),
            "the connection has input or has been closed"
        );
    }
}

/// Encodes a node agent's response with success and a body in base64.
pub(crate) fn success_line(request_id: &str, body: &str) -> Vec<u8> {
    format!("{}\n", json!({"verb": "200", "rid": request_id, "content": body})).into_bytes()
}
