//! The adapters that speak HTTP to the platform's services.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use awc::error::ConnectError;
use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::http::header;
use awc::http::header::HeaderValue;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use syc_net::HttpClientOptions;
use syc_net::http_client;
use syc_types::WorkerId;

use crate::AppendError;
use crate::EndpointError;
use crate::EndpointPort;
use crate::LogService;
use crate::ReadError;
use crate::VmList;
use crate::WorkerError;
use crate::WorkerPort;
use crate::types::Appended;
use crate::types::EndpointAnswer;
use crate::types::EndpointCall;
use crate::types::LogPage;
use crate::types::NOT_RUN_DRAINING;
use crate::types::NOT_RUN_HEADER;
use crate::types::PollReply;
use crate::types::PollRequest;
use crate::types::REQUEST_ID_HEADER;
use crate::types::StartTask;
use crate::types::TaskCommand;
use crate::types::Vm;
use crate::types::WorkerRefusal;

/// Bounds of the adapters.
#[derive(Debug, Clone, Copy)]
pub struct HttpPlatformOptions {
    /// Time that an answer of the log, the VM list or a worker may take.
    pub timeout_ms: u64,
    /// Time that a connection attempt may take.
    pub connect_timeout_ms: u64,
    /// Time that an idle connection is kept; shorter than the other side's.
    pub keep_alive_ms: u64,
    /// Largest body that is read.
    pub body_limit_bytes: usize,
}

impl Default for HttpPlatformOptions {
    fn default() -> Self {
        Self {
            timeout_ms: 2_000,
            connect_timeout_ms: 500,
            keep_alive_ms: 15_000,
            body_limit_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Adapter to the platform over HTTP, for one arbiter.
#[derive(Clone)]
pub struct HttpPlatform {
    client: Client,
    options: HttpPlatformOptions,
    log_url: Rc<str>,
    vms_url: Rc<str>,
    listed: Rc<RefCell<Option<Listed>>>,
    log_bytes: Rc<Cell<u64>>,
    worker_bytes: Rc<Cell<u64>>,
}

impl fmt::Debug for HttpPlatform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpPlatform")
            .field("log_url", &self.log_url)
            .field("vms_url", &self.vms_url)
            .finish_non_exhaustive()
    }
}

impl HttpPlatform {
    /// Makes an adapter for the log and the VM list at these `ip:port` addresses.
    #[must_use]
    pub fn new(log_address: &str, vms_address: &str, options: HttpPlatformOptions) -> Self {
        let client = http_client(HttpClientOptions {
            connect_timeout_ms: options.connect_timeout_ms,
            keep_alive_ms: options.keep_alive_ms,
            ..HttpClientOptions::default()
        });
        Self {
            client,
            options,
            log_url: Rc::from(format!("http://{log_address}/log")),
            vms_url: Rc::from(format!("http://{vms_address}/vms")),
            listed: Rc::default(),
            log_bytes: Rc::default(),
            worker_bytes: Rc::default(),
        }
    }

    /// Returns the body bytes exchanged with the log so far.
    #[must_use]
    pub fn log_bytes(&self) -> u64 {
        self.log_bytes.get()
    }

    /// Returns the body bytes exchanged with workers so far.
    #[must_use]
    pub fn worker_bytes(&self) -> u64 {
        self.worker_bytes.get()
    }

    async fn exchange(
        &self,
        request: awc::ClientRequest,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<Answer, Failure> {
        let work = async {
            let mut response = request.send_body(body).await.map_err(Failure::from)?;
            let not_run = response
                .headers()
                .get(NOT_RUN_HEADER)
                .map(|value| value.as_bytes() == NOT_RUN_DRAINING.as_bytes());
            let tag = response.headers().get(header::ETAG).cloned();
            let body = response
                .body()
                .limit(self.options.body_limit_bytes)
                .await
                .map_err(|source| Failure::InDoubt(source.to_string()))?;
            Ok(Answer {
                status: response.status(),
                tag,
                not_run_draining: not_run,
                body,
            })
        };
        let limit = Duration::from_millis(timeout_ms);
        match tokio::time::timeout(limit, work).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => Err(Failure::TimedOut),
        }
    }

    async fn worker_call<B>(
        &self,
        url: String,
        body: &B,
        wait_ms: u64,
    ) -> Result<Bytes, WorkerError>
    where
        B: Serialize,
    {
        let body = to_json(body).map_err(WorkerError::Refused)?;
        let sent = body.len();
        let timeout_ms = self.options.timeout_ms + wait_ms;
        let answer = self.exchange(self.client.post(url), body, timeout_ms).await;
        let answer = answer.map_err(|failure| match failure {
            Failure::NotSent(text) => WorkerError::NotSent(text),
            Failure::InDoubt(text) => WorkerError::InDoubt(text),
            Failure::TimedOut => WorkerError::InDoubt("timed out".to_owned()),
        })?;
        let total = self.worker_bytes.get() + (sent + answer.body.len()) as u64;
        self.worker_bytes.set(total);
        if answer.status.is_success() {
            return Ok(answer.body);
        }
        let refusal = from_json::<WorkerRefusal>(&answer.body).map_err(WorkerError::InDoubt)?;
        if answer.status == StatusCode::PRECONDITION_FAILED {
            return Err(WorkerError::StaleEpoch {
                seen: refusal.epoch.0,
            });
        }
        Err(WorkerError::Refused(refusal.reason.to_string()))
    }
}

/// The VM list as it was when the service gave it this tag.
#[derive(Debug, Clone)]
struct Listed {
    tag: HeaderValue,
    vms: Rc<[Vm]>,
}

struct Answer {
    status: StatusCode,
    tag: Option<HeaderValue>,
    not_run_draining: Option<bool>,
    body: Bytes,
}

enum Failure {
    NotSent(String),
    InDoubt(String),
    TimedOut,
}

impl From<SendRequestError> for Failure {
    fn from(error: SendRequestError) -> Self {
        match error {
            // The client reports a connection that ended before its response in this way too.
            SendRequestError::Connect(source @ ConnectError::Disconnected) => {
                Self::InDoubt(source.to_string())
            }
            SendRequestError::Connect(source) => Self::NotSent(source.to_string()),
            SendRequestError::Url(source) => Self::NotSent(source.to_string()),
            other => Self::InDoubt(other.to_string()),
        }
    }
}

fn to_json<T>(value: &T) -> Result<Bytes, String>
where
    T: Serialize,
{
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|source| source.to_string())
}

fn from_json<T>(bytes: &[u8]) -> Result<T, String>
where
    T: DeserializeOwned,
{
    serde_json::from_slice(bytes).map_err(|source| source.to_string())
}

impl LogService for HttpPlatform {
    async fn append(&self, entry: Bytes) -> Result<u64, AppendError> {
        let sent = entry.len();
        let request = self.client.post(&*self.log_url);
        let answer = self
            .exchange(request, entry, self.options.timeout_ms)
            .await
            .map_err(|failure| match failure {
                Failure::NotSent(text) => AppendError::Refused(text),
                Failure::InDoubt(text) => AppendError::InDoubt(text),
                Failure::TimedOut => AppendError::InDoubt("timed out".to_owned()),
            })?;
        self.log_bytes.set(self.log_bytes.get() + sent as u64);
        if answer.status == StatusCode::SERVICE_UNAVAILABLE {
            return Err(AppendError::Refused("unavailable".to_owned()));
        }
        if !answer.status.is_success() {
            return Err(AppendError::InDoubt(answer.status.to_string()));
        }
        from_json::<Appended>(&answer.body)
            .map(|appended| appended.offset)
            .map_err(AppendError::InDoubt)
    }

    async fn read(&self, from: u64, max_entries: u32) -> Result<LogPage, ReadError> {
        let url = format!("{}?from={from}&max={max_entries}", self.log_url);
        let answer = self
            .exchange(self.client.get(url), Bytes::new(), self.options.timeout_ms)
            .await
            .map_err(unavailable)?;
        let received = answer.body.len() as u64;
        self.log_bytes.set(self.log_bytes.get() + received);
        if !answer.status.is_success() {
            return Err(ReadError::Unavailable(answer.status.to_string()));
        }
        let page = from_json::<LogPage>(&answer.body).map_err(ReadError::Malformed)?;
        if from < page.oldest {
            return Err(ReadError::Trimmed {
                oldest: page.oldest,
            });
        }
        Ok(page)
    }
}

impl VmList for HttpPlatform {
    async fn list(&self) -> Result<Vec<Vm>, ReadError> {
        let mut request = self.client.get(&*self.vms_url);
        let listed = self.listed.borrow().clone();
        if let Some(listed) = &listed {
            request = request.insert_header((header::IF_NONE_MATCH, listed.tag.clone()));
        }
        let answer = self
            .exchange(request, Bytes::new(), self.options.timeout_ms)
            .await
            .map_err(unavailable)?;
        if let Some(listed) = listed.filter(|_| answer.status == StatusCode::NOT_MODIFIED) {
            return Ok(listed.vms.to_vec());
        }
        if !answer.status.is_success() {
            return Err(ReadError::Unavailable(answer.status.to_string()));
        }
        let vms = from_json::<Vec<Vm>>(&answer.body).map_err(ReadError::Malformed)?;
        let tagged = answer.tag.map(|tag| Listed {
            tag,
            vms: Rc::from(vms.as_slice()),
        });
        *self.listed.borrow_mut() = tagged;
        Ok(vms)
    }
}

fn unavailable(failure: Failure) -> ReadError {
    match failure {
        Failure::NotSent(text) | Failure::InDoubt(text) => ReadError::Unavailable(text),
        Failure::TimedOut => ReadError::Unavailable("timed out".to_owned()),
    }
}

impl WorkerPort for HttpPlatform {
    async fn start(
        &self,
        _worker: &WorkerId,
        address: &str,
        task: &StartTask,
    ) -> Result<(), WorkerError> {
        let url = format!("http://{address}/tasks");
        self.worker_call(url, task, 0).await?;
        Ok(())
    }

    async fn poll(
        &self,
        _worker: &WorkerId,
        address: &str,
        request: &PollRequest,
    ) -> Result<PollReply, WorkerError> {
        let url = format!("http://{address}/poll");
        let body = self.worker_call(url, request, request.wait_ms).await?;
        from_json(&body).map_err(WorkerError::InDoubt)
    }

    async fn command(
        &self,
        _worker: &WorkerId,
        address: &str,
        command: &TaskCommand,
    ) -> Result<(), WorkerError> {
        let url = format!("http://{address}/command");
        self.worker_call(url, command, 0).await?;
        Ok(())
    }
}

impl EndpointPort for HttpPlatform {
    async fn send(
        &self,
        address: &str,
        call: EndpointCall,
    ) -> Result<EndpointAnswer, EndpointError> {
        let url = format!("http://{address}/{}", call.path.trim_start_matches('/'));
        let request = self
            .client
            .post(url)
            .insert_header((REQUEST_ID_HEADER, call.request_id));
        let answer = self
            .exchange(request, call.body, call.timeout_ms)
            .await
            .map_err(|failure| match failure {
                Failure::NotSent(text) => EndpointError::NotSent(text),
                Failure::InDoubt(text) => EndpointError::InDoubt(text),
                Failure::TimedOut => EndpointError::TimedOut,
            })?;
        if let Some(draining) = answer.not_run_draining {
            return Err(EndpointError::Refused { draining });
        }
        Ok(EndpointAnswer {
            status: answer.status.as_u16(),
            body: answer.body,
        })
    }
}
