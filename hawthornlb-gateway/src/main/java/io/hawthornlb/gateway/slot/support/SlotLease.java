package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.slot.SlotKey;
import java.time.Duration;
import java.time.Instant;

/**
 * A use of a slot that the coordinator knows of.
 *
 * @param work time for which it had to run when it became known
 * @param late whether it is a batch item that goes behind those which can be in time
 * @param suspected whether its holder has told that the endpoint is silent
 */
record SlotLease(
    SlotKey key,
    EndpointIncarnation life,
    String endpointDataCentre,
    String dataCentre,
    boolean batch,
    long rank,
    Duration work,
    boolean late,
    long fingerprint,
    Instant since,
    Instant renewed,
    boolean suspected) {

  /** Returns the id of the endpoint. */
  String endpoint() {
    return life.id();
  }

  /** Returns the use as its holder tells it, which knows best at which life it is. */
  SlotLease renewed(EndpointIncarnation told, Instant now) {
    return with(told, late, now, suspected);
  }

  /** Returns the use with another place among the batch items. */
  SlotLease withLate(boolean nowLate) {
    return with(life, nowLate, renewed, suspected);
  }

  /** Returns the use as one whose endpoint is silent. */
  SlotLease withSuspicion() {
    return with(life, late, renewed, true);
  }

  /** Returns the use with what may change of it. */
  private SlotLease with(
      EndpointIncarnation nowLife, boolean nowLate, Instant nowRenewed, boolean nowSuspected) {
    return new SlotLease(
        key,
        nowLife,
        endpointDataCentre,
        dataCentre,
        batch,
        rank,
        work,
        nowLate,
        fingerprint,
        since,
        nowRenewed,
        nowSuspected);
  }

  /** Returns for how long it still has to run. */
  Duration left(Instant now) {
    Duration left = work.minus(Duration.between(since, now));
    return left.isNegative() ? Duration.ZERO : left;
  }
}
