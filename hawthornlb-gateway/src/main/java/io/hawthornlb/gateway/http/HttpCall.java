package io.hawthornlb.gateway.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;

/**
 * A call with a small body.
 *
 * @param address whom to call
 * @param method method of the call
 * @param path path and query
 * @param headers headers beside those that every call has
 * @param body body; may be empty
 * @param timeout time from now within which the whole reply must be there
 */
public record HttpCall(
    InetSocketAddress address,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    Duration timeout) {}
