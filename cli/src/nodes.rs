//! HTTP client for operators of a node.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::admin::read_credential;
use crate::error::CliError;

const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Client of the operators' calls of one node.
pub(crate) struct NodeClient {
    http: Client,
    node: SocketAddr,
    token: String,
}

/// Body of a refused call.
#[derive(Default, Deserialize)]
struct NodeRefusal {
    error: String,
}

impl NodeClient {
    pub(crate) fn new(node: SocketAddr, token_file: Option<&Path>) -> Result<Self, CliError> {
        let token =
            read_credential("operators' token", token_file, "--token-file", "COWSLIPPORT_TOKEN")?;
        Ok(Self { http: Client::builder().timeout(CALL_TIMEOUT).finish(), node, token })
    }

    /// Sends a question, which changes nothing, so that a failed call may be
    /// repeated.
    pub(crate) async fn post<B, R>(&self, path: &str, body: &B) -> Result<R, CliError>
    where
        B: Serialize,
        R: DeserializeOwned,
    {
        let request = self.http.post(format!("http://{}{path}", self.node));
        let unreachable =
            |message: String| CliError::ServerUnreachable { server: self.node, message };
        let result = request.bearer_auth(&self.token).send_json(body).await;
        let mut response = result.map_err(|error| unreachable(error.to_string()))?;
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        if status.is_success() {
            return serde_json::from_slice(&body)
                .map_err(|error| CliError::InvalidResponse { message: error.to_string() });
        }
        let refusal: NodeRefusal = serde_json::from_slice(&body).unwrap_or_default();
        let message = if refusal.error.is_empty() { status.to_string() } else { refusal.error };
        Err(match status {
            StatusCode::UNAUTHORIZED => {
                CliError::CredentialRefused { credential: "operators' token", message }
            }
            StatusCode::BAD_REQUEST => CliError::InvalidInput { lines: vec![message] },
            StatusCode::SERVICE_UNAVAILABLE => CliError::NotRun { message, retry_after_s: Some(1) },
            _ => CliError::Refused { message },
        })
    }
}
