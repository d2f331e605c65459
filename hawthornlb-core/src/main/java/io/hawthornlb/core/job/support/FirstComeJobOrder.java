package io.hawthornlb.core.job.support;

import io.hawthornlb.core.job.JobCandidate;
import io.hawthornlb.core.job.JobOrder;
import java.time.Instant;
import java.util.List;

/**
 * First-come, first-served order by acceptance; the baseline that benchmarks and tests compare
 * with.
 */
public final class FirstComeJobOrder implements JobOrder {

  @Override
  public JobCandidate next(List<JobCandidate> candidates, Instant now) {
    return candidates.get(0);
  }
}
