package io.hawthornlb.app.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.endpoint.Observation;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.routing.PrefixEvent;
import io.hawthornlb.net.endpoint.EndpointCall;
import io.hawthornlb.net.endpoint.EndpointClient;
import io.hawthornlb.net.endpoint.EndpointResponse;
import io.hawthornlb.net.endpoint.TrafficKind;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Polls endpoints for load reports, cache events and health, and passes the results to a listener
 * on the decision loop.
 */
public final class EndpointMonitor {

  private static final System.Logger LOG = System.getLogger(EndpointMonitor.class.getName());
  private static final Duration TIMEOUT = Duration.ofMillis(800);

  private final EndpointClient client;
  private final ObjectMapper mapper;
  private final DecisionLoop loop;
  private final EndpointListener listener;
  private final Map<EndpointId, Long> nextCacheEvent = new HashMap<>();

  /** Creates a monitor. */
  public EndpointMonitor(
      EndpointClient client, ObjectMapper mapper, DecisionLoop loop, EndpointListener listener) {
    this.client = client;
    this.mapper = mapper;
    this.loop = loop;
    this.listener = listener;
  }

  /**
   * Requests load reports and new cache events from endpoints. Call this method on the decision
   * loop.
   */
  public void poll(List<Endpoint> endpoints) {
    for (Endpoint endpoint : endpoints) {
      EndpointId id = endpoint.id();
      requestReport(endpoint.address(), "/v1/load", answer -> loadReport(id, answer));
      long from = nextCacheEvent.getOrDefault(id, 0L);
      requestReport(
          endpoint.address(), "/v1/cache-events?from=" + from, answer -> cacheEvents(id, answer));
    }
  }

  /** Probes the health of endpoints. Call this method on the decision loop. */
  public void probe(List<Endpoint> endpoints) {
    for (Endpoint endpoint : endpoints) {
      EndpointId id = endpoint.id();
      client
          .exchange(call(endpoint.address(), "/health"), TIMEOUT)
          .subscribe(
              answer -> loop.execute(() -> listener.onObservation(id, health(answer))),
              error -> loop.execute(() -> listener.onObservation(id, Observation.FAILURE)));
    }
  }

  private interface AnswerHandler {

    void handle(JsonNode answer);
  }

  private void requestReport(String address, String uri, AnswerHandler handler) {
    client
        .exchange(call(address, uri), TIMEOUT)
        .subscribe(
            answer -> read(answer, handler),
            error ->
                LOG.log(
                    System.Logger.Level.DEBUG, "endpoints: no report from {0}{1}", address, uri));
  }

  private void read(EndpointResponse answer, AnswerHandler handler) {
    if (!answer.successful()) {
      return;
    }
    try {
      JsonNode tree = mapper.readTree(answer.body());
      loop.execute(() -> handler.handle(tree));
    } catch (IOException e) {
      LOG.log(System.Logger.Level.WARNING, "endpoints: could not parse a report");
    }
  }

  private void loadReport(EndpointId id, JsonNode tree) {
    if (tree.path("asOf").asText().isEmpty()) {
      return;
    }
    LoadReport report =
        new LoadReport(
            Instant.parse(tree.path("asOf").asText()),
            tree.path("running").asInt(),
            tree.path("waiting").asInt(),
            Math.max(1, tree.path("slots").asInt()),
            tree.path("kvUsedTokens").asLong(),
            tree.path("kvTotalTokens").asLong(),
            tree.path("tokensPerSecond").asDouble(),
            tree.path("batch").asInt());
    listener.onLoadReport(id, report);
  }

  private void cacheEvents(EndpointId id, JsonNode tree) {
    List<PrefixEvent> prefixEvents = new ArrayList<>();
    for (JsonNode event : tree.path("events")) {
      PrefixEvent.Kind kind =
          "stored".equals(event.path("kind").asText())
              ? PrefixEvent.Kind.STORED
              : PrefixEvent.Kind.EVICTED;
      prefixEvents.add(
          new PrefixEvent(event.path("seq").asLong(), event.path("prefix").asText(), kind));
    }
    nextCacheEvent.put(id, tree.path("nextSeq").asLong());
    if (!prefixEvents.isEmpty()) {
      listener.onCacheEvents(id, prefixEvents);
    }
  }

  private static Observation health(EndpointResponse answer) {
    if (answer.successful()) {
      return Observation.HEALTHY;
    }
    String body = new String(answer.body(), java.nio.charset.StandardCharsets.UTF_8);
    return body.contains("leaving") ? Observation.LEAVING : Observation.FAILURE;
  }

  private static EndpointCall call(String address, String uri) {
    return EndpointCall.bare(address, "GET", uri, TrafficKind.CONTROL);
  }
}
