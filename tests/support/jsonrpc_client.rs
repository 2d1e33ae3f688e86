//! A stand-in client of the JSON-RPC frontend.

use super::scheduler_process::SchedulerProcess;
use super::temp_folder::TempFolder;
use super::{FUNCTION, IDEMPOTENCY_KEY, IDEMPOTENT_CLASS, WAIT_LIMIT, request_id};
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::Shutdown;
use std::os::unix::net::UnixStream;
use std::path::Path;

/// The file name of the frontend's socket in the folder of a scheduler that is configured with
/// [`operator_file`].
pub(crate) const SOCKET_NAME: &str = "calls.sock";

/// Returns the text of an operator's file that opens the JSON-RPC frontend.
pub(crate) fn operator_file(folder: &TempFolder) -> String {
    format!(
        "[jsonrpc]\nsocket = {:?}\nmax_line = 40000\n",
        folder.file(SOCKET_NAME)
    )
}

/// Returns the message of a typical request.
pub(crate) fn request(id: &Value, class: &str, request_id: &str, timeout_ms: u64, body: &str) -> Value {
    json!({
        "jsonrpc": "2.0",
        "id": id,
        "method": "call",
        "params": {
            "class": class,
            "function": FUNCTION,
            "ref": request_id,
            "allow_ms": timeout_ms,
            "key": IDEMPOTENCY_KEY,
            "memory_mb": 512,
            "lanes": 2,
            "load_ms": 640,
            "body": body,
        },
    })
}

/// A client of the JSON-RPC frontend.
pub(crate) struct JsonRpcClient {
    reader: BufReader<UnixStream>,
}

impl JsonRpcClient {
    /// Connects to the socket that [`operator_file`] configures.
    pub(crate) fn connect(scheduler: &SchedulerProcess) -> JsonRpcClient {
        JsonRpcClient::connect_to(&scheduler.folder.file(SOCKET_NAME))
    }

    /// Connects to the socket at this path.
    pub(crate) fn connect_to(path: &Path) -> JsonRpcClient {
        let stream = UnixStream::connect(path).unwrap();
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        JsonRpcClient {
            reader: BufReader::new(stream),
        }
    }

    /// Sends bytes, which need not form a complete line.
    pub(crate) fn send_bytes(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).unwrap();
    }

    /// Sends a line, which need not be JSON.
    pub(crate) fn send_line(&mut self, line: &str) {
        self.send_bytes(format!("{line}\n").as_bytes());
    }

    /// Sends a message.
    pub(crate) fn send(&mut self, message: &Value) {
        self.send_line(&message.to_string());
    }

    /// Sends request number `n` of a test, of the idempotent class, with the number as its JSON-RPC id.
    pub(crate) fn send_idempotent(&mut self, n: u32, timeout_ms: u64, body: &str) {
        self.send(&request(
            &json!(n),
            IDEMPOTENT_CLASS,
            &request_id(n),
            timeout_ms,
            body,
        ));
    }

    /// Waits for the next message, which must be a result with this body in base64.
    #[track_caller]
    pub(crate) fn expect_body(&mut self, body: &str) {
        assert_eq!(self.next_message()["result"]["body"], body);
    }

    /// Waits for the next message, which must be an error with this code.
    #[track_caller]
    pub(crate) fn expect_error(&mut self, code: i64) {
        assert_eq!(self.next_message()["error"]["code"], code);
    }

    /// Sends a readiness request and asserts the response, which must be the next message.
    #[track_caller]
    pub(crate) fn assert_readiness(&mut self, ready: bool) {
        const ID: &str = "readiness";
        self.send(&json!({"jsonrpc": "2.0", "id": ID, "method": "ready"}));
        let expected = json!({"jsonrpc": "2.0", "id": ID, "result": {"ready": ready}});
        assert_eq!(self.next_message(), expected);
    }

    /// Waits for the next message.
    pub(crate) fn next_message(&mut self) -> Value {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        serde_json::from_str(&line).unwrap_or_else(|_| panic!("the line is not JSON: '{line}'"))
    }

    /// Waits for the scheduler to close the connection, before which it must not send anything.
    pub(crate) fn expect_close(&mut self) {
        let mut line = String::new();
        assert_eq!(
            self.reader.read_line(&mut line).unwrap(),
            0,
            "the scheduler sent a line instead of closing the connection"
        );
    }

    /// Closes the sending direction of the connection; responses can still be read.
    pub(crate) fn shutdown_write(&mut self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Returns another handle to the connection, with which another thread can write.
    pub(crate) fn try_clone_stream(&self) -> UnixStream {
        self.reader.get_ref().try_clone().unwrap()
    }
}

impl Drop for JsonRpcClient {
    /// Ends the connection at once; see [`ClosingStream`](super::closing_stream::ClosingStream).
    fn drop(&mut self) {
        let _ = self.reader.get_ref().shutdown(Shutdown::Write);
    }
}
