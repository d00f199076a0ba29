//! The data plane shared by the programs: backend connections and attempts, body streaming and memory limits,
//! deadlines, and the driver of the decision module. Each program supplies the protocol it speaks with its
//! backends as a [`driver::BackendProtocol`].

pub mod backends;
pub mod body;
pub mod client_stream;
pub mod deadline;
pub mod driver;
pub mod exchange;
pub mod http;
pub mod idle_limit;
pub mod warning_limiter;
