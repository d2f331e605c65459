package io.hawthornlb.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;

/** An HTTP client for tests that call a stand-in. */
public final class TestCalls {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);

  private final HttpClient client = HttpClient.newHttpClient();
  private final String address;

  public TestCalls(String address) {
    this.address = address;
  }

  public TestCalls(RunningStandin standin) {
    this(standin.address());
  }

  public HttpResponse<String> get(String path) throws IOException {
    return send(request(path).GET());
  }

  public HttpResponse<String> delete(String path) throws IOException {
    return send(request(path).DELETE());
  }

  public HttpResponse<String> post(String path, String body, String... headers) throws IOException {
    return send(withHeaders(request(path), headers).POST(BodyPublishers.ofString(body)));
  }

  public HttpResponse<String> put(String path, String body) throws IOException {
    return send(request(path).PUT(BodyPublishers.ofString(body)));
  }

  public void fault(String json) throws IOException {
    HttpResponse<String> answer = post("/standin/faults", json);
    if (answer.statusCode() != 204) {
      throw new IllegalStateException(answer.body());
    }
  }

  public JsonNode json(String path) throws IOException {
    return WireJson.mapper().readTree(get(path).body());
  }

  /** Returns the data of all server-sent events in a response. */
  public static List<String> events(HttpResponse<String> answer) {
    return answer
        .body()
        .lines()
        .filter(line -> line.startsWith("data:"))
        .map(line -> line.substring("data:".length()).trim())
        .toList();
  }

  public HttpResponse<String> send(HttpRequest.Builder request) throws IOException {
    try {
      return client.send(request.build(), BodyHandlers.ofString());
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  public HttpRequest.Builder request(String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
  }

  private static HttpRequest.Builder withHeaders(HttpRequest.Builder request, String[] headers) {
    return headers.length == 0 ? request : request.headers(headers);
  }
}
