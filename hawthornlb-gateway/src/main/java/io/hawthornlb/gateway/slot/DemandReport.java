package io.hawthornlb.gateway.slot;

import io.hawthornlb.core.demand.DemandPhase;
import java.util.Optional;

/**
 * Demand of the online requests of a service, as its coordinator sees it.
 *
 * @param actual slots that online requests use or wait for
 * @param forecast most slots that online requests are expected to use within the next second
 * @param phase present phase of the load cycle; empty unless a cycle is recognized
 */
public record DemandReport(int actual, double forecast, Optional<DemandPhase> phase) {}
