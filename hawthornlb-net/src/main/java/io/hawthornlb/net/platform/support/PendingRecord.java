package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.log.RecordId;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;

/**
 * An encoded record that is not yet confirmed to be in its stream.
 *
 * @param id the record's id, which stays the same through resends
 * @param data the encoded record
 * @param since when the writer accepted the record
 * @param offset completes with an offset of the record, or fails when the writer gives up
 */
record PendingRecord(RecordId id, byte[] data, Instant since, CompletableFuture<Long> offset) {}
