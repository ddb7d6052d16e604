//! Authentication of peers and operators by token.

use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;
use tonic::Request;
use tonic::Status;
use tonic::service::Interceptor;

/// Compares presented tokens with the expected one in constant time.
#[derive(Clone)]
pub struct TokenCheck {
    sha256: [u8; 32],
}

impl TokenCheck {
    /// A check that expects `token`.
    pub fn new(token: &str) -> Self {
        Self { sha256: Sha256::digest(token.as_bytes()).into() }
    }

    /// True if the presented token is the expected one.
    pub fn matches(&self, presented: &str) -> bool {
        let hash = Sha256::digest(presented.as_bytes());
        self.sha256.ct_eq(hash.as_slice()).into()
    }
}

/// Interceptor that accepts only calls with the expected bearer token.
#[derive(Clone)]
pub(crate) struct TokenInterceptor {
    check: TokenCheck,
}

impl TokenInterceptor {
    /// An interceptor that expects `token`.
    pub(crate) fn new(token: &str) -> Self {
        Self { check: TokenCheck::new(token) }
    }
}

impl Interceptor for TokenInterceptor {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let presented = request
            .metadata()
            .get("authorization")
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "));
        match presented {
            Some(token) if self.check.matches(token) => Ok(request),
            Some(_) | None => Err(Status::unauthenticated("token is missing or wrong")),
        }
    }
}
