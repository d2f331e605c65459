package io.hawthornlb.net.platform.support;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.net.platform.PlatformUnavailableException;
import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import java.io.IOException;
import java.net.MalformedURLException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import reactor.core.publisher.Mono;

/**
 * Exchanges JSON with the platform, each call bounded in time.
 *
 * <p>A connection that has gone silent shows as a call that gets no byte. The guard: the call's
 * timeout closes its connection, and idle connections are closed sooner than any call times out, so
 * the next call opens a new one.
 */
final class PlatformHttp implements AutoCloseable {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(500);

  /** Time for a call to end by the timeout of its connection, which closes it, before it is cut. */
  private static final Duration BACKSTOP = Duration.ofMillis(300);

  private static final int MAX_ANSWER_BYTES = 32 << 20;

  private final HttpClient client;

  PlatformHttp(URI baseUri, Duration connectTimeout, Duration readTimeout) {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setConnectTimeout(connectTimeout);
    configuration.setReadTimeout(readTimeout);
    configuration.setConnectionPoolIdleTimeout(IDLE_TIMEOUT);
    configuration.setMaxContentLength(MAX_ANSWER_BYTES);
    configuration.setExceptionOnErrorStatus(false);
    configuration.setNumOfThreads(1);
    try {
      this.client = HttpClient.create(baseUri.toURL(), configuration);
    } catch (MalformedURLException e) {
      throw new IllegalArgumentException("platform address " + baseUri + " is no URL", e);
    }
  }

  /** Returns the answer, whatever its status; fails when none came within the timeout. */
  CompletableFuture<HttpResponse<byte[]>> exchange(HttpRequest<?> request, Duration timeout) {
    Argument<byte[]> bytes = Argument.of(byte[].class);
    CompletableFuture<HttpResponse<byte[]>> exchange =
        Mono.from(client.exchange(request, bytes, bytes)).toFuture();
    CompletableFuture<HttpResponse<byte[]>> bounded =
        exchange.copy().orTimeout(timeout.plus(BACKSTOP).toMillis(), TimeUnit.MILLISECONDS);
    bounded.whenComplete((answer, failure) -> exchange.cancel(true));
    return bounded;
  }

  /** Returns a request with a JSON body. */
  static <T> MutableHttpRequest<String> withJson(MutableHttpRequest<T> request, JsonNode body) {
    return request.contentType("application/json").body(body.toString());
  }

  /** Returns the body of an answer as JSON. */
  static JsonNode json(HttpResponse<byte[]> answer) {
    byte[] body = answer.body();
    try {
      return MAPPER.readTree(body == null ? "{}".getBytes(StandardCharsets.UTF_8) : body);
    } catch (IOException e) {
      throw new PlatformUnavailableException("the platform's answer is not JSON", e);
    }
  }

  @Override
  public void close() {
    client.close();
  }
}
