use super::*;

/// A folder for one test, removed when it is dropped.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(name: &str) -> TestFolder {
        let path = std::env::temp_dir().join(format!("unix-socket-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        TestFolder(path)
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// In a container every start has the same process id, so the temporary folder of a killed process may exist.
#[test]
fn leftovers_of_a_killed_process_do_not_prevent_binding() {
    let folder = TestFolder::new("leftover");
    let path = folder.0.join("socket");
    let leftover = folder.0.join(format!(".socket.{}", std::process::id()));
    fs::create_dir(&leftover).unwrap();
    drop(UnixListener::bind(leftover.join("s")).unwrap());
    let (_listener, _file) = bind(&path, 0o600).unwrap();
    assert!(UnixStream::connect(&path).is_ok());
    assert!(!leftover.exists());
}
