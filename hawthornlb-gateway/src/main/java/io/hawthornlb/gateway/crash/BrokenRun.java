package io.hawthornlb.gateway.crash;

import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import java.net.InetSocketAddress;

/**
 * A request whose connection to an endpoint broke before an answer had begun.
 *
 * @param requestId id of the attempt or of the item
 * @param parts parts that the request shares with others
 * @param endpoint endpoint that had the request
 * @param address address of the endpoint
 */
public record BrokenRun(
    String requestId, PromptParts parts, EndpointIncarnation endpoint, InetSocketAddress address) {}
