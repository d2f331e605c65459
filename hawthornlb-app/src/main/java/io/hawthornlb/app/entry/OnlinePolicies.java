package io.hawthornlb.app.entry;

import io.hawthornlb.core.admission.AdmissionController;
import io.hawthornlb.core.admission.ShareExchange;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.retry.RetryPolicy;
import io.hawthornlb.core.routing.PrefixIndex;
import io.hawthornlb.core.routing.Router;
import io.hawthornlb.core.suspect.SuspectTable;

/**
 * The deciders that online requests meet, all confined to the decision loop.
 *
 * @param endpoints which endpoints are in service
 * @param router where a request goes
 * @param admission when it starts
 * @param shares how limits of the fleet are divided between entries
 * @param retries whether it is tried again
 * @param suspects whether it crashes endpoints
 * @param inFlight what is in flight where
 * @param prefixes which endpoint holds which prefix
 */
public record OnlinePolicies(
    EndpointTable endpoints,
    Router router,
    AdmissionController admission,
    ShareExchange shares,
    RetryPolicy retries,
    SuspectTable suspects,
    NotifyingInFlightTracker inFlight,
    PrefixIndex prefixes) {}
