package io.hawthornlb.core.runonce;

/**
 * One header field of a call or a result.
 *
 * @param name the name in lower case
 * @param value the value
 */
public record HeaderField(String name, String value) {}
