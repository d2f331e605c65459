package io.hawthornlb.app.command;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.micronaut.http.HttpRequest;
import java.util.Map;

/** Cancels a job. */
@Parameters(
    commandNames = "cancel",
    commandDescription = "Cancel a job; results that it has stay readable")
final class JobCancelCommand extends AbstractJobCommand {

  JobCancelCommand(Map<String, String> environment) {
    super(environment);
  }

  @Override
  protected void run(EntryClient client, Output output) {
    JsonNode response = client.exchange(HttpRequest.POST(path() + "/cancel", "")).json();
    if (wantsJson()) {
      output.json(response);
    } else {
      output.line(response.path("id").asText() + " " + response.path("status").asText("cancelled"));
    }
  }
}
