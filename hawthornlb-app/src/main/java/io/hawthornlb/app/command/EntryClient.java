package io.hawthornlb.app.command;

import io.micronaut.core.type.Argument;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpRequest;
import io.micronaut.http.client.DefaultHttpClientConfiguration;
import io.micronaut.http.client.HttpClient;
import io.micronaut.http.client.exceptions.HttpClientException;
import java.net.MalformedURLException;
import java.net.URI;
import java.time.Duration;
import java.util.Optional;

/** Calls one entry as an operator or a caller. */
final class EntryClient implements AutoCloseable {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(60);
  private static final int MAX_ANSWER_BYTES = 256 << 20;
  private static final Argument<byte[]> BYTES = Argument.of(byte[].class);

  private final URI entry;
  private final Optional<String> key;
  private final HttpClient client;

  EntryClient(URI entry, Optional<String> key) {
    this.entry = entry;
    this.key = key;
    DefaultHttpClientConfiguration configuration = new DefaultHttpClientConfiguration();
    configuration.setConnectTimeout(CONNECT_TIMEOUT);
    configuration.setReadTimeout(READ_TIMEOUT);
    configuration.setMaxContentLength(MAX_ANSWER_BYTES);
    configuration.setExceptionOnErrorStatus(false);
    configuration.setNumOfThreads(1);
    try {
      this.client = HttpClient.create(entry.toURL(), configuration);
    } catch (MalformedURLException | IllegalArgumentException e) {
      throw CommandFailedException.wrongCall(
          "--entry " + entry + " is no URL; give one such as http://127.0.0.1:8080");
    }
  }

  /**
   * Returns the answer of the entry.
   *
   * @throws CommandFailedException if there is none, or it is a refusal
   */
  EntryAnswer exchange(MutableHttpRequest<?> request) {
    key.ifPresent(request::bearerAuth);
    EntryAnswer answer = EntryAnswer.of(answer(request));
    if (answer.isRefusal()) {
      throw ProblemReader.read(answer);
    }
    return answer;
  }

  private HttpResponse<byte[]> answer(MutableHttpRequest<?> request) {
    try {
      return client.toBlocking().exchange(request, BYTES, BYTES);
    } catch (HttpClientException e) {
      throw CommandFailedException.failed(
          "no answer from " + entry + ": " + e.getMessage() + "; try another entry");
    }
  }

  @Override
  public void close() {
    client.close();
  }
}
