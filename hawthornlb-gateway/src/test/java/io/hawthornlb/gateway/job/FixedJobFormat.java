package io.hawthornlb.gateway.job;

import io.hawthornlb.gateway.front.FrontRequest;
import java.util.List;
import java.util.Optional;

/** Format that parses every request as the same call. */
record FixedJobFormat(JobCall next) implements JobFormat {

  @Override
  public Optional<JobCall> call(FrontRequest request) {
    return Optional.of(next);
  }

  @Override
  public Optional<String> namedJob(FrontRequest request) {
    return Optional.of(next.jobId());
  }

  @Override
  public FrontRequest existenceCheck(FrontRequest submission) {
    return submission;
  }

  @Override
  public byte[] results(int total, int after, List<JobResult> results) {
    return (results.size() + " of " + total + " from " + after).getBytes();
  }

  @Override
  public String resultsType() {
    return "text/plain";
  }
}
