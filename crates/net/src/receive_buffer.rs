//! Bounds what the kernel keeps of connections that are not read.

use std::os::fd::AsFd;

use rustix::net::sockopt::set_socket_recv_buffer_size;

/// Sets the receive buffer of the connections that a listener accepts.
///
/// # Errors
///
/// Fails if the system does not allow it.
pub(crate) fn limit_receive_buffer<S>(listener: S, bytes: usize) -> std::io::Result<()>
where
    S: AsFd,
{
    set_socket_recv_buffer_size(listener, bytes)?;
    Ok(())
}
