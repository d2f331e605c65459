package io.hawthornlb.gateway.wire;

import org.jspecify.annotations.Nullable;

/**
 * An answer that was ended because of its size.
 *
 * @param requestId id of the request; null if none waits, or if it has none
 * @param endpoint id of the endpoint
 * @param part part of the answer that was too long
 * @param bytes bytes of that part so far
 */
record EndedAnswer(
    @Nullable String requestId, @Nullable String endpoint, AnswerPart part, long bytes) {}
