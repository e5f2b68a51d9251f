//! A minimal HTTP/1.1 implementation for the router.
//!
//! Message heads are parsed by `httparse`. Body framing is strict. Each connection
//! carries one exchange at a time, and its state is always known: whether it is idle,
//! whether any byte of the request was sent, and whether the response was read to its
//! end.

mod body;
mod connection;
mod framing;
mod head;
mod socket;
mod traffic;

pub use body::BodyDecoder;
pub use body::DecodeStep;
pub use connection::ExchangeError;
pub use connection::FullResponse;
pub use connection::HttpConnection;
pub use framing::BodyFraming;
pub use framing::FramingError;
pub use framing::request_framing;
pub use framing::response_framing;
pub use head::HeadError;
pub use head::HeaderList;
pub use head::RequestHead;
pub use head::ResponseHead;
pub use head::parse_request_head;
pub use head::parse_response_head;
pub use socket::ConnectError;
pub use socket::configure_socket;
pub use socket::connect;
pub use socket::read_available;
pub use socket::write_all;
pub use traffic::SocketTraffic;
