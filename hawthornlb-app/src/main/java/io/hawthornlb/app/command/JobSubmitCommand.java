package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MutableHttpRequest;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Submits a file of items as a batch job. */
@Parameters(
    commandNames = "submit",
    commandDescription = "Submit a file of items, one JSON object a line, as a job")
final class JobSubmitCommand extends AbstractEntryCommand {

  private static final String NDJSON = "application/x-ndjson";
  private static final String KEY_HEADER = "Idempotency-Key";
  private static final String DUE_HEADER = "Due";

  @Parameter(description = "FILE", required = true)
  private List<String> files = new ArrayList<>();

  @Parameter(
      names = "--idempotency-key",
      required = true,
      description = "Names the job: submitting it again with the same key gives the same job")
  private @Nullable String idempotencyKey;

  @Parameter(
      names = "--due",
      required = true,
      description = "When the results are needed, such as 2026-12-02T18:00:00Z")
  private @Nullable String due;

  JobSubmitCommand(Map<String, String> environment) {
    super(environment);
  }

  @Override
  protected void run(EntryClient client, Output output) {
    if (files.size() != 1) {
      throw CommandFailedException.usageError("name one file of items");
    }
    String items = readText(Path.of(files.get(0)));
    MutableHttpRequest<String> request =
        HttpRequest.POST("/v1/jobs", items)
            .contentType(NDJSON)
            .header(KEY_HEADER, idempotencyKey)
            .header(DUE_HEADER, dueTime().toString());
    JsonNode response = client.exchange(request).json();
    if (wantsJson()) {
      output.json(response);
    } else {
      output.line("accepted as job " + response.path("id").asText());
    }
  }

  private Instant dueTime() {
    try {
      return Instant.parse(due);
    } catch (DateTimeParseException e) {
      throw CommandFailedException.usageError(
          "--due " + due + " is not a time; use a form such as 2026-12-02T18:00:00Z");
    }
  }
}
