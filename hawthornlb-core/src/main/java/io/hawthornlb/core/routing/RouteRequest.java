package io.hawthornlb.core.routing;

import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.RequestClass;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.util.Checks;
import java.time.Instant;
import java.util.List;
import java.util.Set;

/**
 * What a router needs to know about one request.
 *
 * @param id the request
 * @param service the service that it asks for
 * @param workspace whose request it is
 * @param requestClass its class
 * @param origin the data centre of the entry that has it
 * @param prefixes hashes of its prompt prefixes, shortest first; empty for plain services
 * @param excluded endpoints that must not be chosen
 * @param promptTokens estimated length of the prompt
 * @param deadline by when the answer is due
 */
public record RouteRequest(
    RequestId id,
    ServiceName service,
    WorkspaceId workspace,
    RequestClass requestClass,
    DataCentre origin,
    List<String> prefixes,
    Set<EndpointId> excluded,
    int promptTokens,
    Instant deadline) {

  /** Checks the length and copies the collections. */
  public RouteRequest {
    Checks.notNegative(promptTokens, "prompt tokens");
    prefixes = List.copyOf(prefixes);
    excluded = Set.copyOf(excluded);
  }

  /** Returns this request with other endpoints excluded. */
  public RouteRequest excluding(Set<EndpointId> endpoints) {
    return new RouteRequest(
        id, service, workspace, requestClass, origin, prefixes, endpoints, promptTokens, deadline);
  }
}
