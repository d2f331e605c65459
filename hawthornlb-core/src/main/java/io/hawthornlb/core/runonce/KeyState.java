package io.hawthornlb.core.runonce;

import java.time.Instant;

/**
 * State of a key as recorded in the log, without the result, which stays in the log.
 *
 * @param fingerprintHash a hash of the fingerprint
 * @param attempt the latest attempt
 * @param state what is known about the attempt
 * @param offset the offset of the {@link EntriesRecorded} record with this state
 * @param position the index of the entry in that record
 * @param expiresAt when the key expires
 */
public record KeyState(
    long fingerprintHash,
    AttemptId attempt,
    EntryState state,
    long offset,
    int position,
    Instant expiresAt) {}
