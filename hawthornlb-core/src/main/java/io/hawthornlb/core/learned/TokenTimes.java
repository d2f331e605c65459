package io.hawthornlb.core.learned;

import java.time.Duration;

/**
 * Time that tokens take at an endpoint of usual pace.
 *
 * @param perPromptToken time for each prompt token
 * @param perOutputToken time for each output token
 */
public record TokenTimes(Duration perPromptToken, Duration perOutputToken) {}
