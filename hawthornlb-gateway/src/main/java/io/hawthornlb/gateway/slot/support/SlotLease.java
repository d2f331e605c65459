package io.hawthornlb.gateway.slot.support;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.slot.SlotUse;
import java.time.Duration;
import java.time.Instant;
import org.jspecify.annotations.Nullable;

/**
 * A lease of a slot, which a holder renews while it uses the slot.
 *
 * @param work time for which the request still had to run when the coordinator learned of it
 * @param late whether this is a batch item that goes behind items that can finish in time
 * @param size token counts that the request states
 * @param workspace workspace of the caller; null if the caller is anonymous or not known
 * @param whole whether the lease covers the whole run of a request, not one that other attempts or
 *     another coordinator had begun
 * @param suspected whether the holder has reported that the endpoint is silent
 */
record SlotLease(
    SlotKey key,
    EndpointIncarnation incarnation,
    String endpointDataCentre,
    String dataCentre,
    boolean batch,
    long rank,
    Duration work,
    boolean late,
    long fingerprint,
    WorkSize size,
    @Nullable WorkspaceId workspace,
    boolean whole,
    Instant since,
    Instant renewed,
    boolean suspected) {

  /** Returns the lease of a request that is granted a slot. */
  static SlotLease granted(
      SlotRequest request, EndpointRecord endpoint, boolean late, Instant now) {
    return new SlotLease(
        request.key(),
        endpoint.incarnation(),
        endpoint.dataCentre(),
        request.dataCentre(),
        request.batch(),
        request.rank(),
        request.work(),
        late,
        request.fingerprint(),
        request.size(),
        request.workspace(),
        request.excluded().isEmpty(),
        now,
        now,
        false);
  }

  /**
   * Returns the lease of a use that another coordinator has granted.
   *
   * @param dataCentre data centre of the endpoint
   */
  static SlotLease adopted(SlotKey key, SlotUse use, String dataCentre, Instant now) {
    return new SlotLease(
        key,
        use.incarnation(),
        dataCentre,
        dataCentre,
        use.batch(),
        use.rank(),
        use.work(),
        false,
        0,
        WorkSize.NONE,
        null,
        false,
        now,
        now,
        false);
  }

  /** Returns the id of the endpoint. */
  String endpoint() {
    return incarnation.id();
  }

  /**
   * Returns this lease renewed, with the endpoint incarnation that the holder reports; the holder
   * knows best which incarnation runs its request.
   */
  SlotLease renewed(EndpointIncarnation reported, Instant now) {
    return with(reported, late, now, suspected);
  }

  /** Returns this lease with another position among the batch items. */
  SlotLease withLate(boolean nowLate) {
    return with(incarnation, nowLate, renewed, suspected);
  }

  /** Returns this lease as one whose endpoint is silent. */
  SlotLease withSuspicion() {
    return with(incarnation, late, renewed, true);
  }

  /** Returns this lease with new values of the components that can change. */
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
        size,
        workspace,
        whole,
        since,
        nowRenewed,
        nowSuspected);
  }

  /** Returns the time for which the request still has to run. */
  Duration remainingWork(Instant now) {
    Duration remaining = work.minus(Duration.between(since, now));
    return remaining.isNegative() ? Duration.ZERO : remaining;
  }
}
