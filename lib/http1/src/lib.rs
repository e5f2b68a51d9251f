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

pub use body::BodyDecoder;
pub use body::BodyStep;
pub use connection::ExchangeError;
pub use connection::HttpConnection;
pub use connection::WholeAnswer;
pub use framing::BodyFraming;
pub use framing::FramingError;
pub use framing::answer_framing;
pub use framing::request_framing;
pub use head::AnswerHead;
pub use head::HeadError;
pub use head::HeaderList;
pub use head::RequestHead;
pub use head::parse_answer;
pub use head::parse_request;
pub use socket::ConnectError;
pub use socket::connect;
pub use socket::prepare_socket;
pub use socket::read_some;
pub use socket::write_all;
