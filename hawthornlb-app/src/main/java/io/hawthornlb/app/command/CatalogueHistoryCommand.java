package io.hawthornlb.app.command;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.micronaut.http.HttpRequest;
import java.util.Map;

/** Lists the edits of the catalogue that are still retained. */
@Parameters(
    commandNames = "history",
    commandDescription = "List the edits of the catalogue that are still retained")
final class CatalogueHistoryCommand extends AbstractEntryCommand {

  CatalogueHistoryCommand(Map<String, String> environment) {
    super(environment);
  }

  @Override
  protected void run(EntryClient client, Output output) {
    JsonNode document = client.exchange(HttpRequest.GET("/v1/catalogue/history")).json();
    if (wantsJson()) {
      output.json(document);
      return;
    }
    for (JsonNode edit : document.path("edits")) {
      output.line(
          "%d  %s  %s"
              .formatted(
                  edit.path("revision").asLong(),
                  edit.path("at").asText("-"),
                  edit.path("author").asText("-")));
    }
  }
}
