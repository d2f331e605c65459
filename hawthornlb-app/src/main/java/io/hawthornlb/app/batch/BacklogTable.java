package io.hawthornlb.app.batch;

import io.hawthornlb.core.job.ServiceBacklog;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** The backlogs that partition holders reported last. Used on the decision loop. */
final class BacklogTable {

  private static final Duration REPORT_TTL = Duration.ofSeconds(3);
  private static final int URGENT_ONE_IN = 2;

  private record Report(BacklogNotice notice, Instant at) {}

  /** A partition that has items of a service, with its holder and its earliest due time. */
  record Source(InstanceId holder, PartitionId partition, Instant due) {}

  private final Map<PartitionId, Report> reports = new HashMap<>();
  private final RandomGenerator random;

  BacklogTable(RandomGenerator random) {
    this.random = random;
  }

  void onNotice(BacklogNotice notice, Instant now) {
    reports.put(notice.partition(), new Report(notice, now));
  }

  /** Removes the backlog of a partition until its holder reports one again. */
  void remove(PartitionId partition) {
    reports.remove(partition);
  }

  /**
   * Chooses the holder to request items of a service from.
   *
   * <p>One half of the choices goes to the partition with the earliest due time. The other half
   * goes to a random partition, so that a partition whose jobs are due late is not starved. Reports
   * older than 3 s are ignored.
   */
  Optional<Source> next(ServiceName service, Instant now) {
    reports.values().removeIf(entry -> entry.at().plus(REPORT_TTL).isBefore(now));
    List<Source> sources =
        reports.values().stream()
            .flatMap(entry -> source(entry.notice(), service).stream())
            .toList();
    if (sources.isEmpty()) {
      return Optional.empty();
    }
    if (random.nextInt(URGENT_ONE_IN) == 0) {
      return sources.stream().min(java.util.Comparator.comparing(Source::due));
    }
    return Optional.of(sources.get(random.nextInt(sources.size())));
  }

  private static Optional<Source> source(BacklogNotice notice, ServiceName service) {
    return notice.backlog().stream()
        .filter(entry -> entry.service().equals(service) && entry.items() > 0)
        .findFirst()
        .map(
            (ServiceBacklog entry) ->
                new Source(notice.holder(), notice.partition(), entry.earliestDue()));
  }
}
