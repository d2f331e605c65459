package io.hawthornlb.gateway.wire;

/**
 * Names of the headers that the gateway reads or sets.
 *
 * @param requestId id of one attempt of a caller
 * @param remainingMillis time that the caller still waits, in milliseconds
 * @param expectedEndpoint id of the endpoint that a request is meant for
 * @param notRun on an answer: the endpoint did not run the request
 * @param signature on an answer: proof that an endpoint made it
 * @param lastEventId last event of a stream that the caller has
 * @param load reads the load that an answer tells
 */
public record HeaderNames(
    String requestId,
    String remainingMillis,
    String expectedEndpoint,
    String notRun,
    String signature,
    String lastEventId,
    LoadFormat load) {}
