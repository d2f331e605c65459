package io.hawthornlb.app.command;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.micronaut.http.HttpRequest;
import java.util.Map;

/** Prints the state of a job and the counts of its items. */
@Parameters(commandNames = "status", commandDescription = "Show where a job stands")
final class JobStatusCommand extends AbstractJobCommand {

  JobStatusCommand(Map<String, String> environment) {
    super(environment);
  }

  @Override
  protected void run(EntryClient client, Output output) {
    JsonNode status = client.exchange(HttpRequest.GET(path())).json();
    if (wantsJson()) {
      output.json(status);
      return;
    }
    output.line(
        "%s %s: %d of %d items completed, %d failed, due %s"
            .formatted(
                status.path("id").asText(),
                status.path("status").asText(),
                status.path("counts").path("completed").asInt(),
                status.path("counts").path("total").asInt(),
                status.path("counts").path("failed").asInt(),
                status.path("due").asText()));
  }
}
