package io.hawthornlb.standin.load.support;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.load.JobFlow;
import io.hawthornlb.standin.load.support.HttpCaller.Call;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletionException;

/**
 * Client of the HTTP interface for jobs. Results are empty if a request isn't answered as expected.
 */
final class JobCalls {

  private static final Duration TIMEOUT = Duration.ofSeconds(10);
  private static final int OK = 200;
  private static final int ACCEPTED = 202;
  private static final int NOT_FOUND = 404;
  private static final int PAGE_SIZE = 1_000;

  private final HttpCaller caller;
  private final JobFlow flow;
  private boolean disowned;

  /** The status of a job and its numbers of ended items. */
  record Status(String status, int completed, int failed) {

    boolean ended() {
      return status.equals("completed") || status.equals("cancelled");
    }
  }

  /** A page of results and the cursor of the next page, if there is one. */
  record Page(String lines, Optional<String> next) {}

  JobCalls(HttpCaller caller, JobFlow flow) {
    this.caller = caller;
    this.flow = flow;
  }

  /** Returns whether a read or a cancellation of a job was answered with 404. */
  boolean disowned() {
    return disowned;
  }

  /** Submits a job and returns its id; empty if the job was not accepted. */
  Optional<String> submit(String key, String lines, Optional<Instant> due) {
    Call call = call("POST", "/v1/jobs", lines).with("Idempotency-Key", key);
    Call dated = due.map(at -> call.with("Due", at.toString())).orElse(call);
    return answer(dated, ACCEPTED).map(answer -> json(answer).path("id").asText(""));
  }

  Optional<Status> status(String id) {
    return answer(call("GET", "/v1/jobs/" + id, ""), OK)
        .map(
            answer -> {
              JsonNode body = json(answer);
              JsonNode counts = body.path("counts");
              return new Status(
                  body.path("status").asText(""),
                  counts.path("completed").asInt(),
                  counts.path("failed").asInt());
            });
  }

  Optional<Page> results(String id, Optional<String> cursor) {
    String from = cursor.map(at -> "&cursor=" + at).orElse("");
    String path = "/v1/jobs/" + id + "/results?limit=" + PAGE_SIZE + from;
    return answer(call("GET", path, ""), OK)
        .map(answer -> new Page(answer.body(), answer.headers().firstValue("Next-Cursor")));
  }

  /** Cancels a job and returns whether an entry instance accepted the cancellation. */
  boolean cancel(String id) {
    return send(call("POST", "/v1/jobs/" + id + "/cancel", ""))
        .filter(answer -> answer.statusCode() < Refusals.CLIENT_ERROR)
        .isPresent();
  }

  private Optional<HttpResponse<String>> answer(Call call, int status) {
    return send(call).filter(answer -> answer.statusCode() == status);
  }

  private Optional<HttpResponse<String>> send(Call call) {
    try {
      HttpResponse<String> answer = caller.send(call, BodyHandlers.ofString()).join();
      disowned |= answer.statusCode() == NOT_FOUND;
      return Optional.of(answer);
    } catch (CompletionException e) {
      return Optional.empty();
    }
  }

  private Call call(String method, String path, String body) {
    return new Call(method, path, Headers.of(flow.key()), BodyPublishers.ofString(body), TIMEOUT);
  }

  private static JsonNode json(HttpResponse<String> answer) {
    try {
      return WireJson.mapper().readTree(answer.body());
    } catch (IOException e) {
      return WireJson.mapper().missingNode();
    }
  }
}
