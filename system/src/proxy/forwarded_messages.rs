//! Conversion of requests and responses between clients and backends.

use super::HttpResponse;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH};
use hyper::{HeaderMap, Method, Response, StatusCode};
use oakfall::plane::body::{ResponseBody, UnreadBody};
use oakfall::plane::driver::BackendRequest;
use oakfall::plane::http::Head;
use std::rc::Rc;

/// Headers that may occur only once: backends could differ in which of two values they use.
pub(super) const SINGLETON_HEADERS: [&str; 2] = ["host", "request-id"];

/// Hop-by-hop headers and headers that the proxy sets itself.
const UNFORWARDED_HEADERS: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "authorization",
    "deadline-ms",
    "expect-instance",
    "tenant",
];

/// Header names listed in the values of `Connection` headers.
fn connection_header_names<'a>(values: impl Iterator<Item = &'a [u8]>) -> Vec<String> {
    let texts = values.map(|value| String::from_utf8_lossy(value).to_ascii_lowercase());
    texts.flat_map(|text| text.split(',').map(|name| name.trim().to_owned()).collect::<Vec<_>>()).collect()
}

/// Builds the request that a backend receives.
pub(super) fn backend_request(
    method: &Method, target: &str, headers: &HeaderMap, tenant: Option<&str>, body: &[u8],
    more: Option<(Rc<UnreadBody>, Option<u64>)>,
) -> BackendRequest {
    let mut head = Vec::with_capacity(512);
    let mut line = |parts: &[&[u8]]| parts.iter().for_each(|part| head.extend_from_slice(part));
    line(&[method.as_str().as_bytes(), b" ", target.as_bytes(), b" HTTP/1.1\r\n"]);
    let hop_by_hop = connection_header_names(headers.get_all(CONNECTION).iter().map(HeaderValue::as_bytes));
    for (name, value) in headers {
        let name = name.as_str();
        // A client cannot remove `host` or `request-id` by listing them in `Connection`.
        if !UNFORWARDED_HEADERS.contains(&name)
            && (SINGLETON_HEADERS.contains(&name) || !hop_by_hop.iter().any(|listed| listed == name))
        {
            line(&[name.as_bytes(), b": ", value.as_bytes(), b"\r\n"]);
        }
    }
    if let Some(tenant) = tenant {
        line(&[b"Tenant: ", tenant.as_bytes(), b"\r\n"]);
    }
    let size = match &more {
        Some((_, size)) => *size,
        None => Some(body.len() as u64),
    };
    let has_body_headers = headers.contains_key(CONTENT_LENGTH) || headers.contains_key("transfer-encoding");
    let chunked = size.is_none();
    if chunked {
        line(&[b"Transfer-Encoding: chunked\r\n"]);
    } else if has_body_headers || size != Some(0) {
        line(&[b"Content-Length: ", size.unwrap_or(0).to_string().as_bytes(), b"\r\n"]);
    }
    let rest = if chunked {
        [b"\r\n", format!("{:x}\r\n", body.len()).as_bytes(), body, b"\r\n"].concat()
    } else {
        [b"\r\n", body].concat()
    };
    let request_id = headers.get("request-id").map(|id| id.as_bytes().to_vec()).unwrap_or_default();
    BackendRequest {
        head,
        rest,
        correlation_id: request_id,
        streamed_body: more.map(|(more, _)| (more, chunked)),
        _reservation: None,
    }
}

/// Builds the client's response from a backend's.
pub(super) fn response_from_backend(head: &Head, content: ResponseBody, head_only: bool) -> HttpResponse {
    let mut response = Response::new(content);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut hop_by_hop = Vec::new();
    head.for_each_header(|name, value| {
        if name.eq_ignore_ascii_case("connection") {
            hop_by_hop.extend(connection_header_names(std::iter::once(value)));
        }
    });
    let headers = response.headers_mut();
    head.for_each_header(|name, value| {
        // A response to HEAD keeps the length of the body that GET would return.
        let kept = (head_only && name.eq_ignore_ascii_case("content-length")
            || !UNFORWARDED_HEADERS.iter().any(|header| name.eq_ignore_ascii_case(header)))
            && !hop_by_hop.iter().any(|listed| name.eq_ignore_ascii_case(listed));
        let pair = HeaderName::try_from(name).ok().zip(HeaderValue::from_bytes(value).ok()).filter(|_| kept);
        if let Some((name, value)) = pair {
            headers.append(name, value);
        }
    });
    response
}
