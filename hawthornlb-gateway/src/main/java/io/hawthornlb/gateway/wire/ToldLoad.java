package io.hawthornlb.gateway.wire;

/**
 * Load that an endpoint told with an answer.
 *
 * @param running requests that run there
 * @param waiting requests that wait there
 */
public record ToldLoad(int running, int waiting) {}
