package io.hawthornlb.gateway.crash;

import io.hawthornlb.core.crash.PartEvidence;
import org.jspecify.annotations.Nullable;

/**
 * What an instance tells the others of a part.
 *
 * @param part id of the part
 * @param evidence what speaks against the part; null if an answer has begun on it
 */
public record PartUpdate(String part, @Nullable PartEvidence evidence) {}
