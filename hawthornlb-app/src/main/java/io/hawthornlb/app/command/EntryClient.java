package io.hawthornlb.app.command;

import io.hawthornlb.net.http.GuardedHttpClients;
import io.hawthornlb.net.http.PipelineExtension;
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

/** HTTP client by which commands call one entry instance, with the key of an operator or caller. */
final class EntryClient implements AutoCloseable {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(60);
  private static final int MAX_RESPONSE_BYTES = 256 << 20;
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
    configuration.setMaxContentLength(MAX_RESPONSE_BYTES);
    configuration.setExceptionOnErrorStatus(false);
    configuration.setNumOfThreads(1);
    try {
      // Fails for an address that is no URL, unlike the client's constructor.
      entry.toURL();
      this.client = GuardedHttpClients.create(entry, configuration, PipelineExtension.NONE);
    } catch (MalformedURLException | IllegalArgumentException e) {
      throw CommandFailedException.usageError(
          "--entry " + entry + " is not a URL; use one such as http://127.0.0.1:8080");
    }
  }

  /**
   * Sends a request and returns the response of the entry.
   *
   * @throws CommandFailedException if no response arrives or the entry refuses the request
   */
  EntryResponse exchange(MutableHttpRequest<?> request) {
    key.ifPresent(request::bearerAuth);
    EntryResponse response = EntryResponse.of(send(request));
    if (response.isRefusal()) {
      throw ProblemReader.read(response);
    }
    return response;
  }

  private HttpResponse<byte[]> send(MutableHttpRequest<?> request) {
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
