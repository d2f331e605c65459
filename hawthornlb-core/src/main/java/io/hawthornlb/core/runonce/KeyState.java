package io.hawthornlb.core.runonce;

import java.time.Instant;

/**
 * What the log says of a key; results stay in the log.
 *
 * @param fingerprintHash a hash of the fingerprint
 * @param attempt the latest attempt
 * @param state what is known of it
 * @param offset the offset of the {@link EntriesRecorded} record that says so
 * @param position its place in that record
 * @param expiresAt until when the key is remembered
 */
public record KeyState(
    long fingerprintHash,
    AttemptId attempt,
    EntryState state,
    long offset,
    int position,
    Instant expiresAt) {}
