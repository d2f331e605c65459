package io.hawthornlb.net.platform.support;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.net.http.GuardedHttpClients;
import io.hawthornlb.net.http.PipelineExtension;
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
 * HTTP client that exchanges JSON with the platform, with a timeout for each call.
 *
 * <p>A connection can stop delivering data without being closed, so that a call on it receives no
 * byte. The call's timeout then closes the connection. Idle connections are closed sooner than any
 * call times out, so that the next call opens a new connection.
 */
final class PlatformHttp implements AutoCloseable {

  static final ObjectMapper MAPPER = new ObjectMapper();

  private static final Duration IDLE_TIMEOUT = Duration.ofMillis(500);

  /**
   * Time between a call's timeout and its cancellation.
   *
   * <p>In this time the timeout of the connection can end the call, which also closes the
   * connection.
   */
  private static final Duration CANCEL_MARGIN = Duration.ofMillis(300);

  private static final int MAX_RESPONSE_BYTES = 32 << 20;

  private final HttpClient client;

  PlatformHttp(URI baseUri, Duration connectTimeout, Duration readTimeout) {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setConnectTimeout(connectTimeout);
    configuration.setReadTimeout(readTimeout);
    configuration.setConnectionPoolIdleTimeout(IDLE_TIMEOUT);
    configuration.setMaxContentLength(MAX_RESPONSE_BYTES);
    configuration.setExceptionOnErrorStatus(false);
    configuration.setNumOfThreads(1);
    this.client =
        GuardedHttpClients.create(requireUrl(baseUri), configuration, PipelineExtension.NONE);
  }

  private static URI requireUrl(URI baseUri) {
    try {
      baseUri.toURL();
      return baseUri;
    } catch (MalformedURLException e) {
      throw new IllegalArgumentException("platform address " + baseUri + " is not a valid URL", e);
    }
  }

  /** Returns the response, whatever its status. Fails if there is none within the timeout. */
  CompletableFuture<HttpResponse<byte[]>> exchange(HttpRequest<?> request, Duration timeout) {
    Argument<byte[]> bytes = Argument.of(byte[].class);
    CompletableFuture<HttpResponse<byte[]>> exchange =
        Mono.from(client.exchange(request, bytes, bytes)).toFuture();
    CompletableFuture<HttpResponse<byte[]>> bounded =
        exchange.copy().orTimeout(timeout.plus(CANCEL_MARGIN).toMillis(), TimeUnit.MILLISECONDS);
    bounded.whenComplete((response, failure) -> exchange.cancel(true));
    return bounded;
  }

  /** Returns a request with a JSON body. */
  static <T> MutableHttpRequest<String> withJson(MutableHttpRequest<T> request, JsonNode body) {
    return request.contentType("application/json").body(body.toString());
  }

  /** Returns the body of a response as JSON; an empty object if there is no body. */
  static JsonNode json(HttpResponse<byte[]> response) {
    byte[] body = response.body();
    try {
      return MAPPER.readTree(body == null ? "{}".getBytes(StandardCharsets.UTF_8) : body);
    } catch (IOException e) {
      throw new PlatformUnavailableException("the platform's response is not JSON", e);
    }
  }

  @Override
  public void close() {
    client.close();
  }
}
