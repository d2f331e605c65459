package io.hawthornlb.core.endpoint.support;

import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.NoAction;
import io.hawthornlb.core.chart.StateChart;
import io.hawthornlb.core.chart.Transition;
import io.hawthornlb.core.chart.support.ChartResources;
import io.hawthornlb.core.endpoint.Endpoint;
import io.hawthornlb.core.endpoint.EndpointState;
import io.hawthornlb.core.endpoint.EndpointTableSettings;
import io.hawthornlb.core.endpoint.LoadReport;
import io.hawthornlb.core.membership.ListedProcess;
import io.hawthornlb.core.model.DataCentre;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** What is known about one endpoint; the rules of its states. */
final class TrackedEndpoint implements Endpoint {

  private static final StateChart<EndpointState, EndpointSign, NoAction> CHART =
      ChartResources.load(
          TrackedEndpoint.class,
          "endpoint.yaml",
          ChartTypes.of(EndpointState.class, EndpointSign.class));

  private static final double LEAST_START_WEIGHT = 0.1;
  private static final int MOST_DOUBLINGS = 10;

  private final EndpointId id;
  private final ListedProcess listed;
  private final ServiceName service;
  private final EndpointTableSettings settings;
  private @Nullable LoadReport load;
  private @Nullable Instant liveSince;
  private double failures;
  private Instant failuresAt = Instant.MIN;
  private int failuresInRow;
  private int suspicions;
  private Instant suspectUntil = Instant.MIN;
  private Instant nextProbe = Instant.MIN;
  private @Nullable Instant leavingSince;
  private @Nullable Instant absentSince;
  private Duration absentGrace;
  private Instant quarantinedUntil = Instant.MIN;

  TrackedEndpoint(ListedProcess listed, ServiceName service, EndpointTableSettings settings) {
    this.id = new EndpointId(listed.id());
    this.listed = listed;
    this.service = service;
    this.settings = settings;
    this.absentGrace = settings.absentGrace();
  }

  @Override
  public EndpointId id() {
    return id;
  }

  @Override
  public ServiceName service() {
    return service;
  }

  @Override
  public DataCentre dataCentre() {
    return listed.dataCentre();
  }

  @Override
  public String address() {
    return listed.address();
  }

  @Override
  public EndpointState state(Instant now) {
    EndpointState state = CHART.initial();
    if (now.isBefore(suspectUntil)) {
      state = next(state, EndpointSign.FAILING);
    }
    if (leavingSince != null) {
      state = next(state, EndpointSign.WITHDRAWING);
    }
    if (absentSince != null && !now.isBefore(absentSince.plus(absentGrace))) {
      state = next(state, EndpointSign.ABSENT);
    }
    return state;
  }

  private static EndpointState next(EndpointState state, EndpointSign sign) {
    return CHART.transition(state, sign).map(Transition::target).orElse(state);
  }

  @Override
  public Optional<LoadReport> load() {
    return Optional.ofNullable(load);
  }

  @Override
  public double startWeight(Instant now) {
    Instant from = suspectUntil;
    if (liveSince != null && liveSince.isAfter(from)) {
      from = liveSince;
    }
    if (!now.isBefore(settings.slowStart().isZero() ? now : latest(from, settings.slowStart()))) {
      return 1;
    }
    double ramp = (double) Duration.between(from, now).toMillis() / settings.slowStart().toMillis();
    return Math.max(LEAST_START_WEIGHT, ramp);
  }

  @Override
  public double recentFailures(Instant now) {
    if (failures == 0) {
      return 0;
    }
    double age = Duration.between(failuresAt, now).toMillis();
    return failures * Math.pow(0.5, age / settings.failureHalfLife().toMillis());
  }

  @Override
  public boolean quarantined(Instant now) {
    return now.isBefore(quarantinedUntil);
  }

  /** Takes a load report unless a later one has come. */
  void updateLoad(LoadReport report) {
    if (load == null || report.asOf().isAfter(load.asOf())) {
      load = report;
    }
  }

  /** Starts it slowly from now on. */
  void startSlowly(Instant now) {
    liveSince = now;
  }

  /** Takes that a list of this time has it as live. */
  void listedLive(Instant asOf) {
    absentSince = null;
    absentGrace = settings.absentGrace();
    // A list that flaps would bring a leaving endpoint back into service, and requests sent there
    // would be refused or cut. Only a list that is later than all signs of leaving by the hold
    // time is believed; any new sign starts the hold again.
    if (leavingSince != null && !asOf.isBefore(leavingSince.plus(settings.leavingHold()))) {
      leavingSince = null;
      liveSince = asOf;
    }
  }

  /** Takes that a list, or the endpoint itself, says that it is leaving. */
  void leaving(Instant at) {
    if (leavingSince == null || at.isAfter(leavingSince)) {
      leavingSince = at;
    }
  }

  /** Takes that a list does not hold it. */
  void absent(Instant now, Duration grace) {
    if (absentSince == null) {
      absentSince = now;
    }
    absentGrace = grace;
  }

  /** Returns whether nothing needs to be remembered about it. */
  boolean forgettable(Instant now) {
    return state(now) == EndpointState.GONE
        && (leavingSince == null || now.isAfter(leavingSince.plus(settings.leavingHold())));
  }

  /** Takes a request or probe that ended well. */
  void succeeded() {
    failuresInRow = 0;
    suspicions = 0;
  }

  /** Takes a probe that ended well, which ends a suspicion early. */
  void healthy(Instant now) {
    if (now.isBefore(suspectUntil)) {
      suspectUntil = now;
    }
    failuresInRow = 0;
  }

  /** Takes a failed request. */
  void failed(Instant now) {
    failures = recentFailures(now) + 1;
    failuresAt = now;
    failuresInRow++;
    if (failuresInRow >= settings.failuresToSuspect()) {
      suspect(now);
    }
    if (absentSince != null) {
      absentGrace = Duration.ZERO;
    }
  }

  /** Takes a crash or a silent connection. */
  void suspect(Instant now) {
    failures = Math.max(1, recentFailures(now));
    failuresAt = now;
    if (now.isBefore(suspectUntil)) {
      return;
    }
    long factor = 1L << Math.min(suspicions, MOST_DOUBLINGS);
    Duration wait = settings.suspectFor().multipliedBy(factor);
    if (wait.compareTo(settings.suspectAtMost()) > 0) {
      wait = settings.suspectAtMost();
    }
    suspicions++;
    suspectUntil = now.plus(wait);
    nextProbe = now.plus(wait.dividedBy(2));
  }

  /** Returns whether it is suspect and its next probe is due; counts it as probed. */
  boolean takeProbe(Instant now) {
    if (state(now) != EndpointState.SUSPECT || now.isBefore(nextProbe)) {
      return false;
    }
    nextProbe = now.plus(settings.suspectFor());
    return true;
  }

  /** Keeps it for one request until a time. */
  void quarantine(Instant until) {
    quarantinedUntil = until;
  }

  private static Instant latest(Instant from, Duration length) {
    return from == Instant.MIN ? Instant.MIN : from.plus(length);
  }
}
