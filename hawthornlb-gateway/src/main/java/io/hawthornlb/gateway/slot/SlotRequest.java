package io.hawthornlb.gateway.slot;

import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import java.time.Duration;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Requests a slot at an endpoint of a service.
 *
 * @param key key of the request
 * @param service service whose endpoints can serve the request
 * @param batch whether this is a batch item, which may be preempted (true), or an online request,
 *     for which a caller waits (false)
 * @param rank position among the waiting requests; the lowest rank goes first. The priority of the
 *     route for online requests; the due time for batch items, which is put off by minutes where
 *     items of other jobs go first
 * @param work time for which a batch item still has to run; zero for online requests
 * @param dataCentre data centre of the gateway
 * @param maxWait longest time that the request may wait for a slot
 * @param patience longest time that the request may wait if it was refused before and this is its
 *     last attempt
 * @param fingerprint hash of the request's content, by which a repeated request is recognized; 0 if
 *     that is not needed
 * @param excluded endpoint incarnations that refused the request or broke the connection while they
 *     ran it
 * @param workspace workspace of the caller; null if the caller is anonymous
 * @param charged whether the request counts against the limit of its workspace; false for batch
 *     items and for further attempts at a request that was counted
 * @param size token counts that the request states; {@link WorkSize#NONE} if it states none
 * @param version software version of the endpoint, since the request continues a stream that this
 *     version began; null if any will do
 */
public record SlotRequest(
    SlotKey key,
    String service,
    boolean batch,
    long rank,
    Duration work,
    String dataCentre,
    Duration maxWait,
    Duration patience,
    long fingerprint,
    Set<EndpointIncarnation> excluded,
    @Nullable WorkspaceId workspace,
    boolean charged,
    WorkSize size,
    @Nullable String version) {

  /**
   * Returns a builder of an online request without a workspace, which may not wait.
   *
   * @param key key of the request
   * @param service service whose endpoints can serve the request
   */
  public static Builder builder(SlotKey key, String service) {
    return new Builder(key, service);
  }

  /** Returns this request without the token counts that it states. */
  public SlotRequest withoutSize() {
    return toBuilder().size(WorkSize.NONE).build();
  }

  /** Returns this request for an endpoint of any version. */
  public SlotRequest withoutVersion() {
    return toBuilder().version(null).build();
  }

  private Builder toBuilder() {
    return builder(key, service)
        .batch(batch)
        .rank(rank)
        .work(work)
        .dataCentre(dataCentre)
        .maxWait(maxWait)
        .patience(patience)
        .fingerprint(fingerprint)
        .excluded(excluded)
        .workspace(workspace)
        .charged(charged)
        .size(size)
        .version(version);
  }

  /** Builds a request. */
  public static final class Builder {

    private final SlotKey key;
    private final String service;
    private boolean batch = false;
    private long rank = 0;
    private Duration work = Duration.ZERO;
    private String dataCentre = "";
    private Duration maxWait = Duration.ZERO;
    private @Nullable Duration patience;
    private long fingerprint = 0;
    private Set<EndpointIncarnation> excluded = Set.of();
    private @Nullable WorkspaceId workspace;
    private boolean charged = false;
    private WorkSize size = WorkSize.NONE;
    private @Nullable String version;

    private Builder(SlotKey key, String service) {
      this.key = key;
      this.service = service;
    }

    /** Sets whether this is a batch item. */
    public Builder batch(boolean value) {
      batch = value;
      return this;
    }

    /** Sets the position among the waiting requests. */
    public Builder rank(long value) {
      rank = value;
      return this;
    }

    /** Sets the time for which a batch item still has to run. */
    public Builder work(Duration value) {
      work = value;
      return this;
    }

    /** Sets the data centre of the gateway. */
    public Builder dataCentre(String value) {
      dataCentre = value;
      return this;
    }

    /** Sets the longest time that the request may wait. */
    public Builder maxWait(Duration value) {
      maxWait = value;
      return this;
    }

    /** Sets the longest wait of the last attempt of a caller that was refused. */
    public Builder patience(@Nullable Duration value) {
      patience = value;
      return this;
    }

    /** Sets the hash of the request's content. */
    public Builder fingerprint(long value) {
      fingerprint = value;
      return this;
    }

    /** Sets the endpoint incarnations that the request must not get. */
    public Builder excluded(Set<EndpointIncarnation> value) {
      excluded = value;
      return this;
    }

    /** Sets the workspace of the caller. */
    public Builder workspace(@Nullable WorkspaceId value) {
      workspace = value;
      return this;
    }

    /** Sets whether the request counts against the limit of its workspace. */
    public Builder charged(boolean value) {
      charged = value;
      return this;
    }

    /** Sets the token counts that the request states. */
    public Builder size(WorkSize value) {
      size = value;
      return this;
    }

    /** Sets the software version that the endpoint must have; null if any will do. */
    public Builder version(@Nullable String value) {
      version = value;
      return this;
    }

    /** Returns the request. Its patience is its longest wait unless it was set. */
    public SlotRequest build() {
      return new SlotRequest(
          key,
          service,
          batch,
          rank,
          work,
          dataCentre,
          maxWait,
          patience == null ? maxWait : patience,
          fingerprint,
          excluded,
          workspace,
          charged,
          size,
          version);
    }
  }
}
