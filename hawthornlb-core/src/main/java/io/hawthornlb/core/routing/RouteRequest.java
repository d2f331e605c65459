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
 * The properties of a request that a router needs.
 *
 * @param id id of the request
 * @param service service that the request is for
 * @param workspace workspace that the request belongs to
 * @param requestClass class of the request
 * @param origin data centre of the entry instance that received the request
 * @param prefixes hashes of the prompt prefixes, shortest first; empty for services without prompts
 * @param excluded endpoints that must not be chosen
 * @param promptTokens estimated length of the prompt
 * @param deadline time by which the answer is due
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

  /** Checks the prompt length and copies the collections. */
  public RouteRequest {
    Checks.notNegative(promptTokens, "prompt tokens");
    prefixes = List.copyOf(prefixes);
    excluded = Set.copyOf(excluded);
  }

  /** Returns this request with another set of excluded endpoints. */
  public RouteRequest excluding(Set<EndpointId> endpoints) {
    return new RouteRequest(
        id, service, workspace, requestClass, origin, prefixes, endpoints, promptTokens, deadline);
  }
}
