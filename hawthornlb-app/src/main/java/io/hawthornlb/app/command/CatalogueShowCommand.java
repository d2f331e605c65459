package io.hawthornlb.app.command;

import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.micronaut.http.HttpRequest;
import java.util.Map;

/** Prints the catalogue in force, with its revision in a comment. */
@Parameters(
    commandNames = "show",
    commandDescription = "Show the catalogue in force, ready to be edited and put back")
final class CatalogueShowCommand extends AbstractEntryCommand {

  CatalogueShowCommand(Map<String, String> environment) {
    super(environment);
  }

  @Override
  protected void run(EntryClient client, Output output) {
    JsonNode document = client.exchange(HttpRequest.GET("/v1/catalogue")).json();
    if (wantsJson()) {
      output.json(document);
    } else {
      output.line(RevisionLine.of(document.path("revision").asLong()));
      output.text(document.path("yaml").asText());
    }
  }
}
