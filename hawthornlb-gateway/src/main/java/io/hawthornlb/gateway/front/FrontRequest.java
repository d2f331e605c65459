package io.hawthornlb.gateway.front;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Instant;

/**
 * A complete request of a caller, as received.
 *
 * @param method method
 * @param uri path and query, unchanged
 * @param path path without the query
 * @param host value of the Host header
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
