package io.hawthornlb.gateway.wire;

import org.jspecify.annotations.Nullable;

/**
 * An answer of an endpoint that reached no request.
 *
 * @param owner to whom the answer belongs
 * @param echoedId id of the request that the answer names; null if it names none
 * @param waitingId id of the request that waits on the connection; null if none waits
 * @param endpoint id of the endpoint; null if the connection was being closed
 * @param status status of the answer
 * @param carried number of requests that the connection has carried
 */
record DroppedAnswer(
    AnswerOwner owner,
    @Nullable String echoedId,
    @Nullable String waitingId,
    @Nullable String endpoint,
    int status,
    int carried) {}
