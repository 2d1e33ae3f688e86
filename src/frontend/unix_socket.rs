//! Files of Unix sockets: created with their mode before anyone sees them, and removed only if they are ours.

use std::fs::{self, DirBuilder, Permissions};
use std::io;
use std::os::unix::fs::{DirBuilderExt, FileTypeExt, MetadataExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};

#[cfg(test)]
mod tests;

/// Mode of the folder in which a socket is created: only its owner may enter.
const PRIVATE_FOLDER_MODE: u32 = 0o700;
/// Name of a socket in the folder in which it is created.
const TEMPORARY_NAME: &str = "s";

/// What tells a file from any other of the same path.
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

/// A socket file that this process has created; removed when it is dropped.
#[derive(Debug)]
pub struct SocketFile {
    path: PathBuf,
    identity: FileIdentity,
}

/// Listens at a path, with this mode for the file.
///
/// A socket file that nobody listens at is stale and is replaced.
///
/// # Errors
///
/// [`io::ErrorKind::AddrInUse`] where somebody listens at the path, [`io::ErrorKind::AlreadyExists`] where
/// there is something else than a socket, and any error of the system.
pub fn bind(path: &Path, mode: u32) -> io::Result<(UnixListener, SocketFile)> {
    check_replaceable(path)?;
    // Created in a folder that nobody else may enter, given its mode, then moved into place in one step: a
    // socket with the mode that the umask happens to give is never in reach.
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let folder = path.with_file_name(format!(".{name}.{}", std::process::id()));
    // An earlier process of the same id may have been killed before it had removed its own.
    remove_temporary_folder(&folder);
    DirBuilder::new().mode(PRIVATE_FOLDER_MODE).create(&folder)?;
    let temporary = folder.join(TEMPORARY_NAME);
    let bound = bind_and_move(&temporary, path, mode);
    remove_temporary_folder(&folder);
    bound
}

/// Removes a folder in which a socket was created, with the socket if it is still there.
fn remove_temporary_folder(folder: &Path) {
    let _ = fs::remove_file(folder.join(TEMPORARY_NAME));
    let _ = fs::remove_dir(folder);
}

/// Whether there is nothing at the path, or a stale socket.
fn check_replaceable(path: &Path) -> io::Result<()> {
    let metadata = match fs::symlink_metadata(path) {
        Ok(metadata) => metadata,
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(error),
    };
    if !metadata.file_type().is_socket() {
        let text = "there is something that is no socket";
        return Err(io::Error::new(io::ErrorKind::AlreadyExists, text));
    }
    match UnixStream::connect(path) {
        Ok(_) => Err(io::Error::new(io::ErrorKind::AddrInUse, "somebody listens there")),
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
    /// Gives the file another mode.
    ///
    /// # Errors
    ///
    /// The system's error, most likely as the file has been removed.
    pub fn set_mode(&self, mode: u32) -> io::Result<()> {
        fs::set_permissions(&self.path, Permissions::from_mode(mode))
    }
}

impl Drop for SocketFile {
    /// A later process may have put its own socket in place: that one stays.
    fn drop(&mut self) {
        if FileIdentity::of(&self.path).is_ok_and(|identity| identity == self.identity) {
            let _ = fs::remove_file(&self.path);
        }
    }
}
