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

/** State of one endpoint, and the rules by which the state changes. */
final class TrackedEndpoint implements Endpoint {

  private static final StateChart<EndpointState, EndpointCondition, NoAction> CHART =
      ChartResources.load(
          TrackedEndpoint.class,
          "endpoint.yaml",
          ChartTypes.of(EndpointState.class, EndpointCondition.class));

  private static final double MIN_START_WEIGHT = 0.1;
  private static final int MAX_DOUBLINGS = 10;

  private final EndpointId id;
  private final ListedProcess listed;
  private final ServiceName service;
  private final EndpointTableSettings settings;
  private @Nullable LoadReport load;
  private @Nullable Instant liveSince;
  private double failures;
  private Instant failuresAt = Instant.MIN;
  private int consecutiveFailures;
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
      state = next(state, EndpointCondition.FAILING);
    }
    if (leavingSince != null) {
      state = next(state, EndpointCondition.WITHDRAWING);
    }
    if (absentSince != null && !now.isBefore(absentSince.plus(absentGrace))) {
      state = next(state, EndpointCondition.ABSENT);
    }
    return state;
  }

  private static EndpointState next(EndpointState state, EndpointCondition condition) {
    return CHART.transition(state, condition).map(Transition::target).orElse(state);
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
    return Math.max(MIN_START_WEIGHT, ramp);
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

  /** Updates the load, unless a later report has already arrived. */
  void updateLoad(LoadReport report) {
    if (load == null || report.asOf().isAfter(load.asOf())) {
      load = report;
    }
  }

  /** Begins a slow start now. */
  void startSlowly(Instant now) {
    liveSince = now;
  }

  /** Handles a list as of the given time that shows the endpoint as live. */
  void listedLive(Instant asOf) {
    absentSince = null;
    absentGrace = settings.absentGrace();
    // A list that alternates between both states would bring a leaving endpoint back into service,
    // and requests sent there would be refused or broken off. So the list is trusted only if it is
    // later than all evidence of leaving by the hold time; each new piece of evidence restarts the
    // hold time.
    if (leavingSince != null && !asOf.isBefore(leavingSince.plus(settings.leavingHold()))) {
      leavingSince = null;
      liveSince = asOf;
    }
  }

  /** Records that a list, or the endpoint itself, reports that the endpoint is leaving. */
  void leaving(Instant at) {
    if (leavingSince == null || at.isAfter(leavingSince)) {
      leavingSince = at;
    }
  }

  /** Records that a list does not contain the endpoint. */
  void absent(Instant now, Duration grace) {
    if (absentSince == null) {
      absentSince = now;
    }
    absentGrace = grace;
  }

  /** Returns whether the table can forget the endpoint. */
  boolean forgettable(Instant now) {
    return state(now) == EndpointState.GONE
        && (leavingSince == null || now.isAfter(leavingSince.plus(settings.leavingHold())));
  }

  /** Records a request that succeeded. */
  void succeeded() {
    consecutiveFailures = 0;
    suspicions = 0;
  }

  /** Records a successful probe, which ends a suspicion early. */
  void healthy(Instant now) {
    if (now.isBefore(suspectUntil)) {
      suspectUntil = now;
    }
    consecutiveFailures = 0;
  }

  /** Records a failed request. */
  void failed(Instant now) {
    failures = recentFailures(now) + 1;
    failuresAt = now;
    consecutiveFailures++;
    if (consecutiveFailures >= settings.failuresToSuspect()) {
      suspect(now);
    }
    if (absentSince != null) {
      absentGrace = Duration.ZERO;
    }
  }

  /** Records a crash or a silent connection. */
  void suspect(Instant now) {
    failures = Math.max(1, recentFailures(now));
    failuresAt = now;
    if (now.isBefore(suspectUntil)) {
      return;
    }
    long factor = 1L << Math.min(suspicions, MAX_DOUBLINGS);
    Duration wait = settings.suspectFor().multipliedBy(factor);
    if (wait.compareTo(settings.suspectAtMost()) > 0) {
      wait = settings.suspectAtMost();
    }
    suspicions++;
    suspectUntil = now.plus(wait);
    nextProbe = now.plus(wait.dividedBy(2));
  }

  /**
   * Returns whether the endpoint is suspect and its next probe is due; counts the endpoint as
   * probed if so.
   */
  boolean claimProbe(Instant now) {
    if (state(now) != EndpointState.SUSPECT || now.isBefore(nextProbe)) {
      return false;
    }
    nextProbe = now.plus(settings.suspectFor());
    return true;
  }

  /** Reserves the endpoint for one request until a time. */
  void quarantine(Instant until) {
    quarantinedUntil = until;
  }

  private static Instant latest(Instant from, Duration length) {
    return from == Instant.MIN ? Instant.MIN : from.plus(length);
  }
}
