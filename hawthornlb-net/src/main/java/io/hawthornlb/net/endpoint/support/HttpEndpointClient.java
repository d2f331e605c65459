package io.hawthornlb.net.endpoint.support;

import io.hawthornlb.core.model.HeaderField;
import io.hawthornlb.http.BrokenResponseException;
import io.hawthornlb.net.endpoint.EndpointCall;
import io.hawthornlb.net.endpoint.EndpointCallException;
import io.hawthornlb.net.endpoint.EndpointClient;
import io.hawthornlb.net.endpoint.EndpointFault;
import io.hawthornlb.net.endpoint.EndpointResponse;
import io.hawthornlb.net.endpoint.TrafficKind;
import io.hawthornlb.net.http.GuardedHttpClients;
import io.micronaut.http.HttpMethod;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.HttpClientConfiguration;
import io.micronaut.http.client.exceptions.ContentLengthExceededException;
import io.micronaut.http.client.exceptions.HttpClientResponseException;
import io.micronaut.http.client.exceptions.ReadTimeoutException;
import io.micronaut.http.client.netty.DefaultHttpClient;
import io.micronaut.http.client.sse.SseClient;
import io.micronaut.http.sse.Event;
import io.netty.channel.ConnectTimeoutException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeoutException;
import org.jspecify.annotations.Nullable;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Endpoint client on the Micronaut HTTP client.
 *
 * <p>Each kind of traffic has its own connections, so that an online request never waits for a
 * connection behind a batch item. Threads are allocated for each kind of traffic, and their number
 * does not depend on the number of endpoints.
 */
public final class HttpEndpointClient implements EndpointClient {

  private static final System.Logger LOG = System.getLogger(HttpEndpointClient.class.getName());

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final Set<String> HOP_BY_HOP_HEADERS =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "content-length",
          "host");

  private final Map<TrafficKind, HttpClient> clients = new EnumMap<>(TrafficKind.class);
  private final Map<TrafficKind, SseClient> streamClients = new EnumMap<>(TrafficKind.class);
  private final EndpointClientSettings settings;

  /** Creates a client. Connections are opened on demand. */
  public HttpEndpointClient(EndpointClientSettings settings) {
    this.settings = settings;
    for (TrafficKind kind : TrafficKind.values()) {
      clients.put(kind, client());
      streamClients.put(kind, client());
    }
  }

  @Override
  public Mono<EndpointResponse> exchange(EndpointCall call, Duration timeout) {
    HttpClient client = clients.get(call.kind());
    return Mono.from(client.exchange(request(call), byte[].class))
        .timeout(timeout)
        .map(HttpEndpointClient::toResponse)
        .onErrorResume(HttpEndpointClient::toErrorResponse)
        .onErrorMap(error -> failure(call, error));
  }

  @Override
  public Flux<String> events(EndpointCall call, Duration silence) {
    MutableHttpRequest<byte[]> request = request(call);
    return Flux.from(streamClients.get(call.kind()).eventStream(request, String.class))
        .map(Event::getData)
        .timeout(silence)
        .onErrorMap(error -> failure(call, error));
  }

  @Override
  public void close() {
    clients.values().forEach(HttpClient::close);
    streamClients.values().forEach(client -> closeQuietly(client));
  }

  private DefaultHttpClient client() {
    return GuardedHttpClients.create(null, configuration(), ExchangeIdHandler::addTo);
  }

  private HttpClientConfiguration configuration() {
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setConnectTimeout(settings.connectTimeout());
    configuration.setReadTimeout(settings.readTimeout());
    configuration.setMaxContentLength(settings.maxAnswerBytes());
    configuration.setExceptionOnErrorStatus(true);
    configuration.setFollowRedirects(false);
    configuration.setNumOfThreads(settings.threads());
    HttpClientConfiguration.ConnectionPoolConfiguration pool =
        configuration.getConnectionPoolConfiguration();
    pool.setMaxConcurrentHttp1Connections(settings.connectionsPerEndpoint());
    pool.setMaxPendingAcquires(settings.connectionsPerEndpoint());
    return configuration;
  }

  private static MutableHttpRequest<byte[]> request(EndpointCall call) {
    String uri = "http://" + call.address() + call.uri();
    HttpMethod method = HttpMethod.parse(call.method());
    MutableHttpRequest<byte[]> request = HttpRequest.create(method, uri, call.method());
    if (call.body().length > 0) {
      request.body(call.body());
    }
    for (HeaderField field : call.headers()) {
      request.header(field.name(), field.value());
    }
    return request;
  }

  private static EndpointResponse toResponse(HttpResponse<byte[]> response) {
    byte[] body = response.getBody(byte[].class).orElseGet(() -> new byte[0]);
    return new EndpointResponse(response.code(), endToEndHeaders(response), body);
  }

  private static Mono<EndpointResponse> toErrorResponse(Throwable error) {
    if (!(error instanceof HttpClientResponseException failed)) {
      return Mono.error(error);
    }
    Optional<byte[]> body = failed.getResponse().getBody(byte[].class);
    List<HeaderField> headers = endToEndHeaders(failed.getResponse());
    return Mono.just(
        new EndpointResponse(failed.code(), headers, body.orElseGet(() -> new byte[0])));
  }

  private static List<HeaderField> endToEndHeaders(HttpResponse<?> response) {
    List<HeaderField> fields = new ArrayList<>();
    response
        .getHeaders()
        .forEach(
            (name, values) -> {
              if (!HOP_BY_HOP_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
                values.forEach(value -> fields.add(new HeaderField(name, value)));
              }
            });
    return fields;
  }

  private static EndpointCallException failure(EndpointCall call, Throwable error) {
    if (error instanceof EndpointCallException known) {
      return known;
    }
    EndpointFault fault = fault(error);
    logIfBroken(call, error);
    return new EndpointCallException(
        fault, call.method() + " " + call.address() + call.uri() + " failed: " + fault, error);
  }

  /** Logs why a response is broken, with the id of its request. */
  private static void logIfBroken(EndpointCall call, Throwable error) {
    for (Throwable cause = error; cause != null; cause = cause.getCause()) {
      if (cause instanceof BrokenResponseException broken) {
        LOG.log(
            System.Logger.Level.WARNING,
            "endpoints: broken response of {0} to {1} {2}, request {3}: {4}",
            call.address(),
            call.method(),
            call.uri(),
            call.requestId().orElse("without id"),
            broken.getMessage());
        return;
      }
    }
  }

  private static EndpointFault fault(Throwable error) {
    if (error instanceof HttpClientResponseException errorResponse) {
      boolean declined =
          errorResponse.code() == SERVICE_UNAVAILABLE || errorResponse.code() == TOO_MANY_REQUESTS;
      return declined ? EndpointFault.DECLINED : EndpointFault.UNREADABLE;
    }
    if (error instanceof ContentLengthExceededException) {
      return EndpointFault.UNREADABLE;
    }
    if (error instanceof TimeoutException || error instanceof ReadTimeoutException) {
      return EndpointFault.TIMED_OUT;
    }
    return neverConnected(error) ? EndpointFault.NOT_SENT : EndpointFault.BROKEN;
  }

  /**
   * Returns whether a failure proves that no connection was opened.
   *
   * <p>Only the causes listed here prove that no byte was sent. After any other failure the
   * endpoint may have executed the request. If such a failure were reported as not sent, a request
   * that must run at most once would be retried.
   */
  private static boolean neverConnected(@Nullable Throwable error) {
    for (Throwable cause = error; cause != null; cause = cause.getCause()) {
      if (cause instanceof ConnectException
          || cause instanceof ConnectTimeoutException
          || cause instanceof NoRouteToHostException) {
        return true;
      }
    }
    return false;
  }

  private static void closeQuietly(SseClient client) {
    if (client instanceof HttpClient closeable) {
      closeable.close();
    }
  }
}
