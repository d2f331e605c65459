package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Base of commands on one job. */
abstract class AbstractJobCommand extends AbstractEntryCommand {

  @Parameter(description = "JOB", required = true)
  private List<String> jobs = new ArrayList<>();

  AbstractJobCommand(Map<String, String> environment) {
    super(environment);
  }

  /** Returns the HTTP path of the job. */
  protected String path() {
    if (jobs.size() != 1) {
      throw CommandFailedException.usageError("name one job");
    }
    return "/v1/jobs/" + URLEncoder.encode(jobs.get(0), StandardCharsets.UTF_8);
  }
}
