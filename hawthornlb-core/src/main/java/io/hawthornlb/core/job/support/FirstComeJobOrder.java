package io.hawthornlb.core.job.support;

import io.hawthornlb.core.job.JobCandidate;
import io.hawthornlb.core.job.JobOrder;
import java.time.Instant;
import java.util.List;

/** Takes jobs in the order of their acceptance; the baseline of measurements. */
public final class FirstComeJobOrder implements JobOrder {

  @Override
  public JobCandidate next(List<JobCandidate> candidates, Instant now) {
    return candidates.get(0);
  }
}
