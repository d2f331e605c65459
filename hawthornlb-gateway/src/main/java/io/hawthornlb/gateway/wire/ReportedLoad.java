package io.hawthornlb.gateway.wire;

/**
 * Load that an endpoint reported in a response.
 *
 * @param running requests that are running at the endpoint
 * @param waiting requests that are waiting at the endpoint
 */
public record ReportedLoad(int running, int waiting) {}
