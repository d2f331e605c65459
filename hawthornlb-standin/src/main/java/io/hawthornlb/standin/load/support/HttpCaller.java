package io.hawthornlb.standin.load.support;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpClient.Version;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublisher;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;

/**
 * Sends HTTP requests to the entry instances in turn.
 *
 * <p>If an entry instance can't be connected to, the request goes to the next entry instance, until
 * each has been tried once.
 */
public final class HttpCaller {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private final HttpClient client;
  private final EntryBalancer balancer;

  /** Creates a caller that reads answers on the threads of {@code executor}. */
  public HttpCaller(EntryBalancer balancer, Executor executor) {
    this.balancer = balancer;
    this.client =
        HttpClient.newBuilder()
            .version(Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .executor(executor)
            .build();
  }

  /**
   * A request that any entry instance can handle.
   *
   * @param headers header names and values, alternating
   * @param limit the timeout, which includes reading the whole answer
   */
  public record Call(
      String method, String path, List<String> headers, BodyPublisher body, Duration limit) {

    /** Returns this call with an additional header. */
    public Call with(String name, String value) {
      List<String> extended = new ArrayList<>(headers);
      extended.add(name);
      extended.add(value);
      return new Call(method, path, List.copyOf(extended), body, limit);
    }
  }

  /** Sends a call to the next entry instance that accepts a connection. */
  public <T> CompletableFuture<HttpResponse<T>> send(Call call, BodyHandler<T> reader) {
    // The timeout of the HTTP client ends when the response headers arrive. This timeout also
    // covers a response body that stalls afterwards.
    return send(call, reader, balancer.next())
        .orTimeout(call.limit().toMillis(), TimeUnit.MILLISECONDS);
  }

  private <T> CompletableFuture<HttpResponse<T>> send(
      Call call, BodyHandler<T> reader, List<String> entries) {
    CompletableFuture<HttpResponse<T>> sent =
        client.sendAsync(request(call, entries.get(0)), reader);
    return sent.handle(
            (response, failure) -> {
              boolean tryNext = failure != null && entries.size() > 1 && unreachable(failure);
              CompletionStage<HttpResponse<T>> result =
                  tryNext ? send(call, reader, entries.subList(1, entries.size())) : sent;
              return result;
            })
        .thenCompose(result -> result);
  }

  /** Returns whether a failure implies that the entry instance received nothing of the request. */
  public static boolean unreachable(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    return cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException;
  }

  private static HttpRequest request(Call call, String entry) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + entry + call.path()))
            .timeout(call.limit())
            .method(call.method(), call.body());
    if (!call.headers().isEmpty()) {
      request.headers(call.headers().toArray(String[]::new));
    }
    return request.build();
  }
}
