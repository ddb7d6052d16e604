//! gRPC calls to a daemon as an operator.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use cowslipport_lib::protos::peer::admin_client::AdminClient;
use tonic::Code;
use tonic::Request;
use tonic::Response;
use tonic::Status;
use tonic::metadata::Ascii;
use tonic::metadata::MetadataValue;
use tonic::transport::Channel;
use tonic::transport::Endpoint;

use crate::arguments::ServerArguments;
use crate::error::CliError;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Above the 18 s after which a daemon gives up an append that the log service
/// does not answer, so that its reason is received.
const CALL_TIMEOUT: Duration = Duration::from_secs(25);

/// A daemon that is called as an operator.
pub(crate) struct Admin {
    pub(crate) client: AdminClient<Channel>,
    server: SocketAddr,
    authorization: MetadataValue<Ascii>,
}

impl Admin {
    /// Connects to the server that `arguments` name.
    pub(crate) async fn connect(arguments: &ServerArguments) -> Result<Self, CliError> {
        let server = arguments.server;
        let token = credential(
            "operators' token",
            arguments.token_file.as_deref(),
            "--token-file",
            "COWSLIPPORT_TOKEN",
        )?;
        let mut authorization: MetadataValue<Ascii> = format!("Bearer {token}")
            .parse()
            .map_err(|_| CliError::BadCredential { what: "operators' token" })?;
        authorization.set_sensitive(true);
        let unreachable = |error: tonic::transport::Error| CliError::Unreachable {
            server,
            message: chain(&error),
        };
        let channel = Endpoint::from_shared(format!("http://{server}"))
            .map_err(unreachable)?
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .connect()
            .await
            .map_err(unreachable)?;
        Ok(Self { client: AdminClient::new(channel), server, authorization })
    }

    /// A request with the operators' token.
    pub(crate) fn request<M>(&self, message: M) -> Request<M> {
        let mut request = Request::new(message);
        request.metadata_mut().insert("authorization", self.authorization.clone());
        request
    }

    /// The answer to a call that changes nothing.
    pub(crate) fn answer<M>(&self, result: Result<Response<M>, Status>) -> Result<M, CliError> {
        result.map(Response::into_inner).map_err(|status| {
            if is_interrupted(status.code()) {
                let message = status.message().to_owned();
                return CliError::Unreachable { server: self.server, message };
            }
            refusal(&status)
        })
    }
}

/// The answer to a call that changes something. An interrupted call may have
/// taken effect.
pub(crate) fn change_answer<M>(result: Result<Response<M>, Status>) -> Result<M, CliError> {
    result.map(Response::into_inner).map_err(|status| {
        if is_interrupted(status.code()) {
            return CliError::unknown(status.message());
        }
        refusal(&status)
    })
}

/// True if the call may have reached the server without an answer.
fn is_interrupted(code: Code) -> bool {
    match code {
        Code::Unavailable | Code::DeadlineExceeded | Code::Cancelled | Code::Unknown => true,
        Code::Ok
        | Code::InvalidArgument
        | Code::NotFound
        | Code::AlreadyExists
        | Code::PermissionDenied
        | Code::ResourceExhausted
        | Code::FailedPrecondition
        | Code::Aborted
        | Code::OutOfRange
        | Code::Unimplemented
        | Code::Internal
        | Code::DataLoss
        | Code::Unauthenticated => false,
    }
}

fn refusal(status: &Status) -> CliError {
    let message = status.message().to_owned();
    match status.code() {
        Code::Unauthenticated | Code::PermissionDenied => {
            CliError::CredentialRefused { what: "operators' token", message }
        }
        Code::InvalidArgument => CliError::InvalidInput { lines: vec![message] },
        Code::Ok
        | Code::Cancelled
        | Code::Unknown
        | Code::DeadlineExceeded
        | Code::NotFound
        | Code::AlreadyExists
        | Code::ResourceExhausted
        | Code::FailedPrecondition
        | Code::Aborted
        | Code::OutOfRange
        | Code::Unimplemented
        | Code::Internal
        | Code::Unavailable
        | Code::DataLoss => CliError::Refused { message },
    }
}

/// A credential from its file or, without a file, from an environment
/// variable. It is never an argument, since other users can see those.
pub(crate) fn credential(
    what: &'static str,
    file: Option<&Path>,
    option: &'static str,
    variable: &'static str,
) -> Result<String, CliError> {
    let text = match file {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|source| CliError::Unreadable { path: path.to_owned(), source })?,
        None => std::env::var(variable).map_err(|_| CliError::NoCredential {
            what,
            option,
            variable,
        })?,
    };
    let text = text.trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(CliError::BadCredential { what });
    }
    Ok(text.to_owned())
}

/// The innermost cause of a transport error, which names the fault.
fn chain(error: &tonic::transport::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
