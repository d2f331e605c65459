package io.hawthornlb.net.platform;

/**
 * What a writer has appended so far.
 *
 * @param calls append calls, resends included
 * @param records records in these calls, resends included
 * @param failedCalls calls without a usable answer
 * @param recordsGivenUp records that are no longer sent
 * @param callsLastSecond append calls in the last whole second
 * @param pending records that wait now
 */
public record AppendStatistics(
    long calls,
    long records,
    long failedCalls,
    long recordsGivenUp,
    long callsLastSecond,
    int pending) {}
