package io.hawthornlb.standin.load.support;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import io.hawthornlb.standin.load.CatalogueEdit;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Edits the catalogue through the interface for operators of an entry instance. */
final class CatalogueEditor {

  private static final Duration TIMEOUT = Duration.ofSeconds(12);
  private static final ObjectMapper YAML = YAMLMapper.builder().build();
  private static final int OK = 200;

  private final HttpClient client;
  private @Nullable String original;

  CatalogueEditor(HttpClient client) {
    this.client = client;
  }

  /**
   * Applies an edit and returns the status of the answer.
   *
   * @throws IOException if the entry instance does not answer or hands out no catalogue
   */
  int apply(String address, CatalogueEdit edit) throws IOException, InterruptedException {
    URI uri = URI.create("http://" + address + "/v1/catalogue");
    HttpResponse<String> shown = send(request(uri, edit).GET());
    if (shown.statusCode() != OK) {
      return shown.statusCode();
    }
    JsonNode current = WireJson.mapper().readTree(shown.body());
    if (original == null) {
      original = current.path("yaml").asText();
    }
    return send(request(uri, edit)
            .header("If-Match", current.path("revision").asText())
            .header("X-Author", "load-tool")
            .PUT(BodyPublishers.ofString(without(original, edit))))
        .statusCode();
  }

  private static String without(String catalogue, CatalogueEdit edit) throws IOException {
    JsonNode root = YAML.readTree(catalogue);
    if (root.path("services") instanceof ObjectNode services) {
      services.remove(edit.without());
    }
    return YAML.writeValueAsString(root);
  }

  private static HttpRequest.Builder request(URI uri, CatalogueEdit edit) {
    return HttpRequest.newBuilder(uri)
        .timeout(TIMEOUT)
        .header("Authorization", "Bearer " + edit.key());
  }

  private HttpResponse<String> send(HttpRequest.Builder request)
      throws IOException, InterruptedException {
    return client.send(request.build(), BodyHandlers.ofString());
  }
}
