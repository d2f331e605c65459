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

/** Sends requests through the balancer, which passes over entries that refuse the connection. */
public final class HttpCaller {

  private static final Duration CONNECT_LIMIT = Duration.ofSeconds(2);

  private final HttpClient client;
  private final EntryBalancer balancer;

  /** Reads answers on the threads of {@code executor}. */
  public HttpCaller(EntryBalancer balancer, Executor executor) {
    this.balancer = balancer;
    this.client =
        HttpClient.newBuilder()
            .version(Version.HTTP_1_1)
            .connectTimeout(CONNECT_LIMIT)
            .executor(executor)
            .build();
  }

  /**
   * A request to any entry.
   *
   * @param headers names and values in turn
   */
  public record Call(
      String method, String path, List<String> headers, BodyPublisher body, Duration limit) {

    /** Returns the same call with a further header. */
    public Call with(String name, String value) {
      List<String> more = new ArrayList<>(headers);
      more.add(name);
      more.add(value);
      return new Call(method, path, List.copyOf(more), body, limit);
    }
  }

  /** Sends a call to the next entry that can be connected to. */
  public <T> CompletableFuture<HttpResponse<T>> send(Call call, BodyHandler<T> reader) {
    // The client's own limit ends with the head of an answer; a body may go silent after it.
    return send(call, reader, balancer.next())
        .orTimeout(call.limit().toMillis(), TimeUnit.MILLISECONDS);
  }

  private <T> CompletableFuture<HttpResponse<T>> send(
      Call call, BodyHandler<T> reader, List<String> entries) {
    CompletableFuture<HttpResponse<T>> sent =
        client.sendAsync(request(call, entries.get(0)), reader);
    return sent.handle(
            (response, failure) -> {
              boolean next = failure != null && entries.size() > 1 && unreachable(failure);
              CompletionStage<HttpResponse<T>> result =
                  next ? send(call, reader, entries.subList(1, entries.size())) : sent;
              return result;
            })
        .thenCompose(result -> result);
  }

  /** Returns whether a failure means that the entry has seen nothing of the request. */
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
