//! gRPC client for operators, and credentials of both kinds of users.

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
/// Longer than the 18 s after which a daemon abandons an append that the log
/// service does not answer, so that the daemon's reply arrives in time.
const CALL_TIMEOUT: Duration = Duration::from_secs(25);

/// Client of one daemon's admin service, with the operators' token.
pub(crate) struct OperatorClient {
    pub(crate) admin: AdminClient<Channel>,
    server: SocketAddr,
    authorization: MetadataValue<Ascii>,
}

impl OperatorClient {
    /// Connects to the server given by `arguments`.
    pub(crate) async fn connect(arguments: &ServerArguments) -> Result<Self, CliError> {
        let server = arguments.server;
        let token = read_credential(
            "operators' token",
            arguments.token_file.as_deref(),
            "--token-file",
            "COWSLIPPORT_TOKEN",
        )?;
        let mut authorization: MetadataValue<Ascii> = format!("Bearer {token}")
            .parse()
            .map_err(|_| CliError::InvalidCredential { credential: "operators' token" })?;
        authorization.set_sensitive(true);
        let unreachable = |error: tonic::transport::Error| CliError::ServerUnreachable {
            server,
            message: root_cause(&error),
        };
        let channel = Endpoint::from_shared(format!("http://{server}"))
            .map_err(unreachable)?
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .connect()
            .await
            .map_err(unreachable)?;
        Ok(Self { admin: AdminClient::new(channel), server, authorization })
    }

    /// Makes a request that carries the operators' token.
    pub(crate) fn request<M>(&self, message: M) -> Request<M> {
        let mut request = Request::new(message);
        request.metadata_mut().insert("authorization", self.authorization.clone());
        request
    }

    /// Returns the reply to a read-only call, or the error of the call.
    pub(crate) fn check_reply<M>(
        &self,
        result: Result<Response<M>, Status>,
    ) -> Result<M, CliError> {
        result.map(Response::into_inner).map_err(|status| {
            if is_interrupted(status.code()) {
                let message = status.message().to_owned();
                return CliError::ServerUnreachable { server: self.server, message };
            }
            refusal_error(&status)
        })
    }
}

/// Returns the reply to a call that makes a change, or the error of the call.
/// The outcome of an interrupted call is unknown, since the server may have made
/// the change.
pub(crate) fn check_change_reply<M>(result: Result<Response<M>, Status>) -> Result<M, CliError> {
    result.map(Response::into_inner).map_err(|status| {
        if is_interrupted(status.code()) {
            return CliError::unknown_outcome(status.message());
        }
        refusal_error(&status)
    })
}

/// True if the call failed without a reply although it may have reached the
/// server.
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

fn refusal_error(status: &Status) -> CliError {
    let message = status.message().to_owned();
    match status.code() {
        Code::Unauthenticated | Code::PermissionDenied => {
            CliError::CredentialRefused { credential: "operators' token", message }
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

/// Reads a credential from its file or, if no file is given, from an environment
/// variable. A credential is never passed as an argument, since other users of
/// the machine can see the arguments of a process.
pub(crate) fn read_credential(
    credential: &'static str,
    file: Option<&Path>,
    option: &'static str,
    variable: &'static str,
) -> Result<String, CliError> {
    let text = match file {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|source| CliError::UnreadableFile { path: path.to_owned(), source })?,
        None => std::env::var(variable).map_err(|_| CliError::MissingCredential {
            credential,
            option,
            variable,
        })?,
    };
    let text = text.trim();
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(CliError::InvalidCredential { credential });
    }
    Ok(text.to_owned())
}

/// Returns the message of the innermost cause of a transport error; the outer
/// messages do not say what failed.
fn root_cause(error: &tonic::transport::Error) -> String {
    let mut cause: &dyn std::error::Error = error;
    while let Some(source) = cause.source() {
        cause = source;
    }
    cause.to_string()
}
