package io.hawthornlb.gateway.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;

/**
 * An HTTP call with a small body.
 *
 * @param address address of the server
 * @param method HTTP method
 * @param path path and query
 * @param headers headers in addition to those of every call
 * @param body body; may be empty
 * @param timeout time from now within which the complete reply must arrive
 */
public record HttpCall(
    InetSocketAddress address,
    String method,
    String path,
    Map<String, String> headers,
    byte[] body,
    Duration timeout) {}
