package io.hawthornlb.standin.platform.support;

import io.hawthornlb.standin.platform.PlatformStandin;
import io.hawthornlb.standin.platform.RecordLog;
import io.hawthornlb.standin.support.StandinServer;
import io.hawthornlb.standin.support.WireJson;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Body;
import io.micronaut.http.annotation.Consumes;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;
import io.micronaut.http.annotation.PathVariable;
import io.micronaut.http.annotation.Post;
import io.micronaut.http.annotation.QueryValue;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;

/** Serves the record log over HTTP. */
@Controller("/log")
@Requires(property = StandinServer.ROLE_PROPERTY, value = PlatformStandin.ROLE)
final class LogController {

  private static final int MAX_PAGE_SIZE = 5_000;
  private static final long MAX_WAIT_MILLIS = 30_000;

  private final RecordLog log;
  private final AppendLimit limit;
  private final AppendWaiters waiters;

  LogController(RecordLog log, AppendLimit limit, AppendWaiters waiters) {
    this.log = log;
    this.limit = limit;
    this.waiters = waiters;
  }

  /** The body of an append request: records in base64. */
  record AppendBody(@Nullable List<String> records) {}

  /** The response to an append: the offset of the first record and the number of records. */
  record Appended(long firstOffset, int count) {}

  /** A record in a read response, with its data in base64. */
  record ReadRecord(long offset, String appendedAt, String data) {}

  /** The response to a read: records, and the offset to continue reading from. */
  record ReadPage(List<ReadRecord> records, long nextOffset, long firstOffset) {}

  /** The response to a read of an expired offset: the lowest offset that is still kept. */
  record Expired(long firstOffset) {}

  @Post("/{stream}/records")
  @Consumes(MediaType.ALL)
  HttpResponse<byte[]> append(@PathVariable String stream, @Body byte[] body) {
    AppendBody request = WireJson.read(body, AppendBody.class);
    List<byte[]> records = decode(request.records());
    if (records.isEmpty()) {
      return WireJson.error(HttpStatus.BAD_REQUEST, "records must hold base64 texts");
    }
    Duration wait = limit.bucket().tryTake();
    if (!wait.isZero()) {
      return tooMany(wait);
    }
    long first = log.append(stream, records);
    waiters.notifyAppended(stream);
    return WireJson.ok(new Appended(first, records.size()));
  }

  @Get("/{stream}/records")
  CompletableFuture<HttpResponse<byte[]>> read(
      @PathVariable String stream,
      @QueryValue(defaultValue = "0") long from,
      @QueryValue(defaultValue = "500") int max,
      @QueryValue(defaultValue = "0") long waitMillis) {
    int bounded = Math.max(1, Math.min(max, MAX_PAGE_SIZE));
    CompletableFuture<Void> appended = waiters.nextAppend(stream);
    RecordLog.Page page = log.read(stream, from, bounded);
    if (!page.records().isEmpty() || page.expired() || waitMillis <= 0) {
      return CompletableFuture.completedFuture(answer(page));
    }
    long wait = Math.min(waitMillis, MAX_WAIT_MILLIS);
    return waiters
        .withTimeout(appended, Duration.ofMillis(wait))
        .thenApply(unused -> answer(log.read(stream, from, bounded)));
  }

  private static List<byte[]> decode(@Nullable List<String> records) {
    List<byte[]> decoded = new ArrayList<>();
    if (records == null) {
      return decoded;
    }
    try {
      records.forEach(text -> decoded.add(Base64.getDecoder().decode(text)));
    } catch (IllegalArgumentException e) {
      return List.of();
    }
    return decoded;
  }

  private static HttpResponse<byte[]> answer(RecordLog.Page page) {
    if (page.expired()) {
      return WireJson.answer(HttpStatus.GONE, new Expired(page.firstOffset()));
    }
    List<ReadRecord> records = page.records().stream().map(LogController::wire).toList();
    return WireJson.ok(new ReadPage(records, page.nextOffset(), page.firstOffset()));
  }

  private static ReadRecord wire(RecordLog.Stored stored) {
    return new ReadRecord(
        stored.offset(),
        stored.appendedAt().toString(),
        Base64.getEncoder().encodeToString(stored.data()));
  }

  static HttpResponse<byte[]> tooMany(Duration wait) {
    String seconds = Long.toString(Math.max(1, (wait.toMillis() + 999) / 1_000));
    return WireJson.error(HttpStatus.TOO_MANY_REQUESTS, "over the rate")
        .header("Retry-After", seconds);
  }
}
