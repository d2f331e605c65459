package io.hawthornlb.core.crash;

import java.time.Duration;
import java.util.Set;

/**
 * Why a request must not reach an endpoint.
 *
 * @param parts parts of the request of which one crashes endpoints
 * @param crashes ids of the crashes that are the evidence
 * @param retryAfter time after which the caller may return
 */
public record CrashBlock(Set<String> parts, Set<String> crashes, Duration retryAfter) {}
