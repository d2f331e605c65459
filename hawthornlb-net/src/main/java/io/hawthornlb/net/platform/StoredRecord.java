package io.hawthornlb.net.platform;

import java.time.Instant;

/**
 * A record as the platform stores it.
 *
 * @param offset the position of the record in the stream
 * @param appendedAt when the platform appended the record
 * @param data the encoded record
 */
public record StoredRecord(long offset, Instant appendedAt, byte[] data) {}
