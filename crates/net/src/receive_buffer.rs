//! Bounds what the kernel keeps of connections that are not read.

use std::os::fd::AsFd;

use rustix::net::sockopt::set_socket_recv_buffer_size;

/// Bytes that the kernel keeps for a connection before its client has to wait.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// Sets the receive buffer of the connections that a listener accepts.
///
/// # Errors
///
/// Fails if the system does not allow it.
pub(crate) fn limit_receive_buffer<S>(listener: S) -> std::io::Result<()>
where
    S: AsFd,
{
    set_socket_recv_buffer_size(listener, RECEIVE_BUFFER_BYTES)?;
    Ok(())
}
