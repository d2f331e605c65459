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

/** What holders said about their backlogs; used on the loop. */
final class BacklogBoard {

  private static final Duration FORGET_AFTER = Duration.ofSeconds(3);
  private static final int URGENT_OUT_OF = 2;

  private record Known(BacklogNotice notice, Instant at) {}

  /** One holder with items of a service. */
  record Source(InstanceId holder, PartitionId partition, Instant due) {}

  private final Map<PartitionId, Known> known = new HashMap<>();
  private final RandomGenerator random;

  BacklogBoard(RandomGenerator random) {
    this.random = random;
  }

  void note(BacklogNotice notice, Instant now) {
    known.put(notice.partition(), new Known(notice, now));
  }

  /** Forgets that a partition has items of a service, until it says so again. */
  void empty(PartitionId partition) {
    known.remove(partition);
  }

  /**
   * Returns a holder to ask for items of a service.
   *
   * <p>Half of the time it is the one with the earliest due time, else any of them, so that a
   * partition whose jobs are due late is not starved.
   */
  Optional<Source> next(ServiceName service, Instant now) {
    known.values().removeIf(entry -> entry.at().plus(FORGET_AFTER).isBefore(now));
    List<Source> sources =
        known.values().stream().flatMap(entry -> source(entry.notice(), service).stream()).toList();
    if (sources.isEmpty()) {
      return Optional.empty();
    }
    if (random.nextInt(URGENT_OUT_OF) == 0) {
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
