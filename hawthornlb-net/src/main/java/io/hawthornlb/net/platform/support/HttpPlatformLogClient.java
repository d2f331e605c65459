package io.hawthornlb.net.platform.support;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.util.Checks;
import io.hawthornlb.net.platform.LogClient;
import io.hawthornlb.net.platform.LogPage;
import io.hawthornlb.net.platform.LogUnavailableException;
import io.hawthornlb.net.platform.OffsetExpiredException;
import io.hawthornlb.net.platform.StoredRecord;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.HttpResponse;
import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * HTTP client of the platform's log, with one connection pool for appends and one for long polls.
 */
public final class HttpPlatformLogClient implements LogClient, AutoCloseable {

  private static final Duration DEFAULT_RETRY = Duration.ofMillis(200);
  private static final int STATUS_OK = 200;
  private static final int STATUS_GONE = 410;

  private final PlatformTimeouts timeouts;
  private final PlatformHttp appends;
  private final PlatformHttp reads;

  /** Creates a client with the default timeouts. */
  public HttpPlatformLogClient(URI platform) {
    this(platform, PlatformTimeouts.DEFAULT);
  }

  /** Creates a client. */
  public HttpPlatformLogClient(URI platform, PlatformTimeouts timeouts) {
    this.timeouts = timeouts;
    this.appends = new PlatformHttp(platform, timeouts.connect(), timeouts.call());
    Duration longest = timeouts.withWait(timeouts.longestWait());
    this.reads = new PlatformHttp(platform, timeouts.connect(), longest);
  }

  @Override
  public CompletionStage<Long> append(StreamName stream, List<byte[]> records) {
    Checks.notEmpty(records, "records");
    ObjectNode body = PlatformHttp.MAPPER.createObjectNode();
    ArrayNode array = body.putArray("records");
    records.forEach(array::add);
    HttpRequest<String> request =
        PlatformHttp.withJson(HttpRequest.POST("/log/" + stream + "/records", ""), body);
    return appends
        .exchange(request, timeouts.call())
        .handle(
            (response, failure) ->
                parseResponse(response, failure, json -> json.required("firstOffset").asLong()));
  }

  @Override
  public CompletionStage<LogPage> read(StreamName stream, long from, int max, Duration wait) {
    Checks.notNegative(from, "offset");
    Checks.isTrue(max > 0, "max must be positive");
    Checks.isTrue(
        wait.compareTo(timeouts.longestWait()) <= 0, "wait must not exceed the longest wait");
    String path =
        "/log/%s/records?from=%d&max=%d&waitMillis=%d"
            .formatted(stream, from, max, wait.toMillis());
    return reads
        .exchange(HttpRequest.GET(path), timeouts.withWait(wait))
        .handle(
            (response, failure) -> parseResponse(response, failure, HttpPlatformLogClient::page));
  }

  @Override
  public void close() {
    appends.close();
    reads.close();
  }

  private static <T> T parseResponse(
      @Nullable HttpResponse<byte[]> response,
      @Nullable Throwable failure,
      Function<JsonNode, T> reader) {
    if (response == null) {
      throw new LogUnavailableException("the log did not respond", DEFAULT_RETRY, cause(failure));
    }
    if (response.code() == STATUS_GONE) {
      throw new OffsetExpiredException(PlatformHttp.json(response).path("firstOffset").asLong());
    }
    if (response.code() != STATUS_OK) {
      String message = "the log responded with status " + response.code();
      throw new LogUnavailableException(message, retryAfter(response), null);
    }
    try {
      return reader.apply(PlatformHttp.json(response));
    } catch (RuntimeException e) {
      throw new LogUnavailableException("the log's response is malformed", DEFAULT_RETRY, e);
    }
  }

  private static @Nullable Throwable cause(@Nullable Throwable failure) {
    return failure instanceof CompletionException ? failure.getCause() : failure;
  }

  private static Duration retryAfter(HttpResponse<?> response) {
    return response
        .getHeaders()
        .findFirst("Retry-After")
        .filter(text -> text.matches("\\d{1,6}"))
        .map(text -> Duration.ofSeconds(Long.parseLong(text)))
        .orElse(DEFAULT_RETRY);
  }

  private static LogPage page(JsonNode json) {
    List<StoredRecord> records = new ArrayList<>();
    for (JsonNode item : json.path("records")) {
      records.add(record(item));
    }
    return new LogPage(
        records, json.required("nextOffset").asLong(), json.path("firstOffset").asLong());
  }

  private static StoredRecord record(JsonNode item) {
    Instant appendedAt = Instant.parse(item.required("appendedAt").asText());
    byte[] data = Base64.getDecoder().decode(item.required("data").asText());
    return new StoredRecord(item.required("offset").asLong(), appendedAt, data);
  }
}
