package io.hawthornlb.app.entry;

import io.hawthornlb.core.admission.AdmissionController;
import io.hawthornlb.core.admission.ShareExchange;
import io.hawthornlb.core.endpoint.EndpointTable;
import io.hawthornlb.core.retry.RetryPolicy;
import io.hawthornlb.core.routing.PrefixIndex;
import io.hawthornlb.core.routing.Router;
import io.hawthornlb.core.suspect.SuspectTable;

/**
 * The policies for online requests. All of them are confined to the decision loop.
 *
 * @param endpoints the endpoints and their state
 * @param router chooses the endpoint of a request
 * @param admission decides when a request starts
 * @param shares divides the limits of the fleet between entry instances
 * @param retries decides whether a failed request is attempted again
 * @param suspects identifies requests that may crash endpoints
 * @param inFlight counts the requests in flight at each endpoint
 * @param prefixes maps prompt prefixes to the endpoints that have cached them
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
