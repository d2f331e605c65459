package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpRequest;
import io.micronaut.http.MutableHttpRequest;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Replaces the catalogue in force by an edited one, unless it has changed in between. */
@Parameters(
    commandNames = "put",
    commandDescription =
        "Put a catalogue in force, unless somebody changed it since the revision it rests on")
final class CataloguePutCommand extends AbstractCatalogueFileCommand {

  private static final String AUTHOR_HEADER = "X-Author";
  private static final String USER_VARIABLE = "USER";

  private final Map<String, String> environment;

  @Parameter(
      names = "--revision",
      description = "The revision that the edit rests on; by default the one that show wrote")
  private @Nullable Long revision;

  @Parameter(names = "--author", description = "Who makes the edit; by default the user")
  private @Nullable String author;

  CataloguePutCommand(Map<String, String> environment) {
    super(environment);
    this.environment = environment;
  }

  @Override
  protected void run(EntryClient client, Output output) {
    String yaml = checkedText();
    MutableHttpRequest<String> request =
        HttpRequest.PUT("/v1/catalogue", yaml)
            .contentType(YAML)
            .header(HttpHeaders.IF_MATCH, Long.toString(baseRevision(yaml)))
            .header(AUTHOR_HEADER, authorName());
    JsonNode response = client.exchange(request).json();
    if (wantsJson()) {
      output.json(response);
    } else {
      output.line("in force as revision " + response.path("revision").asLong());
    }
  }

  private long baseRevision(String yaml) {
    if (revision != null) {
      return revision;
    }
    return RevisionLine.find(yaml)
        .orElseThrow(
            () ->
                CommandFailedException.usageError(
                    "give --revision, or edit the output of catalogue show, which names it"));
  }

  private String authorName() {
    return author == null ? environment.getOrDefault(USER_VARIABLE, "unknown") : author;
  }
}
