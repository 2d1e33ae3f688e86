//! Unix socket files: created with their final mode, and removed only by the process that created them.

use std::fs::{self, DirBuilder, Permissions};
use std::io;
use std::os::unix::fs::{DirBuilderExt, FileTypeExt, MetadataExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

#[cfg(test)]
mod tests;

/// Mode of the folder in which a socket is created: only the owner has access.
const PRIVATE_FOLDER_MODE: u32 = 0o700;
/// Name of a socket in its temporary folder.
const TEMPORARY_NAME: &str = "s";

/// The device and inode of a file, which distinguish it from another file at the same path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct FileIdentity {
    device: u64,
    inode: u64,
}

impl FileIdentity {
    fn of(path: &Path) -> io::Result<FileIdentity> {
        let metadata = fs::symlink_metadata(path)?;
        Ok(FileIdentity {
            device: metadata.dev(),
            inode: metadata.ino(),
        })
    }
}

/// A socket file that this process has created and that is removed when the value is dropped.
#[derive(Debug)]
pub struct SocketFile {
    path: PathBuf,
    identity: FileIdentity,
}

/// Binds a listener to a path and gives the socket file this mode.
///
/// A stale socket file, on which no process listens, is replaced.
///
/// # Errors
///
/// Returns [`io::ErrorKind::AddrInUse`] if a process listens on the path, [`io::ErrorKind::AlreadyExists`] if
/// the path holds a file that is not a socket, or any error of the operating system.
pub fn bind(path: &Path, mode: u32) -> io::Result<(UnixListener, SocketFile)> {
    check_replaceable(path)?;
    // The socket is created in a private folder, given its mode and then renamed atomically, so that it is
    // never accessible with the mode that results from the umask.
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let folder = path.with_file_name(format!(".{name}.{}", std::process::id()));
    // An earlier process with the same id may have been killed before it removed its folder.
    remove_temporary_folder(&folder);
    DirBuilder::new().mode(PRIVATE_FOLDER_MODE).create(&folder)?;
    let temporary = folder.join(TEMPORARY_NAME);
    let bound = bind_and_move(&temporary, path, mode);
    remove_temporary_folder(&folder);
    bound
}

/// Removes a temporary folder, including the socket if it was not moved.
fn remove_temporary_folder(folder: &Path) {
    let _ = fs::remove_file(folder.join(TEMPORARY_NAME));
    let _ = fs::remove_dir(folder);
}

/// Checks that the path does not exist or holds a stale socket.
fn check_replaceable(path: &Path) -> io::Result<()> {
    let metadata = match fs::symlink_metadata(path) {
        Ok(metadata) => metadata,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error),
    };
    if !metadata.file_type().is_socket() {
        let text = "the path holds a file that is not a socket";
        return Err(io::Error::new(io::ErrorKind::AlreadyExists, text));
    }
    match UnixStream::connect(path) {
        Ok(_) => Err(io::Error::new(
            io::ErrorKind::AddrInUse,
            "another process listens on the path",
        )),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Ok(()),
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
        Err(error) => Err(error),
    }
}

fn bind_and_move(temporary: &Path, path: &Path, mode: u32) -> io::Result<(UnixListener, SocketFile)> {
    let listener = UnixListener::bind(temporary)?;
    fs::set_permissions(temporary, Permissions::from_mode(mode))?;
    let identity = FileIdentity::of(temporary)?;
    fs::rename(temporary, path)?;
    let file = SocketFile {
        path: path.to_owned(),
        identity,
    };
    Ok((listener, file))
}

impl SocketFile {
    /// Changes the mode of the file.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, typically because the file has been removed.
    pub fn set_mode(&self, mode: u32) -> io::Result<()> {
        fs::set_permissions(&self.path, Permissions::from_mode(mode))
    }
}

impl Drop for SocketFile {
    /// Removes the file, unless another process has replaced it with its own socket.
    fn drop(&mut self) {
        if FileIdentity::of(&self.path).is_ok_and(|identity| identity == self.identity) {
            let _ = fs::remove_file(&self.path);
        }
    }
}
