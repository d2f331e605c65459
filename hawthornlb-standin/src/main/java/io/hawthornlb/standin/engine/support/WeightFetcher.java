package io.hawthornlb.standin.engine.support;

import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Downloads model weights from the platform and retries until it succeeds or is closed. */
final class WeightFetcher implements AutoCloseable {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final long RETRY_MILLIS = 1_000;
  private static final int OK = 200;

  private final String platform;
  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private volatile boolean closed;

  /** Creates a fetcher. If {@code platform} is blank, fetches complete at once. */
  WeightFetcher(String platform) {
    this.platform = platform;
  }

  /**
   * Returns a future that completes when the weights have arrived. The future never completes if
   * the fetcher is closed before.
   */
  CompletableFuture<Void> fetch(String model, String version) {
    CompletableFuture<Void> done = new CompletableFuture<>();
    if (platform.isBlank()) {
      done.complete(null);
    } else {
      attempt(request(model, version), done);
    }
    return done;
  }

  @Override
  public void close() {
    closed = true;
  }

  private void attempt(HttpRequest request, CompletableFuture<Void> done) {
    if (closed) {
      return;
    }
    client
        .sendAsync(request, BodyHandlers.discarding())
        .whenComplete(
            (response, failure) -> {
              if (failure == null && response.statusCode() == OK) {
                done.complete(null);
              } else {
                Executor later =
                    CompletableFuture.delayedExecutor(
                        retryMillis(failure == null ? response : null), TimeUnit.MILLISECONDS);
                later.execute(() -> attempt(request, done));
              }
            });
  }

  private HttpRequest request(String model, String version) {
    URI uri =
        URI.create(
            "http://" + platform + "/weights/" + encode(model) + "?version=" + encode(version));
    return HttpRequest.newBuilder(uri).timeout(TIMEOUT).build();
  }

  private static long retryMillis(@Nullable HttpResponse<Void> answer) {
    if (answer == null) {
      return RETRY_MILLIS;
    }
    return answer.headers().firstValueAsLong("Retry-After").stream()
        .map(TimeUnit.SECONDS::toMillis)
        .findFirst()
        .orElse(RETRY_MILLIS);
  }

  private static String encode(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }
}
