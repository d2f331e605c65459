package io.hawthornlb.gateway.http;

/**
 * A whole reply.
 *
 * @param status status code
 * @param body body; may be empty
 */
public record HttpReply(int status, byte[] body) {}
