package io.hawthornlb.app.command;

import com.beust.jcommander.Parameters;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.uri.UriBuilder;
import java.util.Map;
import java.util.Optional;

/** Prints the results that a job has so far, and fetches all pages. */
@Parameters(
    commandNames = "results",
    commandDescription = "Write the results that a job has so far, one JSON object a line")
final class JobResultsCommand extends AbstractJobCommand {

  JobResultsCommand(Map<String, String> environment) {
    super(environment);
  }

  @Override
  protected void run(EntryClient client, Output output) {
    String base = path() + "/results";
    Optional<String> cursor = writePage(client, base, output);
    while (cursor.isPresent()) {
      String next = UriBuilder.of(base).queryParam("cursor", cursor.get()).build().toString();
      cursor = writePage(client, next, output);
    }
  }

  private static Optional<String> writePage(EntryClient client, String page, Output output) {
    EntryResponse response = client.exchange(HttpRequest.GET(page));
    output.text(response.text());
    return response.nextCursor();
  }
}
