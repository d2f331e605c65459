package io.hawthornlb.standin.load.support;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;

/** Checks which endpoints still answer at the end of a run. */
final class EndpointCheck {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();

  /** Returns the addresses of the endpoints that don't answer a health check within 2 s. */
  List<String> lost(List<String> endpoints) {
    return endpoints.stream().filter(address -> !answers(address)).toList();
  }

  private boolean answers(String address) {
    URI uri = URI.create("http://" + address + "/health");
    try {
      client.send(HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(), BodyHandlers.discarding());
      return true;
    } catch (IOException e) {
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
