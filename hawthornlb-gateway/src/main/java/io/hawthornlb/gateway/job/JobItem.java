package io.hawthornlb.gateway.job;

import java.util.Map;

/**
 * One request of a job.
 *
 * @param id id of the item
 * @param path path at the endpoint
 * @param headers headers of the request
 * @param body body of the request
 */
public record JobItem(String id, String path, Map<String, String> headers, byte[] body) {}
