package io.hawthornlb.standin.load.support;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Reads from the plain service stand-ins the number of runs of each call. */
final class ServiceCounts {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

  /** Returns the run counts of all services by key; empty if a service can't be read. */
  Optional<Map<String, Long>> read(List<String> services) {
    Map<String, Long> runs = new HashMap<>();
    try {
      for (String service : services) {
        JsonNode calls = calls(service);
        calls
            .fields()
            .forEachRemaining(e -> runs.merge(e.getKey(), e.getValue().asLong(), Long::sum));
      }
      return Optional.of(runs);
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private JsonNode calls(String service) throws IOException {
    URI uri = URI.create("http://" + service + "/standin/calls");
    try {
      String body =
          client
              .send(HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(), BodyHandlers.ofString())
              .body();
      return WireJson.mapper().readTree(body).path("calls");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }
}
