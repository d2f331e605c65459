package io.hawthornlb.net.platform;

import java.time.Instant;

/**
 * One record as the platform keeps it.
 *
 * @param offset its place in the stream
 * @param appendedAt when the platform took it
 * @param data the encoded record
 */
public record StoredRecord(long offset, Instant appendedAt, byte[] data) {}
