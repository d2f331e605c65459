package io.hawthornlb.gateway.front;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Instant;

/**
 * A whole request of a caller, as it came.
 *
 * @param method method
 * @param uri path and query, unchanged
 * @param path path without the query
 * @param host host that the request names
 * @param headers headers
 * @param body body; empty if there is none
 * @param arrived when its last byte was read
 */
public record FrontRequest(
    HttpMethod method,
    String uri,
    String path,
    String host,
    HttpHeaders headers,
    byte[] body,
    Instant arrived) {}
