//! HTTP client for submitters of jobs.

use std::net::SocketAddr;
use std::time::Duration;

use awc::Client;
use awc::ClientRequest;
use awc::ClientResponse;
use awc::error::ConnectError;
use awc::error::PayloadError;
use awc::error::SendRequestError;
use awc::http::Method;
use awc::http::StatusCode;
use awc::http::header::RETRY_AFTER;
use cowslipport_lib::protos::caller::Refusal;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::admin::read_credential;
use crate::arguments::CallerArguments;
use crate::error::CliError;

const CALL_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Client of one daemon's job API, with an organisation's key.
pub(crate) struct CallerClient {
    http: Client,
    server: SocketAddr,
    key: String,
}

impl CallerClient {
    pub(crate) fn new(arguments: &CallerArguments) -> Result<Self, CliError> {
        let key = read_credential(
            "organisation's key",
            arguments.key_file.as_deref(),
            "--key-file",
            "COWSLIPPORT_ORGANISATION_KEY",
        )?;
        let http = Client::builder().timeout(CALL_TIMEOUT).finish();
        Ok(Self { http, server: arguments.callers, key })
    }

    /// Sends a request without a body.
    pub(crate) async fn call<R>(&self, method: Method, path: &str) -> Result<R, CliError>
    where
        R: DeserializeOwned,
    {
        let result = self.request(method, path).send().await;
        self.read_response(result).await
    }

    /// Sends a POST request with a JSON body.
    pub(crate) async fn post<B, R>(&self, path: &str, body: &B) -> Result<R, CliError>
    where
        B: Serialize,
        R: DeserializeOwned,
    {
        let result = self.request(Method::POST, path).send_json(body).await;
        self.read_response(result).await
    }

    fn request(&self, method: Method, path: &str) -> ClientRequest {
        self.http.request(method, format!("http://{}{path}", self.server)).bearer_auth(&self.key)
    }

    async fn read_response<S, R>(
        &self,
        result: Result<ClientResponse<S>, SendRequestError>,
    ) -> Result<R, CliError>
    where
        S: futures_util::Stream<Item = Result<bytes::Bytes, PayloadError>>,
        R: DeserializeOwned,
    {
        let mut response = result.map_err(|error| self.send_error(&error))?;
        let retry_after_s = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.parse().ok());
        let status = response.status();
        let body = response
            .body()
            .limit(MAX_RESPONSE_BYTES)
            .await
            .map_err(|error| CliError::unknown_outcome(error.to_string()))?;
        if status.is_success() {
            return serde_json::from_slice(&body)
                .map_err(|error| CliError::InvalidResponse { message: error.to_string() });
        }
        Err(refusal_error(status, retry_after_s, &body))
    }

    fn send_error(&self, error: &SendRequestError) -> CliError {
        let message = error.to_string();
        if is_before_request(error) {
            CliError::ServerUnreachable { server: self.server, message }
        } else {
            CliError::unknown_outcome(message)
        }
    }
}

/// True if the error occurred before any byte of the request was sent. The
/// HTTP library also reports a connection that closes without a response as a
/// connection error, but the server may have handled that request.
fn is_before_request(error: &SendRequestError) -> bool {
    if let SendRequestError::Connect(error) = error {
        return !matches!(error, ConnectError::Disconnected | ConnectError::H2(_));
    }
    matches!(error, SendRequestError::Url(_))
}

fn refusal_error(status: StatusCode, retry_after_s: Option<u64>, body: &[u8]) -> CliError {
    let refusal: Refusal = serde_json::from_slice(body).unwrap_or_default();
    let message = if refusal.error.is_empty() { status.to_string() } else { refusal.error };
    if status == StatusCode::UNAUTHORIZED {
        CliError::CredentialRefused { credential: "organisation's key", message }
    } else if refusal.outcome == "unknown" || (status.is_server_error() && !refusal.not_run) {
        CliError::unknown_outcome(message)
    } else if status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS {
        CliError::NotRun { message, retry_after_s }
    } else {
        CliError::Refused { message }
    }
}
